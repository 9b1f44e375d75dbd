package health

import "github.com/hemlockring/hemlockring/fleetconfig"

// Status is what is believed about a backend server.
type Status uint8

const (
	// StatusUnknown means that nothing recent is known. It is the zero
	// value, so that a missing report never counts as healthy.
	StatusUnknown Status = iota
	// StatusHealthy means that the server is positively believed healthy.
	StatusHealthy
	// StatusSuspect means that there is evidence against the server.
	StatusSuspect
	// StatusEjected means that the server is, or may be, ejected.
	StatusEjected
	// StatusDraining means that the server is leaving.
	StatusDraining
)

// defaultFloorPercent is the floor of a service that states none.
const defaultFloorPercent = 50

// Floor is the healthy capacity that ejection never goes below. The greater of
// both parts holds.
type Floor struct {
	// Slots is a number of slots.
	Slots uint32
	// Percent is a share of the announced slots, in percent.
	Percent uint32
}

// FloorForService returns the floor of a service. A service that states no floor keeps
// half of its announced slots.
func FloorForService(service *fleetconfig.Service) Floor {
	if service.FloorSlots == 0 && service.FloorPercent == 0 {
		return Floor{Percent: defaultFloorPercent}
	}
	return Floor{Slots: service.FloorSlots, Percent: service.FloorPercent}
}

// Required returns the floor in slots when announced slots are announced. It is
// at least one, so that ejection never empties a service.
func (f Floor) Required(announced uint64) uint64 {
	const percent = 100
	share := (announced*uint64(f.Percent) + percent - 1) / percent
	return max(1, uint64(f.Slots), share)
}

// Capacity is the part of one backend server in the capacity of its service.
type Capacity struct {
	// Slots is how many requests the server runs at once.
	Slots uint32
	// Status is what is believed about the server.
	Status Status
}

// MayEject reports whether servers[candidate] may be ejected: the capacity that
// is positively believed healthy, without the candidate, must stay at or above
// the floor. Draining servers count neither as healthy nor as announced; all
// other servers count as announced.
func MayEject(floor Floor, servers []Capacity, candidate int) bool {
	var announced, healthy uint64
	for i, server := range servers {
		if server.Status == StatusDraining {
			continue
		}
		announced += uint64(server.Slots)
		if i != candidate && server.Status == StatusHealthy {
			healthy += uint64(server.Slots)
		}
	}
	return healthy >= floor.Required(announced)
}
