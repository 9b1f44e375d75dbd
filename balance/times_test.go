package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// Of two servers of the same load the faster one is preferred, but not at any load.
func TestPickPrefersFasterServer(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	pool := NewPool(DefaultPolicy())
	pool.Set([]Backend{{ID: testID(0), Slots: 8, Weight: 1}, {ID: testID(1), Slots: 8, Weight: 1}})
	pickedSecond := func() int {
		picked := 0
		for range 1000 {
			index, _ := pool.Pick(rng, nil)
			picked += index
		}
		return picked
	}
	must.Between(t, 300, pickedSecond(), 700)
	for index := range 2 {
		pool.UpdateLoad(index, 4, 1)
	}
	pool.SetSlowness(0, 2)
	must.Greater(t, 800, pickedSecond())
	pool.UpdateLoad(1, 8, 1)
	must.Less(t, 200, pickedSecond())
}

// Guards against servers that look idle, and get requests beyond their slots, whenever any
// member of the fleet has changed.
func TestSetKeepsReportsOfTheSameProcess(t *testing.T) {
	policy := DefaultPolicy()
	policy.KeepReports = true
	pool := NewPool(policy)
	backends := []Backend{{ID: testID(0), Slots: 8, Weight: 1, Started: 1}, {ID: testID(1), Slots: 8, Weight: 1, Started: 1}}
	pool.Set(backends)
	for index := range backends {
		pool.UpdateLoad(index, 40, 0.5)
		pool.SetSlowness(index, 2)
	}
	backends[1].Started = 2
	pool.Set(backends)
	kept, restarted := pool.Backend(0), pool.Backend(1)
	must.Eq(t, 40, kept.ReportedInFlight)
	must.Eq(t, 0.5, kept.Weight)
	must.Eq(t, 2, kept.Slowness)
	must.Zero(t, restarted.ReportedInFlight)
	must.Zero(t, restarted.Slowness)
	pool.ForgetLoad(0)
	must.Zero(t, pool.Backend(0).ReportedInFlight)
	must.Eq(t, 1, pool.Backend(0).Weight)
}

// A server of a farther tier must gain more than the way costs.
func TestPickCountsTheHopCost(t *testing.T) {
	policy := DefaultPolicy()
	policy.HopCost = 0.2
	pool := NewPool(policy)
	pool.Set([]Backend{{ID: testID(0), Slots: 10, Weight: 1}, {ID: testID(1), Tier: TierRegion, Slots: 10, Weight: 1}})
	rng := rand.New(rand.NewPCG(9, 9))
	pool.UpdateLoad(0, 9, 1)
	for farInFlight, expected := range map[uint32]int{8: 0, 6: 1} {
		pool.UpdateLoad(1, farInFlight, 1)
		index, ok := pool.Pick(rng, nil)
		must.True(t, ok)
		must.Eq(t, expected, index)
	}
}
