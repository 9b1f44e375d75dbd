package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// downloadBytes is the size of the downloads of these tests: larger than any flow
// control window.
const downloadBytes = 8 << 20

// pathDownload is answered by downloadBytes zeros, any other path by a short text.
const pathDownload = "/download"

// downloads serves downloads and counts the bytes that it could hand over.
func downloads(written *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != pathDownload {
			_, _ = io.WriteString(w, "small")
			return
		}
		piece := make([]byte, 4<<10)
		for range downloadBytes / len(piece) {
			n, err := w.Write(piece)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
}

func startDownload(t *testing.T, client *Endpoint, address string) *http.Response {
	t.Helper()
	request := outgoing(t.Context(), "")
	request.URL.Path = pathDownload
	response, err := client.RoundTrip(address, request, ClassLarge)
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// A caller that reads slowly holds back the sender of its answer: this instance
// does not collect the answer meanwhile.
func TestASlowReaderHoldsBackTheSender(t *testing.T) {
	var written atomic.Int64
	server := trusting(t, "server", downloads(&written))
	client := trusting(t, "client", http.NotFoundHandler())
	startDownload(t, client, server.Address().String())
	steady := steadyValue(&written)
	// The sender may also fill its own buffer of a few kilobytes.
	must.LessEq(t, streamBufferBytes+64<<10, steady)
}

// steadyValue waits until the counter stands still and returns it.
func steadyValue(counter *atomic.Int64) int64 {
	const settled = 300 * time.Millisecond
	for last := int64(-1); ; {
		<-time.After(settled)
		if now := counter.Load(); now == last {
			return now
		} else {
			last = now
		}
	}
}

// link passes connections on to a target over one link: all of them share the bytes a
// second towards the caller, each gets a piece in turn.
type link struct {
	bytesPerSecond int
	turn           sync.Mutex
}

// linkPiece is how many bytes a connection sends in its turn.
const linkPiece = 1400

// start returns the address of the caller's end. The link ends with ctx.
func (l *link) start(ctx context.Context, t testing.TB, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			context.AfterFunc(ctx, func() {
				_ = near.Close()
				_ = far.Close()
			})
			// A real link has no more than some tens of kilobytes under way.
			_ = far.(*net.TCPConn).SetReadBuffer(16 << 10)
			go func() { _, _ = io.Copy(far, near) }()
			go l.carry(near, far)
		}
	}()
	return listener.Addr().String()
}

func (l *link) carry(to, from net.Conn) {
	piece := make([]byte, linkPiece)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			l.turn.Lock()
			<-time.After(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
			l.turn.Unlock()
			_, _ = to.Write(piece[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Small requests do not share a connection with downloads.
func TestSmallRequestsDoNotWaitBehindADownload(t *testing.T) {
	connections := make(map[string]string)
	var mu sync.Mutex
	server := trusting(t, "server", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.URL.Path] = r.RemoteAddr
	}))
	client := trusting(t, "client", http.NotFoundHandler())
	startDownload(t, client, server.Address().String())
	response, err := client.RoundTrip(server.Address().String(), outgoing(t.Context(), "order"), ClassSmall)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	mu.Lock()
	defer mu.Unlock()
	must.MapLen(t, 2, connections)
	must.NotEq(t, connections[pathDownload], connections["/x"])
}

// BenchmarkSmallBesideDownloads measures small requests while 100 downloads come over
// the same link of 16 Mbit/s, a quarter of them to callers that do not read, and what
// this process holds meanwhile.
func BenchmarkSmallBesideDownloads(b *testing.B) {
	const (
		running      = 100
		linkBytes    = 2_000_000
		between      = 20 * time.Millisecond
		callsPerTurn = 50
	)
	for _, lane := range []ConnectionClass{ClassLarge, ClassSmall} {
		name := "downloads apart"
		if lane == ClassSmall {
			name = "downloads in the same lane"
		}
		b.Run(name, func(b *testing.B) {
			var written atomic.Int64
			server := trusting(b, "server", downloads(&written))
			client := trusting(b, "client", http.NotFoundHandler())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			address := (&link{bytesPerSecond: linkBytes}).start(ctx, b, server.Address().String())
			for i := range running {
				go download(ctx, client, address, lane, i%4 == 0)
			}
			<-time.After(time.Second)
			heap := heapBytes()
			var took []time.Duration
			for b.Loop() {
				for range callsPerTurn {
					<-time.After(between)
					began := time.Now()
					response, err := client.RoundTrip(address, outgoing(ctx, "order"), ClassSmall)
					if err == nil {
						_, err = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
					must.NoError(b, err)
					took = append(took, time.Since(began))
				}
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1e3, "p50-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1e3, "p99-ms")
			b.ReportMetric(heap/(1<<20), "heap-MiB")
		})
	}
}

// download reads downloads one after the other until ctx ends, or leaves the first
// unread.
func download(ctx context.Context, client *Endpoint, address string, lane ConnectionClass, unread bool) {
	for ctx.Err() == nil {
		request := outgoing(ctx, "")
		request.URL.Path = pathDownload
		response, err := client.RoundTrip(address, request, lane)
		if err != nil {
			<-time.After(10 * time.Millisecond)
			continue
		}
		if unread {
			<-ctx.Done()
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
