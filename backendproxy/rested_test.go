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

// forgetful is a backend server that resets a connection when a request comes on it
// after a rest.
type forgetful struct {
	net.Listener
	rest  time.Duration
	conns atomic.Int32
	// answered is when the last answer was sent, in nanoseconds of the Unix time.
	answered atomic.Int64
}

// rested reports whether every connection has rested for longer than it is remembered.
func (f *forgetful) rested() bool {
	return time.Since(time.Unix(0, f.answered.Load())) > 2*f.rest
}

func startForgetful(t *testing.T, rest time.Duration) *forgetful {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &forgetful{Listener: listener, rest: rest}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.conns.Add(1)
			go server.serve(conn.(*net.TCPConn))
		}
	}()
	return server
}

func (f *forgetful) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answered := time.Now(); ; answered = time.Now() {
		f.answered.Store(answered.UnixNano())
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if time.Since(answered) > f.rest {
			_ = conn.SetLinger(0)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// send sends one request through the dispatcher and returns what is known of it.
func (f *forgetful) send(t *testing.T, d *dispatcher, idempotent bool) pipeline.Outcome {
	t.Helper()
	now := clock.Now()
	exchange := &pipeline.Exchange{
		Request:    httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")),
		Idempotent: idempotent,
		View:       fleetconfig.NewView(fleetconfig.NewDocument()),
		Deadline:   now.Add(time.Minute),
	}
	response, outcome, err := d.dispatch(t.Context(), exchange, f.Addr().String(), now.Add(time.Minute))
	if err != nil {
		return outcome
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return outcome
}

// A backend server may forget connections that rest. A request that can not be
// repeated is never sent on one that has rested for long, and one that comes soon
// after another uses its connection.
func TestUnrepeatableRequestsUseNoRestedConnection(t *testing.T) {
	server := startForgetful(t, 300*time.Millisecond)
	d := newDispatcher(DefaultDialect{})
	const together, apart = 20, 3
	for range together {
		must.Eq(t, pipeline.OutcomeAnswered, server.send(t, d, false))
	}
	must.Less(t, together/2, server.conns.Load())
	for range apart {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(server.rested), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
		must.Eq(t, pipeline.OutcomeAnswered, server.send(t, d, false))
	}
}
