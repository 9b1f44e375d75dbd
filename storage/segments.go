package storage

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// segmentSuffix is the suffix of segment names. The name is the number of the segment
// in sixteen hexadecimal digits, so that names sort in the order of the numbers.
const segmentSuffix = ".log"

// segment is a file of records that is open for appending. A new segment starts with all
// data that is still needed, so older segments can be removed.
type segment struct {
	files  FS
	folder string
	number uint64
	file   File
	// size is the number of bytes written, all of which are synced.
	size int64
	// failed is set when a write or sync has failed, and is never reset.
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

// createSegment creates a segment that contains one record, and makes it durable.
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

// readSegment reads the records of a segment and ignores a torn tail.
func readSegment(files FS, folder string, number uint64) (scanResult, error) {
	name := segmentName(folder, number)
	data, err := files.ReadFile(name)
	if err != nil {
		return scanResult{}, errors.Wrapf(err, "read %s; check the disk", name)
	}
	scan := scanRecords(data)
	if scan.isCorrupt || len(scan.payloads) == 0 {
		return scanResult{}, &CorruptionError{File: name, Offset: scan.validEnd, Reason: "a record is incomplete or its checksum does not match"}
	}
	return scan, nil
}

// append appends a record and syncs it.
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

// removeOlder removes the segments with lower numbers.
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
