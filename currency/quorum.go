package currency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxHeldVersions is the maximum number of versions that are stored per holder, each
// with the time since when the holder has held it. For a version that was discarded,
// the time of the next later stored version is used.
const maxHeldVersions = 8

// heldVersion states that a holder has held a version, or a later one, since the given
// time or longer.
type heldVersion struct {
	version uint64
	since   time.Time
}

// holderState is the known state of one holder.
type holderState struct {
	id          fleetconfig.InstanceID
	incarnation uint64
	ready       bool
	// versions are ordered by version and time. The last element has the latest
	// version that the holder has reported.
	versions []heldVersion
	// sentAt is when the latest poll to which the holder replied was sent.
	sentAt time.Time
}

// quorum collects the replies of the holders. It has at most one state for each holder
// and former holder of a revision, 14 at most.
type quorum struct {
	states []holderState
}

// handleReply processes the reply, received at now, to a poll that was sent at
// sentAt.
//
// Invariant: for each element v of state.versions whose v.since is not after
// state.sentAt, the recorded incarnation of the holder held v.version or a later one
// from v.since until some time after state.sentAt. When the incarnation changes,
// state.versions is cleared. A new element gets the time now, so that it counts only
// after the reply to a later poll.
func (q *quorum) handleReply(id fleetconfig.InstanceID, reply *PollReply, sentAt, now time.Time) {
	at := slices.IndexFunc(q.states, func(state holderState) bool { return state.id == id })
	if at < 0 {
		q.states = append(q.states, holderState{id: id, incarnation: reply.Incarnation})
		at = len(q.states) - 1
	}
	state := &q.states[at]
	if state.incarnation != reply.Incarnation {
		if sentAt.Before(state.sentAt) {
			return
		}
		*state = holderState{id: id, incarnation: reply.Incarnation}
	}
	state.ready = state.ready || reply.Ready
	if sentAt.After(state.sentAt) {
		state.sentAt = sentAt
	}
	if len(state.versions) == 0 || reply.Held > state.held() {
		state.versions = append(state.versions, heldVersion{version: reply.Held, since: now})
	}
	if len(state.versions) > maxHeldVersions {
		state.versions = slices.Delete(state.versions, 0, 1)
	}
}

// retain removes the states of all but the holders and former holders of the
// revision.
func (q *quorum) retain(revision *Revision) {
	q.states = slices.DeleteFunc(q.states, func(state holderState) bool { return !revision.IncludesHolder(state.id) })
}

func (q *quorum) find(id fleetconfig.InstanceID) *holderState {
	for i := range q.states {
		if q.states[i].id == id {
			return &q.states[i]
		}
	}
	return nil
}

func (state *holderState) held() uint64 {
	if len(state.versions) == 0 {
		return 0
	}
	return state.versions[len(state.versions)-1].version
}

// holdsSince returns since when the holder has held the version or a later one.
func (state *holderState) holdsSince(version uint64) (time.Time, bool) {
	for _, s := range state.versions {
		if s.version >= version {
			return s.since, true
		}
	}
	return time.Time{}, false
}

// isAccepted reports whether a majority of the holders held the version at the same
// time, and likewise a majority of the former holders.
func (q *quorum) isAccepted(revision *Revision) bool {
	return q.heldSimultaneously(revision.Version, revision.Holders) && q.heldSimultaneously(revision.Version, revision.FormerHolders)
}

// heldSimultaneously looks for a time at which a majority of the members held the
// version. Counting replies is not enough: one member may have restarted and lost the
// version before another one received it.
func (q *quorum) heldSimultaneously(version uint64, members []fleetconfig.InstanceID) bool {
	if len(members) == 0 {
		return true
	}
	for _, id := range members {
		candidate := q.find(id)
		if candidate == nil {
			continue
		}
		instant, holds := candidate.holdsSince(version)
		if holds && q.countHolding(version, members, instant) >= majority(len(members)) {
			return true
		}
	}
	return false
}

// countHolding returns the number of members that held the version at the given time.
func (q *quorum) countHolding(version uint64, members []fleetconfig.InstanceID, instant time.Time) int {
	count := 0
	for _, id := range members {
		state := q.find(id)
		if state == nil {
			continue
		}
		since, holds := state.holdsSince(version)
		if holds && !since.After(instant) && !state.sentAt.Before(instant) {
			count++
		}
	}
	return count
}

// majorityPolledAt returns the latest time such that a majority of the holders has
// replied to a poll sent at that time or later. If onlyReady is set, only holders that
// are ready count.
func (q *quorum) majorityPolledAt(holders []fleetconfig.InstanceID, onlyReady bool) (time.Time, bool) {
	var sent []time.Time
	for _, id := range holders {
		if state := q.find(id); state != nil && (state.ready || !onlyReady) {
			sent = append(sent, state.sentAt)
		}
	}
	needed := majority(len(holders))
	if len(holders) == 0 || len(sent) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[needed-1], true
}

// highestHeld returns the highest version that any of the holders is known to hold.
func (q *quorum) highestHeld(holders []fleetconfig.InstanceID) uint64 {
	highest := uint64(0)
	for _, id := range holders {
		if state := q.find(id); state != nil {
			highest = max(highest, state.held())
		}
	}
	return highest
}
