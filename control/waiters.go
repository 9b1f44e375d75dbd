package control

import "github.com/hemlockring/hemlockring/consensus"

// waiter waits for the entry that it proposed.
type waiter struct {
	term uint64
	done chan<- outcome
}

// waiters are those who wait for an outcome, by index. They are bounded by what
// the log accepts before it is committed.
type waiters map[uint64]waiter

// finish gives the outcome of an entry to the one who waits for it.
func (w waiters) finish(entry consensus.Entry, result []byte) {
	waiting, ok := w[entry.Index]
	if !ok {
		return
	}
	delete(w, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- outcome{err: &OutcomeUnknownError{Reason: "another leader's entry took its place"}}
		return
	}
	waiting.done <- outcome{result: result}
}

// failAll tells all who wait that their outcome is unknown.
func (w waiters) failAll(reason string) {
	for index, waiting := range w {
		delete(w, index)
		waiting.done <- outcome{err: &OutcomeUnknownError{Reason: reason}}
	}
}
