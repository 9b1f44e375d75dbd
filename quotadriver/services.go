package quotadriver

import (
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// HoldsService reports whether this instance holds the lease of the service's shard now.
// tenure identifies the tenure: it changes whenever the lease is acquired again.
func (s *Service) HoldsService(service fleetconfig.ServiceName, _ time.Time) (tenure uint64, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.serviceShard(service)
	if !ok {
		return 0, false
	}
	// The time is read while mu is held: an earlier time could make an expired lease look
	// valid.
	lease, held := s.ownership.Held(id, clock.Now())
	// The incarnation is random, and no two tenures of an incarnation have the same term.
	return lease.Holder.Incarnation + lease.Holder.Term, held
}

// ServiceReplicas returns the replicas of the service's shard, starting with the known
// holder of its lease, if any.
func (s *Service) ServiceReplicas(service fleetconfig.ServiceName) []fleetconfig.InstanceAddress {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.serviceShard(service)
	if !ok {
		return nil
	}
	placement := shard.PlacementOf(s.shardMap(s.view), id)
	owner, _ := s.ownership.KnownHolder(id, clock.Now())
	replicas := make([]fleetconfig.InstanceAddress, 0, len(placement.Replicas))
	for _, replica := range placement.Replicas {
		if replica.ID == owner {
			replicas = append([]fleetconfig.InstanceAddress{replica}, replicas...)
		} else {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// serviceShard returns the shard of a service. The caller holds mu.
func (s *Service) serviceShard(service fleetconfig.ServiceName) (shard.ID, bool) {
	if s.view == nil {
		return 0, false
	}
	shards := len(s.shardMap(s.view).Shards)
	if shards == 0 {
		return 0, false
	}
	return shard.ForService(service, shards), true
}
