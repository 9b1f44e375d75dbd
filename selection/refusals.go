package selection

import (
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Bounds of the time for which this ingress sends no request to a backend server whose proxy
// has refused one without regard to its load. The shortest is about the time in which the
// load reports of a near server arrive, the longest that in which a failure probability
// without new evidence has decayed.
const (
	minRefusalHold = 500 * time.Millisecond
	maxRefusalHold = 4 * time.Second
)

// trialWeightPercent is the largest weight of a backend server that may admit only one
// request at a time.
const trialWeightPercent = 10

// refusalHold is the time until which a backend server gets no request because its proxy has
// refused one.
type refusalHold struct {
	until time.Time
	// length doubles with each refusal until the proxy admits a request.
	length time.Duration
	// suspect says that the last refusal was because of the failure probability, so that a
	// report of a lower one ends the hold.
	suspect bool
	// started tells the processes of the server and of its proxy apart; the hold is of one of
	// them.
	started int64
}

// refusedByServer reports whether a refusal says that the backend server accepts no requests
// now, whatever its load.
func refusedByServer(kind pipeline.RefusalKind) bool {
	return kind == pipeline.KindServerSuspect || kind == pipeline.KindDraining
}

// recordRefusal records how the proxy of a backend server has received a request. The caller
// must hold the pool's lock.
func (p *servicePool) recordRefusal(index int, id balance.BackendID, kind pipeline.RefusalKind, now time.Time) {
	hold, held := p.heldOf(id, p.pool.Backend(index).Started)
	switch {
	case refusedByServer(kind):
		// Requests that were under way together are refused together.
		if !held || !now.Before(hold.until) {
			hold.length = min(max(2*hold.length, minRefusalHold), maxRefusalHold)
			hold.until = now.Add(hold.length)
		}
		hold.suspect = kind == pipeline.KindServerSuspect
		hold.started = p.pool.Backend(index).Started
		p.holds[id] = hold
	case held && kind == "":
		delete(p.holds, id)
	default:
		return
	}
	p.applyOwnExclusions(index, now)
}

// endHoldOnReport ends a hold because of the failure probability when the server's proxy
// reports that it admits requests again. The caller must hold the pool's lock.
func (p *servicePool) endHoldOnReport(index int, id balance.BackendID, failureProbability float64, weightPercent uint8, now time.Time) {
	hold, held := p.holds[id]
	if !held || !hold.suspect || weightPercent <= trialWeightPercent ||
		health.ExcessFailureProbability(failureProbability) >= health.SuspectFailureProbability {
		return
	}
	delete(p.holds, id)
	p.applyOwnExclusions(index, now)
}

// heldOf returns the hold of a process of a server. The caller must hold the pool's lock.
func (p *servicePool) heldOf(id balance.BackendID, started int64) (refusalHold, bool) {
	hold, held := p.holds[id]
	if !held || hold.started != started {
		return refusalHold{}, false
	}
	return hold, true
}

// heldExclusion returns ExcludedRefused while the server is held. The caller must hold the
// pool's lock.
func (p *servicePool) heldExclusion(id balance.BackendID, started int64, now time.Time) balance.Exclusion {
	if hold, held := p.heldOf(id, started); held && now.Before(hold.until) {
		return balance.ExcludedRefused
	}
	return 0
}

// releaseHeld ends the exclusion of the servers whose hold is over, or, with all, of all held
// servers until the next refresh. It reports whether it has released any. The caller must
// hold the pool's lock.
func (p *servicePool) releaseHeld(all bool, now time.Time) bool {
	released := false
	for id, hold := range p.holds {
		index, found := p.pool.Find(id)
		if !found {
			delete(p.holds, id)
			continue
		}
		excluded := p.pool.Backend(index).Excluded
		if excluded&balance.ExcludedRefused != 0 && (all || !now.Before(hold.until)) {
			p.pool.Exclude(index, excluded&^balance.ExcludedRefused)
			released = true
		}
	}
	return released
}
