// Package storage stores an instance's state in files under one data folder.
//
// Data counts as stored only after a sync: the content of a file after the file is
// synced, its name after the folder is synced. Single values, such as snapshots and
// the disk identity, are written to a temporary file, which is synced and renamed;
// then the folder is synced. After a crash a reader therefore finds either the old
// value or the new one. Logs and journals are sequences of segments that consist of
// records with checksums.
//
// A crash may leave a torn tail at the end of the newest segment: a record whose sync
// never returned. It is dropped when the segment is opened. Any other data that cannot
// be read was synced before and is corrupt: opening then fails with a
// [CorruptionError], which names the file, the offset and the remedy. One case cannot
// be distinguished: corruption within the last synced batch is dropped as a torn tail,
// because no later batch proves that it was synced.
//
// After a failed write or sync the contents of the disk are unknown, so all further
// writes to the log, and appends to a journal, fail with [ErrWriteFailed] until it is
// opened again. On opening, the data that was read is written to a new segment and
// synced before any of it is used.
package storage
