package configsync

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// standInsAtOnce is how many stand-ins are asked in a round while nobody helps: two
	// control instances, one of which may be out of reach, and a neighbour.
	standInsAtOnce = 3
	// parentRetry is how often a parent that stopped helping is asked beside its
	// stand-in. It bounds how long control carries what the tree should.
	parentRetry = 2 * time.Second
	// leaderNewsAge is how old the news of a leader of control get: a heartbeat of
	// control of 250 ms, and as much for its answers on a busy machine.
	leaderNewsAge = 500 * time.Millisecond
)

// freshFor returns how old the news of the one that an instance polls may be. Each
// level of the tree adds the interval at which it polls the one above. An instance
// that waited longer might miss a change for longer than the others need to take it.
func freshFor(level int, interval time.Duration) time.Duration {
	if level == 0 {
		return leaderNewsAge
	}
	return leaderNewsAge + min(interval, holderPollInterval) + time.Duration(level-1)*interval
}

// upstream decides whom an instance polls for the configuration: its parent in the
// tree, and a stand-in while the parent's news are older than its place in the tree
// explains, because it is cut off itself, has died or is slow. It does no I/O.
type upstream struct {
	// candidates are the parent and then its stand-ins, in the order in which to try
	// them.
	candidates []fleetconfig.InstanceAddress
	// fresh is the age up to which news help.
	fresh time.Duration
	// atOnce is how many stand-ins to ask in a round while nobody helps.
	atOnce int
	// lost says that the parent does not help. It was last asked at askedAt.
	lost    bool
	askedAt time.Time
	// standIn is the stand-in that helps, or empty. Next counts those that were asked
	// while there was none. It moves on without waiting for answers, since one that is
	// cut off holds its call until the time of the call is over.
	standIn fleetconfig.InstanceID
	next    int
}

// place sets whom the instance may poll. Another parent begins as one that helps.
func (u *upstream) place(candidates []fleetconfig.InstanceAddress, fresh time.Duration, atOnce int) {
	if len(candidates) == 0 || len(u.candidates) == 0 || candidates[0].ID != u.candidates[0].ID {
		*u = upstream{}
	}
	u.candidates, u.fresh, u.atOnce = candidates, fresh, atOnce
}

// helper returns the instance that is polled because its news are fresh, or empty while
// there is none.
func (u *upstream) helper() fleetconfig.InstanceID {
	switch {
	case len(u.candidates) == 0:
		return ""
	case u.lost:
		return u.standIn
	default:
		return u.candidates[0].ID
	}
}

// targets returns whom to poll in this round.
func (u *upstream) targets(now time.Time) []fleetconfig.InstanceAddress {
	if len(u.candidates) == 0 {
		return nil
	}
	parent, standIns := u.candidates[0], u.candidates[1:]
	if !u.lost || len(standIns) == 0 {
		return []fleetconfig.InstanceAddress{parent}
	}
	var targets []fleetconfig.InstanceAddress
	if current := slices.IndexFunc(standIns, func(a fleetconfig.InstanceAddress) bool { return a.ID == u.standIn }); current >= 0 {
		targets = append(targets, standIns[current])
	} else {
		u.standIn = ""
		targets = u.nextStandIns()
	}
	if now.Sub(u.askedAt) >= parentRetry {
		u.askedAt = now
		targets = append(targets, parent)
	}
	return targets
}

// heard takes in the age of what an instance knows, and returns whom to ask at once.
func (u *upstream) heard(from fleetconfig.InstanceID, age time.Duration, now time.Time) []fleetconfig.InstanceAddress {
	if age > u.fresh {
		return u.noHelp(from, now)
	}
	switch {
	case len(u.candidates) == 0:
	case from == u.candidates[0].ID:
		u.lost, u.standIn, u.next = false, "", 0
	case u.lost && u.standIn == "":
		u.standIn = from
	}
	return nil
}

// noHelp takes in that an instance did not answer or knows nothing new, and returns
// whom to ask at once.
func (u *upstream) noHelp(from fleetconfig.InstanceID, now time.Time) []fleetconfig.InstanceAddress {
	switch {
	case len(u.candidates) == 0:
	case from == u.candidates[0].ID && !u.lost:
		u.lost, u.askedAt = true, now
		return u.nextStandIns()
	case u.lost && from == u.standIn:
		u.standIn = ""
		return u.nextStandIns()
	}
	return nil
}

// nextStandIns returns the next stand-ins to ask, all of them by turns.
func (u *upstream) nextStandIns() []fleetconfig.InstanceAddress {
	standIns := u.candidates[1:]
	var chosen []fleetconfig.InstanceAddress
	for range min(u.atOnce, len(standIns)) {
		chosen = append(chosen, standIns[u.next%len(standIns)])
		u.next++
	}
	return chosen
}
