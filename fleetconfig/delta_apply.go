package fleetconfig

import "slices"

// Apply returns the result of applying the delta to a document. It does not modify the
// document. If the delta cannot be applied completely, Apply returns a *WrongBaseError
// or an *InvalidError.
func (d *Delta) Apply(document *Document) (*Document, error) {
	if document.Version != d.From || d.To < d.From {
		return nil, &WrongBaseError{Have: document.Version, From: d.From}
	}
	shards, err := d.applyShards(&document.Shards)
	if err != nil {
		return nil, err
	}
	next := &Document{
		Version:          d.To,
		ActivePreset:     d.ActivePreset,
		Accounts:         applyTable(accountTable(document.Accounts), d.Accounts),
		Keys:             applyTable(keyTable(document.Keys), d.Keys),
		Routes:           applyTable(routeTable(document.Routes), d.Routes),
		Services:         applyTable(serviceTable(document.Services), d.Services),
		Presets:          applyTable(presetTable(document.Presets), d.Presets),
		Shards:           shards,
		Holders:          document.Holders,
		FormerHolders:    document.FormerHolders,
		OperatorVersion:  d.OperatorVersion,
		CallerLimits:     d.CallerLimits,
		EvacuatedDomains: d.EvacuatedDomains,
	}
	if d.Holders != nil {
		next.Holders = d.Holders.Holders
		next.FormerHolders = d.Holders.FormerHolders
	}
	return next, nil
}

func applyTable[K comparable, V any](t *table[K, V], delta TableDelta[V]) []V {
	for i := range delta.Removed {
		t.remove(t.id(&delta.Removed[i]))
	}
	for i := range delta.Put {
		t.put(delta.Put[i])
	}
	return t.result()
}

func (d *Delta) applyShards(shards *ShardMap) (ShardMap, error) {
	if d.Shards == nil {
		return *shards, nil
	}
	if d.Shards.Count > maxShards {
		return ShardMap{}, &InvalidError{Faults: []Fault{{Subject: "shards", Problem: "the delta has more shards than a document may have", Remedy: "request a snapshot"}}}
	}
	next := ShardMap{Epoch: d.Shards.Epoch, Shards: make([]ShardPlacement, d.Shards.Count)}
	copy(next.Shards, shards.Shards)
	for _, placed := range d.Shards.Placements {
		if placed.Shard >= d.Shards.Count {
			return ShardMap{}, &InvalidError{Faults: []Fault{{Subject: "shards", Problem: "a placement refers to a missing shard", Remedy: "request a snapshot"}}}
		}
		next.Shards[placed.Shard] = placed.Placement
	}
	return next, nil
}

// merge returns one delta with the effect of d followed by next.
func (d *Delta) merge(next *Delta) *Delta {
	merged := &Delta{
		From:             d.From,
		To:               next.To,
		ActivePreset:     next.ActivePreset,
		Accounts:         mergeTableDeltas(d.Accounts, next.Accounts, compareAccounts),
		Keys:             mergeTableDeltas(d.Keys, next.Keys, compareKeys),
		Routes:           mergeTableDeltas(d.Routes, next.Routes, compareRoutes),
		Services:         mergeTableDeltas(d.Services, next.Services, compareServices),
		Presets:          mergeTableDeltas(d.Presets, next.Presets, comparePresets),
		Shards:           mergeShardDeltas(d.Shards, next.Shards),
		Holders:          d.Holders,
		OperatorVersion:  next.OperatorVersion,
		CallerLimits:     next.CallerLimits,
		EvacuatedDomains: next.EvacuatedDomains,
	}
	if next.Holders != nil {
		merged.Holders = next.Holders
	}
	return merged
}

// mergeTableDeltas merges two deltas of a table. For an item that both contain, the
// second delta takes precedence.
func mergeTableDeltas[V any](first, second TableDelta[V], compare func(a, b *V) int) TableDelta[V] {
	if len(first.Put) == 0 && len(first.Removed) == 0 {
		return second
	}
	if len(second.Put) == 0 && len(second.Removed) == 0 {
		return first
	}
	return TableDelta[V]{
		Put:     mergeItems(first.Put, second.Put, second.Removed, compare),
		Removed: mergeItems(first.Removed, second.Removed, second.Put, compare),
	}
}

// mergeItems returns the union of first and second in table order. Items of first that
// second or overridden contains are replaced or omitted.
func mergeItems[V any](first, second, overridden []V, compare func(a, b *V) int) []V {
	merged := make([]V, 0, len(first)+len(second))
	for i := range first {
		at, replaced := findItem(second, &first[i], compare)
		merged = append(merged, second[:at]...)
		second = second[at:]
		if !replaced && !hasItem(overridden, &first[i], compare) {
			merged = append(merged, first[i])
		}
	}
	return append(merged, second...)
}

func hasItem[V any](items []V, target *V, compare func(a, b *V) int) bool {
	_, found := findItem(items, target, compare)
	return found
}

func mergeShardDeltas(first, second *ShardDelta) *ShardDelta {
	if first == nil {
		return second
	}
	if second == nil {
		return first
	}
	merged := &ShardDelta{Epoch: second.Epoch, Count: second.Count}
	for _, placed := range first.Placements {
		overridden := slices.ContainsFunc(second.Placements, func(p NumberedPlacement) bool { return p.Shard == placed.Shard })
		if !overridden {
			merged.Placements = append(merged.Placements, placed)
		}
	}
	merged.Placements = append(merged.Placements, second.Placements...)
	return merged
}
