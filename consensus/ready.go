package consensus

import "slices"

// Ready lists the work that the driver must do, in the order of the fields.
type Ready struct {
	// Messages may be sent at once, before anything is stored: they do not depend
	// on this member's stored state.
	Messages []Message
	// Snapshot, if not nil, replaces the whole stored log and the application's
	// state.
	Snapshot *Snapshot
	// HardState, if not nil, must be stored.
	HardState *HardState
	// Entries must be stored after the snapshot. An entry replaces the stored
	// entry with the same index and removes all later ones.
	Entries []Entry
	// MessagesAfterSync must not be sent before all of the above is synced.
	MessagesAfterSync []Message
	// Committed are the entries to apply, in order, after all of the above is
	// synced.
	Committed []Entry
}

// pendingReady collects the contents of the next Ready.
type pendingReady struct {
	messages        []Message
	afterSync       []Message
	snapshot        *Snapshot
	storedHardState HardState
	// inProgress is the last Ready, until Advance is called.
	inProgress *Ready
}

// HasReady reports whether there is work for the driver.
func (n *Node) HasReady() bool {
	p := &n.pending
	return len(p.messages) > 0 ||
		len(p.afterSync) > 0 ||
		p.snapshot != nil ||
		n.hardStateChanged() ||
		n.log.stable < n.log.lastIndex() ||
		n.log.applied < n.log.committed
}

// hardStateChanged reports whether the term or the vote differs from the stored
// one. A newer commit index alone is not worth a sync: a restarted member learns
// it from the leader.
func (n *Node) hardStateChanged() bool {
	stored := n.pending.storedHardState
	stored.Commit = n.hardState.Commit
	return stored != n.hardState
}

// Ready returns the pending work. No other method that changes the node may be
// called before Advance.
func (n *Node) Ready() Ready {
	assertInvariant(n.pending.inProgress == nil, "each Ready is followed by Advance")
	n.hardState.Commit = n.log.committed
	ready := Ready{
		Messages:          n.pending.messages,
		Snapshot:          n.pending.snapshot,
		Entries:           n.log.between(n.log.stable, n.log.lastIndex()),
		MessagesAfterSync: n.pending.afterSync,
		Committed:         n.log.between(n.log.applied, n.log.committed),
	}
	if n.hardStateChanged() || len(ready.Entries) > 0 || ready.Snapshot != nil {
		state := n.hardState
		ready.HardState = &state
	}
	n.pending.messages = nil
	n.pending.afterSync = nil
	n.pending.snapshot = nil
	n.pending.inProgress = &ready
	return ready
}

// Advance tells the node that the work of the last Ready is done.
func (n *Node) Advance() {
	ready := n.pending.inProgress
	assertInvariant(ready != nil, "Advance follows Ready")
	n.pending.inProgress = nil
	if ready.HardState != nil {
		n.pending.storedHardState = *ready.HardState
	}
	n.log.stable = n.log.lastIndex()
	if applied := len(ready.Committed); applied > 0 {
		n.log.applied = ready.Committed[applied-1].Index
	}
	if n.role == Leader {
		n.advanceCommit()
		n.stepDownIfRemoved()
	}
}

// send queues a message that does not depend on this member's stored state.
func (n *Node) send(message Message) {
	n.pending.messages = append(n.pending.messages, n.setSender(message))
}

// sendAfterSync queues a message that depends on state that must be synced first.
func (n *Node) sendAfterSync(message Message) {
	n.pending.afterSync = append(n.pending.afterSync, n.setSender(message))
}

func (n *Node) setSender(message Message) Message {
	message.From = n.config.ID
	message.FromDisk = n.config.Disk
	return message
}

// recordMemberships adds the memberships among appended entries to the history.
func (n *Node) recordMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembership && entry.Membership != nil {
			added := membershipEntry{index: entry.Index, membership: *entry.Membership}
			n.memberships = append(slices.Clip(n.memberships), added)
		}
	}
}

// StoredEntries returns the synced entries after an index, for a driver that
// rewrites its stored log.
func (n *Node) StoredEntries(after uint64) []Entry {
	return n.log.between(after, n.log.stable)
}
