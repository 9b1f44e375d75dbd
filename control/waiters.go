package control

import "github.com/hemlockring/hemlockring/consensus"

// waiter waits for the outcome of a proposed entry. done has a buffer of one.
type waiter struct {
	term uint64
	done chan<- outcome
}

// waiters holds the waiters by the index of their entry. Their number is bounded by
// maxUncommittedBytes, which limits the uncommitted entries.
type waiters map[uint64]waiter

// finish sends the result of a committed entry to its waiter. If the term of the entry
// differs from that of the proposal, another leader has overwritten the proposed entry.
func (w waiters) finish(entry consensus.Entry, result []byte) {
	waiting, ok := w[entry.Index]
	if !ok {
		return
	}
	delete(w, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- outcome{err: &OutcomeUnknownError{Reason: "another leader overwrote its log entry"}}
		return
	}
	waiting.done <- outcome{result: result}
}

// failAll reports to all waiters that their outcome is unknown.
func (w waiters) failAll(reason string) {
	for index, waiting := range w {
		delete(w, index)
		waiting.done <- outcome{err: &OutcomeUnknownError{Reason: reason}}
	}
}
