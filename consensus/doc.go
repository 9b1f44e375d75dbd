// Package consensus implements a replicated log for one, three, five or seven
// control instances (instances with the control role), as a pure state machine.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with the pre-vote, check-quorum, leadership
// transfer and one-at-a-time membership changes of Ongaro's dissertation (2014,
// chapters 4, 6 and 9), and one addition: a member is identified by its instance
// and the identity of its disk. A member whose disk is blank or was swapped
// receives the log, but does not vote and does not count towards majorities until
// a membership in the log lists the new disk identity (admits the disk).
//
// A [Node] does no I/O and reads no clock. Its driver passes messages, the time
// and proposals to the node, takes a [Ready] from it, carries out the work that
// the Ready lists and calls [Node.Advance]:
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
// The driver must not call any other method that changes the node between Ready
// and Advance. If storing fails, the driver must discard the node, because the
// contents of the disk are then unknown.
//
// Memory is bounded: the log in memory holds the entries since the last
// compaction, which the driver triggers; proposals are rejected while more than
// Config.MaxUncommittedBytes are uncommitted; and the leader stops sending entries
// to a member while maxInflightAppends appends to that member are unanswered.
package consensus
