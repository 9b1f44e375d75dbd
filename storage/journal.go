package storage

import (
	"github.com/cockroachdb/errors"
)

// journalHeader is the first record of each segment of a journal.
var journalHeader = []byte("hemlockring journal 1")

// Journal keeps a sequence of entries on disk. An entry counts once Append has
// returned. It is not safe for concurrent use.
type Journal struct {
	files   FS
	folder  string
	segment *segment
	loaded  [][]byte
}

// OpenJournal opens the journal in a folder, or starts one. A torn tail is cut;
// damage before it is a [CorruptionError].
func OpenJournal(files FS, folder string) (*Journal, error) {
	if err := files.MkdirAll(folder); err != nil {
		return nil, errors.Wrapf(err, "make the folder %s; check its permissions", folder)
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
	// A newer segment is complete once it has its name, so the older ones are left
	// over from a crash.
	newest := numbers[len(numbers)-1]
	scan, err := readSegment(files, folder, newest)
	if err != nil {
		return nil, err
	}
	journal.loaded = scan.payloads[1:]
	// What was read may never have been synced. It is written anew, so that it is
	// durable before anything counts on it.
	return journal, journal.write(newest+1, journal.loaded)
}

// Load calls restore with each entry that was there when the journal was opened,
// oldest first. It may be called once.
func (j *Journal) Load(restore func(entry []byte) error) error {
	entries := j.loaded
	j.loaded = nil
	for _, entry := range entries {
		if err := restore(entry); err != nil {
			return err
		}
	}
	return nil
}

// Append adds entries and returns once they are synced, all with one sync.
func (j *Journal) Append(entries [][]byte) error {
	return j.segment.appendAll(entries)
}

// Replace puts entries in place of all others. After an error or a crash the
// journal holds the old entries or the new ones.
func (j *Journal) Replace(entries [][]byte) error {
	old := j.segment.file
	if err := j.write(j.segment.number+1, entries); err != nil {
		return err
	}
	return errors.Wrap(old.Close(), "close the old segment")
}

// write makes a new segment with the given entries and goes on in it.
func (j *Journal) write(number uint64, entries [][]byte) error {
	content := appendRecord(nil, journalHeader, 0)
	for _, entry := range entries {
		content = appendRecord(content, entry, 0)
	}
	name := segmentName(j.folder, number)
	if err := writeDurably(j.files, name, content); err != nil {
		return err
	}
	file, err := j.files.Append(name)
	if err != nil {
		return errors.Wrapf(err, "open %s; check its permissions", name)
	}
	j.segment = &segment{files: j.files, folder: j.folder, number: number, file: file, size: int64(len(content))}
	return j.segment.removeOlder()
}

// Close closes the journal's file.
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
