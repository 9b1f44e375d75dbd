package backendproxy

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Slot is the right to run one request on a backend server. Release it once.
type Slot struct {
	// Address is where the backend server listens.
	Address string
	// Load is the load right after the slot was taken.
	Load Load

	registry *Registry
	server   *Server
}

// Load is how busy a backend server is.
type Load struct {
	// Running is how many requests it runs.
	Running int
	// Queued is how many requests wait for a slot.
	Queued int
	// Slots is how many requests it runs at once.
	Slots int
}

// acquireResult says how an attempt to take a slot ended.
type acquireResult uint8

const (
	acquired acquireResult = iota
	unknownServer
	drainingServer
	busyServer
)

// acquire takes a slot of a backend server when one is free.
func (r *Registry) acquire(id fleetconfig.BackendServerID, service fleetconfig.ServiceName, now time.Time) (Slot, acquireResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	switch {
	case server == nil || server.Announcement.Service != service || now.After(server.expires):
		return Slot{}, unknownServer
	case server.draining:
		return Slot{}, drainingServer
	case server.running >= int(server.Announcement.Slots):
		return Slot{Load: server.load()}, busyServer
	}
	server.running++
	return Slot{
		Address:  server.Announcement.Address,
		Load:     server.load(),
		registry: r,
		server:   server,
	}, acquired
}

// Release gives the slot back.
func (s *Slot) Release() {
	if s.registry == nil {
		return
	}
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.server.running--
	s.registry = nil
}

func (s *Server) load() Load {
	return Load{Running: s.running, Slots: int(s.Announcement.Slots)}
}

// Running returns how many requests run on all backend servers, those that have
// left among them only while they are known.
func (r *Registry) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, server := range r.servers {
		total += server.running
	}
	return total
}
