package selection

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/clock"
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

// A server that its instance does not know gets one request, not one from each caller, until
// the instance has announced itself anew. One whose instance can not be reached is avoided
// with all other servers of the instance, and then probed by one request.
func TestUnregisteredAndUnreachableServersAreNotTriedByEachRequest(t *testing.T) {
	now := clock.Now()
	selector := newLimitedSelector(t, 2)
	attempt := func(id string) *ingress.Attempt {
		return &ingress.Attempt{Service: "catalogue", Candidate: ingress.Candidate{Instance: fleetconfig.InstanceID(id), Server: fleetconfig.BackendServerID(id), Address: "192.0.2.1:7000"}}
	}
	pool := selector.service("catalogue")
	excluded := func(id string) bool {
		index, found := pool.pool.Find(backendID(attempt(id).Candidate))
		must.True(t, found)
		return pool.pool.Backend(index).Excluded&balance.ExcludedRefused != 0
	}
	unregistered := attempt("near-1")
	unregistered.Refusal = pipeline.KindServerUnregistered
	selector.Done(unregistered)
	pool.releaseHeld(now.Add(maxRefusalHold))
	must.True(t, excluded("near-1"))
	// A new record of the instance ends the hold.
	index, _ := pool.pool.Find(backendID(unregistered.Candidate))
	pool.hosted[index].Member.Record.Sequence++
	pool.applyOwnExclusions(index, now)
	must.False(t, excluded("near-1"))

	unreachable := attempt("far-0")
	unreachable.PathFailed, unreachable.ConnectFailed = true, true
	pool.recordRefusal(0, unreachable, now)
	must.True(t, excluded("far-0"))
	after := now.Add(minRefusalHold)
	pool.releaseHeld(after)
	must.False(t, excluded("far-0"))
	index, _ = pool.pool.Find(backendID(unreachable.Candidate))
	pool.probeHeld(index, after)
	must.True(t, excluded("far-0"))
	pool.recordRefusal(index, unreachable, after)
	pool.recordRefusal(index, unreachable, after)
	must.Eq(t, 2*minRefusalHold, pool.holds[backendID(unreachable.Candidate)].length)
	reportLoads(selector, "far", 1, membership.ServerLoad{WeightPercent: 100})
	must.False(t, excluded("far-0"))

	// A server beside this ingress costs no hop, and is held for the shortest time each time.
	index, _ = pool.pool.Find(backendID(attempt("near-0").Candidate))
	pool.hold(index, heldSuspect, now)
	pool.hold(index, heldSuspect, now.Add(time.Minute))
	must.Eq(t, minRefusalHold, pool.holds[backendID(attempt("near-0").Candidate)].length)
}

// A request that has tried all servers but one goes to that one, also after more than eight
// attempts.
func TestRequestTriesEachServerOnce(t *testing.T) {
	const servers = 6
	selector := newLimitedSelector(t, servers)
	var tried []ingress.Candidate
	for i := range 2*servers - 1 {
		id := fmt.Sprintf("%s-%d", []string{"near", "far"}[i/servers], i%servers)
		tried = append(tried, ingress.Candidate{Instance: fleetconfig.InstanceID(id), Server: fleetconfig.BackendServerID(id), Address: "192.0.2.1:7000"})
	}
	for range 20 {
		candidate, ok := selector.Pick(&pipeline.Exchange{Service: "catalogue"}, tried)
		must.True(t, ok)
		must.Eq(t, "far-5", string(candidate.Instance))
		selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue"})
	}
}

// Calls are admitted as long as their deadline can be met: the run that sent them needs the
// response, also after its target.
func TestCallIsNotRefusedForItsTarget(t *testing.T) {
	selector := newLimitedSelector(t, 2)
	late := membership.ServerLoad{WeightPercent: 100, InFlight: 2 * testSlots, NextSlotMillis: 900, Overloaded: true}
	reportLoads(selector, "near", 2, late)
	reportLoads(selector, "far", 2, late)
	now := clock.Now()
	exchange := &pipeline.Exchange{Service: "catalogue", Received: now, Deadline: now.Add(2 * time.Second), Route: &fleetconfig.Route{ID: "r", LatencyTarget: 800 * time.Millisecond, Priority: 1}}
	_, room := selector.Room(exchange, nil, 0)
	must.False(t, room)
	exchange.CallUrgency = fleetconfig.UrgencyOfCall(fleetconfig.UrgencyOf(nil, exchange.Route))
	_, room = selector.Room(exchange, nil, 2)
	must.True(t, room)
}

// Guards against requests that wait until their quota token expires and are then refused for
// want of room, although the next attempt gets another token.
func TestExpiredTokenDoesNotCountAgainstRoom(t *testing.T) {
	selector := newLimitedSelector(t, 2)
	queued := membership.ServerLoad{WeightPercent: 100, InFlight: 2 * testSlots, NextSlotMillis: 500}
	reportLoads(selector, "near", 2, queued)
	reportLoads(selector, "far", 2, queued)
	now := clock.Now()
	exchange := &pipeline.Exchange{Service: "catalogue", Received: now.Add(-time.Second), Deadline: now.Add(4 * time.Second), TokenExpires: now, Route: &fleetconfig.Route{ID: "r", Priority: 1}}
	_, room := selector.Room(exchange, nil, 1)
	must.True(t, room)
	exchange.CurrentUntil = now.Add(100 * time.Millisecond)
	_, room = selector.Room(exchange, nil, 1)
	must.False(t, room)
}
