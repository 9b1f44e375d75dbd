package currency

import "time"

// ownRecord adds the instance itself to the holders that were heard. It holds
// what it holds at this moment.
func (n *Node) ownRecord(now time.Time) quorum {
	if !n.held.IncludesHolder(n.id) {
		return n.quorum
	}
	own := record{
		id:          n.id,
		incarnation: n.incarnation,
		ready:       n.Ready(),
		steps:       []step{{version: n.held.Version, since: n.heldSince}},
		askedAt:     now,
	}
	records := make([]record, 0, len(n.quorum.records)+1)
	records = append(records, n.quorum.records...)
	return quorum{records: append(records, own)}
}

// ownAccepted reports whether the held revision is accepted, from the answers of
// the holders.
func (n *Node) ownAccepted(now time.Time) bool {
	if n.accepted >= n.held.Version || len(n.held.Holders) == 0 {
		return false
	}
	known := n.ownRecord(now)
	return known.accepted(&n.held)
}

// ownAttestation returns what a majority of the holders has answered: that
// nothing is above the held revision. It needs ready holders only, since another
// one may have lost a version.
func (n *Node) ownAttestation(now time.Time) (Attestation, time.Time, bool) {
	known := n.ownRecord(now)
	asOf, heard := known.heardSince(n.held.Holders, true)
	if !heard || known.highest(n.held.Holders) > n.held.Version {
		return Attestation{}, time.Time{}, false
	}
	return Attestation{Accepted: min(n.accepted, n.held.Version), Highest: n.held.Version}, asOf, true
}
