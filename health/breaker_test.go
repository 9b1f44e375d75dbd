package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var breakerEpoch = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// A single failure sends orders elsewhere, a success of a request that can be
// repeated brings them back, and time alone does too.
func TestABreakerTurnsOrdersAwayWhileInDoubt(t *testing.T) {
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

	trial := breaker.Admit(lookup, now)
	must.NotNil(t, trial)
	must.Nil(t, breaker.Admit(lookup, now.Add(trialInterval))) // One trial at a time.
	breaker.Done(trial, ResultOK, now.Add(trialInterval))
	must.Less(t, doubtLimit, breaker.FailureProbability(now.Add(trialInterval)))
	must.NotNil(t, breaker.Admit(order, now.Add(trialInterval)))

	for range 4 {
		breaker.Done(breaker.Admit(BreakerRequest{LastResort: true}, now), ResultFailed, now)
	}
	must.Greater(t, 0.95, breaker.FailureProbability(now))
	must.Less(t, doubtLimit, breaker.FailureProbability(now.Add(10*time.Second)))
}

// A server that fails for some seconds costs few of the requests that can be repeated,
// since each takes a retry of its service, and is back soon after it has recovered. The
// load is one lookup and one order every 10 ms.
func TestAFailingPhaseCostsFewTrials(t *testing.T) {
	const (
		phase    = 4 * time.Second
		gap      = 10 * time.Millisecond
		mostLost = 8
		backIn   = 2 * time.Second
	)
	breaker := NewBreaker(breakerEpoch)
	lost := 0
	var found, back time.Duration
	for at := time.Duration(0); at < phase+2*backIn; at += gap {
		now := breakerEpoch.Add(at)
		result := ResultOK
		if at < phase {
			result = ResultFailed
		}
		for _, wish := range []BreakerRequest{{Idempotent: true}, {}} {
			visit := breaker.Admit(wish, now)
			switch {
			case visit == nil:
				continue
			case at < phase:
				lost++
			case found == 0:
				found = at - phase
			}
			if at >= phase && back == 0 && !wish.Idempotent {
				back = at - phase
			}
			breaker.Done(visit, result, now)
		}
	}
	must.LessEq(t, mostLost, lost)
	must.LessEq(t, maxTrialInterval, found)
	must.Positive(t, back)
	must.LessEq(t, backIn, back)
}

// A server that takes requests and never answers is in doubt before the first of
// them has ended.
func TestABreakerJudgesOpenRequests(t *testing.T) {
	now := breakerEpoch
	breaker := NewBreaker(now)
	for range 20 {
		breaker.Done(breaker.Admit(BreakerRequest{}, now), ResultOK, now.Add(200*time.Millisecond))
	}
	hung := breaker.Admit(BreakerRequest{}, now)
	breaker.Tick(now.Add(time.Second))
	must.NotNil(t, breaker.Admit(BreakerRequest{}, now.Add(time.Second)))
	breaker.Admit(BreakerRequest{}, now)
	late := now.Add(stalledFactor * 200 * time.Millisecond)
	breaker.Tick(late)
	must.Nil(t, breaker.Admit(BreakerRequest{}, late))
	// It counts once, whatever comes of it.
	before := breaker.FailureProbability(late)
	breaker.Done(hung, ResultFailed, late)
	must.Eq(t, before, breaker.FailureProbability(late))
}

// fastFailing is a server that falls into phases in which it fails most requests
// within a millisecond.
type fastFailing struct {
	failing  bool
	changes  time.Time
	inFlight []time.Time
}

func (s *fastFailing) advance(random *rand.Rand, now time.Time) {
	for !now.Before(s.changes) {
		s.failing = !s.failing
		mean := 7.0
		if s.failing {
			mean = 3
		}
		s.changes = s.changes.Add(time.Duration(random.ExpFloat64() * mean * float64(time.Second)))
	}
	kept := s.inFlight[:0]
	for _, end := range s.inFlight {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	s.inFlight = kept
}

// orderLoss plays 80 requests a second, two in three of them orders, on 14 such
// servers chosen by two random choices of load, with the doubt where there are
// breakers, and returns the share of orders
// that failed. Lookups that fail are not counted: they can be repeated.
func orderLoss(breakers bool) float64 {
	random := rand.New(rand.NewPCG(4, 12))
	const servers, slots, requests, perSecond = 14, 7, 40_000, 80
	// doubtCost is what package balance adds to the load of a doubtful server.
	const doubtCost = 4
	fleet := make([]fastFailing, servers)
	guards := make([]*Breaker, servers)
	now := breakerEpoch
	for i := range fleet {
		fleet[i].changes = now
		guards[i] = NewBreaker(now)
	}
	orders, lost := 0, 0
	for i := range requests {
		now = now.Add(time.Second / perSecond)
		for s := range fleet {
			fleet[s].advance(random, now)
		}
		isOrder := i%3 != 0
		chosen := -1
		var visit *Admission
		for hop := 0; hop < 6 && visit == nil; hop++ {
			a, b := random.IntN(servers), random.IntN(servers)
			cost := func(s int) float64 {
				load := float64(len(fleet[s].inFlight)) / slots
				if breakers {
					load += doubtCost * guards[s].FailureProbability(now)
				}
				return load
			}
			if cost(b) < cost(a) {
				a = b
			}
			chosen = a
			wish := BreakerRequest{Idempotent: !isOrder, LastResort: !breakers || hop == 5}
			visit = guards[a].Admit(wish, now)
		}
		server := &fleet[chosen]
		fails := random.Float64() < 0.012 || server.failing && random.Float64() < 0.9
		result := ResultOK
		if fails {
			result = ResultFailed
		} else {
			server.inFlight = append(server.inFlight, now.Add(600*time.Millisecond))
		}
		guards[chosen].Done(visit, result, now)
		if isOrder {
			orders++
			if fails {
				lost++
			}
		}
	}
	return float64(lost) / float64(orders)
}

// Servers that fail at once look idle and attract most of the load. With breakers,
// fewer than a fifth as many orders are lost.
func TestBreakersAgainstServersThatFailAtOnce(t *testing.T) {
	without, with := orderLoss(false), orderLoss(true)
	t.Logf("orders lost: %.3f without breakers, %.3f with", without, with)
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
