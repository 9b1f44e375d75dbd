package health

import "github.com/hemlockring/hemlockring/fleetconfig"

// Limits for telling a failing client account from a failing server. An account counts as
// failing if three conditions hold: it has at least minAccountFailures failures; the
// share of failures among its requests since its first failure is at least
// minFailingAccountShare; and there are other requests, among which the share is at most
// maxOtherAccountsFailureShare.
const (
	maxTrackedAccounts           = 32
	maxReportedAccounts          = 8
	minAccountFailures           = 3
	minFailingAccountShare       = 0.5
	maxOtherAccountsFailureShare = 0.1
)

// accountCount counts the requests of one account since its first failure.
type accountCount struct {
	account  fleetconfig.AccountID
	requests uint32
	failed   uint32
}

// accountTable counts requests per account for at most maxTrackedAccounts accounts with
// failures, and all requests in total.
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

// failing returns the counts of the accounts whose requests fail while those of other
// accounts succeed. On a failing server the requests of every account fail, so no account is
// returned.
func (t *accountTable) failing() []accountCount {
	var failing []accountCount
	for _, entry := range t.entries {
		if t.failsInIsolation(entry) {
			failing = append(failing, entry)
		}
	}
	return failing
}

func (t *accountTable) failsInIsolation(entry accountCount) bool {
	if entry.failed < minAccountFailures {
		return false
	}
	if float64(entry.failed) < minFailingAccountShare*float64(entry.requests) {
		return false
	}
	otherRequests := t.requests - entry.requests
	otherFailed := t.failed - entry.failed
	return otherRequests > 0 && float64(otherFailed) <= maxOtherAccountsFailureShare*float64(otherRequests)
}
