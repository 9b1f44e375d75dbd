package consensus

import "time"

// Propose appends commands to the leader's log and returns the index and the
// term of the first one. A command is committed once an entry of that index and
// term appears in Ready.Committed; if another entry appears there, it is not.
func (n *Node) Propose(now time.Time, commands ...[]byte) (first, term uint64, err error) {
	if err := n.mayAppend(now); err != nil {
		return 0, 0, err
	}
	if n.log.bytesAfter(n.log.committed) > n.config.MaxUncommittedBytes {
		return 0, 0, ErrTooMuchUncommitted
	}
	first = n.log.lastIndex() + 1
	entries := make([]Entry, 0, len(commands))
	for _, command := range commands {
		entries = append(entries, Entry{Kind: EntryCommand, Data: command})
	}
	n.appendEntries(entries...)
	n.broadcastEntries()
	return first, n.hardState.Term, nil
}

// mayAppend tells why this node takes no proposals now.
func (n *Node) mayAppend(now time.Time) error {
	if n.role == Leader {
		n.checkQuorum(now)
	}
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transferee != "" {
		return ErrTransferInProgress
	}
	n.tickedAt(now)
	return nil
}

// appendEntries gives entries their place in the leader's log.
func (n *Node) appendEntries(entries ...Entry) {
	for i := range entries {
		entries[i].Index = n.log.lastIndex() + 1
		entries[i].Term = n.hardState.Term
		n.log.append(entries[i])
	}
	n.noteMemberships(entries)
}

// broadcastEntries sends what is new to all members that can take it.
func (n *Node) broadcastEntries() {
	for _, member := range n.Membership().Members {
		if member.ID != n.config.ID {
			n.sendEntries(member.ID)
		}
	}
}

// sendEntries sends a member what it lacks, as far as it can take it.
func (n *Node) sendEntries(to MemberID) {
	p := n.progress[to]
	for p.canSend() && p.next <= n.log.lastIndex() {
		if !n.sendAppend(to, p, n.log.slice(p.next, n.config.MaxMessageBytes)) {
			return
		}
	}
}

// sendAppend sends entries that follow p.next-1, or a snapshot if that entry is
// compacted. It tells whether it sent the entries.
func (n *Node) sendAppend(to MemberID, p *progress, entries []Entry) bool {
	previous := p.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		n.sendSnapshot(to, p)
		return false
	}
	n.send(Message{
		Type:    MessageAppend,
		To:      to,
		Term:    n.hardState.Term,
		Index:   previous,
		LogTerm: term,
		Commit:  n.log.committed,
		Entries: entries,
		SentAt:  n.sentAt(),
	})
	if len(entries) > 0 {
		p.noteSent(entries[len(entries)-1].Index)
	}
	return true
}

// broadcastHeartbeat tells all members that the leader is there.
func (n *Node) broadcastHeartbeat(now time.Time) {
	n.tickedAt(now)
	n.heartbeatAt = now.Add(n.config.HeartbeatInterval)
	for _, member := range n.Membership().Members {
		if member.ID != n.config.ID {
			n.sendHeartbeat(now, member.ID)
		}
	}
}

// sendHeartbeat sends an append without entries. It also finds out what was lost:
// a member that lacks the entry before p.next refuses it, and the leader goes
// back.
func (n *Node) sendHeartbeat(now time.Time, to MemberID) {
	p := n.progress[to]
	if p.state == installing && !now.Before(p.snapshotRetryAt) {
		p.becomeProbing()
	}
	if p.state == installing {
		n.send(Message{Type: MessageAppend, To: to, Term: n.hardState.Term, SentAt: n.sentAt()})
		return
	}
	if p.state == probing {
		p.paused = false
		if p.next <= n.log.lastIndex() {
			n.sendEntries(to)
			return
		}
	}
	n.sendAppend(to, p, nil)
}

// handleAppend takes entries from the leader.
func (n *Node) handleAppend(now time.Time, message Message) {
	n.followLeader(now, message)
	answer := Message{
		Type:   MessageAppendResponse,
		To:     message.From,
		Term:   n.hardState.Term,
		SentAt: message.SentAt,
	}
	switch {
	case message.Index < n.log.committed:
		// Committed entries are the same everywhere.
		answer.Index = n.log.committed
	case n.log.matches(message.Index, message.LogTerm):
		answer.Index = n.takeEntries(message)
	default:
		answer.Index = message.Index
		answer.Reject = true
		answer.RejectHint = n.log.hintBefore(message.Index)
	}
	n.sendAfterSync(answer)
}

// takeEntries appends what the log lacks and returns the last index that matches
// the leader's log. Entries that are there already are left alone: a delayed
// append must not remove what a later one brought.
func (n *Node) takeEntries(message Message) uint64 {
	last := message.Index + uint64(len(message.Entries))
	if at := n.log.conflict(message.Entries); at < len(message.Entries) {
		missing := message.Entries[at:]
		if missing[0].Index <= n.log.lastIndex() {
			n.log.truncate(missing[0].Index)
			n.memberships = n.memberships.truncate(missing[0].Index)
		}
		n.log.append(missing...)
		n.noteMemberships(missing)
	}
	n.log.committed = max(n.log.committed, min(message.Commit, last))
	return last
}

// followLeader notes that the sender leads this term.
func (n *Node) followLeader(now time.Time, message Message) {
	mustHold(n.role != Leader, "a term has one leader")
	n.becomeFollower(now, n.hardState.Term, message.From)
	n.leaderSeenAt = now
}

// handleAppendResponse learns how far a member's log matches.
func (n *Node) handleAppendResponse(now time.Time, message Message) {
	p := n.progress[message.From]
	if n.role != Leader || p == nil {
		return
	}
	n.tickedAt(now)
	if p.disk != message.FromDisk {
		// Nothing that another disk has answered holds for this one.
		*p = *newProgress(message.FromDisk, n.log.lastIndex())
	}
	p.noteHeard(message.SentAt)
	if message.Reject {
		if p.reject(message.Index, message.RejectHint) {
			n.sendAppendOrEntries(message.From, p)
		}
		return
	}
	mustHold(message.Index <= n.log.lastIndex(), "no member has more of this term than its leader")
	p.accept(message.Index)
	n.advanceCommit()
	n.stepDownIfRemoved()
	if n.role != Leader {
		return
	}
	n.sendEntries(message.From)
	n.completeTransfer()
}

// sendAppendOrEntries probes a member again.
func (n *Node) sendAppendOrEntries(to MemberID, p *progress) {
	if p.next <= n.log.lastIndex() {
		n.sendEntries(to)
		return
	}
	n.sendAppend(to, p, nil)
}

// advanceCommit commits what a majority has synced.
//
// Invariant: the leader counts only entries of its own term. An older entry on a
// majority of disks can still be replaced (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	index := n.committableIndex()
	if index <= n.log.committed || !n.log.matches(index, n.hardState.Term) {
		return
	}
	n.log.committed = index
	for _, member := range n.Membership().Members {
		if p := n.progress[member.ID]; p != nil && p.state == replicating {
			n.sendAppend(member.ID, p, nil)
		}
	}
}

// committedInTerm tells whether an entry of the leader's own term is committed.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.committed)
	return ok && term == n.hardState.Term
}

// tickedAt notes the time for the time stamps of messages.
func (n *Node) tickedAt(now time.Time) {
	n.lastTick = now
}

// sentAt returns the time stamp of a message sent now.
func (n *Node) sentAt() time.Duration {
	return n.lastTick.Sub(n.epoch)
}
