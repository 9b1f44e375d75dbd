package configsync

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// fallbacksPerRound is the number of fallbacks to poll in a round while no instance
	// is usable. Since control instances and neighbours of the parent alternate, the first
	// round polls two control instances, as one may be unreachable, and a neighbour.
	fallbacksPerRound = 3
	// parentRetryInterval is the interval at which a failed parent is polled in
	// addition to its fallback. It limits how long control instances are polled in place
	// of a parent that is usable again.
	parentRetryInterval = 2 * time.Second
	// maxLeaderAttestationAge is the maximum age of an attestation from the leader of
	// control: a heartbeat interval of 250 ms, and as much again for the replies to
	// heartbeats on a busy machine.
	maxLeaderAttestationAge = 500 * time.Millisecond
)

// maxUpstreamAge returns the maximum age of an attestation from the upstream of an
// instance on the given level. Each level of the tree adds the interval at which it
// polls the level above. With a larger maximum, an instance could keep an outdated parent
// until after a change is in force on all other instances.
func maxUpstreamAge(level int, interval time.Duration) time.Duration {
	if level == 0 {
		return maxLeaderAttestationAge
	}
	return maxLeaderAttestationAge + min(interval, holderPollInterval) + time.Duration(level-1)*interval
}

// upstream selects the instances that an instance polls for the configuration: its
// parent in the tree, or a fallback while the parent is unusable. The parent is
// unusable if it does not reply, or if its attestation is older than maxUpstreamAge, for
// example because the parent is itself partitioned or slow. The type performs no I/O and
// is guarded by Service.mu.
type upstream struct {
	// candidates are the parent, followed by its fallbacks in order of preference.
	candidates []fleetconfig.InstanceAddress
	// maxAge is the maximum age of an attestation from a usable instance.
	maxAge time.Duration
	// perRound is the number of fallbacks to poll in a round while no instance is
	// usable.
	perRound int
	// parentFailed reports whether the parent is unusable. It was last polled at
	// parentPolledAt.
	parentFailed   bool
	parentPolledAt time.Time
	// fallback is the usable fallback, or empty. fallbacksTried counts the fallbacks
	// that were polled while there was none. It advances without waiting for replies,
	// because a call to a partitioned instance blocks until its timeout.
	fallback       fleetconfig.InstanceID
	fallbacksTried int
}

// setCandidates sets the instances that may be polled. A new parent counts as usable at
// first.
func (u *upstream) setCandidates(candidates []fleetconfig.InstanceAddress, maxAge time.Duration, perRound int) {
	if len(candidates) == 0 || len(u.candidates) == 0 || candidates[0].ID != u.candidates[0].ID {
		*u = upstream{}
	}
	u.candidates, u.maxAge, u.perRound = candidates, maxAge, perRound
}

// active returns the instance that is in use because its attestation is recent, or
// empty if there is none.
func (u *upstream) active() fleetconfig.InstanceID {
	switch {
	case len(u.candidates) == 0:
		return ""
	case u.parentFailed:
		return u.fallback
	default:
		return u.candidates[0].ID
	}
}

// isTrial reports whether a poll of an instance only serves to choose the upstream: the instance
// is a candidate that is not in use.
func (u *upstream) isTrial(id fleetconfig.InstanceID) bool {
	return u.active() != id && slices.ContainsFunc(u.candidates, func(a fleetconfig.InstanceAddress) bool { return a.ID == id })
}

// targets returns the instances to poll in this round.
func (u *upstream) targets(now time.Time) []fleetconfig.InstanceAddress {
	if len(u.candidates) == 0 {
		return nil
	}
	parent, fallbacks := u.candidates[0], u.candidates[1:]
	if !u.parentFailed || len(fallbacks) == 0 {
		return []fleetconfig.InstanceAddress{parent}
	}
	var targets []fleetconfig.InstanceAddress
	if current := slices.IndexFunc(fallbacks, func(a fleetconfig.InstanceAddress) bool { return a.ID == u.fallback }); current >= 0 {
		targets = append(targets, fallbacks[current])
	} else {
		u.fallback = ""
		targets = u.nextFallbacks()
	}
	if now.Sub(u.parentPolledAt) >= parentRetryInterval {
		u.parentPolledAt = now
		targets = append(targets, parent)
	}
	return targets
}

// handleAge processes the age of the attestation of an instance and returns the
// instances to poll at once.
func (u *upstream) handleAge(from fleetconfig.InstanceID, age time.Duration, now time.Time) []fleetconfig.InstanceAddress {
	if age > u.maxAge {
		return u.handleFailure(from, now)
	}
	switch {
	case len(u.candidates) == 0:
	case from == u.candidates[0].ID:
		u.parentFailed, u.fallback, u.fallbacksTried = false, "", 0
	case u.parentFailed && u.fallback == "":
		u.fallback = from
	}
	return nil
}

// handleFailure records that an instance did not reply or has no recent attestation,
// and returns the instances to poll at once.
func (u *upstream) handleFailure(from fleetconfig.InstanceID, now time.Time) []fleetconfig.InstanceAddress {
	switch {
	case len(u.candidates) == 0:
	case from == u.candidates[0].ID && !u.parentFailed:
		u.parentFailed, u.parentPolledAt = true, now
		return u.nextFallbacks()
	case u.parentFailed && from == u.fallback:
		u.fallback = ""
		return u.nextFallbacks()
	}
	return nil
}

// nextFallbacks returns the next fallbacks to poll, going through all of them in turn.
func (u *upstream) nextFallbacks() []fleetconfig.InstanceAddress {
	fallbacks := u.candidates[1:]
	var chosen []fleetconfig.InstanceAddress
	for range min(u.perRound, len(fallbacks)) {
		chosen = append(chosen, fallbacks[u.fallbacksTried%len(fallbacks)])
		u.fallbacksTried++
	}
	return chosen
}
