package emulator

import (
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultNone is the absence of a fault.
	FaultNone FaultKind = "none"
	// FaultSlow multiplies the service time of a share of the requests.
	FaultSlow FaultKind = "slow"
	// FaultStall delays a share of the requests by Fault.StallMillis.
	FaultStall FaultKind = "stall"
	// FaultError answers a share of the requests with status 500.
	FaultError FaultKind = "error"
	// FaultNoResponse accepts a share of the requests and never answers them.
	FaultNoResponse FaultKind = "never-answer"
	// FaultTruncate ends the responses to a share of the requests before they are
	// complete.
	FaultTruncate FaultKind = "truncate"
	// FaultReset runs a share of the requests and then closes their connections without
	// a response.
	FaultReset FaultKind = "reset"
	// FaultLimit names Fault.Rate as the accepted rate in every response. Requests above
	// the rate run all the same.
	FaultLimit FaultKind = "limit"
	// FaultBackgroundErrors answers a share of the requests with status 500, in addition to
	// another fault. It lasts until it is set again with a share of zero.
	FaultBackgroundErrors FaultKind = "background-errors"
	// FaultCold makes the server cold for Config.ColdStart.
	FaultCold FaultKind = "cold"
	// FaultLeaving states in every response that the server is leaving.
	FaultLeaving FaultKind = "leaving"
)

// Fault is a gray fault of a backend server. It does not affect the health endpoint.
type Fault struct {
	// Kind is the kind of the fault.
	Kind FaultKind `json:"kind"`
	// Share is the share of affected requests, from 0 to 1.
	Share float64 `json:"share"`
	// Factor multiplies the service time of FaultSlow.
	Factor float64 `json:"factor"`
	// StallMillis is the delay of FaultStall in milliseconds.
	StallMillis int64 `json:"stall_ms"`
	// Rate is the rate that FaultLimit names, in requests per second. It is a text, so
	// that a server can name a rate that is not a number.
	Rate string `json:"rate,omitempty"`
}

func (f *Fault) stall() time.Duration {
	return time.Duration(f.StallMillis) * time.Millisecond
}
