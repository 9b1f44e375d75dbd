package idempotency

import (
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// BenchmarkRecordBytes reports the heap that one record takes without an answer.
// recordBytes, which the budget counts, must not be below it.
func BenchmarkRecordBytes(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		w := newSimulation(nil, 1, rand.New(rand.NewPCG(1, 1)))
		replica := w.nodes[0].replica
		replica.table.budget.limit = records * recordBytes
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range records {
			id := Key{Account: "a", Value: strconv.Itoa(i)}.RecordID()
			request := VoteRequest{Epoch: 2, Record: id, Claim: NewClaimID(w.random), Remaining: time.Second}
			must.Eq(b, VoteGranted, replica.Vote(request, w.now).Result)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := float64(after.HeapAlloc-before.HeapAlloc) / records
		b.ReportMetric(bytes, "heap-B/record")
		must.Greater(b, bytes, recordBytes)
		runtime.KeepAlive(replica)
	}
}

// BenchmarkClaim runs a claim over five replicas from the vote to the stored
// answer of 512 bytes and reports its messages and their encoded bytes.
func BenchmarkClaim(b *testing.B) {
	w := newSimulation(nil, 5, rand.New(rand.NewPCG(1, 1)))
	for _, n := range w.nodes {
		n.replica.table.budget.limit = 1 << 40
	}
	answer := make([]byte, 512)
	messages, bytes, claims := 0, 0, 0
	count := func(message any) {
		data, err := codec.Marshal(message)
		must.NoError(b, err)
		messages++
		bytes += len(data)
	}
	for b.Loop() {
		claims++
		record := Key{Account: "a", Value: strconv.Itoa(claims)}.RecordID()
		claim := NewClaim(testConfig, w.group(), record, Fingerprint{}, NewClaimID(w.random), w.now, w.now.Add(time.Second))
		request := claim.VoteRequest(w.now)
		for _, n := range w.nodes {
			reply := n.replica.Vote(request, w.now)
			claim.HandleVoteReply(n.id, reply, w.now)
			if claims == 1 {
				count(request)
				count(reply)
			}
		}
		must.True(b, claim.MayDispatch(w.now))
		finish := claim.Settle(OutcomeAnswered, answer).Finish
		for _, n := range w.nodes {
			stored := n.replica.Finish(*finish, w.now)
			if claims == 1 {
				count(*finish)
				count(stored)
			}
		}
	}
	b.ReportMetric(float64(messages), "messages/order")
	b.ReportMetric(float64(bytes), "wire-B/order")
}
