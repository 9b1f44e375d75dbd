package fleetconfig

import "slices"

// Apply returns the document that the delta makes of a document. The given one
// stays as it is: a delta applies wholly or, with a *WrongBaseError or an
// *InvalidError, not at all.
func (d *Delta) Apply(document *Document) (*Document, error) {
	if document.Version != d.From || d.To < d.From {
		return nil, &WrongBaseError{Have: document.Version, From: d.From}
	}
	shards, err := d.applyShards(&document.Shards)
	if err != nil {
		return nil, err
	}
	next := &Document{
		Version:         d.To,
		ActivePreset:    d.ActivePreset,
		Accounts:        applyTable(accountTable(document.Accounts), d.Accounts),
		Keys:            applyTable(keyTable(document.Keys), d.Keys),
		Routes:          applyTable(routeTable(document.Routes), d.Routes),
		Services:        applyTable(serviceTable(document.Services), d.Services),
		Presets:         applyTable(presetTable(document.Presets), d.Presets),
		Shards:          shards,
		Holders:         document.Holders,
		FormerHolders:   document.FormerHolders,
		OperatorVersion: d.OperatorVersion,
		CallerLimits:    d.CallerLimits,
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
		return ShardMap{}, &InvalidError{Faults: []Fault{{Subject: "shards", Problem: "are too many", Remedy: "ask for a snapshot"}}}
	}
	next := ShardMap{Epoch: d.Shards.Epoch, Shards: make([]ShardPlacement, d.Shards.Count)}
	copy(next.Shards, shards.Shards)
	for _, placed := range d.Shards.Placements {
		if placed.Shard >= d.Shards.Count {
			return ShardMap{}, &InvalidError{Faults: []Fault{{Subject: "shards", Problem: "a placement has no shard", Remedy: "ask for a snapshot"}}}
		}
		next.Shards[placed.Shard] = placed.Placement
	}
	return next, nil
}

// then returns the delta that has the effect of d and next, which follows it.
func (d *Delta) then(next *Delta) *Delta {
	joined := &Delta{
		From:            d.From,
		To:              next.To,
		ActivePreset:    next.ActivePreset,
		Accounts:        joinTables(d.Accounts, next.Accounts, compareAccounts),
		Keys:            joinTables(d.Keys, next.Keys, compareKeys),
		Routes:          joinTables(d.Routes, next.Routes, compareRoutes),
		Services:        joinTables(d.Services, next.Services, compareServices),
		Presets:         joinTables(d.Presets, next.Presets, comparePresets),
		Shards:          joinShards(d.Shards, next.Shards),
		Holders:         d.Holders,
		OperatorVersion: next.OperatorVersion,
		CallerLimits:    next.CallerLimits,
	}
	if next.Holders != nil {
		joined.Holders = next.Holders
	}
	return joined
}

// joinTables lets the later delta win for each item.
func joinTables[V any](first, second TableDelta[V], compare func(a, b *V) int) TableDelta[V] {
	if len(first.Put) == 0 && len(first.Removed) == 0 {
		return second
	}
	if len(second.Put) == 0 && len(second.Removed) == 0 {
		return first
	}
	return TableDelta[V]{
		Put:     joinItems(first.Put, second.Put, second.Removed, compare),
		Removed: joinItems(first.Removed, second.Removed, second.Put, compare),
	}
}

// joinItems returns first without what overridden names, and second, in order.
func joinItems[V any](first, second, overridden []V, compare func(a, b *V) int) []V {
	joined := make([]V, 0, len(first)+len(second))
	for i := range first {
		if !hasItem(second, &first[i], compare) && !hasItem(overridden, &first[i], compare) {
			joined = append(joined, first[i])
		}
	}
	joined = append(joined, second...)
	slices.SortFunc(joined, func(a, b V) int { return compare(&a, &b) })
	return joined
}

func hasItem[V any](items []V, probe *V, compare func(a, b *V) int) bool {
	_, found := slices.BinarySearchFunc(items, probe, func(item V, probe *V) int { return compare(&item, probe) })
	return found
}

func joinShards(first, second *ShardDelta) *ShardDelta {
	if first == nil {
		return second
	}
	if second == nil {
		return first
	}
	joined := &ShardDelta{Epoch: second.Epoch, Count: second.Count}
	for _, placed := range first.Placements {
		overridden := slices.ContainsFunc(second.Placements, func(p NumberedPlacement) bool { return p.Shard == placed.Shard })
		if !overridden {
			joined.Placements = append(joined.Placements, placed)
		}
	}
	joined.Placements = append(joined.Placements, second.Placements...)
	return joined
}
