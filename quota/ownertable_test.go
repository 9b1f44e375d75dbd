package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/simnet"
	"github.com/hemlockring/hemlockring/shard"
)

// TestOwnerTableFirstTargetIsResponsive draws events: an instance does not respond, or it
// replies and names an owner, correctly or not. As long as some instance is not suspected,
// the first target must not be suspected.
func TestOwnerTableFirstTargetIsResponsive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var instances []fleetconfig.InstanceAddress
		for i := range 5 {
			instances = append(instances, fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("i%d", i))})
		}
		shards := shard.InitialMap(1, instances)
		table := NewOwnerTable()
		silentUntil := make(map[fleetconfig.InstanceID]time.Time)
		silentFor := make(map[fleetconfig.InstanceID]time.Duration)
		now := simnet.StartTime
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "elapsed")) * time.Millisecond)
			instance := instances[rapid.IntRange(0, 4).Draw(t, "instance")].ID
			if rapid.Bool().Draw(t, "silent") {
				table.Suspect(0, instance, now)
				if !now.Before(silentUntil[instance]) {
					if now.Sub(silentUntil[instance]) > suspicionReset {
						silentFor[instance] = 0
					}
					silentFor[instance] = min(max(initialSuspicion, 2*silentFor[instance]), maxSuspicion)
					silentUntil[instance] = now.Add(silentFor[instance])
				}
			} else {
				named := instances[rapid.IntRange(0, 4).Draw(t, "named")].ID
				table.HandleReply(instance, &BorrowReply{Owner: named}, now)
				delete(silentUntil, instance)
				delete(silentFor, instance)
			}
			silent := 0
			for _, until := range silentUntil {
				if now.Before(until) {
					silent++
				}
			}
			target, ok := table.Target(0, &shards, 0, now)
			must.True(t, ok)
			if silent < len(instances) {
				must.False(t, now.Before(silentUntil[target.ID]))
			}
		}
	})
}

// Guards against refusing the requests of all accounts of an owner for two seconds because
// of one late response. The owner is avoided briefly after one missing response, and longer
// with each further one.
func TestOwnerTableSuspicionDoublesUntilAnswer(t *testing.T) {
	instances := []fleetconfig.InstanceAddress{{ID: "i0"}, {ID: "i1"}, {ID: "i2"}}
	shards := shard.InitialMap(1, instances)
	table := NewOwnerTable()
	now := simnet.StartTime
	named := &BorrowReply{Owner: "i1"}
	must.Eq(t, RouteRetry, table.HandleReply("i0", named, now))
	for _, expected := range []time.Duration{initialSuspicion, 2 * initialSuspicion, 4 * initialSuspicion, 8 * initialSuspicion, 16 * initialSuspicion, maxSuspicion, maxSuspicion} {
		table.Suspect(0, "i1", now)
		table.Suspect(0, "i1", now.Add(expected/2))
		must.Eq(t, RouteUnreachable, table.HandleReply("i0", named, now.Add(expected-time.Millisecond)))
		now = now.Add(expected)
		must.Eq(t, RouteRetry, table.HandleReply("i0", named, now))
		target, ok := table.Target(0, &shards, 0, now)
		must.True(t, ok && target.ID == "i1")
	}
	// A reply ends the suspicion.
	must.Eq(t, RouteAnswered, table.HandleReply("i1", &BorrowReply{IsOwner: true}, now))
	table.Suspect(0, "i1", now)
	must.Eq(t, RouteRetry, table.HandleReply("i0", named, now.Add(initialSuspicion)))
}
