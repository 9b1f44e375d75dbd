package idempotency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Phase is the recovery phase of a replica.
type Phase uint8

const (
	// PhaseNotMember means that the instance is not a replica of the shard.
	PhaseNotMember Phase = iota
	// PhaseWaiting means that the replica waits until all claims that may have
	// counted one of its lost votes have expired.
	PhaseWaiting
	// PhaseReading means that the replica reads the records of other replicas.
	PhaseReading
	// PhaseReady means that the records are complete. The replica grants votes,
	// except in the initial epoch.
	PhaseReady
)

// Replica holds the records of one shard on one instance. It is not safe for
// concurrent use. Its memory is bounded: records by the Budget, released claims
// by maxReleasedClaims.
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

// NewReplica returns a replica without records. Incarnation is a random number
// that differs after each start. If durable is true, the replica collects
// changes for the journal; see TakeChanges.
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

// SetGroup applies the group of a newer epoch. It ignores groups of older
// epochs. The first group must come from a configuration that was confirmed as
// current after the start, because in the initial epoch the replica starts
// without recovery.
func (r *Replica) SetGroup(group Group, now time.Time) {
	if group.Epoch <= r.group.Epoch {
		return
	}
	previous, previousID := r.group, r.groupID
	r.group, r.groupID = group, group.ID()
	if previous.Epoch > 0 && previousID != 0 && previousID == r.groupID {
		return
	}
	r.earlierMinority.raise(previous.MinoritySize(), now, r.config.maxRecordLifetime())
	i := group.Index(r.self)
	if i < 0 {
		r.leave()
		return
	}
	if r.phase == PhaseNotMember || mayHaveLeft(previous, group, r.self) {
		r.join(group.Members[i], previous.Epoch == 0, now)
		return
	}
	if r.phase == PhaseReady {
		r.journal.append(r.readyChange(now))
		return
	}
	// Pages read in an earlier group do not cover the majorities of this group.
	r.recovery.reset(group, r.self)
}

// mayHaveLeft reports whether a member of both groups may have been removed and
// added again in between.
func mayHaveLeft(previous, group Group, self fleetconfig.InstanceID) bool {
	before, after := previous.Members[previous.Index(self)].JoinEpoch, group.Members[group.Index(self)].JoinEpoch
	skipped := group.Epoch > previous.Epoch+1
	return before != after || (skipped && after == 0)
}

func (r *Replica) leave() {
	r.phase = PhaseNotMember
	r.table.clear()
	r.journal.cleared()
}

// join starts the recovery. No recovery is needed if the group is the first one
// since the start and either the records restored from the journal are complete
// or the epoch is the initial one.
func (r *Replica) join(member Member, first bool, now time.Time) {
	if first && r.journal.completeFor(r.group, member) {
		r.becomeReady(now)
		return
	}
	r.recovery.begin(r.config, r.group, r.self, now)
	r.phase = PhaseWaiting
	if first && r.group.Epoch == InitialEpoch {
		r.becomeReady(now)
	}
}

func (r *Replica) becomeReady(now time.Time) {
	r.phase = PhaseReady
	r.journal.append(r.readyChange(now))
}

// Tick removes expired records and advances the recovery.
func (r *Replica) Tick(now time.Time) {
	for _, expired := range r.table.expire(now) {
		r.journal.removed(expired.id)
	}
	if r.phase == PhaseWaiting && !now.Before(r.recovery.waitUntil) {
		r.phase = PhaseReading
	}
	// Once every record that the replica may have lost has expired, the replica may
	// vote without having read from other replicas.
	if r.phase == PhaseReading && !now.Before(r.recovery.recordsExpiredAt) {
		r.becomeReady(now)
	}
}

// Status returns the state that a shard map change depends on.
func (r *Replica) Status() Status {
	return Status{ID: r.self, Epoch: r.group.Epoch, Ready: r.phase == PhaseReady}
}

// Phase returns the recovery phase.
func (r *Replica) Phase() Phase { return r.phase }

// Len returns the number of records.
func (r *Replica) Len() int { return len(r.table.records) }

// HandleVoteRequest decides on a vote request. Invariant: a replica votes for
// one claim on a record at a time, and drops the vote only when that claim is
// released, the retention period has ended or the replica leaves the group.
func (r *Replica) HandleVoteRequest(request VoteRequest, now time.Time) VoteReply {
	r.Tick(now)
	reply := VoteReply{Claim: request.Claim, EarlierMinority: r.earlierMinority.sizeAt(now)}
	reply.Result = r.checkVoteRequest(request)
	if reply.Result != VoteGranted {
		return reply
	}
	rec := r.table.records[request.Record]
	if rec == nil {
		reply.Result = r.grant(request, now)
		return reply
	}
	if rec.holder.ID == request.Claim && rec.state == StateVoted && !rec.recovered {
		return reply
	}
	return heldVoteReply(rec, request, now)
}

// checkVoteRequest checks all conditions for a vote except the state of the
// record.
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

// isCurrentGroup reports whether a message with this epoch and group ID is
// meant for the replica's current group: the epoch is the same, or another
// epoch has the same group.
func (r *Replica) isCurrentGroup(epoch uint64, id GroupID) bool {
	return epoch == r.group.Epoch || (id != 0 && id == r.groupID)
}

func (r *Replica) grant(request VoteRequest, now time.Time) VoteResult {
	deadline := now.Add(request.Remaining)
	rec := &record{
		id:       request.Record,
		holder:   RecordClaim{ID: request.Claim, Fingerprint: request.Fingerprint},
		deadline: deadline,
		// The order may run until the deadline of its request, so the retention
		// period starts at the deadline.
		expires: deadline.Add(r.config.Retention),
	}
	if !r.table.add(rec) {
		return VoteFull
	}
	r.journal.put(rec, now)
	return VoteGranted
}

func heldVoteReply(rec *record, request VoteRequest, now time.Time) VoteReply {
	reply := VoteReply{
		Claim:       request.Claim,
		Result:      VoteHeld,
		State:       rec.stateAt(now),
		Fingerprint: rec.fingerprintFor(request.Fingerprint),
		Remaining:   max(0, rec.deadline.Sub(now)),
	}
	if rec.holder.Fingerprint == request.Fingerprint {
		reply.Response = rec.response
	}
	return reply
}

// HandleRelease removes the vote for a claim that has not run its order. It may
// be called at any time, in any epoch, late or more than once: it affects only
// the given claim, and a released claim never dispatches.
func (r *Replica) HandleRelease(request ReleaseRequest, now time.Time) {
	r.released.add(request.Claim)
	rec := r.table.records[request.Record]
	if rec == nil || rec.state != StateVoted || rec.find(request.Claim) == nil {
		return
	}
	if !rec.dropClaim(request.Claim) {
		r.table.remove(rec)
		r.journal.removed(request.Record)
		return
	}
	r.journal.put(rec, now)
}

// dropClaim removes a claim from the record and reports whether the record must
// be kept. It does not change a record with claimsTruncated set, because some
// claims on that record are not listed.
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

// HandleFinish records the outcome of a claim's order and reports whether the
// replica holds the claim. A replica that does not hold the claim ignores the
// message, because the message may have arrived after the retention period.
func (r *Replica) HandleFinish(request FinishRequest, now time.Time) bool {
	r.Tick(now)
	rec := r.table.records[request.Record]
	if rec == nil {
		return false
	}
	claim := rec.find(request.Claim)
	if claim == nil {
		return false
	}
	if request.State <= rec.state || request.State > StateResponseStored {
		return true
	}
	// Only a claim with a majority has an outcome, so the other claims have
	// failed.
	rec.holder, rec.otherClaims, rec.claimsTruncated = *claim, nil, false
	rec.state = request.State
	if request.State == StateResponseStored {
		r.storeResponse(rec, request.Response)
	}
	r.journal.put(rec, now)
	return true
}

func (r *Replica) storeResponse(rec *record, response []byte) {
	if len(response) > r.config.MaxResponseBytes || !r.table.storeResponse(rec, response) {
		rec.state = StateResponseNotStored
	}
}
