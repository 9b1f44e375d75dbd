package metrics

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// MaxNamedAccounts is how many client accounts have histograms of their own.
const MaxNamedAccounts = 32

// Lower bounds of the rate classes, in requests per second.
const (
	largeRate  = 100
	mediumRate = 10
)

// Label values of accounts without histograms of their own. Requests without an account or
// a configuration are in classOpen.
const (
	classOpen   = "class:open"
	classLarge  = "class:large"
	classMedium = "class:medium"
	classSmall  = "class:small"
)

// accountLabels assigns each account the value of the account label in metrics. It is safe
// for concurrent use.
type accountLabels struct {
	cached atomic.Pointer[namedAccounts]
}

// namedAccounts holds the accounts with histograms of their own in one configuration.
type namedAccounts struct {
	view  *fleetconfig.View
	named map[fleetconfig.AccountID]struct{}
}

// label returns the label value of an account under the given configuration.
func (l *accountLabels) label(view *fleetconfig.View, id fleetconfig.AccountID) string {
	if id == "" || view == nil {
		return classOpen
	}
	if _, named := l.namedAccountsOf(view).named[id]; named {
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

// namedAccountsOf returns the accounts with histograms of their own. It computes them anew
// when the configuration has changed, and caches them.
func (l *accountLabels) namedAccountsOf(view *fleetconfig.View) *namedAccounts {
	table := l.cached.Load()
	if table != nil && table.view == view {
		return table
	}
	accounts := slices.Clone(view.Document().Accounts)
	slices.SortFunc(accounts, func(a, b fleetconfig.Account) int {
		return cmp.Or(-cmp.Compare(a.RatePerSecond, b.RatePerSecond), cmp.Compare(a.ID, b.ID))
	})
	table = &namedAccounts{view: view, named: make(map[fleetconfig.AccountID]struct{})}
	for i := range min(MaxNamedAccounts, len(accounts)) {
		table.named[accounts[i].ID] = struct{}{}
	}
	l.cached.Store(table)
	return table
}
