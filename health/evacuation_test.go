package health

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// The servers of an evacuated domain count neither as healthy nor in the base of the floor, and
// are not ejected themselves.
func TestFloorIgnoresEvacuatedServers(t *testing.T) {
	const slots = 4
	floor := Floor{Percent: 70}
	policy := PolicyForPreset(&fleetconfig.Preset{EjectionEnabled: true, SlowStart: 3 * time.Second})
	capacities := func(evacuated int, at time.Time) []Capacity {
		var all []Capacity
		for i := range 8 {
			monitor := NewMonitor("i", "s", slots, policy, 1, epoch)
			for range minGoodOutcomes {
				monitor.End(monitor.Begin("a", at.Add(time.Second), at), ResultOK, at)
			}
			monitor.SetEvacuated(i < evacuated, at)
			all = append(all, Capacity{Slots: slots, Status: monitor.Status()})
		}
		return all
	}
	// Of eight servers, two may be ejected: 5.6 must remain. With four evacuated, one of the
	// other four: 2.8 must remain.
	all := capacities(0, epoch)
	must.True(t, MayEject(floor, all, 7))
	all[7].Status = StatusEjected
	must.True(t, MayEject(floor, all, 6))
	rest := capacities(4, epoch)
	must.True(t, MayEject(floor, rest, 7))
	rest[7].Status = StatusEjected
	must.False(t, MayEject(floor, rest, 6))
}

// A server that is taken back starts slowly, until the end of its announced warm-up if that is
// still to come, and must prove itself before it counts as healthy.
func TestServerStartsSlowlyAfterEvacuation(t *testing.T) {
	policy := PolicyForPreset(&fleetconfig.Preset{EjectionEnabled: true, SlowStart: 3 * time.Second})
	for _, warmUp := range []time.Duration{0, time.Second, 25 * time.Second} {
		monitor := NewMonitor("i", "s", 4, policy, 1, epoch)
		length := policy.SlowStart
		now := epoch.Add(20 * time.Second)
		if warmUp > 0 {
			monitor.SetWarmAt(epoch.Add(warmUp))
			length = max(length, epoch.Add(warmUp).Sub(now))
		}
		monitor.SetEvacuated(false, epoch.Add(10*time.Second))
		monitor.SetEvacuated(true, epoch.Add(10*time.Second))
		must.Eq(t, StatusDraining, monitor.Status())
		monitor.SetEvacuated(true, now)
		monitor.SetEvacuated(false, now)
		must.Eq(t, StatusUnknown, monitor.Status())
		must.Eq(t, minWeight, monitor.Weight(now))
		must.InDelta(t, 0.5, monitor.Weight(now.Add(length/2)), 0.01)
		must.Eq(t, 1, monitor.Weight(now.Add(length)))
	}
}
