package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// epoch is the beginning of virtual time.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// fakeRequest is one request of a fake backend server.
type fakeRequest struct {
	account int
	began   time.Time
	ends    time.Time
	result  health.Result
	token   health.Token
}

// endings orders running requests by their end.
type endings []*fakeRequest

// Len implements heap.Interface.
func (e endings) Len() int { return len(e) }

// Less implements heap.Interface.
func (e endings) Less(i, j int) bool { return e[i].ends.Before(e[j].ends) }

// Swap implements heap.Interface.
func (e endings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endings) Push(x any) { *e = append(*e, x.(*fakeRequest)) }

// Pop implements heap.Interface.
func (e *endings) Pop() any {
	last := len(*e) - 1
	request := (*e)[last]
	*e = (*e)[:last]
	return request
}

// observer sees the requests of one fake backend server in the order of time.
type observer interface {
	began(request *fakeRequest)
	ended(request *fakeRequest)
}

// fakeServer makes a stream of outcomes. Requests arrive as a Poisson process;
// one that finds all slots taken is shed and seen by no one.
type fakeServer struct {
	service  *ServiceSettings
	deadline time.Duration
	rng      *rand.Rand
	names    []fleetconfig.AccountID

	started     time.Time
	slowFactor  float64
	failing     int
	fault       Fault
	faultBegan  time.Time
	sinceFault  int
	nextArrival time.Time
	pauseBegins time.Time
	pauseEnds   time.Time
	running     endings
}

// noAccount is the number of no account.
const noAccount = -1

func newFakeServer(service *ServiceSettings, deadline time.Duration, rng *rand.Rand) *fakeServer {
	server := &fakeServer{
		service:    service,
		deadline:   deadline,
		rng:        rng,
		names:      accountNames(service.Accounts),
		started:    epoch.Add(-time.Hour),
		slowFactor: 1,
		failing:    noAccount,
	}
	server.nextArrival = epoch.Add(server.exponential(server.arrivalGap()))
	server.schedulePause(epoch)
	return server
}

func accountNames(count int) []fleetconfig.AccountID {
	names := make([]fleetconfig.AccountID, count)
	for i := range names {
		names[i] = fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
	}
	return names
}

func (f *fakeServer) arrivalGap() time.Duration {
	return time.Duration(float64(time.Second) / f.service.RequestRate)
}

func (f *fakeServer) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

func (f *fakeServer) schedulePause(now time.Time) {
	f.pauseBegins = now.Add(f.exponential(f.service.PauseEvery))
	f.pauseEnds = f.pauseBegins.Add(f.exponential(f.service.Pause))
}

// setFault switches a fault on.
func (f *fakeServer) setFault(fault Fault, now time.Time) {
	f.fault = fault
	f.faultBegan = now
	f.sinceFault = 0
	for _, request := range f.running {
		f.decide(request, now)
	}
	heap.Init(&f.running)
}

// advance runs the stream until now.
func (f *fakeServer) advance(now time.Time, seen observer) {
	for !f.nextArrival.After(now) {
		at := f.nextArrival
		f.finish(at, seen)
		f.nextArrival = at.Add(f.exponential(f.arrivalGap()))
		if len(f.running) >= f.service.Slots {
			continue
		}
		request := &fakeRequest{account: f.drawAccount(), began: at}
		f.decide(request, at)
		f.sinceFault++
		heap.Push(&f.running, request)
		seen.began(request)
	}
	f.finish(now, seen)
}

func (f *fakeServer) finish(now time.Time, seen observer) {
	for len(f.running) > 0 && !f.running[0].ends.After(now) {
		seen.ended(heap.Pop(&f.running).(*fakeRequest))
	}
}

func (f *fakeServer) drawAccount() int {
	large := f.service.LargeAccounts
	if large > 0 && f.rng.Float64()*100 < f.service.LargeSharePercent {
		return f.rng.IntN(large)
	}
	return large + f.rng.IntN(f.service.Accounts-large)
}

// decide draws how a request ends that is running at now.
func (f *fakeServer) decide(request *fakeRequest, now time.Time) {
	latency := f.drawLatency(now)
	request.result = health.ResultOK
	if f.rng.Float64()*100 < f.service.ErrorPercent || request.account == f.failing {
		request.result = health.ResultFailed
	}
	latency = f.fault.apply(f, request, latency, now)
	request.ends = f.pause(now, latency)
	if deadline := request.began.Add(f.deadline); request.ends.After(deadline) {
		request.ends = deadline
		request.result = health.ResultTimedOut
	}
}

func (f *fakeServer) drawLatency(now time.Time) time.Duration {
	factor := f.slowFactor * math.Exp(f.service.LatencySigma*f.rng.NormFloat64())
	if since := now.Sub(f.started); since < f.service.ColdStart {
		left := 1 - float64(since)/float64(f.service.ColdStart)
		factor *= 1 + (f.service.ColdFactor-1)*left
	}
	return time.Duration(factor * float64(f.service.LatencyMedian))
}

// pause returns when a request ends that needs latency from now on, with the
// server's short pauses in between.
func (f *fakeServer) pause(now time.Time, latency time.Duration) time.Time {
	for f.pauseEnds.Before(now) {
		f.schedulePause(f.pauseEnds)
	}
	ends := now.Add(latency)
	if ends.After(f.pauseBegins) {
		stopped := f.pauseBegins
		if now.After(stopped) {
			stopped = now
		}
		ends = ends.Add(f.pauseEnds.Sub(stopped))
	}
	return ends
}
