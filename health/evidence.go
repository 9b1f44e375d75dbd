package health

import "github.com/hemlockring/hemlockring/fleetconfig"

// maxEvidenceAccounts bounds how many accounts a sum tells apart. Evidence of
// further accounts counts as one.
const maxEvidenceAccounts = 16

// accountEvidence is what the requests of one account say against the server,
// before the evidence of a stall is bounded.
type accountEvidence struct {
	account fleetconfig.AccountID
	nats    float64
}

// evidenceSum is a one-sided CUSUM in nats. It remembers how much of the sum
// each account contributed, so that one account alone does not convict a
// server.
type evidenceSum struct {
	total    float64
	accounts [maxEvidenceAccounts]accountEvidence
	used     int
}

// add counts evidence against the server. The admitted part of the nats goes into
// the sum, all of them into the account's share of it: where many requests are
// one stall, each account has part in it. The sum does not grow past limit, so
// that the recovery of a server shows after a bounded number of requests.
func (s *evidenceSum) add(account fleetconfig.AccountID, nats, admitted, limit float64) {
	s.entry(account).nats += nats
	s.total = min(limit, s.total+admitted)
}

// credit counts evidence for the server. The sum does not fall below zero.
func (s *evidenceSum) credit(nats float64) {
	s.scale(max(0, s.total-nats))
}

// scale sets the total and keeps the proportions of the accounts.
func (s *evidenceSum) scale(total float64) {
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

// entry returns the account's part. When the table is full, the last entry
// stands for all further accounts.
func (s *evidenceSum) entry(account fleetconfig.AccountID) *accountEvidence {
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

// withoutLargest returns the sum without the share of the account that has the
// most evidence.
func (s *evidenceSum) withoutLargest() float64 {
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

// crossed reports whether the sum convicts the server under the given bound: the
// evidence of several accounts must reach it, or that of one account twice it.
func (s *evidenceSum) crossed(bound float64) bool {
	if s.total >= singleAccountFactor*bound {
		return true
	}
	return s.total >= bound && s.withoutLargest() >= otherAccountsShare*bound
}
