package consensus

import "time"

// snapshotRetryTimeouts is after how many election timeouts a leader sends a
// snapshot again that was not confirmed.
const snapshotRetryTimeouts = 10

// sendSnapshot sends the newest snapshot to a member that lacks compacted
// entries. The driver puts the data in.
func (n *Node) sendSnapshot(to MemberID, p *progress) {
	snapshot := n.snapshot
	n.send(Message{
		Type:     MessageSnapshot,
		To:       to,
		Term:     n.hardState.Term,
		Snapshot: &snapshot,
		SentAt:   n.sentAt(),
	})
	p.becomeInstalling(snapshot.Index, n.lastTick.Add(snapshotRetryTimeouts*n.config.ElectionTimeout))
}

// handleSnapshot takes the leader's state in place of entries.
func (n *Node) handleSnapshot(now time.Time, message Message) {
	n.followLeader(now, message)
	n.sendAfterSync(Message{
		Type:   MessageAppendResponse,
		To:     message.From,
		Term:   n.hardState.Term,
		Index:  max(message.Snapshot.Index, n.log.committed),
		SentAt: message.SentAt,
	})
	if message.Snapshot.Index <= n.log.committed {
		return
	}
	if n.log.matches(message.Snapshot.Index, message.Snapshot.Term) {
		// The log has all of it and perhaps entries after it, which this member may
		// have confirmed: they stay.
		n.log.committed = message.Snapshot.Index
		return
	}
	n.installSnapshot(*message.Snapshot)
}

// installSnapshot replaces the whole log.
func (n *Node) installSnapshot(snapshot Snapshot) {
	n.pending.snapshot = &snapshot
	n.snapshot = snapshot
	n.snapshot.Data = nil
	n.log = newEntryLog(snapshot.Index, snapshot.Term)
	n.memberships = membershipLog{{index: snapshot.Index, membership: snapshot.Membership}}
}

// SnapshotMetadata returns the description of a snapshot of the state after all
// applied entries. The driver adds the application's data, stores it and then
// calls Compact.
func (n *Node) SnapshotMetadata() Snapshot {
	term, ok := n.log.term(n.log.applied)
	mustHold(ok, "the last applied entry is not compacted")
	return Snapshot{Index: n.log.applied, Term: term, Membership: n.memberships.at(n.log.applied)}
}

// Compact drops entries from memory that a stored snapshot covers, but for the
// newest retain of them: members that lag a little then need no snapshot.
func (n *Node) Compact(snapshot Snapshot, retain uint64) {
	if snapshot.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = snapshot
	n.snapshot.Data = nil
	if snapshot.Index <= n.log.baseIndex+retain {
		return
	}
	n.log.compact(snapshot.Index - retain)
	n.memberships = n.memberships.compact(n.log.baseIndex)
}
