package inifile

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Changes returns the changes that turn the current document into the document that
// the file defines. If the two documents are equal, there are no changes. The error is
// a *FaultsError if the resulting document would be invalid.
func (f *File) Changes(current *fleetconfig.Document) ([]fleetconfig.Change, error) {
	wanted := f.wanted(current)
	if faults := fleetconfig.Validate(wanted); len(faults) > 0 {
		return nil, &FaultsError{Faults: documentFaults(f.name, faults)}
	}
	return fleetconfig.Changes(current, wanted), nil
}

// wanted returns a copy of the current document in which the parts that the file
// defines are replaced.
func (f *File) wanted(current *fleetconfig.Document) *fleetconfig.Document {
	wanted := *current
	wanted.Accounts = mergeItems(current.Accounts, f.accounts, accountID, mergeAccount)
	wanted.Services = mergeItems(current.Services, f.services, serviceName, mergeService)
	wanted.Routes = mergeItems(current.Routes, f.routes, routeID, mergeRoute)
	if len(f.presets) > 0 {
		wanted.Presets = mergeItems(current.Presets, f.presets, presetName, mergePreset)
	}
	if f.activePreset != "" {
		wanted.ActivePreset = f.activePreset
	}
	if len(f.holders) > 0 {
		wanted.Holders = f.holders
	}
	return &wanted
}

// standalone returns the document that the file defines for a new fleet, for
// validation without a current document. The active preset may exist only in the
// current document, so an empty preset of that name is added if necessary.
func (f *File) standalone() *fleetconfig.Document {
	document := f.wanted(fleetconfig.NewDocument())
	exists := slices.ContainsFunc(document.Presets, func(preset fleetconfig.Preset) bool {
		return preset.Name == document.ActivePreset
	})
	if !exists {
		document.Presets = slices.Insert(slices.Clone(document.Presets), 0, fleetconfig.Preset{Name: document.ActivePreset})
		sortPresets(document.Presets)
	}
	return document
}

// sort sorts the items in the order that Document requires.
func (f *File) sort() {
	slices.SortFunc(f.accounts, func(a, b fleetconfig.Account) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(f.services, func(a, b fleetconfig.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.routes, func(a, b fleetconfig.Route) int { return cmp.Compare(a.ID, b.ID) })
	sortPresets(f.presets)
}

func sortPresets(presets []fleetconfig.Preset) {
	slices.SortFunc(presets, func(a, b fleetconfig.Preset) int { return cmp.Compare(a.Name, b.Name) })
}
