package gossip

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
)

// HostedServer is a backend server together with the member that hosts it.
type HostedServer struct {
	Server membership.Server
	// Member is the instance that the backend server runs beside.
	Member *membership.Member
}

// Snapshot is an immutable view of the members. It is safe for concurrent use.
type Snapshot struct {
	// Self is the ID of this instance.
	Self fleetconfig.InstanceID
	// Members holds all known instances, ordered by ID.
	Members []membership.Member
	// ControlInstances holds the instances with the control role that are not dead and
	// have not left, ordered by ID.
	ControlInstances []fleetconfig.InstanceAddress

	services map[fleetconfig.ServiceName][]HostedServer
	byID     map[fleetconfig.InstanceID]*membership.Member
}

// NewSnapshot returns a snapshot of members for the instance self. members must be ordered
// by ID and must not be changed afterwards.
func NewSnapshot(self fleetconfig.InstanceID, members []membership.Member) *Snapshot {
	snapshot := &Snapshot{
		Self:     self,
		Members:  members,
		services: make(map[fleetconfig.ServiceName][]HostedServer),
		byID:     make(map[fleetconfig.InstanceID]*membership.Member, len(members)),
	}
	for i := range members {
		member := &members[i]
		snapshot.byID[member.Record.ID] = member
		if member.Liveness == membership.Dead || member.Record.Left {
			continue
		}
		if record := &member.Record; record.Control {
			snapshot.ControlInstances = append(snapshot.ControlInstances, fleetconfig.InstanceAddress{
				ID: record.ID, Address: record.Address, FailureDomain: record.FailureDomain,
			})
		}
		for _, server := range member.Record.Servers {
			snapshot.services[server.Service] = append(snapshot.services[server.Service], HostedServer{Server: server, Member: member})
		}
	}
	return snapshot
}

// Servers returns the backend servers of a service on all members that are not dead and
// have not left. The caller must not change the slice.
func (s *Snapshot) Servers(service fleetconfig.ServiceName) []HostedServer {
	return s.services[service]
}

// CountServers returns the number of known backend servers, how many of them are ejected,
// and how many that are not cold advertise a rate.
func (s *Snapshot) CountServers() (known, ejected, limited int) {
	for _, servers := range s.services {
		known += len(servers)
		for _, placed := range servers {
			if placed.Server.Ejected {
				ejected++
			}
			if placed.Server.Limited && !placed.Server.Cold {
				limited++
			}
		}
	}
	return known, ejected, limited
}

// CountIndirectOnly returns how many members are reachable only through other members.
func (s *Snapshot) CountIndirectOnly() int {
	count := 0
	for i := range s.Members {
		if s.Members[i].Path == membership.PathIndirectOnly {
			count++
		}
	}
	return count
}

// Member returns the member with the given ID, or nil if it is not known.
func (s *Snapshot) Member(id fleetconfig.InstanceID) *membership.Member { return s.byID[id] }
