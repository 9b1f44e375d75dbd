package fleetconfig

import "slices"

// Changes returns the changes that turn current into wanted, including the changes of
// keys and holders. They do not change the shard map, the operator version, the caller
// limits and the evacuations. Apart from these four, the resulting document differs from
// wanted only in its version and its former holders.
func Changes(current, wanted *Document) []Change {
	var changes []Change
	delta := Diff(current, wanted)
	changes = appendPuts(changes, delta.Services, serviceTable(current.Services), func(service *Service, exists bool) Change {
		return Change{Kind: updateOrCreate(exists, UpdateService, CreateService), Service: service}
	})
	changes = appendPuts(changes, delta.Accounts, accountTable(current.Accounts), func(account *Account, exists bool) Change {
		return Change{Kind: updateOrCreate(exists, UpdateAccount, CreateAccount), Account: account}
	})
	changes = appendPuts(changes, delta.Presets, presetTable(current.Presets), func(preset *Preset, exists bool) Change {
		return Change{Kind: updateOrCreate(exists, UpdatePreset, CreatePreset), Preset: preset}
	})
	changes = appendPuts(changes, delta.Routes, routeTable(current.Routes), func(route *Route, exists bool) Change {
		return Change{Kind: updateOrCreate(exists, UpdateRoute, CreateRoute), Route: route}
	})
	if current.ActivePreset != wanted.ActivePreset {
		changes = append(changes, Change{Kind: UsePreset, Name: wanted.ActivePreset})
	}
	changes = appendKeys(changes, delta.Keys, keyTable(current.Keys))
	changes = appendRemovals(changes, delta)
	if !slices.Equal(current.Holders, wanted.Holders) {
		changes = append(changes, Change{Kind: SetHolders, Holders: wanted.Holders})
	}
	return changes
}

func updateOrCreate(exists bool, update, create ChangeKind) ChangeKind {
	if exists {
		return update
	}
	return create
}

func appendPuts[K comparable, V any](changes []Change, delta TableDelta[V], current *table[K, V],
	change func(item *V, exists bool) Change,
) []Change {
	for i := range delta.Put {
		item := &delta.Put[i]
		changes = append(changes, change(item, current.has(current.id(item))))
	}
	return changes
}

// appendKeys appends the changes of the keys. A key that exists but differs is first
// withdrawn and then given again, because no kind of change updates a key.
func appendKeys(changes []Change, delta TableDelta[Key], current *table[KeyHash, Key]) []Change {
	for i := range delta.Removed {
		changes = append(changes, Change{Kind: WithdrawKey, Name: string(delta.Removed[i].Hash.ID())})
	}
	for i := range delta.Put {
		key := &delta.Put[i]
		if current.has(key.Hash) {
			changes = append(changes, Change{Kind: WithdrawKey, Name: string(key.Hash.ID())})
		}
		changes = append(changes, Change{Kind: GiveKey, Key: key})
	}
	return changes
}

func appendRemovals(changes []Change, delta *Delta) []Change {
	for i := range delta.Routes.Removed {
		changes = append(changes, Change{Kind: RemoveRoute, Name: delta.Routes.Removed[i].ID})
	}
	for i := range delta.Accounts.Removed {
		changes = append(changes, Change{Kind: RemoveAccount, Name: string(delta.Accounts.Removed[i].ID)})
	}
	for i := range delta.Services.Removed {
		changes = append(changes, Change{Kind: RemoveService, Name: string(delta.Services.Removed[i].Name)})
	}
	for i := range delta.Presets.Removed {
		changes = append(changes, Change{Kind: RemovePreset, Name: delta.Presets.Removed[i].Name})
	}
	return changes
}
