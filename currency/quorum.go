package currency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxSteps is how many versions back a quorum remembers since when a holder has
// held them. An older version counts from the oldest remembered step.
const maxSteps = 8

// step says that a holder has held a version since a time at the latest.
type step struct {
	version uint64
	since   time.Time
}

// record is what is known of one holder.
type record struct {
	id          fleetconfig.InstanceID
	incarnation uint64
	ready       bool
	// steps are ordered by version and time. The last one is what it holds.
	steps []step
	// askedAt is when the latest poll was sent that it answered.
	askedAt time.Time
}

// quorum collects the answers of the holders: one record for each holder and former
// holder of a revision, 14 at most.
type quorum struct {
	records []record
}

// hear takes an answer to a poll that was sent at askedAt and answered by now.
//
// Invariant: the incarnation of a record held the version of each step from its
// since until some time after askedAt, if since is not after askedAt. When the
// incarnation changes, the steps begin anew at now, so that only a later poll
// makes them count.
func (q *quorum) hear(id fleetconfig.InstanceID, answer *PollReply, askedAt, now time.Time) {
	at := slices.IndexFunc(q.records, func(r record) bool { return r.id == id })
	if at < 0 {
		q.records = append(q.records, record{id: id, incarnation: answer.Incarnation})
		at = len(q.records) - 1
	}
	r := &q.records[at]
	if r.incarnation != answer.Incarnation {
		if askedAt.Before(r.askedAt) {
			return
		}
		*r = record{id: id, incarnation: answer.Incarnation}
	}
	r.ready = r.ready || answer.Ready
	if askedAt.After(r.askedAt) {
		r.askedAt = askedAt
	}
	if len(r.steps) == 0 || answer.Held > r.held() {
		r.steps = append(r.steps, step{version: answer.Held, since: now})
	}
	if len(r.steps) > maxSteps {
		r.steps = slices.Delete(r.steps, 0, 1)
	}
}

// keep drops the records of all but the members.
func (q *quorum) keep(revision *Revision) {
	q.records = slices.DeleteFunc(q.records, func(r record) bool { return !revision.IncludesHolder(r.id) })
}

func (q *quorum) find(id fleetconfig.InstanceID) *record {
	for i := range q.records {
		if q.records[i].id == id {
			return &q.records[i]
		}
	}
	return nil
}

func (r *record) held() uint64 {
	if len(r.steps) == 0 {
		return 0
	}
	return r.steps[len(r.steps)-1].version
}

// holdsSince returns since when the holder has held the version or a later one.
func (r *record) holdsSince(version uint64) (time.Time, bool) {
	for _, s := range r.steps {
		if s.version >= version {
			return s.since, true
		}
	}
	return time.Time{}, false
}

// accepted reports whether, at one time, a majority of the holders held the
// version, and a majority of the former holders too.
func (q *quorum) accepted(revision *Revision) bool {
	return q.heldAtOnce(revision.Version, revision.Holders) && q.heldAtOnce(revision.Version, revision.FormerHolders)
}

// heldAtOnce looks for a time at which a majority of the members held the
// version. Answers alone are not enough: a member that answered may have lost its
// memory before the next one took the version.
func (q *quorum) heldAtOnce(version uint64, members []fleetconfig.InstanceID) bool {
	if len(members) == 0 {
		return true
	}
	for _, id := range members {
		candidate := q.find(id)
		if candidate == nil {
			continue
		}
		moment, holds := candidate.holdsSince(version)
		if holds && q.countHolding(version, members, moment) >= majority(len(members)) {
			return true
		}
	}
	return false
}

// countHolding returns how many members held the version at the moment.
func (q *quorum) countHolding(version uint64, members []fleetconfig.InstanceID, moment time.Time) int {
	count := 0
	for _, id := range members {
		r := q.find(id)
		if r == nil {
			continue
		}
		since, holds := r.holdsSince(version)
		if holds && !since.After(moment) && !r.askedAt.Before(moment) {
			count++
		}
	}
	return count
}

// heardSince returns the latest time since when a majority of the holders has
// been asked and answered. Only ready ones count, if ready is set.
func (q *quorum) heardSince(holders []fleetconfig.InstanceID, ready bool) (time.Time, bool) {
	var asked []time.Time
	for _, id := range holders {
		if r := q.find(id); r != nil && (r.ready || !ready) {
			asked = append(asked, r.askedAt)
		}
	}
	needed := majority(len(holders))
	if len(holders) == 0 || len(asked) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[needed-1], true
}

// highest returns the highest version that any of the holders is known to hold.
func (q *quorum) highest(holders []fleetconfig.InstanceID) uint64 {
	highest := uint64(0)
	for _, id := range holders {
		if r := q.find(id); r != nil {
			highest = max(highest, r.held())
		}
	}
	return highest
}
