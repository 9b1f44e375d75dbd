package selection

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// refreshInterval is how often the exclusions of a pool are worked out anew.
	refreshInterval = 100 * time.Millisecond
	percent         = 100
)

// Config configures a Selector.
type Config struct {
	// Members returns the newest view of the members.
	Members func() *gossip.Snapshot
	// View returns the configuration in force.
	View func() *fleetconfig.View
}

// Selector chooses backend servers by package balance, each service from its own
// pool. It is safe for concurrent use.
type Selector struct {
	config Config
	paths  *paths

	mu       sync.Mutex
	services map[fleetconfig.ServiceName]*servicePool
}

// servicePool is the pool of one service with what it was built from.
type servicePool struct {
	mu        sync.Mutex
	pool      *balance.Pool
	placed    []gossip.Placed
	snapshot  *gossip.Snapshot
	refreshed time.Time
	doubts    map[balance.BackendID]doubt
	trials    trials
	random    *rand.Rand
}

// doubt is how likely it was that a backend server fails, when it last said so.
type doubt struct {
	value float64
	at    time.Time
}

// New returns a selector.
func New(config Config) *Selector {
	return &Selector{
		config:   config,
		paths:    newPaths(),
		services: make(map[fleetconfig.ServiceName]*servicePool),
	}
}

// Pick implements ingress.Selector.
func (s *Selector) Pick(exchange *pipeline.Exchange, tried []ingress.Candidate) (ingress.Candidate, bool) {
	service := s.service(exchange.Service)
	service.mu.Lock()
	defer service.mu.Unlock()
	now := clock.Now()
	s.refresh(service, exchange.Service, now)
	index, ok := service.trial(exchange, tried, service.snapshot.Self, now)
	if !ok {
		index, ok = service.choose(exchange, tried)
	}
	if !ok {
		return ingress.Candidate{}, false
	}
	service.pool.RequestStarted(index)
	candidate := candidateOf(service.snapshot, service.placed[index])
	s.paths.tried(candidate.Instance, now)
	return candidate, true
}

// choose returns the index of the backend server for the next attempt. The caller
// holds the pool's lock.
func (p *servicePool) choose(exchange *pipeline.Exchange, tried []ingress.Candidate) (int, bool) {
	var skip balance.TriedBackends
	for _, candidate := range tried {
		skip.Add(backendID(candidate))
	}
	if exchange.Reached > 0 {
		return p.pool.PickBest(p.random, &skip)
	}
	return p.pool.Pick(p.random, &skip)
}

// Again implements ingress.Selector.
func (s *Selector) Again(candidate ingress.Candidate, exchange *pipeline.Exchange) {
	service := s.service(exchange.Service)
	service.mu.Lock()
	defer service.mu.Unlock()
	if index, found := service.pool.Find(backendID(candidate)); found {
		service.pool.RequestStarted(index)
	}
}

// Done implements ingress.Selector.
func (s *Selector) Done(attempt *ingress.Attempt) {
	now := clock.Now()
	service := s.service(attempt.Service)
	service.mu.Lock()
	defer service.mu.Unlock()
	if index, found := service.pool.Find(backendID(attempt.Candidate)); found {
		service.pool.RequestEnded(index)
		if load, ok := backendproxy.ParseLoad(attempt.Load); ok {
			reported := load.Report(attempt.Candidate.Server)
			service.hear(backendID(attempt.Candidate), &reported, now)
		}
	}
	if attempt.Candidate.Address == "" || attempt.Canceled {
		return
	}
	if attempt.PathFailed {
		s.paths.lost(attempt, s.config.View().Service(attempt.Service), service, now)
		service.refreshed = time.Time{}
		return
	}
	s.paths.answered(attempt.Candidate.Instance, now)
}

// HandleLoadReports takes in how the backend servers beside another instance fare.
func (s *Selector) HandleLoadReports(from fleetconfig.InstanceID, loads []membership.ServerLoad) {
	now := clock.Now()
	s.mu.Lock()
	services := slices.Collect(maps.Values(s.services))
	s.mu.Unlock()
	for _, service := range services {
		service.mu.Lock()
		for i := range loads {
			service.hear(balance.BackendID{Instance: from, Server: loads[i].Server}, &loads[i], now)
		}
		service.mu.Unlock()
	}
}

// hear takes in what the proxy beside a backend server says of it. The caller holds
// the pool's lock.
func (p *servicePool) hear(id balance.BackendID, load *membership.ServerLoad, now time.Time) {
	index, found := p.pool.Find(id)
	if !found {
		return
	}
	p.pool.UpdateLoad(index, load.InFlight, float64(load.WeightPercent)/percent)
	reported := doubt{value: float64(load.FailureProbabilityPercent) / percent, at: now}
	p.doubts[id] = reported
	p.pool.SetFailureProbability(index, health.ExcessFailureProbability(reported.value))
}

func (s *Selector) service(name fleetconfig.ServiceName) *servicePool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.services[name]
	if found == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		found = &servicePool{
			pool:   balance.NewPool(balance.DefaultPolicy()),
			random: random,
			doubts: make(map[balance.BackendID]doubt),
		}
		s.services[name] = found
	}
	return found
}

// refresh takes a newer view of the members and the present path verdicts into
// the pool. The caller holds the pool's lock.
func (s *Selector) refresh(service *servicePool, name fleetconfig.ServiceName, now time.Time) {
	snapshot := s.config.Members()
	if snapshot != service.snapshot {
		service.snapshot = snapshot
		service.placed = subset(snapshot, name)
		service.pool.Set(backendsOf(snapshot, service.placed))
	} else if now.Sub(service.refreshed) < refreshInterval {
		return
	}
	service.refreshed = now
	for i, placed := range service.placed {
		service.pool.Exclude(i, s.exclusions(placed, snapshot.Self, now))
	}
	service.refreshDoubts(now)
}

// refreshDoubts lets the doubts fade that no report has renewed.
func (p *servicePool) refreshDoubts(now time.Time) {
	for i := range p.pool.Len() {
		id := p.pool.Backend(i).ID
		if known, found := p.doubts[id]; found {
			p.pool.SetFailureProbability(i, health.ExcessFailureProbability(health.DecayedFailureProbability(known.value, now.Sub(known.at))))
		}
	}
	for id := range p.doubts {
		if _, found := p.pool.Find(id); !found {
			delete(p.doubts, id)
			delete(p.trials.last, id)
		}
	}
}

func (s *Selector) exclusions(placed gossip.Placed, self fleetconfig.InstanceID, now time.Time) balance.Exclusion {
	var reasons balance.Exclusion
	if placed.Server.State != membership.ServerReady || placed.Member.Record.Draining {
		reasons |= balance.ExcludedDraining
	}
	if placed.Server.Ejected {
		reasons |= balance.ExcludedEjected
	}
	doubted := placed.Member.Liveness == membership.Suspect
	if placed.Member.Record.ID != self && (doubted || !s.paths.usable(placed.Member, now)) {
		reasons |= balance.ExcludedPath
	}
	return reasons
}

func backendsOf(snapshot *gossip.Snapshot, placed []gossip.Placed) []balance.Backend {
	self := snapshot.Member(snapshot.Self)
	backends := make([]balance.Backend, 0, len(placed))
	for _, server := range placed {
		backends = append(backends, balance.Backend{
			ID:     balance.BackendID{Instance: server.Member.Record.ID, Server: server.Server.ID},
			Tier:   tierOf(&self.Record, &server.Member.Record),
			Slots:  server.Server.Slots,
			Weight: 1,
		})
	}
	return backends
}

func tierOf(self, other *membership.Record) balance.Tier {
	switch {
	case self.Region != other.Region:
		return balance.TierRemote
	case self.FailureDomain != other.FailureDomain:
		return balance.TierRegion
	default:
		return balance.TierDomain
	}
}

func candidateOf(snapshot *gossip.Snapshot, placed gossip.Placed) ingress.Candidate {
	candidate := ingress.Candidate{
		Instance: placed.Member.Record.ID,
		Server:   placed.Server.ID,
		Address:  placed.Member.Record.Address,
	}
	if candidate.Instance == snapshot.Self {
		candidate.Address = ""
	}
	return candidate
}

func backendID(candidate ingress.Candidate) balance.BackendID {
	return balance.BackendID{Instance: candidate.Instance, Server: candidate.Server}
}
