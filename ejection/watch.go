package ejection

import (
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/membership"
)

// monitoredServer is a backend server beside this instance with its monitor and breaker.
type monitoredServer struct {
	service fleetconfig.ServiceName
	// startedUnixMilli is the start time of the server. It distinguishes restarts of a
	// server with the same ID.
	startedUnixMilli int64

	mu      sync.Mutex
	monitor *health.Monitor
	breaker *health.Breaker
	// suspectSince is when the server became suspect, or zero if the server is not suspect.
	suspectSince      time.Time
	detectionReported bool
	// loggedFailing says that the last log message about the breaker reported the server
	// as failing.
	loggedFailing bool
}

// failingChanged reports whether the breaker considers the server failing, and whether
// that has changed since the last call. The caller must hold mu.
func (m *monitoredServer) failingChanged(now time.Time) (failing, changed bool) {
	failing = !m.breaker.Admits(health.BreakerRequest{}, now)
	changed = failing != m.loggedFailing
	m.loggedFailing = failing
	return failing, changed
}

// trackDetection tracks since when the server has been suspect. It returns true once when
// the evidence raises an alarm, together with the time since the server became suspect.
// It returns true again only after the server has stopped being suspect. The caller must
// hold mu.
func (m *monitoredServer) trackDetection(now time.Time) (took time.Duration, detected bool) {
	if m.monitor.State() != health.StateInService {
		return 0, false
	}
	detector := m.monitor.Detector()
	if !detector.Suspect() {
		m.suspectSince = time.Time{}
		m.detectionReported = false
		return 0, false
	}
	if m.suspectSince.IsZero() {
		m.suspectSince = now
	}
	if m.detectionReported || !detector.Alarm() {
		return 0, false
	}
	m.detectionReported = true
	return now.Sub(m.suspectSince), true
}

// Begin implements backendproxy.HealthMonitor.
func (s *Service) Begin(server fleetconfig.BackendServerID, attempt backendproxy.Attempt, now time.Time) (backendproxy.Observation, bool) {
	s.mu.Lock()
	monitored := s.servers[server]
	s.mu.Unlock()
	if monitored == nil {
		return noopObservation{}, true
	}
	monitored.mu.Lock()
	defer monitored.mu.Unlock()
	if !monitored.monitor.Admits() && !attempt.LastResort {
		return nil, false
	}
	admission := monitored.breaker.Admit(breakerRequest(attempt), now)
	if admission == nil {
		return nil, false
	}
	token := monitored.monitor.Begin(attempt.Account, attempt.Deadline, now)
	return &observation{server: monitored, token: token, admission: admission}, true
}

// Admits implements backendproxy.HealthMonitor.
func (s *Service) Admits(server fleetconfig.BackendServerID, attempt backendproxy.Attempt, now time.Time) bool {
	s.mu.Lock()
	monitored := s.servers[server]
	s.mu.Unlock()
	if monitored == nil || attempt.LastResort {
		return true
	}
	monitored.mu.Lock()
	defer monitored.mu.Unlock()
	return monitored.monitor.Admits() && monitored.breaker.Admits(breakerRequest(attempt), now)
}

func breakerRequest(attempt backendproxy.Attempt) health.BreakerRequest {
	return health.BreakerRequest{Idempotent: attempt.Idempotent, LastResort: attempt.LastResort}
}

// FailureProbabilityPercent implements backendproxy.HealthMonitor.
func (s *Service) FailureProbabilityPercent(server fleetconfig.BackendServerID, now time.Time) int {
	return s.percentOf(server, 0, func(m *monitoredServer) float64 { return m.breaker.FailureProbability(now) })
}

// SheddingPercent implements backendproxy.HealthMonitor.
func (s *Service) SheddingPercent(server fleetconfig.BackendServerID, now time.Time) int {
	return s.percentOf(server, 0, func(m *monitoredServer) float64 { return m.breaker.SheddingShare(now) })
}

// WeightPercent implements backendproxy.HealthMonitor.
func (s *Service) WeightPercent(server fleetconfig.BackendServerID, now time.Time) int {
	return s.percentOf(server, 1, func(m *monitoredServer) float64 { return m.monitor.Weight(now) })
}

// percentOf returns a share that is measured at a server, in percent, or the given share if the
// server is not monitored.
func (s *Service) percentOf(server fleetconfig.BackendServerID, unknown float64, share func(*monitoredServer) float64) int {
	const full = 100
	s.mu.Lock()
	monitored := s.servers[server]
	s.mu.Unlock()
	if monitored == nil {
		return int(full * unknown)
	}
	monitored.mu.Lock()
	defer monitored.mu.Unlock()
	return int(full * share(monitored))
}

// observation is one request to a monitored backend server.
type observation struct {
	server    *monitoredServer
	token     health.Token
	admission *health.Admission
	ended     bool
}

// End implements backendproxy.Observation.
func (o *observation) End(result health.Result, now time.Time) {
	if o.ended {
		return
	}
	o.ended = true
	o.server.mu.Lock()
	defer o.server.mu.Unlock()
	o.server.monitor.End(o.token, result, now)
	o.server.breaker.Done(o.admission, result, now)
}

// noopObservation is used for requests to backend servers without a monitor.
type noopObservation struct{}

// End implements backendproxy.Observation.
func (noopObservation) End(health.Result, time.Time) {}

// nextIncarnation returns a number that increases with each monitor, also across restarts of
// this process unless the time of day was set back meanwhile. The caller must hold mu.
func (s *Service) nextIncarnation(now time.Time) uint64 {
	s.lastIncarnation = max(s.lastIncarnation+1, uint64(now.UnixMicro()))
	return s.lastIncarnation
}

// SetServers sets the backend servers beside this instance. A server that has restarted
// gets a new monitor and breaker, since earlier outcomes say nothing about the new
// process.
func (s *Service) SetServers(servers []backendproxy.LocalServer) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[fleetconfig.BackendServerID]bool, len(servers))
	for _, server := range servers {
		present[server.ID] = true
		monitored := s.servers[server.ID]
		if monitored == nil || monitored.service != server.Service || monitored.startedUnixMilli != server.StartedUnixMilli {
			policy := health.PolicyForPreset(s.view().ActivePreset())
			monitor := health.NewMonitor(s.self, server.ID, server.Slots, policy, s.nextIncarnation(now), now)
			if !server.WarmUpEndsAt.IsZero() {
				monitor.SetWarmAt(server.WarmUpEndsAt)
			}
			monitored = &monitoredServer{service: server.Service, startedUnixMilli: server.StartedUnixMilli, monitor: monitor, breaker: health.NewBreaker(now)}
			s.servers[server.ID] = monitored
		}
		monitored.mu.Lock()
		monitored.monitor.SetSlots(server.Slots, server.Withheld)
		if server.State == membership.ServerDraining {
			monitored.monitor.SetDraining()
		}
		monitored.mu.Unlock()
	}
	for id := range s.servers {
		if !present[id] {
			delete(s.servers, id)
		}
	}
}
