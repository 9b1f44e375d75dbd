package shard

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// PlannerTiming holds the durations that keep a restarted or flapping instance
// from moving shards.
type PlannerTiming struct {
	// GoneAfter is how long an instance must be away before its replicas move.
	GoneAfter time.Duration
	// StableAfter is how long an instance must be present before it gets replicas.
	StableAfter time.Duration
}

// DefaultPlannerTiming returns the timing of production fleets.
func DefaultPlannerTiming() PlannerTiming {
	return PlannerTiming{GoneAfter: 3 * time.Minute, StableAfter: time.Minute}
}

// sighting is what the Planner knows of one instance.
type sighting struct {
	address fleetconfig.InstanceAddress
	alive   bool
	since   time.Time
}

// Planner proposes the steps of a change of the shard map. It runs where the
// configuration is changed; one that has just started knows no history and waits
// GoneAfter or StableAfter again. It holds one entry for each instance of the
// fleet and drops those that have been gone for long and hold no replica.
type Planner struct {
	timing    PlannerTiming
	sightings map[fleetconfig.InstanceID]*sighting
}

// NewPlanner returns a Planner without history.
func NewPlanner(timing PlannerTiming) *Planner {
	return &Planner{timing: timing, sightings: make(map[fleetconfig.InstanceID]*sighting)}
}

// Observe records which instances are alive now.
func (p *Planner) Observe(alive []fleetconfig.InstanceAddress, now time.Time) {
	present := make(map[fleetconfig.InstanceID]struct{}, len(alive))
	for _, address := range alive {
		present[address.ID] = struct{}{}
		seen := p.sightings[address.ID]
		if seen == nil || !seen.alive {
			seen = &sighting{alive: true, since: now}
			p.sightings[address.ID] = seen
		}
		seen.address = address
	}
	for id, seen := range p.sightings {
		if _, ok := present[id]; ok {
			continue
		}
		if seen.alive {
			seen.alive = false
			seen.since = now
		}
		if now.Sub(seen.since) > 2*p.timing.GoneAfter {
			delete(p.sightings, id)
		}
	}
}

// ConfirmedEpochs is the newest epoch that each replica of each shard has confirmed.
type ConfirmedEpochs map[ID]map[fleetconfig.InstanceID]uint64

// NextMap returns the map after the next step, and false when there is none to make
// now. A step changes any number of shards by one replica each. The caller must
// write the result as a change made from the given map, so that of two planners
// only one succeeds.
func (p *Planner) NextMap(current *fleetconfig.ShardMap, confirmed ConfirmedEpochs, now time.Time) (fleetconfig.ShardMap, bool) {
	p.meet(current, now)
	next := fleetconfig.ShardMap{Epoch: current.Epoch + 1, Shards: slices.Clone(current.Shards)}
	changed := false
	for i := range current.Shards {
		replicas := current.Shards[i].Replicas
		if !isConfirmed(replicas, confirmed[ID(i)], current.Epoch) {
			continue
		}
		stepped := step(replicas, Place(ID(i), p.eligible(replicas, now)))
		if stepped == nil {
			continue
		}
		next.Shards[i] = fleetconfig.ShardPlacement{Replicas: stepped}
		changed = true
	}
	return next, changed
}

// meet starts the clock of instances that are in the map but were never seen.
func (p *Planner) meet(current *fleetconfig.ShardMap, now time.Time) {
	for _, placement := range current.Shards {
		for _, replica := range placement.Replicas {
			if p.sightings[replica.ID] == nil {
				p.sightings[replica.ID] = &sighting{address: replica, since: now}
			}
		}
	}
}

// eligible returns the instances that may hold a replica: the stable ones, and
// those that hold one already and are not gone for long.
func (p *Planner) eligible(replicas []fleetconfig.InstanceAddress, now time.Time) []fleetconfig.InstanceAddress {
	var eligible []fleetconfig.InstanceAddress
	for id, seen := range p.sightings {
		member := slices.ContainsFunc(replicas, func(r fleetconfig.InstanceAddress) bool { return r.ID == id })
		stable := seen.alive && now.Sub(seen.since) >= p.timing.StableAfter
		recent := member && (seen.alive || now.Sub(seen.since) < p.timing.GoneAfter)
		if stable || recent {
			eligible = append(eligible, seen.address)
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

// step moves the replicas one step towards the desired ones, nil when they are
// there. It adds before it removes, so that the group never gets smaller than it
// should be.
func step(replicas, desired []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
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
