package storage

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// CorruptionError reports stored data that was synced once and cannot be read now.
type CorruptionError struct {
	// File is the damaged file.
	File string
	// Offset is where the damage begins, in bytes.
	Offset int64
	// Reason says what is wrong there.
	Reason string
}

// Error names the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s; check the disk, move the data folder away, "+
		"start with a blank one and admit the new disk", e.File, e.Offset, e.Reason)
}

// ErrWriteFailed reports that an earlier write or sync failed.
var ErrWriteFailed = errors.New("an earlier write failed, so what is on the disk is unknown; " +
	"check the disk and its free space, then restart the instance")
