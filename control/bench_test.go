package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

const benchCommandBytes = 200

// BenchmarkPropose measures committed commands per second with files on disk, for 1
// and 64 concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("nodes=%d/proposers=%d", size, proposers), func(b *testing.B) {
				c := newCluster(b, size)
				c.startAll()
				c.propose("first")
				leader := c.leader()
				command := make([]byte, benchCommandBytes)
				var failed atomic.Int64
				var started atomic.Int64
				var group sync.WaitGroup
				b.ResetTimer()
				for range proposers {
					group.Go(func() {
						for started.Add(1) <= int64(b.N) {
							if _, err := leader.Propose(context.Background(), command); err != nil {
								failed.Add(1)
							}
						}
					})
				}
				group.Wait()
				b.StopTimer()
				must.Zero(b, failed.Load())
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			})
		}
	}
}

// BenchmarkAtRest measures the calls, bytes and CPU time of the nodes without
// proposals, per heartbeat interval, with the timeouts of the tests. One iteration is
// one heartbeat interval.
func BenchmarkAtRest(b *testing.B) {
	for _, size := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			c := newCluster(b, size)
			c.startAll()
			c.propose("first")
			c.network.mu.Lock()
			calls, sent := c.network.calls, c.network.bytes
			c.network.mu.Unlock()
			cpu := cpuTime()
			start := time.Now()
			b.ResetTimer()
			end := start.Add(time.Duration(b.N) * testHeartbeat)
			must.Wait(b, wait.InitialSuccess(
				wait.BoolFunc(func() bool { return !time.Now().Before(end) }),
				wait.Timeout(time.Hour), wait.Gap(testHeartbeat),
			))
			b.StopTimer()
			elapsed := time.Since(start)
			c.network.mu.Lock()
			calls, sent = c.network.calls-calls, c.network.bytes-sent
			c.network.mu.Unlock()
			heartbeats := elapsed.Seconds() / testHeartbeat.Seconds()
			b.ReportMetric(float64(calls)/heartbeats, "calls/beat")
			b.ReportMetric(float64(sent)/heartbeats, "bytes/beat")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/heartbeats, "cpu-µs/beat")
		})
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
