package consensus

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

// newSingleNodeLeader returns the leader of a membership with a single voter.
func newSingleNodeLeader(b *testing.B) *Node {
	b.Helper()
	node, err := New(Config{
		ID:                  "a",
		Disk:                "da",
		ElectionTimeout:     testElectionTimeout,
		HeartbeatInterval:   testHeartbeat,
		MaxUncommittedBytes: 1 << 20,
		Rand:                rand.New(rand.NewPCG(1, 2)),
	}, StoredState{}, testStart)
	must.NoError(b, err)
	node.Bootstrap(testStart, InitialSnapshot(NewMembership(Member{ID: "a", Disk: "da", Voter: true})))
	node.Tick(testStart.Add(2 * testElectionTimeout))
	processReady(node)
	must.Eq(b, Leader, node.Role())
	return node
}

// BenchmarkTick measures a leader's Tick between heartbeats.
func BenchmarkTick(b *testing.B) {
	node := newSingleNodeLeader(b)
	now := testStart.Add(2 * testElectionTimeout)
	b.ReportAllocs()
	for b.Loop() {
		node.Tick(now)
	}
}

// BenchmarkEntryMemory measures the memory that an entry with 200 bytes of data
// takes.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 100_000
	for b.Loop() {
		node := newSingleNodeLeader(b)
		now := testStart.Add(2 * testElectionTimeout)
		before := heapBytes()
		for range entries {
			_, _, err := node.Propose(now, make([]byte, 200))
			must.NoError(b, err)
			processReady(node)
		}
		b.ReportMetric(float64(heapBytes()-before)/entries, "bytes/entry")
		runtime.KeepAlive(node)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
