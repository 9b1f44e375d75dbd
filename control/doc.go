// Package control drives the replicated log of the control instances.
//
// A [Node] is a supervised service that owns a consensus state machine, its
// files and an application's [StateMachine]. It does the input and output that
// the consensus package asks for: it stores and syncs entries, exchanges
// messages with the other control instances, and applies committed commands.
package control
