package idempotency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Phase is how far a replica is with its recovery.
type Phase uint8

const (
	// PhaseNotMember means that the instance is not a replica of the shard.
	PhaseNotMember Phase = iota
	// PhaseWaiting means that claims that counted a lost vote may still be open.
	PhaseWaiting
	// PhaseReading means that the replica reads the records of others.
	PhaseReading
	// PhaseReady means that the replica votes.
	PhaseReady
)

// Replica holds the records of one shard on one instance. It is not safe for
// concurrent use. Its records are bounded by its Budget, its released claims by
// a fixed number.
type Replica struct {
	config          Config
	self            fleetconfig.InstanceID
	incarnation     uint64
	group           Group
	groupID         GroupID
	phase           Phase
	recovery        recovery
	earlierMinority earlierMinority
	table           table
	released        releasedClaims
	journal         journal
}

// NewReplica returns a replica without memory. Incarnation is a random number
// that differs after each start. Durable makes the replica collect Changes.
func NewReplica(config Config, self fleetconfig.InstanceID, incarnation uint64, budget *Budget, durable bool) *Replica {
	return &Replica{
		config:      config,
		self:        self,
		incarnation: incarnation,
		recovery:    recovery{session: incarnation},
		table:       newTable(budget),
		released:    newReleasedClaims(),
		journal:     journal{enabled: durable},
	}
}

// SetGroup takes up a newer epoch. Older ones are ignored. The first group must
// come from a configuration that was read as current after the start, because
// the founding epoch lets the replica start empty.
func (r *Replica) SetGroup(group Group, now time.Time) {
	if group.Epoch <= r.group.Epoch {
		return
	}
	last, lastID := r.group, r.groupID
	r.group, r.groupID = group, group.ID()
	if last.Epoch > 0 && lastID != 0 && lastID == r.groupID {
		return
	}
	r.earlierMinority.raise(last.MinoritySize(), now, r.config.maxRecordLifetime())
	i := group.Index(r.self)
	if i < 0 {
		r.leave()
		return
	}
	if r.phase == PhaseNotMember || mayHaveLeft(last, group, r.self) {
		r.join(group.Members[i], last.Epoch == 0, now)
		return
	}
	if r.phase == PhaseReady {
		r.journal.ready(group, group.Members[i])
		return
	}
	// Reads of an earlier epoch do not cover the majorities of this one.
	r.recovery.reset(group, r.self)
}

// mayHaveLeft reports whether a member of both groups may have been none in between.
func mayHaveLeft(last, group Group, self fleetconfig.InstanceID) bool {
	before, after := last.Members[last.Index(self)].Joined, group.Members[group.Index(self)].Joined
	skipped := group.Epoch > last.Epoch+1
	return before != after || (skipped && after == 0)
}

func (r *Replica) leave() {
	r.phase = PhaseNotMember
	r.table.clear()
	r.journal.cleared()
}

// join begins the recovery, unless the records on disk are complete.
func (r *Replica) join(member Member, first bool, now time.Time) {
	if first && r.journal.completeFor(r.group, member) {
		r.becomeReady()
		return
	}
	r.recovery.begin(r.config, r.group, r.self, now)
	r.phase = PhaseWaiting
	if first && r.group.Epoch == InitialEpoch {
		r.becomeReady()
	}
}

func (r *Replica) becomeReady() {
	r.phase = PhaseReady
	r.journal.ready(r.group, r.group.Members[r.group.Index(r.self)])
}

// Tick drops records whose retention has run out and moves the recovery on.
func (r *Replica) Tick(now time.Time) {
	for _, expired := range r.table.expire(now) {
		r.journal.removed(expired.id)
	}
	if r.phase == PhaseWaiting && !now.Before(r.recovery.waitUntil) {
		r.phase = PhaseReading
	}
	// Nothing that could have been lost is still retained: the replica may vote
	// without having read.
	if r.phase == PhaseReading && !now.Before(r.recovery.recordsExpiredAt) {
		r.becomeReady()
	}
}

// Status returns what a change of the map waits for.
func (r *Replica) Status() Status {
	return Status{ID: r.self, Epoch: r.group.Epoch, Ready: r.phase == PhaseReady}
}

// Phase returns how far the recovery is.
func (r *Replica) Phase() Phase { return r.phase }

// Len returns the number of records.
func (r *Replica) Len() int { return len(r.table.records) }

// Vote answers a request for a vote. Invariant: a replica votes for one claim of
// a record, and forgets the vote only when that claim releases it or the
// retention has run out.
func (r *Replica) Vote(request VoteRequest, now time.Time) VoteReply {
	r.Tick(now)
	reply := VoteReply{Claim: request.Claim, EarlierMinority: r.earlierMinority.sizeAt(now)}
	reply.Result = r.checkVoteRequest(request)
	if reply.Result != VoteGranted {
		return reply
	}
	held := r.table.records[request.Record]
	if held == nil {
		reply.Result = r.grant(request, now)
		return reply
	}
	if held.holder.ID == request.Claim && held.state == StateVoted && !held.recovered {
		return reply
	}
	return heldVoteReply(held, request, now)
}

// checkVoteRequest checks everything but the record.
func (r *Replica) checkVoteRequest(request VoteRequest) VoteResult {
	sameGroup := r.isCurrentGroup(request.Epoch, request.Group)
	switch {
	case !sameGroup && request.Epoch < r.group.Epoch:
		return VoteStaleEpoch
	case !sameGroup:
		return VoteFutureEpoch
	case r.phase != PhaseReady || r.group.Epoch == InitialEpoch:
		return VoteNotReady
	case request.Remaining <= 0 || request.Remaining > r.config.MaxRequestTime:
		return VoteInvalidDeadline
	case r.released.contains(request.Claim):
		return VoteReleased
	}
	return VoteGranted
}

// isCurrentGroup reports whether a message is meant for the group that the replica has
// taken up, in the same epoch or in one with the same group.
func (r *Replica) isCurrentGroup(epoch uint64, id GroupID) bool {
	return epoch == r.group.Epoch || (id != 0 && id == r.groupID)
}

func (r *Replica) grant(request VoteRequest, now time.Time) VoteResult {
	deadline := now.Add(request.Remaining)
	vote := &record{
		id:       request.Record,
		holder:   RecordClaim{ID: request.Claim, Fingerprint: request.Fingerprint},
		deadline: deadline,
		// The order may be dispatched up to its deadline; the retention counts
		// from there.
		expires: deadline.Add(r.config.Retention),
	}
	if !r.table.add(vote) {
		return VoteFull
	}
	r.journal.put(vote, now)
	return VoteGranted
}

func heldVoteReply(held *record, request VoteRequest, now time.Time) VoteReply {
	reply := VoteReply{
		Claim:       request.Claim,
		Result:      VoteHeld,
		State:       held.stateAt(now),
		Fingerprint: held.fingerprintFor(request.Fingerprint),
		Remaining:   max(0, held.deadline.Sub(now)),
	}
	if held.holder.Fingerprint == request.Fingerprint {
		reply.Response = held.response
	}
	return reply
}

// Release frees the record of a claim that has not run. It is safe at any time,
// in any epoch, late and twice: it names the claim, and a claim that was
// released never dispatches.
func (r *Replica) Release(request ReleaseRequest) {
	r.released.add(request.Claim)
	held := r.table.records[request.Record]
	if held == nil || held.state != StateVoted || held.find(request.Claim) == nil {
		return
	}
	if !held.dropClaim(request.Claim) {
		r.table.remove(held)
		r.journal.removed(request.Record)
	}
}

// dropClaim forgets a claim and reports whether the record must stay.
func (r *record) dropClaim(claim ClaimID) bool {
	if r.claimsTruncated {
		return true
	}
	if r.holder.ID != claim {
		r.otherClaims = slices.DeleteFunc(r.otherClaims, func(other RecordClaim) bool { return other.ID == claim })
		return true
	}
	if len(r.otherClaims) == 0 {
		return false
	}
	r.holder, r.otherClaims = r.otherClaims[0], r.otherClaims[1:]
	return true
}

// Finish records how the order of a claim ended and reports whether the replica
// holds the claim. A replica that does not hold it ignores the message, because
// the message may be older than the retention.
func (r *Replica) Finish(request FinishRequest, now time.Time) bool {
	r.Tick(now)
	held := r.table.records[request.Record]
	if held == nil {
		return false
	}
	winner := held.find(request.Claim)
	if winner == nil {
		return false
	}
	if request.State <= held.state || request.State > StateResponseStored {
		return true
	}
	// Only a claim with a majority has an outcome, so the others lost.
	held.holder, held.otherClaims, held.claimsTruncated = *winner, nil, false
	held.state = request.State
	if request.State == StateResponseStored {
		r.storeResponse(held, request.Response)
	}
	r.journal.put(held, now)
	return true
}

func (r *Replica) storeResponse(held *record, answer []byte) {
	if len(answer) > r.config.MaxResponseBytes || !r.table.storeResponse(held, answer) {
		held.state = StateResponseNotStored
	}
}
