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

// Owner is one instance's side as candidate for, and holder of, the lease of one
// shard. Its messages go to every replica of the placement, this instance's own
// one included.
//
// Invariant: Holds is true only while a majority of the replicas of one placement
// still counts its votes for this tenure.
type Owner struct {
	shard     ID
	self      fleetconfig.InstanceID
	timing    Timing
	placement Placement
	random    *rand.Rand

	phase   phase
	stopped bool
	holder  Holder
	until   time.Time
	next    time.Time

	round   uint64
	askedAt time.Time
	granted []fleetconfig.InstanceID
	refused []time.Duration

	handover
}

// NewOwner returns a candidate that holds nothing. The incarnation must differ
// between processes of the instance.
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

// SetPlacement takes the shard's placement from a newer map. A lease that is held stays
// valid to its end; its renewal needs a majority of the new placement.
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
		o.next = now
	default:
		o.endTenure()
		o.next = now.Add(o.stagger())
	}
}

// stagger returns the delay of this candidate's rank, with some randomness, so
// that the replicas do not ask at the same time.
func (o *Owner) stagger() time.Duration {
	rank := max(o.placement.Rank(o.self), 0)
	jitter := o.random.Int64N(int64(o.timing.RankDelay)/4 + 1)
	return time.Duration(rank)*o.timing.RankDelay + time.Duration(jitter)
}

// Defer keeps an idle candidate waiting while the local replica's vote is given to
// another holder.
func (o *Owner) Defer(remaining time.Duration, now time.Time) {
	if o.phase != idle || remaining <= 0 || o.succeeds != nil {
		return
	}
	if end := now.Add(remaining); o.next.Before(end) {
		o.next = end.Add(o.stagger())
	}
}

// Tick starts and ends rounds. It returns messages for every replica of the
// placement.
func (o *Owner) Tick(now time.Time) []Message {
	if o.phase == holding && !now.Before(o.until) {
		o.lose(now)
	}
	if o.phase == campaigning && !now.Before(o.askedAt.Add(o.timing.RoundTimeout)) {
		return o.giveUp(now)
	}
	if now.Before(o.next) || o.placement.Rank(o.self) < 0 {
		return nil
	}
	switch o.phase {
	case holding:
		return o.ask(now)
	case idle:
		if o.stopped {
			return nil
		}
		o.phase = campaigning
		return o.ask(now)
	default:
		return nil
	}
}

// ask starts a round of votes. The lease that it may win counts from now.
func (o *Owner) ask(now time.Time) []Message {
	o.endRound()
	o.askedAt = now
	o.next = now.Add(o.timing.RenewInterval)
	return []Message{{VoteRequest: &VoteRequest{
		Shard:       o.shard,
		Epoch:       o.placement.Epoch,
		Fingerprint: o.placement.Fingerprint,
		Holder:      o.holder,
		Round:       o.round,
		Predecessor: o.succeeds,
	}}}
}

// endRound makes the replies to the last round void.
func (o *Owner) endRound() {
	o.round++
	o.granted = o.granted[:0]
	o.refused = o.refused[:0]
}

// endTenure makes every vote for the present tenure useless, for good.
func (o *Owner) endTenure() {
	o.phase = idle
	o.until = time.Time{}
	o.holder.Term++
	o.handover = handover{}
	o.endRound()
}

// lose ends a tenure whose lease has run out. Another instance may have owned the
// shard since, so the next tenure starts without any state.
func (o *Owner) lose(now time.Time) {
	o.endTenure()
	o.next = now.Add(o.stagger())
}

// giveUp ends a campaign without a majority and returns its votes.
func (o *Owner) giveUp(now time.Time) []Message {
	release := Message{Release: &Release{Shard: o.shard, Holder: o.holder}}
	o.next = now.Add(o.retryDelay() + o.stagger())
	o.endTenure()
	return []Message{release}
}

// retryDelay estimates when enough of the refusing replicas are free for a
// majority.
func (o *Owner) retryDelay() time.Duration {
	missing := o.placement.Majority() - len(o.granted)
	if missing < 1 || missing > len(o.refused) {
		return o.timing.RoundTimeout
	}
	slices.Sort(o.refused)
	return o.refused[missing-1]
}

// HandleVoteReply takes the reply of a replica to the present round. It returns
// messages for every replica of the placement.
func (o *Owner) HandleVoteReply(from fleetconfig.InstanceID, reply *VoteReply, now time.Time) []Message {
	if o.phase == holding && !now.Before(o.until) {
		o.lose(now)
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
		o.noteTail(reply.PredecessorRemaining, now)
	}
	if len(o.granted) == o.placement.Majority() {
		o.win(now)
	}
	return nil
}

func (o *Owner) handleRefusal(reply *VoteReply, now time.Time) []Message {
	if len(o.refused) < len(o.placement.Replicas) {
		o.refused = append(o.refused, reply.Remaining)
	}
	answered := len(o.granted) + len(o.refused)
	if o.phase == campaigning && answered >= len(o.placement.Replicas) {
		return o.giveUp(now)
	}
	return nil
}

// win starts the tenure or renews it.
func (o *Owner) win(now time.Time) {
	o.until = o.askedAt.Add(SubtractClockDrift(o.timing.Lease))
	if o.phase == holding {
		return
	}
	o.phase = holding
	o.succeeds = nil
	if !now.Before(o.inheritedEnds) {
		o.inherited = nil
	}
}

// Holds reports whether this instance owns the shard at the given time.
func (o *Owner) Holds(now time.Time) bool {
	return o.phase == holding && now.Before(o.until)
}
