package emulator

import (
	"time"
)

// FaultKind is a way to fail.
type FaultKind string

// The faults that can be switched on.
const (
	// FaultNone is a healthy backend server.
	FaultNone FaultKind = "none"
	// FaultSlow multiplies the service time of a share of the requests.
	FaultSlow FaultKind = "slow"
	// FaultStall holds a share of the requests for Fault.Stall.
	FaultStall FaultKind = "stall"
	// FaultError answers a share of the requests with status 500.
	FaultError FaultKind = "error"
	// FaultNoResponse accepts a share of the requests and never answers them.
	FaultNoResponse FaultKind = "never-answer"
	// FaultTruncate breaks the answers of a share of the requests off.
	FaultTruncate FaultKind = "truncate"
	// FaultReset resets the connections of a share of the requests after running
	// them.
	FaultReset FaultKind = "reset"
)

// Fault is the fault that is switched on. The health endpoint stays good in any
// case.
type Fault struct {
	// Kind is the way to fail.
	Kind FaultKind `json:"kind"`
	// Share is the share of requests that fail, from 0 to 1.
	Share float64 `json:"share"`
	// Factor multiplies the service time of FaultSlow.
	Factor float64 `json:"factor"`
	// Stall is how long FaultStall holds a request, in milliseconds.
	StallMillis int64 `json:"stall_ms"`
}

func (f *Fault) stall() time.Duration {
	return time.Duration(f.StallMillis) * time.Millisecond
}
