package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var breakerEpoch = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// A single failure makes the breaker reject non-idempotent requests (orders). A
// successful probe with an idempotent request (lookup) admits them again, and so does
// time without evidence.
func TestBreakerRejectsNonIdempotentRequestsWhileFailing(t *testing.T) {
	now := breakerEpoch
	breaker := NewBreaker(now)
	order, lookup := BreakerRequest{}, BreakerRequest{Idempotent: true}
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		breaker.Done(breaker.Admit(order, now), ResultOK, now)
	}
	now = now.Add(200 * time.Millisecond)
	breaker.Done(breaker.Admit(order, now), ResultFailed, now)
	must.Nil(t, breaker.Admit(order, now))
	must.NotNil(t, breaker.Admit(BreakerRequest{LastResort: true}, now))

	probe := breaker.Admit(lookup, now)
	must.NotNil(t, probe)
	must.Nil(t, breaker.Admit(lookup, now.Add(minProbeInterval))) // One probe at a time.
	breaker.Done(probe, ResultOK, now.Add(minProbeInterval))
	must.Less(t, failureThreshold, breaker.FailureProbability(now.Add(minProbeInterval)))
	must.NotNil(t, breaker.Admit(order, now.Add(minProbeInterval)))

	for range 4 {
		breaker.Done(breaker.Admit(BreakerRequest{LastResort: true}, now), ResultFailed, now)
	}
	must.Greater(t, 0.95, breaker.FailureProbability(now))
	must.Less(t, failureThreshold, breaker.FailureProbability(now.Add(10*time.Second)))
}

// A server that fails for some seconds must receive few probes, since each failed probe
// uses up a retry of its service, and must be back in use soon after it has recovered.
// The load is one lookup and one order every 10 ms.
func TestBreakerLimitsProbesDuringFailingPhase(t *testing.T) {
	const (
		failingPhase      = 4 * time.Second
		interval          = 10 * time.Millisecond
		maxFailedRequests = 8
		recoveryLimit     = 2 * time.Second
	)
	breaker := NewBreaker(breakerEpoch)
	failed := 0
	var firstAdmittedAfter, firstOrderAdmittedAfter time.Duration
	for at := time.Duration(0); at < failingPhase+2*recoveryLimit; at += interval {
		now := breakerEpoch.Add(at)
		result := ResultOK
		if at < failingPhase {
			result = ResultFailed
		}
		for _, request := range []BreakerRequest{{Idempotent: true}, {}} {
			admission := breaker.Admit(request, now)
			switch {
			case admission == nil:
				continue
			case at < failingPhase:
				failed++
			case firstAdmittedAfter == 0:
				firstAdmittedAfter = at - failingPhase
			}
			if at >= failingPhase && firstOrderAdmittedAfter == 0 && !request.Idempotent {
				firstOrderAdmittedAfter = at - failingPhase
			}
			breaker.Done(admission, result, now)
		}
	}
	must.LessEq(t, maxFailedRequests, failed)
	must.LessEq(t, maxProbeInterval, firstAdmittedAfter)
	must.Positive(t, firstOrderAdmittedAfter)
	must.LessEq(t, recoveryLimit, firstOrderAdmittedAfter)
}

// A server that accepts requests and never responds must be detected before the first of
// them ends.
func TestBreakerCountsStalledRequestsAsFailed(t *testing.T) {
	now := breakerEpoch
	breaker := NewBreaker(now)
	for range 20 {
		breaker.Done(breaker.Admit(BreakerRequest{}, now), ResultOK, now.Add(200*time.Millisecond))
	}
	stalled := breaker.Admit(BreakerRequest{}, now)
	breaker.Tick(now.Add(time.Second))
	must.NotNil(t, breaker.Admit(BreakerRequest{}, now.Add(time.Second)))
	breaker.Admit(BreakerRequest{}, now)
	late := now.Add(stallTimeoutFactor * 200 * time.Millisecond)
	breaker.Tick(late)
	must.Nil(t, breaker.Admit(BreakerRequest{}, late))
	// The request counts as failed only once, even if it ends later.
	before := breaker.FailureProbability(late)
	breaker.Done(stalled, ResultFailed, late)
	must.Eq(t, before, breaker.FailureProbability(late))
}

// fastFailingServer simulates a server with phases in which it fails most requests within
// a millisecond.
type fastFailingServer struct {
	failing      bool
	nextChangeAt time.Time
	inFlight     []time.Time
}

func (s *fastFailingServer) advance(random *rand.Rand, now time.Time) {
	for !now.Before(s.nextChangeAt) {
		s.failing = !s.failing
		mean := 7.0
		if s.failing {
			mean = 3
		}
		s.nextChangeAt = s.nextChangeAt.Add(time.Duration(random.ExpFloat64() * mean * float64(time.Second)))
	}
	kept := s.inFlight[:0]
	for _, end := range s.inFlight {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	s.inFlight = kept
}

// orderFailureRate simulates 80 requests per second, two thirds of them orders, on 14
// such servers. Each request goes to the less loaded of two random servers; with
// breakers, the failure probability adds to the load. It returns the share of orders that
// failed. Failed lookups are not counted, because they can be retried.
func orderFailureRate(breakers bool) float64 {
	random := rand.New(rand.NewPCG(4, 12))
	const servers, slots, requests, perSecond = 14, 7, 40_000, 80
	// failureCost is the weight of the failure probability in package balance.
	const failureCost = 4
	fleet := make([]fastFailingServer, servers)
	serverBreakers := make([]*Breaker, servers)
	now := breakerEpoch
	for i := range fleet {
		fleet[i].nextChangeAt = now
		serverBreakers[i] = NewBreaker(now)
	}
	orders, failed := 0, 0
	for i := range requests {
		now = now.Add(time.Second / perSecond)
		for s := range fleet {
			fleet[s].advance(random, now)
		}
		isOrder := i%3 != 0
		chosen := -1
		var admission *Admission
		for attempt := 0; attempt < 6 && admission == nil; attempt++ {
			a, b := random.IntN(servers), random.IntN(servers)
			cost := func(s int) float64 {
				load := float64(len(fleet[s].inFlight)) / slots
				if breakers {
					load += failureCost * serverBreakers[s].FailureProbability(now)
				}
				return load
			}
			if cost(b) < cost(a) {
				a = b
			}
			chosen = a
			request := BreakerRequest{Idempotent: !isOrder, LastResort: !breakers || attempt == 5}
			admission = serverBreakers[a].Admit(request, now)
		}
		server := &fleet[chosen]
		fails := random.Float64() < 0.012 || server.failing && random.Float64() < 0.9
		result := ResultOK
		if fails {
			result = ResultFailed
		} else {
			server.inFlight = append(server.inFlight, now.Add(600*time.Millisecond))
		}
		serverBreakers[chosen].Done(admission, result, now)
		if isOrder {
			orders++
			if fails {
				failed++
			}
		}
	}
	return float64(failed) / float64(orders)
}

// Servers that fail immediately appear idle and attract most of the load. With breakers,
// fewer than a fifth as many orders fail.
func TestBreakerReducesOrderFailuresOnFastFailingServers(t *testing.T) {
	without, with := orderFailureRate(false), orderFailureRate(true)
	t.Logf("share of failed orders: %.3f without breakers, %.3f with breakers", without, with)
	must.Greater(t, 0.4, without)
	must.Less(t, without/5, with)
}

func BenchmarkBreaker(b *testing.B) {
	breaker := NewBreaker(breakerEpoch)
	now := breakerEpoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		breaker.Done(breaker.Admit(BreakerRequest{}, now), ResultOK, now)
	}
}
