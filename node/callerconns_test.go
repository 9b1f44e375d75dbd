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

// noContentHandler answers without a body.
var noContentHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })

// startCallerPort serves callers by limits that a test can change.
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

// roundTrip sends a request on a connection and reads its answer.
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

// requireClosedAfter asserts that the other side closes a connection after about a time: not
// sooner, since its caller may still use it, and not only by the other limit, which is
// a minute in these tests.
func requireClosedAfter(t *testing.T, reader io.Reader, limit time.Duration) {
	t.Helper()
	start := time.Now()
	_, err := io.Copy(io.Discard, reader)
	must.NoError(t, err)
	elapsed := time.Since(start)
	must.GreaterEq(t, limit*4/5, elapsed)
	must.Less(t, 30*time.Second, elapsed)
}

// An unused connection is closed by the time that is in force when it becomes unused,
// and not sooner.
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

// A header that does not end is cut off, on a new connection and on one that was
// unused; the time that a request takes afterwards does not count.
func TestCallerConnectionClosedAfterHeaderTimeout(t *testing.T) {
	const short = 300 * time.Millisecond
	limits := &atomic.Pointer[fleetconfig.CallerLimits]{}
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: time.Minute, HeaderTimeout: short})
	address := startCallerPort(t, noContentHandler, limits)
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, conn.Close()) }()
	reader := bufio.NewReader(conn)
	must.NoError(t, roundTrip(conn, reader))
	_, err = io.WriteString(conn, testRequest[:20])
	must.NoError(t, err)
	requireClosedAfter(t, reader, short)

	newConn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, newConn.Close()) }()
	_, err = io.WriteString(newConn, testRequest[:20])
	must.NoError(t, err)
	requireClosedAfter(t, newConn, short)
}

// A request that takes longer than the header may, or than a connection may stay
// unused, is answered, and so is one on HTTP/2.
func TestLongCallerRequestOutlivesConnectionTimeouts(t *testing.T) {
	const short = 100 * time.Millisecond
	limits := &atomic.Pointer[fleetconfig.CallerLimits]{}
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: short, HeaderTimeout: short})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(w, r.Body) // The body ends after both times.
		must.NoError(t, err)
	})
	address := startCallerPort(t, handler, limits)
	for _, http2 := range []bool{false, true} {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		body, slow := io.Pipe()
		time.AfterFunc(5*short, func() {
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
