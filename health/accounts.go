package health

import "github.com/hemlockring/hemlockring/fleetconfig"

// Limits on telling a failing account from a failing server.
const (
	maxTrackedAccounts     = 32
	maxNamedAccounts       = 8
	minAccountFailures     = 3
	failingAccountShare    = 0.5
	otherAccountsFailShare = 0.1
)

// accountCount counts the requests of one account since its first failure.
type accountCount struct {
	account  fleetconfig.AccountID
	requests uint32
	failed   uint32
}

// accountTable counts the accounts that have failures, at most
// maxTrackedAccounts.
type accountTable struct {
	entries  []accountCount
	requests uint32
	failed   uint32
}

func (t *accountTable) record(account fleetconfig.AccountID, failed bool) {
	t.requests++
	if failed {
		t.failed++
	}
	for i := range t.entries {
		if t.entries[i].account != account {
			continue
		}
		t.entries[i].requests++
		if failed {
			t.entries[i].failed++
		}
		return
	}
	if failed && len(t.entries) < maxTrackedAccounts {
		t.entries = append(t.entries, accountCount{account: account, requests: 1, failed: 1})
	}
}

// failing returns the accounts whose requests fail while those of the others do
// not, and how many failures are theirs. On a failing server every account
// fails, so that none is returned.
func (t *accountTable) failing() ([]fleetconfig.AccountID, uint32) {
	var named []fleetconfig.AccountID
	var failures uint32
	for _, entry := range t.entries {
		if len(named) == maxNamedAccounts {
			break
		}
		if t.failsAlone(entry) {
			named = append(named, entry.account)
			failures += entry.failed
		}
	}
	return named, failures
}

func (t *accountTable) failsAlone(entry accountCount) bool {
	if entry.failed < minAccountFailures {
		return false
	}
	if float64(entry.failed) < failingAccountShare*float64(entry.requests) {
		return false
	}
	otherRequests := t.requests - entry.requests
	otherFailed := t.failed - entry.failed
	return otherRequests > 0 && float64(otherFailed) <= otherAccountsFailShare*float64(otherRequests)
}
