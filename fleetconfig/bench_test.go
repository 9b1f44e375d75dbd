package fleetconfig

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

// Size of the fleet that the software is designed for.
const (
	targetAccounts = 80_000
	targetRoutes   = 4_900
)

func heapBytes() float64 {
	// Pooled buffers are freed only by the second collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapOfView returns the heap size of a document that was decoded from a snapshot,
// together with its view, and the size of the encoded snapshot.
func heapOfView(b *testing.B, accounts, routes int) (heap float64, encoded int) {
	data, err := EncodeDocument(largeDocument(b, accounts, routes))
	must.NoError(b, err)
	before := heapBytes()
	document, err := DecodeDocument(data)
	must.NoError(b, err)
	view := NewView(document)
	heap = heapBytes() - before
	runtime.KeepAlive(data)
	runtime.KeepAlive(view)
	return heap, len(data)
}

// BenchmarkViewMemory reports the heap size of a view per account with one key, per
// route and in total, and the encoded size per account with one key.
func BenchmarkViewMemory(b *testing.B) {
	for b.Loop() {
		small, smallEncoded := heapOfView(b, targetAccounts/2, 0)
		large, largeEncoded := heapOfView(b, targetAccounts, 0)
		withRoutes, _ := heapOfView(b, targetAccounts, targetRoutes)
		b.ReportMetric((large-small)/(targetAccounts/2), "B/account+key")
		b.ReportMetric(float64(largeEncoded-smallEncoded)/(targetAccounts/2), "wire-B/account+key")
		b.ReportMetric((withRoutes-large)/targetRoutes, "B/route")
		b.ReportMetric(withRoutes/(1<<20), "MiB/view")
	}
}

func BenchmarkNewView(b *testing.B) {
	document := largeDocument(b, targetAccounts, targetRoutes)
	for b.Loop() {
		NewView(document)
	}
}

func BenchmarkKeyByHash(b *testing.B) {
	document := largeDocument(b, targetAccounts, 0)
	view := NewView(document)
	i := 0
	for b.Loop() {
		view.KeyByHash(document.Keys[i%len(document.Keys)].Hash)
		i += 7919
	}
}

func BenchmarkAccount(b *testing.B) {
	document := largeDocument(b, targetAccounts, 0)
	view := NewView(document)
	i := 0
	for b.Loop() {
		view.Account(document.Accounts[i%len(document.Accounts)].ID)
		i += 7919
	}
}

// BenchmarkApplyChange measures one change of a document of full size, with its
// delta.
func BenchmarkApplyChange(b *testing.B) {
	machine := &StateMachine{document: largeDocument(b, targetAccounts, targetRoutes)}
	number := uint64(0)
	for b.Loop() {
		account := Account{ID: "account-000500", RatePerSecond: float64(number + 1), Burst: 5}
		next, faults := edit(machine.document, []Change{{Kind: UpdateAccount, Account: &account}})
		must.SliceEmpty(b, faults)
		machine.deltas.Add(Diff(machine.document, next))
		machine.document = next
		number++
		account.RatePerSecond = 1
	}
}
