package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/shard"
)

// ClockReading is a reading of one process's clock. Readings of two processes, or
// of two lives of one, cannot be compared.
type ClockReading struct {
	// Incarnation is a random number of the process.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Elapsed is the time since the process started its clock.
	Elapsed time.Duration `cbor:"2,keyasint"`
}

// DispatchClock is the clock of an instance with backend servers. It tells other
// instances its readings and judges the tokens that come back with one.
type DispatchClock struct {
	incarnation uint64
	startedAt   time.Time
}

// NewDispatchClock returns a clock that starts now.
func NewDispatchClock(incarnation uint64, now time.Time) DispatchClock {
	return DispatchClock{incarnation: incarnation, startedAt: now}
}

// Reading returns the present reading. Every response to an ingress carries one.
func (c DispatchClock) Reading(now time.Time) ClockReading {
	return ClockReading{Incarnation: c.incarnation, Elapsed: now.Sub(c.startedAt)}
}

// Allows reports whether a token that ends at the given reading may be spent now.
func (c DispatchClock) Allows(ends ClockReading, now time.Time) bool {
	return ends.Incarnation == c.incarnation && c.Reading(now).Elapsed < ends.Elapsed
}

// PeerClock is what an ingress knows of the clock of another instance. It turns
// the expiry of a token into a reading of that clock, so that neither a slow
// network nor a frozen process lengthens the token's life: the reading was taken
// before it came here, so the expiry it yields is never late.
type PeerClock struct {
	reading    ClockReading
	observedAt time.Time
}

// Observe records a reading that has just come from the peer. Only the newest one
// is kept; an old one costs 2 × shard.MaxClockDrift of its age.
func (p *PeerClock) Observe(reading ClockReading, now time.Time) {
	if reading.Incarnation == p.reading.Incarnation && reading.Elapsed < p.reading.Elapsed {
		return
	}
	p.reading = reading
	p.observedAt = now
}

// DispatchDeadline returns the peer's reading at which the token must have been dispatched. It
// is false while no reading of the peer is known.
func (p *PeerClock) DispatchDeadline(token Token) (ClockReading, bool) {
	if p.observedAt.IsZero() {
		return ClockReading{}, false
	}
	left := shard.SubtractClockDrift(token.Expires.Sub(p.observedAt))
	return ClockReading{Incarnation: p.reading.Incarnation, Elapsed: p.reading.Elapsed + left}, true
}
