package backendproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// idleResetServer is a backend server that resets a connection when a request arrives on
// it after it has been idle for longer than idleTimeout.
type idleResetServer struct {
	net.Listener
	idleTimeout time.Duration
	// keepAlive is the value of the Keep-Alive header of its responses, if any.
	keepAlive string
	conns     atomic.Int32
	// lastActivity is when the last response was sent or the last connection accepted,
	// whichever is later, in Unix nanoseconds.
	lastActivity atomic.Int64
}

// idle reports whether every connection has been idle for more than twice idleTimeout.
func (s *idleResetServer) idle() bool {
	return time.Since(time.Unix(0, s.lastActivity.Load())) > 2*s.idleTimeout
}

func startIdleResetServer(t *testing.T, idleTimeout time.Duration, keepAlive string) *idleResetServer {
	server := &idleResetServer{idleTimeout: idleTimeout, keepAlive: keepAlive}
	server.Listener = listenRaw(t, func(conn *net.TCPConn) {
		server.conns.Add(1)
		server.serve(conn)
	})
	return server
}

// listenRaw accepts connections until the test ends and serves each in a goroutine of its own.
func listenRaw(t *testing.T, serve func(*net.TCPConn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener
}

func (s *idleResetServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answered := time.Now(); ; answered = time.Now() {
		s.lastActivity.Store(answered.UnixNano())
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if time.Since(answered) > s.idleTimeout {
			_ = conn.SetLinger(0)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		header := "HTTP/1.1 200 OK\r\n"
		if s.keepAlive != "" {
			header += "Keep-Alive: " + s.keepAlive + "\r\n"
		}
		if _, err := io.WriteString(conn, header+"Content-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// send sends one request through the dispatcher and returns its outcome.
func (s *idleResetServer) send(t *testing.T, d *dispatcher, idempotent bool) pipeline.Outcome {
	t.Helper()
	now := clock.Now()
	exchange := &pipeline.Exchange{
		Request:    httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")),
		Idempotent: idempotent,
		View:       fleetconfig.NewView(fleetconfig.NewDocument()),
		Deadline:   now.Add(time.Minute),
	}
	response, result, err := d.dispatch(t.Context(), exchange, s.Addr().String(), now.Add(time.Minute))
	if err != nil {
		return result.outcome
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return result.outcome
}

// Backend servers may drop idle connections silently. A non-idempotent request must not
// be sent on a connection that has been idle for long, while consecutive requests must
// share a connection.
func TestNonIdempotentRequestsAvoidIdleConnections(t *testing.T) {
	server := startIdleResetServer(t, 300*time.Millisecond, "")
	d := newDispatcher(DefaultDialect{})
	const consecutive, afterIdle = 20, 3
	for range consecutive {
		must.Eq(t, pipeline.OutcomeAnswered, server.send(t, d, false))
	}
	must.Less(t, consecutive/2, server.conns.Load())
	for range afterIdle {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(server.idle), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
		must.Eq(t, pipeline.OutcomeAnswered, server.send(t, d, false))
	}
}

func TestRequestsAvoidConnectionsPastStatedIdleTimeout(t *testing.T) {
	server := startIdleResetServer(t, time.Second, "timeout=1, max=100")
	d := newDispatcher(DefaultDialect{})
	const consecutive = 5
	for range consecutive {
		must.Eq(t, pipeline.OutcomeAnswered, server.send(t, d, true))
	}
	must.Eq(t, 1, server.conns.Load())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(server.idle), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
	must.Eq(t, pipeline.OutcomeAnswered, server.send(t, d, true))
}

func TestStatedIdleTimeoutIsParsed(t *testing.T) {
	for text, expected := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=3, Timeout = 7": 7 * time.Second, "": 0, "timeout=0": 0, "timeout=-4": 0,
		"timeout=soon": 0, "timeout=99999999999999999999": 0, "max=5": 0,
	} {
		must.Eq(t, expected, statedIdleTimeout(text), must.Sprint(text))
	}
}
