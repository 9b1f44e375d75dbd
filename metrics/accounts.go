package metrics

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// MaxNamedAccounts is how many client accounts have histograms of their own.
const MaxNamedAccounts = 32

// Rates that divide the classes, in requests per second.
const (
	largeRate  = 100
	mediumRate = 10
)

// Labels of accounts without histograms of their own.
const (
	classOpen   = "class:open"
	classLarge  = "class:large"
	classMedium = "class:medium"
	classSmall  = "class:small"
)

// accountLabels gives each account the label that its metrics are kept under.
// It is safe for concurrent use.
type accountLabels struct {
	current atomic.Pointer[labelTable]
}

// labelTable holds the named accounts of one version of the configuration.
type labelTable struct {
	view  *fleetconfig.View
	named map[fleetconfig.AccountID]struct{}
}

// label returns the label of an account under the given configuration.
func (l *accountLabels) label(view *fleetconfig.View, id fleetconfig.AccountID) string {
	if id == "" || view == nil {
		return classOpen
	}
	if _, named := l.tableOf(view).named[id]; named {
		return string(id)
	}
	account := view.Account(id)
	switch {
	case account == nil:
		return classSmall
	case account.RatePerSecond >= largeRate:
		return classLarge
	case account.RatePerSecond >= mediumRate:
		return classMedium
	default:
		return classSmall
	}
}

func (l *accountLabels) tableOf(view *fleetconfig.View) *labelTable {
	table := l.current.Load()
	if table != nil && table.view == view {
		return table
	}
	accounts := slices.Clone(view.Document().Accounts)
	slices.SortFunc(accounts, func(a, b fleetconfig.Account) int {
		return cmp.Or(-cmp.Compare(a.RatePerSecond, b.RatePerSecond), cmp.Compare(a.ID, b.ID))
	})
	table = &labelTable{view: view, named: make(map[fleetconfig.AccountID]struct{})}
	for i := range min(MaxNamedAccounts, len(accounts)) {
		table.named[accounts[i].ID] = struct{}{}
	}
	l.current.Store(table)
	return table
}
