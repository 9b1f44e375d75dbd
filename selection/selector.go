package selection

import (
	"maps"
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
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/placement"
	"github.com/hemlockring/hemlockring/throttle"
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

// failureEstimate is the failure probability and the weight of a backend server as of its last
// report.
type failureEstimate struct {
	probability float64
	weight      float64
	reportedAt  time.Time
}

// weightAt returns the weight as far as is known. Without further reports it grows as during a
// slow start, so that a server that is back in service is tried again, and not at once with its
// full share.
func (e *failureEstimate) weightAt(now time.Time, slowStart time.Duration) float64 {
	unheard := now.Sub(e.reportedAt) - placement.NewsLifetime
	switch {
	case unheard <= 0:
		return e.weight
	case slowStart <= 0:
		return 1
	}
	return min(1, e.weight+float64(unheard)/float64(slowStart))
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
	index, ok := service.probeTarget(exchange, tried, service.snapshot.Self, now)
	var lastResort bool
	if !ok {
		index, lastResort, ok = service.pickFromPool(exchange, tried, now)
	}
	if ok && exchange.NextRepeat() == pipeline.RepeatNone && !lastResort && admitsByRoom(exchange) {
		index, lastResort = service.preferRoom(exchange, tried, index, now)
	}
	if !ok {
		index, lastResort, ok = service.pickHeld(tried)
	}
	var rateWait time.Duration
	if maxWait := maxRateWait(exchange, now); maxWait > 0 && (!ok || service.pool.Saturated(index)) {
		if overRate, found := service.pickOverRate(tried, now); found {
			index, ok, rateWait, lastResort = overRate, true, maxWait, false
		}
	}
	if !ok {
		return ingress.Candidate{}, false
	}
	service.pool.RequestStarted(index)
	service.probeHeld(index, now)
	if exchange.Route != nil && admitsByRoom(exchange) {
		exchange.ServiceTime = service.times.Of(exchange.Route.ID)
	}
	candidate := newCandidate(service.snapshot, service.hosted[index])
	candidate.MaxRateWait = rateWait
	candidate.LastResort = lastResort
	if known := service.statements[backendID(candidate)]; known != nil {
		candidate.KnownRate = known.knownRate(now)
		known.requestSent(now)
		service.applyOwnExclusions(index, now)
	}
	s.paths.beginProbe(candidate.Instance, now)
	return candidate, true
}

// admitsByRoom reports whether the active preset admits requests by the room for them.
func admitsByRoom(exchange *pipeline.Exchange) bool {
	return exchange.View != nil && exchange.View.ActivePreset().AdmissionByRoom
}

// maxRateWait returns how long the request may still wait until the rate of a backend
// server admits it.
func maxRateWait(exchange *pipeline.Exchange, now time.Time) time.Duration {
	if exchange.Route == nil {
		return 0
	}
	return throttle.MaxWait(exchange.Route.LatencyTarget) - now.Sub(exchange.Received)
}

// RateWait implements ingress.Selector.
func (s *Selector) RateWait(name fleetconfig.ServiceName) (time.Duration, bool) {
	service := s.service(name)
	service.mu.Lock()
	defer service.mu.Unlock()
	_, wait, found := service.earliestAdmission(clock.Now())
	return wait, found
}

// pickFromPool returns the index of the backend server for the next attempt, and whether it
// is a last resort: a server that is suspected of failure, while no other one has room. The
// proxy of a suspect refuses other requests, except for probes by the first attempts of
// idempotent requests. The caller must hold the pool's lock.
func (p *servicePool) pickFromPool(exchange *pipeline.Exchange, tried []ingress.Candidate, now time.Time) (index int, lastResort, ok bool) {
	var skip balance.TriedBackends
	for _, candidate := range tried {
		skip.Add(backendID(candidate))
	}
	if exchange.NextRepeat() != pipeline.RepeatNone && p.pool.KeepsReports() {
		return p.pickForRepeat(&skip, now)
	}
	if exchange.ReachedAttempts > 0 {
		index, ok = p.pool.PickBest(p.rng, &skip)
	} else {
		index, ok = p.pool.Pick(p.rng, &skip)
	}
	// With announced changes of state a suspect is known on all ingresses, and the one beside
	// it probes it; the others would only be refused.
	mayProbe := exchange.Idempotent && len(tried) == 0 && !p.pool.KeepsReports()
	if !ok || mayProbe || !p.suspected(index) {
		return index, false, ok
	}
	if sound, found := p.pool.PickSound(p.rng, &skip, health.SuspectFailureProbability); found {
		return sound, false, true
	}
	index, ok = p.pool.PickBest(p.rng, &skip)
	return index, ok && p.suspected(index), ok
}

// repeatNewsLifetime is how long the news that a server may receive no repeats holds. A server
// with a request or two a second earns the credit for the next in a few seconds.
const repeatNewsLifetime = time.Second

// pickForRepeat returns the index of the backend server for a repeat, and whether it is a last
// resort, among those that may have credit for one. The caller must hold the pool's lock.
func (p *servicePool) pickForRepeat(skip *balance.TriedBackends, now time.Time) (index int, lastResort, ok bool) {
	mayTake := func(backend *balance.Backend) bool { return p.mayTakeRepeat(backend.ID, now) }
	index, ok = p.pool.PickBestOf(p.rng, skip, func(backend *balance.Backend) bool {
		return backend.FailureProbability < health.SuspectFailureProbability && mayTake(backend)
	})
	if ok {
		return index, false, true
	}
	index, ok = p.pool.PickBestOf(p.rng, skip, mayTake)
	return index, ok, ok
}

// mayTakeRepeat reports whether a server may have credit for a repeat, as far as is known. The
// caller must hold the pool's lock.
func (p *servicePool) mayTakeRepeat(id balance.BackendID, now time.Time) bool {
	news, known := p.news[id]
	return !known || !news.noRepeats || now.Sub(news.heardAt) >= repeatNewsLifetime
}

// suspected reports whether a backend server is suspected of failure, so that its proxy
// refuses requests. The caller must hold the pool's lock.
func (p *servicePool) suspected(index int) bool {
	return p.pool.Backend(index).FailureProbability >= health.SuspectFailureProbability
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

// HandleLoadReports records the loads that another instance reported for its backend
// servers.
func (s *Selector) HandleLoadReports(from fleetconfig.InstanceID, loads []membership.ServerLoad) {
	now := clock.Now()
	s.mu.Lock()
	services := slices.Collect(maps.Values(s.services))
	s.mu.Unlock()
	for _, service := range services {
		service.mu.Lock()
		for i := range loads {
			service.recordLoad(balance.BackendID{Instance: from, Server: loads[i].Server}, &loads[i], false, now)
		}
		service.mu.Unlock()
	}
}

// recordLoad records the load, weight and failure probability that a proxy reported for
// its backend server, and what the server has stated (see statement.record for appointed).
// The caller must hold the pool's lock.
func (p *servicePool) recordLoad(id balance.BackendID, load *membership.ServerLoad, appointed bool, now time.Time) {
	index, found := p.pool.Find(id)
	if !found {
		return
	}
	weight := float64(load.WeightPercent) / percent
	p.pool.UpdateLoad(index, load.InFlight, weight)
	p.recordNews(index, id, load, now)
	reported := failureEstimate{probability: float64(load.FailureProbabilityPercent) / percent, weight: weight, reportedAt: now}
	p.failureEstimates[id] = reported
	p.pool.SetFailureProbability(index, health.ExcessFailureProbability(reported.probability))
	p.endHoldOnReport(index, id, reported.probability, load.WeightPercent, now)
	p.recordStatement(index, id, load, appointed, now)
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

// ageEstimates updates the pool with the failure probabilities, each decayed over the time since
// its server's last report, and with the weights. It also drops the state of servers that have
// left the pool.
func (p *servicePool) ageEstimates(slowStart time.Duration, now time.Time) {
	for i := range p.pool.Len() {
		id := p.pool.Backend(i).ID
		if known, found := p.failureEstimates[id]; found {
			p.pool.SetFailureProbability(i, health.ExcessFailureProbability(health.DecayedFailureProbability(known.probability, now.Sub(known.reportedAt))))
			p.pool.SetWeight(i, known.weightAt(now, slowStart))
		}
	}
	for id := range p.failureEstimates {
		if _, found := p.pool.Find(id); !found {
			delete(p.failureEstimates, id)
			delete(p.news, id)
			delete(p.probes.lastProbeAt, id)
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
