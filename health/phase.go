package health

import (
	"math"
	"time"
)

// Parameters of the failing phases that a Phase looks for. Gray servers fail most
// of their requests for a few seconds and then recover by themselves; the rates are
// the middle of what such servers show, and only their order of magnitude matters.
const (
	// phaseFailShare is the share of requests that fail in a failing phase.
	phaseFailShare = 0.7
	// phaseUsualShare is the share that fails otherwise, by faults of single requests.
	phaseUsualShare = 0.02
	// phaseOnset and phaseRecovery are how often a phase begins and ends, per second.
	phaseOnset    = 1.0 / 15
	phaseRecovery = 1.0 / 4
	// phaseStationary is the belief without any evidence.
	phaseStationary = phaseOnset / (phaseOnset + phaseRecovery)
)

// doubtLimit is the doubt from which a request that can not be repeated should go
// to another server: about every fifth one would fail.
const doubtLimit = 0.3

// FailureEstimator is the belief, as a probability, that a server is in a failing phase now.
// It is the forward algorithm of a hidden Markov model with two states (L. Rabiner,
// "A Tutorial on Hidden Markov Models", Proc. IEEE 77, 1989): each outcome weighs
// the belief by how likely it is in either state, and between outcomes the belief
// drifts to what it would be without any evidence, so that a server that nobody
// dares to use is tried again.
//
// It answers the load of servers that fail within milliseconds and thereby look
// idle: without it they attract most of a service's requests.
type FailureEstimator struct {
	belief float64
	at     time.Time
}

// NewFailureEstimator returns the belief about a server of which nothing is known.
func NewFailureEstimator(now time.Time) FailureEstimator {
	return FailureEstimator{belief: phaseStationary, at: now}
}

// Probability returns the probability that the server is in a failing phase.
func (p *FailureEstimator) Probability(now time.Time) float64 {
	return DecayedFailureProbability(p.belief, now.Sub(p.at))
}

// DecayedFailureProbability returns what a doubt has become after a time without evidence.
func DecayedFailureProbability(doubt float64, elapsed time.Duration) float64 {
	kept := math.Exp(-(phaseOnset + phaseRecovery) * max(0, elapsed.Seconds()))
	return phaseStationary + (doubt-phaseStationary)*kept
}

// ExcessFailureProbability returns the part of a doubt that rests on evidence, from 0 to 1: a
// server of which nothing is known has none.
func ExcessFailureProbability(doubt float64) float64 {
	return max(0, (doubt-phaseStationary)/(1-phaseStationary))
}

// Observe takes in how a request ended.
func (p *FailureEstimator) Observe(failed bool, now time.Time) {
	prior := p.Probability(now)
	inPhase, otherwise := 1-phaseFailShare, 1-phaseUsualShare
	if failed {
		inPhase, otherwise = phaseFailShare, phaseUsualShare
	}
	p.belief = prior * inPhase / (prior*inPhase + (1-prior)*otherwise)
	p.at = now
}

// AboveThreshold reports whether requests that can not be repeated should go elsewhere.
func (p *FailureEstimator) AboveThreshold(now time.Time) bool { return p.Probability(now) > doubtLimit }
