package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// refusedShare returns the share of the retries of an urgency that the budgets refused.
func (f *simulatedFleet) refusedShare(urgency fleetconfig.Urgency) float64 {
	return float64(f.refusedBy[urgency]) / float64(f.askedBy[urgency])
}

// While a third of the runs fails, more retries are needed than the bound allows. The most
// urgent of three ranks is refused half as often as without ranks, the least urgent one still
// gets some, and together they are no fewer, but for one in twenty.
func TestScarceRetriesGoToUrgentRequests(t *testing.T) {
	run := func(ranks int) *simulatedFleet {
		fleet := newSimulatedFleet(30, 1)
		fleet.ranks = ranks
		fleet.offer(0, 80)
		fleet.offer(1, 30)
		fleet.failing = 0.33
		fleet.run(120 * time.Second)
		return fleet
	}
	equal, ranked := run(1), run(3)
	must.LessEq(t, equal.refusedShare(1)/2, ranked.refusedShare(1))
	must.LessEq(t, 0.95, ranked.refusedShare(3))
	must.GreaterEq(t, 0.95*float64(equal.asked-equal.refused), float64(ranked.asked-ranked.refused))
}

// Credit is kept for more urgent repeats only as long as they may be expected, but for every
// fourth, and never for repeats of the same urgency.
func TestCreditIsKeptForMoreUrgentRepeats(t *testing.T) {
	const high, low = 1, 2
	limits := RepeatLimits{Share: 1, Lifetime: time.Minute}
	var budget RepeatBudget
	takes := func(urgency fleetconfig.Urgency, at time.Time) bool {
		return budget.Ask(limits, urgency, at) && budget.Take(limits, urgency, at)
	}
	budget.RecordFirst(limits, epoch)
	must.True(t, takes(low, epoch))
	must.False(t, takes(high, epoch))
	budget.RecordFirst(limits, epoch)
	must.False(t, takes(low, epoch), must.Sprint("a more urgent one has found no credit"))
	must.True(t, takes(low, epoch.Add(demandHalfLife+time.Millisecond)))

	budget = RepeatBudget{}
	for range maxReservedTakes + 1 {
		budget.RecordFirst(limits, epoch)
	}
	must.True(t, takes(high, epoch))
	must.True(t, takes(high, epoch))
	must.False(t, takes(low, epoch))
	must.True(t, takes(high, epoch))
	must.True(t, takes(low, epoch), must.Sprint("every fourth"))
}

// The least urgent ranks are left out when there are too many.
func TestDemandTellsMostUrgentRanksApart(t *testing.T) {
	var asked demand
	for urgency := fleetconfig.Urgency(10); urgency > 0; urgency-- {
		asked.record(urgency, epoch)
	}
	must.Eq(t, maxRanks, asked.moreUrgent(fleetconfig.LeastUrgent, epoch))
	must.Eq(t, 1, asked.moreUrgent(2, epoch))
	must.Zero(t, asked.moreUrgent(1, epoch))
	must.Zero(t, asked.moreUrgent(fleetconfig.LeastUrgent, epoch.Add(time.Minute)))
}

// Retries of an ingress go on that are more urgent than the one that servers had no credit for.
func TestPauseSparesMoreUrgentRetries(t *testing.T) {
	budget := NewBudget(&simulatedPreset)
	for range 50 {
		budget.RecordRequest("a", epoch)
	}
	budget.Exhausted(2, epoch)
	must.False(t, budget.Take("a", 2, epoch))
	must.True(t, budget.Take("a", 1, epoch))
	budget.Exhausted(1, epoch)
	budget.Exhausted(2, epoch)
	must.False(t, budget.Take("a", 1, epoch))
	must.True(t, budget.Take("a", 1, epoch.Add(exhaustedPause)))
}
