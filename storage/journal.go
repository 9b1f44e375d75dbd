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
// damage before it is a [DamageError].
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
	segment, scan, err := openSegment(files, folder, newest)
	if err != nil {
		return nil, err
	}
	journal.segment = segment
	journal.loaded = scan.payloads[1:]
	return journal, segment.removeOlder()
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
	content := appendRecord(nil, journalHeader, 0)
	for _, entry := range entries {
		content = appendRecord(content, entry, 0)
	}
	number := j.segment.number + 1
	name := segmentName(j.folder, number)
	if err := writeDurably(j.files, name, content); err != nil {
		return err
	}
	file, err := j.files.Append(name)
	if err != nil {
		return errors.Wrapf(err, "open %s; check its permissions", name)
	}
	_ = j.segment.file.Close()
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
		return ErrFailed
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
