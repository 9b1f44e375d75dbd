package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/soup"
	"github.com/hemlockring/hemlockring/shard"
)

const memoryAccounts = 80_000

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemoryPerAccount measures the heap of an owner's ledger and of an
// ingress's borrower for accounts that have a token lent out each. The names of
// the accounts are counted apart, because the configuration holds them.
func BenchmarkMemoryPerAccount(b *testing.B) {
	accounts := make([]fleetconfig.AccountID, memoryAccounts)
	for i := range accounts {
		accounts[i] = fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
	}
	limits := Limits{RatePerSecond: 10, Burst: 20}
	var ledgerBytes, borrowerBytes float64
	for b.Loop() {
		now := soup.Start
		before := heapBytes()
		ledger := NewBucketTable(now.Add(-MaxTokenLifetime))
		for i, account := range accounts {
			ask := TokenRequest{Account: account, Grant: GrantID(i), Waiting: 1}
			ledger.Lend("instance-1", &ask, limits, now.Add(MaxTokenLifetime), now)
		}
		between := heapBytes()
		borrower := NewBorrower(memoryAccounts, 1)
		for i, account := range accounts {
			borrower.Enqueue(account, 0, uint64(i), now)
		}
		answerRequests(borrower, limits, now)
		after := heapBytes()
		ledgerBytes = float64(between-before) / memoryAccounts
		borrowerBytes = float64(after-between) / memoryAccounts
		runtime.KeepAlive(ledger)
		runtime.KeepAlive(borrower)
	}
	b.ReportMetric(ledgerBytes, "ledger-B/account")
	b.ReportMetric(borrowerBytes, "borrower-B/account")
}

// answerRequests gives every account a token from a ledger that is dropped afterwards.
func answerRequests(borrower *Borrower, limits Limits, now time.Time) {
	out := make(map[shard.ID]*OutgoingRequest)
	borrower.Flush(out, now)
	ledger := NewBucketTable(now.Add(-MaxTokenLifetime))
	reply := &BorrowReply{}
	for i := range out[0].Request.TokenRequests {
		loan := ledger.Lend("instance-1", &out[0].Request.TokenRequests[i], limits, now.Add(MaxTokenLifetime), now)
		reply.Grants = append(reply.Grants, loan)
	}
	borrower.HandleReply(reply, now)
}

// BenchmarkLenderBorrow measures the owner's processor time for a message with one
// ask and the report on the token before it, for accounts in turn.
func BenchmarkLenderBorrow(b *testing.B) {
	document := &fleetconfig.Document{Version: 1, Shards: fleetconfig.ShardMap{Shards: make([]fleetconfig.ShardPlacement, 1)}}
	for i := range 1250 {
		id := fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
		document.Accounts = append(document.Accounts, fleetconfig.Account{ID: id, RatePerSecond: 10, Burst: 20})
	}
	lender := NewLender()
	lender.ApplyConfig(fleetconfig.NewView(document), soup.Start)
	lease := shard.Lease{Holder: shard.Holder{Term: 1}, ExpiresAt: soup.Start.Add(1000 * time.Hour)}
	now := soup.Start
	grant := GrantID(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		grant++
		account := document.Accounts[int(grant)%len(document.Accounts)].ID
		request := &BorrowRequest{TokenRequests: []TokenRequest{{Account: account, Grant: grant, Waiting: 1}}}
		if previous := int(grant) - len(document.Accounts); previous > 0 {
			request.Reports = []UsageReport{{Account: account, Grant: GrantID(previous), Spent: 1}}
		}
		lender.Borrow(lease, "instance-1", request, now)
	}
}
