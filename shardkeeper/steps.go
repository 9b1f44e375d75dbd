package shardkeeper

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/orders"
	"github.com/hemlockring/hemlockring/shard"
)

// maxHolders is the maximum number of holders of the configuration.
const maxHolders = 7

// chooseHolders returns an odd number of instances, at most maxHolders, spread over as
// many failure domains as possible.
func chooseHolders(alive []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	count := min(maxHolders, len(alive))
	if count > 0 && count%2 == 0 {
		count--
	}
	var chosen []fleetconfig.InstanceAddress
	isChosen := make(map[fleetconfig.InstanceID]bool)
	for len(chosen) < count {
		domains := make(map[fleetconfig.FailureDomain]bool)
		for _, instance := range alive {
			if len(chosen) == count || isChosen[instance.ID] || domains[instance.FailureDomain] {
				continue
			}
			domains[instance.FailureDomain] = true
			isChosen[instance.ID] = true
			chosen = append(chosen, instance)
		}
	}
	return chosen
}

// allConfirmed returns the confirmed epochs as if every replica had confirmed the
// current map.
func allConfirmed(shardMap *fleetconfig.ShardMap) shard.ConfirmedEpochs {
	confirmed := make(shard.ConfirmedEpochs, len(shardMap.Shards))
	for number, placement := range shardMap.Shards {
		epochs := make(map[fleetconfig.InstanceID]uint64, len(placement.Replicas))
		for _, replica := range placement.Replicas {
			epochs[replica.ID] = shardMap.Epoch
		}
		confirmed[shard.ID(number)] = epochs
	}
	return confirmed
}

// stepAllowed reports whether idempotency.CheckStep permits the step of a shard, given
// the statuses of its replicas.
func stepAllowed(current, next fleetconfig.ShardMap, number int, statuses []idempotency.Status) bool {
	return idempotency.CheckStep(orders.GroupOf(current, number), orders.GroupOf(next, number), statuses) == nil
}
