package inifile

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Changes returns the changes that make the document of the file from the
// current one, none when they agree. The error is a *FaultsError when the outcome
// would not be valid.
func (f *File) Changes(current *fleetconfig.Document) ([]fleetconfig.Change, error) {
	wanted := f.wanted(current)
	if faults := fleetconfig.Validate(wanted); len(faults) > 0 {
		return nil, &FaultsError{Faults: documentFaults(f.name, faults)}
	}
	return fleetconfig.Changes(current, wanted), nil
}

// wanted returns the current document with what the file states in its place.
func (f *File) wanted(current *fleetconfig.Document) *fleetconfig.Document {
	wanted := *current
	wanted.Accounts = f.accounts
	wanted.Services = f.services
	wanted.Routes = f.routes
	if len(f.presets) > 0 {
		wanted.Presets = f.presets
	}
	if f.inForce != "" {
		wanted.ActivePreset = f.inForce
	}
	if len(f.holders) > 0 {
		wanted.Holders = f.holders
	}
	return &wanted
}

// alone returns the document of the file for checks that need no other. The
// preset in force may be one that only the current document has.
func (f *File) alone() *fleetconfig.Document {
	document := f.wanted(fleetconfig.NewDocument())
	stated := slices.ContainsFunc(document.Presets, func(preset fleetconfig.Preset) bool {
		return preset.Name == document.ActivePreset
	})
	if !stated {
		document.Presets = slices.Insert(slices.Clone(document.Presets), 0, fleetconfig.Preset{Name: document.ActivePreset})
		sortPresets(document.Presets)
	}
	return document
}

// sort puts the items in the order that Document wants.
func (f *File) sort() {
	slices.SortFunc(f.accounts, func(a, b fleetconfig.Account) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(f.services, func(a, b fleetconfig.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.routes, func(a, b fleetconfig.Route) int { return cmp.Compare(a.ID, b.ID) })
	sortPresets(f.presets)
}

func sortPresets(presets []fleetconfig.Preset) {
	slices.SortFunc(presets, func(a, b fleetconfig.Preset) int { return cmp.Compare(a.Name, b.Name) })
}
