package consensus

import "slices"

// entryOverhead is what an entry takes in memory beside its data, in bytes.
const entryOverhead = 64

// entryLog is the log in memory: a base, up to which entries were compacted,
// and the entries after it.
//
// Invariants: base <= applied <= committed <= last; stable <= last; entries are
// contiguous; terms never fall; a committed entry never changes.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// stable is the last entry known to be on this member's disk.
	stable    uint64
	committed uint64
	applied   uint64
	bytes     int
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
	return len(entry.Data) + entryOverhead
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

// term returns the term of the entry at index; ok is false if the log does not
// hold it.
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

// isUpToDate tells whether a log that ends with the given entry is at least as
// new as this one. A candidate needs it: so every leader has all committed
// entries.
func (l *entryLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries ...Entry) {
	for _, entry := range entries {
		mustHold(entry.Index == l.lastIndex()+1, "entries are contiguous")
		mustHold(entry.Term >= l.lastTerm(), "terms never fall along the log")
		l.entries = append(l.entries, entry)
		l.bytes += entryBytes(entry)
	}
}

// truncate removes the entries from an index on.
func (l *entryLog) truncate(from uint64) {
	mustHold(from > l.committed, "a committed entry is never removed")
	kept := from - l.baseIndex - 1
	for _, entry := range l.entries[kept:] {
		l.bytes -= entryBytes(entry)
	}
	clear(l.entries[kept:])
	l.entries = l.entries[:kept]
	l.stable = min(l.stable, from-1)
}

// conflict returns the first of the given entries that the log lacks or holds
// with another term, as a position in the slice.
func (l *entryLog) conflict(entries []Entry) int {
	for i, entry := range entries {
		if !l.matches(entry.Index, entry.Term) {
			return i
		}
	}
	return len(entries)
}

// slice returns entries from an index on: at least one if there is one, then as
// many as fit in maxBytes. It returns none if the first one is compacted.
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

// between returns the entries after one index up to another.
func (l *entryLog) between(after, upTo uint64) []Entry {
	if after >= upTo {
		return nil
	}
	return slices.Clone(l.entries[after-l.baseIndex : upTo-l.baseIndex])
}

// bytesAfter returns the size of the entries after an index.
func (l *entryLog) bytesAfter(index uint64) int {
	size := 0
	for _, entry := range l.entries[index-l.baseIndex:] {
		size += entryBytes(entry)
	}
	return size
}

// compact drops the entries up to an applied index and frees their memory.
func (l *entryLog) compact(index uint64) {
	mustHold(index <= l.applied && index <= l.stable, "only applied and stored entries are compacted")
	term, ok := l.term(index)
	mustHold(ok, "the compacted entry is in the log")
	dropped := index - l.baseIndex
	for _, entry := range l.entries[:dropped] {
		l.bytes -= entryBytes(entry)
	}
	l.entries = slices.Clone(l.entries[dropped:])
	l.baseIndex = index
	l.baseTerm = term
}

// hintBefore returns the last index before a mismatch that may still match: it
// skips the whole term of the mismatching entry.
func (l *entryLog) hintBefore(index uint64) uint64 {
	hint := min(index-1, l.lastIndex())
	skipped, ok := l.term(min(index, l.lastIndex()))
	if !ok || index > l.lastIndex() {
		return hint
	}
	for hint > l.committed {
		term, ok := l.term(hint)
		if !ok || term != skipped {
			break
		}
		hint--
	}
	return hint
}
