package gossip

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/membership"
)

// maxConvergedInstances is the largest fleet that the benchmark runs until all updates
// have been disseminated.
const maxConvergedInstances = 1000

// BenchmarkLargeFleet measures the membership of one instance in three fleets: a small one,
// and two large ones, of 820 instances with eleven backend servers each and of 8,800
// instances with one each. The two large ones are the two interpretations of a required
// fleet size stated as "one slot per instance". It reports the heap size of the state and
// of a snapshot, the time to make a snapshot (once for each change of a record) and a
// fingerprint (once per side of a digest exchange), and the time and bytes of a probe
// period, both right after the start, when every record is still being disseminated, and
// at rest.
func BenchmarkLargeFleet(b *testing.B) {
	for _, fleet := range []struct{ instances, servers int }{{100, 11}, {820, 11}, {8800, 1}} {
		b.Run(fmt.Sprintf("instances=%d/servers=%d", fleet.instances, fleet.servers), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, fleet.instances, fleet.servers)
			}
		})
	}
}

func measureFleet(b *testing.B, instances, servers int) {
	now := time.Unix(1_000_000, 0)
	before := heapBytes()
	state := largeFleet(instances, servers, now)
	b.ReportMetric((heapBytes()-before)/(1<<20), "MiB-state")
	before = heapBytes()
	snapshot := NewSnapshot("self", state.Members())
	b.ReportMetric((heapBytes()-before)/(1<<20), "MiB-snapshot")
	b.ReportMetric(micros(func() { snapshot = NewSnapshot("self", state.Members()) }), "µs/snapshot")
	b.ReportMetric(micros(func() { state.Fingerprint() }), "µs/fingerprint")
	digest, err := codec.Marshal(&membership.DigestRequest{Entries: state.Digest(nil)})
	must.NoError(b, err)
	b.ReportMetric(float64(len(digest)), "B/digest")
	bytes := 0
	period := func() { now, bytes = probePeriod(state, now) }
	b.ReportMetric(micros(period), "µs/period-after-start")
	b.ReportMetric(float64(bytes), "B/probe-after-start")
	runtime.KeepAlive(snapshot)
	if instances > maxConvergedInstances {
		return
	}
	for updatesPending := true; updatesPending; {
		now, updatesPending = disseminate(state, now)
	}
	b.ReportMetric(micros(period), "µs/period-at-rest")
	b.ReportMetric(float64(bytes), "B/probe-at-rest")
}

func largeFleet(instances, servers int, now time.Time) *membership.State {
	state := membership.New(membership.Config{}, membership.Record{ID: "self", Address: "10.9.9.9:1", Incarnation: 1}, nil, rand.New(rand.NewPCG(1, 2)), now)
	for i := range instances {
		address := fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250)
		record := membership.Record{
			ID: fleetconfig.InstanceID(fmt.Sprintf("instance-%d", i)), Address: address, Incarnation: 1,
			FailureDomain: fleetconfig.FailureDomain(fmt.Sprint("domain-", i%8)), Region: fmt.Sprint("region-", i%3),
		}
		for j := range servers {
			record.Servers = append(record.Servers, membership.Server{
				ID:      fleetconfig.BackendServerID(fmt.Sprintf("worker-%d-%d", i, j)),
				Service: fleetconfig.ServiceName(fmt.Sprintf("service-%d", (i*servers+j)%450)), Slots: 7,
			})
		}
		state.MergeUpdates([]membership.Update{{Record: record}}, now)
	}
	return state
}

// disseminate runs one probe period in a single tick and reports whether its messages still
// carried updates.
func disseminate(state *membership.State, now time.Time) (later time.Time, updatesSent bool) {
	now = now.Add(time.Second)
	for _, envelope := range state.Tick(now) {
		updatesSent = updatesSent || len(envelope.Message.Updates) > 0
		state.Step(&membership.Message{Kind: membership.Ack, From: envelope.Message.Target, SeqNo: envelope.Message.SeqNo}, now)
	}
	return now, updatesSent
}

// probePeriod runs one probe period in which every probe is acknowledged.
func probePeriod(state *membership.State, now time.Time) (later time.Time, bytes int) {
	const ticks = int(time.Second / tickInterval)
	for range ticks {
		now = now.Add(tickInterval)
		for _, envelope := range state.Tick(now) {
			data, err := codec.Marshal(&envelope.Message)
			if err != nil {
				panic(err)
			}
			bytes += len(data)
			state.Step(&membership.Message{Kind: membership.Ack, From: envelope.Message.Target, SeqNo: envelope.Message.SeqNo}, now)
		}
	}
	return now, bytes
}

// micros returns the mean duration of a call in microseconds.
func micros(call func()) float64 {
	const calls = 20
	began := time.Now()
	for range calls {
		call()
	}
	return time.Since(began).Seconds() * 1e6 / calls
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
