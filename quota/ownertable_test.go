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

// TestOwnerTableFirstTargetIsNotSuspected draws events: an instance does not respond, or it
// replies and names an owner, correctly or not. As long as some instance is not suspected,
// the first target must not be suspected.
func TestOwnerTableFirstTargetIsNotSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var instances []fleetconfig.InstanceAddress
		for i := range 5 {
			instances = append(instances, fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("i%d", i))})
		}
		shards := shard.InitialMap(1, instances)
		table := NewOwnerTable()
		suspectedUntil := make(map[fleetconfig.InstanceID]time.Time)
		suspicionDuration := make(map[fleetconfig.InstanceID]time.Duration)
		now := simnet.StartTime
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "elapsed")) * time.Millisecond)
			instance := instances[rapid.IntRange(0, 4).Draw(t, "instance")].ID
			if rapid.Bool().Draw(t, "silent") {
				table.Suspect(0, instance, now)
				if !now.Before(suspectedUntil[instance]) {
					if now.Sub(suspectedUntil[instance]) > suspicionReset {
						suspicionDuration[instance] = 0
					}
					suspicionDuration[instance] = min(max(initialSuspicion, 2*suspicionDuration[instance]), maxSuspicion)
					suspectedUntil[instance] = now.Add(suspicionDuration[instance])
				}
			} else {
				named := instances[rapid.IntRange(0, 4).Draw(t, "named")].ID
				table.HandleReply(instance, &BorrowReply{Owner: named}, now)
				delete(suspectedUntil, instance)
				delete(suspicionDuration, instance)
			}
			suspected := 0
			for _, until := range suspectedUntil {
				if now.Before(until) {
					suspected++
				}
			}
			target, ok := table.Target(0, &shards, 0, now)
			must.True(t, ok)
			if suspected < len(instances) {
				must.False(t, now.Before(suspectedUntil[target.ID]))
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
	// It is avoided in the same way at the address that a replica names, when the map lacks it.
	shards.Shards[0].Replicas = []fleetconfig.InstanceAddress{{ID: "i0"}, {ID: "i2"}}
	target, ok := table.Target(0, &shards, 0, now)
	must.True(t, ok && target.ID != "i1")
	named.OwnerAddress = "192.0.2.1:7000"
	must.Eq(t, RouteRetry, table.HandleReply("i0", named, now))
	for range 2 {
		target, ok = table.Target(0, &shards, 0, now)
		must.True(t, ok && target == fleetconfig.InstanceAddress{ID: "i1", Address: named.OwnerAddress})
		must.Eq(t, RouteAnswered, table.HandleReply("i1", &BorrowReply{IsOwner: true}, now))
	}
	now = now.Add(suspicionReset)
	table.Suspect(0, "i1", now)
	target, ok = table.Target(0, &shards, 0, now)
	must.True(t, ok && target.ID != "i1")
	named.OwnerAddress = ""
	now = now.Add(maxSuspicion)

	// A reply ends the suspicion.
	must.Eq(t, RouteAnswered, table.HandleReply("i1", &BorrowReply{IsOwner: true}, now))
	table.Suspect(0, "i1", now)
	must.Eq(t, RouteRetry, table.HandleReply("i0", named, now.Add(initialSuspicion)))
}
