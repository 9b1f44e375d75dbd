package idempotency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Sizes in bytes of the encoding.
const (
	// maxPageBytes is the maximum estimated size of the records of a page.
	maxPageBytes = 48 << 10
	// recordPageBytes is the estimated size of an encoded record with one claim and
	// without its response.
	recordPageBytes = 160
)

// readProgress is the progress of reading the records of one other replica.
type readProgress struct {
	from        fleetconfig.InstanceID
	incarnation uint64
	// after is the sequence number after which the next page starts.
	after uint64
	done  bool
}

// recovery is the state of a replica that is new or has restarted without
// records.
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

// reset starts a new session and reads all other replicas from the beginning.
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

// hasReadQuorum reports whether enough other replicas have been read: the read
// quorum of the group, and more than the minority size of every earlier group
// whose claims are retained. A group of one has no other replica to read, so it
// never has a read quorum.
func (v *recovery) hasReadQuorum(group Group, earlierMinority int) bool {
	done := 0
	for i := range v.reads {
		if v.reads[i].done {
			done++
		}
	}
	return done >= max(group.ReadQuorum(), earlierMinority+1)
}

// OutgoingRead is a ReadRequest with its destination.
type OutgoingRead struct {
	// To is the replica to read from.
	To fleetconfig.InstanceID
	// Request asks for the next page.
	Request ReadRequest
}

// NextReads returns the page requests to send next, at most one for each other
// replica. It returns none unless the replica is in PhaseReading.
func (r *Replica) NextReads(now time.Time) []OutgoingRead {
	r.Tick(now)
	if r.phase != PhaseReading {
		return nil
	}
	var reads []OutgoingRead
	for _, progress := range r.recovery.reads {
		if progress.done {
			continue
		}
		request := ReadRequest{Epoch: r.group.Epoch, Session: r.recovery.session, After: progress.after, Group: r.groupID}
		reads = append(reads, OutgoingRead{To: progress.from, Request: request})
	}
	return reads
}

// HandleReadRequest returns a page of records to another replica. Only a ready
// replica of the same group returns records: its records are complete, and it
// no longer votes in an older group.
func (r *Replica) HandleReadRequest(request ReadRequest, now time.Time) ReadReply {
	r.Tick(now)
	reply := ReadReply{Session: request.Session, After: request.After, Incarnation: r.incarnation, Last: request.After}
	if r.phase != PhaseReady || !r.isCurrentGroup(request.Epoch, request.Group) {
		return reply
	}
	reply.Ready = true
	reply.EarlierMinority = r.earlierMinority.sizeAt(now)
	size := 0
	for _, rec := range r.table.after(request.After) {
		if rec.removed {
			continue
		}
		size += recordPageBytes + len(rec.response)
		if size > maxPageBytes {
			reply.More = true
			break
		}
		reply.Records = append(reply.Records, rec.copyAt(now))
		reply.Last = rec.sequence
	}
	return reply
}

// HandleReadReply merges a page of another replica's records. It ignores pages
// that were not requested in this session and pages that it has already
// handled.
func (r *Replica) HandleReadReply(from fleetconfig.InstanceID, reply ReadReply, now time.Time) {
	r.Tick(now)
	if r.phase != PhaseReading || reply.Session != r.recovery.session || !reply.Ready {
		return
	}
	progress := r.recovery.find(from)
	if progress == nil || progress.done || reply.After != progress.after {
		return
	}
	if progress.after != 0 && progress.incarnation != reply.Incarnation {
		// The replica restarted between two pages and assigned new sequence numbers.
		progress.after = 0
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
	progress.incarnation = reply.Incarnation
	progress.after = reply.Last
	progress.done = !reply.More
	if r.recovery.hasReadQuorum(r.group, r.earlierMinority.sizeAt(now)) {
		r.becomeReady(now)
	}
}

// recoverRecord merges a record of another replica. It returns false if the
// memory budget is exhausted. The recovery then does not proceed, because no
// record may be dropped before it expires.
func (r *Replica) recoverRecord(from *RecordCopy, now time.Time) bool {
	claims := slices.DeleteFunc(slices.Clone(from.Claims), func(claim RecordClaim) bool { return r.released.contains(claim.ID) })
	if len(claims) == 0 && from.State == StateVoted && !from.ClaimsTruncated {
		return true
	}
	rec := r.table.records[from.Record]
	if rec != nil && rec.hasOutcomeOfOtherClaim(from) {
		// Two claims on a record can both have an outcome only if the retention period
		// of the first claim was over when the second claim began. Keep the claim whose
		// retention ends later.
		if !now.Add(from.TTL).After(rec.expires) {
			return true
		}
		r.table.remove(rec)
		rec = nil
	}
	if rec == nil {
		rec = &record{id: from.Record, recovered: true}
		if !r.table.add(rec) {
			return false
		}
	}
	rec.merge(from, claims, now)
	if from.State == StateResponseStored && rec.response == nil {
		r.storeResponse(rec, from.Response)
	}
	r.journal.put(rec, now)
	return true
}

// hasOutcomeOfOtherClaim reports whether this record and the copy both have an
// outcome, and the outcomes belong to different claims.
func (r *record) hasOutcomeOfOtherClaim(from *RecordCopy) bool {
	return r.state > StateVoted && from.State > StateVoted && len(from.Claims) > 0 && r.holder.ID != from.Claims[0].ID
}

// merge adds the deadline, expiry, claims and state of the copy to this record.
// The parameter claims lists those claims of the copy that have not been
// released. Invariant: every claim that may have a majority stays among the
// record's claims, or claimsTruncated is set.
func (r *record) merge(from *RecordCopy, claims []RecordClaim, now time.Time) {
	if deadline := now.Add(from.Remaining); deadline.After(r.deadline) {
		r.deadline = deadline
	}
	if expires := now.Add(from.TTL); expires.After(r.expires) {
		r.expires = expires
	}
	if from.State > StateVoted && len(from.Claims) > 0 {
		// The copy has an outcome, so its first claim is the one that had the majority.
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
