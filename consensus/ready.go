package consensus

import "slices"

// Ready is what the driver must do now, in the order of the fields.
type Ready struct {
	// Messages may be sent at once, before anything is stored: they say nothing of
	// this member's disk.
	Messages []Message
	// Snapshot, if set, replaces the whole stored log and the application's state.
	Snapshot *Snapshot
	// HardState, if set, must be stored.
	HardState *HardState
	// Entries must be stored after the snapshot. An entry replaces the stored one
	// of the same index and removes all later ones.
	Entries []Entry
	// MessagesAfterSync may be sent only when all of the above is synced.
	MessagesAfterSync []Message
	// Committed are to be applied in order, after the above is synced.
	Committed []Entry
}

// pendingReady gathers what the next Ready brings.
type pendingReady struct {
	messages    []Message
	afterSync   []Message
	snapshot    *Snapshot
	storedState HardState
	// taken is the last Ready, until Advance.
	taken *Ready
}

// HasReady tells whether there is anything to do.
func (n *Node) HasReady() bool {
	p := &n.pending
	return len(p.messages) > 0 ||
		len(p.afterSync) > 0 ||
		p.snapshot != nil ||
		n.mustStoreState() ||
		n.log.stable < n.log.lastIndex() ||
		n.log.applied < n.log.committed
}

// mustStoreState tells whether the term or the vote differ from what is stored. A
// commit index alone is not worth a sync: a restarted member learns it again.
func (n *Node) mustStoreState() bool {
	stored := n.pending.storedState
	stored.Commit = n.hardState.Commit
	return stored != n.hardState
}

// Ready takes out what is to be done. Until Advance, no other method that changes
// the node may be called.
func (n *Node) Ready() Ready {
	mustHold(n.pending.taken == nil, "each Ready is followed by Advance")
	n.hardState.Commit = n.log.committed
	ready := Ready{
		Messages:          n.pending.messages,
		Snapshot:          n.pending.snapshot,
		Entries:           n.log.between(n.log.stable, n.log.lastIndex()),
		MessagesAfterSync: n.pending.afterSync,
		Committed:         n.log.between(n.log.applied, n.log.committed),
	}
	if n.mustStoreState() || len(ready.Entries) > 0 || ready.Snapshot != nil {
		state := n.hardState
		ready.HardState = &state
	}
	n.pending.messages = nil
	n.pending.afterSync = nil
	n.pending.snapshot = nil
	n.pending.taken = &ready
	return ready
}

// Advance tells the node that all of the last Ready is done.
func (n *Node) Advance() {
	ready := n.pending.taken
	mustHold(ready != nil, "Advance follows Ready")
	n.pending.taken = nil
	if ready.HardState != nil {
		n.pending.storedState = *ready.HardState
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

// send queues a message that says nothing of this member's disk.
func (n *Node) send(message Message) {
	n.pending.messages = append(n.pending.messages, n.address(message))
}

// sendAfterSync queues a message that promises something that must be on this
// member's disk first.
func (n *Node) sendAfterSync(message Message) {
	n.pending.afterSync = append(n.pending.afterSync, n.address(message))
}

func (n *Node) address(message Message) Message {
	message.From = n.config.ID
	message.FromDisk = n.config.Disk
	return message
}

// noteMemberships records the memberships among entries that were appended.
func (n *Node) noteMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembership && entry.Membership != nil {
			at := membershipAt{index: entry.Index, membership: *entry.Membership}
			n.memberships = append(slices.Clip(n.memberships), at)
		}
	}
}

// StoredEntries returns the entries after an index that are synced, for a log
// that is written anew.
func (n *Node) StoredEntries(after uint64) []Entry {
	return n.log.between(after, n.log.stable)
}
