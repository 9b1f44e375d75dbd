package shard

import "time"

// handover is the part of an Owner that hands the lease over to another instance, or
// receives it: in a planned stop, or when the map moves the owner's replica away. The
// old owner sends an offer, the successor requests the lease, and the old owner ends
// its tenure and replies with its state.
//
// The successor may use the state only if no other instance has owned the shard in
// between. The old owner replied after the successor had sent its request, and the old
// tenure was valid at the time of the reply. It therefore had a majority of votes at
// least until HandoverReply.Remaining after the request was sent. A successor that
// wins before then, by its own clock, is the direct successor.
type handover struct {
	// offered is set on the old owner once it has sent an offer.
	offered bool

	// requestNonce and requestSentAt describe the successor's HandoverRequest. A nonce
	// of 0 means that no request was sent.
	requestNonce  uint64
	requestSentAt time.Time

	// predecessor, inherited and predecessorEnd come from the HandoverReply.
	predecessor    *Holder
	inherited      []byte
	predecessorEnd time.Time

	// priorTenuresEnd is the latest time at which any of the tenures that were handed
	// over, to any instance, would have ended. An owner without the state of that
	// tenure must treat it as valid until then.
	priorTenuresEnd time.Time
}

// extendPriorTenures moves priorTenuresEnd to the end of the remaining time that a
// replica has reported, if that is later. The remaining time is lengthened, because
// the replica's clock may run slower than the clock of this instance.
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

// HandleHandoverRequest ends the tenure if its lease was offered, and returns the
// reply; otherwise it returns nil. The caller sets State in the reply. The tenure has
// ended when the method returns.
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
