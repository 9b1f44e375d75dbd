package gossip

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
)

// HostedServer is a backend server together with the member that it runs beside.
type HostedServer struct {
	// Server is the backend server.
	Server membership.Server
	// Member is the instance beside it.
	Member *membership.Member
}

// Snapshot is an immutable view of the members. It is safe for concurrent use.
type Snapshot struct {
	// Self is this instance.
	Self fleetconfig.InstanceID
	// Members are all known instances, ordered by ID.
	Members []membership.Member
	// ControlInstances are the instances with the control role that are not dead and have not
	// left, ordered by ID.
	ControlInstances []fleetconfig.InstanceAddress
	// ProxyCount is how many of them have the proxy role and are not dead or gone.
	ProxyCount int

	services map[fleetconfig.ServiceName][]HostedServer
	byID     map[fleetconfig.InstanceID]*membership.Member
}

// NewSnapshot returns the view of the members that self has.
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
		if member.Record.Proxy {
			snapshot.ProxyCount++
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

// Servers returns the backend servers of a service on all members that are not
// dead and have not left. The slice must not be changed.
func (s *Snapshot) Servers(service fleetconfig.ServiceName) []HostedServer {
	return s.services[service]
}

// CountServers returns how many backend servers are known and how many of them are
// ejected.
func (s *Snapshot) CountServers() (known, ejected int) {
	for _, servers := range s.services {
		known += len(servers)
		for _, placed := range servers {
			if placed.Server.Ejected {
				ejected++
			}
		}
	}
	return known, ejected
}

// CountIndirectOnly returns how many members are reached only through others.
func (s *Snapshot) CountIndirectOnly() int {
	count := 0
	for i := range s.Members {
		if s.Members[i].Path == membership.PathIndirectOnly {
			count++
		}
	}
	return count
}

// Member returns the member with the given id, or nil when it is not known.
func (s *Snapshot) Member(id fleetconfig.InstanceID) *membership.Member { return s.byID[id] }
