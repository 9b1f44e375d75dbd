package storage

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// segmentSuffix ends the names of segments. A segment is named by its number in
// sixteen hexadecimal digits, so that the order of names is that of numbers.
const segmentSuffix = ".log"

// segment is an open file of records. Its first record is complete by itself, so
// that only the newest segment is needed.
type segment struct {
	files  FS
	folder string
	number uint64
	file   File
	// size is how many bytes are written, all of them synced.
	size int64
	// failed is set for good after a write or sync that failed.
	failed bool
}

func segmentName(folder string, number uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// listSegments returns the numbers of the segments, in order.
func listSegments(files FS, folder string) ([]uint64, error) {
	names, err := files.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrapf(err, "read the folder %s; check its permissions", folder)
	}
	var numbers []uint64
	for _, name := range names {
		digits, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 16, 64)
		if err == nil {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

// createSegment makes a durable segment with its first record.
func createSegment(files FS, folder string, number uint64, first []byte) (*segment, error) {
	name := segmentName(folder, number)
	content := appendRecord(nil, first, 0)
	if err := writeDurably(files, name, content); err != nil {
		return nil, err
	}
	file, err := files.Append(name)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s; check its permissions", name)
	}
	return &segment{files: files, folder: folder, number: number, file: file, size: int64(len(content))}, nil
}

// readSegment reads a segment's records, without a torn tail.
func readSegment(files FS, folder string, number uint64) (scanResult, error) {
	name := segmentName(folder, number)
	data, err := files.ReadFile(name)
	if err != nil {
		return scanResult{}, errors.Wrapf(err, "read %s; check the disk", name)
	}
	scan := scanRecords(data)
	if scan.wasSynced || len(scan.payloads) == 0 {
		return scanResult{}, &CorruptionError{File: name, Offset: scan.end, Reason: "a record's checksum does not match"}
	}
	return scan, nil
}

// append writes a record and syncs it.
func (s *segment) append(payload []byte) error {
	if s.failed {
		return ErrWriteFailed
	}
	content := appendRecord(nil, payload, uint64(s.size))
	if err := writeAndSync(s.file, content); err != nil {
		s.failed = true
		return errors.Wrapf(err, "write %s; check the disk and its free space", segmentName(s.folder, s.number))
	}
	s.size += int64(len(content))
	return nil
}

// removeOlder removes the segments before this one.
func (s *segment) removeOlder() error {
	numbers, err := listSegments(s.files, s.folder)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if number >= s.number {
			continue
		}
		if err := s.files.Remove(segmentName(s.folder, number)); err != nil {
			return errors.Wrap(err, "remove an old segment; check the data folder's permissions")
		}
	}
	return errors.Wrap(s.files.SyncDir(s.folder), "sync the data folder; check the disk")
}
