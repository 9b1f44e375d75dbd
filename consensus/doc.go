// Package consensus is a replicated log for one, three, five or seven control
// instances, as a pure state machine.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with the pre-vote, check-quorum, leadership
// transfer and one-at-a-time membership changes of Ongaro's dissertation (2014,
// chapters 4, 6 and 9), and one addition: a member is a pair of an instance and
// the identity of its disk. A member whose disk is blank or was swapped receives
// the log, but neither votes nor counts until the log admits the new identity.
//
// A [Node] does no I/O and reads no clock. Its driver hands in messages, the
// time and proposals, takes out a [Ready], does what it asks for and calls
// [Node.Advance]:
//
//	node.Step(now, message)
//	node.Tick(now)
//	if node.HasReady() {
//		ready := node.Ready()
//		send(ready.Messages)
//		storeAndSync(ready.Snapshot, ready.HardState, ready.Entries)
//		send(ready.MessagesAfterSync)
//		apply(ready.Committed)
//		node.Advance()
//	}
//
// Nothing may be handed in between Ready and Advance. If storing fails, the
// driver must drop the node: what is on the disk is then not known.
//
// State is bounded: the log in memory holds at most the entries since the last
// compaction, which the driver triggers, proposals are refused while
// Config.MaxUncommittedBytes are outstanding, and at most maxInflight messages
// are on their way to a member.
package consensus
