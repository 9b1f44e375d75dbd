package health

import "github.com/hemlockring/hemlockring/fleetconfig"

// maxEvidenceAccounts limits the number of accounts that a sum distinguishes. Further
// accounts share the last entry.
const maxEvidenceAccounts = 16

// accountEvidence is the evidence from the requests of one account, before the limit on
// stall evidence is applied.
type accountEvidence struct {
	account fleetconfig.AccountID
	nats    float64
}

// evidenceSum is a one-sided CUSUM in nats. It tracks the contribution of each account,
// so that failures of a single account do not raise an alarm for the server.
type evidenceSum struct {
	total    float64
	accounts [maxEvidenceAccounts]accountEvidence
	used     int
}

// add adds evidence against the server. The sum grows by counted, the part of this and
// earlier evidence that the limit on stall evidence now allows. The account's
// contribution grows by all of nats, so that every account with a request in the stall
// has a share in the evidence. The sum never exceeds limit, so that a recovered server
// returns to normal after a bounded number of requests.
func (s *evidenceSum) add(account fleetconfig.AccountID, nats, counted, limit float64) {
	s.accountEntry(account).nats += nats
	s.total = min(limit, s.total+counted)
}

// subtract lowers the sum by evidence in favor of the server, but not below zero.
func (s *evidenceSum) subtract(nats float64) {
	s.rescale(max(0, s.total-nats))
}

// rescale sets the total and keeps the proportions of the accounts.
func (s *evidenceSum) rescale(total float64) {
	if total <= 0 {
		s.reset()
		return
	}
	factor := total / s.total
	for i := range s.used {
		s.accounts[i].nats *= factor
	}
	s.total = total
}

func (s *evidenceSum) reset() {
	s.total = 0
	s.used = 0
}

// accountEntry returns the entry of the account and creates it if needed. When the table
// is full, the last entry stands for all further accounts.
func (s *evidenceSum) accountEntry(account fleetconfig.AccountID) *accountEvidence {
	for i := range s.used {
		if s.accounts[i].account == account {
			return &s.accounts[i]
		}
	}
	if s.used == maxEvidenceAccounts {
		return &s.accounts[maxEvidenceAccounts-1]
	}
	s.accounts[s.used] = accountEvidence{account: account}
	s.used++
	return &s.accounts[s.used-1]
}

// totalWithoutLargestAccount returns the sum without the contribution of the account that
// has the most evidence.
func (s *evidenceSum) totalWithoutLargestAccount() float64 {
	var largest, all float64
	for i := range s.used {
		largest = max(largest, s.accounts[i].nats)
		all += s.accounts[i].nats
	}
	if all <= 0 {
		return 0
	}
	return s.total * (1 - largest/all)
}

// exceeds reports whether the sum raises an alarm: it must reach the threshold with
// enough evidence from several accounts, or singleAccountFactor times the threshold.
func (s *evidenceSum) exceeds(threshold float64) bool {
	if s.total >= singleAccountFactor*threshold {
		return true
	}
	return s.total >= threshold && s.totalWithoutLargestAccount() >= minOtherAccountsShare*threshold
}
