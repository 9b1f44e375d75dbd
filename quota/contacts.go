package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// KeepAliveInterval is how often an ingress that uses tokens calls the owner at
	// least: a third of contactLimit, so that one lost call proves nothing.
	KeepAliveInterval = 250 * time.Millisecond
	// ingressTimeout is the silence after which an ingress is believed to be out of
	// reach: two of its calls in a row are missing, and the next is late.
	ingressTimeout = 700 * time.Millisecond
	// maxReservedShare is the part of a rate that may be kept for ingresses out of reach;
	// the rest lets the others go on.
	maxReservedShare = 0.9
	// reserveInterval is how often the reserved part is computed anew, since that takes
	// time in proportion to the ingresses.
	reserveInterval = 50 * time.Millisecond
)

// ingressTracker is what an owner knows of the ingresses that reach it. Those that have
// fallen silent may be bridging (see Bridge), so the owner leaves them their part of
// each rate. Without that, an account that presses on both sides of a cut gets its
// whole rate on one and what it had on the other.
//
// It assumes that an account's requests are spread over the ingresses alike.
type ingressTracker struct {
	lastCall   map[fleetconfig.InstanceID]time.Time
	share      float64
	computedAt time.Time
}

func newIngressTracker() ingressTracker {
	return ingressTracker{lastCall: make(map[fleetconfig.InstanceID]time.Time)}
}

// remove takes out an ingress that bridges nothing when it falls silent.
func (c *ingressTracker) remove(from fleetconfig.InstanceID) { delete(c.lastCall, from) }

// recordCall records a call of an ingress.
func (c *ingressTracker) recordCall(from fleetconfig.InstanceID, now time.Time) {
	c.lastCall[from] = now
}

// reservedShare returns the part of each rate, from 0 to maxReserved, that ingresses out of
// reach may be using. span is how long they may bridge.
func (c *ingressTracker) reservedShare(span time.Duration, now time.Time) float64 {
	if !c.computedAt.IsZero() && now.Sub(c.computedAt) < reserveInterval {
		return c.share
	}
	c.computedAt = now
	missing := 0
	for id, heard := range c.lastCall {
		switch silent := now.Sub(heard); {
		case silent > ingressTimeout+span:
			delete(c.lastCall, id)
		case silent > ingressTimeout:
			missing++
		}
	}
	c.share = 0
	if missing > 0 {
		c.share = min(maxReservedShare, float64(missing)/float64(len(c.lastCall)))
	}
	return c.share
}
