package backendproxy

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits on the fields of an announcement.
const (
	// MinLifetime bounds the announced lifetime from below.
	MinLifetime = 500 * time.Millisecond
	// MaxLifetime bounds the announced lifetime, and so how long a backend server that
	// stops renewing stays registered.
	MaxLifetime = time.Minute
	// MaxWarmUp bounds the announced warm-up time.
	MaxWarmUp = time.Hour
	// maxAnnouncedSlots bounds the announced number of slots.
	maxAnnouncedSlots = 100_000
)

// Announcement is the registration that a backend server sends, and repeats to renew it.
type Announcement struct {
	// Service is the service that the backend server provides.
	Service fleetconfig.ServiceName `json:"service"`
	// Address is the IP address and port that the backend server listens on: a loopback
	// address or the instance's own.
	Address string `json:"address"`
	// Slots is how many requests the backend server runs concurrently.
	Slots uint32 `json:"slots"`
	// State is "ready" or "draining".
	State string `json:"state"`
	// LifetimeMillis is how long the announcement is valid unless it is renewed, in
	// milliseconds.
	LifetimeMillis int64 `json:"lifetime_ms"`
	// ProcessStartUnixMilli is the start time of the backend server's process, in Unix
	// milliseconds. It distinguishes restarts. Zero when the server does not report it.
	ProcessStartUnixMilli int64 `json:"born_unix_ms,omitempty"`
	// Sequence increases with each announcement of one process, so that announcements
	// that arrive out of order are recognized. Zero when the server does not report it.
	Sequence uint64 `json:"sequence,omitempty"`
	// WarmUpMillis is the time remaining until the backend server, slow after its start,
	// reaches its full speed, in milliseconds. Nil when the server does not report it.
	WarmUpMillis *int64 `json:"cold_ms,omitempty"`
}

// warmUpEndsAt returns when the warm-up of the backend server ends, or the zero time when
// the server does not report it.
func (a *Announcement) warmUpEndsAt(now time.Time) time.Time {
	if a.WarmUpMillis == nil {
		return time.Time{}
	}
	return now.Add(time.Duration(*a.WarmUpMillis) * time.Millisecond)
}

// isNewerThan reports whether the announcement is newer than another one of the same
// backend server that arrived before it. Of two announcements of one process that both have no
// sequence, the one that arrives later counts as newer.
func (a *Announcement) isNewerThan(other *Announcement) bool {
	if a.ProcessStartUnixMilli != other.ProcessStartUnixMilli {
		return a.ProcessStartUnixMilli > other.ProcessStartUnixMilli
	}
	return a.Sequence > other.Sequence || (a.Sequence == 0 && other.Sequence == 0)
}

// isOrdered reports whether the announcement says which process sent it, or when.
func (a *Announcement) isOrdered() bool {
	return a.ProcessStartUnixMilli != 0 || a.Sequence != 0
}

// States of an announcement.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// differs reports whether the next announcement changes anything besides the lifetime, the
// sequence and the warm-up time. If so, the servers are published again.
func (a *Announcement) differs(next *Announcement) bool {
	return a.Service != next.Service || a.Address != next.Address || a.Slots != next.Slots ||
		a.State != next.State || a.ProcessStartUnixMilli != next.ProcessStartUnixMilli
}

func (a *Announcement) validate(id fleetconfig.BackendServerID) error {
	switch {
	case id == "" || len(id) > 64:
		return errors.New("id must have 1 to 64 characters")
	case a.Service == "" || len(a.Service) > 64:
		return errors.New("service must have 1 to 64 characters")
	case a.Slots < 1 || a.Slots > maxAnnouncedSlots:
		return errors.Newf("slots must be from 1 to %d", maxAnnouncedSlots)
	case a.State != StateReady && a.State != StateDraining:
		return errors.Newf("state must be %q or %q", StateReady, StateDraining)
	}
	lifetime := time.Duration(a.LifetimeMillis) * time.Millisecond
	if lifetime < MinLifetime || lifetime > MaxLifetime {
		return errors.Newf("lifetime_ms must be from %d to %d", MinLifetime.Milliseconds(), MaxLifetime.Milliseconds())
	}
	if a.WarmUpMillis != nil && (*a.WarmUpMillis < 0 || *a.WarmUpMillis > MaxWarmUp.Milliseconds()) {
		return errors.Newf("cold_ms must be from 0 to %d", MaxWarmUp.Milliseconds())
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return errors.Newf("address %q must be an IP address and a port", a.Address)
	}
	return nil
}
