package consensus

import "time"

// snapshotRetryTimeouts is the number of election timeouts after which a leader
// sends an unconfirmed snapshot again.
const snapshotRetryTimeouts = 10

// sendSnapshot sends the newest snapshot to a member that lacks compacted entries.
// The driver fills in the data.
func (n *Node) sendSnapshot(to MemberID, p *progress) {
	snapshot := n.snapshot
	n.send(Message{
		Type:     MessageSnapshot,
		To:       to,
		Term:     n.hardState.Term,
		Snapshot: &snapshot,
		SentAt:   n.timestamp(),
	})
	p.becomeSendingSnapshot(snapshot.Index, n.lastEventTime.Add(snapshotRetryTimeouts*n.config.ElectionTimeout))
}

// handleSnapshot handles a snapshot from the leader.
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
		// The log already has all entries that the snapshot covers. It is kept, because
		// this member may have confirmed entries after the snapshot.
		n.log.committed = message.Snapshot.Index
		return
	}
	n.installSnapshot(*message.Snapshot)
}

// installSnapshot replaces the whole log with the snapshot.
func (n *Node) installSnapshot(snapshot Snapshot) {
	n.pending.snapshot = &snapshot
	n.snapshot = snapshot
	n.snapshot.Data = nil
	n.log = newEntryLog(snapshot.Index, snapshot.Term)
	n.memberships = membershipHistory{{index: snapshot.Index, membership: snapshot.Membership}}
}

// SnapshotMetadata returns a snapshot of the state after all applied entries,
// without the application's data. The driver adds the data, stores the snapshot
// and then calls Compact.
func (n *Node) SnapshotMetadata() Snapshot {
	term, ok := n.log.term(n.log.applied)
	assertInvariant(ok, "the last applied entry is not compacted")
	return Snapshot{Index: n.log.applied, Term: term, Membership: n.memberships.at(n.log.applied)}
}

// Compact removes from memory the entries that a stored snapshot covers, except the
// newest ones, whose number is retain. Members that lack only retained entries thus
// need no snapshot.
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
