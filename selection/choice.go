package selection

import (
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/throttle"
)

// choice is the backend server for an attempt.
type choice struct {
	// index is that of the server in the pool.
	index int
	// lastResort says that the server is suspected of failure and no other one is left.
	lastResort bool
	// rateWait is how long the request may wait until the rate of the server admits it.
	rateWait time.Duration
}

// choose chooses the backend server for an attempt, in this order: a server beside this ingress
// that is due for a probe; one of the pool, or one with room in its place; one that is held
// because of a refusal, if no other is left. A server at its advertised rate takes the place of
// one whose slots are all in use. The caller must hold the pool's lock.
func (p *servicePool) choose(exchange *pipeline.Exchange, tried []ingress.Candidate, now time.Time) (chosen choice, ok bool) {
	chosen.index, ok = p.probeTarget(exchange, tried, p.snapshot.Self, now)
	if !ok {
		chosen.index, chosen.lastResort, ok = p.pickFromPool(exchange, tried, now)
	}
	switch {
	case !ok:
		chosen.index, chosen.lastResort, ok = p.pickHeld(tried)
	case !chosen.lastResort && exchange.NextRepeat() == pipeline.RepeatNone && admitsByRoom(exchange):
		chosen.index, chosen.lastResort = p.preferRoom(exchange, tried, chosen.index, now)
	}
	if maxWait := maxRateWait(exchange, now); maxWait > 0 && (!ok || p.pool.Saturated(chosen.index)) {
		if overRate, found := p.pickOverRate(tried, now); found {
			return choice{index: overRate, rateWait: maxWait}, true
		}
	}
	return chosen, ok
}

// admitsByRoom reports whether the active preset admits requests by the room for them.
func admitsByRoom(exchange *pipeline.Exchange) bool {
	return exchange.View != nil && exchange.View.ActivePreset().AdmissionByRoom
}

// maxRateWait returns how long the request may still wait until the rate of a backend
// server admits it.
func maxRateWait(exchange *pipeline.Exchange, now time.Time) time.Duration {
	if exchange.Route == nil {
		return 0
	}
	return throttle.MaxWait(exchange.Route.LatencyTarget) - now.Sub(exchange.Received)
}

// pickFromPool returns the index of the backend server for the next attempt, and whether it
// is a last resort: a server that is suspected of failure, while no other one has room. The
// proxy of a suspect refuses other requests, except for probes by the first attempts of
// idempotent requests. The caller must hold the pool's lock.
func (p *servicePool) pickFromPool(exchange *pipeline.Exchange, tried []ingress.Candidate, now time.Time) (index int, lastResort, ok bool) {
	var skip balance.TriedBackends
	for _, candidate := range tried {
		skip.Add(backendID(candidate))
	}
	if exchange.NextRepeat() != pipeline.RepeatNone && p.pool.KeepsReports() {
		return p.pickForRepeat(&skip, now)
	}
	if exchange.ReachedAttempts > 0 {
		index, ok = p.pool.PickBest(p.rng, &skip)
	} else {
		index, ok = p.pool.Pick(p.rng, &skip)
	}
	// With announced changes of state a suspect is known on all ingresses, and the one beside
	// it probes it; the others would only be refused.
	mayProbe := exchange.Idempotent && len(tried) == 0 && !p.pool.KeepsReports()
	if !ok || mayProbe || !p.suspected(index) {
		return index, false, ok
	}
	if sound, found := p.pool.PickSound(p.rng, &skip, health.SuspectFailureProbability); found {
		return sound, false, true
	}
	index, ok = p.pool.PickBest(p.rng, &skip)
	return index, ok && p.suspected(index), ok
}

// suspected reports whether a backend server is suspected of failure, so that its proxy
// refuses requests. The caller must hold the pool's lock.
func (p *servicePool) suspected(index int) bool {
	return p.pool.Backend(index).FailureProbability >= health.SuspectFailureProbability
}
