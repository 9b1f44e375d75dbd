package currency

import "time"

// quorumWithSelf returns the states of the holders including this instance, if it is
// one. The instance knows its own state as of now.
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
// revision is accepted.
func (n *Node) acceptedByHolders(now time.Time) bool {
	if n.accepted >= n.held.Version || len(n.held.Holders) == 0 {
		return false
	}
	known := n.quorumWithSelf(now)
	return known.isAccepted(&n.held)
}

// holderAttestation returns the attestation that follows from the replies of a
// majority of the holders: none of them holds a version above the held one. Only
// ready holders count, since another one may have lost a version.
func (n *Node) holderAttestation(now time.Time) (Attestation, time.Time, bool) {
	known := n.quorumWithSelf(now)
	asOf, replied := known.majorityPolledAt(n.held.Holders, true)
	if !replied || known.highestHeld(n.held.Holders) > n.held.Version {
		return Attestation{}, time.Time{}, false
	}
	return Attestation{Accepted: min(n.accepted, n.held.Version), Highest: n.held.Version}, asOf, true
}
