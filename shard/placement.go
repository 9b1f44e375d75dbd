package shard

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ID is the number of a shard, its index in the shard map.
type ID uint32

const (
	// DefaultShards is the number of shards of a new fleet. The number must never
	// change afterwards, because it determines the shard of each account and service.
	DefaultShards = 64
	// ReplicasPerShard is the number of replicas of a shard, provided that there are
	// that many instances.
	ReplicasPerShard = 5
)

// ForAccount returns the shard of a client account among count shards.
func ForAccount(account fleetconfig.AccountID, count int) ID {
	return ID(xxhash.Sum64String(string(account)) % uint64(max(count, 1)))
}

// ForService returns the shard of a service among count shards.
func ForService(service fleetconfig.ServiceName, count int) ID {
	return ID(xxhash.Sum64String(string(service)) % uint64(max(count, 1)))
}

// weight returns the weight of an instance for a shard in rendezvous hashing.
func weight(shard ID, instance fleetconfig.InstanceID) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(shard))
	buffer = append(buffer, instance...)
	return xxhash.Sum64(buffer)
}

// ranked returns the instances in rendezvous order for the shard, highest weight
// first.
func ranked(shard ID, instances []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	order := slices.Clone(instances)
	slices.SortFunc(order, func(a, b fleetconfig.InstanceAddress) int {
		weightA, weightB := weight(shard, a.ID), weight(shard, b.ID)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		default:
			return strings.Compare(string(a.ID), string(b.ID))
		}
	})
	return order
}

// Place chooses the replicas of a shard: the instances with the highest weight by
// rendezvous hashing (Thaler and Ravishankar 1998), with as few as possible in any
// one failure domain. When an instance joins or leaves, only the shards that it gains
// or loses are affected.
func Place(shard ID, instances []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	rest := ranked(shard, instances)
	used := make(map[fleetconfig.FailureDomain]int)
	var chosen []fleetconfig.InstanceAddress
	for len(chosen) < ReplicasPerShard && len(rest) > 0 {
		best := 0
		for i := range rest {
			if used[rest[i].FailureDomain] < used[rest[best].FailureDomain] {
				best = i
			}
		}
		used[rest[best].FailureDomain]++
		chosen = append(chosen, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return chosen
}

// InitialMap returns the first shard map of a fleet with the given number of shards
// on the given instances.
func InitialMap(count int, instances []fleetconfig.InstanceAddress) fleetconfig.ShardMap {
	shards := make([]fleetconfig.ShardPlacement, count)
	for i := range shards {
		shards[i].Replicas = Place(ID(i), instances)
	}
	return fleetconfig.ShardMap{Epoch: 1, Shards: shards}
}

// Placement is the replica set of one shard in one epoch of the map.
type Placement struct {
	// Epoch is the epoch of the map.
	Epoch uint64
	// Replicas are the instances that vote, in rendezvous order.
	Replicas []fleetconfig.InstanceAddress
	// Fingerprint identifies the set of replicas. A step that affects only other
	// shards changes the epoch but not the fingerprint.
	Fingerprint uint64
}

// PlacementOf returns the placement of a shard in a map.
func PlacementOf(shardMap *fleetconfig.ShardMap, shard ID) Placement {
	if int(shard) >= len(shardMap.Shards) {
		return Placement{Epoch: shardMap.Epoch}
	}
	replicas := ranked(shard, shardMap.Shards[shard].Replicas)
	digest := xxhash.New()
	for i := range replicas {
		_, _ = digest.WriteString(string(replicas[i].ID))
		_, _ = digest.Write([]byte{0})
	}
	return Placement{Epoch: shardMap.Epoch, Replicas: replicas, Fingerprint: digest.Sum64()}
}

// Majority returns the number of replicas that form a majority.
func (p *Placement) Majority() int { return len(p.Replicas)/2 + 1 }

// Rank returns the index of an instance in rendezvous order, or -1 if it is not a
// replica.
func (p *Placement) Rank(instance fleetconfig.InstanceID) int {
	return slices.IndexFunc(p.Replicas, func(r fleetconfig.InstanceAddress) bool { return r.ID == instance })
}

// readsNeeded returns how many other replicas must reply to the ReadRequest of a
// replica that has lost its state. They include at least one member of every majority
// in which the replica may have voted.
func (p *Placement) readsNeeded() int {
	others := len(p.Replicas) - 1
	return min(len(p.Replicas)-p.Majority()+1, others)
}
