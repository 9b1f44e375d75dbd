package consensus

import "slices"

// entryOverheadBytes is the memory that an entry takes in addition to its data.
const entryOverheadBytes = 64

// entryLog is the log in memory: the base, which is the last compacted entry, and
// the entries after it.
//
// Invariants: base <= applied <= committed <= last; stable <= last; indexes are
// contiguous; terms never decrease; a committed entry never changes.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// stable is the index of the last entry known to be synced to this member's
	// disk. While an installed snapshot is not synced yet, stable is the index of
	// that snapshot.
	stable    uint64
	committed uint64
	applied   uint64
	// bytes is the size in memory of entries.
	bytes int
}

func newEntryLog(baseIndex, baseTerm uint64) entryLog {
	return entryLog{
		baseIndex: baseIndex,
		baseTerm:  baseTerm,
		stable:    baseIndex,
		committed: baseIndex,
		applied:   baseIndex,
	}
}

func entryBytes(entry Entry) int {
	return len(entry.Data) + entryOverheadBytes
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index; ok is false if the entry is not in
// the log or was compacted.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// isUpToDate reports whether a log that ends with the given entry is at least as
// up to date as this one (Raft, section 5.4.1). Members vote only for candidates
// with such a log, so every leader has all committed entries.
func (l *entryLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// append adds entries to the end of the log.
func (l *entryLog) append(entries ...Entry) {
	for _, entry := range entries {
		assertInvariant(entry.Index == l.lastIndex()+1, "entries are contiguous")
		assertInvariant(entry.Term >= l.lastTerm(), "terms never decrease along the log")
		l.entries = append(l.entries, entry)
		l.bytes += entryBytes(entry)
	}
}

// truncate removes the entries from the given index on.
func (l *entryLog) truncate(from uint64) {
	assertInvariant(from > l.committed, "a committed entry is never removed")
	kept := from - l.baseIndex - 1
	for _, entry := range l.entries[kept:] {
		l.bytes -= entryBytes(entry)
	}
	clear(l.entries[kept:])
	l.entries = l.entries[:kept]
	l.stable = min(l.stable, from-1)
}

// firstConflict returns the position in the slice of the first entry that the log
// lacks or holds with another term, or the length of the slice if there is none.
func (l *entryLog) firstConflict(entries []Entry) int {
	for i, entry := range entries {
		if !l.matches(entry.Index, entry.Term) {
			return i
		}
	}
	return len(entries)
}

// slice returns as many entries from the given index on as fit in maxBytes, and at
// least one if the log has an entry at that index. It returns none if that entry is
// compacted.
func (l *entryLog) slice(from uint64, maxBytes int) []Entry {
	if from <= l.baseIndex || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.baseIndex-1:]
	size := 0
	for i, entry := range rest {
		size += entryBytes(entry)
		if i > 0 && size > maxBytes {
			return slices.Clone(rest[:i])
		}
	}
	return slices.Clone(rest)
}

// between returns the entries with indexes in (after, upTo].
func (l *entryLog) between(after, upTo uint64) []Entry {
	if after >= upTo {
		return nil
	}
	return slices.Clone(l.entries[after-l.baseIndex : upTo-l.baseIndex])
}

// bytesAfter returns the size in memory of the entries after the index.
func (l *entryLog) bytesAfter(index uint64) int {
	size := 0
	for _, entry := range l.entries[index-l.baseIndex:] {
		size += entryBytes(entry)
	}
	return size
}

// compact removes the entries up to an applied index and frees their memory.
func (l *entryLog) compact(index uint64) {
	assertInvariant(index <= l.applied && index <= l.stable, "only applied and stored entries are compacted")
	term, ok := l.term(index)
	assertInvariant(ok, "the compacted entry is in the log")
	dropped := index - l.baseIndex
	for _, entry := range l.entries[:dropped] {
		l.bytes -= entryBytes(entry)
	}
	l.entries = slices.Clone(l.entries[dropped:])
	l.baseIndex = index
	l.baseTerm = term
}

// rejectHint returns, for an append that does not match at index, the last earlier
// index at which this log may match the leader's. It skips the uncommitted entries
// that have the same term as the entry at index.
func (l *entryLog) rejectHint(index uint64) uint64 {
	hint := min(index-1, l.lastIndex())
	mismatchTerm, ok := l.term(min(index, l.lastIndex()))
	if !ok || index > l.lastIndex() {
		return hint
	}
	for hint > l.committed {
		term, ok := l.term(hint)
		if !ok || term != mismatchTerm {
			break
		}
		hint--
	}
	return hint
}
