package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/simnet"
	"github.com/hemlockring/hemlockring/shard"
)

const benchmarkedAccounts = 80_000

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemoryPerAccount measures the heap of an owner's BucketTable and of an ingress's
// Borrower for accounts that each have one lent token. The account names are not counted,
// because the configuration holds them.
func BenchmarkMemoryPerAccount(b *testing.B) {
	accounts := make([]fleetconfig.AccountID, benchmarkedAccounts)
	for i := range accounts {
		accounts[i] = fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
	}
	limits := Limits{RatePerSecond: 10, Burst: 20}
	var tableBytes, borrowerBytes float64
	for b.Loop() {
		now := simnet.StartTime
		before := heapBytes()
		table := NewBucketTable(now.Add(-MaxTokenLifetime))
		for i, account := range accounts {
			request := TokenRequest{Account: account, Grant: GrantID(i), Waiting: 1}
			table.Lend("instance-1", &request, limits, now.Add(MaxTokenLifetime), now)
		}
		between := heapBytes()
		borrower := NewBorrower(benchmarkedAccounts, 1)
		for i, account := range accounts {
			borrower.Enqueue(account, 0, uint64(i), now)
		}
		answerRequests(borrower, limits, now)
		after := heapBytes()
		tableBytes = float64(between-before) / benchmarkedAccounts
		borrowerBytes = float64(after-between) / benchmarkedAccounts
		runtime.KeepAlive(table)
		runtime.KeepAlive(borrower)
	}
	b.ReportMetric(tableBytes, "ledger-B/account")
	b.ReportMetric(borrowerBytes, "borrower-B/account")
}

// answerRequests grants every account a token from a table that is discarded afterwards.
func answerRequests(borrower *Borrower, limits Limits, now time.Time) {
	messages := make(map[shard.ID]*OutgoingRequest)
	borrower.Flush(messages, now)
	table := NewBucketTable(now.Add(-MaxTokenLifetime))
	reply := &BorrowReply{}
	for i := range messages[0].Request.TokenRequests {
		grant := table.Lend("instance-1", &messages[0].Request.TokenRequests[i], limits, now.Add(MaxTokenLifetime), now)
		reply.Grants = append(reply.Grants, grant)
	}
	borrower.HandleReply(reply, now)
}

// BenchmarkLenderBorrow measures how long the owner takes to handle a message with one token
// request and the report on the account's previous token. The messages cycle through the
// accounts.
func BenchmarkLenderBorrow(b *testing.B) {
	document := &fleetconfig.Document{Version: 1, Shards: fleetconfig.ShardMap{Shards: make([]fleetconfig.ShardPlacement, 1)}}
	for i := range 1250 {
		id := fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
		document.Accounts = append(document.Accounts, fleetconfig.Account{ID: id, RatePerSecond: 10, Burst: 20})
	}
	lender := NewLender()
	lender.ApplyConfig(fleetconfig.NewView(document), simnet.StartTime)
	lease := shard.Lease{Holder: shard.Holder{Term: 1}, ExpiresAt: simnet.StartTime.Add(1000 * time.Hour)}
	now := simnet.StartTime
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
