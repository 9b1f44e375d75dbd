package health

import (
	"math"
	"time"
)

// Parameters of the path test. A path loses an attempt now and then; three
// losses in a row with nothing heard between convict it.
const (
	pathUsualLoss = 0.01
	pathFaultLoss = 0.5
	pathBoundNats = 11.0
	pathFirstHold = 2 * time.Second
	pathMaxHold   = 10 * time.Second
	heardLife     = 3 * time.Second
)

// PathStatus says which way a path between this ingress and an instance fails.
type PathStatus uint8

const (
	// PathUsable means that the path may be used.
	PathUsable PathStatus = iota
	// PathUnresponsive means that nothing comes back and nothing is heard: the path
	// fails both ways, or the way back fails.
	PathUnresponsive
	// PathOutboundFailed means that the instance is heard, but it does not hear this
	// ingress.
	PathOutboundFailed
	// PathInboundFailed means that others say the instance hears this ingress, but
	// this ingress does not hear the instance.
	PathInboundFailed
)

// PathMonitor judges the path from this ingress to one instance. It never says
// anything about the instance's backend servers: an attempt that the instance's
// proxy answered in any way, busy and server errors included, is evidence for
// the path. It takes about 150 bytes.
type PathMonitor struct {
	sum        float64
	hold       hold
	holdUntil  time.Time
	avoided    bool
	heardAt    time.Time
	hearsUsAt  time.Time
	trialUsed  bool
	trialSince time.Time
}

// RecordResponse records that the instance's proxy answered an attempt.
func (p *PathMonitor) RecordResponse(now time.Time) {
	p.heardAt = now
	p.sum = max(0, p.sum-math.Log((1-pathUsualLoss)/(1-pathFaultLoss)))
	if p.avoided && !now.Before(p.holdUntil) {
		p.avoided = false
		p.sum = 0
	}
}

// RecordLoss records that an attempt ended without any sign of life from the
// instance's proxy: no connection, or no acknowledgement by the time that the
// path should take. An attempt that the proxy acknowledged is not lost, however
// late the backend server is.
func (p *PathMonitor) RecordLoss(now time.Time) {
	p.sum = min(2*pathBoundNats, p.sum+math.Log(pathFaultLoss/pathUsualLoss))
	p.trialUsed = false
	if p.avoided && !now.Before(p.holdUntil) {
		p.extend(now)
	}
}

// RecordUnreachable records that the instance could not be reached at all within a time
// that is many round trips long. It convicts the path at once: each further attempt
// would hold its request up for as long.
func (p *PathMonitor) RecordUnreachable(now time.Time) {
	p.sum = max(p.sum, pathBoundNats)
	p.RecordLoss(now)
}

// RecordMessage records any other message from the instance, such as gossip.
func (p *PathMonitor) RecordMessage(now time.Time) { p.heardAt = now }

// RecordIndirectAck records that the instance, by way of others, says that it hears this
// ingress.
func (p *PathMonitor) RecordIndirectAck(now time.Time) { p.hearsUsAt = now }

// ShouldAvoid reports whether the path should be avoided and is not yet.
func (p *PathMonitor) ShouldAvoid() bool {
	return !p.avoided && p.sum >= pathBoundNats
}

// Avoid starts to avoid the path. The caller has asked MayEject first, with the
// capacity that this ingress reaches, so that an ingress alone keeps the floor
// in its own view too.
func (p *PathMonitor) Avoid(now time.Time) {
	p.avoided = true
	p.extend(now)
}

func (p *PathMonitor) extend(now time.Time) {
	policy := Policy{BaseEjectionTime: pathFirstHold, MaxEjectionTime: pathMaxHold, BackoffDecayInterval: DefaultBackoffDecayInterval}
	p.holdUntil = now.Add(p.hold.next(&policy, now))
	p.trialUsed = false
}

// Usable reports whether an attempt may take the path. After the hold, one
// attempt at a time tries it again; TryOnce marks that attempt.
func (p *PathMonitor) Usable(now time.Time) bool {
	if !p.avoided {
		return true
	}
	if now.Before(p.holdUntil) {
		return false
	}
	return !p.trialUsed || now.Sub(p.trialSince) > pathFirstHold
}

// BeginProbe marks that an attempt takes an avoided path for trial.
func (p *PathMonitor) BeginProbe(now time.Time) {
	p.trialUsed = true
	p.trialSince = now
}

// Status names the direction that fails.
func (p *PathMonitor) Status(now time.Time) PathStatus {
	switch {
	case !p.avoided:
		return PathUsable
	case now.Sub(p.heardAt) < heardLife:
		return PathOutboundFailed
	case now.Sub(p.hearsUsAt) < heardLife:
		return PathInboundFailed
	default:
		return PathUnresponsive
	}
}
