package ejection

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/membership"
)

// watched is a backend server beside this instance with its monitor.
type watched struct {
	service fleetconfig.ServiceName
	// started tells the lives of a server that comes back under its id apart.
	started int64

	mu      sync.Mutex
	monitor *health.Monitor
	breaker *health.Breaker
	// suspectSince is when the present suspicion began, zero without one.
	suspectSince time.Time
	detected     bool
	// doubted says that the latest line about the breaker was of doubt.
	doubted bool
}

// doubtChanged reports whether the breaker has come to doubt the server, or has
// stopped to, since the last call. The caller holds mu.
func (w *watched) doubtChanged(now time.Time) (doubted, changed bool) {
	doubted = !w.breaker.Admits(health.BreakerRequest{}, now)
	changed = doubted != w.doubted
	w.doubted = doubted
	return doubted, changed
}

// noteSuspicion follows the suspicion of the monitor. It reports true when the
// evidence has just crossed the bound, and how long that took from the first
// notable evidence. The caller holds mu.
func (w *watched) noteSuspicion(now time.Time) (took time.Duration, detected bool) {
	if w.monitor.State() != health.StateInService {
		return 0, false
	}
	detector := w.monitor.Detector()
	if !detector.Suspect() {
		w.suspectSince = time.Time{}
		w.detected = false
		return 0, false
	}
	if w.suspectSince.IsZero() {
		w.suspectSince = now
	}
	if w.detected || !detector.Alarm() {
		return 0, false
	}
	w.detected = true
	return now.Sub(w.suspectSince), true
}

// Begin implements backendproxy.Watch.
func (s *Service) Begin(server fleetconfig.BackendServerID, arrival backendproxy.Arrival, now time.Time) (backendproxy.Observation, bool) {
	s.mu.Lock()
	found := s.servers[server]
	s.mu.Unlock()
	if found == nil {
		return noObservation{}, true
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	if !found.monitor.Admits() && !arrival.LastResort {
		return nil, false
	}
	visit := found.breaker.Admit(wishOf(arrival), now)
	if visit == nil {
		return nil, false
	}
	token := found.monitor.Begin(arrival.Account, arrival.Deadline, now)
	return &observation{watched: found, token: token, visit: visit}, true
}

// Welcomes implements backendproxy.Watch.
func (s *Service) Welcomes(server fleetconfig.BackendServerID, arrival backendproxy.Arrival, now time.Time) bool {
	s.mu.Lock()
	found := s.servers[server]
	s.mu.Unlock()
	if found == nil || arrival.LastResort {
		return true
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	return found.monitor.Admits() && found.breaker.Admits(wishOf(arrival), now)
}

func wishOf(arrival backendproxy.Arrival) health.BreakerRequest {
	return health.BreakerRequest{Idempotent: arrival.Idempotent, LastResort: arrival.LastResort}
}

// DoubtPercent implements backendproxy.Watch.
func (s *Service) DoubtPercent(server fleetconfig.BackendServerID, now time.Time) int {
	const full = 100
	s.mu.Lock()
	found := s.servers[server]
	s.mu.Unlock()
	if found == nil {
		return 0
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	return int(full * found.breaker.FailureProbability(now))
}

// WeightPercent implements backendproxy.Watch.
func (s *Service) WeightPercent(server fleetconfig.BackendServerID, now time.Time) int {
	const full = 100
	s.mu.Lock()
	found := s.servers[server]
	s.mu.Unlock()
	if found == nil {
		return full
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	return int(full * found.monitor.Weight(now))
}

// observation is one request of a watched backend server.
type observation struct {
	watched *watched
	token   health.Token
	visit   *health.Admission
	ended   bool
}

// End implements backendproxy.Observation.
func (o *observation) End(result health.Result, now time.Time) {
	if o.ended {
		return
	}
	o.ended = true
	o.watched.mu.Lock()
	defer o.watched.mu.Unlock()
	o.watched.monitor.End(o.token, result, now)
	o.watched.breaker.Done(o.visit, result, now)
}

// noObservation stands for a request of a backend server that nobody watches.
type noObservation struct{}

// End implements backendproxy.Observation.
func (noObservation) End(health.Result, time.Time) {}

// SetServers takes in which backend servers are beside this instance. What is known of
// a server does not hold for another life of it.
func (s *Service) SetServers(servers []backendproxy.LocalServer) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[fleetconfig.BackendServerID]bool, len(servers))
	for _, server := range servers {
		present[server.ID] = true
		found := s.servers[server.ID]
		if found == nil || found.service != server.Service || found.started != server.StartedUnixMilli {
			policy := health.PolicyForPreset(s.view().ActivePreset())
			monitor := health.NewMonitor(s.self, server.ID, server.Slots, policy, rand.Uint64(), now)
			if !server.WarmAt.IsZero() {
				monitor.SetWarmAt(server.WarmAt)
			}
			found = &watched{service: server.Service, started: server.StartedUnixMilli, monitor: monitor, breaker: health.NewBreaker(now)}
			s.servers[server.ID] = found
		}
		found.mu.Lock()
		found.monitor.SetSlots(server.Slots)
		if server.State == membership.ServerDraining {
			found.monitor.SetDraining()
		}
		found.mu.Unlock()
	}
	for id := range s.servers {
		if !present[id] {
			delete(s.servers, id)
		}
	}
}
