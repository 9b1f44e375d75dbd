package configsync

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// fallbacksPerRound is how many stand-ins are asked in a round while nobody helps: two
	// control instances, one of which may be out of reach, and a neighbour.
	fallbacksPerRound = 3
	// parentRetryInterval is how often a parent that stopped helping is asked beside its
	// stand-in. It bounds how long control carries what the tree should.
	parentRetryInterval = 2 * time.Second
	// maxLeaderAttestationAge is how old the news of a leader of control get: a heartbeat of
	// control of 250 ms, and as much for its answers on a busy machine.
	maxLeaderAttestationAge = 500 * time.Millisecond
)

// maxUpstreamAge returns how old the news of the one that an instance polls may be. Each
// level of the tree adds the interval at which it polls the one above. An instance
// that waited longer might miss a change for longer than the others need to take it.
func maxUpstreamAge(level int, interval time.Duration) time.Duration {
	if level == 0 {
		return maxLeaderAttestationAge
	}
	return maxLeaderAttestationAge + min(interval, holderPollInterval) + time.Duration(level-1)*interval
}

// upstream decides whom an instance polls for the configuration: its parent in the
// tree, and a stand-in while the parent's news are older than its place in the tree
// explains, because it is cut off itself, has died or is slow. It does no I/O.
type upstream struct {
	// candidates are the parent and then its stand-ins, in the order in which to try
	// them.
	candidates []fleetconfig.InstanceAddress
	// maxAge is the age up to which news help.
	maxAge time.Duration
	// perRound is how many stand-ins to ask in a round while nobody helps.
	perRound int
	// parentFailed says that the parent does not help. It was last asked at askedAt.
	parentFailed   bool
	parentPolledAt time.Time
	// fallback is the stand-in that helps, or empty. Next counts those that were asked
	// while there was none. It moves on without waiting for answers, since one that is
	// cut off holds its call until the time of the call is over.
	fallback       fleetconfig.InstanceID
	fallbacksTried int
}

// setCandidates sets whom the instance may poll. Another parent begins as one that helps.
func (u *upstream) setCandidates(candidates []fleetconfig.InstanceAddress, fresh time.Duration, atOnce int) {
	if len(candidates) == 0 || len(u.candidates) == 0 || candidates[0].ID != u.candidates[0].ID {
		*u = upstream{}
	}
	u.candidates, u.maxAge, u.perRound = candidates, fresh, atOnce
}

// active returns the instance that is polled because its news are fresh, or empty while
// there is none.
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

// targets returns whom to poll in this round.
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

// handleAge takes in the age of what an instance knows, and returns whom to ask at once.
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

// handleFailure takes in that an instance did not answer or knows nothing new, and returns
// whom to ask at once.
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

// nextFallbacks returns the next stand-ins to ask, all of them by turns.
func (u *upstream) nextFallbacks() []fleetconfig.InstanceAddress {
	fallbacks := u.candidates[1:]
	var chosen []fleetconfig.InstanceAddress
	for range min(u.perRound, len(fallbacks)) {
		chosen = append(chosen, fallbacks[u.fallbacksTried%len(fallbacks)])
		u.fallbacksTried++
	}
	return chosen
}
