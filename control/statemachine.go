package control

import "context"

// StateMachine is the application's replicated state. A [Node] calls its methods from
// one goroutine, in log order.
type StateMachine interface {
	// Apply applies a committed command and returns the result for the proposer. It
	// must be deterministic, since every control instance applies the same commands in
	// the same order. If the application rejects a command, the rejection is the result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the encoded state, which must stay below 60 MiB to fit in one call
	// to another instance. No command is applied while Snapshot runs.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Proposer submits commands to the replicated log. [Node] implements it; tests of code
// that proposes commands use a fake.
type Proposer interface {
	// Propose replicates a command and returns the result of applying it. It fails with
	// [NotLeaderError] or [BusyError] if the command was definitely not proposed, and
	// with [OutcomeUnknownError] if it may still be applied.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
}
