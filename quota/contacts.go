package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// KeepAliveInterval is how often an ingress that uses tokens calls the owner at
	// least: a third of contactLimit, so that one lost call proves nothing.
	KeepAliveInterval = 250 * time.Millisecond
	// contactLimit is the silence after which an ingress is believed to be out of
	// reach: two of its calls in a row are missing, and the next is late.
	contactLimit = 700 * time.Millisecond
	// maxReserved is the part of a rate that may be kept for ingresses out of reach;
	// the rest lets the others go on.
	maxReserved = 0.9
	// reserveInterval is how often the reserved part is computed anew, since that takes
	// time in proportion to the ingresses.
	reserveInterval = 50 * time.Millisecond
)

// contacts is what an owner knows of the ingresses that reach it. Those that have
// fallen silent may be bridging (see Bridge), so the owner leaves them their part of
// each rate. Without that, an account that presses on both sides of a cut gets its
// whole rate on one and what it had on the other.
//
// It assumes that an account's requests are spread over the ingresses alike.
type contacts struct {
	heard    map[fleetconfig.InstanceID]time.Time
	reserved float64
	computed time.Time
}

func newContacts() contacts {
	return contacts{heard: make(map[fleetconfig.InstanceID]time.Time)}
}

// forget takes out an ingress that bridges nothing when it falls silent.
func (c *contacts) forget(from fleetconfig.InstanceID) { delete(c.heard, from) }

// hear records a call of an ingress.
func (c *contacts) hear(from fleetconfig.InstanceID, now time.Time) { c.heard[from] = now }

// reserve returns the part of each rate, from 0 to maxReserved, that ingresses out of
// reach may be using. span is how long they may bridge.
func (c *contacts) reserve(span time.Duration, now time.Time) float64 {
	if !c.computed.IsZero() && now.Sub(c.computed) < reserveInterval {
		return c.reserved
	}
	c.computed = now
	missing := 0
	for id, heard := range c.heard {
		switch silent := now.Sub(heard); {
		case silent > contactLimit+span:
			delete(c.heard, id)
		case silent > contactLimit:
			missing++
		}
	}
	c.reserved = 0
	if missing > 0 {
		c.reserved = min(maxReserved, float64(missing)/float64(len(c.heard)))
	}
	return c.reserved
}
