package shard

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// PlannerTiming holds the delays that prevent a restarting or flapping instance from
// causing replicas to move.
type PlannerTiming struct {
	// GoneAfter is how long an instance must be absent before its replicas are moved.
	GoneAfter time.Duration
	// StableAfter is how long an instance must be present before it is given
	// replicas.
	StableAfter time.Duration
}

// DefaultPlannerTiming returns the timing for production fleets.
func DefaultPlannerTiming() PlannerTiming {
	return PlannerTiming{GoneAfter: 3 * time.Minute, StableAfter: time.Minute}
}

// instanceState is what the Planner knows of one instance: whether it is alive, and
// since when.
type instanceState struct {
	address fleetconfig.InstanceAddress
	alive   bool
	since   time.Time
}

// Planner proposes the next map, one step after another, until every shard has the
// replicas that Place chooses. Each control instance has a Planner, and the leader
// proposes the changes. A planner that has just started has no history and waits
// GoneAfter or StableAfter again. It holds one entry per instance that is alive, has a
// replica, or has been absent for less than twice GoneAfter.
type Planner struct {
	timing    PlannerTiming
	instances map[fleetconfig.InstanceID]*instanceState
}

// NewPlanner returns a Planner without history.
func NewPlanner(timing PlannerTiming) *Planner {
	return &Planner{timing: timing, instances: make(map[fleetconfig.InstanceID]*instanceState)}
}

// Observe records which instances are alive at the given time.
func (p *Planner) Observe(alive []fleetconfig.InstanceAddress, now time.Time) {
	present := make(map[fleetconfig.InstanceID]struct{}, len(alive))
	for _, address := range alive {
		present[address.ID] = struct{}{}
		state := p.instances[address.ID]
		if state == nil || !state.alive {
			state = &instanceState{alive: true, since: now}
			p.instances[address.ID] = state
		}
		state.address = address
	}
	for id, state := range p.instances {
		if _, ok := present[id]; ok {
			continue
		}
		if state.alive {
			state.alive = false
			state.since = now
		}
		if now.Sub(state.since) > 2*p.timing.GoneAfter {
			delete(p.instances, id)
		}
	}
}

// ConfirmedEpochs holds the latest epoch that each replica of each shard has
// confirmed.
type ConfirmedEpochs map[ID]map[fleetconfig.InstanceID]uint64

// NextMap returns the map after the next step, or false if no step can be made now. A
// step changes any number of shards by one replica each. The caller must submit the
// result as a change based on the given map, so that only one of two concurrent
// planners succeeds.
func (p *Planner) NextMap(current *fleetconfig.ShardMap, confirmed ConfirmedEpochs, now time.Time) (fleetconfig.ShardMap, bool) {
	p.trackReplicas(current, now)
	next := fleetconfig.ShardMap{Epoch: current.Epoch + 1, Shards: slices.Clone(current.Shards)}
	changed := false
	for i := range current.Shards {
		replicas := current.Shards[i].Replicas
		if !isConfirmed(replicas, confirmed[ID(i)], current.Epoch) {
			continue
		}
		replicasAfter := nextReplicas(replicas, Place(ID(i), p.eligible(replicas, now)))
		if replicasAfter == nil {
			continue
		}
		next.Shards[i] = fleetconfig.ShardPlacement{Replicas: replicasAfter}
		changed = true
	}
	return next, changed
}

// trackReplicas adds an entry for each instance of the map that has none, for example
// because it was never observed alive. Such an instance counts as absent since now.
func (p *Planner) trackReplicas(current *fleetconfig.ShardMap, now time.Time) {
	for _, placement := range current.Shards {
		for _, replica := range placement.Replicas {
			if p.instances[replica.ID] == nil {
				p.instances[replica.ID] = &instanceState{address: replica, since: now}
			}
		}
	}
}

// eligible returns the instances that may have a replica: those that are stable, and
// those that already have one and have not been absent for GoneAfter.
func (p *Planner) eligible(replicas []fleetconfig.InstanceAddress, now time.Time) []fleetconfig.InstanceAddress {
	var eligible []fleetconfig.InstanceAddress
	for id, state := range p.instances {
		member := slices.ContainsFunc(replicas, func(r fleetconfig.InstanceAddress) bool { return r.ID == id })
		stable := state.alive && now.Sub(state.since) >= p.timing.StableAfter
		notGone := member && (state.alive || now.Sub(state.since) < p.timing.GoneAfter)
		if stable || notGone {
			eligible = append(eligible, state.address)
		}
	}
	return eligible
}

// isConfirmed reports whether a majority of the replicas has confirmed the epoch.
func isConfirmed(replicas []fleetconfig.InstanceAddress, confirmed map[fleetconfig.InstanceID]uint64, epoch uint64) bool {
	count := 0
	for _, replica := range replicas {
		if confirmed[replica.ID] >= epoch {
			count++
		}
	}
	return count > len(replicas)/2
}

// nextReplicas returns the replicas after one step towards the desired ones. It
// returns nil if the two sets are equal or if no replica is desired. It adds a replica
// before removing one, so that the replica set never becomes smaller than intended.
func nextReplicas(replicas, desired []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	contains := func(set []fleetconfig.InstanceAddress, id fleetconfig.InstanceID) bool {
		return slices.ContainsFunc(set, func(r fleetconfig.InstanceAddress) bool { return r.ID == id })
	}
	if len(desired) == 0 {
		return nil
	}
	if len(replicas) <= len(desired) {
		for _, instance := range desired {
			if !contains(replicas, instance.ID) {
				return append(slices.Clone(replicas), instance)
			}
		}
	}
	for i, replica := range replicas {
		if !contains(desired, replica.ID) {
			return slices.Delete(slices.Clone(replicas), i, i+1)
		}
	}
	return nil
}
