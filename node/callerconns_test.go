package node

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/settings"
)

const testRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// noContentHandler responds without a body.
var noContentHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })

// startCallerPort opens a port for callers whose limits the test can change while it
// serves. It returns the address.
func startCallerPort(t *testing.T, handler http.Handler, limits *atomic.Pointer[fleetconfig.CallerLimits]) string {
	t.Helper()
	port, err := openCallerPort(&settings.Callers{Address: "127.0.0.1:0"}, handler,
		func() fleetconfig.CallerLimits { return *limits.Load() }, slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = port.Serve(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return port.listener.Addr().String()
}

// roundTrip sends a request on a connection and reads the response.
func roundTrip(conn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(conn, testRequest); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// requireClosedAfter asserts that the peer closes the connection after about limit: not
// much earlier, because the caller may still use the connection, and not as late as the
// timeout that is not under test, which is a minute.
func requireClosedAfter(t *testing.T, reader io.Reader, limit time.Duration) {
	t.Helper()
	start := time.Now()
	_, err := io.Copy(io.Discard, reader)
	must.NoError(t, err)
	elapsed := time.Since(start)
	must.GreaterEq(t, limit*4/5, elapsed)
	must.Less(t, 30*time.Second, elapsed)
}

// An idle connection is closed after the idle timeout in force when it became idle, and
// not earlier.
func TestCallerConnectionClosedAfterIdleTimeout(t *testing.T) {
	const shortTimeout = 300 * time.Millisecond
	limits := &atomic.Pointer[fleetconfig.CallerLimits]{}
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute})
	address := startCallerPort(t, noContentHandler, limits)
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, conn.Close()) }()
	reader := bufio.NewReader(conn)
	must.NoError(t, roundTrip(conn, reader))
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: shortTimeout, HeaderTimeout: time.Minute})
	must.NoError(t, roundTrip(conn, reader))
	requireClosedAfter(t, reader, shortTimeout)
}

// A connection whose request header stays incomplete is closed after the header timeout.
// This applies to reused and to new connections.
func TestCallerConnectionClosedAfterHeaderTimeout(t *testing.T) {
	const shortTimeout = 300 * time.Millisecond
	limits := &atomic.Pointer[fleetconfig.CallerLimits]{}
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: time.Minute, HeaderTimeout: shortTimeout})
	address := startCallerPort(t, noContentHandler, limits)
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, conn.Close()) }()
	reader := bufio.NewReader(conn)
	must.NoError(t, roundTrip(conn, reader))
	_, err = io.WriteString(conn, testRequest[:20])
	must.NoError(t, err)
	requireClosedAfter(t, reader, shortTimeout)

	newConn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, newConn.Close()) }()
	_, err = io.WriteString(newConn, testRequest[:20])
	must.NoError(t, err)
	requireClosedAfter(t, newConn, shortTimeout)
}

// A request whose body takes longer than the header timeout and the idle timeout is
// completed, on HTTP/1.1 and on HTTP/2.
func TestLongCallerRequestOutlivesConnectionTimeouts(t *testing.T) {
	const shortTimeout = 100 * time.Millisecond
	limits := &atomic.Pointer[fleetconfig.CallerLimits]{}
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: shortTimeout, HeaderTimeout: shortTimeout})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(w, r.Body) // The body ends after both timeouts.
		must.NoError(t, err)
	})
	address := startCallerPort(t, handler, limits)
	for _, http2 := range []bool{false, true} {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		body, slow := io.Pipe()
		time.AfterFunc(5*shortTimeout, func() {
			_, _ = io.WriteString(slow, "late")
			_ = slow.Close()
		})
		response, err := client.Post("http://"+address, "text/plain", body)
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, "late", string(text))
		must.NoError(t, response.Body.Close())
		client.CloseIdleConnections()
	}
}
