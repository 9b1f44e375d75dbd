package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// A backend server in doubt is tried at intervals until the doubt is gone.
func TestTrialsAreDueAtIntervals(t *testing.T) {
	var trials trials
	id := balance.BackendID{Instance: "near-0", Server: "near-0"}
	began := time.Unix(1000, 0)
	must.False(t, trials.due(id, 0, began))
	due := 0
	const seconds, perSecond = 20, 50
	for i := range seconds * perSecond {
		if trials.due(id, maxTrialDoubt, began.Add(time.Duration(i)*time.Second/perSecond)) {
			due++
		}
	}
	must.Eq(t, seconds, due)
	must.False(t, trials.due(id, maxTrialDoubt+0.01, began.Add(time.Hour)))
	must.False(t, trials.due(id, minTrialDoubt/2, began.Add(time.Minute)))
	must.MapEmpty(t, trials.last)
}

// A backend server that has recovered and stands idle gets a request within four
// seconds of its last failure at nineteen of twenty ingresses that take three requests
// in two seconds that can be repeated.
func TestARecoveredServerIsTriedSoon(t *testing.T) {
	const (
		recoveries = 2000
		perSecond  = 1.5
		limit      = 4.0
		surelyGray = 0.95
	)
	random := rand.New(rand.NewPCG(1, 1))
	soon := 0
	for range recoveries {
		var trials trials
		for at := random.ExpFloat64() / perSecond; at < limit; at += random.ExpFloat64() / perSecond {
			elapsed := time.Duration(at * float64(time.Second))
			doubt := health.ExcessFailureProbability(health.DecayedFailureProbability(surelyGray, elapsed))
			if trials.due(balance.BackendID{Instance: "near-0", Server: "near-0"}, doubt, time.Unix(1000, 0).Add(elapsed)) {
				soon++
				break
			}
		}
	}
	must.GreaterEq(t, recoveries*19/20, soon)
}

// Only a request that can be repeated tries the backend server in doubt beside its
// ingress, at its first attempt, and no other ingress's backend server.
func TestRequestsThatCanBeRepeatedTryTheServerBesideThem(t *testing.T) {
	const each = 4
	selector := twoDomains(each)
	report(selector, "near", each, membership.ServerLoad{WeightPercent: 100})
	report(selector, "far", each, membership.ServerLoad{WeightPercent: 100})
	own := ingress.Candidate{Instance: "near-0", Server: "near-0"}
	pick := func(exchange *pipeline.Exchange, tried []ingress.Candidate) ingress.Candidate {
		exchange.Service = "catalogue"
		candidate, ok := selector.Pick(exchange, tried)
		must.True(t, ok)
		selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue", Canceled: true})
		return candidate
	}
	for range 20 {
		pick(&pipeline.Exchange{Idempotent: true}, nil)
	}
	for _, doubted := range []string{"near-0", "near-1"} {
		load := membership.ServerLoad{Server: fleetconfig.BackendServerID(doubted), WeightPercent: 100, DoubtPercent: 40}
		selector.HandleLoadReports(fleetconfig.InstanceID(doubted), []membership.ServerLoad{load})
	}
	for range 20 {
		must.NotEq(t, own, pick(&pipeline.Exchange{}, nil))
	}
	must.NotEq(t, own, pick(&pipeline.Exchange{Idempotent: true, Reached: 1}, nil))
	elsewhere := ingress.Candidate{Instance: "near-2", Server: "near-2", Address: "192.0.2.1:7000"}
	must.NotEq(t, own, pick(&pipeline.Exchange{Idempotent: true}, []ingress.Candidate{elsewhere}))

	must.Eq(t, own, pick(&pipeline.Exchange{Idempotent: true}, nil))
	for range 20 {
		candidate := pick(&pipeline.Exchange{Idempotent: true}, nil)
		must.NotEq(t, own, candidate)
		must.NotEq(t, "near-1", candidate.Instance)
	}
}
