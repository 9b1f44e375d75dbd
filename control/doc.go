// Package control runs the replicated log on the control instances, which are the
// instances that store this log and elect its leader.
//
// A [Node] is a supervised service that owns a consensus node, its log on disk and
// the application's [StateMachine]. It performs the I/O that package consensus
// requests: it stores and syncs entries, exchanges messages with the other control
// instances, and applies committed commands to the state machine.
package control
