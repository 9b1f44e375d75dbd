package consensus

import (
	"slices"
	"time"
)

// majorityStoredIndex returns the highest index that a majority of the voters has
// stored on their admitted disks.
func (n *Node) majorityStoredIndex() uint64 {
	membership := n.Membership()
	matches := make([]uint64, 0, len(membership.Members))
	for _, member := range membership.Members {
		if member.Voter {
			matches = append(matches, n.matchIndex(member))
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-membership.majority()]
}

// matchIndex returns the last index that a member is known to have stored on its
// admitted disk.
func (n *Node) matchIndex(member Member) uint64 {
	if member.ID == n.config.ID {
		// The leader's own entries, too, count only once they are synced.
		return n.log.stable
	}
	p := n.progress[member.ID]
	if p == nil || p.disk != member.Disk {
		return 0
	}
	return p.match
}

// quorumContactAt returns the latest time such that a majority of the voters has
// answered requests sent at or after it. ok is false if no majority has answered
// yet.
func (n *Node) quorumContactAt(now time.Time) (at time.Time, ok bool) {
	membership := n.Membership()
	var contacts []time.Time
	for _, member := range membership.Members {
		if !member.Voter {
			continue
		}
		if member.ID == n.config.ID {
			contacts = append(contacts, now)
			continue
		}
		p := n.progress[member.ID]
		if p != nil && p.contacted && p.disk == member.Disk {
			contacts = append(contacts, n.startTime.Add(p.lastContact))
		}
	}
	majority := membership.majority()
	if len(contacts) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(contacts, time.Time.Compare)
	return contacts[len(contacts)-majority], true
}

// grantedVotes counts the votes granted by voters with their admitted disks.
func (n *Node) grantedVotes() int {
	votes := 0
	for _, member := range n.Membership().Members {
		disk, voted := n.votes[member.ID]
		if voted && member.Voter && disk == member.Disk {
			votes++
		}
	}
	return votes
}
