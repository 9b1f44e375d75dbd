package retry

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Limits of attempts.
const (
	// MaxAttempts is how many attempts one request gets, hedges included.
	MaxAttempts = 3
	// hedgeQuantile is the latency quantile after which a hedge starts, so that at
	// most one request in twenty has one.
	hedgeQuantile = 0.95
	// minHedgeSamples is how many latencies the quantile needs.
	minHedgeSamples = 100
)

// Attempt is an attempt that has ended, or that has run for so long that a hedge
// may start.
type Attempt struct {
	// Account is the client account of the request.
	Account fleetconfig.AccountID
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Outcome says what is known about the attempt. It is ignored for a hedge.
	Outcome pipeline.Outcome
	// ServerError says that the backend server answered with a server error.
	ServerError bool
	// Attempts is how many attempts the request has had, this one included.
	Attempts int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// Decision says whether there is another attempt, or why not.
type Decision uint8

const (
	// DecisionRetry means that another attempt is allowed and paid for.
	DecisionRetry Decision = iota
	// DecisionNotNeeded means that the attempt needs no retry.
	DecisionNotNeeded
	// DecisionMayHaveRun means that the request is not idempotent and may have run.
	DecisionMayHaveRun
	// DecisionAttemptsExhausted means that the request has had MaxAttempts.
	DecisionAttemptsExhausted
	// DecisionDeadlineExceeded means that no time is left.
	DecisionDeadlineExceeded
	// DecisionBudgetExhausted means that the budget is used up.
	DecisionBudgetExhausted
)

// Decide decides about a retry after an attempt has ended. VerdictRetry takes one
// from the budget.
func (b *Budget) Decide(attempt Attempt, now time.Time) Decision {
	if attempt.Outcome == pipeline.OutcomeAnswered && !attempt.ServerError {
		return DecisionNotNeeded
	}
	if attempt.Outcome != pipeline.OutcomeNotRun && !attempt.Idempotent {
		return DecisionMayHaveRun
	}
	return b.another(attempt, now)
}

// DecideHedge decides about a second attempt beside one that still runs. VerdictRetry
// takes one from the budget.
func (b *Budget) DecideHedge(attempt Attempt, now time.Time) Decision {
	if !attempt.Idempotent {
		return DecisionMayHaveRun
	}
	return b.another(attempt, now)
}

func (b *Budget) another(attempt Attempt, now time.Time) Decision {
	switch {
	case attempt.Attempts >= MaxAttempts:
		return DecisionAttemptsExhausted
	case attempt.Remaining <= 0:
		return DecisionDeadlineExceeded
	case !b.Take(attempt.Account, now):
		return DecisionBudgetExhausted
	default:
		return DecisionRetry
	}
}

// HedgeDelay returns how long an idempotent request waits before a hedge, and
// false when it gets none: the preset has hedging off, or too little is known of
// the service's latencies. The preset's delay is the least.
func HedgeDelay(preset *fleetconfig.Preset, idempotent bool, latencies *health.Histogram) (time.Duration, bool) {
	if !idempotent || preset.HedgeAfter <= 0 || latencies.Total() < minHedgeSamples {
		return 0, false
	}
	return max(preset.HedgeAfter, latencies.Quantile(hedgeQuantile)), true
}
