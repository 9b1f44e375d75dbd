package selection

import (
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// probeInterval is the minimum time between two probes of a backend server by the
	// ingress beside it. Two successful probes bring the failure probability back to
	// normal.
	probeInterval = time.Second
	// maxProbeFailureProbability is the excess failure probability above which no probe
	// is sent. At this value, by the rates of package health, about three of five probes
	// succeed. A failure probability of 0.95 decays to it two seconds after the last
	// failure.
	maxProbeFailureProbability = 0.5
	// minProbeFailureProbability is the excess failure probability from which a lightly
	// loaded pool no longer selects a backend server: the penalty then equals the load of
	// one request on a server with 25 slots.
	minProbeFailureProbability = 0.01
)

// probeSchedule decides when the backend servers beside this ingress are probed although
// they are probably failing. Without probes, the other servers of a pool with spare
// capacity would take all requests, and neither a recovery nor evidence for an ejection
// would be seen until the failure probability has decayed. Only the ingress beside a
// backend server probes it, which limits the cost of probes in the fleet.
type probeSchedule struct {
	lastProbeAt map[balance.BackendID]time.Time
}

// due reports whether a backend server with the given excess failure probability should
// be probed now. If so, it records the probe.
func (p *probeSchedule) due(id balance.BackendID, probability float64, now time.Time) bool {
	if probability < minProbeFailureProbability {
		delete(p.lastProbeAt, id)
		return false
	}
	if last, probed := p.lastProbeAt[id]; probability > maxProbeFailureProbability || (probed && now.Sub(last) < probeInterval) {
		return false
	}
	if p.lastProbeAt == nil {
		p.lastProbeAt = make(map[balance.BackendID]time.Time)
	}
	p.lastProbeAt[id] = now
	return true
}

// probeTarget returns the index of a backend server beside this ingress that the request
// should probe. Only idempotent requests probe, and only with their first attempt. The
// caller must hold the pool's lock.
func (p *servicePool) probeTarget(exchange *pipeline.Exchange, tried []ingress.Candidate, self fleetconfig.InstanceID, now time.Time) (int, bool) {
	if !exchange.Idempotent || exchange.ReachedAttempts > 0 || len(tried) > 0 {
		return 0, false
	}
	for i := range p.pool.Len() {
		backend := p.pool.Backend(i)
		if backend.ID.Instance == self && backend.Excluded == 0 && p.probes.due(backend.ID, backend.FailureProbability, now) {
			return i, true
		}
	}
	return 0, false
}
