package health

import "github.com/hemlockring/hemlockring/fleetconfig"

// Status is the assessed health of a backend server.
type Status uint8

const (
	// StatusUnknown means that there is no recent report, or that there were too few good
	// requests since the last state change. It is the zero value, so that a missing report
	// never counts as healthy.
	StatusUnknown Status = iota
	// StatusHealthy means that there were enough good requests since the last state change
	// and that the server is not suspect.
	StatusHealthy
	// StatusSuspect means that there is evidence against the server.
	StatusSuspect
	// StatusEjected means that the server is ejected or on trial, or that a permit for its
	// ejection may still be valid.
	StatusEjected
	// StatusDraining means that the server is leaving, or that its failure domain is
	// evacuated. Either way it gets no new requests.
	StatusDraining
)

// defaultFloorPercent is the floor of a service that configures none.
const defaultFloorPercent = 50

// Floor is the healthy capacity that must remain after an ejection. The larger of the two
// values applies.
type Floor struct {
	// Slots is the minimum number of healthy slots.
	Slots uint32
	// Percent is the minimum share of healthy slots among the announced slots, in
	// percent.
	Percent uint32
}

// FloorForService returns the floor of a service. Without a configured floor it is half
// of the announced slots.
func FloorForService(service *fleetconfig.Service) Floor {
	if service.FloorSlots == 0 && service.FloorPercent == 0 {
		return Floor{Percent: defaultFloorPercent}
	}
	return Floor{Slots: service.FloorSlots, Percent: service.FloorPercent}
}

// Required returns the floor in slots for the given number of announced slots. It is at
// least one, so that ejection never leaves a service without servers.
func (f Floor) Required(announced uint64) uint64 {
	const percent = 100
	share := (announced*uint64(f.Percent) + percent - 1) / percent
	return max(1, uint64(f.Slots), share)
}

// Capacity is the contribution of one backend server to the capacity of its service.
type Capacity struct {
	// Slots is the number of requests that the server runs concurrently.
	Slots uint32
	// Withheld is the number of slots that stay unused because of the rate that the server
	// advertises. They count as announced, but not as healthy.
	Withheld uint32
	// Status is the assessed health of the server.
	Status Status
}

// usable returns the slots that the server's advertised rate permits to use.
func (c *Capacity) usable() uint64 { return uint64(c.Slots - min(c.Withheld, c.Slots)) }

// MayEject reports whether servers[candidate] may be ejected: the slots of the healthy
// servers other than the candidate must stay at or above the floor. Draining servers
// count neither as healthy nor as announced; all other servers count as announced.
func MayEject(floor Floor, servers []Capacity, candidate int) bool {
	var announced, healthy uint64
	for i, server := range servers {
		if server.Status == StatusDraining {
			continue
		}
		announced += uint64(server.Slots)
		if i != candidate && server.Status == StatusHealthy {
			healthy += server.usable()
		}
	}
	return healthy >= floor.Required(announced)
}
