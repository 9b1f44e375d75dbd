package selection

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// refuseFrom makes every attempt at servers on the named instances end with the refusal, and
// returns how many of the requests were sent there first.
func refuseFrom(t *testing.T, selector *Selector, refusing map[fleetconfig.InstanceID]bool, requests int) int {
	t.Helper()
	refused := 0
	for range requests {
		candidate, ok := selector.Pick(&pipeline.Exchange{Service: "catalogue", Idempotent: true}, nil)
		must.True(t, ok)
		attempt := &ingress.Attempt{Candidate: candidate, Service: "catalogue"}
		if refusing[candidate.Instance] {
			attempt.Refusal = pipeline.KindServerSuspect
			refused++
		}
		selector.Done(attempt)
	}
	return refused
}

// Guards against an ingress that sends each idempotent request to a suspect as a probe while
// its proxy admits only one of them at a time.
func TestRefusalOfSuspectKeepsRequestsAway(t *testing.T) {
	const servers = 2
	selector := newLimitedSelector(t, servers)
	full := membership.ServerLoad{WeightPercent: 100, InFlight: 5 * testSlots}
	reportLoads(selector, "far", servers, full)
	reportLoads(selector, "near", servers, full)
	reportLoads(selector, "near", 1, membership.ServerLoad{WeightPercent: 100, FailureProbabilityPercent: 80})
	suspect := map[fleetconfig.InstanceID]bool{"near-0": true}
	// The ingress beside the suspect probes it once more, but not as a choice of the pool.
	must.LessEq(t, 2, refuseFrom(t, selector, suspect, 100))

	// A report that the server is sound again ends the hold.
	sound := membership.ServerLoad{WeightPercent: 100}
	reportLoads(selector, "near", 1, sound)
	must.Positive(t, refuseFrom(t, selector, suspect, 100))
}

// A service all of whose servers are held is still tried.
func TestHeldServersAreTriedWhenNoOtherIsLeft(t *testing.T) {
	selector := newLimitedSelector(t, 1)
	all := map[fleetconfig.InstanceID]bool{"near-0": true, "far-0": true}
	must.Eq(t, 10, refuseFrom(t, selector, all, 10))
	candidate, ok := selector.Pick(&pipeline.Exchange{Service: "catalogue"}, nil)
	must.True(t, ok)
	must.True(t, candidate.LastResort)
}

// A server in trial is idle and admits one request at a time, so that a request that compares
// all servers must not prefer it to a loaded one.
func TestSecondAttemptAvoidsServersOfLowWeight(t *testing.T) {
	const servers = 2
	selector := newLimitedSelector(t, servers)
	reportLoads(selector, "near", servers, membership.ServerLoad{WeightPercent: 100, InFlight: testSlots / 2})
	reportLoads(selector, "near", 1, membership.ServerLoad{WeightPercent: trialWeightPercent})
	candidate, ok := selector.Pick(&pipeline.Exchange{Service: "catalogue", ReachedAttempts: 1}, nil)
	must.True(t, ok)
	must.Eq(t, "near-1", string(candidate.Instance))
}
