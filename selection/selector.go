package selection

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/placement"
)

const (
	// refreshInterval is the interval at which the exclusions of a pool are recomputed.
	refreshInterval = 100 * time.Millisecond
	percent         = 100
)

// Config configures a Selector.
type Config struct {
	// Members returns the latest snapshot of the membership.
	Members func() *gossip.Snapshot
	// View returns the current configuration.
	View func() *fleetconfig.View
}

// Selector selects backend servers with one balance.Pool per service. It is safe for
// concurrent use.
type Selector struct {
	config Config
	paths  *pathMonitors
	// roomRefusals counts the requests for which Room found none.
	roomRefusals atomic.Uint64

	// learned holds evacuations that are not in the configuration of this ingress yet. It is
	// written with mu held.
	learned atomic.Pointer[learnedEvacuations]

	mu       sync.Mutex
	services map[fleetconfig.ServiceName]*servicePool
}

// servicePool is the pool of one service together with the data that it is built from.
type servicePool struct {
	mu   sync.Mutex
	pool *balance.Pool
	// hosted holds the backend servers of the pool; the indexes are those of the pool.
	hosted   []gossip.HostedServer
	snapshot *gossip.Snapshot
	// evacuated holds the domains whose servers are not in the pool.
	evacuated        []fleetconfig.FailureDomain
	refreshedAt      time.Time
	failureEstimates map[balance.BackendID]failureEstimate
	statements       map[balance.BackendID]*statement
	// holds holds the servers whose proxies have refused requests without regard to load.
	holds map[balance.BackendID]refusalHold
	// news holds the last outlook of each server, times the service times of the routes.
	news  map[balance.BackendID]serverNews
	times placement.ServiceTimes
	// lastTrialAt is when a request was last sent to a server of which nothing was known
	// although the known ones had no room.
	lastTrialAt time.Time
	probes      probeSchedule
	rng         *rand.Rand
}

// New returns a selector.
func New(config Config) *Selector {
	return &Selector{
		config:   config,
		paths:    newPathMonitors(),
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
	service.releaseAdmitted(now)
	service.releaseHeld(now)
	chosen, ok := service.choose(exchange, tried, now)
	if !ok {
		return ingress.Candidate{}, false
	}
	index := chosen.index
	service.pool.RequestStarted(index)
	service.probeHeld(index, now)
	if exchange.Route != nil && admitsByRoom(exchange) {
		exchange.ServiceTime = service.times.Of(exchange.Route.ID)
	}
	candidate := newCandidate(service.snapshot, service.hosted[index])
	candidate.MaxRateWait = chosen.rateWait
	candidate.LastResort = chosen.lastResort
	if known := service.statements[backendID(candidate)]; known != nil {
		candidate.KnownRate = known.knownRate(now)
		known.requestSent(now)
		service.applyOwnExclusions(index, now)
	}
	s.paths.beginProbe(candidate.Instance, now)
	return candidate, true
}

// RateWait implements ingress.Selector.
func (s *Selector) RateWait(name fleetconfig.ServiceName) (time.Duration, bool) {
	service := s.service(name)
	service.mu.Lock()
	defer service.mu.Unlock()
	_, wait, found := service.earliestAdmission(clock.Now())
	return wait, found
}

// Repeat implements ingress.Selector.
func (s *Selector) Repeat(candidate ingress.Candidate, exchange *pipeline.Exchange) {
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
		if load, ok := backendproxy.ParseLoad(attempt.Load, attempt.ServerStatus); ok {
			reported := load.MembershipLoad(attempt.Candidate.Server)
			service.recordLoad(backendID(attempt.Candidate), &reported, true, now)
		}
		service.recordServiceTime(attempt)
		service.recordRefusal(index, attempt, now)
	}
	if attempt.Refusal == pipeline.KindEvacuated && service.snapshot != nil {
		if member := service.snapshot.Member(attempt.Candidate.Instance); member != nil {
			s.learnEvacuation(member.Record.FailureDomain, now)
		}
	}
	if known := service.statements[backendID(attempt.Candidate)]; known != nil && attempt.Candidate.MaxRateWait > 0 {
		known.recordOverRate(attempt.Refusal != "", now)
	}
	if attempt.Candidate.Address == "" || attempt.Canceled || attempt.Unanswered {
		return
	}
	if attempt.PathFailed {
		s.paths.recordLoss(attempt, s.config.View().Service(attempt.Service), service, now)
		service.refreshedAt = time.Time{}
		return
	}
	s.paths.recordResponse(attempt.Candidate.Instance, now)
}

func (s *Selector) service(name fleetconfig.ServiceName) *servicePool {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.services[name]
	if service == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		service = &servicePool{
			pool:             balance.NewPool(balance.DefaultPolicy()),
			rng:              rng,
			failureEstimates: make(map[balance.BackendID]failureEstimate),
			statements:       make(map[balance.BackendID]*statement),
			holds:            make(map[balance.BackendID]refusalHold),
			news:             make(map[balance.BackendID]serverNews),
		}
		s.services[name] = service
	}
	return service
}

// refresh updates the pool from the latest membership snapshot and the evacuated domains, and
// recomputes the exclusions. Servers in an evacuated domain are not in the pool, so that no way
// of picking a server finds them. The caller must hold the pool's lock.
func (s *Selector) refresh(service *servicePool, name fleetconfig.ServiceName, now time.Time) {
	snapshot := s.config.Members()
	evacuated := s.evacuatedDomains(now)
	if snapshot != service.snapshot || !slices.Equal(evacuated, service.evacuated) {
		service.hosted = subset(snapshot, name, evacuated)
		service.pool.Set(poolBackends(snapshot, service.hosted, service.evacuated))
		service.beginReturn(now)
		service.snapshot, service.evacuated = snapshot, evacuated
	} else if now.Sub(service.refreshedAt) < refreshInterval {
		return
	}
	service.refreshedAt = now
	service.pool.SetPolicy(policyFor(s.config.View()))
	for i, hosted := range service.hosted {
		service.pool.Exclude(i, s.exclusions(hosted, snapshot.Self, now)|service.ownExclusions(hosted, now))
	}
	service.dropStatements(now)
	service.forgetOldNews(now)
	service.ageEstimates(s.config.View().ActivePreset().SlowStart, now)
}

// beginReturn starts the weights of the servers whose domain was evacuated until now. The caller
// must hold the pool's lock.
func (p *servicePool) beginReturn(now time.Time) {
	for _, hosted := range p.hosted {
		id := hostedID(hosted)
		if _, known := p.failureEstimates[id]; !known && inDomains(hosted, p.evacuated) {
			p.failureEstimates[id] = failureEstimate{weight: returnWeight, reportedAt: now}
		}
	}
}

func (s *Selector) exclusions(hosted gossip.HostedServer, self fleetconfig.InstanceID, now time.Time) balance.Exclusion {
	var reasons balance.Exclusion
	if hosted.Server.State != membership.ServerReady || hosted.Member.Record.Draining {
		reasons |= balance.ExcludedDraining
	}
	if hosted.Server.Ejected {
		reasons |= balance.ExcludedEjected
	}
	suspect := hosted.Member.Liveness == membership.Suspect
	if hosted.Member.Record.ID != self && (suspect || !s.paths.usable(hosted.Member, now)) {
		reasons |= balance.ExcludedPath
	}
	return reasons
}

// poolBackends returns the backend servers for the pool. Those in the domains that were evacuated
// until now start at returnWeight.
func poolBackends(snapshot *gossip.Snapshot, hosted []gossip.HostedServer, returning []fleetconfig.FailureDomain) []balance.Backend {
	self := snapshot.Member(snapshot.Self)
	backends := make([]balance.Backend, 0, len(hosted))
	for _, server := range hosted {
		weight := 1.0
		if inDomains(server, returning) {
			weight = returnWeight
		}
		backends = append(backends, balance.Backend{
			ID:      hostedID(server),
			Tier:    tierBetween(&self.Record, &server.Member.Record),
			Slots:   server.Server.Slots,
			Started: server.Server.StartedUnixMilli,
			Weight:  weight,
		})
	}
	return backends
}

func tierBetween(self, other *membership.Record) balance.Tier {
	switch {
	case self.Region != other.Region:
		return balance.TierRemote
	case self.FailureDomain != other.FailureDomain:
		return balance.TierRegion
	default:
		return balance.TierDomain
	}
}

func newCandidate(snapshot *gossip.Snapshot, hosted gossip.HostedServer) ingress.Candidate {
	candidate := ingress.Candidate{
		Instance: hosted.Member.Record.ID,
		Server:   hosted.Server.ID,
		Address:  hosted.Member.Record.Address,
	}
	if candidate.Instance == snapshot.Self {
		candidate.Address = ""
	}
	return candidate
}

func backendID(candidate ingress.Candidate) balance.BackendID {
	return balance.BackendID{Instance: candidate.Instance, Server: candidate.Server}
}
