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
)

// loadPolicy is a combination of policies under load.
type loadPolicy struct {
	name       policyName
	roundRobin bool
	choices    int
	fair       bool
	hedge      bool
	health     bool
}

// loadPolicies are the compared combinations, in the order of the tables.
var loadPolicies = []loadPolicy{
	{name: "round robin, probes only, FIFO", roundRobin: true, choices: 1},
	{name: "one choice, fair queue", choices: 1, fair: true, health: true},
	{name: "two choices, FIFO", choices: 2, health: true},
	{name: "two choices, fair queue", choices: 2, fair: true, health: true},
	{name: "two choices, fair queue, hedges", choices: 2, fair: true, hedge: true, health: true},
}

// loadCase is a kind of load.
type loadCase string

// The load cases.
const (
	loadUsual  loadCase = "usual load"
	loadGray   loadCase = "one server 5x slower"
	loadGreedy loadCase = "one account at 5x its rate"
)

var loadCases = []loadCase{loadUsual, loadGray, loadGreedy}

// Shapes of the load cases.
const (
	usualUtilization = 0.6
	withinFairShare  = 0.8
	greedFactor      = 5
	idempotentShare  = 0.8
	loadTick         = 10 * time.Millisecond
	reportTick       = 100 * time.Millisecond
	loadWarmUp       = 15 * time.Second
)

// order is one request of the load run.
type order struct {
	account    int
	ingress    int
	arrived    time.Time
	deadline   time.Time
	idempotent bool
	counted    bool
	attempts   int
	open       []queue.ItemID
	over       bool
	tried      balance.TriedBackends
}

// attempt is one try of an order at one server.
type attempt struct {
	order   *order
	server  *loadServer
	sent    time.Time
	running bool
	token   health.Token
	result  health.Result
}

// loadServer is one backend server under load.
type loadServer struct {
	index   int
	watched *watched
	queue   *queue.Queue
}

// loadRun is one run of one combination of policies. One goroutine runs it.
type loadRun struct {
	service  *watchedService
	policy   loadPolicy
	kind     loadCase
	rng      *rand.Rand
	events   eventQueue
	now      time.Time
	ends     time.Time
	servers  []*loadServer
	pools    []*balance.Pool
	budget   *retry.Budget
	seen     health.Histogram
	attempts map[queue.ItemID]*attempt
	lastItem queue.ItemID
	turn     int
	totals   loadTotals
}

func newLoadRun(settings *Settings, service *ServiceSettings, policy loadPolicy, kind loadCase, seed uint64) *loadRun {
	r := &loadRun{
		service:  newWatchedService(settings, service, seed),
		policy:   policy,
		kind:     kind,
		rng:      rand.New(rand.NewPCG(seed, 1<<35)),
		now:      epoch,
		ends:     epoch.Add(loadWarmUp + time.Duration(settings.LoadSeconds)*time.Second),
		budget:   retry.NewBudget(&settings.Preset),
		attempts: make(map[queue.ItemID]*attempt),
	}
	for i, server := range r.service.servers {
		r.servers = append(r.servers, &loadServer{
			index:   i,
			watched: server,
			queue:   queue.New(service.Slots, int(settings.Preset.QueueLength)),
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
			ID:     balance.BackendID{Server: server.watched.id},
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

// run plays the events until the end and returns the totals.
func (r *loadRun) run() loadTotals {
	for account, rate := range r.rates() {
		r.arriveLater(account, rate)
	}
	r.tickLater()
	r.reportLater()
	r.events.add(epoch.Add(loadWarmUp), r.beginFault)
	for r.events.Len() > 0 {
		next := r.events.next()
		r.now = next.at
		if r.now.After(r.ends.Add(r.service.settings.Deadline)) {
			break
		}
		next.run()
	}
	return r.totals
}

func (r *loadRun) beginFault() {
	if r.kind == loadGray {
		r.servers[0].watched.fake.setFault(FaultSlow5x, r.now)
	}
}

// rates returns the requests a second of each account. In the greedy case the
// accounts but the first stay within their fair share of the capacity, and the
// first sends five times its own.
func (r *loadRun) rates() []float64 {
	service := r.service.service
	perSlot := 1 / (service.LatencyMedian.Seconds() * meanFactor(service.LatencySigma))
	capacity := perSlot * float64(service.Slots*service.Servers)
	rates := make([]float64, service.Accounts)
	for i := range rates {
		if r.kind == loadGreedy {
			rates[i] = withinFairShare * capacity / float64(service.Accounts)
			continue
		}
		share := (100 - service.LargeSharePercent) / float64(service.Accounts-service.LargeAccounts)
		if i < service.LargeAccounts {
			share = service.LargeSharePercent / float64(service.LargeAccounts)
		}
		rates[i] = usualUtilization * capacity * share / 100
	}
	if r.kind == loadGreedy {
		rates[0] *= greedFactor
	}
	return rates
}

func (r *loadRun) arriveLater(account int, rate float64) {
	at := r.now.Add(time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)))
	if at.After(r.ends) {
		return
	}
	r.events.add(at, func() {
		r.arrive(account)
		r.arriveLater(account, rate)
	})
}

func (r *loadRun) arrive(account int) {
	o := &order{
		account:    account,
		ingress:    r.rng.IntN(len(r.pools)),
		arrived:    r.now,
		deadline:   r.now.Add(r.service.settings.Deadline),
		idempotent: r.rng.Float64() < idempotentShare,
		counted:    r.now.Sub(epoch) >= loadWarmUp,
	}
	r.totals.offered(o)
	r.budget.RecordRequest(r.service.servers[0].fake.names[account], r.now)
	r.events.add(o.deadline, func() { r.finish(o, endLate) })
	r.try(o)
	r.hedgeLater(o)
}

// try sends one attempt of the order. When no server is left, the order ends,
// unless another attempt is still open.
func (r *loadRun) try(o *order) {
	index, ok := r.pick(o)
	if !ok {
		if len(o.open) == 0 {
			r.finish(o, endRefused)
		}
		return
	}
	server := r.servers[index]
	o.tried.Add(balance.BackendID{Server: server.watched.id})
	o.attempts++
	r.totals.attempt(o)
	r.pools[o.ingress].RequestStarted(index)
	r.lastItem++
	o.open = append(o.open, r.lastItem)
	r.attempts[r.lastItem] = &attempt{order: o, server: server, sent: r.now}
	item := queue.Item{ID: r.lastItem, Deadline: o.deadline}
	if r.policy.fair {
		item.Account = server.watched.fake.names[o.account]
	}
	r.carryOut(server.queue.Offer(item, r.now))
}

func (r *loadRun) pick(o *order) (int, bool) {
	if !r.policy.roundRobin {
		return r.pools[o.ingress].Pick(r.rng, &o.tried)
	}
	r.turn++
	return r.turn % len(r.servers), true
}

func (r *loadRun) carryOut(actions []queue.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Run:
			r.start(action.ID)
		case queue.Refuse:
			r.refused(action.ID)
		}
	}
}

func (r *loadRun) start(id queue.ItemID) {
	a := r.attempts[id]
	a.running = true
	fake := a.server.watched.fake
	request := &fakeRequest{account: a.order.account, began: r.now}
	fake.decide(request, r.now)
	a.result = request.result
	a.token = a.server.watched.monitor.Begin(fake.names[a.order.account], a.order.deadline, r.now)
	r.events.add(request.ends, func() { r.ended(id) })
}

// ended handles the answer of an attempt that was not canceled before.
func (r *loadRun) ended(id queue.ItemID) {
	a, ok := r.attempts[id]
	if !ok {
		return
	}
	r.close(id, a, a.result)
	r.seen.Record(r.now.Sub(a.sent))
	r.judge(a.order, retry.Attempt{
		Outcome:     pipeline.OutcomeAnswered,
		ServerError: a.result != health.ResultOK,
	}, endFailed)
	r.carryOut(a.server.queue.Done(id, r.now))
}

func (r *loadRun) refused(id queue.ItemID) {
	a := r.attempts[id]
	r.close(id, a, health.ResultShed)
	if !a.order.over {
		r.judge(a.order, retry.Attempt{Outcome: pipeline.OutcomeNotRun}, endRefused)
	}
}

// close ends an attempt. The answer carries the server's present load.
func (r *loadRun) close(id queue.ItemID, a *attempt, result health.Result) {
	delete(r.attempts, id)
	a.order.open = slices.DeleteFunc(a.order.open, func(open queue.ItemID) bool { return open == id })
	pool := r.pools[a.order.ingress]
	pool.RequestEnded(a.server.index)
	r.report(pool, a.server)
	if a.running {
		a.server.watched.monitor.End(a.token, result, r.now)
	}
}

// cancelOpen cancels the attempts that an order still has when it is over; the
// servers honour it.
func (r *loadRun) cancelOpen(o *order) {
	for _, id := range slices.Clone(o.open) {
		a := r.attempts[id]
		if !a.running {
			r.carryOut(a.server.queue.Cancel(id))
			continue
		}
		r.close(id, a, health.ResultCanceled)
		r.carryOut(a.server.queue.Done(id, r.now))
	}
}

// judge retries, ends the order, or waits for its other attempt.
func (r *loadRun) judge(o *order, tried retry.Attempt, otherwise orderEnd) {
	r.complete(o, &tried)
	switch r.budget.Decide(tried, r.now) {
	case retry.DecisionNotNeeded:
		r.finish(o, endAnswered)
	case retry.DecisionRetry:
		r.try(o)
	default:
		if len(o.open) == 0 {
			r.finish(o, otherwise)
		}
	}
}

func (r *loadRun) complete(o *order, tried *retry.Attempt) {
	tried.Account = r.service.servers[0].fake.names[o.account]
	tried.Idempotent = o.idempotent
	tried.Attempts = o.attempts
	tried.Remaining = o.deadline.Sub(r.now)
}

func (r *loadRun) hedgeLater(o *order) {
	if !r.policy.hedge {
		return
	}
	delay, ok := retry.HedgeDelay(&r.service.settings.Preset, o.idempotent, &r.seen)
	if !ok {
		return
	}
	r.events.add(r.now.Add(delay), func() {
		if o.over || len(o.open) == 0 {
			return
		}
		var tried retry.Attempt
		r.complete(o, &tried)
		if r.budget.DecideHedge(tried, r.now) == retry.DecisionRetry {
			r.try(o)
		}
	})
}

func (r *loadRun) finish(o *order, end orderEnd) {
	if o.over {
		return
	}
	o.over = true
	r.totals.ended(o, end, r.now.Sub(o.arrived))
	r.cancelOpen(o)
}
