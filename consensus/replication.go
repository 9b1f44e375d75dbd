package consensus

import "time"

// Propose appends commands to the leader's log and returns the index and the term
// of the first one. A command is committed when an entry with its index and term
// appears in Ready.Committed. If an entry with its index but another term appears
// there, the command was discarded.
func (n *Node) Propose(now time.Time, commands ...[]byte) (first, term uint64, err error) {
	if err := n.checkCanPropose(now); err != nil {
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

// checkCanPropose returns an error if this node does not accept proposals now.
func (n *Node) checkCanPropose(now time.Time) error {
	if n.role == Leader {
		n.checkQuorum(now)
	}
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transferee != "" {
		return ErrTransferInProgress
	}
	n.setEventTime(now)
	return nil
}

// appendEntries assigns indexes and the current term to the entries and appends
// them to the leader's log.
func (n *Node) appendEntries(entries ...Entry) {
	for i := range entries {
		entries[i].Index = n.log.lastIndex() + 1
		entries[i].Term = n.hardState.Term
		n.log.append(entries[i])
	}
	n.recordMemberships(entries)
}

// broadcastEntries sends entries to all members that lack some and can receive
// more.
func (n *Node) broadcastEntries() {
	for _, member := range n.Membership().Members {
		if member.ID != n.config.ID {
			n.sendEntries(member.ID)
		}
	}
}

// sendEntries sends a member the entries that it lacks, as far as flow control
// allows.
func (n *Node) sendEntries(to MemberID) {
	p := n.progress[to]
	for p.canSend() && p.next <= n.log.lastIndex() {
		if !n.sendAppend(to, p, n.log.slice(p.next, n.config.MaxMessageBytes)) {
			return
		}
	}
}

// sendAppend sends the entries, which follow the one at p.next-1, or a snapshot if
// that entry is compacted. It reports whether it sent the entries.
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
		SentAt:  n.timestamp(),
	})
	if len(entries) > 0 {
		p.recordSent(entries[len(entries)-1].Index)
	}
	return true
}

// broadcastHeartbeat sends a heartbeat to all other members.
func (n *Node) broadcastHeartbeat(now time.Time) {
	n.setEventTime(now)
	n.nextHeartbeat = now.Add(n.config.HeartbeatInterval)
	for _, member := range n.Membership().Members {
		if member.ID != n.config.ID {
			n.sendHeartbeat(now, member.ID)
		}
	}
}

// sendHeartbeat sends an append without entries, or the next probe. A heartbeat
// also detects lost appends: a member that lacks the entry before p.next rejects
// the heartbeat, and the leader resumes from the last matching entry.
func (n *Node) sendHeartbeat(now time.Time, to MemberID) {
	p := n.progress[to]
	if p.state == sendingSnapshot && !now.Before(p.snapshotRetryAt) {
		p.becomeProbing()
	}
	if p.state == sendingSnapshot {
		n.send(Message{Type: MessageAppend, To: to, Term: n.hardState.Term, SentAt: n.timestamp()})
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

// handleAppend handles an append or a heartbeat from the leader.
func (n *Node) handleAppend(now time.Time, message Message) {
	n.followLeader(now, message)
	response := Message{
		Type:   MessageAppendResponse,
		To:     message.From,
		Term:   n.hardState.Term,
		SentAt: message.SentAt,
	}
	switch {
	case message.Index < n.log.committed:
		// Committed entries are the same in all logs, so they match.
		response.Index = n.log.committed
	case n.log.matches(message.Index, message.LogTerm):
		response.Index = n.appendNewEntries(message)
	default:
		response.Index = message.Index
		response.Reject = true
		response.RejectHint = n.log.rejectHint(message.Index)
	}
	n.sendAfterSync(response)
}

// appendNewEntries appends the entries that the log lacks and returns the last
// index that matches the leader's log. Matching entries are left in place: a
// delayed append must not remove entries that a later append has added.
func (n *Node) appendNewEntries(message Message) uint64 {
	last := message.Index + uint64(len(message.Entries))
	if at := n.log.firstConflict(message.Entries); at < len(message.Entries) {
		missing := message.Entries[at:]
		if missing[0].Index <= n.log.lastIndex() {
			n.log.truncate(missing[0].Index)
			n.memberships = n.memberships.truncate(missing[0].Index)
		}
		n.log.append(missing...)
		n.recordMemberships(missing)
	}
	n.log.committed = max(n.log.committed, min(message.Commit, last))
	return last
}

// followLeader records the sender as the leader of this term.
func (n *Node) followLeader(now time.Time, message Message) {
	assertInvariant(n.role != Leader, "a term has at most one leader")
	n.becomeFollower(now, n.hardState.Term, message.From)
	n.lastLeaderContact = now
}

// handleAppendResponse updates a member's progress, commits entries and sends what
// the member lacks.
func (n *Node) handleAppendResponse(now time.Time, message Message) {
	p := n.progress[message.From]
	if n.role != Leader || p == nil {
		return
	}
	n.setEventTime(now)
	if p.disk != message.FromDisk {
		// What was stored on the previous disk says nothing about the disk that this
		// answer comes from.
		*p = *newProgress(message.FromDisk, n.log.lastIndex())
	}
	p.recordContact(message.SentAt)
	if message.Reject {
		if p.reject(message.Index, message.RejectHint) {
			n.sendProbe(message.From, p)
		}
		return
	}
	assertInvariant(message.Index <= n.log.lastIndex(), "a member's match index is at most the leader's last index")
	p.accept(message.Index)
	n.advanceCommit()
	n.stepDownIfRemoved()
	if n.role != Leader {
		return
	}
	n.sendEntries(message.From)
	n.tryCompleteTransfer()
}

// sendProbe sends the entries from p.next on, or an empty append if there are none,
// to find the last matching entry.
func (n *Node) sendProbe(to MemberID, p *progress) {
	if p.next <= n.log.lastIndex() {
		n.sendEntries(to)
		return
	}
	n.sendAppend(to, p, nil)
}

// advanceCommit commits the entries that a majority has synced.
//
// Invariant: the leader counts disks only for entries of its own term. An older
// entry that a majority has stored can still be replaced (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	index := n.majorityStoredIndex()
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

// committedInTerm reports whether an entry of the leader's own term is committed.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.committed)
	return ok && term == n.hardState.Term
}

// setEventTime sets the time used for the timestamps in messages.
func (n *Node) setEventTime(now time.Time) {
	n.lastEventTime = now
}

// timestamp returns the timestamp for a message sent now.
func (n *Node) timestamp() time.Duration {
	return n.lastEventTime.Sub(n.startTime)
}
