package fleetconfig

import (
	"fmt"
	"slices"
)

// initialEpoch is the epoch of the first shard map.
const initialEpoch = 1

func (e *editor) placeShards(change *Change) {
	if len(e.shards.Shards) > 0 {
		e.add("shards", "", "have already been placed", "change one replica at a time with step-shard")
		return
	}
	shards := make([]ShardPlacement, len(change.Shards))
	for i := range change.Shards {
		shards[i] = placementAfter(ShardPlacement{}, change.Shards[i].Replicas, e.shards.Epoch+1)
	}
	e.shards = ShardMap{Epoch: e.shards.Epoch + 1, Shards: shards}
}

// openShards ends the initial epoch; see OpenShards.
func (e *editor) openShards() {
	if e.shards.Epoch != initialEpoch {
		e.add("shards", "epoch", fmt.Sprintf("is %d", e.shards.Epoch), "open the shards only once, directly after placing them")
		return
	}
	e.shards = ShardMap{Epoch: e.shards.Epoch + 1, Shards: e.shards.Shards}
}

// stepShard changes one replica of one shard. Any majority of the old replicas and
// any majority of the new ones then have a replica in common.
func (e *editor) stepShard(change *Change) {
	step := change.Step
	if step == nil {
		e.add("change", string(change.Kind), "the step is missing", "send the step with the change")
		return
	}
	if uint64(step.Shard) >= uint64(len(e.shards.Shards)) {
		e.add(change.Subject(), "", "does not exist", fmt.Sprintf("use the number of one of the %d shards", len(e.shards.Shards)))
		return
	}
	if step.Epoch != e.shards.Epoch+1 {
		e.add(change.Subject(), "epoch", fmt.Sprintf("is %d, but must be one more than the current epoch %d of the map", step.Epoch, e.shards.Epoch),
			"read the map, wait until a majority of the shard's replicas has confirmed the epoch of the map, and base the next step on that epoch")
		return
	}
	if !isSingleStep(e.shards.Shards[step.Shard].Replicas, step.Replicas) {
		e.add(change.Subject(), "replicas", "the step changes more than one replica",
			"add or remove only one replica per step")
		return
	}
	shards := slices.Clone(e.shards.Shards)
	shards[step.Shard] = placementAfter(shards[step.Shard], step.Replicas, step.Epoch)
	e.shards = ShardMap{Epoch: step.Epoch, Shards: shards}
}

// placementAfter returns the placement after a step. Replicas that are kept retain
// their join epoch.
func placementAfter(previous ShardPlacement, replicas []InstanceAddress, epoch uint64) ShardPlacement {
	next := ShardPlacement{Replicas: slices.Clone(replicas), JoinEpochs: make([]uint64, len(replicas))}
	for i, replica := range replicas {
		next.JoinEpochs[i] = epoch
		before := slices.IndexFunc(previous.Replicas, func(r InstanceAddress) bool { return r.ID == replica.ID })
		if before >= 0 && before < len(previous.JoinEpochs) {
			next.JoinEpochs[i] = previous.JoinEpochs[before]
		}
	}
	return next
}

// isSingleStep reports whether exactly one replica was added, removed or given
// another address.
func isSingleStep(before, after []InstanceAddress) bool {
	added := countMissing(after, before, sameInstance)
	removed := countMissing(before, after, sameInstance)
	if added+removed > 0 {
		return added+removed == 1
	}
	return countMissing(after, before, sameAddress) == 1
}

func sameInstance(a, b InstanceAddress) bool { return a.ID == b.ID }
func sameAddress(a, b InstanceAddress) bool  { return a == b }

// countMissing returns the number of instances that are not in others, as compared by
// equal.
func countMissing(instances, others []InstanceAddress, equal func(a, b InstanceAddress) bool) int {
	missing := 0
	for _, instance := range instances {
		if !slices.ContainsFunc(others, func(other InstanceAddress) bool { return equal(instance, other) }) {
			missing++
		}
	}
	return missing
}
