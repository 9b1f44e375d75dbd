package experiment

import (
	"math"
	"time"

	"github.com/hemlockring/hemlockring/health"
)

// policyName names a policy in the results.
type policyName string

// The detection policies that see the same outcomes.
const (
	policyProbes      policyName = "round robin, probes only"
	policyConsecutive policyName = "5 consecutive errors"
	policyZScore      policyName = "z-score"
	policyCUSUM       policyName = "CUSUM with permits"
)

// detectionPolicies are all of them, in the order of the tables.
var detectionPolicies = []policyName{policyProbes, policyConsecutive, policyZScore, policyCUSUM}

// Parameters of the simpler policies.
const (
	probeInterval     = 5 * time.Second
	probeFailures     = 3
	consecutiveErrors = 5
	zWindow           = 30
	zLimit            = 6
	rivalHold         = 30 * time.Second
)

// rival is a simple detection policy for one backend server. It ejects for a
// fixed hold and has no floor.
type rival struct {
	name     policyName
	failures int
	nextAt   time.Time
	outcomes [zWindow]bool
	count    int
	bad      int
	ejected  []time.Time
	until    time.Time
}

func (r *rival) eject(now time.Time) {
	r.ejected = append(r.ejected, now)
	r.until = now.Add(rivalHold)
	r.failures, r.count, r.bad = 0, 0, 0
	r.outcomes = [zWindow]bool{}
}

// probe is an active probe of the health endpoint when one is due.
func (r *rival) probe(failed bool, now time.Time) {
	if now.Before(r.nextAt) || now.Before(r.until) {
		return
	}
	r.nextAt = now.Add(probeInterval)
	if !failed {
		r.failures = 0
		return
	}
	if r.failures++; r.failures >= probeFailures {
		r.eject(now)
	}
}

// ended counts an outcome. The z-score sees errors and latencies past the bound
// of a fixed baseline.
func (r *rival) ended(request *fakeRequest, slowBound time.Duration) {
	if request.ends.Before(r.until) {
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
			r.eject(request.ends)
		}
	case policyZScore:
		r.window(failed || request.ends.Sub(request.began) > slowBound)
		if r.count >= zWindow && r.z() > zLimit {
			r.eject(request.ends)
		}
	}
}

func (r *rival) window(bad bool) {
	slot := &r.outcomes[r.count%zWindow]
	if *slot {
		r.bad--
	}
	if bad {
		r.bad++
	}
	*slot = bad
	r.count++
}

// z is the distance of the bad share in the window from the usual share, in
// standard deviations.
func (r *rival) z() float64 {
	const usual = 0.015
	mean := usual * zWindow
	return (float64(r.bad) - mean) / math.Sqrt(zWindow*usual*(1-usual))
}
