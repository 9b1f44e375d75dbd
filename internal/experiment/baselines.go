package experiment

import (
	"math"
	"time"

	"github.com/hemlockring/hemlockring/health"
)

// policyName is the name of a policy in the results.
type policyName string

// Detection policies. policyProbes sees only the results of its active probes; all others see
// the same request outcomes. policyCUSUM is implemented by package health; the others are
// baselines. The values are stored in results. The words "round robin" say nothing about
// detection: they name the load balancing that is combined with probes in the load runs.
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
	name        policyName
	failures    int
	nextProbeAt time.Time
	// outcomes is a ring buffer of the last outcomes; true is bad.
	outcomes [zScoreWindow]bool
	// outcomeCount is the number of outcomes since the last ejection.
	outcomeCount int
	// badInWindow is the number of bad outcomes in outcomes.
	badInWindow  int
	ejections    []time.Time
	ejectedUntil time.Time
}

func (r *baselinePolicy) eject(now time.Time) {
	r.ejections = append(r.ejections, now)
	r.ejectedUntil = now.Add(baselineEjectionTime)
	r.failures, r.outcomeCount, r.badInWindow = 0, 0, 0
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
		if r.outcomeCount >= zScoreWindow && r.zScore() > zScoreLimit {
			r.eject(request.endsAt)
		}
	}
}

func (r *baselinePolicy) recordOutcome(bad bool) {
	slot := &r.outcomes[r.outcomeCount%zScoreWindow]
	if *slot {
		r.badInWindow--
	}
	if bad {
		r.badInWindow++
	}
	*slot = bad
	r.outcomeCount++
}

// zScore returns the deviation of the number of bad outcomes in the window from the mean
// that is assumed for a healthy server, in standard deviations.
func (r *baselinePolicy) zScore() float64 {
	const healthyBadFraction = 0.015
	mean := healthyBadFraction * zScoreWindow
	return (float64(r.badInWindow) - mean) / math.Sqrt(zScoreWindow*healthyBadFraction*(1-healthyBadFraction))
}
