package fleetconfig

// Bounds of a DeltaLog.
const (
	// maxDeltas is the largest number of deltas. At 440 changes a day they reach
	// back two days.
	maxDeltas = 1024
	// maxDeltaItems is the largest number of items in all deltas together. An item
	// takes about 150 bytes.
	maxDeltaItems = 32 << 10
)

// DeltaLog keeps the latest deltas, up to 1024 of them and 32,768 items, so that
// an instance that missed a few versions needs no snapshot. The zero value is
// empty. It is not safe for concurrent use.
type DeltaLog struct {
	// deltas are adjacent: each starts at the version that the one before makes.
	deltas []*Delta
	items  int
}

// Add keeps a delta. One that does not follow the last one replaces the whole
// log, as after a snapshot.
func (l *DeltaLog) Add(delta *Delta) {
	if n := len(l.deltas); n > 0 && l.deltas[n-1].To != delta.From {
		l.deltas = nil
		l.items = 0
	}
	l.deltas = append(l.deltas, delta)
	l.items += delta.items()
	drop := 0
	for len(l.deltas)-drop > maxDeltas || l.items > maxDeltaItems {
		l.items -= l.deltas[drop].items()
		drop++
	}
	l.deltas = append([]*Delta(nil), l.deltas[drop:]...)
}

// Since returns the delta between two versions, or false when the log does not
// reach from the one to the other.
func (l *DeltaLog) Since(from, to uint64) (*Delta, bool) {
	var joined *Delta
	for _, delta := range l.deltas {
		switch {
		case joined == nil && delta.From == from:
			joined = delta
		case joined != nil && joined.To < to:
			joined = joined.then(delta)
		}
	}
	if joined == nil || joined.To != to {
		return nil, false
	}
	return joined, true
}

// items returns the size of the delta in items.
func (d *Delta) items() int {
	items := 1 + countItems(d.Accounts) + countItems(d.Keys) + countItems(d.Routes) +
		countItems(d.Services) + countItems(d.Presets)
	if d.Shards != nil {
		items += len(d.Shards.Placements)
	}
	return items
}

func countItems[V any](delta TableDelta[V]) int {
	return len(delta.Put) + len(delta.Removed)
}
