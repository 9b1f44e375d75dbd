package consensus

import "time"

// ProposeMembership appends a change of members. The membership is in force at
// once; it is done when its entry is committed. See [Membership] for what may
// follow what.
//
// Invariant: at most one change is uncommitted, and a leader begins one only
// after an entry of its own term is committed. Otherwise the memberships of two
// leaders could each be one step from the same one and two steps apart.
func (n *Node) ProposeMembership(now time.Time, next Membership) (index, term uint64, err error) {
	if err := n.mayAppend(now); err != nil {
		return 0, 0, err
	}
	current := n.memberships.current()
	if current.index > n.log.committed || !n.committedInTerm() {
		return 0, 0, ErrMembershipChangePending
	}
	if !next.mayFollow(current.membership) {
		return 0, 0, ErrInvalidMembershipChange
	}
	if !n.newVotersCaughtUp(current.membership, next) {
		return 0, 0, ErrNotCaughtUp
	}
	n.appendEntries(Entry{Kind: EntryMembership, Membership: &next})
	n.syncProgress()
	n.broadcastEntries()
	return n.log.lastIndex(), n.hardState.Term, nil
}

// newVotersCaughtUp tells whether each new voter has all committed entries on
// its admitted disk. So a new voter never lowers the number of losses that the
// log survives, not even while it catches up.
func (n *Node) newVotersCaughtUp(current, next Membership) bool {
	for _, member := range next.Members {
		if !member.Voter || current.IsVoter(member.ID, member.Disk) {
			continue
		}
		if n.matchOf(member) < n.log.committed {
			return false
		}
	}
	return true
}

// syncProgress makes the leader's progress follow the membership in force.
func (n *Node) syncProgress() {
	membership := n.Membership()
	for id := range n.progress {
		if _, ok := membership.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, member := range membership.Members {
		if member.ID != n.config.ID && n.progress[member.ID] == nil {
			n.progress[member.ID] = newProgress(member.Disk, n.log.lastIndex())
		}
	}
}

// stepDownIfRemoved makes a leader step down that the membership no longer lists
// as a voter, once that is committed.
func (n *Node) stepDownIfRemoved() {
	current := n.memberships.current()
	if n.role != Leader || current.index > n.log.committed {
		return
	}
	if !current.membership.IsVoter(n.config.ID, n.config.Disk) {
		n.becomeFollower(n.lastTick, n.hardState.Term, "")
	}
}

// TransferLeadership makes the leader hand over to the voter that has most of its
// log, for a planned stop. It takes no proposals from now on. If no voter has the
// whole log within an election timeout, it goes on as before.
func (n *Node) TransferLeadership(now time.Time) error {
	if err := n.mayAppend(now); err != nil {
		return err
	}
	n.transferee = n.bestTransferee()
	if n.transferee == "" {
		return ErrNotCaughtUp
	}
	n.transferEnd = now.Add(n.config.ElectionTimeout)
	n.completeTransfer()
	return nil
}

// bestTransferee returns the voter with most of the log; among equals, the one
// that answered last. It returns "" if there is none.
func (n *Node) bestTransferee() MemberID {
	var best MemberID
	var bestMatch uint64
	var bestHeardAt time.Duration
	for _, member := range n.Membership().Members {
		p := n.progress[member.ID]
		if !member.Voter || p == nil || !p.heard {
			continue
		}
		match := n.matchOf(member)
		if match > bestMatch || match == bestMatch && p.heardAt > bestHeardAt {
			best, bestMatch, bestHeardAt = member.ID, match, p.heardAt
		}
	}
	return best
}

// completeTransfer steps down in favour of the transferee once it has the whole
// log and all of it is committed.
//
// Invariant: the leader steps down before the transferee campaigns. The votes
// for the transferee don't wait until this leader's lease has run out.
func (n *Node) completeTransfer() {
	if n.transferee == "" || n.log.committed < n.log.lastIndex() {
		return
	}
	member, ok := n.Membership().Find(n.transferee)
	if !ok || n.matchOf(member) < n.log.lastIndex() {
		return
	}
	n.send(Message{Type: MessageTimeoutNow, To: n.transferee, Term: n.hardState.Term})
	n.becomeFollower(n.lastTick, n.hardState.Term, "")
}

// tickTransfer gives a transfer up whose time is over. The transferee has not
// been told to campaign.
func (n *Node) tickTransfer(now time.Time) {
	if n.transferee != "" && !now.Before(n.transferEnd) {
		n.transferee = ""
	}
}
