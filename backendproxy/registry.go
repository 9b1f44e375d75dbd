package backendproxy

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/retry"
	"github.com/hemlockring/hemlockring/throttle"
)

const (
	// MaxServers is how many backend servers one instance may have.
	MaxServers = 64
	// exitRetention is how long the stated exit of a backend server holds if the server
	// goes on to announce itself as ready and does not announce the start of its process. It
	// has probably restarted then.
	exitRetention = time.Minute
	// minPublishedRateChange is the relative change of an advertised rate from which the
	// fleet is told about it.
	minPublishedRateChange = 0.25
)

// Server is a registered backend server.
type Server struct {
	ID fleetconfig.BackendServerID
	// Announcement is the last announcement received that was not stale.
	Announcement Announcement

	// effectiveSlots is how many requests the server may run concurrently.
	effectiveSlots   uint32
	firstAnnouncedAt time.Time
	// warmUpEndsAt is when the warm-up of the server ends. Zero when the server has not
	// reported it.
	warmUpEndsAt time.Time
	expiresAt    time.Time
	draining     bool
	ejected      bool
	admission    *admissionQueue
	// replacesProcess says that the process succeeded another one under the same ID.
	replacesProcess bool
	// exitKept says that the exit of a draining server has been kept (ConfirmExit).
	exitKept bool
	// leaving says that a response of the server's process has stated that it is leaving.
	leaving bool
	// leavingStatedAt is when a response last stated it.
	leavingStatedAt time.Time
	// sent counts the requests for which a slot was assigned.
	sent uint64
	// repeats limits the repeats that the server receives.
	repeats retry.RepeatBudget
	// coldLimit is the limit on the rate of requests while the server is cold.
	coldLimit throttle.ColdLimit
	// processStartedAt is when the process started, or when it first announced itself if it
	// does not report its start.
	processStartedAt time.Time
	// statesColdness says that the server has stated how long it stays cold, coldUntil until
	// when.
	statesColdness bool
	coldUntil      time.Time
	// publishedRate is the state of the rate limit that was last published.
	publishedRate throttle.State
}

// LocalServer is a backend server as its own instance sees it.
type LocalServer struct {
	// Server is the part that is published to the fleet.
	membership.Server
	// WarmUpEndsAt is when the warm-up of the server ends. Zero when the server has not
	// reported it.
	WarmUpEndsAt time.Time
}

// MembershipServers returns the parts of the servers that are published to the fleet.
func MembershipServers(servers []LocalServer) []membership.Server {
	published := make([]membership.Server, 0, len(servers))
	for i := range servers {
		published = append(published, servers[i].Server)
	}
	return published
}

// Registry holds the backend servers that have announced themselves. It is safe for
// concurrent use.
type Registry struct {
	onChange func([]LocalServer)
	limits   Limits
	// createdAt is when the registry was created. A former process of this instance may have
	// sent requests before.
	createdAt time.Time
	// sent counts the requests for which a slot was assigned, rateRefusals those refused
	// because of an advertised rate, leavingServers the servers that stated that they are
	// leaving.
	sent, rateRefusals, leavingServers atomic.Uint64
	// retries and repeatedCalls count the dispatches of requests that repeat work,
	// repeatRefusals the requests that were refused because they repeat work.
	retries, repeatedCalls, repeatRefusals atomic.Uint64

	// mu guards the fields below.
	mu      sync.Mutex
	servers map[fleetconfig.BackendServerID]*Server
	// departed holds the backend servers that were removed. A stale announcement is compared
	// with them, so that it does not register the server again.
	departed map[fleetconfig.BackendServerID]departure
	// exits keeps exits beyond this process, unless it is nil. held are the announcements that
	// wait for the exits of a former process; it is nil once they are known.
	exits ExitKeeper
	held  map[fleetconfig.BackendServerID]Announcement
}

// Limits are the limits on backend servers in the current configuration.
type Limits interface {
	// QueueLength returns how many requests may wait for each backend server.
	QueueLength() int
	// MaxConnections returns how many concurrent connections a backend server of the
	// service accepts, or 0 if there is no limit.
	MaxConnections(service fleetconfig.ServiceName) uint32
	// RateOverage returns by how much the rate that a backend server advertises may be
	// exceeded, as a share of it, for requests that no other server can run at once.
	RateOverage() float64
	// ColdLimit returns the limit on the rate of requests to a backend server of the service
	// while it is cold, or the zero value if there is none.
	ColdLimit(service fleetconfig.ServiceName) throttle.ColdLimit
	// ToleratedBacklog returns the backlog up to which requests wait although they miss their
	// latency target; see queue.Queue.SetToleratedBacklog.
	ToleratedBacklog() time.Duration
	// RepeatLimits returns the limits on the repeats that each backend server of the service
	// receives, and false if there are none.
	RepeatLimits(service fleetconfig.ServiceName) (retry.RepeatLimits, bool)
}

// NewRegistry returns an empty registry. The registry calls onChange, with its lock held,
// whenever the servers that it publishes have changed. onChange must not call the
// registry. It may be nil.
func NewRegistry(onChange func([]LocalServer), limits Limits) *Registry {
	return &Registry{
		onChange:  onChange,
		limits:    limits,
		createdAt: clock.Now(),
		servers:   make(map[fleetconfig.BackendServerID]*Server),
		departed:  make(map[fleetconfig.BackendServerID]departure),
	}
}

// effectiveSlots returns how many requests a backend server may run concurrently. With n
// slots, each connection pool may hold up to n connections, in use or idle. A limit on
// connections therefore limits the slots to the limit divided by the number of pools, but
// to no less than one.
func (r *Registry) effectiveSlots(announcement *Announcement) uint32 {
	if limit := r.limits.MaxConnections(announcement.Service); limit > 0 {
		return min(max(1, limit/connPoolsPerServer), announcement.Slots)
	}
	return announcement.Slots
}

// Announce registers a backend server or renews its registration. It ignores a stale
// announcement, and returns an error when the announcement is invalid or the registry is
// full.
func (r *Registry) Announce(id fleetconfig.BackendServerID, announcement Announcement, now time.Time) error {
	if err := announcement.validate(id); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held != nil {
		return r.hold(id, &announcement)
	}
	return r.announce(id, &announcement, now)
}

// announce is Announce for a valid announcement. The caller must hold mu.
func (r *Registry) announce(id fleetconfig.BackendServerID, announcement *Announcement, now time.Time) error {
	server := r.servers[id]
	if r.isStale(id, server, announcement, now) {
		return nil
	}
	if !r.hasRoomFor(id, announcement.Address) {
		return errors.Newf("this instance already has %d backend servers; announce the server to another instance", MaxServers)
	}
	changed := false
	if server != nil && server.Announcement.ProcessStartUnixMilli < announcement.ProcessStartUnixMilli {
		// The process has restarted under the same ID; no earlier request runs on it.
		r.recordDeparture(server, departureReplaced, now)
		server.admission.drain()
		server = nil
	}
	if server == nil {
		server = r.register(id, announcement, now)
		changed = true
	}
	r.removeOthersAt(announcement, id, now)
	draining := server.drainsWith(announcement, now)
	switch {
	case draining && !server.draining:
		server.admission.leave()
	case !draining && server.draining:
		server.setAdmission(newAdmissionQueue(int(r.effectiveSlots(announcement)), r.limits.QueueLength()), now)
	}
	changed = changed || server.Announcement.differs(announcement) || server.draining != draining
	server.Announcement = *announcement
	server.effectiveSlots = r.effectiveSlots(announcement)
	server.draining = draining
	server.exitKept = server.exitKept && draining
	server.expiresAt = now.Add(time.Duration(announcement.LifetimeMillis) * time.Millisecond)
	changed = r.recordColdness(server, now) || changed
	if changed {
		r.publish()
	}
	return nil
}

// register adds a backend server that announces itself. A process that has stated its exit
// before it was removed is still leaving. The caller must hold mu.
func (r *Registry) register(id fleetconfig.BackendServerID, announcement *Announcement, now time.Time) *Server {
	server := &Server{
		ID:               id,
		firstAnnouncedAt: now,
		warmUpEndsAt:     announcement.warmUpEndsAt(now),
		processStartedAt: announcement.processStartedAt(now),
		admission:        newAdmissionQueue(int(r.effectiveSlots(announcement)), r.limits.QueueLength()),
	}
	knownSince := r.createdAt
	if departed, found := r.departed[id]; found {
		if !departed.endedBefore(announcement) {
			knownSince = departed.at
		}
		server.replacesProcess = departed.endedBefore(announcement)
		if !departed.leavingStatedAt.IsZero() && departed.last.ProcessStartUnixMilli == announcement.ProcessStartUnixMilli {
			server.leaving, server.leavingStatedAt = true, departed.leavingStatedAt
		}
	}
	server.admission.setKnownSince(knownSince)
	r.servers[id] = server
	return server
}

// hasRoomFor reports whether the registry holds fewer than MaxServers servers besides the
// given one and those that it replaces at the address. The caller must hold mu.
func (r *Registry) hasRoomFor(id fleetconfig.BackendServerID, address string) bool {
	if len(r.servers) < MaxServers {
		return true
	}
	for held, server := range r.servers {
		if held == id || server.Announcement.Address == address {
			return true
		}
	}
	return false
}

// drainsWith reports whether the server drains after the announcement. A server that has
// stated its exit does not return to service, whatever it announces.
func (s *Server) drainsWith(announcement *Announcement, now time.Time) bool {
	if announcement.ProcessStartUnixMilli == 0 && now.Sub(s.leavingStatedAt) > exitRetention {
		s.leaving = false
	}
	return announcement.State == StateDraining || s.leaving
}

// Leave removes a backend server that says that it leaves. Requests that run on it are not
// interrupted. Announcements that its process has sent before may arrive later; they do not
// return it to service.
func (r *Registry) Leave(id fleetconfig.BackendServerID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server, known := r.servers[id]
	if !known {
		r.recordUnknownDeparture(id, now)
		return
	}
	reason := departureLeft
	if server.mayLeaveLate(now) {
		reason = departureSilent
	}
	r.recordDeparture(server, reason, now)
	r.markLeft(id)
	server.admission.leave()
	delete(r.servers, id)
	r.publish()
}

// mayLeaveLate reports whether a message that the server leaves may be a late one of the process
// before. The age of a process that seems to start in the future, after a step of the clock, is
// not known.
func (s *Server) mayLeaveLate(now time.Time) bool {
	if s.replacesProcess && now.Sub(s.firstAnnouncedAt) < lateLeaveTime {
		return true
	}
	age := now.Sub(time.UnixMilli(s.Announcement.ProcessStartUnixMilli))
	return age >= 0 && age < lateLeaveTime
}

// markCrashed removes a backend server whose process has ended. It returns false if the process
// had announced that it would.
func (r *Registry) markCrashed(id fleetconfig.BackendServerID, process *admissionQueue, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if process.isLeaving() {
		return false
	}
	server := r.servers[id]
	if server == nil || server.admission != process {
		// The server is gone or has been succeeded already.
		return true
	}
	r.recordDeparture(server, departureCrashed, now)
	server.admission.drain()
	delete(r.servers, id)
	r.publish()
	return true
}

// isStale reports whether an announcement must be ignored: a newer one has been received,
// the backend server left after it had sent the announcement, or a newer process has taken
// over the address in the announcement. The caller must hold mu.
func (r *Registry) isStale(id fleetconfig.BackendServerID, known *Server, announcement *Announcement, now time.Time) bool {
	if known != nil {
		return !announcement.isNewerThan(&known.Announcement)
	}
	if departed, found := r.departed[id]; found && departed.outdates(announcement, now) {
		return true
	}
	for _, server := range r.servers {
		if server.Announcement.Address == announcement.Address && server.Announcement.ProcessStartUnixMilli > announcement.ProcessStartUnixMilli {
			return true
		}
	}
	return false
}

// removeOthersAt removes all backend servers with the address of the announcement except
// owner. The caller must hold mu.
func (r *Registry) removeOthersAt(announcement *Announcement, owner fleetconfig.BackendServerID, now time.Time) {
	for id, server := range r.servers {
		if id == owner || server.Announcement.Address != announcement.Address {
			continue
		}
		reason := departureSilent
		if start := server.Announcement.ProcessStartUnixMilli; start != 0 && start < announcement.ProcessStartUnixMilli {
			reason = departureReplaced
		}
		r.recordDeparture(server, reason, now)
		server.admission.drain()
		delete(r.servers, id)
	}
}

// Tick removes backend servers whose announcement has expired, applies changed limits, and
// refuses queued requests that can no longer start or finish in time.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	r.forgetDepartures(now)
	length, overage, backlog := r.limits.QueueLength(), r.limits.RateOverage(), r.limits.ToleratedBacklog()
	for id, server := range r.servers {
		if now.After(server.expiresAt) {
			r.recordDeparture(server, departureSilent, now)
			server.admission.drain()
			delete(r.servers, id)
			changed = true
			continue
		}
		slots := r.effectiveSlots(&server.Announcement)
		changed = changed || slots != server.effectiveSlots
		server.effectiveSlots = slots
		server.admission.setLimits(int(slots), length)
		server.admission.setRateOverage(overage)
		server.admission.setToleratedBacklog(backlog)
		changed = r.applyColdLimit(server, now) || changed
		server.admission.tick(now)
	}
	if changed {
		r.publish()
	}
}

// SetEjected sets whether a backend server is ejected.
func (r *Registry) SetEjected(id fleetconfig.BackendServerID, ejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.servers[id]; server != nil && server.ejected != ejected {
		server.ejected = ejected
		r.publish()
	}
}

// publish calls onChange with the current servers. The caller must hold mu.
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
		rate := server.admission.statedRate()
		server.publishedRate = rate
		servers = append(servers, LocalServer{WarmUpEndsAt: server.warmUpEndsAt, Server: membership.Server{
			ID:                    server.ID,
			Service:               server.Announcement.Service,
			Slots:                 server.effectiveSlots,
			State:                 state,
			Ejected:               server.ejected,
			StartedUnixMilli:      server.firstAnnouncedAt.UnixMilli(),
			ProcessStartUnixMilli: server.Announcement.ProcessStartUnixMilli,
			Limited:               rate.Limited,
			MilliRate:             membership.MilliRateOf(rate.PerSecond),
			Withheld:              server.admission.withheldSlots(),
			Leaving:               server.leaving,
			Cold:                  rate.Cold,
		}})
	}
	slices.SortFunc(servers, func(a, b LocalServer) int { return cmp.Compare(a.ID, b.ID) })
	r.onChange(servers)
}
