package storage

import (
	"github.com/cockroachdb/errors"
)

// journalHeader is the first record of each segment of a journal.
var journalHeader = []byte("hemlockring journal 1")

// Journal stores a sequence of entries on disk. An entry is durable once Append has
// returned. A Journal is not safe for concurrent use.
type Journal struct {
	files   FS
	folder  string
	segment *segment
	// openedEntries holds the entries found by OpenJournal, until Load is called.
	openedEntries [][]byte
}

// OpenJournal opens the journal in a folder, or creates an empty one. A torn tail is
// dropped; corruption before it is reported as a [CorruptionError].
func OpenJournal(files FS, folder string) (*Journal, error) {
	if err := files.MkdirAll(folder); err != nil {
		return nil, errors.Wrapf(err, "create the folder %s; check its permissions", folder)
	}
	numbers, err := listSegments(files, folder)
	if err != nil {
		return nil, err
	}
	journal := &Journal{files: files, folder: folder}
	if len(numbers) == 0 {
		journal.segment, err = createSegment(files, folder, 0, journalHeader)
		return journal, err
	}
	// A segment is complete before it gets its name, so only the newest one is needed.
	// Older ones were left by a crash before their removal.
	newest := numbers[len(numbers)-1]
	scan, err := readSegment(files, folder, newest)
	if err != nil {
		return nil, err
	}
	journal.openedEntries = scan.payloads[1:]
	// The entries that were read may never have been synced. They are rewritten to a
	// new segment, so that they are durable before the caller uses them.
	return journal, journal.startSegment(newest+1, journal.openedEntries)
}

// Load calls restore with each entry that the journal held when it was opened, oldest
// first. Later calls of Load have no entries, since the journal does not keep them in
// memory.
func (j *Journal) Load(restore func(entry []byte) error) error {
	entries := j.openedEntries
	j.openedEntries = nil
	for _, entry := range entries {
		if err := restore(entry); err != nil {
			return err
		}
	}
	return nil
}

// Append appends entries and returns when they are durable. All are synced with one
// sync. After an error the journal must be opened again.
func (j *Journal) Append(entries [][]byte) error {
	return j.segment.appendAll(entries)
}

// Replace replaces all entries with the given ones. After an error or a crash the
// journal holds either the old entries or the new ones. If it is not known which, later
// appends fail until the journal is opened again.
func (j *Journal) Replace(entries [][]byte) error {
	if j.segment.failed {
		return ErrWriteFailed
	}
	old := j.segment
	err := j.startSegment(old.number+1, entries)
	if j.segment == old {
		return err
	}
	return errors.CombineErrors(err, errors.Wrap(old.file.Close(), "close the old segment"))
}

// startSegment creates a segment that contains the given entries, makes it the current
// one and removes older segments. From the rename on, the new segment may be the one that
// is read when the journal is opened again, so the current one must not be appended to.
func (j *Journal) startSegment(number uint64, entries [][]byte) error {
	content := appendRecord(nil, journalHeader, 0)
	for _, entry := range entries {
		content = appendRecord(content, entry, 0)
	}
	name := segmentName(j.folder, number)
	if err := writeTemporary(j.files, name, content); err != nil {
		return err
	}
	if j.segment != nil {
		j.segment.failed = true
	}
	if err := publishTemporary(j.files, name); err != nil {
		return err
	}
	file, err := j.files.Append(name)
	if err != nil {
		return errors.Wrapf(err, "open %s; check its permissions", name)
	}
	j.segment = &segment{files: j.files, folder: j.folder, number: number, file: file, size: int64(len(content))}
	return j.segment.removeOlder()
}

// Close closes the journal's file. All appended entries are already durable.
func (j *Journal) Close() error {
	return errors.Wrap(j.segment.file.Close(), "close the journal")
}

// appendAll writes records and syncs them together.
func (s *segment) appendAll(payloads [][]byte) error {
	if s.failed {
		return ErrWriteFailed
	}
	var content []byte
	for _, payload := range payloads {
		content = appendRecord(content, payload, uint64(s.size))
	}
	if err := writeAndSync(s.file, content); err != nil {
		s.failed = true
		return errors.Wrapf(err, "write %s; check the disk and its free space", segmentName(s.folder, s.number))
	}
	s.size += int64(len(content))
	return nil
}
