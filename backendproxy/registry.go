package backendproxy

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
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
	// departedMemory is how long late announcements of a backend server that has left
	// are known as such.
	departedMemory = time.Minute
	// MaxWarmUp bounds the announced time of slowness after a start.
	MaxWarmUp = time.Hour
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
	// ProcessStartUnixMilli tells the lives of a backend server apart: the start of its
	// process. Zero when it does not say.
	ProcessStartUnixMilli int64 `json:"born_unix_ms,omitempty"`
	// Sequence grows with each announcement of one life, so that a late one is known.
	// Zero when it does not say.
	Sequence uint64 `json:"sequence,omitempty"`
	// WarmUpMillis is how much longer it is slow after its start, in milliseconds. Nil
	// when it does not say.
	WarmUpMillis *int64 `json:"cold_ms,omitempty"`
}

// warmAt returns until when the backend server is slow after its start, or the zero
// time when it does not say.
func (a *Announcement) warmAt(now time.Time) time.Time {
	if a.WarmUpMillis == nil {
		return time.Time{}
	}
	return now.Add(time.Duration(*a.WarmUpMillis) * time.Millisecond)
}

// follows reports whether an announcement is newer than another one of the same
// backend server. Those without a life and sequence count as they come.
func (a *Announcement) follows(other *Announcement) bool {
	if a.ProcessStartUnixMilli != other.ProcessStartUnixMilli {
		return a.ProcessStartUnixMilli > other.ProcessStartUnixMilli
	}
	return a.Sequence == 0 || a.Sequence > other.Sequence
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

	// slots is how many requests it runs at once.
	slots   uint32
	started time.Time
	// warmAt is when it is no longer slow after its start, zero when it has not said.
	warmAt    time.Time
	expires   time.Time
	draining  bool
	ejected   bool
	admission *admission
}

// LocalServer is a backend server as the parts of its instance see it.
type LocalServer struct {
	// Server is what spreads through the fleet.
	membership.Server
	// WarmUpEndsAt is when it is no longer slow after its start, zero when it has not said.
	WarmUpEndsAt time.Time
}

// MembershipServers returns what the fleet hears of the servers.
func MembershipServers(servers []LocalServer) []membership.Server {
	spread := make([]membership.Server, 0, len(servers))
	for i := range servers {
		spread = append(spread, servers[i].Server)
	}
	return spread
}

// Registry keeps the backend servers that have announced themselves. It is safe
// for concurrent use.
type Registry struct {
	onChange func([]LocalServer)
	limits   Limits

	mu      sync.Mutex
	servers map[fleetconfig.BackendServerID]*Server
	// departed are the last announcements of backend servers that have left, so that
	// a late one does not bring them back.
	departed map[fleetconfig.BackendServerID]departure
}

// departure is the last announcement of a backend server that has left.
type departure struct {
	last Announcement
	at   time.Time
}

// Limits are the limits of backend servers by the configuration in force.
type Limits interface {
	// QueueLength returns how many requests may wait for each backend server.
	QueueLength() int
	// MaxConnections returns how many connections a backend server of the service takes
	// at once, 0 when it has not said.
	MaxConnections(service fleetconfig.ServiceName) uint32
}

// NewRegistry returns an empty registry. onChange is called, with the lock held,
// whenever what the fleet should know has changed.
func NewRegistry(onChange func([]LocalServer), limits Limits) *Registry {
	return &Registry{
		onChange: onChange,
		limits:   limits,
		servers:  make(map[fleetconfig.BackendServerID]*Server),
		departed: make(map[fleetconfig.BackendServerID]departure),
	}
}

// slots returns how many requests a backend server runs at once. Each has a connection
// of its own, and each pool may keep as many unused ones, so that the limit of
// connections is one of slots too.
func (r *Registry) slots(announcement *Announcement) uint32 {
	if limit := r.limits.MaxConnections(announcement.Service); limit > 0 {
		return min(max(1, limit/connPools), announcement.Slots)
	}
	return announcement.Slots
}

// Announce takes an announcement in.
func (r *Registry) Announce(id fleetconfig.BackendServerID, announcement Announcement, now time.Time) error {
	if err := announcement.check(id); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	if r.isLate(id, server, &announcement) {
		return nil
	}
	changed := false
	if server != nil && server.Announcement.ProcessStartUnixMilli < announcement.ProcessStartUnixMilli {
		// The process has started anew under its id, and runs nothing of before.
		server.admission.drain()
		server = nil
	}
	if server == nil {
		if len(r.servers) >= MaxServers {
			return errors.Newf("this instance has %d backend servers already; announce to another instance", MaxServers)
		}
		server = &Server{ID: id, started: now, warmAt: announcement.warmAt(now), admission: newAdmission(int(r.slots(&announcement)), r.limits.QueueLength())}
		r.servers[id] = server
		changed = true
	}
	r.replaceAt(announcement.Address, id)
	draining := announcement.State == StateDraining
	switch {
	case draining && !server.draining:
		server.admission.drain()
	case !draining && server.draining:
		server.admission = newAdmission(int(r.slots(&announcement)), r.limits.QueueLength())
	}
	changed = changed || server.Announcement.differs(&announcement) || server.draining != draining
	server.Announcement = announcement
	server.slots = r.slots(&announcement)
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
		r.departed[id] = departure{last: server.Announcement, at: clock.Now()}
		server.admission.drain()
		delete(r.servers, id)
		r.publish()
	}
}

// isLate reports whether an announcement was overtaken by a newer one, by the
// departure of its sender or by another process at its address. The caller holds
// the lock.
func (r *Registry) isLate(id fleetconfig.BackendServerID, known *Server, announcement *Announcement) bool {
	if known != nil {
		return !announcement.follows(&known.Announcement)
	}
	if left, found := r.departed[id]; found && announcement.Sequence > 0 && !announcement.follows(&left.last) {
		return true
	}
	for _, server := range r.servers {
		if server.Announcement.Address == announcement.Address && server.Announcement.ProcessStartUnixMilli > announcement.ProcessStartUnixMilli {
			return true
		}
	}
	return false
}

// replaceAt removes the backend servers whose address another one has taken. The
// caller holds the lock.
func (r *Registry) replaceAt(address string, by fleetconfig.BackendServerID) {
	for id, server := range r.servers {
		if id != by && server.Announcement.Address == address {
			server.admission.drain()
			delete(r.servers, id)
		}
	}
}

// differs reports whether the fleet should hear of the change from one
// announcement to the next.
func (a *Announcement) differs(next *Announcement) bool {
	return a.Service != next.Service || a.Address != next.Address || a.Slots != next.Slots ||
		a.State != next.State || a.ProcessStartUnixMilli != next.ProcessStartUnixMilli
}

// Tick removes the backend servers that have not renewed their announcement, and
// lets time pass in the queues.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, left := range r.departed {
		if now.Sub(left.at) > departedMemory {
			delete(r.departed, id)
		}
	}
	length := r.limits.QueueLength()
	for id, server := range r.servers {
		if now.After(server.expires) {
			server.admission.drain()
			delete(r.servers, id)
			changed = true
			continue
		}
		slots := r.slots(&server.Announcement)
		changed = changed || slots != server.slots
		server.slots = slots
		server.admission.setLimits(int(slots), length)
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
	servers := make([]LocalServer, 0, len(r.servers))
	for _, server := range r.servers {
		state := membership.ServerReady
		if server.draining {
			state = membership.ServerDraining
		}
		servers = append(servers, LocalServer{WarmUpEndsAt: server.warmAt, Server: membership.Server{
			ID:               server.ID,
			Service:          server.Announcement.Service,
			Slots:            server.slots,
			State:            state,
			Ejected:          server.ejected,
			StartedUnixMilli: server.started.UnixMilli(),
		}})
	}
	slices.SortFunc(servers, func(a, b LocalServer) int { return cmp.Compare(a.ID, b.ID) })
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
	if a.WarmUpMillis != nil && (*a.WarmUpMillis < 0 || *a.WarmUpMillis > MaxWarmUp.Milliseconds()) {
		return errors.Newf("cold_ms must be from 0 to %d", MaxWarmUp.Milliseconds())
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return errors.Newf("address %q must be an IP number and a port", a.Address)
	}
	return nil
}
