package selection

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// limitedLoad is the report of a server that advertises 2 requests a second and admits the
// next one in a minute.
var limitedLoad = membership.ServerLoad{WeightPercent: 100, Limited: true, MilliRate: 2000, WaitMillis: 60_000}

func pick(selector *Selector, target time.Duration, tried ...ingress.Candidate) (ingress.Candidate, bool) {
	return selector.Pick(&pipeline.Exchange{
		Service: "catalogue", Received: clock.Now(), Route: &fleetconfig.Route{LatencyTarget: target},
	}, tried)
}

// newLimitedSelector returns a selector that has picked a server before, since reports are
// recorded from then on.
func newLimitedSelector(t *testing.T, serversPerDomain int) *Selector {
	t.Helper()
	selector := newTwoDomainSelector(serversPerDomain)
	must.Positive(t, shareOfDomain(t, selector, "near"))
	return selector
}

// A request waits at a server at its rate only if there is no other.
func TestServersAtTheirRateGetNoRequestsWhileOthersAcceptThem(t *testing.T) {
	const serversPerDomain = 3
	selector := newLimitedSelector(t, serversPerDomain)
	reportLoads(selector, "near", serversPerDomain, limitedLoad)
	must.Eq(t, 1, shareOfDomain(t, selector, "far"))

	reportLoads(selector, "far", serversPerDomain, limitedLoad)
	_, ok := pick(selector, 0)
	must.False(t, ok, must.Sprint("a request without a latency target does not wait"))
	wait, found := selector.RateWait("catalogue")
	must.True(t, found)
	must.Between(t, 50*time.Second, wait, time.Minute)
	first, ok := pick(selector, time.Second)
	must.True(t, ok)
	must.Positive(t, first.MaxRateWait)
	must.Eq(t, 2, first.KnownRate.PerSecond)
	second, ok := pick(selector, time.Second, first)
	must.True(t, ok)
	must.NotEq(t, first.Server, second.Server)
	_, ok = pick(selector, time.Second, first, second)
	must.False(t, ok)

	admits := limitedLoad
	admits.WaitMillis = 0
	reportLoads(selector, "near", serversPerDomain, admits)
	candidate, ok := pick(selector, 0)
	must.True(t, ok)
	must.Zero(t, candidate.MaxRateWait)
}

// The ingress passes the rate that it knows on to the proxy.
func TestReportOfRestartedProxyDoesNotEraseKnownRate(t *testing.T) {
	selector := newLimitedSelector(t, 1)
	reportLoads(selector, "near", 1, limitedLoad)
	reportLoads(selector, "near", 1, membership.ServerLoad{WeightPercent: 100, RateUnknown: true})
	reportLoads(selector, "far", 1, limitedLoad)
	candidate, ok := pick(selector, time.Second)
	must.True(t, ok)
	must.Eq(t, 2, candidate.KnownRate.PerSecond)

	reportLoads(selector, "near", 1, membership.ServerLoad{WeightPercent: 100})
	candidate, ok = pick(selector, 0)
	must.True(t, ok)
	must.Nil(t, candidate.KnownRate)
}

// The successor under the same ID is not affected.
func TestStatedExitHoldsForItsProcessOnly(t *testing.T) {
	now := clock.Now()
	var known statement
	known.record(&membership.ServerLoad{Leaving: true, LeavingProcess: 100}, true, now)
	known.record(&membership.ServerLoad{}, true, now.Add(time.Second))
	must.Eq(t, balance.ExcludedDraining, known.exclusions(100, now.Add(time.Hour)))
	must.Eq(t, 0, known.exclusions(200, now.Add(time.Second)))

	var unknownStart statement
	unknownStart.record(&membership.ServerLoad{Leaving: true}, true, now)
	must.Eq(t, balance.ExcludedDraining, unknownStart.exclusions(0, now.Add(statementRetention-1)))
	must.Eq(t, 0, unknownStart.exclusions(0, now.Add(statementRetention)))
	must.False(t, known.expired(now.Add(statementRetention-1)))
	must.True(t, known.expired(now.Add(time.Second+statementRetention)))
}

// Guards against a late report of a former process that hides the exit which the present one has stated.
func TestLateReportOfFormerProcessDoesNotHideStatedExit(t *testing.T) {
	now := clock.Now()
	var known statement
	known.record(&membership.ServerLoad{Leaving: true, LeavingProcess: 200}, true, now)
	known.record(&membership.ServerLoad{Leaving: true, LeavingProcess: 100}, true, now)
	must.Eq(t, balance.ExcludedDraining, known.exclusions(200, now))
	must.Eq(t, 0, known.exclusions(100, now))
}

// A rate does not make a server count as ejected when a failing path is to be avoided.
func TestServerAtItsRateIsNotCountedAsEjected(t *testing.T) {
	selector := newLimitedSelector(t, 2)
	reportLoads(selector, "near", 2, limitedLoad)
	_, ok := pick(selector, 0)
	must.True(t, ok)
	capacities, _ := poolCapacities(selector.service("catalogue"), "far-0")
	for _, capacity := range capacities {
		must.Eq(t, health.StatusHealthy, capacity.Status)
	}
}
