package selection

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// A repeat is sent to a server that may receive one although others are less loaded, first
// requests are not concerned, and where no server may receive one, none is tried.
func TestRepeatGoesToServerWithCredit(t *testing.T) {
	const servers = 3
	selector := newLimitedSelector(t, servers)
	pool := selector.service("catalogue")
	repeat := &pipeline.Exchange{Service: "catalogue", ReachedAttempts: 1}
	selector.Pick(repeat, nil)
	policy := pool.pool.Policy()
	policy.KeepReports = true
	pool.pool.SetPolicy(policy)
	pick := func() (ingress.Candidate, bool) {
		var skip []ingress.Candidate
		pool.mu.Lock()
		defer pool.mu.Unlock()
		index, _, ok := pool.pickFromPool(repeat, skip, clock.Now())
		if !ok {
			return ingress.Candidate{}, false
		}
		return newCandidate(pool.snapshot, pool.hosted[index]), true
	}
	reportLoads(selector, "near", servers, membership.ServerLoad{WeightPercent: 100, NoRepeats: true})
	reportLoads(selector, "far", servers, membership.ServerLoad{WeightPercent: 100, NoRepeats: true})
	selector.HandleLoadReports("near-2", []membership.ServerLoad{{Server: "near-2", WeightPercent: 100, InFlight: 3 * testSlots}})
	candidate, ok := pick()
	must.True(t, ok)
	must.Eq(t, fleetconfig.InstanceID("near-2"), candidate.Instance)
	repeat.ReachedAttempts = 0
	candidate, ok = pick()
	must.True(t, ok)
	must.NotEq(t, fleetconfig.InstanceID("near-2"), candidate.Instance)
	repeat.RepeatedCall = true
	reportLoads(selector, "near", servers, membership.ServerLoad{WeightPercent: 100, NoRepeats: true})
	_, ok = pick()
	must.False(t, ok)
	// Old news does not keep repeats away.
	pool.mu.Lock()
	_, _, ok = pool.pickFromPool(repeat, nil, clock.Now().Add(repeatNewsLifetime))
	pool.mu.Unlock()
	must.True(t, ok)
}
