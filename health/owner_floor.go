package health

import "time"

// standing returns what the owner may count on. A live permit counts as an
// ejection whatever the report says, and only a fresh report counts as healthy.
func (s *ownedServer) standing(now time.Time) Status {
	switch {
	case s.report.Status == StatusDraining:
		return StatusDraining
	case s.live(now):
		return StatusEjected
	case now.Sub(s.confirmedAt) >= ReportTTL:
		return StatusUnknown
	default:
		return s.report.Status
	}
}

// capacities returns the view that MayEject needs, with the index of the
// candidate.
func (o *PermitOwner) capacities(candidate *ownedServer, now time.Time) ([]Capacity, int) {
	capacities := make([]Capacity, len(o.servers))
	index := 0
	for i, server := range o.servers {
		capacities[i] = Capacity{Slots: server.report.Slots, Status: server.standing(now)}
		if server == candidate {
			index = i
		}
	}
	return capacities, index
}

// commonCause reports whether so many other servers are suspect that the cause
// is taken to be common to all: more than half of them, or for the first seconds
// more than a third.
func (o *PermitOwner) commonCause(candidate *ownedServer, now time.Time) bool {
	others, suspect := 0, 0
	for _, server := range o.servers {
		standing := server.standing(now)
		if server == candidate || standing == StatusEjected || standing == StatusDraining {
			continue
		}
		others++
		if standing == StatusSuspect {
			suspect++
		}
	}
	if 2*suspect > others {
		return true
	}
	early := now.Sub(candidate.firstAsk) < commonCauseWait
	return early && suspect > 1 && 3*suspect > others
}

// neededBack reports whether an ejected server must return because the healthy
// capacity has fallen below the floor since. The least bad return first: the
// server is needed when the healthy capacity, the servers that were called back
// and the ejected servers that are less bad do not reach the floor.
func (o *PermitOwner) neededBack(candidate *ownedServer, now time.Time) bool {
	var announced, available uint64
	for _, server := range o.servers {
		standing := server.standing(now)
		if standing == StatusDraining {
			continue
		}
		slots := uint64(server.report.Slots)
		announced += slots
		lessBad := standing == StatusEjected && server.severity < candidate.severity
		if server != candidate && (standing == StatusHealthy || server.revoked || lessBad) {
			available += slots
		}
	}
	return available < o.floor.Required(announced)
}
