// Package storage keeps an instance's state in files under one data folder.
//
// Nothing counts as stored until it is synced: a file's content by syncing the
// file, its name by syncing the folder. Whole values, such as snapshots and the
// identity of the disk, are written under a temporary name, synced, renamed and
// the folder synced, so that a reader finds the old value or the new one. The log
// is a row of segments with checksummed records.
//
// A crash may leave a torn tail at the end of the newest segment: a record whose
// sync never returned. It is dropped. Anything else that cannot be read was once
// synced and is damage: opening fails with a [CorruptionError] that names the file,
// the offset and the remedy. One case cannot be told apart: damage within the last
// batch that was synced, with no later batch as proof, is dropped as a torn tail.
//
// After a failed write or sync the log refuses all further work, since what is on
// the disk is then unknown. The remedy is to open it again. Opening writes the log
// anew before anything of it counts.
package storage
