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

// downloadBytes is the size of a download in these tests. It exceeds every flow
// control window.
const downloadBytes = 8 << 20

// pathDownload is the path that returns downloadBytes zeros. Other paths return a
// short text.
const pathDownload = "/download"

// downloadHandler serves downloads and counts the bytes that it could write.
func downloadHandler(written *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != pathDownload {
			_, _ = io.WriteString(w, "small")
			return
		}
		chunk := make([]byte, 4<<10)
		for range downloadBytes / len(chunk) {
			n, err := w.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
}

func startDownload(t *testing.T, client *Endpoint, address string) *http.Response {
	t.Helper()
	request := newRequest(t.Context(), "")
	request.URL.Path = pathDownload
	response, err := client.RoundTrip(address, request, ClassLarge)
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// A caller that does not read the response must block the sender of the response. The
// receiving endpoint must not buffer the whole response meanwhile.
func TestTCPUnreadResponseBlocksSender(t *testing.T) {
	var written atomic.Int64
	server := newTrustedEndpoint(t, "server", downloadHandler(&written))
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	startDownload(t, client, server.Address().String())
	writtenBytes := waitUntilStable(&written)
	// The sender also has a buffer of a few kilobytes; the bound leaves 64 KiB for it.
	must.LessEq(t, streamBufferBytes+64<<10, writtenBytes)
}

// waitUntilStable waits until the counter has not changed for an interval and returns
// the value of the counter.
func waitUntilStable(counter *atomic.Int64) int64 {
	const interval = 300 * time.Millisecond
	for last := int64(-1); ; {
		<-time.After(interval)
		if now := counter.Load(); now == last {
			return now
		} else {
			last = now
		}
	}
}

// sharedLink forwards connections to a target over a simulated network link. All
// connections share its bandwidth in the direction from the target; only one of them
// sends a chunk at any time.
type sharedLink struct {
	bytesPerSecond int
	mu             sync.Mutex
}

// linkChunkBytes is the maximum size of a chunk.
const linkChunkBytes = 1400

// start starts the link and returns the address on which it accepts connections. The
// link is closed when ctx ends.
func (l *sharedLink) start(ctx context.Context, t testing.TB, target string) string {
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
			// A real link has at most a few tens of kilobytes in transit.
			_ = far.(*net.TCPConn).SetReadBuffer(16 << 10)
			go func() { _, _ = io.Copy(far, near) }()
			go l.copyThrottled(near, far)
		}
	}()
	return listener.Addr().String()
}

func (l *sharedLink) copyThrottled(to, from net.Conn) {
	chunk := make([]byte, linkChunkBytes)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			l.mu.Lock()
			<-time.After(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
			l.mu.Unlock()
			_, _ = to.Write(chunk[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Small requests must not share a connection with downloads, since they would wait
// for the data of the download.
func TestConnectionClassesUseSeparateConnections(t *testing.T) {
	connections := make(map[string]string)
	var mu sync.Mutex
	server := newTrustedEndpoint(t, "server", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.URL.Path] = r.RemoteAddr
	}))
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	startDownload(t, client, server.Address().String())
	response, err := client.RoundTrip(server.Address().String(), newRequest(t.Context(), "order"), ClassSmall)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	mu.Lock()
	defer mu.Unlock()
	must.MapLen(t, 2, connections)
	must.NotEq(t, connections[pathDownload], connections["/x"])
}

// BenchmarkSmallRequestsDuringDownloads measures the latency of small requests while
// 100 downloads share a link of 16 Mbit/s with them. A quarter of the downloads are
// not read. It also reports the heap and stack memory of this process.
func BenchmarkSmallRequestsDuringDownloads(b *testing.B) {
	const (
		downloads          = 100
		linkBytesPerSecond = 2_000_000
		callInterval       = 20 * time.Millisecond
		callsPerIteration  = 50
	)
	for _, class := range []ConnectionClass{ClassLarge, ClassSmall} {
		name := "downloads in their own class"
		if class == ClassSmall {
			name = "downloads in the same class"
		}
		b.Run(name, func(b *testing.B) {
			var written atomic.Int64
			server := newTrustedEndpoint(b, "server", downloadHandler(&written))
			client := newTrustedEndpoint(b, "client", http.NotFoundHandler())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			address := (&sharedLink{bytesPerSecond: linkBytesPerSecond}).start(ctx, b, server.Address().String())
			for i := range downloads {
				go download(ctx, client, address, class, i%4 == 0)
			}
			<-time.After(time.Second)
			heap := heapBytes()
			var took []time.Duration
			for b.Loop() {
				for range callsPerIteration {
					<-time.After(callInterval)
					began := time.Now()
					response, err := client.RoundTrip(address, newRequest(ctx, "order"), ClassSmall)
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

// download performs one download after another until ctx ends. If unread is set, it
// starts only one download and does not read it before ctx ends.
func download(ctx context.Context, client *Endpoint, address string, class ConnectionClass, unread bool) {
	for ctx.Err() == nil {
		request := newRequest(ctx, "")
		request.URL.Path = pathDownload
		response, err := client.RoundTrip(address, request, class)
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
