package shard

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Replica is the state of one instance as a voter in one shard.
//
// Invariant: at any time the replica has given its vote to at most one Holder. It
// gives the vote to a second Holder only after the first Holder has released the vote
// or handed the lease over to the second, or after one lease duration has passed since
// the replica last granted the vote to the first.
type Replica struct {
	shard     ID
	timing    Timing
	placement Placement

	// newestEpoch and newestFingerprint belong to the latest placement that this
	// replica has learned of, from its own map, a vote request or a read.
	newestEpoch       uint64
	newestFingerprint uint64

	// noVoteBefore is the time before which this Replica gives no vote, because votes
	// that its instance gave before this Replica was created may still be valid.
	noVoteBefore time.Time
	// mapRead is set once the latest epoch has been read, from a majority of the
	// configuration holders or from Placement.readsNeeded other replicas.
	mapRead bool
	// readFrom has the replicas that have replied to a ReadRequest.
	readFrom map[fleetconfig.InstanceID]struct{}
	// placementSince is when the current set of replicas was adopted.
	placementSince time.Time

	holder        Holder
	voteExpiresAt time.Time
	// handedOverUntil is when the vote for a tenure that was handed over would have
	// expired.
	handedOverUntil time.Time
}

// NewReplica returns a replica without any state. If this instance has voted in the
// shard before, its last vote was before lastPossibleVote. The replica gives no vote
// until one lease duration after lastPossibleVote and until it has read the map.
func NewReplica(shard ID, placement Placement, timing Timing, lastPossibleVote, now time.Time) *Replica {
	r := &Replica{
		shard:        shard,
		timing:       timing,
		noVoteBefore: lastPossibleVote.Add(timing.Lease),
		readFrom:     make(map[fleetconfig.InstanceID]struct{}),
	}
	r.SetPlacement(placement, now)
	return r
}

// SetPlacement adopts the shard's placement from a newer map. An older one is
// ignored.
func (r *Replica) SetPlacement(placement Placement, now time.Time) {
	if placement.Epoch < r.placement.Epoch {
		return
	}
	if placement.Fingerprint != r.placement.Fingerprint {
		r.placementSince = now
	}
	r.placement = placement
	r.recordEpoch(placement.Epoch, placement.Fingerprint)
}

// MarkMapRead records that the map was read from a majority of the configuration
// holders since the process started. That makes a read from the other replicas
// unnecessary.
func (r *Replica) MarkMapRead() { r.mapRead = true }

func (r *Replica) recordEpoch(epoch, fingerprint uint64) {
	if epoch > r.newestEpoch {
		r.newestEpoch = epoch
		r.newestFingerprint = fingerprint
	}
}

// HandleVoteRequest decides on a vote request.
func (r *Replica) HandleVoteRequest(request *VoteRequest, now time.Time) VoteReply {
	reply := VoteReply{Shard: r.shard, Round: request.Round}
	if r.isStale(request) {
		reply.Result = VoteRefusedStaleMap
		return reply
	}
	r.recordEpoch(request.Epoch, request.Fingerprint)
	if !r.ready(now) {
		reply.Result = VoteRefusedNotReady
		reply.Remaining = max(r.noVoteBefore.Sub(now), r.timing.RankDelay)
		return reply
	}
	if now.Before(r.voteExpiresAt) && !r.mayReassignVote(request) {
		reply.Result = VoteRefusedHeld
		reply.Remaining = r.voteExpiresAt.Sub(now)
		return reply
	}
	if r.holder != request.Holder && now.Before(r.voteExpiresAt) && r.handedOverUntil.Before(r.voteExpiresAt) {
		r.handedOverUntil = r.voteExpiresAt
	}
	r.holder = request.Holder
	r.voteExpiresAt = now.Add(r.timing.Lease)
	reply.Result = VoteGranted
	reply.PredecessorRemaining = max(r.handedOverUntil.Sub(now), 0)
	return reply
}

// mayReassignVote reports whether a vote that is still valid may be given to the
// candidate: if the candidate has it already, or if the tenure that has it was handed
// over to the candidate.
func (r *Replica) mayReassignVote(request *VoteRequest) bool {
	return r.holder == request.Holder || request.Predecessor != nil && r.holder == *request.Predecessor
}

// isStale reports whether the candidate's placement has been replaced. Epochs with
// equal replica sets have the same majorities, so a lower epoch with the same set is
// not stale.
func (r *Replica) isStale(request *VoteRequest) bool {
	return request.Epoch < r.newestEpoch && request.Fingerprint != r.newestFingerprint
}

func (r *Replica) ready(now time.Time) bool {
	return r.mapRead && !now.Before(r.noVoteBefore)
}

// HandleRelease takes the vote back from a holder that has given it up.
func (r *Replica) HandleRelease(release *Release) {
	if r.holder == release.Holder {
		r.voteExpiresAt = time.Time{}
	}
}

// HandleReadRequest returns the latest known epoch to a replica that has lost its
// state.
func (r *Replica) HandleReadRequest(request *ReadRequest) ReadReply {
	return ReadReply{
		Shard:       r.shard,
		Nonce:       request.Nonce,
		Epoch:       r.newestEpoch,
		Fingerprint: r.newestFingerprint,
	}
}

// HandleReadReply processes the reply of another replica to a ReadRequest of this one.
func (r *Replica) HandleReadReply(from fleetconfig.InstanceID, reply *ReadReply) {
	r.recordEpoch(reply.Epoch, reply.Fingerprint)
	if r.mapRead || r.placement.Rank(from) < 0 {
		return
	}
	r.readFrom[from] = struct{}{}
	r.mapRead = len(r.readFrom) >= r.placement.readsNeeded()
}

// needsRead reports whether the replica must still read the epoch from other replicas.
// If there are no others, needsRead marks the map as read.
func (r *Replica) needsRead() bool {
	if len(r.placement.Replicas) == 1 {
		r.mapRead = true
	}
	return !r.mapRead
}

// Holder returns the holder that has the vote and how long the vote remains valid.
func (r *Replica) Holder(now time.Time) (Holder, time.Duration) {
	if !now.Before(r.voteExpiresAt) {
		return Holder{}, 0
	}
	return r.holder, r.voteExpiresAt.Sub(now)
}

// ConfirmedEpoch returns the latest epoch for which no vote that this replica gave
// under an older set of replicas is still valid. It returns 0 if there is none.
func (r *Replica) ConfirmedEpoch(now time.Time) uint64 {
	if !r.ready(now) || now.Before(r.placementSince.Add(r.timing.Lease)) {
		return 0
	}
	return r.placement.Epoch
}
