package consensus

import "time"

// LeadershipConfirmedAt returns the newest time such that a majority of the voters has
// answered requests that this leader sent at or after it, and whether this leader
// has committed an entry of its own term: only then does its log show everything
// that earlier leaders have committed. ok is false on a node that does not lead.
func (n *Node) LeadershipConfirmedAt(now time.Time) (at time.Time, ok bool) {
	if n.role != Leader || !n.committedInTerm() {
		return time.Time{}, false
	}
	return n.quorumHeardAt(now)
}
