package consensus

import "time"

// LeadershipConfirmedAt returns the latest time such that a majority of the voters
// has answered requests that this leader sent at or after it. ok is false if this
// node is not the leader, if no majority has answered yet, or if the leader has
// not committed an entry of its own term yet. Before that commit, the leader's
// commit index can be lower than that of an earlier leader.
func (n *Node) LeadershipConfirmedAt(now time.Time) (at time.Time, ok bool) {
	if n.role != Leader || !n.committedInTerm() {
		return time.Time{}, false
	}
	return n.quorumContactAt(now)
}
