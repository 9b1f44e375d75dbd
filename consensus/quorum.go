package consensus

import (
	"slices"
	"time"
)

// committableIndex returns the highest index that a majority of the voters has
// on its admitted disks.
func (n *Node) committableIndex() uint64 {
	membership := n.Membership()
	matches := make([]uint64, 0, len(membership.Members))
	for _, member := range membership.Members {
		if member.Voter {
			matches = append(matches, n.matchOf(member))
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-membership.majority()]
}

// matchOf returns up to where a member has the log on its admitted disk.
func (n *Node) matchOf(member Member) uint64 {
	if member.ID == n.config.ID {
		// The leader's own entries count only once they are synced too.
		return n.log.stable
	}
	p := n.progress[member.ID]
	if p == nil || p.disk != member.Disk {
		return 0
	}
	return p.match
}

// quorumHeardAt returns the newest time such that a majority of the voters has
// answered requests sent at or after it; ok is false if there is none yet.
func (n *Node) quorumHeardAt(now time.Time) (at time.Time, ok bool) {
	membership := n.Membership()
	var heard []time.Time
	for _, member := range membership.Members {
		if !member.Voter {
			continue
		}
		if member.ID == n.config.ID {
			heard = append(heard, now)
			continue
		}
		p := n.progress[member.ID]
		if p != nil && p.heard && p.disk == member.Disk {
			heard = append(heard, n.epoch.Add(p.heardAt))
		}
	}
	majority := membership.majority()
	if len(heard) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(heard, time.Time.Compare)
	return heard[len(heard)-majority], true
}

// granted counts the votes for this candidate that count.
func (n *Node) granted() int {
	votes := 0
	for _, member := range n.Membership().Members {
		disk, voted := n.votes[member.ID]
		if voted && member.Voter && disk == member.Disk {
			votes++
		}
	}
	return votes
}
