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

// BenchmarkRecordBytes reports the heap memory of a record without a response.
// It must not exceed recordBytes, which the budget counts for each record.
func BenchmarkRecordBytes(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		sim := newSimulation(nil, 1, rand.New(rand.NewPCG(1, 1)))
		replica := sim.nodes[0].replica
		replica.table.budget.limit = records * recordBytes
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range records {
			id := Key{Account: "a", Value: strconv.Itoa(i)}.RecordID()
			request := VoteRequest{Epoch: 2, Record: id, Claim: NewClaimID(sim.random), Remaining: time.Second}
			must.Eq(b, VoteGranted, replica.HandleVoteRequest(request, sim.now).Result)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := float64(after.HeapAlloc-before.HeapAlloc) / records
		b.ReportMetric(bytes, "heap-B/record")
		must.Greater(b, bytes, recordBytes)
		runtime.KeepAlive(replica)
	}
}

// BenchmarkClaim runs claims over five replicas, from the vote requests to a
// stored response of 512 bytes. It reports the number of messages of one claim
// and their encoded size.
func BenchmarkClaim(b *testing.B) {
	sim := newSimulation(nil, 5, rand.New(rand.NewPCG(1, 1)))
	for _, n := range sim.nodes {
		n.replica.table.budget.limit = 1 << 40
	}
	response := make([]byte, 512)
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
		claim := NewClaim(testConfig, sim.group(), record, Fingerprint{}, NewClaimID(sim.random), sim.now, sim.now.Add(time.Second))
		request := claim.VoteRequest(sim.now)
		for _, n := range sim.nodes {
			reply := n.replica.HandleVoteRequest(request, sim.now)
			claim.HandleVoteReply(n.id, reply, sim.now)
			if claims == 1 {
				count(request)
				count(reply)
			}
		}
		must.True(b, claim.MayDispatch(sim.now))
		finish := claim.Settle(OutcomeAnswered, response).Finish
		for _, n := range sim.nodes {
			stored := n.replica.HandleFinish(*finish, sim.now)
			if claims == 1 {
				count(*finish)
				count(stored)
			}
		}
	}
	b.ReportMetric(float64(messages), "messages/order")
	b.ReportMetric(float64(bytes), "wire-B/order")
}
