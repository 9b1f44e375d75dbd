package transport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pki"
)

const benchPath = "/bench"

type benchMessage struct {
	Payload []byte `cbor:"1,keyasint"`
}

// benchEndpoints opens n endpoints whose handler returns the request of each call as
// its reply.
func benchEndpoints(b *testing.B, n int) []*Endpoint {
	folder := b.TempDir()
	must.NoError(b, pki.InitAuthority(folder, time.Now()))
	request := pki.IssueRequest{Name: "i1", Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	must.NoError(b, pki.Issue(folder, folder, request, time.Now()))
	identity, err := pki.LoadIdentity(filepath.Join(folder, "i1.crt"), filepath.Join(folder, "i1.key"), filepath.Join(folder, pki.AuthorityCertificateFile))
	must.NoError(b, err)
	mux := http.NewServeMux()
	HandleCall(mux, benchPath, func(_ context.Context, _ fleetconfig.InstanceID, request *benchMessage) (*benchMessage, error) {
		return request, nil
	})
	endpoints := make([]*Endpoint, n)
	for i := range endpoints {
		endpoints[i], err = Listen(EndpointConfig{
			Address: "127.0.0.1:0", Identity: identity, Handler: mux,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		must.NoError(b, err)
		b.Cleanup(endpoints[i].Close)
		go func() { _ = endpoints[i].Serve(b.Context()) }()
	}
	return endpoints
}

func benchCall(b *testing.B, from, to *Endpoint, payload []byte) {
	must.NoError(b, from.Call(context.Background(), to.Address().String(), benchPath, &benchMessage{Payload: payload}, new(benchMessage)))
}

// BenchmarkCall measures one call on an open connection: the CPU time of both sides
// together and the bytes that pass the UDP socket of the calling side in each
// direction.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{40, 400} {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			endpoints := benchEndpoints(b, 2)
			payload := make([]byte, size)
			benchCall(b, endpoints[0], endpoints[1], payload)
			before, cpu := endpoints[0].Traffic(), processorTime()
			b.ResetTimer()
			for range b.N {
				benchCall(b, endpoints[0], endpoints[1], payload)
			}
			b.StopTimer()
			after, n := endpoints[0].Traffic(), float64(b.N)
			b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/1e3/n, "cpu-µs/call")
			b.ReportMetric(float64(after.SentBytes-before.SentBytes)/n, "sent-B/call")
			b.ReportMetric(float64(after.ReceivedBytes-before.ReceivedBytes)/n, "received-B/call")
		})
	}
}

// BenchmarkBusyCalls measures the same as BenchmarkCall while about 60 calls run
// concurrently on one connection.
func BenchmarkBusyCalls(b *testing.B) {
	const parallelism = 60
	endpoints := benchEndpoints(b, 2)
	payload := make([]byte, 40)
	benchCall(b, endpoints[0], endpoints[1], payload)
	b.SetParallelism(max(1, parallelism/runtime.GOMAXPROCS(0)))
	before, cpu := endpoints[0].Traffic(), processorTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			benchCall(b, endpoints[0], endpoints[1], payload)
		}
	})
	b.StopTimer()
	after, n := endpoints[0].Traffic(), float64(b.N)
	b.ReportMetric(float64((processorTime()-cpu).Nanoseconds())/1e3/n, "cpu-µs/call")
	b.ReportMetric(float64(after.SentBytes-before.SentBytes)/n, "sent-B/call")
	b.ReportMetric(float64(after.ReceivedBytes-before.ReceivedBytes)/n, "received-B/call")
}

// BenchmarkConnection measures connections from one instance to others: opening a
// connection and sending one call, the heap and stack memory of both sides together,
// and the traffic of an unused connection that stays open. The traffic of the first
// 8 s is reported separately, since quic-go discovers the path MTU in that time.
func BenchmarkConnection(b *testing.B) {
	const peers = 100
	for b.Loop() {
		endpoints := benchEndpoints(b, peers+1)
		heap, cpu := heapBytes(), processorTime()
		for _, peer := range endpoints[1:] {
			benchCall(b, endpoints[0], peer, nil)
		}
		b.ReportMetric(float64((processorTime()-cpu).Microseconds())/peers, "cpu-µs/setup")
		b.ReportMetric((heapBytes()-heap)/peers/1024, "heap-KiB/connection")
		traffic := endpoints[0].Traffic()
		b.ReportMetric(float64(traffic.SentBytes+traffic.ReceivedBytes)/peers, "B/setup")
		const idle = 8 * time.Second
		<-time.After(idle)
		afterDiscovery := endpoints[0].Traffic()
		b.ReportMetric(float64(afterDiscovery.SentBytes-traffic.SentBytes+afterDiscovery.ReceivedBytes-traffic.ReceivedBytes)/peers, "B/mtu-discovery")
		traffic, cpu = afterDiscovery, processorTime()
		<-time.After(idle)
		connectionSeconds := peers * idle.Seconds()
		after := endpoints[0].Traffic()
		b.ReportMetric(float64(after.SentBytes-traffic.SentBytes+after.ReceivedBytes-traffic.ReceivedBytes)/connectionSeconds, "idle-B/s/connection")
		b.ReportMetric(float64((processorTime()-cpu).Microseconds())/connectionSeconds, "idle-cpu-µs/s/connection")
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingRelay forwards connections to an address and counts the bytes of both directions.
func countingRelay(b *testing.B, to string) (address string, sent, received *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	sent, received = new(atomic.Int64), new(atomic.Int64)
	forward := func(into, from net.Conn, count *atomic.Int64) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			count.Add(int64(n))
			if _, writeErr := into.Write(buffer[:n]); err != nil || writeErr != nil {
				_ = into.Close()
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				_ = conn.Close()
				return
			}
			go forward(server, conn, sent)
			go forward(conn, server, received)
		}
	}()
	return listener.Addr().String(), sent, received
}

// BenchmarkTrustedCall measures the bytes of one call with a payload of 40 bytes each way in a
// trusted network: what the TCP connection carries, without TCP and IP headers.
func BenchmarkTrustedCall(b *testing.B) {
	mux := http.NewServeMux()
	HandleCall(mux, benchPath, func(_ context.Context, _ fleetconfig.InstanceID, request *benchMessage) (*benchMessage, error) {
		return request, nil
	})
	server, client := newTrustedEndpoint(b, "server", mux), newTrustedEndpoint(b, "client", http.NotFoundHandler())
	address, sent, received := countingRelay(b, server.Address().String())
	call := func() {
		must.NoError(b, client.Call(b.Context(), address, benchPath, &benchMessage{Payload: make([]byte, 40)}, new(benchMessage)))
	}
	call()
	sentBefore, receivedBefore := sent.Load(), received.Load()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(sent.Load()-sentBefore)/float64(b.N), "sent-B/call")
	b.ReportMetric(float64(received.Load()-receivedBefore)/float64(b.N), "received-B/call")
}
