package health

import "time"

// Parameters of a Breaker.
const (
	// stalledFactor is how many times the typical time in the server a request must
	// be open to count as failed.
	stalledFactor = 6
	// minStalled and maxStalled bound that time.
	minStalled = 500 * time.Millisecond
	maxStalled = 5 * time.Second
	// typicalGain is the weight of a new sample in the typical time.
	typicalGain = 0.1
	// trialInterval is the least time between two trials of a doubtful server. It doubles
	// with each trial that fails, up to maxTrialInterval: a failing phase lasts seconds, each
	// trial in it fails and costs the service a retry, and a server that has recovered is
	// found within that time all the same.
	trialInterval    = 200 * time.Millisecond
	maxTrialInterval = 800 * time.Millisecond
)

// BreakerRequest is what a Breaker needs to know of a request that wants a server.
type BreakerRequest struct {
	// Idempotent says that the request can be repeated elsewhere if it fails.
	Idempotent bool
	// LastResort says that no other server is left for it.
	LastResort bool
}

// Admission is one request at a server that a Breaker has admitted.
type Admission struct {
	began time.Time
	// judged says that the visit has already counted as failed while it was open.
	judged bool
	trial  bool
}

// Breaker decides from a server's own latest outcomes which requests it should get
// now. While the server is in doubt, only requests that can be repeated try it, one
// at a time; the others are told to go elsewhere, which costs them nothing, since
// no byte has reached the server. It is not safe for concurrent use.
type Breaker struct {
	phase   FailureEstimator
	typical time.Duration
	open    map[*Admission]struct{}
	trials  int
	triedAt time.Time
	// trialGap is the present time between trials.
	trialGap time.Duration
}

// NewBreaker returns the breaker of a server of which nothing is known.
func NewBreaker(now time.Time) *Breaker {
	return &Breaker{phase: NewFailureEstimator(now), open: make(map[*Admission]struct{}), trialGap: trialInterval}
}

// Admit admits a request, or returns nil when it should go to another server.
func (b *Breaker) Admit(wish BreakerRequest, now time.Time) *Admission {
	if !b.Admits(wish, now) {
		return nil
	}
	visit := &Admission{began: now}
	if b.phase.AboveThreshold(now) && !wish.LastResort {
		visit.trial = true
		b.trials++
		b.triedAt = now
	}
	b.open[visit] = struct{}{}
	return visit
}

// Admits reports whether Enter would admit a request.
func (b *Breaker) Admits(wish BreakerRequest, now time.Time) bool {
	if wish.LastResort || !b.phase.AboveThreshold(now) {
		return true
	}
	return wish.Idempotent && b.trials == 0 && now.Sub(b.triedAt) >= b.trialGap
}

// Done records how a request ended. Shedding counts as a failure: the proxy never
// gives a server more requests than it has slots.
func (b *Breaker) Done(visit *Admission, result Result, now time.Time) {
	if _, open := b.open[visit]; !open {
		return
	}
	delete(b.open, visit)
	if visit.trial {
		b.trials--
	}
	switch result {
	case ResultOK:
		b.trialGap = trialInterval
		b.phase.Observe(false, now)
		b.learn(now.Sub(visit.began))
	case ResultFailed, ResultShed:
		b.judge(visit, now)
	case ResultTimedOut:
		if now.Sub(visit.began) >= b.stalledAfter() {
			b.judge(visit, now)
		}
	}
}

// Tick judges the requests that have been open for too long.
func (b *Breaker) Tick(now time.Time) {
	limit := b.stalledAfter()
	for visit := range b.open {
		if now.Sub(visit.began) >= limit {
			b.judge(visit, now)
		}
	}
}

// FailureProbability returns the probability that the server fails most requests now.
func (b *Breaker) FailureProbability(now time.Time) float64 { return b.phase.Probability(now) }

func (b *Breaker) judge(visit *Admission, now time.Time) {
	if visit.judged {
		return
	}
	visit.judged = true
	b.phase.Observe(true, now)
	if visit.trial {
		b.trialGap = min(2*b.trialGap, maxTrialInterval)
	}
}

func (b *Breaker) learn(took time.Duration) {
	if b.typical == 0 {
		b.typical = took
		return
	}
	b.typical += time.Duration(typicalGain * float64(took-b.typical))
}

// stalledAfter is how long a request is open until it counts as failed.
func (b *Breaker) stalledAfter() time.Duration {
	if b.typical == 0 {
		return maxStalled
	}
	return min(max(stalledFactor*b.typical, minStalled), maxStalled)
}
