package fleetconfig

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

// Sizes of the fleet to design for.
const (
	letterAccounts = 80_000
	letterRoutes   = 4_900
)

func heapBytes() float64 {
	// Pooled buffers survive one collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapOfView returns the heap that a received snapshot and its view hold.
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

// BenchmarkViewMemory reports the heap of a view: of each account with one key,
// and of each route.
func BenchmarkViewMemory(b *testing.B) {
	for b.Loop() {
		small, smallEncoded := heapOfView(b, letterAccounts/2, 0)
		large, largeEncoded := heapOfView(b, letterAccounts, 0)
		routed, _ := heapOfView(b, letterAccounts, letterRoutes)
		b.ReportMetric((large-small)/(letterAccounts/2), "B/account+key")
		b.ReportMetric(float64(largeEncoded-smallEncoded)/(letterAccounts/2), "wire-B/account+key")
		b.ReportMetric((routed-large)/letterRoutes, "B/route")
		b.ReportMetric(routed/(1<<20), "MiB/view")
	}
}

func BenchmarkNewView(b *testing.B) {
	document := largeDocument(b, letterAccounts, letterRoutes)
	for b.Loop() {
		NewView(document)
	}
}

func BenchmarkKeyByHash(b *testing.B) {
	document := largeDocument(b, letterAccounts, 0)
	view := NewView(document)
	i := 0
	for b.Loop() {
		view.KeyByHash(document.Keys[i%len(document.Keys)].Hash)
		i += 7919
	}
}

func BenchmarkAccount(b *testing.B) {
	document := largeDocument(b, letterAccounts, 0)
	view := NewView(document)
	i := 0
	for b.Loop() {
		view.Account(document.Accounts[i%len(document.Accounts)].ID)
		i += 7919
	}
}

// BenchmarkApplyChange is one change on a control instance at full size, with
// its delta.
func BenchmarkApplyChange(b *testing.B) {
	machine := &StateMachine{document: largeDocument(b, letterAccounts, letterRoutes)}
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
