package shard

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Replica is one instance's vote in one shard.
//
// Invariant: at any instant it has given its vote to at most one Holder, and it
// gives it to another one only after the first has let go or one lease time has
// passed since it last answered the first.
type Replica struct {
	shard     ID
	timing    Timing
	placement Placement

	// newestEpoch and newestFingerprint belong to the newest placement that this
	// replica has heard of, from its own map, a vote or a read.
	newestEpoch       uint64
	newestFingerprint uint64

	// silentUntil ends the time in which votes of an earlier life may still count.
	silentUntil time.Time
	// mapRead is set once the newest epoch is known to be read.
	mapRead bool
	readers map[fleetconfig.InstanceID]struct{}
	// placedAt is when the present set of replicas was taken.
	placedAt time.Time

	holder Holder
	holds  time.Time
	// tail is when the vote for a tenure that was handed over would have ended.
	tail time.Time
}

// NewReplica returns a replica without memory, whose last vote of an earlier life
// was before since. It gives no vote for one lease time from then and until it has
// read the map.
func NewReplica(shard ID, placement Placement, timing Timing, since, now time.Time) *Replica {
	r := &Replica{
		shard:       shard,
		timing:      timing,
		silentUntil: since.Add(timing.Lease),
		readers:     make(map[fleetconfig.InstanceID]struct{}),
	}
	r.SetPlacement(placement, now)
	return r
}

// SetPlacement takes the shard's placement from a newer map. An older one is ignored.
func (r *Replica) SetPlacement(placement Placement, now time.Time) {
	if placement.Epoch < r.placement.Epoch {
		return
	}
	if placement.Fingerprint != r.placement.Fingerprint {
		r.placedAt = now
	}
	r.placement = placement
	r.note(placement.Epoch, placement.Fingerprint)
}

// MarkMapRead records that the map was read from a majority of the configuration
// holders since the process started, which covers what a read from the other
// replicas would tell.
func (r *Replica) MarkMapRead() { r.mapRead = true }

func (r *Replica) note(epoch, fingerprint uint64) {
	if epoch > r.newestEpoch {
		r.newestEpoch = epoch
		r.newestFingerprint = fingerprint
	}
}

// HandleVoteRequest answers a request for the vote.
func (r *Replica) HandleVoteRequest(request *VoteRequest, now time.Time) VoteReply {
	reply := VoteReply{Shard: r.shard, Round: request.Round}
	if r.isOld(request) {
		reply.Result = VoteRefusedStaleMap
		return reply
	}
	r.note(request.Epoch, request.Fingerprint)
	if !r.ready(now) {
		reply.Result = VoteRefusedNotReady
		reply.Remaining = max(r.silentUntil.Sub(now), r.timing.RankDelay)
		return reply
	}
	if now.Before(r.holds) && !r.mayPass(request) {
		reply.Result = VoteRefusedHeld
		reply.Remaining = r.holds.Sub(now)
		return reply
	}
	if r.holder != request.Holder && now.Before(r.holds) && r.tail.Before(r.holds) {
		r.tail = r.holds
	}
	r.holder = request.Holder
	r.holds = now.Add(r.timing.Lease)
	reply.Result = VoteGranted
	reply.PredecessorRemaining = max(r.tail.Sub(now), 0)
	return reply
}

// mayPass reports whether a vote that still counts may go to the candidate: it
// is its own already, or the tenure that has it ended in favour of the candidate.
func (r *Replica) mayPass(request *VoteRequest) bool {
	return r.holder == request.Holder || request.Predecessor != nil && r.holder == *request.Predecessor
}

// isOld reports whether the candidate's placement was replaced. Equal sets of
// replicas have the same majorities, whatever their epochs.
func (r *Replica) isOld(request *VoteRequest) bool {
	return request.Epoch < r.newestEpoch && request.Fingerprint != r.newestFingerprint
}

func (r *Replica) ready(now time.Time) bool {
	return r.mapRead && !now.Before(r.silentUntil)
}

// HandleRelease takes the vote back from a holder that has given up.
func (r *Replica) HandleRelease(release *Release) {
	if r.holder == release.Holder {
		r.holds = time.Time{}
	}
}

// HandleReadRequest answers a replica that lacks memory.
func (r *Replica) HandleReadRequest(request *ReadRequest) ReadReply {
	return ReadReply{
		Shard:       r.shard,
		Nonce:       request.Nonce,
		Epoch:       r.newestEpoch,
		Fingerprint: r.newestFingerprint,
	}
}

// HandleReadReply takes the answer of another replica to this one's read.
func (r *Replica) HandleReadReply(from fleetconfig.InstanceID, reply *ReadReply) {
	r.note(reply.Epoch, reply.Fingerprint)
	if r.mapRead || r.placement.Rank(from) < 0 {
		return
	}
	r.readers[from] = struct{}{}
	r.mapRead = len(r.readers) >= r.placement.readsNeeded()
}

// needsRead reports whether the replica still has to read from others.
func (r *Replica) needsRead() bool {
	if len(r.placement.Replicas) == 1 {
		r.mapRead = true
	}
	return !r.mapRead
}

// Holder returns the holder that the vote is given to and how long it counts.
func (r *Replica) Holder(now time.Time) (Holder, time.Duration) {
	if !now.Before(r.holds) {
		return Holder{}, 0
	}
	return r.holder, r.holds.Sub(now)
}

// ConfirmedEpoch returns the newest epoch of which this replica can say: no vote that
// it gave under an older set of replicas still counts. It is 0 while there is
// none.
func (r *Replica) ConfirmedEpoch(now time.Time) uint64 {
	if !r.ready(now) || now.Before(r.placedAt.Add(r.timing.Lease)) {
		return 0
	}
	return r.placement.Epoch
}
