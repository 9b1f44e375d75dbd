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

// callerPort serves callers by limits that a test can change.
func callerPort(t *testing.T, limits *atomic.Pointer[fleetconfig.CallerLimits]) string {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	port, err := openCallerPort(&settings.Callers{Address: "127.0.0.1:0"}, handler,
		newCallerConns(func() fleetconfig.CallerLimits { return *limits.Load() }), slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = port.Serve(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return port.listener.Addr().String()
}

// exchange sends a request on a connection and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(conn, testRequest); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// closedAfter returns how long the other side leaves a connection open.
func closedAfter(t *testing.T, reader io.Reader) time.Duration {
	t.Helper()
	began := time.Now()
	_, err := io.Copy(io.Discard, reader)
	must.NoError(t, err)
	return time.Since(began)
}

// An unused connection is closed by the time that is in force when it becomes unused,
// and not sooner.
func TestUnusedConnectionsOfCallersAreClosedByTheConfiguration(t *testing.T) {
	const short = 300 * time.Millisecond
	limits := &atomic.Pointer[fleetconfig.CallerLimits]{}
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute})
	address := callerPort(t, limits)
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, conn.Close()) }()
	reader := bufio.NewReader(conn)
	must.NoError(t, exchange(conn, reader))
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: short, HeaderTimeout: time.Minute})
	must.NoError(t, exchange(conn, reader))
	must.GreaterEq(t, short*4/5, closedAfter(t, reader))
}

// A header that does not end is cut off; a request whose header is here is not.
func TestHeadersOfCallersMustEndInTime(t *testing.T) {
	const short = 300 * time.Millisecond
	limits := &atomic.Pointer[fleetconfig.CallerLimits]{}
	limits.Store(&fleetconfig.CallerLimits{IdleTimeout: time.Minute, HeaderTimeout: short})
	address := callerPort(t, limits)
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { must.NoError(t, conn.Close()) }()
	reader := bufio.NewReader(conn)
	must.NoError(t, exchange(conn, reader))
	_, err = io.WriteString(conn, testRequest[:20])
	must.NoError(t, err)
	must.GreaterEq(t, short*4/5, closedAfter(t, reader))
}
