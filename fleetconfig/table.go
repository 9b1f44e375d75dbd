package fleetconfig

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
)

// Orderings of the document's tables. Each is strict: no two items of a table compare
// equal.
func compareAccounts(a, b *Account) int { return cmp.Compare(a.ID, b.ID) }
func compareKeys(a, b *Key) int         { return bytes.Compare(a.Hash[:], b.Hash[:]) }
func compareRoutes(a, b *Route) int     { return cmp.Compare(a.ID, b.ID) }
func compareServices(a, b *Service) int { return cmp.Compare(a.Name, b.Name) }
func comparePresets(a, b *Preset) int   { return cmp.Compare(a.Name, b.Name) }

// table applies edits to one sorted slice of a document without modifying the slice.
// Each edit costs one map operation, however long the slice is. At the end, result
// merges the slice and the edits into a copy.
type table[K comparable, V any] struct {
	base        []V
	id          func(*V) K
	compare     func(a, b *V) int
	itemWithKey func(K) V
	edits       map[K]*itemEdit[V]
}

// itemEdit is the state of one item after the edits so far.
type itemEdit[V any] struct {
	item    V
	removed bool
}

func newTable[K comparable, V any](base []V, id func(*V) K, compare func(a, b *V) int, itemWithKey func(K) V) *table[K, V] {
	return &table[K, V]{base: base, id: id, compare: compare, itemWithKey: itemWithKey}
}

// has reports whether the item exists after the edits so far.
func (t *table[K, V]) has(key K) bool {
	if e, edited := t.edits[key]; edited {
		return !e.removed
	}
	target := t.itemWithKey(key)
	_, found := t.find(&target)
	return found
}

func (t *table[K, V]) find(target *V) (int, bool) { return findItem(t.base, target, t.compare) }

// findItem returns the position of target in an ordered slice, and whether it is there.
// Unlike slices.BinarySearchFunc it copies no items. A comparison through a function value
// would move each copy to the heap.
func findItem[V any](items []V, target *V, compare func(a, b *V) int) (int, bool) {
	at := sort.Search(len(items), func(i int) bool { return compare(&items[i], target) >= 0 })
	return at, at < len(items) && compare(&items[at], target) == 0
}

func (t *table[K, V]) put(item V) {
	t.edit(t.id(&item), &itemEdit[V]{item: item})
}

func (t *table[K, V]) remove(key K) {
	t.edit(key, &itemEdit[V]{item: t.itemWithKey(key), removed: true})
}

func (t *table[K, V]) edit(key K, e *itemEdit[V]) {
	if t.edits == nil {
		t.edits = make(map[K]*itemEdit[V])
	}
	t.edits[key] = e
}

// result returns the slice with the edits applied. Without edits it returns the base
// slice itself, so that versions share unchanged tables.
func (t *table[K, V]) result() []V {
	if len(t.edits) == 0 {
		return t.base
	}
	sorted := make([]*itemEdit[V], 0, len(t.edits))
	for _, e := range t.edits {
		sorted = append(sorted, e)
	}
	slices.SortFunc(sorted, func(a, b *itemEdit[V]) int { return t.compare(&a.item, &b.item) })
	merged := make([]V, 0, len(t.base)+len(sorted))
	rest := t.base
	for i := range sorted {
		at, found := findItem(rest, &sorted[i].item, t.compare)
		merged = append(merged, rest[:at]...)
		if !sorted[i].removed {
			merged = append(merged, sorted[i].item)
		}
		if found {
			at++
		}
		rest = rest[at:]
	}
	merged = append(merged, rest...)
	if len(merged) == 0 {
		// An empty table is nil on every replica, so that their encodings are
		// identical.
		return nil
	}
	return slices.Clip(merged)
}

func accountTable(base []Account) *table[AccountID, Account] {
	return newTable(base, func(a *Account) AccountID { return a.ID }, compareAccounts,
		func(id AccountID) Account { return Account{ID: id} })
}

func keyTable(base []Key) *table[KeyHash, Key] {
	return newTable(base, func(k *Key) KeyHash { return k.Hash }, compareKeys,
		func(hash KeyHash) Key { return Key{Hash: hash} })
}

func routeTable(base []Route) *table[string, Route] {
	return newTable(base, func(r *Route) string { return r.ID }, compareRoutes,
		func(id string) Route { return Route{ID: id} })
}

func serviceTable(base []Service) *table[ServiceName, Service] {
	return newTable(base, func(s *Service) ServiceName { return s.Name }, compareServices,
		func(name ServiceName) Service { return Service{Name: name} })
}

func presetTable(base []Preset) *table[string, Preset] {
	return newTable(base, func(p *Preset) string { return p.Name }, comparePresets,
		func(name string) Preset { return Preset{Name: name} })
}
