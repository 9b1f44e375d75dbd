package consensus

import "time"

// ProposeMembership appends a membership change to the leader's log and returns
// the index and the term of its entry. The new membership is in force as soon as
// it is appended; the change is complete when the entry is committed. The change
// must be one that Membership.isValidChangeFrom accepts, and each new voter must
// have caught up.
//
// Invariant: at most one change is uncommitted, and a leader starts one only after
// it has committed an entry of its own term. Otherwise two leaders could each
// append a valid change to the same membership, and the two results could differ
// by two voters, so that their majorities would not overlap.
func (n *Node) ProposeMembership(now time.Time, next Membership) (index, term uint64, err error) {
	if err := n.checkCanPropose(now); err != nil {
		return 0, 0, err
	}
	current := n.memberships.current()
	if current.index > n.log.committed || !n.committedInTerm() {
		return 0, 0, ErrMembershipChangePending
	}
	if !next.isValidChangeFrom(current.membership) {
		return 0, 0, ErrInvalidMembershipChange
	}
	if !n.newVotersCaughtUp(current.membership, next) {
		return 0, 0, ErrNotCaughtUp
	}
	n.appendEntries(Entry{Kind: EntryMembership, Membership: &next})
	n.updateTrackedMembers()
	n.broadcastEntries()
	return n.log.lastIndex(), n.hardState.Term, nil
}

// newVotersCaughtUp reports whether each new voter has stored all committed
// entries on its admitted disk. ProposeMembership requires this: a new member
// catches up as a learner, so that adding it as a voter at no time reduces the
// number of disk losses that the log survives.
func (n *Node) newVotersCaughtUp(current, next Membership) bool {
	for _, member := range next.Members {
		if !member.Voter || current.IsVoter(member.ID, member.Disk) {
			continue
		}
		if n.matchIndex(member) < n.log.committed {
			return false
		}
	}
	return true
}

// updateTrackedMembers makes the leader track the progress of exactly the other
// members of the membership in force.
func (n *Node) updateTrackedMembers() {
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

// stepDownIfRemoved makes a leader step down once the membership in force is
// committed and does not list the leader as a voter.
func (n *Node) stepDownIfRemoved() {
	current := n.memberships.current()
	if n.role != Leader || current.index > n.log.committed {
		return
	}
	if !current.membership.IsVoter(n.config.ID, n.config.Disk) {
		n.becomeFollower(n.lastEventTime, n.hardState.Term, "")
	}
}

// TransferLeadership starts to transfer leadership to the voter with the highest
// match index, for a planned stop. Proposals fail with ErrTransferInProgress until
// the transfer ends. If that voter still lacks entries after an election timeout, or
// some entries are still uncommitted then, the transfer is aborted and the leader
// accepts proposals again.
func (n *Node) TransferLeadership(now time.Time) error {
	if err := n.checkCanPropose(now); err != nil {
		return err
	}
	n.transferee = n.bestTransferee()
	if n.transferee == "" {
		return ErrNotCaughtUp
	}
	n.transferDeadline = now.Add(n.config.ElectionTimeout)
	n.tryCompleteTransfer()
	return nil
}

// bestTransferee returns the voter with the highest match index, and among equals
// the one that was in contact most recently. It returns "" if no voter has been in
// contact.
func (n *Node) bestTransferee() MemberID {
	var best MemberID
	var bestMatch uint64
	var bestContact time.Duration
	for _, member := range n.Membership().Members {
		p := n.progress[member.ID]
		if !member.Voter || p == nil || !p.contacted {
			continue
		}
		match := n.matchIndex(member)
		if match > bestMatch || match == bestMatch && p.lastContact > bestContact {
			best, bestMatch, bestContact = member.ID, match, p.lastContact
		}
	}
	return best
}

// tryCompleteTransfer steps down and tells the transferee to campaign, once the
// transferee has the whole log and all of it is committed.
//
// Invariant: the leader steps down before the transferee campaigns. Voters can
// therefore vote for the transferee without waiting for the leader's lease to
// expire.
func (n *Node) tryCompleteTransfer() {
	if n.transferee == "" || n.log.committed < n.log.lastIndex() {
		return
	}
	member, ok := n.Membership().Find(n.transferee)
	if !ok || n.matchIndex(member) < n.log.lastIndex() {
		return
	}
	n.send(Message{Type: MessageTimeoutNow, To: n.transferee, Term: n.hardState.Term})
	n.becomeFollower(n.lastEventTime, n.hardState.Term, "")
}

// abortExpiredTransfer aborts a transfer whose deadline has passed. The transferee
// has not been told to campaign, so the leader can go on.
func (n *Node) abortExpiredTransfer(now time.Time) {
	if n.transferee != "" && !now.Before(n.transferDeadline) {
		n.transferee = ""
	}
}
