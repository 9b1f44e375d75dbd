package serverexit

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Record is the acknowledged exit of a backend server.
type Record struct {
	// Server is the backend server, by its ID at the instance.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// Final says that its process has left and does not return. Otherwise a newer announcement
	// of the process counts.
	Final bool `cbor:"2,keyasint,omitempty"`
	// ProcessStartUnixMilli is the start of the process, or zero if it is not known.
	ProcessStartUnixMilli int64 `cbor:"3,keyasint,omitempty"`
	// Sequence is that of the last announcement before the exit, or of the one that announced
	// it.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
	// Leaving says that a response of the process has stated that it is leaving.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// AgeMillis is the time since the exit in milliseconds.
	AgeMillis uint64 `cbor:"6,keyasint,omitempty"`
}

// Age returns the time since the exit.
func (r *Record) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// supersedes reports whether the record replaces an earlier one of the same server. Messages
// may arrive out of order.
func (r *Record) supersedes(earlier *Record) bool {
	if r.ProcessStartUnixMilli != earlier.ProcessStartUnixMilli {
		return r.ProcessStartUnixMilli > earlier.ProcessStartUnixMilli
	}
	if r.Final != earlier.Final {
		return r.Final
	}
	return r.Sequence >= earlier.Sequence
}
