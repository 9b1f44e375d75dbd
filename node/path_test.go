package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/pipeline"
)

func TestRequestServedThroughAnyInstance(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, emulator.Config{Slots: 8})
	for i := range 60 {
		response, body := fleet.send(t, i%3, http.MethodPost, "/orders/7?x=1", "hello")
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, "hello", body)
		must.Eq(t, "answered", response.Header.Get(pipeline.HeaderOutcome))
		must.Eq(t, "/orders/7?x=1", response.Header.Get("X-Path"))
	}
	for _, backend := range fleet.backends {
		must.Positive(t, backend.Executions().Total)
	}
	_, _, keys := fleet.executions()
	must.Zero(t, keys)
}

func TestRefusalIsProblemDocumentWithRetryAfter(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 1, emulator.Config{Slots: 8})
	cases := []struct {
		path, key string
		status    int
		kind      pipeline.RefusalKind
	}{
		{"/nowhere", testKey, http.StatusNotFound, pipeline.KindNoRoute},
		{"/ordersx", testKey, http.StatusNotFound, pipeline.KindNoRoute},
		{"/orders", "", http.StatusUnauthorized, pipeline.KindKeyMissing},
		{"/orders", "wrong", http.StatusUnauthorized, pipeline.KindKeyRejected},
		{"/open/%2e%2e/orders", "", http.StatusBadRequest, pipeline.KindBadRequest},
		{"/open/..%5corders", "", http.StatusBadRequest, pipeline.KindBadRequest},
	}
	for _, c := range cases {
		request, err := http.NewRequest(http.MethodGet, fleet.url(0, c.path), nil)
		must.NoError(t, err)
		if c.key != "" {
			request.Header.Set("X-Api-Key", c.key)
		}
		response, err := fleet.client.Do(request)
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, c.status, response.StatusCode)
		must.Eq(t, string(c.kind), response.Header.Get(pipeline.HeaderRefusal))
		must.Eq(t, "not-run", response.Header.Get(pipeline.HeaderOutcome))
		must.Eq(t, "application/problem+json", response.Header.Get("Content-Type"))
		must.NotEq(t, "", response.Header.Get("Retry-After"))
		must.StrContains(t, string(body), `"remedy":`)
		must.StrNotContains(t, string(body), "wrong")
	}
	total, _, _ := fleet.executions()
	must.Zero(t, total)
}

// rawBackend is a backend server whose responses the test writes as raw bytes.
type rawBackend struct {
	// heads receives the header and the trailer of each request as text.
	heads chan string
	// runs is the number of requests received.
	runs atomic.Int32
}

// startRawBackend starts a backend server that calls serve for each request and returns
// its address. serve returns false to close the connection.
func startRawBackend(t *testing.T, serve func(run int32, w io.Writer) bool) (*rawBackend, string) {
	t.Helper()
	backend := &rawBackend{heads: make(chan string, 100)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go backend.serveConn(conn, serve)
		}
	}()
	return backend, listener.Addr().String()
}

func (b *rawBackend) serveConn(conn net.Conn, serve func(run int32, w io.Writer) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var head strings.Builder
		_ = request.Header.Write(&head)
		_, _ = io.Copy(io.Discard, request.Body)
		fmt.Fprintf(&head, "trailer %v", request.Trailer)
		b.heads <- head.String()
		if !serve(b.runs.Add(1), conn) {
			return
		}
	}
}

// announceRaw announces a backend server as ready and waits until all instances know it.
func (f *testFleet) announceRaw(t *testing.T, instance int, address string) {
	t.Helper()
	f.announce(t, instance, address, backendproxy.StateReady)
	f.waitForServers(t, 1)
}

func (f *testFleet) announceDraining(t *testing.T, instance int, address string) {
	t.Helper()
	f.announce(t, instance, address, backendproxy.StateDraining)
}

func (f *testFleet) announce(t *testing.T, instance int, address, state string) {
	t.Helper()
	announcer := &emulator.Announcer{LocalAddress: f.layout.Instances[instance].LocalAddress, ID: "raw", Announcement: backendproxy.Announcement{
		Service: "catalogue", Address: address, Slots: 8, State: state, LifetimeMillis: 30000,
	}}
	must.NoError(t, announcer.Announce(context.Background()))
}

// respondOK writes a response with the body ok. Its headers include forged headers of the
// fleet, which must not reach the caller.
func respondOK(w io.Writer) {
	_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nHemlock-Refusal: busy\r\nHemlock-Outcome: not-run\r\n\r\nok")
}

// net/http resends a request with an Idempotency-Key and an empty body on its own if a
// reused connection closes. The fleet must prevent this.
func TestKeyedOrderNotResentAfterConnectionClose(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	backend, address := startRawBackend(t, func(run int32, w io.Writer) bool {
		if run == 1 {
			respondOK(w)
		}
		return run == 1
	})
	fleet.announceRaw(t, 0, address)
	response, _ := fleet.send(t, 1, http.MethodPost, "/orders", "")
	must.Eq(t, http.StatusOK, response.StatusCode)

	request, err := http.NewRequest(http.MethodPost, fleet.url(1, "/orders"), nil)
	must.NoError(t, err)
	request.Header.Set("X-Api-Key", testKey)
	request.Header.Set("Idempotency-Key", "order-1")
	response, err = fleet.client.Do(request)
	must.NoError(t, err)
	response.Body.Close()
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Eq(t, "unknown", response.Header.Get(pipeline.HeaderOutcome))
	must.Eq(t, 2, backend.runs.Load())
}

func TestKeysAndForgedHeadersRemovedFromBackendRequest(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	backend, address := startRawBackend(t, func(_ int32, w io.Writer) bool {
		respondOK(w)
		return true
	})
	fleet.announceRaw(t, 0, address)
	for instance := range 2 {
		body := struct{ io.Reader }{strings.NewReader("body")}
		request, err := http.NewRequest(http.MethodPost, fleet.url(instance, "/open"), body)
		must.NoError(t, err)
		request.Header.Set("Authorization", "bearer "+testKey)
		request.Header.Set("X-Api-Key", testKey)
		request.Header.Set("Hemlock-Account", "forged")
		request.Header.Set("Hemlock_Account", "forged")
		request.Header.Set("Connection", "X-Secret")
		request.Header.Set("X-Secret", "forged")
		request.Trailer = http.Header{
			"X-Api-Key":     {testKey},
			"Authorization": {"Bearer " + testKey},
			"X-Check":       {"passes"},
		}
		response, err := fleet.client.Do(request)
		must.NoError(t, err)
		response.Body.Close()
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, "answered", response.Header.Get(pipeline.HeaderOutcome))
		must.Eq(t, "", response.Header.Get(pipeline.HeaderRefusal))
		head := <-backend.heads
		must.StrNotContains(t, head, testKey)
		must.StrNotContains(t, head, "forged")
		must.StrContains(t, head, "passes")
	}
}

func TestOversizedRequestHeaderRefused(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 1, emulator.Config{Slots: 1})
	request, err := http.NewRequest(http.MethodGet, fleet.url(0, "/open"), nil)
	must.NoError(t, err)
	request.Header.Set("X-Long", strings.Repeat("x", 1<<20))
	response, err := fleet.client.Do(request)
	if err == nil {
		response.Body.Close()
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	}
	total, _, _ := fleet.executions()
	must.Zero(t, total)
}

// If a backend server resets the connection after the head of the response, the caller
// must see an error, whether or not the request was forwarded to another instance.
func TestTruncatedResponseReportedToCaller(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{Slots: 8})
	for _, backend := range fleet.backends {
		backend.SetFault(emulator.Fault{Kind: emulator.FaultTruncate, Share: 1})
	}
	for i := range 40 {
		path := "/open"
		if i%2 == 0 {
			path = "/open?size=100000"
		}
		response, err := fleet.client.Get(fleet.url(i%4/2, path))
		if err != nil {
			// The connection broke before the ingress had sent the head.
			continue
		}
		if response.StatusCode == http.StatusBadGateway {
			// The connection broke before the backend proxy had sent the head, and no retry
			// was left: the ingress reports that the outcome is unknown.
			must.Eq(t, pipeline.OutcomeUnknown.String(), response.Header.Get(pipeline.HeaderOutcome))
			response.Body.Close()
			continue
		}
		must.Eq(t, http.StatusOK, response.StatusCode)
		_, err = io.ReadAll(response.Body)
		must.Error(t, err)
		response.Body.Close()
	}
}

func TestBodiesStreamWithoutBuffering(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{Slots: 8})
	for i := range 8 {
		reader, writer := io.Pipe()
		request, err := http.NewRequest(http.MethodPost, fleet.url(i%2, "/open"), reader)
		must.NoError(t, err)
		request.Trailer = http.Header{"X-Check": {"sum"}}
		response, err := fleet.client.Do(request)
		must.NoError(t, err)
		buffer := make([]byte, 5)
		for range 3 {
			_, err = writer.Write([]byte("hello"))
			must.NoError(t, err)
			_, err = io.ReadFull(response.Body, buffer)
			must.NoError(t, err)
		}
		writer.Close()
		_, err = io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, "sum", response.Trailer.Get("X-Checked"))
	}
}

func TestLargeBodyTransferred(t *testing.T) {
	t.Parallel()
	const size = 32 << 20
	fleet := startFleet(t, 2, emulator.Config{Slots: 8})
	for i := range 4 {
		body := io.LimitReader(zeros{}, size)
		response, err := fleet.client.Post(fleet.url(i%2, "/open"), "application/octet-stream", body)
		must.NoError(t, err)
		n, err := io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		must.Eq(t, size, n)
		response.Body.Close()
	}
}

type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { return len(buffer), nil }

func TestRouteTimeoutReturnsGatewayTimeout(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{Slots: 8})
	for _, backend := range fleet.backends {
		backend.SetFault(emulator.Fault{Kind: emulator.FaultNoResponse, Share: 1})
	}
	for i := range 4 {
		response, _ := fleet.send(t, i%2, http.MethodPost, "/short", "")
		must.Eq(t, http.StatusGatewayTimeout, response.StatusCode, must.Sprint(response.Header))
		must.Eq(t, "unknown", response.Header.Get(pipeline.HeaderOutcome))
		must.Eq(t, string(pipeline.KindOutcomeUnknown), response.Header.Get(pipeline.HeaderRefusal))
	}
	// The deadline was passed on to the backend servers, so their slots become free.
	waitFor(t, func() bool {
		return fleet.nodes[0].registry.Running()+fleet.nodes[1].registry.Running() == 0
	})
}

func TestCallerCancelReachesBackendServer(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{Slots: 8})
	for _, backend := range fleet.backends {
		backend.SetFault(emulator.Fault{Kind: emulator.FaultNoResponse, Share: 1})
	}
	running := func() int { return fleet.nodes[0].registry.Running() + fleet.nodes[1].registry.Running() }
	for i := range 4 {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fleet.url(i%2, "/open"), nil)
		must.NoError(t, err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			response, err := fleet.client.Do(request)
			if err == nil {
				response.Body.Close()
			}
		}()
		waitFor(t, func() bool { return running() == 1 })
		cancel()
		<-done
		waitFor(t, func() bool { return running() == 0 })
	}
}

// Each of thousands of concurrent requests, some of which fail or are cancelled, receives
// its own response, and none is executed twice.
func TestConcurrentCallersReceiveOwnResponses(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, emulator.Config{Slots: 200, ServiceTime: 2 * time.Millisecond})
	fleet.backends[1].SetFault(emulator.Fault{Kind: emulator.FaultReset, Share: 0.2})
	var group errgroup.Group
	group.SetLimit(200)
	var succeeded atomic.Int32
	for i := range 4000 {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if i%17 == 0 {
				ctx, cancel = context.WithTimeout(ctx, 2*time.Millisecond)
				defer cancel()
			}
			want := fmt.Sprintf("content-%d-%s", i, strings.Repeat("x", i%3000))
			path := fmt.Sprintf("/open/%d", i)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.url(i%3, path), strings.NewReader(want))
			if err != nil {
				return err
			}
			request.Header.Set(emulator.HeaderOrder, path)
			response, err := fleet.client.Do(request)
			if err != nil {
				return nil
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK {
				return nil
			}
			if string(body) != want || response.Header.Get("X-Path") != path {
				return fmt.Errorf("request %d received the response of another request", i)
			}
			succeeded.Add(1)
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Greater(t, 2500, int(succeeded.Load()))
	_, orders, _ := fleet.executions()
	for order, count := range orders {
		must.Eq(t, 1, count, must.Sprintf("order %s", order))
	}
}

// After a refusal that leaves the request body unread, the caller's connection still
// works for further requests.
func TestRefusalWithUnreadBodyKeepsConnection(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 1, emulator.Config{Slots: 8})
	for i := range 300 {
		body := io.MultiReader(strings.NewReader("body"), strings.NewReader(strings.Repeat("x", i*10)))
		request, err := http.NewRequest(http.MethodPost, fleet.url(0, "/orders"), body)
		must.NoError(t, err)
		request.Header.Set("X-Api-Key", "wrong")
		response, err := fleet.client.Do(request)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		response.Body.Close()
		must.Eq(t, http.StatusUnauthorized, response.StatusCode)
	}
}

// A route may split its requests between several services. A request for which the split
// selects a service without backend servers is refused as not run and is not sent to
// another service.
func TestSplitPartWithoutCapacityRefusesRequests(t *testing.T) {
	t.Parallel()
	const requests = 100
	fleet := startFleet(t, 2, emulator.Config{Slots: 20})
	fleet.config.set(func(document *fleetconfig.Document) {
		document.Services = append(document.Services, fleetconfig.Service{Name: "empty"})
		document.Routes = append(document.Routes, fleetconfig.Route{
			ID: "divided", PathPrefix: "/divided", OpenToAll: true, Service: "catalogue",
			Split: []fleetconfig.SplitPart{{Service: "catalogue", Weight: 60}, {Service: "empty", Weight: 40}},
		})
	})
	statuses := make(map[int]int)
	for i := range requests {
		response, _ := fleet.send(t, i%2, http.MethodPost, "/divided", "")
		statuses[response.StatusCode]++
		if response.StatusCode != http.StatusOK {
			must.Eq(t, "not-run", response.Header.Get(pipeline.HeaderOutcome))
		}
	}
	must.Between(t, requests*5/10, statuses[http.StatusOK], requests*7/10)
	must.Eq(t, requests-statuses[http.StatusOK], statuses[http.StatusServiceUnavailable])
	total, _, _ := fleet.executions()
	must.Eq(t, statuses[http.StatusOK], total)
}
