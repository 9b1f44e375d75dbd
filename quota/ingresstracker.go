package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// KeepAliveInterval is the longest time between two calls to the owner by an ingress
	// that uses tokens. It is about a third of ingressTimeout, so that one lost call does
	// not make the ingress count as unreachable.
	KeepAliveInterval = 250 * time.Millisecond
	// ingressTimeout is how long after its last call an ingress is taken to be unreachable.
	// By then two calls in a row are missing and the third is almost due.
	ingressTimeout = 700 * time.Millisecond
	// maxReservedShare limits the share of a rate that is reserved for unreachable
	// ingresses; the reachable ones use the rest.
	maxReservedShare = 0.9
	// reserveInterval is how often the reserved share is recomputed, because each
	// computation takes time proportional to the number of ingresses.
	reserveInterval = 50 * time.Millisecond
)

// ingressTracker tracks which ingresses reach an owner. An ingress that has stopped calling
// may be serving requests from its FallbackLimiter, so the owner reserves a share of each
// rate for it. Without the reservation, an account that sends more than its rate on both
// sides of a network partition gets its whole rate on one side, plus its previous use on
// the other.
//
// It assumes that an account's requests are spread evenly over the ingresses.
type ingressTracker struct {
	lastCall map[fleetconfig.InstanceID]time.Time
	// share is the reserved share, computed at computedAt.
	share      float64
	computedAt time.Time
}

func newIngressTracker() ingressTracker {
	return ingressTracker{lastCall: make(map[fleetconfig.InstanceID]time.Time)}
}

// remove removes an ingress that will not use its FallbackLimiter when it stops calling.
func (t *ingressTracker) remove(from fleetconfig.InstanceID) { delete(t.lastCall, from) }

// recordCall records a call of an ingress.
func (t *ingressTracker) recordCall(from fleetconfig.InstanceID, now time.Time) {
	t.lastCall[from] = now
}

// reservedShare returns the share of each rate, from 0 to maxReservedShare, that
// unreachable ingresses may be using. maxFallback is how long their fallback can last.
func (t *ingressTracker) reservedShare(maxFallback time.Duration, now time.Time) float64 {
	if !t.computedAt.IsZero() && now.Sub(t.computedAt) < reserveInterval {
		return t.share
	}
	t.computedAt = now
	unreachable := 0
	for id, calledAt := range t.lastCall {
		switch silence := now.Sub(calledAt); {
		case silence > ingressTimeout+maxFallback:
			delete(t.lastCall, id)
		case silence > ingressTimeout:
			unreachable++
		}
	}
	t.share = 0
	if unreachable > 0 {
		t.share = min(maxReservedShare, float64(unreachable)/float64(len(t.lastCall)))
	}
	return t.share
}
