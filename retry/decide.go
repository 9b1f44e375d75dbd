package retry

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Limits of attempts.
const (
	// MaxAttempts is the largest number of attempts for one request, including hedges.
	MaxAttempts = 3
	// hedgeQuantile is the latency quantile after which a hedge starts, so that at most one
	// request in twenty is hedged.
	hedgeQuantile = 0.95
	// minHedgeSamples is how many latencies are needed to use the quantile.
	minHedgeSamples = 100
)

// Attempt describes an attempt that has ended, or one that has run for so long that a hedge
// may start.
type Attempt struct {
	// Account is the client account of the request.
	Account fleetconfig.AccountID
	// Urgency is the urgency of the request.
	Urgency fleetconfig.Urgency
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Outcome is what is known about the attempt. It is ignored for a hedge.
	Outcome pipeline.Outcome
	// ServerError is set if the backend server responded with a server error.
	ServerError bool
	// Attempts is how many attempts the request has had, including this one.
	Attempts int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// Decision says whether another attempt is allowed, or why not.
type Decision uint8

const (
	// DecisionRetry means that another attempt is allowed and was taken from the budget.
	DecisionRetry Decision = iota
	// DecisionNotNeeded means that the attempt needs no retry.
	DecisionNotNeeded
	// DecisionMayHaveRun means that the request is not idempotent and may have run.
	DecisionMayHaveRun
	// DecisionAttemptsExhausted means that the request has had MaxAttempts attempts.
	DecisionAttemptsExhausted
	// DecisionDeadlineExceeded means that no time is left before the deadline.
	DecisionDeadlineExceeded
	// DecisionBudgetExhausted means that the budget is used up.
	DecisionBudgetExhausted
)

// Decide decides whether to retry after an attempt has ended. DecisionRetry takes one retry
// from the budget.
func (b *Budget) Decide(attempt Attempt, now time.Time) Decision {
	if attempt.Outcome == pipeline.OutcomeAnswered && !attempt.ServerError {
		return DecisionNotNeeded
	}
	if attempt.Outcome != pipeline.OutcomeNotRun && !attempt.Idempotent {
		return DecisionMayHaveRun
	}
	return b.allowAttempt(attempt, now)
}

// DecideHedge decides whether to start a second attempt while the first still runs.
// DecisionRetry takes one retry from the budget.
func (b *Budget) DecideHedge(attempt Attempt, now time.Time) Decision {
	if !attempt.Idempotent {
		return DecisionMayHaveRun
	}
	return b.allowAttempt(attempt, now)
}

// allowAttempt checks the limits that hold for retries and hedges alike.
func (b *Budget) allowAttempt(attempt Attempt, now time.Time) Decision {
	switch {
	case attempt.Attempts >= MaxAttempts:
		return DecisionAttemptsExhausted
	case attempt.Remaining <= 0:
		return DecisionDeadlineExceeded
	case !b.Take(attempt.Account, attempt.Urgency, now):
		return DecisionBudgetExhausted
	default:
		return DecisionRetry
	}
}

// HedgeDelay returns how long to wait before an idempotent request is hedged. It returns
// false if the request gets no hedge, because the preset disables hedging or too few
// latencies of the service are known. The delay is never shorter than
// Preset.HedgeAfter.
func HedgeDelay(preset *fleetconfig.Preset, idempotent bool, latencies *health.Histogram) (time.Duration, bool) {
	if !idempotent || preset.HedgeAfter <= 0 || latencies.Total() < minHedgeSamples {
		return 0, false
	}
	return max(preset.HedgeAfter, latencies.Quantile(hedgeQuantile)), true
}
