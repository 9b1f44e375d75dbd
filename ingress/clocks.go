package ingress

import (
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
)

// maxPeerClocks bounds the clocks of other instances that are remembered.
const maxPeerClocks = 4096

// peerClocks remembers the clocks of backend proxies, so that the time until which
// a request may be dispatched can be told in their own terms. It is safe for
// concurrent use.
type peerClocks struct {
	mu     sync.Mutex
	clocks map[fleetconfig.InstanceID]*quota.PeerClock
}

func newPeerClocks() *peerClocks {
	return &peerClocks{clocks: make(map[fleetconfig.InstanceID]*quota.PeerClock)}
}

// observe takes in the reading that a response of the instance carried.
func (p *peerClocks) observe(instance fleetconfig.InstanceID, text string, now time.Time) {
	reading, ok := backendproxy.ParseClockReading(text)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	clock := p.clocks[instance]
	if clock == nil {
		if len(p.clocks) >= maxPeerClocks {
			clear(p.clocks)
		}
		clock = &quota.PeerClock{}
		p.clocks[instance] = clock
	}
	clock.Observe(reading, now)
}

// dispatchBy returns the instance's own reading at which the exchange must have
// been dispatched, empty while its clock is not known.
func (p *peerClocks) dispatchBy(instance fleetconfig.InstanceID, exchange *pipeline.Exchange) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	clock := p.clocks[instance]
	if clock == nil {
		return ""
	}
	ends, ok := clock.DispatchDeadline(quota.Token{Expires: dispatchLimit(exchange)})
	if !ok {
		return ""
	}
	return backendproxy.FormatClockReading(ends)
}

// dispatchLimit is when the exchange must have been dispatched, by this instance's
// clock: at its deadline, when its token expires, or when this instance can no
// longer vouch for its key. The backend proxy need not be current itself then, so
// that it serves on while it is cut off from control.
func dispatchLimit(exchange *pipeline.Exchange) time.Time {
	limit := exchange.Deadline
	if !exchange.TokenExpires.IsZero() && exchange.TokenExpires.Before(limit) {
		limit = exchange.TokenExpires
	}
	if !exchange.CurrentUntil.IsZero() && exchange.CurrentUntil.Before(limit) {
		limit = exchange.CurrentUntil
	}
	return limit
}
