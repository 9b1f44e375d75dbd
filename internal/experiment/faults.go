package experiment

import (
	"time"

	"github.com/hemlockring/hemlockring/health"
)

// Fault is a gray fault of a fake backend server.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	FaultSlow30
	FaultSlow5x
	FaultStalls
	FaultErrors30
	FaultNeverAnswers
	FaultFlapping
	FaultOneWay
	FaultLying
	faults
)

// Shapes of the faults.
const (
	partialShare  = 0.3
	slowMultiple  = 5
	stallEvery    = 6 * time.Second
	stallLength   = 3 * time.Second
	flapEvery     = 5 * time.Second
	flapBadLength = 2 * time.Second
)

// String names the fault.
func (f Fault) String() string {
	return [...]string{
		"none", "slow 30%", "5x slower", "stalls", "30% errors", "never answers",
		"flapping", "one direction only", "healthy endpoint lying",
	}[f]
}

// visible reports whether an active probe of the health endpoint fails at the
// time since the fault began. Gray faults hide from it, but a process that
// answers nothing does not answer probes either.
func (f Fault) visible(since time.Duration) bool {
	switch f {
	case FaultNeverAnswers:
		return true
	case FaultStalls:
		return since%stallEvery < stallLength
	default:
		return false
	}
}

// apply changes the outcome of a request that is running at now and returns the
// time that it needs from now on.
func (f Fault) apply(server *fakeServer, request *fakeRequest, latency time.Duration, now time.Time) time.Duration {
	since := now.Sub(server.faultBegan)
	switch f {
	case FaultSlow30:
		if server.rng.Float64() < partialShare {
			return slowMultiple * latency
		}
	case FaultSlow5x:
		return slowMultiple * latency
	case FaultStalls:
		if phase := since % stallEvery; phase < stallLength {
			return stallLength - phase + latency
		}
	case FaultErrors30:
		if server.rng.Float64() < partialShare {
			request.result = health.ResultFailed
		}
	case FaultNeverAnswers:
		return 2 * server.deadline
	case FaultFlapping:
		if since%flapEvery < flapBadLength {
			request.result = health.ResultFailed
		}
	case FaultLying:
		request.result = health.ResultFailed
	}
	return latency
}
