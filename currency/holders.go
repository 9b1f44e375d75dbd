package currency

import "time"

// quorumWithSelf returns the known states of the holders. If this instance is a holder
// or former holder, they include its own state. The instance knows its own state as of
// now.
func (n *Node) quorumWithSelf(now time.Time) quorum {
	if !n.held.IncludesHolder(n.id) {
		return n.quorum
	}
	self := holderState{
		id:          n.id,
		incarnation: n.incarnation,
		ready:       n.Ready(),
		versions:    []heldVersion{{version: n.held.Version, since: n.heldSince}},
		sentAt:      now,
	}
	states := make([]holderState, 0, len(n.quorum.states)+1)
	states = append(states, n.quorum.states...)
	return quorum{states: append(states, self)}
}

// acceptedByHolders reports whether the replies of the holders show that the held
// revision is accepted, which was not known before.
func (n *Node) acceptedByHolders(now time.Time) bool {
	if n.accepted >= n.held.Version || len(n.held.Holders) == 0 {
		return false
	}
	known := n.quorumWithSelf(now)
	return known.isAccepted(&n.held)
}

// holderAttestation returns the attestation that follows from the replies of a
// majority of the holders: no holder is known to hold a version above the version that
// this instance holds. Only ready holders count towards the majority, since a holder
// that is not ready may have lost a version.
func (n *Node) holderAttestation(now time.Time) (Attestation, time.Time, bool) {
	known := n.quorumWithSelf(now)
	asOf, replied := known.majorityPolledAt(n.held.Holders, true)
	if !replied || known.highestHeld(n.held.Holders) > n.held.Version {
		return Attestation{}, time.Time{}, false
	}
	return Attestation{Accepted: min(n.accepted, n.held.Version), Highest: n.held.Version}, asOf, true
}
