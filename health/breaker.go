package health

import "time"

// Parameters of a Breaker.
const (
	// stallTimeoutFactor is the stall timeout in multiples of the average latency. An open
	// request that exceeds the stall timeout counts as failed.
	stallTimeoutFactor = 6
	// minStallTimeout and maxStallTimeout bound the stall timeout.
	minStallTimeout = 500 * time.Millisecond
	maxStallTimeout = 5 * time.Second
	// latencyAverageWeight is the weight of a new sample in the exponentially weighted
	// moving average of the latency.
	latencyAverageWeight = 0.1
	// minProbeInterval is the initial minimum time between two probes of a server that is
	// probably failing. The time doubles with each failed probe, up to maxProbeInterval: a
	// failing phase lasts seconds, most probes during the phase fail, and each failed probe
	// costs the service a retry. A recovered server is still probed within maxProbeInterval.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
	// immediateErrorShare is the share of the average latency below which a server error counts
	// as immediate. In failing phases servers respond with errors at once, while the errors of
	// single requests follow the usual work.
	immediateErrorShare = 0.125
	// minWorkTime is the average latency below which work and immediate errors cannot be told
	// apart.
	minWorkTime = 40 * time.Millisecond
	// repeatedErrorWithin is the number of results within which a second error after work counts
	// as an immediate one: single errors are a few in a hundred.
	repeatedErrorWithin = 5
)

// BreakerRequest describes a request to a Breaker.
type BreakerRequest struct {
	// Idempotent says that the request can be retried on another server if it fails.
	Idempotent bool
	// LastResort says that no other server is left for the request.
	LastResort bool
}

// Admission is a request that a Breaker has admitted to its server.
type Admission struct {
	began time.Time
	// failureRecorded says that the request already counts as failed, possibly while it
	// is still open.
	failureRecorded bool
	probe           bool
}

// Breaker is the circuit breaker of one backend server. It estimates from the server's
// recent outcomes how likely the server is failing now. While this probability is above
// failureThreshold, the breaker admits requests with LastResort, and idempotent requests
// as probes, one at a time and separated by the probe interval. It rejects all others so
// that they go to another server. A rejected request is safe to send elsewhere, because
// no byte of it has reached the server. A Breaker is not safe for concurrent use.
type Breaker struct {
	estimator      FailureEstimator
	averageLatency time.Duration
	inFlight       map[*Admission]struct{}
	probesInFlight int
	lastProbeAt    time.Time
	// probeInterval is the current minimum time between probes.
	probeInterval time.Duration
	shedding      sheddingEstimate
	// sinceError is the number of good results since the last server error, up to
	// repeatedErrorWithin.
	sinceError int
}

// NewBreaker returns the breaker of a server without recorded outcomes.
func NewBreaker(now time.Time) *Breaker {
	return &Breaker{estimator: NewFailureEstimator(now), inFlight: make(map[*Admission]struct{}), probeInterval: minProbeInterval, sinceError: repeatedErrorWithin}
}

// Admit admits a request, or returns nil if the request should go to another server.
func (b *Breaker) Admit(request BreakerRequest, now time.Time) *Admission {
	if !b.Admits(request, now) {
		return nil
	}
	admission := &Admission{began: now}
	if b.estimator.AboveThreshold(now) && !request.LastResort {
		admission.probe = true
		b.probesInFlight++
		b.lastProbeAt = now
	}
	b.inFlight[admission] = struct{}{}
	return admission
}

// Admits reports whether Admit would admit the request.
func (b *Breaker) Admits(request BreakerRequest, now time.Time) bool {
	if request.LastResort || !b.estimator.AboveThreshold(now) {
		return true
	}
	return request.Idempotent && b.probesInFlight == 0 && now.Sub(b.lastProbeAt) >= b.probeInterval
}

// Done records the result of an admitted request. ResultShed is no failure, since the request
// can run elsewhere, but see SheddingShare.
func (b *Breaker) Done(admission *Admission, result Result, now time.Time) {
	if _, open := b.inFlight[admission]; !open {
		return
	}
	delete(b.inFlight, admission)
	if admission.probe {
		b.probesInFlight--
	}
	if result != ResultCanceled {
		b.shedding.record(result == ResultShed, now)
	}
	switch result {
	case ResultOK:
		b.probeInterval = minProbeInterval
		b.sinceError = min(b.sinceError+1, repeatedErrorWithin)
		b.estimator.Observe(false, now)
		b.recordLatency(now.Sub(admission.began))
	case ResultServerError:
		repeated := b.sinceError < repeatedErrorWithin
		b.sinceError = 0
		if !repeated && b.followedWork(now.Sub(admission.began)) {
			b.recordErrorAfterWork(admission, now)
			return
		}
		b.recordFailure(admission, now)
	case ResultFailed:
		b.recordFailure(admission, now)
	case ResultTimedOut:
		if now.Sub(admission.began) >= b.stallTimeout() {
			b.recordFailure(admission, now)
		}
	}
}

// Tick counts open requests as failed once they exceed the stall timeout.
func (b *Breaker) Tick(now time.Time) {
	limit := b.stallTimeout()
	for admission := range b.inFlight {
		if now.Sub(admission.began) >= limit {
			b.recordFailure(admission, now)
		}
	}
}

// FailureProbability returns the probability that the server currently fails most
// requests.
func (b *Breaker) FailureProbability(now time.Time) float64 { return b.estimator.Probability(now) }

// SheddingShare returns the share of its recent requests that the server has refused to run,
// although it had a slot for each. Other servers may be better, but if all of a service shed,
// each of them is as good as another.
func (b *Breaker) SheddingShare(now time.Time) float64 { return b.shedding.at(now) }

// followedWork reports whether a server error that came after the given time followed the usual
// work.
func (b *Breaker) followedWork(took time.Duration) bool {
	return b.averageLatency >= minWorkTime && took >= time.Duration(immediateErrorShare*float64(b.averageLatency))
}

func (b *Breaker) recordErrorAfterWork(admission *Admission, now time.Time) {
	if admission.failureRecorded {
		return
	}
	admission.failureRecorded = true
	b.estimator.ObserveErrorAfterWork(now)
	if admission.probe {
		b.probeInterval = min(2*b.probeInterval, maxProbeInterval)
	}
}

func (b *Breaker) recordFailure(admission *Admission, now time.Time) {
	if admission.failureRecorded {
		return
	}
	admission.failureRecorded = true
	b.estimator.Observe(true, now)
	if admission.probe {
		b.probeInterval = min(2*b.probeInterval, maxProbeInterval)
	}
}

func (b *Breaker) recordLatency(latency time.Duration) {
	if b.averageLatency == 0 {
		b.averageLatency = latency
		return
	}
	b.averageLatency += time.Duration(latencyAverageWeight * float64(latency-b.averageLatency))
}

// stallTimeout returns the time after which an open request counts as failed.
func (b *Breaker) stallTimeout() time.Duration {
	if b.averageLatency == 0 {
		return maxStallTimeout
	}
	return min(max(stallTimeoutFactor*b.averageLatency, minStallTimeout), maxStallTimeout)
}
