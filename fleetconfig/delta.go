package fleetconfig

import (
	"fmt"
	"reflect"
	"slices"
)

// Delta is the difference between two versions of the document.
type Delta struct {
	// From is the version that the delta applies to.
	From uint64 `cbor:"1,keyasint"`
	// To is the version that the delta produces.
	To uint64 `cbor:"2,keyasint"`
	// ActivePreset is the name of the active preset in To.
	ActivePreset string `cbor:"3,keyasint"`
	// Accounts, Keys, Routes, Services and Presets are the differences of the tables.
	Accounts TableDelta[Account] `cbor:"4,keyasint"`
	Keys     TableDelta[Key]     `cbor:"5,keyasint"`
	Routes   TableDelta[Route]   `cbor:"6,keyasint"`
	Services TableDelta[Service] `cbor:"7,keyasint"`
	Presets  TableDelta[Preset]  `cbor:"8,keyasint"`
	// Shards is the difference of the shard maps, nil if they are equal.
	Shards *ShardDelta `cbor:"9,keyasint,omitempty"`
	// Holders has the holders and former holders of To. It is nil if neither list
	// changed.
	Holders *HolderDelta `cbor:"10,keyasint,omitempty"`
	// OperatorVersion is the operators' version number of To.
	OperatorVersion uint64 `cbor:"11,keyasint,omitempty"`
	// CallerLimits are the caller limits of To.
	CallerLimits CallerLimits `cbor:"12,keyasint,omitempty"`
	// EvacuatedDomains are the evacuated failure domains of To.
	EvacuatedDomains []FailureDomain `cbor:"13,keyasint,omitempty"`
}

// TableDelta is the difference of one table.
type TableDelta[V any] struct {
	// Put are the items that are new or changed, in table order.
	Put []V `cbor:"1,keyasint,omitempty"`
	// Removed are the items that were removed, in table order. Only their identifying
	// field is set.
	Removed []V `cbor:"2,keyasint,omitempty"`
}

// ShardDelta is the difference of two shard maps.
type ShardDelta struct {
	// Epoch is the epoch of the new map.
	Epoch uint64 `cbor:"1,keyasint"`
	// Count is the number of shards in the new map.
	Count uint32 `cbor:"2,keyasint"`
	// Placements are the shards whose placement differs.
	Placements []NumberedPlacement `cbor:"3,keyasint"`
}

// NumberedPlacement is a placement with the number of its shard.
type NumberedPlacement struct {
	// Shard is the number of the shard.
	Shard uint32 `cbor:"1,keyasint"`
	// Placement is the new placement of the shard.
	Placement ShardPlacement `cbor:"2,keyasint"`
}

// HolderDelta is a changed list of holders.
type HolderDelta struct {
	// Holders are the new holders. The list may be empty.
	Holders []InstanceAddress `cbor:"1,keyasint"`
	// FormerHolders are the holders that the version Delta.To replaces. The list may
	// be empty.
	FormerHolders []InstanceAddress `cbor:"2,keyasint"`
}

// WrongBaseError reports that a delta does not apply to a document.
type WrongBaseError struct {
	// Have is the version of the document.
	Have uint64
	// From is the version that the delta applies to.
	From uint64
}

// Error returns both versions and the remedy.
func (e *WrongBaseError) Error() string {
	return fmt.Sprintf("a delta from version %d does not apply to version %d; request a delta from version %d or a snapshot",
		e.From, e.Have, e.Have)
}

// Diff returns the delta between two versions. It does not compare the items of tables
// that both versions share in memory.
func Diff(from, to *Document) *Delta {
	delta := &Delta{
		From:         from.Version,
		To:           to.Version,
		ActivePreset: to.ActivePreset,
		Accounts: compareTables(from.Accounts, to.Accounts, compareAccounts, equalItems,
			func(a *Account) Account { return Account{ID: a.ID} }),
		Keys: compareTables(from.Keys, to.Keys, compareKeys, equalItems,
			func(k *Key) Key { return Key{Hash: k.Hash} }),
		Routes: compareTables(from.Routes, to.Routes, compareRoutes, equalRoutes,
			func(r *Route) Route { return Route{ID: r.ID} }),
		Services: compareTables(from.Services, to.Services, compareServices, equalItems,
			func(s *Service) Service { return Service{Name: s.Name} }),
		Presets: compareTables(from.Presets, to.Presets, comparePresets, equalItems,
			func(p *Preset) Preset { return Preset{Name: p.Name} }),
		Shards:           compareShards(&from.Shards, &to.Shards),
		OperatorVersion:  to.OperatorVersion,
		CallerLimits:     to.CallerLimits,
		EvacuatedDomains: to.EvacuatedDomains,
	}
	if !slices.Equal(from.Holders, to.Holders) || !slices.Equal(from.FormerHolders, to.FormerHolders) {
		delta.Holders = &HolderDelta{Holders: to.Holders, FormerHolders: to.FormerHolders}
	}
	return delta
}

// compareTables compares two ordered slices in one pass.
func compareTables[V any](from, to []V, compare func(a, b *V) int, equal func(a, b *V) bool, identity func(*V) V) TableDelta[V] {
	var delta TableDelta[V]
	if sameSlice(from, to) {
		return delta
	}
	for len(from) > 0 || len(to) > 0 {
		order := 0
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		default:
			order = compare(&from[0], &to[0])
		}
		switch {
		case order < 0:
			delta.Removed = append(delta.Removed, identity(&from[0]))
			from = from[1:]
		case order > 0:
			delta.Put = append(delta.Put, to[0])
			to = to[1:]
		default:
			if !equal(&from[0], &to[0]) {
				delta.Put = append(delta.Put, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return delta
}

func equalItems[V comparable](a, b *V) bool { return *a == *b }

// equalRoutes compares routes, which contain a slice and are therefore not comparable
// with ==.
func equalRoutes(a, b *Route) bool { return reflect.DeepEqual(a, b) }

// sameSlice reports whether two slices share the same memory.
func sameSlice[V any](a, b []V) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func compareShards(from, to *ShardMap) *ShardDelta {
	if from.Epoch == to.Epoch {
		return nil
	}
	delta := &ShardDelta{Epoch: to.Epoch, Count: uint32(len(to.Shards))}
	for i := range to.Shards {
		if i < len(from.Shards) && reflect.DeepEqual(from.Shards[i], to.Shards[i]) {
			continue
		}
		delta.Placements = append(delta.Placements, NumberedPlacement{Shard: uint32(i), Placement: to.Shards[i]})
	}
	return delta
}
