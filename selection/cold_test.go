package selection

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/throttle"
)

// coldFleet holds the throttles of the backend servers that requests are sent to.
type coldFleet struct {
	throttles map[ingress.Candidate]*throttle.Throttle
	sent      map[ingress.Candidate]int
	refused   int
	newLimit  func(candidate ingress.Candidate, now time.Time) *throttle.Throttle
}

// offer sends a request to the candidate. It reports whether the server runs it.
func (f *coldFleet) offer(selector *Selector, candidate ingress.Candidate) bool {
	now := clock.Now()
	key := ingress.Candidate{Instance: candidate.Instance, Server: candidate.Server}
	limit := f.throttles[key]
	if limit == nil {
		limit = f.newLimit(key, now)
		f.throttles[key] = limit
	}
	attempt := &ingress.Attempt{Candidate: candidate, Service: "catalogue", Load: backendproxy.Load{Slots: testSlots, WeightPercent: 100}.String()}
	runs := limit.Tokens(now) > 0
	if runs {
		limit.Take(now)
		f.sent[key]++
	} else {
		attempt.Refusal = pipeline.KindServerRateLimited
		f.refused++
	}
	if state := limit.State(now); state.Limited {
		attempt.ServerStatus = fmt.Sprintf("%.0f/%d/cold", 1000*state.PerSecond, limit.Appoint(now).Milliseconds())
	}
	selector.Done(attempt)
	return runs
}

// While the near servers are cold, the far ones run the requests, but for those that the rate of
// the cold ones admits. No ingress takes the rate of a cold server for an advertised one that
// its proxy has to be reminded of.
func TestColdServersGetTheirRateAndWarmOnesTheRest(t *testing.T) {
	const (
		serversPerDomain = 3
		coldRate         = 12
		requests         = 400
	)
	selector := newTwoDomainSelector(serversPerDomain)
	fleet := &coldFleet{throttles: make(map[ingress.Candidate]*throttle.Throttle), sent: make(map[ingress.Candidate]int)}
	fleet.newLimit = func(candidate ingress.Candidate, now time.Time) *throttle.Throttle {
		limit := &throttle.Throttle{}
		if candidate.Instance[:4] == "near" {
			limit.SetColdLimit(throttle.ColdLimit{PerSecond: coldRate, Bound: 26, Start: 3 * time.Second}, now)
			limit.SetColdUntil(now.Add(time.Minute), now)
		}
		return limit
	}
	begin := clock.Now()
	for range requests {
		var tried []ingress.Candidate
		for {
			candidate, ok := pick(selector, 0, tried...)
			must.True(t, ok, must.Sprint("a warm server must run the request"))
			must.Nil(t, candidate.KnownRate)
			if fleet.offer(selector, candidate) {
				break
			}
			tried = append(tried, candidate)
		}
		time.Sleep(2 * time.Millisecond)
	}
	seconds := clock.Since(begin).Seconds()
	for candidate, sent := range fleet.sent {
		if candidate.Instance[:4] == "near" {
			must.Between(t, 0.6*coldRate*seconds, float64(sent), coldRate*seconds+throttle.MaxBurst, must.Sprint(candidate.Server))
		}
	}
	must.MapLen(t, 2*serversPerDomain, fleet.sent)
	must.Less(t, requests/10, fleet.refused)
}
