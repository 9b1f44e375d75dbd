package shard

import "time"

// handover is the part of an Owner that passes a lease on in a planned stop. The
// old owner offers, the successor asks it to end its tenure, and the old owner
// answers with its state.
//
// The successor may use the state only if no other instance has owned the shard
// since. The old tenure was alive when it answered, so it was alive after the
// successor asked. A majority of votes therefore stood behind it until Remaining
// after that moment at least, and a successor that wins sooner, by its own clock
// and counted from when it asked, has followed directly.
type handover struct {
	// offered is set on the old owner.
	offered bool

	// takeNonce and takeAskedAt belong to the successor's TakeOver.
	takeNonce   uint64
	takeAskedAt time.Time

	// succeeds, inherited and inheritedEnds come from the Transfer.
	succeeds      *Holder
	inherited     []byte
	inheritedEnds time.Time

	// clear is when the last tenure that was handed over, to whomever, would have
	// ended. A tenure without its state must treat it as alive until then.
	clear time.Time
}

// noteTail extends clear by what a replica has answered. The replica's clock may
// run slower than this one.
func (h *handover) noteTail(tail time.Duration, now time.Time) {
	tail += tail - SubtractClockDrift(tail)
	if end := now.Add(tail); tail > 0 && h.clear.Before(end) {
		h.clear = end
	}
}

// OfferLease starts to hand the lease over. It reports whether there is one.
func (o *Owner) OfferLease(now time.Time) (*HandoverOffer, bool) {
	if !o.Holds(now) {
		return nil, false
	}
	o.offered = true
	return &HandoverOffer{Shard: o.shard, From: o.holder}, true
}

// HandleHandoverOffer asks for a lease that is offered. It returns nil when this
// instance does not want it.
func (o *Owner) HandleHandoverOffer(offer *HandoverOffer, now time.Time) *HandoverRequest {
	if o.phase == holding || o.stopped || o.placement.Rank(o.self) < 0 {
		return nil
	}
	o.takeNonce = o.random.Uint64() | 1
	o.takeAskedAt = now
	return &HandoverRequest{Shard: o.shard, From: offer.From, Nonce: o.takeNonce}
}

// HandleHandoverRequest ends the tenure, if it was offered, and returns the lease
// without its state. The tenure has ended when it returns.
func (o *Owner) HandleHandoverRequest(request *HandoverRequest, now time.Time) *HandoverReply {
	if !o.Holds(now) || !o.offered || request.From != o.holder {
		return nil
	}
	transfer := &HandoverReply{
		Shard:     o.shard,
		From:      o.holder,
		Nonce:     request.Nonce,
		Remaining: o.until.Sub(now),
	}
	o.endTenure()
	o.next = now.Add(o.timing.Lease)
	return transfer
}

// HandleHandoverReply takes the lease that this instance has asked for. The next Tick
// asks for the votes.
func (o *Owner) HandleHandoverReply(transfer *HandoverReply, now time.Time) {
	if o.takeNonce == 0 || transfer.Nonce != o.takeNonce || o.phase == holding || o.stopped {
		return
	}
	ends := o.takeAskedAt.Add(SubtractClockDrift(transfer.Remaining))
	o.endTenure()
	from := transfer.From
	o.succeeds = &from
	o.inherited = transfer.State
	o.inheritedEnds = ends
	o.next = now
}

// Stop keeps the candidate from asking for the lease again.
func (o *Owner) Stop() { o.stopped = true }
