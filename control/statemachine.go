package control

import "context"

// StateMachine is the application's state. A [Node] calls its methods from one
// goroutine, in log order.
type StateMachine interface {
	// Apply executes a committed command and returns the result for the proposer.
	// It must be deterministic: every control instance applies the same commands
	// in the same order. A command that the application refuses is a result too.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state, encoded. It must stay below 60 MiB, so that
	// it fits in one call to another instance. No command is applied meanwhile.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Proposer submits commands to the replicated log. [Node] implements it; code
// that builds on it can be tested with a fake.
type Proposer interface {
	// Propose replicates a command and returns the result of applying it. It
	// fails with [NotLeaderError] or [BusyError] if the command was certainly not
	// proposed, and with [OutcomeUnknownError] if it may still be applied.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
}
