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

// A failing backend server is probed at intervals until its failure probability is back
// to normal.
func TestProbeScheduleIsDueAtIntervals(t *testing.T) {
	var probes probeSchedule
	id := balance.BackendID{Instance: "near-0", Server: "near-0"}
	start := time.Unix(1000, 0)
	must.False(t, probes.due(id, 0, start))
	due := 0
	const seconds, perSecond = 20, 50
	for i := range seconds * perSecond {
		if probes.due(id, maxProbeFailureProbability, start.Add(time.Duration(i)*time.Second/perSecond)) {
			due++
		}
	}
	must.Eq(t, seconds, due)
	must.False(t, probes.due(id, maxProbeFailureProbability+0.01, start.Add(time.Hour)))
	must.False(t, probes.due(id, minProbeFailureProbability/2, start.Add(time.Minute)))
	must.MapEmpty(t, probes.lastProbeAt)
}

// A recovered backend server without traffic must receive a request within four seconds
// of its last failure, with a probability of 95 %, at an ingress that receives on average
// 1.5 idempotent requests per second.
func TestProbeScheduleProbesRecoveredServerSoon(t *testing.T) {
	const (
		recoveries         = 2000
		perSecond          = 1.5
		limit              = 4.0
		failureProbability = 0.95
	)
	random := rand.New(rand.NewPCG(1, 1))
	soon := 0
	for range recoveries {
		var probes probeSchedule
		for at := random.ExpFloat64() / perSecond; at < limit; at += random.ExpFloat64() / perSecond {
			elapsed := time.Duration(at * float64(time.Second))
			probability := health.ExcessFailureProbability(health.DecayedFailureProbability(failureProbability, elapsed))
			if probes.due(balance.BackendID{Instance: "near-0", Server: "near-0"}, probability, time.Unix(1000, 0).Add(elapsed)) {
				soon++
				break
			}
		}
	}
	must.GreaterEq(t, recoveries*19/20, soon)
}

// Only the first attempt of an idempotent request probes a failing backend server, and it
// probes only the backend server beside its own ingress.
func TestSelectorProbesLocalServerWithIdempotentRequests(t *testing.T) {
	const serversPerDomain = 4
	selector := newTwoDomainSelector(serversPerDomain)
	reportLoads(selector, "near", serversPerDomain, membership.ServerLoad{WeightPercent: 100})
	reportLoads(selector, "far", serversPerDomain, membership.ServerLoad{WeightPercent: 100})
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
	for _, failing := range []string{"near-0", "near-1"} {
		load := membership.ServerLoad{Server: fleetconfig.BackendServerID(failing), WeightPercent: 100, FailureProbabilityPercent: 40}
		selector.HandleLoadReports(fleetconfig.InstanceID(failing), []membership.ServerLoad{load})
	}
	for range 20 {
		must.NotEq(t, own, pick(&pipeline.Exchange{}, nil))
	}
	must.NotEq(t, own, pick(&pipeline.Exchange{Idempotent: true, ReachedAttempts: 1}, nil))
	triedCandidate := ingress.Candidate{Instance: "near-2", Server: "near-2", Address: "192.0.2.1:7000"}
	must.NotEq(t, own, pick(&pipeline.Exchange{Idempotent: true}, []ingress.Candidate{triedCandidate}))

	must.Eq(t, own, pick(&pipeline.Exchange{Idempotent: true}, nil))
	for range 20 {
		candidate := pick(&pipeline.Exchange{Idempotent: true}, nil)
		must.NotEq(t, own, candidate)
		must.NotEq(t, "near-1", candidate.Instance)
	}
}
