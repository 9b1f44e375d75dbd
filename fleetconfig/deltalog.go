package fleetconfig

// Limits of a DeltaLog.
const (
	// maxDeltas is the maximum number of deltas. At 440 changes per day, the deltas of
	// more than two days are kept.
	maxDeltas = 1024
	// maxDeltaItems is the maximum number of items in all deltas together. An item
	// takes about 150 bytes.
	maxDeltaItems = 32 << 10
)

// DeltaLog keeps the latest deltas, up to 1024 deltas and 32,768 items, so that an
// instance that missed a few versions does not need a snapshot. The zero value is
// empty. It is not safe for concurrent use.
type DeltaLog struct {
	// deltas are contiguous: the From of each is the To of the previous one.
	deltas []*Delta
	// items is the number of items in all deltas; see Delta.items.
	items int
}

// Add appends a delta. If its From is not the To of the latest delta in the log, the
// older deltas are dropped.
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

// Since returns the delta between two versions, or false if the log does not cover
// them.
func (l *DeltaLog) Since(from, to uint64) (*Delta, bool) {
	var merged *Delta
	for _, delta := range l.deltas {
		switch {
		case merged == nil && delta.From == from:
			merged = delta
		case merged != nil && merged.To < to:
			merged = merged.merge(delta)
		}
	}
	if merged == nil || merged.To != to {
		return nil, false
	}
	return merged, true
}

// items returns the size of the delta for maxDeltaItems: one, and one for each item of
// a table and each placement.
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
