package idempotency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Sizes of a page of records, in bytes of its encoding.
const (
	maxPageBytes    = 48 << 10
	recordPageBytes = 160
)

// readProgress is the progress of reading one other replica.
type readProgress struct {
	from        fleetconfig.InstanceID
	incarnation uint64
	after       uint64
	done        bool
}

// recovery is the state of a replica that lost its memory or is new.
type recovery struct {
	session          uint64
	waitUntil        time.Time
	recordsExpiredAt time.Time
	reads            []readProgress
}

func (v *recovery) begin(config Config, group Group, self fleetconfig.InstanceID, now time.Time) {
	v.waitUntil = now.Add(config.recoveryWait())
	v.recordsExpiredAt = now.Add(config.maxRecordLifetime())
	v.reset(group, self)
}

// reset starts all reads again.
func (v *recovery) reset(group Group, self fleetconfig.InstanceID) {
	v.session++
	v.reads = v.reads[:0]
	for _, member := range group.Members {
		if member.ID != self {
			v.reads = append(v.reads, readProgress{from: member.ID})
		}
	}
}

func (v *recovery) find(from fleetconfig.InstanceID) *readProgress {
	for i := range v.reads {
		if v.reads[i].from == from {
			return &v.reads[i]
		}
	}
	return nil
}

// hasReadQuorum reports whether enough others are read: more than the slack of every
// group whose claims are retained. A group of one has no other, so it is never
// hasReadQuorum.
func (v *recovery) hasReadQuorum(group Group, slack int) bool {
	done := 0
	for i := range v.reads {
		if v.reads[i].done {
			done++
		}
	}
	return done >= max(group.ReadQuorum(), slack+1)
}

// OutgoingRead is a ReadRequest with its destination.
type OutgoingRead struct {
	// To is the replica to read from.
	To fleetconfig.InstanceID
	// Request is the next page to ask for.
	Request ReadRequest
}

// NextReads returns the pages to ask for next, at most one per other replica. It is
// empty unless the replica is reading.
func (r *Replica) NextReads(now time.Time) []OutgoingRead {
	r.Tick(now)
	if r.phase != PhaseReading {
		return nil
	}
	var reads []OutgoingRead
	for _, from := range r.recovery.reads {
		if from.done {
			continue
		}
		request := ReadRequest{Epoch: r.group.Epoch, Session: r.recovery.session, After: from.after, Group: r.groupID}
		reads = append(reads, OutgoingRead{To: from.from, Request: request})
	}
	return reads
}

// ReadPage answers another replica's request for a page. Only a ready replica of
// the same group answers: its records are complete, and it grants no vote of an
// older group any more.
func (r *Replica) ReadPage(request ReadRequest, now time.Time) ReadReply {
	r.Tick(now)
	reply := ReadReply{Session: request.Session, After: request.After, Incarnation: r.incarnation, Last: request.After}
	if r.phase != PhaseReady || !r.isCurrentGroup(request.Epoch, request.Group) {
		return reply
	}
	reply.Ready = true
	reply.EarlierMinority = r.earlierMinority.sizeAt(now)
	size := 0
	for _, held := range r.table.after(request.After) {
		if held.removed {
			continue
		}
		size += recordPageBytes + len(held.response)
		if size > maxPageBytes {
			reply.More = true
			break
		}
		reply.Records = append(reply.Records, held.copyAt(now))
		reply.Last = held.sequence
	}
	return reply
}

// HandleReadReply takes in a page. Pages that were not asked for in this recovery, or
// that came before, are ignored.
func (r *Replica) HandleReadReply(from fleetconfig.InstanceID, reply ReadReply, now time.Time) {
	r.Tick(now)
	if r.phase != PhaseReading || reply.Session != r.recovery.session || !reply.Ready {
		return
	}
	source := r.recovery.find(from)
	if source == nil || source.done || reply.After != source.after {
		return
	}
	if source.after != 0 && source.incarnation != reply.Incarnation {
		// The replica restarted between two pages; its sequence numbers are new.
		source.after = 0
		return
	}
	for i := range reply.Records {
		if !r.recoverRecord(&reply.Records[i], now) {
			return
		}
	}
	if reply.EarlierMinority > 0 {
		r.earlierMinority.raise(reply.EarlierMinority, now, r.config.maxRecordLifetime())
	}
	source.incarnation = reply.Incarnation
	source.after = reply.Last
	source.done = !reply.More
	if r.recovery.hasReadQuorum(r.group, r.earlierMinority.sizeAt(now)) {
		r.becomeReady()
	}
}

// recoverRecord merges a record of another replica. It reports false when there is no
// room, which stops the recovery: nothing is forgotten early.
func (r *Replica) recoverRecord(from *RecordCopy, now time.Time) bool {
	claims := slices.DeleteFunc(slices.Clone(from.Claims), func(claim RecordClaim) bool { return r.released.contains(claim.ID) })
	if len(claims) == 0 && from.State == StateVoted && !from.ClaimsTruncated {
		return true
	}
	held := r.table.records[from.Record]
	if held != nil && held.endedByOtherClaim(from) {
		// Two claims of a record end only when the retention of the first is over.
		// The later one counts.
		if !now.Add(from.TTL).After(held.expires) {
			return true
		}
		r.table.remove(held)
		held = nil
	}
	if held == nil {
		held = &record{id: from.Record, recovered: true}
		if !r.table.add(held) {
			return false
		}
	}
	held.merge(from, claims, now)
	if from.State == StateResponseStored && held.response == nil {
		r.storeResponse(held, from.Response)
	}
	r.journal.put(held, now)
	return true
}

// endedByOtherClaim reports whether this record and the copy are of different claims
// that have both ended.
func (r *record) endedByOtherClaim(from *RecordCopy) bool {
	return r.state > StateVoted && from.State > StateVoted && len(from.Claims) > 0 && r.holder.ID != from.Claims[0].ID
}

// merge takes over what the other replica knows beyond this record. Invariant:
// every claim that may have a majority stays among the claims.
func (r *record) merge(from *RecordCopy, claims []RecordClaim, now time.Time) {
	if deadline := now.Add(from.Remaining); deadline.After(r.deadline) {
		r.deadline = deadline
	}
	if expires := now.Add(from.TTL); expires.After(r.expires) {
		r.expires = expires
	}
	if from.State > StateVoted && len(from.Claims) > 0 {
		// The other replica knows which claim had the majority.
		r.holder, r.otherClaims, r.claimsTruncated = from.Claims[0], nil, false
		r.state = max(r.state, from.State)
		return
	}
	if r.state > StateVoted {
		return
	}
	r.claimsTruncated = r.claimsTruncated || from.ClaimsTruncated
	for _, claim := range claims {
		r.addClaim(claim)
	}
}

func (r *record) addClaim(claim RecordClaim) {
	switch {
	case r.holder.ID == ClaimID{}:
		r.holder = claim
	case r.find(claim.ID) != nil:
	case len(r.otherClaims)+1 < maxClaimsPerRecord:
		r.otherClaims = append(r.otherClaims, claim)
	default:
		r.claimsTruncated = true
	}
}
