package fleetconfig

import (
	"fmt"
	"slices"
)

// editor applies a list of changes to a document and keeps the result beside it. The
// document itself is not modified, so a refused command has no effect.
type editor struct {
	faultList
	base            *Document
	accounts        *table[AccountID, Account]
	keys            *table[KeyHash, Key]
	routes          *table[string, Route]
	services        *table[ServiceName, Service]
	presets         *table[string, Preset]
	activePreset    string
	shards          ShardMap
	holders         []InstanceAddress
	operatorVersion uint64
	callerLimits    CallerLimits
	evacuated       []FailureDomain
}

func newEditor(base *Document) *editor {
	return &editor{
		base:            base,
		accounts:        accountTable(base.Accounts),
		keys:            keyTable(base.Keys),
		routes:          routeTable(base.Routes),
		services:        serviceTable(base.Services),
		presets:         presetTable(base.Presets),
		activePreset:    base.ActivePreset,
		shards:          base.Shards,
		holders:         base.Holders,
		operatorVersion: base.OperatorVersion,
		callerLimits:    base.CallerLimits,
		evacuated:       base.EvacuatedDomains,
	}
}

// edit returns the document with the changes applied, or all faults.
func edit(base *Document, changes []Change) (*Document, []Fault) {
	e := newEditor(base)
	for i := range changes {
		e.apply(&changes[i])
	}
	if faults := e.list(); len(faults) > 0 {
		return nil, faults
	}
	document := &Document{
		Version:          base.Version + 1,
		ActivePreset:     e.activePreset,
		Accounts:         e.accounts.result(),
		Keys:             e.keys.result(),
		Routes:           e.routes.result(),
		Services:         e.services.result(),
		Presets:          e.presets.result(),
		Shards:           e.shards,
		Holders:          e.holders,
		OperatorVersion:  e.operatorVersion,
		CallerLimits:     e.callerLimits,
		EvacuatedDomains: e.evacuated,
	}
	if !slices.Equal(base.Holders, document.Holders) {
		document.FormerHolders = base.Holders
	}
	if faults := Validate(document); len(faults) > 0 {
		return nil, faults
	}
	return document, nil
}

func (e *editor) apply(change *Change) {
	switch change.Kind {
	case CreateAccount, UpdateAccount:
		put(e, change, e.accounts, change.Account, CreateAccount)
	case RemoveAccount:
		remove(e, change, e.accounts, AccountID(change.Name))
	case CreateRoute, UpdateRoute:
		put(e, change, e.routes, change.Route, CreateRoute)
	case RemoveRoute:
		remove(e, change, e.routes, change.Name)
	case CreateService, UpdateService:
		put(e, change, e.services, change.Service, CreateService)
	case RemoveService:
		remove(e, change, e.services, ServiceName(change.Name))
	case CreatePreset, UpdatePreset:
		put(e, change, e.presets, change.Preset, CreatePreset)
	case RemovePreset:
		remove(e, change, e.presets, change.Name)
	case UsePreset:
		e.activePreset = change.Name
	case GiveKey:
		put(e, change, e.keys, change.Key, GiveKey)
	case WithdrawKey:
		e.withdrawKey(change)
	default:
		e.applyOtherKind(change)
	}
}

// applyOtherKind applies a change that is not an edit of one item of a table.
func (e *editor) applyOtherKind(change *Change) {
	switch change.Kind {
	case PlaceShards:
		e.placeShards(change)
	case OpenShards:
		e.openShards()
	case StepShard:
		e.stepShard(change)
	case SetHolders:
		e.holders = slices.Clone(change.Holders)
	case ReplaceAll:
		e.replaceAll(change)
	case EvacuateDomain:
		e.evacuate(FailureDomain(change.Name))
	case EndEvacuation:
		e.endEvacuation(FailureDomain(change.Name))
	default:
		e.add("change", "kind", fmt.Sprintf("%.64q is unknown", change.Kind), "use one of the kinds that the API documents")
	}
}

// put adds or replaces an item. creates is the kind of change that adds an item to the
// table; every other kind replaces an item.
func put[K comparable, V any](e *editor, change *Change, t *table[K, V], item *V, creates ChangeKind) {
	if item == nil {
		e.add("change", string(change.Kind), "the item is missing", "send the whole item with the change")
		return
	}
	exists := t.has(t.id(item))
	if change.Kind == creates && exists {
		e.add(change.Subject(), "", "already exists", "update it, or choose another name")
		return
	}
	if change.Kind != creates && !exists {
		e.add(change.Subject(), "", "does not exist", "create it, or correct the name")
		return
	}
	t.put(*item)
}

func remove[K comparable, V any](e *editor, change *Change, t *table[K, V], key K) {
	if !t.has(key) {
		e.add(fmt.Sprintf("%.64s", change.Name), string(change.Kind), "does not exist", "correct the name, or omit the change")
		return
	}
	t.remove(key)
}

func (e *editor) withdrawKey(change *Change) {
	hash, found := findKeyID(e.base.Keys, KeyID(change.Name))
	if !found || !e.keys.has(hash) {
		e.add("key "+fmt.Sprintf("%.64s", change.Name), "", "does not exist",
			"it may already have been withdrawn; list the keys and correct the key id")
		return
	}
	e.keys.remove(hash)
}
