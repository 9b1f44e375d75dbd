package experiment

import (
	"math"
	"time"

	"github.com/hemlockring/hemlockring/health"
)

// policyName is the name of a policy in the results.
type policyName string

// Detection policies. All of them see the same outcomes. policyCUSUM is implemented by
// package health; the others are baselines.
const (
	policyProbes      policyName = "round robin, probes only"
	policyConsecutive policyName = "5 consecutive errors"
	policyZScore      policyName = "z-score"
	policyCUSUM       policyName = "CUSUM with permits"
)

// detectionPolicies lists all detection policies in the order of the tables. policyCUSUM is
// last.
var detectionPolicies = []policyName{policyProbes, policyConsecutive, policyZScore, policyCUSUM}

// Parameters of the baseline policies.
const (
	probeInterval        = 5 * time.Second
	probeFailures        = 3
	consecutiveErrors    = 5
	zScoreWindow         = 30
	zScoreLimit          = 6
	baselineEjectionTime = 30 * time.Second
)

// baselinePolicy is a simple detection policy for one backend server. It ejects the server
// for a fixed time and does not preserve a minimum healthy capacity.
type baselinePolicy struct {
	name         policyName
	failures     int
	nextProbeAt  time.Time
	outcomes     [zScoreWindow]bool
	count        int
	badCount     int
	ejections    []time.Time
	ejectedUntil time.Time
}

func (r *baselinePolicy) eject(now time.Time) {
	r.ejections = append(r.ejections, now)
	r.ejectedUntil = now.Add(baselineEjectionTime)
	r.failures, r.count, r.badCount = 0, 0, 0
	r.outcomes = [zScoreWindow]bool{}
}

// probe records the result of an active probe of the health endpoint if a probe is due.
func (r *baselinePolicy) probe(failed bool, now time.Time) {
	if now.Before(r.nextProbeAt) || now.Before(r.ejectedUntil) {
		return
	}
	r.nextProbeAt = now.Add(probeInterval)
	if !failed {
		r.failures = 0
		return
	}
	if r.failures++; r.failures >= probeFailures {
		r.eject(now)
	}
}

// requestEnded records the outcome of a request. The z-score policy counts errors and
// latencies above slowBound as bad.
func (r *baselinePolicy) requestEnded(request *fakeRequest, slowBound time.Duration) {
	if request.endsAt.Before(r.ejectedUntil) {
		return
	}
	failed := request.result != health.ResultOK
	switch r.name {
	case policyConsecutive:
		r.failures++
		if !failed {
			r.failures = 0
		}
		if r.failures >= consecutiveErrors {
			r.eject(request.endsAt)
		}
	case policyZScore:
		r.recordOutcome(failed || request.endsAt.Sub(request.startedAt) > slowBound)
		if r.count >= zScoreWindow && r.zScore() > zScoreLimit {
			r.eject(request.endsAt)
		}
	}
}

func (r *baselinePolicy) recordOutcome(bad bool) {
	slot := &r.outcomes[r.count%zScoreWindow]
	if *slot {
		r.badCount--
	}
	if bad {
		r.badCount++
	}
	*slot = bad
	r.count++
}

// zScore returns the deviation of the number of bad outcomes in the window from its usual
// mean, in standard deviations.
func (r *baselinePolicy) zScore() float64 {
	const usualBadFraction = 0.015
	mean := usualBadFraction * zScoreWindow
	return (float64(r.badCount) - mean) / math.Sqrt(zScoreWindow*usualBadFraction*(1-usualBadFraction))
}
