package selection

import (
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Bounds of the time for which this ingress sends no request to a backend server whose proxy
// has refused one without regard to its load, or could not be reached. The shortest is about
// the time in which the load reports of a near server arrive, the longest that in which a
// failure probability without new evidence has decayed.
const (
	minRefusalHold = 500 * time.Millisecond
	maxRefusalHold = 4 * time.Second
	// probeHold is for how long further requests stay away while one request shows whether a
	// held server accepts them again.
	probeHold = time.Second
	// maxUnregisteredHold bounds the hold of a server that its instance does not know. The next
	// record of the instance usually ends it.
	maxUnregisteredHold = 10 * time.Second
)

// trialWeightPercent is the largest weight of a backend server that may admit only one
// request at a time.
const trialWeightPercent = 10

// holdCause is why a backend server gets no request.
type holdCause uint8

const (
	notHeld holdCause = iota
	// heldSuspect means that its proxy takes it for failing.
	heldSuspect
	// heldDraining means that it, or its instance, accepts no new requests.
	heldDraining
	// heldUnregistered means that it is not registered at the instance.
	heldUnregistered
	// heldUnreachable means that the instance has not received a request.
	heldUnreachable
)

// refusalHold is the time until which a backend server gets no request.
type refusalHold struct {
	cause holdCause
	until time.Time
	// length doubles with each refusal until the proxy admits a request.
	length time.Duration
	// probing says that a request is on its way to show whether the hold is over.
	probing bool
	// started and record identify the process of the server, and the record of its instance,
	// for which the hold holds.
	started int64
	record  recordVersion
}

// recordVersion identifies a record of an instance.
type recordVersion struct{ incarnation, sequence uint64 }

func recordVersionOf(hosted *gossip.HostedServer) recordVersion {
	return recordVersion{incarnation: hosted.Member.Record.Incarnation, sequence: hosted.Member.Record.Sequence}
}

// holds reports whether the hold is about the server as it is known now.
func (h *refusalHold) holds(hosted *gossip.HostedServer) bool {
	if h.started != hosted.Server.StartedUnixMilli {
		return false
	}
	version := recordVersionOf(hosted)
	switch h.cause {
	case heldUnregistered:
		return h.record == version
	case heldUnreachable, heldDraining:
		return h.record.incarnation == version.incarnation
	}
	return true
}

// holdCauseOf returns why the server of an attempt should get no further request for now.
func holdCauseOf(attempt *ingress.Attempt) holdCause {
	switch {
	case attempt.PathFailed && attempt.ConnectFailed:
		return heldUnreachable
	case attempt.Canceled || attempt.PathFailed || attempt.Unanswered:
		return notHeld
	case attempt.Refusal == pipeline.KindServerSuspect:
		return heldSuspect
	case attempt.Refusal == pipeline.KindDraining:
		return heldDraining
	case attempt.Refusal == pipeline.KindServerUnregistered:
		return heldUnregistered
	}
	return notHeld
}

// recordRefusal records how an attempt at a backend server has ended: which servers are held
// because of it, and which no longer. An instance that could not be reached concerns all of
// its servers. The caller must hold the pool's lock.
func (p *servicePool) recordRefusal(index int, attempt *ingress.Attempt, now time.Time) {
	cause := holdCauseOf(attempt)
	if cause == notHeld {
		if attempt.Refusal == "" && !attempt.Canceled && !attempt.PathFailed && !attempt.Unanswered {
			p.endHold(index, now)
		}
		return
	}
	for i := range p.hosted {
		if i == index || (cause == heldUnreachable && p.hosted[i].Member.Record.ID == attempt.Candidate.Instance) {
			p.hold(i, cause, now)
		}
	}
}

// hold holds a server, for twice as long as the last time. The caller must hold the pool's
// lock.
func (p *servicePool) hold(index int, cause holdCause, now time.Time) {
	hosted := &p.hosted[index]
	id := hostedID(*hosted)
	hold, held := p.holds[id]
	if held && !hold.holds(hosted) {
		hold, held = refusalHold{}, false
	}
	// Requests that were under way together are refused together.
	if !held || hold.probing || !now.Before(hold.until) {
		hold.probing = false
		hold.length = min(max(2*hold.length, minRefusalHold), maxRefusalHold)
		if hosted.Member.Record.ID == p.snapshot.Self {
			// A refusal by this instance costs nothing, and nobody reports its servers here.
			hold.length = minRefusalHold
		}
		hold.until = now.Add(hold.length)
	}
	hold.cause, hold.started, hold.record = cause, hosted.Server.StartedUnixMilli, recordVersionOf(hosted)
	if cause == heldUnregistered {
		hold.until = now.Add(maxUnregisteredHold)
	}
	p.holds[id] = hold
	p.applyOwnExclusions(index, now)
}

// endHold ends the hold of a server. The caller must hold the pool's lock.
func (p *servicePool) endHold(index int, now time.Time) {
	id := hostedID(p.hosted[index])
	if _, held := p.holds[id]; held {
		delete(p.holds, id)
		p.applyOwnExclusions(index, now)
	}
}

// probeHeld keeps further requests away from a server that was held until now, while one
// request is on its way there. The caller must hold the pool's lock.
func (p *servicePool) probeHeld(index int, now time.Time) {
	id := hostedID(p.hosted[index])
	if hold, held := p.holds[id]; held && hold.holds(&p.hosted[index]) {
		hold.until = now.Add(probeHold)
		hold.probing = true
		p.holds[id] = hold
		p.applyOwnExclusions(index, now)
	}
}

// endHoldOnReport ends a hold that a load report of the server's proxy refutes. The caller
// must hold the pool's lock.
func (p *servicePool) endHoldOnReport(index int, id balance.BackendID, failureProbability float64, weightPercent uint8, now time.Time) {
	hold, held := p.holds[id]
	switch {
	case !held || hold.cause == heldDraining:
		return
	case hold.cause == heldSuspect && (weightPercent <= trialWeightPercent ||
		health.ExcessFailureProbability(failureProbability) >= health.SuspectFailureProbability):
		return
	}
	p.endHold(index, now)
}

// heldExclusion returns ExcludedRefused while the server is held. The caller must hold the
// pool's lock.
func (p *servicePool) heldExclusion(hosted *gossip.HostedServer, now time.Time) balance.Exclusion {
	if hold, held := p.holds[hostedID(*hosted)]; held && hold.holds(hosted) && now.Before(hold.until) {
		return balance.ExcludedRefused
	}
	return 0
}

// releaseHeld ends the exclusion of the servers whose hold is over. The caller must hold the
// pool's lock.
func (p *servicePool) releaseHeld(now time.Time) {
	for id, hold := range p.holds {
		index, found := p.pool.Find(id)
		if !found {
			delete(p.holds, id)
			continue
		}
		if p.pool.Backend(index).Excluded&balance.ExcludedRefused != 0 && !now.Before(hold.until) {
			p.applyOwnExclusions(index, now)
		}
	}
}

// pickHeld returns a held server for a request for which no other one is left, and whether it
// is a last resort, that is, may be failing. Only the first attempt is sent to a server that
// will hardly accept it. The caller must hold the pool's lock.
func (p *servicePool) pickHeld(tried []ingress.Candidate) (index int, lastResort, ok bool) {
	best := heldUnreachable + 1
	start := p.rng.IntN(max(1, len(p.hosted)))
	for i := range p.hosted {
		at := (start + i) % len(p.hosted)
		hold, held := p.holds[hostedID(p.hosted[at])]
		if !held || p.pool.Backend(at).Excluded != balance.ExcludedRefused || hold.cause >= best || wasTried(tried, p.pool.Backend(at).ID) {
			continue
		}
		if hold.cause != heldSuspect && len(tried) > 0 {
			continue
		}
		index, best, ok = at, hold.cause, true
	}
	return index, ok && best == heldSuspect, ok
}

func wasTried(tried []ingress.Candidate, id balance.BackendID) bool {
	for i := range tried {
		if backendID(tried[i]) == id {
			return true
		}
	}
	return false
}
