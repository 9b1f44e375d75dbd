package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/retry"
	"github.com/hemlockring/hemlockring/throttle"
)

// loadPolicy is a combination of policies for a load run.
type loadPolicy struct {
	name            policyName
	roundRobin      bool
	choices         int
	fairQueue       bool
	hedging         bool
	healthDetection bool
}

// loadPolicies lists the compared combinations in the order of the tables. The last one is
// hemlockring's own.
var loadPolicies = []loadPolicy{
	{name: "round robin, probes only, FIFO", roundRobin: true, choices: 1},
	{name: "one choice, fair queue", choices: 1, fairQueue: true, healthDetection: true},
	{name: "two choices, FIFO", choices: 2, healthDetection: true},
	{name: "two choices, fair queue", choices: 2, fairQueue: true, healthDetection: true},
	{name: "two choices, fair queue, hedges", choices: 2, fairQueue: true, hedging: true, healthDetection: true},
}

// loadCase is a load scenario.
type loadCase string

// Load cases. Their values are names in the output.
const (
	loadNormal          loadCase = "usual load"
	loadSlowServer      loadCase = "one server 5x slower"
	loadAccountOverRate loadCase = "one account at 5x its rate"
	loadLimitedServers  loadCase = "a third of the servers limited"
)

var loadCases = []loadCase{loadNormal, loadSlowServer, loadAccountOverRate, loadLimitedServers}

// Parameters of the load cases.
const (
	normalUtilization  = 0.6
	fairShareFraction  = 0.8
	overRateFactor     = 5
	idempotentFraction = 0.8
	loadTickInterval   = 10 * time.Millisecond
	reportInterval     = 100 * time.Millisecond
	loadWarmUpDuration = 15 * time.Second
	// In the case loadLimitedServers, each limitedServerInterval-th server advertises
	// limitedRateFraction of the rate that it gets otherwise.
	limitedServerInterval = 3
	limitedRateFraction   = 0.4
)

// loadRequest is one client request of a load run. It may have several attempts. Only
// requests that arrive after the warm-up are measured.
type loadRequest struct {
	account       int
	ingress       int
	arrivedAt     time.Time
	deadline      time.Time
	idempotent    bool
	measured      bool
	attempts      int
	openAttempts  []queue.ItemID
	done          bool
	triedBackends balance.TriedBackends
}

// attempt is one attempt of a request at one server.
type attempt struct {
	request *loadRequest
	server  *loadServer
	sentAt  time.Time
	running bool
	token   health.Token
	result  health.Result
}

// loadServer is one backend server of a load run with its queue.
type loadServer struct {
	index     int
	monitored *monitoredServer
	queue     *queue.Queue
	// limit counts the requests of a server that advertises a rate. It is nil for others.
	limit *rateMeter
}

// loadRun simulates one load case under one combination of policies. It is not safe for
// concurrent use.
type loadRun struct {
	service         *simulatedService
	policy          loadPolicy
	kind            loadCase
	rng             *rand.Rand
	events          eventQueue
	now             time.Time
	arrivalsEndAt   time.Time
	servers         []*loadServer
	pools           []*balance.Pool
	retryBudget     *retry.Budget
	latencies       health.Histogram
	attempts        map[queue.ItemID]*attempt
	lastItem        queue.ItemID
	roundRobinCount int
	totals          loadTotals
}

func newLoadRun(settings *Settings, service *ServiceSettings, policy loadPolicy, kind loadCase, seed uint64) *loadRun {
	r := &loadRun{
		service:       newSimulatedService(settings, service, seed),
		policy:        policy,
		kind:          kind,
		rng:           rand.New(rand.NewPCG(seed, 1<<35)),
		now:           epoch,
		arrivalsEndAt: epoch.Add(loadWarmUpDuration + time.Duration(settings.LoadSeconds)*time.Second),
		retryBudget:   retry.NewBudget(&settings.Preset),
		attempts:      make(map[queue.ItemID]*attempt),
	}
	for i, server := range r.service.servers {
		r.servers = append(r.servers, &loadServer{
			index:     i,
			monitored: server,
			queue:     queue.New(service.Slots, int(settings.Preset.QueueLength)),
		})
	}
	for ingress := range settings.Ingresses {
		r.pools = append(r.pools, r.newPool(ingress))
	}
	r.totals = newLoadTotals(service.Accounts)
	return r
}

func (r *loadRun) newPool(ingress int) *balance.Pool {
	settings := r.service.settings
	backends := make([]balance.Backend, len(r.servers))
	for i, server := range r.servers {
		tier := balance.TierRegion
		if i%settings.FailureDomains == ingress%settings.FailureDomains {
			tier = balance.TierDomain
		}
		backends[i] = balance.Backend{
			ID:     balance.BackendID{Server: server.monitored.id},
			Tier:   tier,
			Slots:  uint32(r.service.service.Slots),
			Weight: 1,
		}
	}
	policy := balance.DefaultPolicy()
	policy.Choices = r.policy.choices
	pool := balance.NewPool(policy)
	pool.Set(backends)
	return pool
}

// run processes events until the last request has ended and returns the totals.
func (r *loadRun) run() loadTotals {
	for account, rate := range r.arrivalRates() {
		r.scheduleArrival(account, rate)
	}
	r.scheduleTick()
	r.scheduleReport()
	r.events.add(epoch.Add(loadWarmUpDuration), r.injectFault)
	for r.events.Len() > 0 {
		next := r.events.next()
		r.now = next.at
		if r.now.After(r.arrivalsEndAt.Add(r.service.settings.Deadline)) {
			break
		}
		next.run()
	}
	return r.totals
}

func (r *loadRun) injectFault() {
	switch r.kind {
	case loadSlowServer:
		r.servers[0].monitored.fake.injectFault(FaultSlow5x, r.now)
	case loadLimitedServers:
		rate := limitedRateFraction * normalUtilization * r.capacity() / float64(len(r.servers))
		for i := 0; i < len(r.servers); i += limitedServerInterval {
			server := r.servers[i]
			server.limit = &rateMeter{rate: rate}
			_, actions := server.queue.ObserveRate(throttle.Advertised{Kind: throttle.KindRate, PerSecond: rate}, r.now, r.now)
			r.executeActions(actions)
		}
	}
}

// capacity returns the requests per second that all servers can run together.
func (r *loadRun) capacity() float64 {
	service := r.service.service
	slotCapacity := 1 / (service.LatencyMedian.Seconds() * lognormalMeanFactor(service.LatencySigma))
	return slotCapacity * float64(service.Slots*service.Servers)
}

// arrivalRates returns the requests per second of each account. In the case
// loadAccountOverRate all accounts but the first send fairShareFraction of their fair share
// of the capacity, and the first sends overRateFactor times as much.
func (r *loadRun) arrivalRates() []float64 {
	service := r.service.service
	capacity := r.capacity()
	rates := make([]float64, service.Accounts)
	for i := range rates {
		if r.kind == loadAccountOverRate {
			rates[i] = fairShareFraction * capacity / float64(service.Accounts)
			continue
		}
		share := (100 - service.LargeSharePercent) / float64(service.Accounts-service.LargeAccounts)
		if i < service.LargeAccounts {
			share = service.LargeSharePercent / float64(service.LargeAccounts)
		}
		rates[i] = normalUtilization * capacity * share / 100
	}
	if r.kind == loadAccountOverRate {
		rates[0] *= overRateFactor
	}
	return rates
}

func (r *loadRun) scheduleArrival(account int, rate float64) {
	at := r.now.Add(time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)))
	if at.After(r.arrivalsEndAt) {
		return
	}
	r.events.add(at, func() {
		r.handleArrival(account)
		r.scheduleArrival(account, rate)
	})
}

func (r *loadRun) handleArrival(account int) {
	request := &loadRequest{
		account:    account,
		ingress:    r.rng.IntN(len(r.pools)),
		arrivedAt:  r.now,
		deadline:   r.now.Add(r.service.settings.Deadline),
		idempotent: r.rng.Float64() < idempotentFraction,
		measured:   r.now.Sub(epoch) >= loadWarmUpDuration,
	}
	r.totals.recordRequest(request)
	r.retryBudget.RecordRequest(r.service.servers[0].fake.accountIDs[account], r.now)
	r.events.add(request.deadline, func() { r.finishRequest(request, outcomeLate) })
	r.sendAttempt(request)
	r.scheduleHedge(request)
}

// sendAttempt sends one attempt of the request. If no server is left, the request is
// refused unless another attempt is still open.
func (r *loadRun) sendAttempt(request *loadRequest) {
	index, ok := r.pickServer(request)
	if !ok {
		if len(request.openAttempts) == 0 {
			r.finishRequest(request, outcomeRefused)
		}
		return
	}
	server := r.servers[index]
	request.triedBackends.Add(balance.BackendID{Server: server.monitored.id})
	request.attempts++
	r.totals.recordAttempt(request)
	r.pools[request.ingress].RequestStarted(index)
	r.lastItem++
	request.openAttempts = append(request.openAttempts, r.lastItem)
	r.attempts[r.lastItem] = &attempt{request: request, server: server, sentAt: r.now}
	item := queue.Item{ID: r.lastItem, Deadline: request.deadline}
	if r.policy.fairQueue {
		item.Account = server.monitored.fake.accountIDs[request.account]
	}
	r.executeActions(server.queue.Offer(item, r.now))
}

func (r *loadRun) pickServer(request *loadRequest) (int, bool) {
	if !r.policy.roundRobin {
		return r.pools[request.ingress].Pick(r.rng, &request.triedBackends)
	}
	r.roundRobinCount++
	return r.roundRobinCount % len(r.servers), true
}

func (r *loadRun) executeActions(actions []queue.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Run:
			r.startAttempt(action.ID)
		case queue.Refuse:
			r.handleRefusal(action)
		}
	}
}

func (r *loadRun) startAttempt(id queue.ItemID) {
	a := r.attempts[id]
	a.running = true
	if a.server.limit != nil {
		r.totals.overRate = max(r.totals.overRate, a.server.limit.record(r.now))
	}
	fake := a.server.monitored.fake
	request := &fakeRequest{account: a.request.account, startedAt: r.now}
	fake.drawOutcome(request, r.now)
	a.result = request.result
	a.token = a.server.monitored.monitor.Begin(fake.accountIDs[a.request.account], a.request.deadline, r.now)
	r.events.add(request.endsAt, func() { r.handleResponse(id) })
}

// handleResponse handles the response to an attempt, unless the attempt was canceled.
func (r *loadRun) handleResponse(id queue.ItemID) {
	a, ok := r.attempts[id]
	if !ok {
		return
	}
	r.closeAttempt(id, a, a.result)
	r.latencies.Record(r.now.Sub(a.sentAt))
	r.retryOrFinish(a.request, retry.Attempt{
		Outcome:     pipeline.OutcomeAnswered,
		ServerError: a.result != health.ResultOK,
	}, outcomeFailed)
	r.executeActions(a.server.queue.Done(id, r.now))
}

func (r *loadRun) handleRefusal(refuse queue.Refuse) {
	a := r.attempts[refuse.ID]
	r.closeAttempt(refuse.ID, a, health.ResultShed)
	if !a.request.done && refuse.Reason == queue.ReasonRateLimited {
		// An attempt that has not reached a server does not use the retry budget.
		a.request.attempts--
		r.totals.withdrawAttempt(a.request)
		r.sendAttempt(a.request)
		return
	}
	if !a.request.done {
		r.retryOrFinish(a.request, retry.Attempt{Outcome: pipeline.OutcomeNotRun}, outcomeRefused)
	}
}

// closeAttempt ends an attempt and reports the current load of the server to the ingress, as
// a response does in a fleet.
func (r *loadRun) closeAttempt(id queue.ItemID, a *attempt, result health.Result) {
	delete(r.attempts, id)
	a.request.openAttempts = slices.DeleteFunc(a.request.openAttempts, func(open queue.ItemID) bool { return open == id })
	pool := r.pools[a.request.ingress]
	pool.RequestEnded(a.server.index)
	r.updateLoad(pool, a.server)
	if a.running {
		a.server.monitored.monitor.End(a.token, result, r.now)
	}
}

// cancelAttempts cancels the open attempts of a finished request. The servers also
// stop attempts that are running.
func (r *loadRun) cancelAttempts(request *loadRequest) {
	for _, id := range slices.Clone(request.openAttempts) {
		a := r.attempts[id]
		if !a.running {
			r.executeActions(a.server.queue.Cancel(id))
			continue
		}
		r.closeAttempt(id, a, health.ResultCanceled)
		r.executeActions(a.server.queue.Done(id, r.now))
	}
}

// retryOrFinish finishes an answered request, retries it if the retry budget allows, or
// waits for its other open attempt. Without an open attempt, it ends with finalOutcome.
func (r *loadRun) retryOrFinish(request *loadRequest, attempt retry.Attempt, finalOutcome requestOutcome) {
	r.fillAttempt(request, &attempt)
	switch r.retryBudget.Decide(attempt, r.now) {
	case retry.DecisionNotNeeded:
		r.finishRequest(request, outcomeAnswered)
	case retry.DecisionRetry:
		r.sendAttempt(request)
	default:
		if len(request.openAttempts) == 0 {
			r.finishRequest(request, finalOutcome)
		}
	}
}

func (r *loadRun) fillAttempt(request *loadRequest, attempt *retry.Attempt) {
	attempt.Account = r.service.servers[0].fake.accountIDs[request.account]
	attempt.Idempotent = request.idempotent
	attempt.Attempts = request.attempts
	attempt.Remaining = request.deadline.Sub(r.now)
}

func (r *loadRun) scheduleHedge(request *loadRequest) {
	if !r.policy.hedging {
		return
	}
	delay, ok := retry.HedgeDelay(&r.service.settings.Preset, request.idempotent, &r.latencies)
	if !ok {
		return
	}
	r.events.add(r.now.Add(delay), func() {
		if request.done || len(request.openAttempts) == 0 {
			return
		}
		var attempt retry.Attempt
		r.fillAttempt(request, &attempt)
		if r.retryBudget.DecideHedge(attempt, r.now) == retry.DecisionRetry {
			r.sendAttempt(request)
		}
	})
}

func (r *loadRun) finishRequest(request *loadRequest, outcome requestOutcome) {
	if request.done {
		return
	}
	request.done = true
	r.totals.recordOutcome(request, outcome, r.now.Sub(request.arrivedAt))
	r.cancelAttempts(request)
}
