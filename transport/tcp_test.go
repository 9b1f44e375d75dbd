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
)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// trusting starts an endpoint in a trusted network.
func trusting(t testing.TB, id fleetconfig.InstanceID, handler http.Handler) *Endpoint {
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

func TestCallsInATrustedNetworkNameTheirSender(t *testing.T) {
	mux := http.NewServeMux()
	HandleCall(mux, "/echo", func(_ context.Context, from fleetconfig.InstanceID, request *echo) (*echo, error) {
		return &echo{Text: request.Text + " of " + string(from)}, nil
	})
	server := trusting(t, "server", mux)
	client := trusting(t, "client", http.NotFoundHandler())
	reply := new(echo)
	must.NoError(t, client.Call(context.Background(), server.Address().String(), "/echo", &echo{Text: "call"}, reply))
	must.Eq(t, "call of client", reply.Text)
	must.Eq(t, uint64(1), client.CallTraffic()["/echo"].Calls)
}

func outgoing(ctx context.Context, body string) *http.Request {
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Header: make(http.Header), ContentLength: int64(len(body))}
	if body != "" {
		request.Body = io.NopCloser(strings.NewReader(body))
	}
	return request.WithContext(ctx)
}

// A peer that is not there has seen nothing of a request. One that breaks off may
// have, and the request is not sent a second time.
func TestARequestIsNeverSentTwiceOverTCP(t *testing.T) {
	client := trusting(t, "client", http.NotFoundHandler())
	_, err := client.RoundTrip(freeAddress(t), outgoing(context.Background(), "order"), ClassSmall)
	must.True(t, errors.Is(err, ErrNotSent))

	var seen atomic.Int64
	server := trusting(t, "server", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen.Add(1)
		panic(http.ErrAbortHandler)
	}))
	for _, body := range []string{"order", ""} {
		seen.Store(0)
		_, err = client.RoundTrip(server.Address().String(), outgoing(context.Background(), body), ClassSmall)
		must.Error(t, err)
		must.False(t, errors.Is(err, ErrNotSent))
		must.Eq(t, int64(1), seen.Load())
	}
}

// A caller that gives up ends the request at the peer.
func TestACancelReachesThePeer(t *testing.T) {
	ended := make(chan struct{})
	arrived := make(chan struct{})
	server := trusting(t, "server", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	}))
	client := trusting(t, "client", http.NotFoundHandler())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.RoundTrip(server.Address().String(), outgoing(ctx, "order"), ClassSmall)
	must.Error(t, err)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the peer still works on a request that was given up")
	}
}
