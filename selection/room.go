package selection

import (
	"cmp"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/callgraph"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/placement"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/quota"
)

const (
	// minReturnSpread is the shortest period over which refused callers come back, so that
	// those who were refused together do not. Retry-After counts whole seconds.
	minReturnSpread = 2 * time.Second
	// maxReturnDelay bounds what a refused caller is told to wait for room.
	maxReturnDelay = 10 * time.Second
	// renewedTokenLifetime is the time for which a request can wait with a new quota token.
	// Tokens are lent ahead, so half of their lifetime has passed on average.
	renewedTokenLifetime = quota.MaxTokenLifetime / 2
	// hopCost is what a request to another failure domain must gain, in requests per slot:
	// the difference of one request between servers of ten slots is not worth the way.
	hopCost = 0.1
	// callWaitParts is the divisor of the time that a call may wait, see CallRoom.
	callWaitParts = 4
	// minCallWait is a wait for a call that is no reason to refuse the request that needs it: news
	// of a queue is about as old.
	minCallWait = 200 * time.Millisecond
)

// serverNews is what the proxy beside a backend server last said about the wait there.
type serverNews struct {
	outlook  queue.Outlook
	slowness float64
	inFlight uint32
	// noRepeats says that the server could receive no repeats.
	noRepeats bool
	// started tells the processes of the server and of its proxy apart.
	started int64
	heardAt time.Time
}

// newsOf returns the news in a load report.
func newsOf(load *membership.ServerLoad, started int64, now time.Time) serverNews {
	return serverNews{
		outlook:  backendproxy.OutlookOf(load),
		slowness: float64(load.SlownessPercent) / percent,
		inFlight: load.InFlight,
		started:  started,
		heardAt:  now,

		noRepeats: load.NoRepeats,
	}
}

// recordNews records what a report says about the wait and the times at a server. The caller must hold the
// pool's lock.
func (p *servicePool) recordNews(index int, id balance.BackendID, load *membership.ServerLoad, now time.Time) {
	news := newsOf(load, p.pool.Backend(index).Started, now)
	p.news[id] = news
	p.pool.SetSlowness(index, news.slowness)
	p.pool.SetShedding(index, float64(load.SheddingPercent)/percent)
}

// forgetOldNews removes reports from the pool that are too old to say anything. Without
// KeepReports each change of the membership does so. The caller must hold the pool's lock.
func (p *servicePool) forgetOldNews(now time.Time) {
	for id, news := range p.news {
		if now.Sub(news.heardAt) < placement.NewsLifetime {
			continue
		}
		if index, found := p.pool.Find(id); found && p.pool.KeepsReports() {
			p.pool.ForgetLoad(index)
		}
		delete(p.news, id)
	}
}

// policyFor returns the parameters of the selection under a configuration.
func policyFor(view *fleetconfig.View) balance.Policy {
	policy := balance.DefaultPolicy()
	if view.ActivePreset().AdmissionByRoom {
		policy.HopCost = hopCost
		policy.KeepReports = true
	}
	return policy
}

// Room implements ingress.Selector.
func (s *Selector) Room(exchange *pipeline.Exchange, tried []ingress.Candidate, busyRefusals int) (retryAfter time.Duration, room bool) {
	service := s.service(exchange.Service)
	service.mu.Lock()
	defer service.mu.Unlock()
	now := clock.Now()
	s.refresh(service, exchange.Service, now)
	request := service.placementRequest(exchange, now)
	if !request.Urgency.IsCall() {
		request.BusyRefusals = busyRefusals
	}
	survey, decided := service.survey(&request, tried, now)
	if !decided {
		return 0, true
	}
	exchange.ExpectedWait = survey.Wait()
	verdict, roomIn := survey.Decide(&request)
	// A refused call would end the run that sent it, so it may go to any server of which
	// nothing is known.
	if service.admits(verdict, now) || (verdict == placement.Trial && request.Urgency.IsCall()) {
		return 0, true
	}
	s.roomRefusals.Add(1)
	return service.returnAfter(roomIn), false
}

// CallRoom reports whether the called service has room for a call of a request of the given
// urgency that has not started, as far as this ingress knows. slack is how long the call may wait
// without making the request late. There is room while the requests that are at least as urgent
// leave the call a quarter of that, or of what the timeout of its route leaves. The rest is for
// the calls of runs that have started and not called yet. If there is no room, CallRoom returns
// the time after which the request should come back.
func (s *Selector) CallRoom(call callgraph.Call, urgency fleetconfig.Urgency, slack time.Duration) (retryAfter time.Duration, room bool) {
	service := s.service(call.Service)
	service.mu.Lock()
	defer service.mu.Unlock()
	now := clock.Now()
	s.refresh(service, call.Service, now)
	serviceTime := service.times.Of(call.Route)
	wait := slack / callWaitParts
	if route := s.config.View().Route(call.Route); route != nil {
		timeout := cmp.Or(route.Timeout, fleetconfig.DefaultRouteTimeout)
		wait = min(wait, (timeout-serviceTime)/callWaitParts)
	}
	deadline := now.Add(serviceTime + max(wait, minCallWait))
	request := placement.Request{Urgency: urgency, Yielding: true, ServiceTime: serviceTime, Deadline: deadline, StartBy: deadline}
	survey, decided := service.survey(&request, nil, now)
	if !decided {
		return 0, true
	}
	if verdict, roomIn := survey.Decide(&request); !service.admits(verdict, now) {
		return service.returnAfter(roomIn), false
	}
	return 0, true
}

// admits reports whether a request with the verdict is sent, and records a trial. The caller
// must hold the pool's lock.
func (p *servicePool) admits(verdict placement.Verdict, now time.Time) bool {
	if verdict == placement.Trial && now.Sub(p.lastTrialAt) >= placement.TrialInterval {
		p.lastTrialAt = now
		return true
	}
	return verdict == placement.Admit
}

// returnAfter returns when a refused caller should come back, given the time until there is
// room. The caller must hold the pool's lock.
func (p *servicePool) returnAfter(roomIn time.Duration) time.Duration {
	roomIn = min(roomIn, maxReturnDelay)
	return roomIn + time.Duration(p.rng.Float64()*float64(max(roomIn, minReturnSpread)))
}

// RoomRefusals returns how many requests this ingress has refused because it knew of no room.
func (s *Selector) RoomRefusals() uint64 { return s.roomRefusals.Load() }

// latestStart returns the latest time at which the request may start. A quota token that
// expires earlier than a new one is replaced before the next attempt, so it counts as new.
func latestStart(exchange *pipeline.Exchange, now time.Time) time.Time {
	latest := exchange.Deadline
	if !exchange.CurrentUntil.IsZero() && exchange.CurrentUntil.Before(latest) {
		latest = exchange.CurrentUntil
	}
	if exchange.TokenExpires.IsZero() {
		return latest
	}
	expires := exchange.TokenExpires
	if renewed := now.Add(renewedTokenLifetime); expires.Before(renewed) {
		expires = renewed
	}
	if expires.Before(latest) {
		latest = expires
	}
	return latest
}

// placementRequest describes the request of an exchange. The caller must hold the pool's lock.
func (p *servicePool) placementRequest(exchange *pipeline.Exchange, now time.Time) placement.Request {
	request := placement.Request{Urgency: fleetconfig.LeastUrgent, Deadline: exchange.Deadline, StartBy: latestStart(exchange, now)}
	if exchange.Route == nil {
		return request
	}
	request.ServiceTime = p.times.Of(exchange.Route.ID)
	request.Urgency = exchange.IngressUrgency()
	// The run that sent a call needs its response even if it is late.
	if exchange.Route.LatencyTarget > 0 && !request.Urgency.IsCall() {
		request.TargetTime = exchange.Received.Add(exchange.Route.LatencyTarget)
	}
	return request
}

// survey asks the servers that may be selected for room. It returns false if room does not
// decide, because servers wait for their advertised rate. Servers that are probably failing
// count as long as they may be probed. The caller must hold the pool's lock.
func (p *servicePool) survey(request *placement.Request, tried []ingress.Candidate, now time.Time) (placement.Survey, bool) {
	var skip balance.TriedBackends
	for _, candidate := range tried {
		skip.Add(backendID(candidate))
	}
	var survey placement.Survey
	for i := range p.pool.Len() {
		backend := p.pool.Backend(i)
		if backend.Excluded == balance.ExcludedRate {
			return survey, false
		}
		if backend.Excluded != 0 || backend.FailureProbability > maxProbeFailureProbability || skip.Contains(backend.ID) {
			continue
		}
		server := p.placementServer(&backend)
		survey.Add(&server, request, now)
	}
	return survey, true
}

// placementServer returns what is known of a server. The caller must hold the pool's lock.
func (p *servicePool) placementServer(backend *balance.Backend) placement.Server {
	news := p.news[backend.ID]
	if news.started != backend.Started {
		news = serverNews{}
	}
	return placement.Server{
		Outlook:  news.outlook,
		Slowness: news.slowness,
		Slots:    backend.Slots,
		InFlight: news.inFlight,
		Sent:     backend.SentSinceReport(),
		HeardAt:  news.heardAt,
	}
}

// preferRoom returns a server that is known to have room if the picked one is known to have
// none: a sound one, or else one that may be failing, as a last resort. Otherwise it returns
// the picked one. The caller must hold the pool's lock.
func (p *servicePool) preferRoom(exchange *pipeline.Exchange, tried []ingress.Candidate, picked int, now time.Time) (index int, lastResort bool) {
	request := p.placementRequest(exchange, now)
	backend := p.pool.Backend(picked)
	server := p.placementServer(&backend)
	if _, known := server.Wait(&request, now); !known || server.HasRoom(&request, now) {
		return picked, false
	}
	var skip balance.TriedBackends
	for _, candidate := range tried {
		skip.Add(backendID(candidate))
	}
	for _, limit := range []float64{health.SuspectFailureProbability, maxProbeFailureProbability} {
		index, found := p.pool.PickBestOf(p.rng, &skip, func(backend *balance.Backend) bool {
			server := p.placementServer(backend)
			return backend.FailureProbability <= limit && server.HasRoom(&request, now)
		})
		if found {
			return index, p.suspected(index)
		}
	}
	return picked, false
}

// recordServiceTime records the service time of an answered attempt. The caller must hold the
// pool's lock.
func (p *servicePool) recordServiceTime(attempt *ingress.Attempt) {
	if attempt.Status > 0 && attempt.Status < firstServerError {
		p.times.Record(attempt.Route, attempt.ServiceTime)
	}
}

// firstServerError is the lowest status of a server error.
const firstServerError = 500
