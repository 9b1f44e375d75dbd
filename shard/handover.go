package shard

import "time"

// handover is the part of an Owner that hands the lease over in a planned stop. The
// old owner sends an offer, the successor requests the lease, and the old owner ends
// its tenure and replies with its state.
//
// The successor may use the state only if no other instance has owned the shard in
// between. The old tenure was valid when the old owner replied, which was after the
// successor sent its request. A majority of votes therefore backed the old tenure at
// least until Remaining after the time of the request. A successor that wins before
// then, by its own clock, is the direct successor.
type handover struct {
	// offered is set on the old owner once it has sent an offer.
	offered bool

	// requestNonce and requestSentAt describe the successor's HandoverRequest.
	requestNonce  uint64
	requestSentAt time.Time

	// predecessor, inherited and predecessorEnd come from the HandoverReply.
	predecessor    *Holder
	inherited      []byte
	predecessorEnd time.Time

	// priorTenuresEnd is when the last tenure that was handed over, to any instance,
	// would have ended. An owner without the state of that tenure must treat it as
	// valid until then.
	priorTenuresEnd time.Time
}

// extendPriorTenures extends priorTenuresEnd by the remaining time that a replica has
// reported. The replica's clock may run slower than this one.
func (h *handover) extendPriorTenures(remaining time.Duration, now time.Time) {
	remaining += remaining - SubtractClockDrift(remaining)
	if end := now.Add(remaining); remaining > 0 && h.priorTenuresEnd.Before(end) {
		h.priorTenuresEnd = end
	}
}

// OfferLease starts a handover of the lease. It returns false if this instance does
// not hold it.
func (o *Owner) OfferLease(now time.Time) (*HandoverOffer, bool) {
	if !o.Holds(now) {
		return nil, false
	}
	o.offered = true
	return &HandoverOffer{Shard: o.shard, From: o.holder}, true
}

// HandleHandoverOffer returns a request for the offered lease, or nil if this
// instance does not accept it.
func (o *Owner) HandleHandoverOffer(offer *HandoverOffer, now time.Time) *HandoverRequest {
	if o.phase == holding || o.stopped || o.placement.Rank(o.self) < 0 {
		return nil
	}
	o.requestNonce = o.random.Uint64() | 1
	o.requestSentAt = now
	return &HandoverRequest{Shard: o.shard, From: offer.From, Nonce: o.requestNonce}
}

// HandleHandoverRequest ends the tenure if it was offered, and returns the reply. The
// caller sets State in the reply. The tenure has ended when the method returns.
func (o *Owner) HandleHandoverRequest(request *HandoverRequest, now time.Time) *HandoverReply {
	if !o.Holds(now) || !o.offered || request.From != o.holder {
		return nil
	}
	reply := &HandoverReply{
		Shard:     o.shard,
		From:      o.holder,
		Nonce:     request.Nonce,
		Remaining: o.expiresAt.Sub(now),
	}
	o.endTenure()
	o.nextRoundAt = now.Add(o.timing.Lease)
	return reply
}

// HandleHandoverReply accepts the lease that this instance has requested. The next
// Tick requests the votes.
func (o *Owner) HandleHandoverReply(reply *HandoverReply, now time.Time) {
	if o.requestNonce == 0 || reply.Nonce != o.requestNonce || o.phase == holding || o.stopped {
		return
	}
	end := o.requestSentAt.Add(SubtractClockDrift(reply.Remaining))
	o.endTenure()
	from := reply.From
	o.predecessor = &from
	o.inherited = reply.State
	o.predecessorEnd = end
	o.nextRoundAt = now
}

// Stop prevents further requests for the lease.
func (o *Owner) Stop() { o.stopped = true }
