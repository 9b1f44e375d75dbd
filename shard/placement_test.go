package shard

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/simnet"
)

func drawInstances(t *rapid.T) []fleetconfig.InstanceAddress {
	count := rapid.IntRange(1, 60).Draw(t, "instances")
	domains := rapid.IntRange(1, 8).Draw(t, "domains")
	instances := make([]fleetconfig.InstanceAddress, count)
	for i := range instances {
		instances[i] = fleetconfig.InstanceAddress{
			ID:            fleetconfig.InstanceID(fmt.Sprintf("instance-%d", i)),
			FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}
	}
	return instances
}

func TestPlaceSpreadsReplicasOverFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		id := ID(rapid.Uint32().Draw(t, "shard"))
		domains := make(map[fleetconfig.FailureDomain]struct{})
		for _, instance := range instances {
			domains[instance.FailureDomain] = struct{}{}
		}
		replicas := Place(id, instances)
		must.Len(t, min(ReplicasPerShard, len(instances)), replicas)
		chosen := make(map[fleetconfig.InstanceID]struct{})
		used := make(map[fleetconfig.FailureDomain]struct{})
		for _, replica := range replicas {
			chosen[replica.ID] = struct{}{}
			used[replica.FailureDomain] = struct{}{}
		}
		must.MapLen(t, len(replicas), chosen)
		must.MapLen(t, min(len(replicas), len(domains)), used)
	})
}

// If an instance is removed, the placement of a shard that had no replica on it must
// not change.
func TestPlaceUnchangedForShardsNotOnRemovedInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		id := ID(rapid.Uint32().Draw(t, "shard"))
		removed := rapid.IntRange(0, len(instances)-1).Draw(t, "removed")
		before := Place(id, instances)
		after := Place(id, slices.Delete(slices.Clone(instances), removed, removed+1))
		isRemoved := func(a fleetconfig.InstanceAddress) bool { return a.ID == instances[removed].ID }
		if !slices.ContainsFunc(before, isRemoved) {
			must.Eq(t, before, after)
		}
	})
}

// The planner must reach the desired placement if every step is confirmed
// immediately.
func TestPlannerConvergesToPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := drawInstances(t)
		survivors := instances[:rapid.IntRange(1, len(instances)).Draw(t, "survivors")]
		current := InitialMap(4, instances)
		planner := NewPlanner(PlannerTiming{})
		planner.Observe(survivors, simnet.StartTime)
		for steps := 0; ; steps++ {
			must.Less(t, 50, steps)
			next, ok := planner.NextMap(&current, confirmAll(&current), simnet.StartTime)
			if !ok {
				break
			}
			checkStep(t, &current, &next)
			current = next
		}
		for i := range current.Shards {
			wanted := Place(ID(i), survivors)
			must.Len(t, len(wanted), current.Shards[i].Replicas)
			for _, replica := range wanted {
				must.SliceContains(t, current.Shards[i].Replicas, replica)
			}
		}
	})
}

// confirmAll returns the confirmations of the map by every replica.
func confirmAll(current *fleetconfig.ShardMap) ConfirmedEpochs {
	confirmed := make(ConfirmedEpochs)
	for i, placement := range current.Shards {
		confirmed[ID(i)] = make(map[fleetconfig.InstanceID]uint64)
		for _, replica := range placement.Replicas {
			confirmed[ID(i)][replica.ID] = current.Epoch
		}
	}
	return confirmed
}

// checkStep checks that a step changes each shard by at most one replica.
func checkStep(t *rapid.T, current, next *fleetconfig.ShardMap) {
	must.Eq(t, current.Epoch+1, next.Epoch)
	for i := range current.Shards {
		changed := 0
		for _, replica := range current.Shards[i].Replicas {
			if !slices.Contains(next.Shards[i].Replicas, replica) {
				changed++
			}
		}
		for _, replica := range next.Shards[i].Replicas {
			if !slices.Contains(current.Shards[i].Replicas, replica) {
				changed++
			}
		}
		must.LessEq(t, 1, changed)
	}
}
