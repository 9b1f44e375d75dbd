package queue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Parameters of the simulated requests in the tests of overload.
const (
	overloadSlots       = 3
	overloadServiceTime = 200 * time.Millisecond
	overloadTarget      = 600 * time.Millisecond
	overloadMaxWait     = time.Second
	overloadDeadline    = 4 * time.Second
)

// simulateArrivals offers requests at random times at the given rate, and returns how many
// finished, how many of these within the latency target, and how many were refused after a
// wait of more than the target.
func simulateArrivals(t *testing.T, perSecond float64, length time.Duration) (finished, inTime, refusedLate int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	queue := New(overloadSlots, 32)
	offeredAt := map[ItemID]time.Time{}
	endsAt := map[ItemID]time.Time{}
	apply := func(actions []Action, now time.Time) {
		for _, action := range actions {
			switch action := action.(type) {
			case Run:
				endsAt[action.ID] = now.Add(time.Duration(float64(overloadServiceTime) * (0.5 + rng.Float64())))
			case Refuse:
				if now.Sub(offeredAt[action.ID]) > overloadTarget {
					refusedLate++
				}
			}
		}
	}
	const step = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		now := epoch.Add(elapsed)
		for id := range ItemID(len(offeredAt)) {
			end, running := endsAt[id]
			if !running || end.After(now) {
				continue
			}
			delete(endsAt, id)
			finished++
			if now.Sub(offeredAt[id]) <= overloadTarget {
				inTime++
			}
			apply(queue.Done(id, now), now)
		}
		if rng.Float64() < perSecond*step.Seconds() {
			item := Item{ID: ItemID(len(offeredAt)), Deadline: now.Add(overloadDeadline), StartBy: now.Add(overloadMaxWait), TargetTime: now.Add(overloadTarget)}
			offeredAt[item.ID] = now
			apply(queue.Offer(item, now), now)
		}
		apply(queue.Tick(now), now)
	}
	return finished, inTime, refusedLate
}

// Guards against a queue under lasting overload in which each request is answered late.
func TestOverloadedQueueAnswersWithinLatencyTarget(t *testing.T) {
	const length = 30 * time.Second
	finished, inTime, refusedLate := simulateArrivals(t, 30, length)
	capacity := int(overloadSlots * length / overloadServiceTime)
	must.GreaterEq(t, capacity*9/10, finished)
	must.GreaterEq(t, finished*8/10, inTime, must.Sprintf("%d of %d answered in time", inTime, finished))
	must.Less(t, finished/20, refusedLate)
}

// A burst is worked off although some of its requests are answered late.
func TestQueueRunsBurstBeyondLatencyTarget(t *testing.T) {
	queue := New(1, 32)
	now := epoch
	for id := ItemID(1); id <= 20; id++ {
		now = runFor(t, queue, id, overloadServiceTime, now)
	}
	const burst = 5
	for id := ItemID(101); id <= 100+burst; id++ {
		for _, action := range queue.Offer(Item{ID: id, Deadline: now.Add(overloadDeadline), StartBy: now.Add(overloadMaxWait), TargetTime: now.Add(overloadTarget)}, now) {
			must.Eq(t, Action(Run{ID: id}), action)
		}
	}
	for id := ItemID(101); id < 100+burst; id++ {
		now = now.Add(overloadServiceTime)
		must.Eq(t, []Action{Run{ID: id + 1}}, queue.Done(id, now))
	}
}

// A backlog that will soon be worked off is, although its requests miss their targets; a longer
// one is not.
func TestToleratedBacklogIsWorkedOff(t *testing.T) {
	for _, c := range []struct {
		waiting int
		refused bool
	}{{8, false}, {15, true}} {
		queue := New(1, 32)
		queue.SetToleratedBacklog(time.Second)
		now := epoch
		for id := ItemID(1); id <= 50; id++ {
			now = runFor(t, queue, id, 100*time.Millisecond, now)
		}
		must.Len(t, 1, queue.Offer(Item{ID: 100, Deadline: now.Add(time.Minute)}, now))
		for id := ItemID(101); id <= ItemID(100+c.waiting); id++ {
			must.SliceEmpty(t, queue.Offer(Item{ID: id, Deadline: now.Add(time.Minute), TargetTime: now.Add(200 * time.Millisecond)}, now))
		}
		actions := queue.Tick(now.Add(overloadAfter))
		must.Eq(t, c.refused, len(actions) > 0)
	}
}
