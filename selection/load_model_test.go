package selection

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/queue"
)

// The model plays a load through the selectors of several ingresses and the queues of the
// servers' proxies, in virtual time and without a network.
const (
	modelInstances  = 12
	modelSlots      = 8
	modelQueue      = 32
	modelAttempts   = 12
	modelDuration   = 12 * time.Second
	modelWaveStart  = 3 * time.Second
	modelWaveEnd    = 8 * time.Second
	modelBaseLoad   = 0.6
	modelReport     = 200 * time.Millisecond
	modelNearHop    = time.Millisecond
	modelFarHop     = 5 * time.Millisecond
	modelEarlyLimit = 100 * time.Millisecond
	modelWindow     = time.Second
)

// modelRoutes are the kinds of requests, the most urgent first, and modelWork their service
// times on an idle server of usual speed.
var (
	modelRoutes = []fleetconfig.Route{
		{ID: "order", Service: "catalogue", Timeout: 6 * time.Second, LatencyTarget: 1500 * time.Millisecond, Priority: 1},
		{ID: "status", Service: "catalogue", Timeout: 5 * time.Second, LatencyTarget: 1500 * time.Millisecond, Priority: 2, Idempotency: fleetconfig.IdempotentAlways},
		{ID: "tariff", Service: "catalogue", Timeout: 1200 * time.Millisecond, LatencyTarget: 500 * time.Millisecond, Priority: 3, Idempotency: fleetconfig.IdempotentAlways},
		{ID: "history", Service: "catalogue", Timeout: 12 * time.Second, LatencyTarget: 6 * time.Second, Priority: 4, Idempotency: fleetconfig.IdempotentAlways},
	}
	modelWork = []time.Duration{630 * time.Millisecond, 460 * time.Millisecond, 120 * time.Millisecond, 1200 * time.Millisecond}
	// modelShares are their shares of the requests.
	modelShares = []float64{0.45, 0.2, 0.2, 0.15}
	// modelSlowness are the servers' times relative to the usual ones, by instance.
	modelSlowness = []float64{0.7, 1, 1, 1, 1.4, 2, 0.7, 1, 1, 1, 1.4, 2}
)

// placing is a way to place requests.
type placing uint8

const (
	placeByRoom placing = iota
	// placeByCount is what a deployment without admission by room gets.
	placeByCount
	// placeLeastOutstanding sends to the server to which this ingress has the fewest requests
	// outstanding ("least request" of Envoy and of other balancers).
	placeLeastOutstanding
	// placeIdleQueue is the join-idle-queue of Y. Lu et al., "Join-Idle-Queue: A Novel Load
	// Balancing Algorithm for Dynamically Scalable Web Services", Performance Evaluation 68,
	// 2011: a server with a free slot tells a random ingress.
	placeIdleQueue
)

type modelEvent struct {
	at  time.Time
	run func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(modelEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// tally counts what callers get, by route.
type tally struct {
	offered, inTarget, late, early, tooLate [4]int
	// attempts counts the attempts, hops the refused ones.
	attempts, hops int
	// arrived and refused count the requests, and those that were refused at once, by
	// modelWindow of arrival.
	arrived, refused [modelDuration / modelWindow]int
}

func sum(counts [4]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

type modelServer struct {
	index    int
	queue    *queue.Queue
	requests map[queue.ItemID]*modelRequest
}

type modelRequest struct {
	route     int
	ingress   int
	exchange  *pipeline.Exchange
	tried     []ingress.Candidate
	candidate ingress.Candidate
	refusals  int
}

type model struct {
	way placing
	rng *rand.Rand
	// arrivals draws the same load for each way.
	arrivals  *rand.Rand
	events    eventHeap
	members   []membership.Member
	selectors []*Selector
	servers   []*modelServer
	view      *fleetconfig.View
	counts    tally
	lastID    queue.ItemID
	// loadAt returns the load, in multiples of the capacity.
	loadAt func(since time.Duration) float64
	// reportsLost says that no load report arrives, and falseNews that the first server
	// always reports that it is full.
	reportsLost, falseNews bool
	start                  time.Time
	// outstanding and idle are the state of the published ways, by ingress.
	outstanding [][]int
	idle        [][]int
}

func modelDomain(instance int) string { return []string{"near", "far"}[instance*2/modelInstances] }

func newModel(way placing, seed uint64) *model {
	m := &model{way: way, loadAt: overloadWave, rng: rand.New(rand.NewPCG(seed, 12)), arrivals: rand.New(rand.NewPCG(seed, 14)), outstanding: make([][]int, modelInstances), idle: make([][]int, modelInstances)}
	document := fleetconfig.NewDocument()
	for i := range document.Presets {
		document.Presets[i].AdmissionByRoom = way == placeByRoom
	}
	m.view = fleetconfig.NewView(document)
	for i := range modelInstances {
		id := fmt.Sprintf("i%02d", i)
		m.members = append(m.members, membership.Member{Record: membership.Record{
			ID: fleetconfig.InstanceID(id), Address: "192.0.2.1:7000", FailureDomain: fleetconfig.FailureDomain(modelDomain(i)), Proxy: true,
			Servers: []membership.Server{{ID: fleetconfig.BackendServerID(id), Service: "catalogue", Slots: modelSlots}},
		}})
		m.servers = append(m.servers, &modelServer{index: i, queue: queue.New(modelSlots, modelQueue), requests: make(map[queue.ItemID]*modelRequest)})
		m.outstanding[i] = make([]int, modelInstances)
	}
	for i := range modelInstances {
		m.restartIngress(i)
		if way == placeByRoom {
			m.servers[i].queue.SetToleratedBacklog(time.Second)
		}
	}
	return m
}

// restartIngress replaces the selector of an ingress by one that knows nothing.
func (m *model) restartIngress(i int) {
	snapshot := gossip.NewSnapshot(m.members[i].Record.ID, m.members)
	selector := New(Config{Members: func() *gossip.Snapshot { return snapshot }, View: func() *fleetconfig.View { return m.view }})
	selector.service("catalogue").rng = rand.New(rand.NewPCG(uint64(i), 1))
	if i < len(m.selectors) {
		m.selectors[i] = selector
		return
	}
	m.selectors = append(m.selectors, selector)
}

func (m *model) after(delay time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{at: clock.Now().Add(delay), run: run})
}

// overloadWave is a load with a wave of one and a half times the capacity.
func overloadWave(since time.Duration) float64 {
	if since >= modelWaveStart && since < modelWaveEnd {
		return 1.5
	}
	return modelBaseLoad
}

// run plays the load and then what is left of it.
func (m *model) run() *tally {
	start := clock.Now()
	m.start = start
	var capacity, meanWork float64
	for _, slowness := range modelSlowness {
		capacity += modelSlots / slowness
	}
	for i, share := range modelShares {
		meanWork += share * modelWork[i].Seconds()
	}
	capacity /= meanWork
	var arrive, report func()
	arrive = func() {
		since := clock.Since(start)
		m.arrive()
		if since < modelDuration {
			m.after(time.Duration(m.arrivals.ExpFloat64()/(m.loadAt(since)*capacity)*float64(time.Second)), arrive)
		}
	}
	report = func() {
		m.report()
		if clock.Since(start) < modelDuration {
			m.after(modelReport, report)
		}
	}
	m.after(0, report)
	m.after(0, arrive)
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(modelEvent)
		time.Sleep(next.at.Sub(clock.Now()))
		next.run()
	}
	return &m.counts
}

func (m *model) load(server *modelServer) backendproxy.Load {
	load := backendproxy.Load{Running: server.queue.Running(), Queued: server.queue.Waiting(), Slots: modelSlots, WeightPercent: 100}
	if m.way == placeByRoom {
		load.Outlook, load.Slowness = server.queue.Outlook(), server.queue.Slowness()
	}
	if m.falseNews && server.index == 0 {
		load.Queued = modelQueue
		load.Outlook = queue.Outlook{NextSlot: time.Minute, Full: true, Overloaded: true}
	}
	return load
}

// report sends each server's load to three ingresses of its domain, to one other and to its
// own, and lets the queues refuse what waits in vain.
func (m *model) report() {
	for i, server := range m.servers {
		m.apply(server, server.queue.Tick(clock.Now()))
		if m.reportsLost {
			continue
		}
		receivers := map[int]bool{i: true, m.rng.IntN(modelInstances): true}
		half := modelInstances / 2
		for range 3 {
			receivers[i/half*half+m.rng.IntN(half)] = true
		}
		load := m.load(server)
		id := fmt.Sprintf("i%02d", i)
		for receiver := range receivers {
			m.selectors[receiver].HandleLoadReports(fleetconfig.InstanceID(id), []membership.ServerLoad{load.MembershipLoad(fleetconfig.BackendServerID(id))})
		}
	}
}

func (m *model) arrive() {
	draw, route := m.arrivals.Float64(), 0
	for route < len(modelShares)-1 && draw >= modelShares[route] {
		draw -= modelShares[route]
		route++
	}
	m.counts.offered[route]++
	now := clock.Now()
	request := &modelRequest{route: route, ingress: m.arrivals.IntN(modelInstances), exchange: &pipeline.Exchange{
		Service: "catalogue", Route: &modelRoutes[route], View: m.view, Received: now, Deadline: now.Add(modelRoutes[route].Timeout),
		Account: fleetconfig.AccountID(fmt.Sprintf("a%d", m.arrivals.IntN(20))), Idempotent: modelRoutes[route].Idempotency == fleetconfig.IdempotentAlways,
	}}
	if window := now.Sub(m.start) / modelWindow; int(window) < len(m.counts.arrived) {
		m.counts.arrived[window]++
	}
	m.attempt(request)
}

func (m *model) attempt(request *modelRequest) {
	selector := m.selectors[request.ingress]
	if m.way == placeByRoom {
		if _, room := selector.Room(request.exchange, request.tried, request.refusals); !room {
			m.refuse(request)
			return
		}
	}
	candidate, ok := selector.Pick(request.exchange, request.tried)
	if !ok || len(request.tried) >= modelAttempts || !clock.Now().Before(request.exchange.Deadline) {
		if ok {
			selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue", Canceled: true})
		}
		m.refuse(request)
		return
	}
	if m.way == placeLeastOutstanding || m.way == placeIdleQueue {
		target := m.publishedPick(request)
		id := fmt.Sprintf("i%02d", target)
		candidate.Instance, candidate.Server = fleetconfig.InstanceID(id), fleetconfig.BackendServerID(id)
	}
	request.candidate = candidate
	var target int
	_, _ = fmt.Sscanf(string(candidate.Instance), "i%d", &target)
	m.outstanding[request.ingress][target]++
	m.counts.attempts++
	m.after(m.hop(request.ingress, target), func() { m.offer(m.servers[target], request) })
}

func (m *model) hop(from, to int) time.Duration {
	if modelDomain(from) == modelDomain(to) {
		return modelNearHop
	}
	return modelFarHop
}

// publishedPick returns the server that one of the published ways selects.
func (m *model) publishedPick(request *modelRequest) int {
	tried := make(map[string]bool)
	for _, candidate := range request.tried {
		tried[string(candidate.Instance)] = true
	}
	idle := &m.idle[request.ingress]
	for m.way == placeIdleQueue && len(*idle) > 0 {
		target := (*idle)[0]
		*idle = (*idle)[1:]
		if !tried[fmt.Sprintf("i%02d", target)] {
			return target
		}
	}
	best := -1
	for _, target := range m.rng.Perm(modelInstances) {
		if tried[fmt.Sprintf("i%02d", target)] {
			continue
		}
		if best < 0 || (m.way == placeLeastOutstanding && m.outstanding[request.ingress][target] < m.outstanding[request.ingress][best]) {
			best = target
		}
	}
	return max(best, 0)
}

func (m *model) offer(server *modelServer, request *modelRequest) {
	m.lastID++
	server.requests[m.lastID] = request
	exchange := request.exchange
	item := queue.Item{
		ID: m.lastID, Account: exchange.Account, Urgency: fleetconfig.UrgencyOf(nil, exchange.Route), Deadline: exchange.Deadline,
		TargetTime: exchange.Received.Add(exchange.Route.LatencyTarget), ServiceTime: exchange.ServiceTime,
	}
	m.apply(server, server.queue.Offer(item, clock.Now()))
}

// apply carries out the actions of a queue. A server slows down while more than half of its
// slots are in use.
func (m *model) apply(server *modelServer, actions []queue.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Run:
			request := server.requests[action.ID]
			occupied := float64(server.queue.Running()) / modelSlots
			slowness := modelSlowness[server.index] * (1 + 0.4*max(0, occupied-0.5))
			took := time.Duration(slowness * (0.8 + 0.4*m.rng.Float64()) * float64(modelWork[request.route]))
			m.after(took, func() { m.finish(server, action.ID, took) })
		case queue.Refuse:
			request := server.requests[action.ID]
			delete(server.requests, action.ID)
			m.respond(server, request, pipeline.KindBusy, 0)
		}
	}
}

func (m *model) finish(server *modelServer, id queue.ItemID, took time.Duration) {
	request := server.requests[id]
	delete(server.requests, id)
	server.queue.RecordResponse(took, request.exchange.ServiceTime)
	actions := server.queue.Done(id, clock.Now())
	m.respond(server, request, "", took)
	m.apply(server, actions)
	if server.queue.Waiting() == 0 {
		chosen := m.rng.IntN(modelInstances)
		m.idle[chosen] = append(m.idle[chosen], server.index)
	}
}

// respond passes a response or a refusal to the ingress.
func (m *model) respond(server *modelServer, request *modelRequest, refusal pipeline.RefusalKind, took time.Duration) {
	result := &ingress.Attempt{Candidate: request.candidate, Service: "catalogue", Route: request.exchange.Route.ID, Load: m.load(server).String(), Refusal: refusal}
	if refusal == "" {
		result.Status, result.ServiceTime = 200, took
	}
	m.after(m.hop(server.index, request.ingress), func() {
		m.outstanding[request.ingress][server.index]--
		m.selectors[request.ingress].Done(result)
		switch elapsed := clock.Since(request.exchange.Received); {
		case refusal != "":
			m.counts.hops++
			request.refusals++
			request.tried = append(request.tried, request.candidate)
			m.attempt(request)
		case elapsed <= request.exchange.Route.LatencyTarget:
			m.counts.inTarget[request.route]++
		default:
			m.counts.late[request.route]++
		}
	})
}

func (m *model) refuse(request *modelRequest) {
	if clock.Since(request.exchange.Received) <= modelEarlyLimit {
		m.counts.early[request.route]++
		if window := request.exchange.Received.Sub(m.start) / modelWindow; int(window) < len(m.counts.arrived) {
			m.counts.refused[window]++
		}
		return
	}
	m.counts.tooLate[request.route]++
}

// Requests at one and a half times the capacity for five seconds, at servers of uneven speed.
// Admission by room serves as many in their target as the ways without it, the most urgent
// ones first, with fewer refused attempts and without late refusals.
func TestAdmissionByRoomUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := make(map[placing]*tally)
		for way := placeByRoom; way <= placeIdleQueue; way++ {
			results[way] = newModel(way, 1).run()
			t.Logf("way %d: %+v, in target %d of %d", way, *results[way], sum(results[way].inTarget), sum(results[way].offered))
		}
		byRoom, byCount := results[placeByRoom], results[placeByCount]
		must.GreaterEq(t, 0.98*float64(sum(byCount.inTarget)), float64(sum(byRoom.inTarget)))
		must.Less(t, byCount.hops/4, byRoom.hops)
	})
}

// With a load that stays above the capacity, the requests admitted in each second stay near
// their mean: ingresses neither refuse together nor admit together.
func TestAdmissionByRoomDoesNotOscillate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(placeByRoom, 2)
		m.loadAt = func(time.Duration) float64 { return 1.5 }
		counts := m.run()
		var admitted []int
		total := 0
		for window := 2; window < len(counts.arrived); window++ {
			admitted = append(admitted, counts.arrived[window]-counts.refused[window])
			total += admitted[window-2]
		}
		mean := float64(total) / float64(len(admitted))
		t.Logf("admitted per second: %v", admitted)
		for _, count := range admitted {
			must.Between(t, 0.75*mean, float64(count), 1.25*mean)
		}
	})
}

// Below the capacity nothing is refused, whatever is known: without load reports, with a
// server that always reports that it is full, and after a restart of half of the ingresses.
func TestFaultyNewsRefusesNothingBelowCapacity(t *testing.T) {
	for name, fault := range map[string]func(m *model){
		"no reports": func(m *model) { m.reportsLost = true },
		"false news": func(m *model) { m.falseNews = true },
		"restart": func(m *model) {
			m.after(modelDuration/2, func() {
				for i := 0; i < modelInstances; i += 2 {
					m.restartIngress(i)
				}
			})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newModel(placeByRoom, 3)
			m.loadAt = func(time.Duration) float64 { return modelBaseLoad }
			fault(m)
			counts := m.run()
			must.Zero(t, sum(counts.early)+sum(counts.tooLate), must.Sprint(name))
		})
	}
}

// Without any load report an ingress learns from responses and refusals alone, and still does
// not send each request from one full server to the next.
func TestAdmissionByRoomWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without := newModel(placeByRoom, 1)
		without.reportsLost = true
		counts, before := without.run(), newModel(placeByCount, 1).run()
		t.Logf("without reports: %+v", *counts)
		must.Less(t, before.hops/2, counts.hops)
		must.GreaterEq(t, 0.95*float64(sum(before.inTarget)), float64(sum(counts.inTarget)))
	})
}
