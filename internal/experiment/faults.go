package experiment

import (
	"time"

	"github.com/hemlockring/hemlockring/health"
)

// Fault is a gray failure of a fake backend server, or of the path to it: requests fail in
// ways that the server's health endpoint mostly does not show. FaultOneWayLoss, the fault of
// a path, is simulated by runOneWayLoss without a fake server.
type Fault int

// Faults.
const (
	// FaultNone is the absence of a fault.
	FaultNone Fault = iota
	// FaultSlow30 slows down 30% of the requests.
	FaultSlow30
	// FaultSlow5x slows down all requests.
	FaultSlow5x
	// FaultStalls makes the server stall periodically.
	FaultStalls
	// FaultErrors30 makes 30% of the requests fail.
	FaultErrors30
	// FaultNeverAnswers makes all requests time out.
	FaultNeverAnswers
	// FaultFlapping makes all requests fail for a part of each period.
	FaultFlapping
	// FaultOneWayLoss drops all responses on the path from one instance to one ingress.
	FaultOneWayLoss
	// FaultMisleadingHealthCheck makes all requests fail while active probes succeed.
	FaultMisleadingHealthCheck
	faultCount
)

// Parameters of the faults.
const (
	partialFaultFraction = 0.3
	slowdownFactor       = 5
	stallInterval        = 6 * time.Second
	stallDuration        = 3 * time.Second
	flapInterval         = 5 * time.Second
	flapFailureDuration  = 2 * time.Second
)

// String returns the name of the fault in tables and stored results. "one direction only" is
// FaultOneWayLoss, "healthy endpoint lying" is FaultMisleadingHealthCheck.
func (f Fault) String() string {
	return [...]string{
		"none", "slow 30%", "5x slower", "stalls", "30% errors", "never answers",
		"flapping", "one direction only", "healthy endpoint lying",
	}[f]
}

// failsProbe reports whether an active probe of the health endpoint fails when the given
// time has elapsed since the fault began. Most gray failures do not affect the health
// endpoint, but a process that does not answer requests does not answer probes either.
func (f Fault) failsProbe(elapsed time.Duration) bool {
	switch f {
	case FaultNeverAnswers:
		return true
	case FaultStalls:
		return elapsed%stallInterval < stallDuration
	default:
		return false
	}
}

// apply changes the outcome of a request that is running at now and returns its remaining
// service time.
func (f Fault) apply(server *fakeServer, request *fakeRequest, latency time.Duration, now time.Time) time.Duration {
	elapsed := now.Sub(server.faultStartedAt)
	switch f {
	case FaultSlow30:
		if server.rng.Float64() < partialFaultFraction {
			return slowdownFactor * latency
		}
	case FaultSlow5x:
		return slowdownFactor * latency
	case FaultStalls:
		if phase := elapsed % stallInterval; phase < stallDuration {
			return stallDuration - phase + latency
		}
	case FaultErrors30:
		if server.rng.Float64() < partialFaultFraction {
			request.result = health.ResultFailed
		}
	case FaultNeverAnswers:
		return 2 * server.deadline
	case FaultFlapping:
		if elapsed%flapInterval < flapFailureDuration {
			request.result = health.ResultFailed
		}
	case FaultMisleadingHealthCheck:
		request.result = health.ResultFailed
	}
	return latency
}
