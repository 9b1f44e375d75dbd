package shard

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

type phase uint8

const (
	idle phase = iota
	campaigning
	holding
)

// Owner is the state of one instance as a candidate for the lease of one shard, and as
// its holder. The messages that Tick and HandleVoteReply return go to every replica of
// the placement, including the one on this instance. Handover messages go to a single
// instance.
//
// Invariant: Holds returns true only while the votes of a majority of the replicas of
// one placement are valid for this tenure.
type Owner struct {
	shard     ID
	self      fleetconfig.InstanceID
	timing    Timing
	placement Placement
	random    *rand.Rand

	phase       phase
	stopped     bool
	holder      Holder
	expiresAt   time.Time
	nextRoundAt time.Time

	round          uint64
	roundStartedAt time.Time
	// granted are the replicas that granted their vote in this round.
	granted []fleetconfig.InstanceID
	// refusalDelays has VoteReply.Remaining of each refusal in this round.
	refusalDelays []time.Duration

	handover
}

// NewOwner returns a candidate that does not hold the lease. The incarnation must
// differ between processes of the instance.
func NewOwner(shard ID, self fleetconfig.InstanceID, incarnation uint64, timing Timing, random *rand.Rand) *Owner {
	return &Owner{
		shard:  shard,
		self:   self,
		timing: timing,
		random: random,
		holder: Holder{Instance: self, Incarnation: incarnation, Term: 1},
		round:  incarnation,
	}
}

// SetPlacement adopts the shard's placement from a newer map. A lease that is held
// remains valid until it expires; renewing it requires a majority of the new
// placement.
func (o *Owner) SetPlacement(placement Placement, now time.Time) {
	if placement.Epoch < o.placement.Epoch {
		return
	}
	changed := placement.Fingerprint != o.placement.Fingerprint
	o.placement = placement
	if !changed {
		return
	}
	o.endRound()
	switch o.phase {
	case holding:
		o.nextRoundAt = now
	default:
		o.endTenure()
		o.nextRoundAt = now.Add(o.campaignDelay())
	}
}

// campaignDelay returns the delay for this candidate's rank plus a random jitter, so
// that the replicas do not campaign at the same time.
func (o *Owner) campaignDelay() time.Duration {
	rank := max(o.placement.Rank(o.self), 0)
	jitter := o.random.Int64N(int64(o.timing.RankDelay)/4 + 1)
	return time.Duration(rank)*o.timing.RankDelay + time.Duration(jitter)
}

// Defer delays the campaign of an idle candidate while the vote of the local replica
// belongs to another holder.
func (o *Owner) Defer(remaining time.Duration, now time.Time) {
	if o.phase != idle || remaining <= 0 || o.predecessor != nil {
		return
	}
	if end := now.Add(remaining); o.nextRoundAt.Before(end) {
		o.nextRoundAt = end.Add(o.campaignDelay())
	}
}

// Tick starts and ends rounds of votes. It returns messages for every replica of the
// placement.
func (o *Owner) Tick(now time.Time) []Message {
	if o.phase == holding && !now.Before(o.expiresAt) {
		o.expireLease(now)
	}
	if o.phase == campaigning && !now.Before(o.roundStartedAt.Add(o.timing.RoundTimeout)) {
		return o.abandonCampaign(now)
	}
	if now.Before(o.nextRoundAt) || o.placement.Rank(o.self) < 0 {
		return nil
	}
	switch o.phase {
	case holding:
		return o.startRound(now)
	case idle:
		if o.stopped {
			return nil
		}
		o.phase = campaigning
		return o.startRound(now)
	default:
		return nil
	}
}

// startRound starts a round of votes. A lease won or renewed in the round counts from
// now.
func (o *Owner) startRound(now time.Time) []Message {
	o.endRound()
	o.roundStartedAt = now
	o.nextRoundAt = now.Add(o.timing.RenewInterval)
	return []Message{{VoteRequest: &VoteRequest{
		Shard:       o.shard,
		Epoch:       o.placement.Epoch,
		Fingerprint: o.placement.Fingerprint,
		Holder:      o.holder,
		Round:       o.round,
		Predecessor: o.predecessor,
	}}}
}

// endRound ends the current round and invalidates replies to it.
func (o *Owner) endRound() {
	o.round++
	o.granted = o.granted[:0]
	o.refusalDelays = o.refusalDelays[:0]
}

// endTenure permanently invalidates all votes for the current tenure.
func (o *Owner) endTenure() {
	o.phase = idle
	o.expiresAt = time.Time{}
	o.holder.Term++
	o.handover = handover{}
	o.endRound()
}

// expireLease ends a tenure whose lease has expired. Another instance may own the
// shard before this one wins the lease again, so this instance's next tenure starts
// without state.
func (o *Owner) expireLease(now time.Time) {
	o.endTenure()
	o.nextRoundAt = now.Add(o.campaignDelay())
}

// abandonCampaign ends a campaign without a majority and returns the message that
// releases its votes.
func (o *Owner) abandonCampaign(now time.Time) []Message {
	release := Message{Release: &Release{Shard: o.shard, Holder: o.holder}}
	o.nextRoundAt = now.Add(o.retryDelay() + o.campaignDelay())
	o.endTenure()
	return []Message{release}
}

// retryDelay estimates the time until enough of the refusing replicas can grant their
// vote for a majority.
func (o *Owner) retryDelay() time.Duration {
	missing := o.placement.Majority() - len(o.granted)
	if missing < 1 || missing > len(o.refusalDelays) {
		return o.timing.RoundTimeout
	}
	slices.Sort(o.refusalDelays)
	return o.refusalDelays[missing-1]
}

// HandleVoteReply processes the reply of a replica to the current round. It returns
// messages for every replica of the placement.
func (o *Owner) HandleVoteReply(from fleetconfig.InstanceID, reply *VoteReply, now time.Time) []Message {
	if o.phase == holding && !now.Before(o.expiresAt) {
		o.expireLease(now)
	}
	if reply.Round != o.round || o.phase == idle || o.placement.Rank(from) < 0 {
		return nil
	}
	if reply.Result != VoteGranted {
		return o.handleRefusal(reply, now)
	}
	if slices.Contains(o.granted, from) {
		return nil
	}
	o.granted = append(o.granted, from)
	if o.phase == campaigning {
		o.extendPriorTenures(reply.PredecessorRemaining, now)
	}
	if len(o.granted) == o.placement.Majority() {
		o.handleMajority(now)
	}
	return nil
}

func (o *Owner) handleRefusal(reply *VoteReply, now time.Time) []Message {
	if len(o.refusalDelays) < len(o.placement.Replicas) {
		o.refusalDelays = append(o.refusalDelays, reply.Remaining)
	}
	answered := len(o.granted) + len(o.refusalDelays)
	if o.phase == campaigning && answered >= len(o.placement.Replicas) {
		return o.abandonCampaign(now)
	}
	return nil
}

// handleMajority starts the tenure or renews its lease.
func (o *Owner) handleMajority(now time.Time) {
	o.expiresAt = o.roundStartedAt.Add(SubtractClockDrift(o.timing.Lease))
	if o.phase == holding {
		return
	}
	o.phase = holding
	o.predecessor = nil
	if !now.Before(o.predecessorEnd) {
		o.inherited = nil
	}
}

// Holds reports whether this instance owns the shard at the given time.
func (o *Owner) Holds(now time.Time) bool {
	return o.phase == holding && now.Before(o.expiresAt)
}
