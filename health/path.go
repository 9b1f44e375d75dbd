package health

import (
	"math"
	"time"
)

// Parameters of the path test. A working path occasionally loses an attempt; three
// consecutive losses make the ingress avoid the path. A message or an acknowledgement
// shows, for messageTTL after it arrives, that the path works in one direction.
const (
	pathNormalLossRate = 0.01
	pathFaultyLossRate = 0.5
	pathThresholdNats  = 11.0
	pathBaseAvoidTime  = 2 * time.Second
	pathMaxAvoidTime   = 10 * time.Second
	messageTTL         = 3 * time.Second
)

// PathStatus says in which direction a path between this ingress and an instance fails.
type PathStatus uint8

const (
	// PathUsable means that the path may be used.
	PathUsable PathStatus = iota
	// PathUnresponsive means that neither responses nor other messages arrive: both
	// directions fail, or the direction from the instance to this ingress.
	PathUnresponsive
	// PathOutboundFailed means that messages from the instance arrive, but the instance
	// receives none from this ingress.
	PathOutboundFailed
	// PathInboundFailed means that, according to other instances, the instance receives
	// messages from this ingress, but none arrive from the instance.
	PathInboundFailed
)

// PathMonitor monitors the path from this ingress to one instance. It does not assess the
// instance's backend servers: any response of the instance's proxy, including busy
// responses and server errors, is evidence that the path works. It takes about 150 bytes.
type PathMonitor struct {
	sum               float64
	backoff           backoff
	avoidUntil        time.Time
	avoided           bool
	lastMessageAt     time.Time
	lastIndirectAckAt time.Time
	probeInFlight     bool
	probeStartedAt    time.Time
}

// RecordResponse records that the instance's proxy responded to an attempt.
func (p *PathMonitor) RecordResponse(now time.Time) {
	p.lastMessageAt = now
	p.sum = max(0, p.sum-math.Log((1-pathNormalLossRate)/(1-pathFaultyLossRate)))
	if p.avoided && !now.Before(p.avoidUntil) {
		p.avoided = false
		p.sum = 0
	}
}

// RecordLoss records that an attempt ended without any response from the instance's
// proxy: no connection, or no acknowledgement within the expected time. An attempt that
// the proxy acknowledged is not lost, however late the backend server responds.
func (p *PathMonitor) RecordLoss(now time.Time) {
	p.sum = min(2*pathThresholdNats, p.sum+math.Log(pathFaultyLossRate/pathNormalLossRate))
	p.probeInFlight = false
	if p.avoided && !now.Before(p.avoidUntil) {
		p.extendAvoidance(now)
	}
}

// RecordUnreachable records that the instance could not be reached within a time that
// spans many round trips. A single such attempt suffices to avoid the path, since each
// further attempt would delay its request by the same time.
func (p *PathMonitor) RecordUnreachable(now time.Time) {
	p.sum = max(p.sum, pathThresholdNats)
	p.RecordLoss(now)
}

// RecordMessage records any other message from the instance, such as gossip.
func (p *PathMonitor) RecordMessage(now time.Time) { p.lastMessageAt = now }

// RecordIndirectAck records that, according to other instances, the instance receives
// messages from this ingress.
func (p *PathMonitor) RecordIndirectAck(now time.Time) { p.lastIndirectAckAt = now }

// ShouldAvoid reports whether the path should be avoided and is not avoided yet.
func (p *PathMonitor) ShouldAvoid() bool {
	return !p.avoided && p.sum >= pathThresholdNats
}

// Avoid starts to avoid the path. The caller must first check with MayEject that the
// healthy capacity that this ingress can then still reach stays at or above the floor,
// since the floor also applies to each single ingress.
func (p *PathMonitor) Avoid(now time.Time) {
	p.avoided = true
	p.extendAvoidance(now)
}

func (p *PathMonitor) extendAvoidance(now time.Time) {
	policy := Policy{BaseEjectionTime: pathBaseAvoidTime, MaxEjectionTime: pathMaxAvoidTime, BackoffDecayInterval: DefaultBackoffDecayInterval}
	p.avoidUntil = now.Add(p.backoff.nextDuration(&policy, now))
	p.probeInFlight = false
}

// Usable reports whether an attempt may take the path. After the avoid time, one attempt
// at a time may probe the path; BeginProbe marks that attempt. If it has not ended after
// pathBaseAvoidTime, another attempt may probe the path.
func (p *PathMonitor) Usable(now time.Time) bool {
	if !p.avoided {
		return true
	}
	if now.Before(p.avoidUntil) {
		return false
	}
	return !p.probeInFlight || now.Sub(p.probeStartedAt) > pathBaseAvoidTime
}

// BeginProbe marks that an attempt probes an avoided path.
func (p *PathMonitor) BeginProbe(now time.Time) {
	p.probeInFlight = true
	p.probeStartedAt = now
}

// Status returns whether the path is avoided and in which direction it fails.
func (p *PathMonitor) Status(now time.Time) PathStatus {
	switch {
	case !p.avoided:
		return PathUsable
	case now.Sub(p.lastMessageAt) < messageTTL:
		return PathOutboundFailed
	case now.Sub(p.lastIndirectAckAt) < messageTTL:
		return PathInboundFailed
	default:
		return PathUnresponsive
	}
}
