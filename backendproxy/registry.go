package backendproxy

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
)

const (
	// MaxServers is how many backend servers one instance may have.
	MaxServers = 64
	// MinLifetime and MaxLifetime bound the announced lifetime.
	MinLifetime = 500 * time.Millisecond
	// MaxLifetime bounds how long a silent backend server stays known.
	MaxLifetime = time.Minute
	// maxSlots bounds the announced slots.
	maxSlots = 100_000
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	// Service is what it serves.
	Service fleetconfig.ServiceName `json:"service"`
	// Address is its IP number and port, on a loopback address or on the
	// instance's own.
	Address string `json:"address"`
	// Slots is how many requests it runs at once.
	Slots uint32 `json:"slots"`
	// State is "ready" or "draining".
	State string `json:"state"`
	// LifetimeMillis is how long the announcement holds without renewal, in
	// milliseconds.
	LifetimeMillis int64 `json:"lifetime_ms"`
}

// States of an announcement.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Server is a backend server beside this instance.
type Server struct {
	// ID names it.
	ID fleetconfig.BackendServerID
	// Announcement is the newest one.
	Announcement Announcement

	started   time.Time
	expires   time.Time
	draining  bool
	ejected   bool
	admission *admission
}

// Registry keeps the backend servers that have announced themselves. It is safe
// for concurrent use.
type Registry struct {
	onChange    func([]membership.Server)
	queueLength func() int

	mu      sync.Mutex
	servers map[fleetconfig.BackendServerID]*Server
}

// NewRegistry returns an empty registry. onChange is called, with the lock held,
// whenever what the fleet should know has changed. queueLength returns how many
// requests may wait for each backend server.
func NewRegistry(onChange func([]membership.Server), queueLength func() int) *Registry {
	return &Registry{
		onChange:    onChange,
		queueLength: queueLength,
		servers:     make(map[fleetconfig.BackendServerID]*Server),
	}
}

// Announce takes an announcement in.
func (r *Registry) Announce(id fleetconfig.BackendServerID, announcement Announcement, now time.Time) error {
	if err := announcement.check(id); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	changed := false
	if server == nil {
		if len(r.servers) >= MaxServers {
			return errors.Newf("this instance has %d backend servers already; announce to another instance", MaxServers)
		}
		server = &Server{ID: id, started: now, admission: newAdmission(int(announcement.Slots), r.queueLength())}
		r.servers[id] = server
		changed = true
	}
	draining := announcement.State == StateDraining
	switch {
	case draining && !server.draining:
		server.admission.drain()
	case !draining && server.draining:
		server.admission = newAdmission(int(announcement.Slots), r.queueLength())
	}
	changed = changed || server.Announcement != announcement || server.draining != draining
	server.Announcement = announcement
	server.draining = draining
	server.expires = now.Add(time.Duration(announcement.LifetimeMillis) * time.Millisecond)
	if changed {
		r.publish()
	}
	return nil
}

// Leave removes a backend server. Its running requests go on.
func (r *Registry) Leave(id fleetconfig.BackendServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server, known := r.servers[id]; known {
		server.admission.drain()
		delete(r.servers, id)
		r.publish()
	}
}

// Tick removes the backend servers that have not renewed their announcement, and
// lets time pass in the queues.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	length := r.queueLength()
	for id, server := range r.servers {
		if now.After(server.expires) {
			server.admission.drain()
			delete(r.servers, id)
			changed = true
			continue
		}
		server.admission.setLimits(int(server.Announcement.Slots), length)
		server.admission.tick(now)
	}
	if changed {
		r.publish()
	}
}

// SetEjected marks a backend server as ejected, or takes the mark away.
func (r *Registry) SetEjected(id fleetconfig.BackendServerID, ejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.servers[id]; server != nil && server.ejected != ejected {
		server.ejected = ejected
		r.publish()
	}
}

// publish tells onChange the servers in the form that spreads. The caller holds
// the lock.
func (r *Registry) publish() {
	if r.onChange == nil {
		return
	}
	servers := make([]membership.Server, 0, len(r.servers))
	for _, server := range r.servers {
		state := membership.ServerReady
		if server.draining {
			state = membership.ServerDraining
		}
		servers = append(servers, membership.Server{
			ID:               server.ID,
			Service:          server.Announcement.Service,
			Slots:            server.Announcement.Slots,
			State:            state,
			Ejected:          server.ejected,
			StartedUnixMilli: server.started.UnixMilli(),
		})
	}
	slices.SortFunc(servers, func(a, b membership.Server) int { return cmp.Compare(a.ID, b.ID) })
	r.onChange(servers)
}

func (a *Announcement) check(id fleetconfig.BackendServerID) error {
	switch {
	case id == "" || len(id) > 64:
		return errors.New("the id must have 1 to 64 characters")
	case a.Service == "" || len(a.Service) > 64:
		return errors.New("service must have 1 to 64 characters")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Newf("slots must be from 1 to %d", maxSlots)
	case a.State != StateReady && a.State != StateDraining:
		return errors.Newf("state must be %q or %q", StateReady, StateDraining)
	}
	lifetime := time.Duration(a.LifetimeMillis) * time.Millisecond
	if lifetime < MinLifetime || lifetime > MaxLifetime {
		return errors.Newf("lifetime_ms must be from %d to %d", MinLifetime.Milliseconds(), MaxLifetime.Milliseconds())
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return errors.Newf("address %q must be an IP number and a port", a.Address)
	}
	return nil
}
