package transport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// freeAddress returns a loopback address with a port that is free for TCP and UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		address := listener.Addr().String()
		datagrams, err := net.ListenPacket("udp", address)
		listener.Close()
		if err == nil {
			datagrams.Close()
			return address
		}
	}
}

// newTrustedEndpoint starts an endpoint without TLS, as in a trusted network.
func newTrustedEndpoint(t testing.TB, id fleetconfig.InstanceID, handler http.Handler) *Endpoint {
	t.Helper()
	endpoint, err := Listen(EndpointConfig{Address: freeAddress(t), ID: id, Handler: handler, Logger: slog.New(slog.DiscardHandler)})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- endpoint.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		endpoint.Close()
	})
	return endpoint
}

type echo struct {
	Text string `cbor:"1,keyasint"`
}

func TestTCPCallIdentifiesSender(t *testing.T) {
	mux := http.NewServeMux()
	HandleCall(mux, "/echo", func(_ context.Context, from fleetconfig.InstanceID, request *echo) (*echo, error) {
		return &echo{Text: request.Text + " of " + string(from)}, nil
	})
	server := newTrustedEndpoint(t, "server", mux)
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	reply := new(echo)
	must.NoError(t, client.Call(context.Background(), server.Address().String(), "/echo", &echo{Text: "call"}, reply))
	must.Eq(t, "call of client", reply.Text)
	must.Eq(t, uint64(1), client.CallTraffic()["/echo"].Calls)
}

// Replies carry no Date header, which would be most of the header of a reply.
func TestRepliesHaveNoDate(t *testing.T) {
	mux := http.NewServeMux()
	HandleCall(mux, "/x", func(_ context.Context, _ fleetconfig.InstanceID, request *echo) (*echo, error) { return request, nil })
	server := newTrustedEndpoint(t, "server", mux)
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	data, err := codec.Marshal(&echo{Text: "call"})
	must.NoError(t, err)
	response, err := client.RoundTrip(server.Address().String(), newRequest(t.Context(), string(data)), ClassSmall)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.MapNotContainsKey(t, response.Header, "Date")
}

func TestTrafficIsCountedByKind(t *testing.T) {
	mux := http.NewServeMux()
	HandleCall(mux, "/echo", func(_ context.Context, _ fleetconfig.InstanceID, request *echo) (*echo, error) { return request, nil })
	server := newTrustedEndpoint(t, "server", mux)
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	address := server.Address().String()
	client.config.IsFar = func(other string) bool { return other == address }
	must.NoError(t, client.Call(context.Background(), address, "/echo", &echo{Text: "call"}, new(echo)))
	response, err := client.RoundTrip(address, newRequest(t.Context(), "body"), ClassSmall)
	must.NoError(t, err)
	answer, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	call := client.TrafficByKind()[TrafficKind{Name: "/echo", Far: true}]
	must.Positive(t, call.SentBytes)
	must.Eq(t, call.SentBytes, call.ReceivedBytes)
	must.Eq(t, CallTraffic{Calls: 1, SentBytes: 4, ReceivedBytes: uint64(len(answer))}, client.CallTraffic()[KindRequest])
}

func newRequest(ctx context.Context, body string) *http.Request {
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Header: make(http.Header), ContentLength: int64(len(body))}
	if body != "" {
		request.Body = io.NopCloser(strings.NewReader(body))
	}
	return request.WithContext(ctx)
}

// The error must match ErrNotSent if the peer does not exist. If the peer closes the
// connection while it handles the request, the error must not match ErrNotSent and
// the request must not be sent again.
func TestTCPRequestIsSentAtMostOnce(t *testing.T) {
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	_, err := client.RoundTrip(freeAddress(t), newRequest(context.Background(), "order"), ClassSmall)
	must.True(t, errors.Is(err, ErrNotSent))

	var received atomic.Int64
	server := newTrustedEndpoint(t, "server", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	for _, body := range []string{"order", ""} {
		received.Store(0)
		_, err = client.RoundTrip(server.Address().String(), newRequest(context.Background(), body), ClassSmall)
		must.Error(t, err)
		must.False(t, errors.Is(err, ErrNotSent))
		must.Eq(t, int64(1), received.Load())
	}
}

// If the sender cancels a request, the request context must end at the peer.
func TestTCPCancelReachesPeer(t *testing.T) {
	ended := make(chan struct{})
	arrived := make(chan struct{})
	server := newTrustedEndpoint(t, "server", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	}))
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.RoundTrip(server.Address().String(), newRequest(ctx, "order"), ClassSmall)
	must.Error(t, err)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the peer still handles a canceled request")
	}
}

// Guards against a caller's request that is answered as a liveness probe because of its path.
func TestRequestWithPathOfLivenessProbeReachesHandler(t *testing.T) {
	server := newTrustedEndpoint(t, "server", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
	}))
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	for range 2 {
		request := newRequest(context.Background(), "order")
		request.URL.Path = pathLiveness
		response, err := client.RoundTrip(server.Address().String(), request, ClassSmall)
		must.NoError(t, err)
		must.Eq(t, http.StatusTeapot, response.StatusCode)
		must.NoError(t, response.Body.Close())
	}
}

// A call to a peer that responded 300 ms ago, as the calls of an ingress to the owner of its
// quotas, needs no liveness probe, and a request of a caller does.
func TestFrequentCallsNeedNoProbe(t *testing.T) {
	var probes atomic.Int64
	mux := http.NewServeMux()
	HandleCall(mux, "/echo", func(_ context.Context, _ fleetconfig.InstanceID, request *echo) (*echo, error) { return request, nil })
	server := newTrustedEndpoint(t, "server", mux)
	answer := server.transport.(*tcpTransport).server.Handler
	client := newTrustedEndpoint(t, "client", http.NotFoundHandler())
	server.transport.(*tcpTransport).server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathLiveness {
			probes.Add(1)
		}
		answer.ServeHTTP(w, r)
	})
	address := server.Address().String()
	call := func() { must.NoError(t, client.Call(t.Context(), address, "/echo", &echo{}, new(echo))) }
	call()
	must.Eq(t, 1, probes.Load())
	const tries = 20
	peer := client.transport.(*tcpTransport).peers[ClassSmall].lookup(address)
	for try := 1; ; try++ {
		probes.Store(0)
		before := time.Now()
		peer.lastResponse.Store(before.Add(-300 * time.Millisecond).UnixNano())
		call()
		if time.Since(before) < callValidity-300*time.Millisecond {
			break
		}
		must.Less(t, tries, try, must.Sprint("the machine is too slow"))
	}
	must.Eq(t, 0, probes.Load())
	peer.lastResponse.Store(time.Now().Add(-300 * time.Millisecond).UnixNano())
	response, err := client.RoundTrip(address, newRequest(t.Context(), ""), ClassSmall)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, 1, probes.Load())
}
