package health

import (
	"math"
	"time"
)

// Parameters of the model of failing phases. Gray servers fail most of their requests for
// a few seconds and then recover by themselves. The rates are mid-range values for such
// servers; only their order of magnitude matters.
const (
	// failingErrorRate is the share of requests that fail during a failing phase.
	failingErrorRate = 0.7
	// normalErrorRate is the share of requests that fail outside failing phases, from
	// faults of single requests.
	normalErrorRate = 0.02
	// errorAfterWorkRatio is how much more frequent single errors after the usual work are during
	// a failing phase than outside. With it, one such error makes no server suspect.
	errorAfterWorkRatio = 1.5
	// failureOnsetRate and recoveryRate are the rates at which failing phases begin and
	// end, per second.
	failureOnsetRate = 1.0 / 15
	recoveryRate     = 1.0 / 4
	// priorFailureProbability is the stationary probability of the failing state, which
	// applies without evidence.
	priorFailureProbability = failureOnsetRate / (failureOnsetRate + recoveryRate)
)

// failureThreshold is the probability of a failing phase above which a non-idempotent
// request should go to another server: at this value about one in five requests to the
// server fails.
const failureThreshold = 0.3

// SuspectFailureProbability is failureThreshold as an excess failure probability (see
// ExcessFailureProbability).
const SuspectFailureProbability = (failureThreshold - priorFailureProbability) / (1 - priorFailureProbability)

// FailureEstimator estimates the probability that a server is currently in a failing
// phase. It runs the forward algorithm of a hidden Markov model with two states (L.
// Rabiner, "A Tutorial on Hidden Markov Models", Proc. IEEE 77, 1989): each outcome
// updates the posterior by its likelihood in either state, and between outcomes the
// posterior decays towards priorFailureProbability, so that a server without traffic is
// eventually tried again.
//
// Servers that fail requests within milliseconds appear idle and would attract most of a
// service's requests under load balancing. To counteract this, package balance adds a
// penalty for the estimated probability to the cost of a server.
type FailureEstimator struct {
	posterior float64
	updatedAt time.Time
}

// NewFailureEstimator returns the estimator of a server without recorded outcomes.
func NewFailureEstimator(now time.Time) FailureEstimator {
	return FailureEstimator{posterior: priorFailureProbability, updatedAt: now}
}

// Probability returns the probability that the server is in a failing phase.
func (e *FailureEstimator) Probability(now time.Time) float64 {
	return DecayedFailureProbability(e.posterior, now.Sub(e.updatedAt))
}

// DecayedFailureProbability returns the value that a failure probability has decayed to
// after the elapsed time without new evidence.
func DecayedFailureProbability(probability float64, elapsed time.Duration) float64 {
	decay := math.Exp(-(failureOnsetRate + recoveryRate) * max(0, elapsed.Seconds()))
	return priorFailureProbability + (probability-priorFailureProbability)*decay
}

// ExcessFailureProbability returns the part of a failure probability that exceeds
// priorFailureProbability, scaled to 0 to 1. It is zero for a server without evidence.
func ExcessFailureProbability(probability float64) float64 {
	return max(0, (probability-priorFailureProbability)/(1-priorFailureProbability))
}

// Observe updates the estimate with the outcome of a request.
func (e *FailureEstimator) Observe(failed bool, now time.Time) {
	if failed {
		e.update(failingErrorRate, normalErrorRate, now)
		return
	}
	e.update(1-failingErrorRate, 1-normalErrorRate, now)
}

// ObserveErrorAfterWork updates the estimate with a single server error that followed the usual
// work. It says little, since such errors occur outside failing phases too.
func (e *FailureEstimator) ObserveErrorAfterWork(now time.Time) {
	e.update(errorAfterWorkRatio*normalErrorRate, normalErrorRate, now)
}

// update applies the likelihoods of an outcome during a failing phase and outside.
func (e *FailureEstimator) update(failingLikelihood, normalLikelihood float64, now time.Time) {
	prior := e.Probability(now)
	e.posterior = prior * failingLikelihood / (prior*failingLikelihood + (1-prior)*normalLikelihood)
	e.updatedAt = now
}

// AboveThreshold reports whether the failure probability is so high that non-idempotent
// requests should go to another server.
func (e *FailureEstimator) AboveThreshold(now time.Time) bool {
	return e.Probability(now) > failureThreshold
}
