package ingress

import (
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
)

// maxPeerClocks is the maximum number of instances whose clocks are tracked. Before
// the clock of one more instance is recorded, all recorded clocks are discarded; each
// is recorded again from a later response of its instance.
const maxPeerClocks = 4096

// peerClocks tracks the clocks of backend proxies, so that the dispatch deadline of
// a request can be converted to the clock of the backend proxy that receives it. It
// is safe for concurrent use.
type peerClocks struct {
	// announced returns the clock of an instance whose process is newer than that of the
	// given incarnation, as far as membership knows. Nil means that it knows none.
	announced func(instance fleetconfig.InstanceID, known uint64, now time.Time) (quota.PeerClock, bool)
	// mu guards clocks and the entries in it.
	mu     sync.Mutex
	clocks map[fleetconfig.InstanceID]*quota.PeerClock
}

func newPeerClocks(announced func(fleetconfig.InstanceID, uint64, time.Time) (quota.PeerClock, bool)) *peerClocks {
	return &peerClocks{announced: announced, clocks: make(map[fleetconfig.InstanceID]*quota.PeerClock)}
}

// observe records the clock reading from a response of the instance. A reading that
// cannot be parsed is ignored.
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

// peerDispatchDeadline returns the dispatch deadline of the exchange as a reading of
// the instance's clock, or an empty string if that clock is not known yet.
func (p *peerClocks) peerDispatchDeadline(instance fleetconfig.InstanceID, exchange *pipeline.Exchange, now time.Time) string {
	clock := p.clockOf(instance, now)
	deadline, ok := clock.DispatchDeadline(quota.Token{Expires: localDispatchDeadline(exchange)})
	if !ok {
		return ""
	}
	return backendproxy.FormatClockReading(deadline)
}

// clockOf returns what is known about the clock of an instance: from its responses or, for a
// process that has sent none, from membership.
func (p *peerClocks) clockOf(instance fleetconfig.InstanceID, now time.Time) quota.PeerClock {
	var known quota.PeerClock
	p.mu.Lock()
	if clock := p.clocks[instance]; clock != nil {
		known = *clock
	}
	p.mu.Unlock()
	if p.announced != nil {
		if newer, found := p.announced(instance, known.Incarnation(), now); found {
			return newer
		}
	}
	return known
}

// localDispatchDeadline returns the dispatch deadline of the exchange by this
// instance's clock: the earliest of the request deadline, the expiry of the quota
// token, and the time until which the ingress has confirmed the key as current.
// Because the ingress has confirmed the key, the backend proxy does not need a
// current configuration itself and continues to serve while control is unreachable.
func localDispatchDeadline(exchange *pipeline.Exchange) time.Time {
	limit := exchange.Deadline
	if !exchange.TokenExpires.IsZero() && exchange.TokenExpires.Before(limit) {
		limit = exchange.TokenExpires
	}
	if !exchange.CurrentUntil.IsZero() && exchange.CurrentUntil.Before(limit) {
		limit = exchange.CurrentUntil
	}
	return limit
}
