package selection

import (
	"maps"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/placement"
)

// failureEstimate is the failure probability and the weight of a backend server as of its last
// report.
type failureEstimate struct {
	probability float64
	weight      float64
	reportedAt  time.Time
}

// weightAt returns the weight as far as is known. Without further reports it grows as during a
// slow start, so that a server that is back in service is tried again, and not at once with its
// full share.
func (e *failureEstimate) weightAt(now time.Time, slowStart time.Duration) float64 {
	unheard := now.Sub(e.reportedAt) - placement.NewsLifetime
	switch {
	case unheard <= 0:
		return e.weight
	case slowStart <= 0:
		return 1
	}
	return min(1, e.weight+float64(unheard)/float64(slowStart))
}

// HandleLoadReports records the loads that another instance reported for its backend
// servers.
func (s *Selector) HandleLoadReports(from fleetconfig.InstanceID, loads []membership.ServerLoad) {
	now := clock.Now()
	s.mu.Lock()
	services := slices.Collect(maps.Values(s.services))
	s.mu.Unlock()
	for _, service := range services {
		service.mu.Lock()
		for i := range loads {
			service.recordLoad(balance.BackendID{Instance: from, Server: loads[i].Server}, &loads[i], false, now)
		}
		service.mu.Unlock()
	}
}

// recordLoad records the load, weight and failure probability that a proxy reported for
// its backend server, and what the server has stated (see statement.record for appointed).
// The caller must hold the pool's lock.
func (p *servicePool) recordLoad(id balance.BackendID, load *membership.ServerLoad, appointed bool, now time.Time) {
	index, found := p.pool.Find(id)
	if !found {
		return
	}
	weight := float64(load.WeightPercent) / percent
	p.pool.UpdateLoad(index, load.InFlight, weight)
	p.recordNews(index, id, load, now)
	reported := failureEstimate{probability: float64(load.FailureProbabilityPercent) / percent, weight: weight, reportedAt: now}
	p.failureEstimates[id] = reported
	p.pool.SetFailureProbability(index, health.ExcessFailureProbability(reported.probability))
	p.endHoldOnReport(index, id, reported.probability, load.WeightPercent, now)
	p.recordStatement(index, id, load, appointed, now)
}

// ageEstimates updates the pool with the failure probabilities, each decayed over the time since
// its server's last report, and with the weights. It also drops the state of servers that have
// left the pool.
func (p *servicePool) ageEstimates(slowStart time.Duration, now time.Time) {
	for i := range p.pool.Len() {
		id := p.pool.Backend(i).ID
		if known, found := p.failureEstimates[id]; found {
			p.pool.SetFailureProbability(i, health.ExcessFailureProbability(health.DecayedFailureProbability(known.probability, now.Sub(known.reportedAt))))
			p.pool.SetWeight(i, known.weightAt(now, slowStart))
		}
	}
	for id := range p.failureEstimates {
		if _, found := p.pool.Find(id); !found {
			delete(p.failureEstimates, id)
			delete(p.news, id)
			delete(p.probes.lastProbeAt, id)
		}
	}
}
