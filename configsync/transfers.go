package configsync

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// transfers records which instances this one is sending a delta to, by an offer or by the
// reply to a poll, so that none gets the same delta by both, and at most one offer to each is
// under way. It also records which versions the other instances hold, so that an offer has a
// delta that its receiver can apply. It performs no I/O and is guarded by Service.mu.
type transfers struct {
	peers map[fleetconfig.InstanceID]peerTransfer
}

// peerTransfer is what is known about one instance.
type peerTransfer struct {
	// held is the version that the instance held according to its latest poll or reply to an
	// offer. known reports whether there was one.
	held  uint64
	known bool
	// offerFrom is the version that the latest offer applies to. The offer was sent at
	// offeredAt, which is zero if it is no longer under way. Then confirmedAt is when the
	// instance confirmed that it holds a later version, or zero.
	offerFrom              uint64
	offeredAt, confirmedAt time.Time
	// repliedTo is the version of the delta in the latest reply to a poll, which was sent at
	// repliedAt. A further poll shows that the reply is no longer under way.
	repliedTo uint64
	repliedAt time.Time
}

// maxTransferPeers limits the number of instances that are recorded. Above it all are
// forgotten, after which an instance may receive a delta twice.
const maxTransferPeers = 4096

// isUnderWay reports whether a message that was sent at a time may still be under way. After
// callTimeout the call has ended on both sides.
func isUnderWay(sentAt, now time.Time) bool {
	return !sentAt.IsZero() && now.Sub(sentAt) < callTimeout
}

// recordPoll records that an instance that holds version have polled, and reports whether an
// offer brings it a later version. The offer may also have arrived since the poll was sent. An
// instance that has restarted since the offer was sent holds less than that applies to.
func (t *transfers) recordPoll(id fleetconfig.InstanceID, have uint64, now time.Time) (offered bool) {
	peer := t.peers[id]
	if have >= peer.offerFrom && have < peer.held && isUnderWay(peer.confirmedAt, now) {
		return true
	}
	peer.held, peer.known, peer.repliedAt = have, true, time.Time{}
	t.set(id, peer)
	return isUnderWay(peer.offeredAt, now) && have >= peer.offerFrom
}

// recordReply records that the reply to a poll has the delta to a version.
func (t *transfers) recordReply(id fleetconfig.InstanceID, to uint64, now time.Time) {
	peer := t.peers[id]
	peer.repliedTo, peer.repliedAt = to, now
	t.set(id, peer)
}

// beginOffer returns the version that an instance holds or is about to, and reports whether the
// given version may be offered to it now. If nothing is known about the instance, it is taken to
// hold the version before. The offer must be ended.
func (t *transfers) beginOffer(id fleetconfig.InstanceID, before, version uint64, now time.Time) (held uint64, permitted bool) {
	peer := t.peers[id]
	held = before
	if peer.known {
		held = peer.held
	}
	if isUnderWay(peer.repliedAt, now) {
		held = max(held, peer.repliedTo)
		if held >= version {
			return held, false
		}
	}
	if isUnderWay(peer.offeredAt, now) {
		return held, false
	}
	peer.offerFrom, peer.offeredAt, peer.confirmedAt = held, now, time.Time{}
	t.set(id, peer)
	return held, true
}

// endOffer records that an offer has ended without a reply.
func (t *transfers) endOffer(id fleetconfig.InstanceID) {
	if peer, found := t.peers[id]; found {
		peer.offeredAt = time.Time{}
		t.peers[id] = peer
	}
}

// confirmOffer records that an offer has ended and which version the instance then held.
func (t *transfers) confirmOffer(id fleetconfig.InstanceID, held uint64, now time.Time) {
	peer := t.peers[id]
	peer.held, peer.known, peer.offeredAt, peer.confirmedAt = held, true, time.Time{}, now
	t.set(id, peer)
}

func (t *transfers) set(id fleetconfig.InstanceID, peer peerTransfer) {
	if _, found := t.peers[id]; t.peers == nil || !found && len(t.peers) >= maxTransferPeers {
		t.peers = make(map[fleetconfig.InstanceID]peerTransfer)
	}
	t.peers[id] = peer
}
