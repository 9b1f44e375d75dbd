package emulator

import (
	"strconv"
	"time"
)

// Bounds on the requests that a server gets after it has stated its rate or its exit.
const (
	// RateWindow is the length of the windows in which requests are counted.
	RateWindow = 4 * time.Second
	// RateTolerance and RateAllowance give the bound for a window: the requests at the
	// named rate times RateTolerance, plus RateAllowance.
	RateTolerance = 1.5
	RateAllowance = 5
	// RateGrace is the time from the first response that names the rate to the first
	// window that is counted.
	RateGrace = 3 * time.Second
	// LeavingGrace is the time from the first response that states the exit to the first
	// request that is counted.
	LeavingGrace = 2 * time.Second
)

// rateRecord compares the requests that arrive with what the server has stated.
type rateRecord struct {
	limited bool
	rate    float64
	leaving bool
	// statedAt is when a response first carried the current statement, or zero.
	statedAt time.Time
	arrivals []time.Time

	overRate, afterLeaving int
}

func (r *rateRecord) setFault(fault *Fault) {
	rate, err := strconv.ParseFloat(fault.Rate, 64)
	r.limited = fault.Kind == FaultLimit && err == nil
	r.leaving = fault.Kind == FaultLeaving
	r.rate = rate
	r.statedAt = time.Time{}
	r.arrivals = nil
}

func (r *rateRecord) recordStatement(now time.Time) {
	if r.statedAt.IsZero() && (r.limited || r.leaving) {
		r.statedAt = now
	}
}

func (r *rateRecord) recordArrival(now time.Time) {
	if r.statedAt.IsZero() {
		return
	}
	stated := now.Sub(r.statedAt)
	if r.leaving && stated > LeavingGrace {
		r.afterLeaving++
	}
	if !r.limited || stated < RateGrace {
		return
	}
	r.arrivals = append(r.arrivals, now)
	for now.Sub(r.arrivals[0]) > RateWindow {
		r.arrivals = r.arrivals[1:]
	}
	allowed := RateTolerance*r.rate*RateWindow.Seconds() + RateAllowance
	r.overRate = max(r.overRate, len(r.arrivals)-int(allowed))
}
