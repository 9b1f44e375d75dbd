package health

import "time"

// status returns the status that the owner uses for floor checks. Unless the server is
// draining, a valid permit counts as an ejection regardless of the report, and an outdated
// report counts as unknown.
func (s *serverRecord) status(now time.Time) Status {
	switch {
	case s.report.Status == StatusDraining:
		return StatusDraining
	case s.hasPermit(now):
		return StatusEjected
	case now.Sub(s.confirmedAt) >= ReportTTL:
		return StatusUnknown
	default:
		return s.report.Status
	}
}

// capacity returns the server's contribution to the capacity of the service.
func (s *serverRecord) capacity(now time.Time) Capacity {
	return Capacity{Slots: s.report.Slots, Withheld: s.report.Withheld, Status: s.status(now)}
}

// capacities returns the input of MayEject: the capacity of every server, and the index
// of the candidate.
func (o *PermitOwner) capacities(candidate *serverRecord, now time.Time) ([]Capacity, int) {
	capacities := make([]Capacity, len(o.servers))
	index := 0
	for i, server := range o.servers {
		capacities[i] = server.capacity(now)
		if server == candidate {
			index = i
		}
	}
	return capacities, index
}

// commonCause reports whether so many other servers are suspect that a common cause is
// assumed. The other servers are those that are neither the candidate nor ejected nor
// draining. More than half of them must be suspect. Within commonCauseWindow of the
// candidate's first permit request, more than a third and at least two suffice.
func (o *PermitOwner) commonCause(candidate *serverRecord, now time.Time) bool {
	others, suspect := 0, 0
	for _, server := range o.servers {
		status := server.status(now)
		if server == candidate || status == StatusEjected || status == StatusDraining {
			continue
		}
		others++
		if status == StatusSuspect {
			suspect++
		}
	}
	if 2*suspect > others {
		return true
	}
	early := now.Sub(candidate.firstRequestAt) < commonCauseWindow
	return early && suspect > 1 && 3*suspect > others
}

// mustReturn reports whether an ejected server must return because the healthy capacity
// has since fallen below the floor. Servers return in order of increasing severity: the
// candidate must return if the healthy servers, the servers whose permits are already
// revoked, and the ejected servers of lower severity do not together reach the floor.
func (o *PermitOwner) mustReturn(candidate *serverRecord, now time.Time) bool {
	var announced, available uint64
	for _, server := range o.servers {
		status := server.status(now)
		if status == StatusDraining {
			continue
		}
		capacity := server.capacity(now)
		announced += uint64(capacity.Slots)
		lessSevere := status == StatusEjected && server.severity < candidate.severity
		if server != candidate && (status == StatusHealthy || server.revoked || lessSevere) {
			available += capacity.usable()
		}
	}
	return available < o.floor.Required(announced)
}
