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

// epoch is the start of virtual time.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// fakeRequest is one request at a fake backend server.
type fakeRequest struct {
	account   int
	startedAt time.Time
	endsAt    time.Time
	result    health.Result
	token     health.Token
}

// requestHeap is a heap of running requests, ordered by end time.
type requestHeap []*fakeRequest

// Len implements heap.Interface.
func (e requestHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e requestHeap) Less(i, j int) bool { return e[i].endsAt.Before(e[j].endsAt) }

// Swap implements heap.Interface.
func (e requestHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *requestHeap) Push(x any) { *e = append(*e, x.(*fakeRequest)) }

// Pop implements heap.Interface.
func (e *requestHeap) Pop() any {
	last := len(*e) - 1
	request := (*e)[last]
	*e = (*e)[:last]
	return request
}

// requestObserver is notified of the requests of one fake backend server in the order of
// virtual time.
type requestObserver interface {
	requestStarted(request *fakeRequest)
	requestEnded(request *fakeRequest)
}

// fakeServer generates a stream of request outcomes. Requests arrive as a Poisson process.
// A request that arrives while all slots are in use is dropped, and the observer does not
// see it.
type fakeServer struct {
	service    *ServiceSettings
	deadline   time.Duration
	rng        *rand.Rand
	accountIDs []fleetconfig.AccountID

	startedAt          time.Time
	latencyFactor      float64
	failingAccount     int
	fault              Fault
	faultStartedAt     time.Time
	requestsSinceFault int
	nextArrivalAt      time.Time
	pauseStartsAt      time.Time
	pauseEndsAt        time.Time
	running            requestHeap
}

// noAccount is the value of failingAccount if no account fails.
const noAccount = -1

func newFakeServer(service *ServiceSettings, deadline time.Duration, rng *rand.Rand) *fakeServer {
	server := &fakeServer{
		service:        service,
		deadline:       deadline,
		rng:            rng,
		accountIDs:     newAccountIDs(service.Accounts),
		startedAt:      epoch.Add(-time.Hour),
		latencyFactor:  1,
		failingAccount: noAccount,
	}
	server.nextArrivalAt = epoch.Add(server.drawExponential(server.meanArrivalInterval()))
	server.schedulePause(epoch)
	return server
}

func newAccountIDs(count int) []fleetconfig.AccountID {
	ids := make([]fleetconfig.AccountID, count)
	for i := range ids {
		ids[i] = fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
	}
	return ids
}

func (f *fakeServer) meanArrivalInterval() time.Duration {
	return time.Duration(float64(time.Second) / f.service.RequestRate)
}

func (f *fakeServer) drawExponential(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

func (f *fakeServer) schedulePause(now time.Time) {
	f.pauseStartsAt = now.Add(f.drawExponential(f.service.MeanPauseInterval))
	f.pauseEndsAt = f.pauseStartsAt.Add(f.drawExponential(f.service.MeanPause))
}

// injectFault starts a fault. It draws new outcomes for the running requests.
func (f *fakeServer) injectFault(fault Fault, now time.Time) {
	f.fault = fault
	f.faultStartedAt = now
	f.requestsSinceFault = 0
	for _, request := range f.running {
		f.drawOutcome(request, now)
	}
	heap.Init(&f.running)
}

// advance simulates arrivals and completions until now.
func (f *fakeServer) advance(now time.Time, observer requestObserver) {
	for !f.nextArrivalAt.After(now) {
		at := f.nextArrivalAt
		f.completeRequests(at, observer)
		f.nextArrivalAt = at.Add(f.drawExponential(f.meanArrivalInterval()))
		if len(f.running) >= f.service.Slots {
			continue
		}
		request := &fakeRequest{account: f.drawAccount(), startedAt: at}
		f.drawOutcome(request, at)
		f.requestsSinceFault++
		heap.Push(&f.running, request)
		observer.requestStarted(request)
	}
	f.completeRequests(now, observer)
}

func (f *fakeServer) completeRequests(now time.Time, observer requestObserver) {
	for len(f.running) > 0 && !f.running[0].endsAt.After(now) {
		observer.requestEnded(heap.Pop(&f.running).(*fakeRequest))
	}
}

func (f *fakeServer) drawAccount() int {
	large := f.service.LargeAccounts
	if large > 0 && f.rng.Float64()*100 < f.service.LargeSharePercent {
		return f.rng.IntN(large)
	}
	return large + f.rng.IntN(f.service.Accounts-large)
}

// drawOutcome draws the result and the end time of a request that is running at now.
func (f *fakeServer) drawOutcome(request *fakeRequest, now time.Time) {
	latency := f.drawLatency(now)
	request.result = health.ResultOK
	if f.rng.Float64()*100 < f.service.ErrorPercent || request.account == f.failingAccount {
		request.result = health.ResultFailed
	}
	latency = f.fault.apply(f, request, latency, now)
	request.endsAt = f.endTime(now, latency)
	if deadline := request.startedAt.Add(f.deadline); request.endsAt.After(deadline) {
		request.endsAt = deadline
		request.result = health.ResultTimedOut
	}
}

func (f *fakeServer) drawLatency(now time.Time) time.Duration {
	factor := f.latencyFactor * math.Exp(f.service.LatencySigma*f.rng.NormFloat64())
	if uptime := now.Sub(f.startedAt); uptime < f.service.ColdStart {
		remaining := 1 - float64(uptime)/float64(f.service.ColdStart)
		factor *= 1 + (f.service.ColdFactor-1)*remaining
	}
	return time.Duration(factor * float64(f.service.LatencyMedian))
}

// endTime returns the end time of a request that needs latency from now on, extended by
// the pause of the server if the request overlaps it.
func (f *fakeServer) endTime(now time.Time, latency time.Duration) time.Time {
	for f.pauseEndsAt.Before(now) {
		f.schedulePause(f.pauseEndsAt)
	}
	endsAt := now.Add(latency)
	if endsAt.After(f.pauseStartsAt) {
		pausedFrom := f.pauseStartsAt
		if now.After(pausedFrom) {
			pausedFrom = now
		}
		endsAt = endsAt.Add(f.pauseEndsAt.Sub(pausedFrom))
	}
	return endsAt
}
