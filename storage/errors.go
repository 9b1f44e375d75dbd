package storage

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// CorruptionError reports that data which was synced cannot be read any more.
type CorruptionError struct {
	// File is the name of the corrupt file.
	File string
	// Offset is the position of the first corrupt record, in bytes.
	Offset int64
	// Reason says what is wrong at Offset.
	Reason string
}

// Error returns the file, offset, reason and remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s; check the disk, move the data folder away, "+
		"start with a blank one and admit the new disk", e.File, e.Offset, e.Reason)
}

// ErrWriteFailed reports that an earlier write or sync of the log or journal failed. The
// log or journal must be opened again.
var ErrWriteFailed = errors.New("an earlier write or sync failed, so the contents of the disk are unknown; " +
	"check the disk and its free space, then restart the instance")
