package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/shard"
)

// ClockReading is a reading of the clock of one process. Readings of different processes,
// or of different incarnations of one process, cannot be compared.
type ClockReading struct {
	// Incarnation identifies the incarnation of the process. It increases with each start of
	// an instance.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Elapsed is the time since the process started its clock.
	Elapsed time.Duration `cbor:"2,keyasint"`
}

// DispatchClock is the clock of an instance with backend servers. The instance sends
// readings of it to the ingresses. An ingress converts the expiry of a token into a reading
// of this clock and sends that reading with the request (see PeerClock); the instance
// compares it with the current reading.
type DispatchClock struct {
	incarnation uint64
	startedAt   time.Time
}

// NewDispatchClock returns the clock of a process of the given incarnation that started at
// startedAt.
func NewDispatchClock(incarnation uint64, startedAt time.Time) DispatchClock {
	return DispatchClock{incarnation: incarnation, startedAt: startedAt}
}

// Reading returns the current reading. Every response to an ingress carries one.
func (c DispatchClock) Reading(now time.Time) ClockReading {
	return ClockReading{Incarnation: c.incarnation, Elapsed: now.Sub(c.startedAt)}
}

// Allows reports whether a token that expires at the given reading may be spent now.
func (c DispatchClock) Allows(expires ClockReading, now time.Time) bool {
	return expires.Incarnation == c.incarnation && c.Reading(now).Elapsed < expires.Elapsed
}

// PeerClock is what an ingress knows about the clock of another instance. It converts the
// expiry of a token into a reading of that clock. Neither a slow network nor a paused
// process lengthens the token's lifetime: this ingress receives a reading after the peer
// took it, so the converted expiry is never late.
type PeerClock struct {
	reading    ClockReading
	observedAt time.Time
}

// Observe records a reading that has just been received from the peer. It ignores a reading
// that is older than the recorded one of the same incarnation; a reading of another
// incarnation always replaces the recorded one. The older the recorded reading is, the more
// it shortens token lifetimes: by its age multiplied by 2 × shard.MaxClockDrift.
func (p *PeerClock) Observe(reading ClockReading, now time.Time) {
	if reading.Incarnation == p.reading.Incarnation && reading.Elapsed < p.reading.Elapsed {
		return
	}
	p.reading = reading
	p.observedAt = now
}

// Incarnation returns the incarnation of the peer's process, or zero if no reading is known.
func (p *PeerClock) Incarnation() uint64 { return p.reading.Incarnation }

// DispatchDeadline returns the time by the peer's clock before which the request of the
// token must be dispatched. It returns false while no reading of the peer is known.
func (p *PeerClock) DispatchDeadline(token Token) (ClockReading, bool) {
	if p.observedAt.IsZero() {
		return ClockReading{}, false
	}
	remaining := shard.SubtractClockDrift(token.Expires.Sub(p.observedAt))
	return ClockReading{Incarnation: p.reading.Incarnation, Elapsed: p.reading.Elapsed + remaining}, true
}
