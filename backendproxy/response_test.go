package backendproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// scriptedServer is a backend server that answers each request as its script says.
type scriptedServer struct {
	net.Listener
	// answer returns what is sent in response to the request, the n-th on its connection.
	answer func(n int, requestID string) string
	conns  atomic.Int32
}

func startScriptedServer(t *testing.T, answer func(n int, requestID string) string) *scriptedServer {
	server := &scriptedServer{answer: answer}
	server.Listener = listenRaw(t, func(conn *net.TCPConn) {
		server.conns.Add(1)
		server.serve(conn)
	})
	return server
}

func (s *scriptedServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, s.answer(n, request.Header.Get(pipeline.HeaderRequestID))); err != nil {
			return
		}
	}
}

// send sends a request through the dispatcher and returns the verdict on the response.
func (s *scriptedServer) send(t *testing.T, d *dispatcher, requestID string) Verdict {
	t.Helper()
	now := clock.Now()
	exchange := &pipeline.Exchange{
		RequestID: requestID,
		Request:   httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")),
		View:      fleetconfig.NewView(fleetconfig.NewDocument()),
		Deadline:  now.Add(time.Minute),
	}
	response, result, err := d.dispatch(t.Context(), exchange, s.Addr().String(), now.Add(time.Minute))
	if result.verdict == VerdictInvalid {
		must.Error(t, err)
		must.Eq(t, pipeline.OutcomeUnknown, result.outcome)
		return result.verdict
	}
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return result.verdict
}

func responseText(status int, requestID string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, pipeline.HeaderRequestID, requestID)
}

// echoDialect compares the echoed request ID, and takes status 421 as the report of a misdirected
// request.
type echoDialect struct{ DefaultDialect }

func (echoDialect) Classify(response *http.Response, exchange *pipeline.Exchange, _ bool) Verdict {
	switch {
	case response.Header.Get(pipeline.HeaderRequestID) != exchange.RequestID:
		return VerdictMismatched
	case response.StatusCode == http.StatusMisdirectedRequest:
		return VerdictMisdirected
	}
	return VerdictAnswered
}

// Guards against further requests on a connection on which the answer to an earlier one is still due.
func TestConnectionIsRetiredAfterMismatchedResponse(t *testing.T) {
	server := startScriptedServer(t, func(n int, requestID string) string {
		if n == 2 {
			return responseText(http.StatusOK, "r1")
		}
		return responseText(http.StatusOK, requestID)
	})
	d := newDispatcher(echoDialect{})
	must.Eq(t, VerdictAnswered, server.send(t, d, "r1"))
	must.Eq(t, VerdictMismatched, server.send(t, d, "r2"))
	must.Eq(t, 1, server.conns.Load())
	must.Eq(t, VerdictAnswered, server.send(t, d, "r3"))
	must.Eq(t, 2, server.conns.Load())
}

// Guards against a copy of a 421 that passes for the answer to the next attempt of the same request.
func TestConnectionIsRetiredAfterMisdirectedRequest(t *testing.T) {
	server := startScriptedServer(t, func(n int, requestID string) string {
		if n == 1 {
			return responseText(http.StatusMisdirectedRequest, requestID)
		}
		return responseText(http.StatusOK, requestID)
	})
	d := newDispatcher(echoDialect{})
	must.Eq(t, VerdictMisdirected, server.send(t, d, "r1"))
	must.Eq(t, VerdictMisdirected, server.send(t, d, "r1"))
	must.Eq(t, 2, server.conns.Load())
}

// A retired connection that another request has taken is closed after that request.
func TestRetiredConnectionServesItsRequestToTheEnd(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	conn := &trackedConn{Conn: local}
	conn.beginRequest(time.Now().Add(time.Hour))
	conn.retire()
	go func() { _, _ = io.CopyN(io.Discard, remote, 4) }()
	_, err := conn.Write([]byte("head"))
	must.NoError(t, err)
	conn.setIdle()
	_, err = conn.Write([]byte("next"))
	must.ErrorIs(t, err, net.ErrClosed)
}

// Guards against requests that wait past their deadline for the end of a 101 response.
func TestResponseThatCannotAnswerRequestEndsAtOnce(t *testing.T) {
	for _, status := range []int{0, 1, 99, http.StatusSwitchingProtocols} {
		server := startScriptedServer(t, func(n int, requestID string) string {
			if n == 2 {
				return fmt.Sprintf("HTTP/1.1 %03d X\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n%s: %s\r\n\r\n", status, pipeline.HeaderRequestID, requestID)
			}
			return responseText(http.StatusOK, requestID)
		})
		d := newDispatcher(echoDialect{})
		must.Eq(t, VerdictAnswered, server.send(t, d, "r1"))
		verdict := VerdictInvalid
		if status == http.StatusSwitchingProtocols {
			verdict = VerdictNotFinal
		}
		must.Eq(t, verdict, server.send(t, d, "r2"), must.Sprint(status))
		must.Eq(t, 1, server.conns.Load())
		must.Eq(t, VerdictAnswered, server.send(t, d, "r3"))
		must.Eq(t, 2, server.conns.Load())
	}
}

// Guards against a response whose head is not valid and that passes for an answer; its connection is not used again. The head arrives in pieces too.
func TestResponseWithInvalidHeadIsNoAnswer(t *testing.T) {
	for _, field := range []string{"Bad Name: x", "Content Length: 2", "Name : x", "Content-Length : 2", "Bad\x01Name: x", "A: b\r\n folded", "Transfer-Encoding: chunked"} {
		server := startScriptedServer(t, func(n int, requestID string) string {
			if n == 2 {
				return strings.Replace(responseText(http.StatusOK, requestID), "\r\n", "\r\n"+field+"\r\n", 1)
			}
			return "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + responseText(http.StatusOK, requestID)
		})
		d := newDispatcher(echoDialect{})
		must.Eq(t, VerdictAnswered, server.send(t, d, "r1"))
		must.Eq(t, VerdictInvalid, server.send(t, d, "r2"), must.Sprint(field))
		must.Eq(t, 1, server.conns.Load())
		must.Eq(t, VerdictAnswered, server.send(t, d, "r3"))
		must.Eq(t, 2, server.conns.Load())
	}
}

// Guards against a response that passes for the answer to a request although its head arrived before the request was sent, and so was not checked.
func TestHeadThatArrivedBeforeRequestIsNotItsOwn(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	conn := &trackedConn{Conn: local}
	conn.beginRequest(time.Now().Add(time.Hour))
	go func() {
		_, _ = io.WriteString(remote, responseText(http.StatusOK, "r1")+responseText(http.StatusOK, "r2"))
	}()
	_, err := conn.Read(make([]byte, 4<<10))
	must.NoError(t, err)
	must.True(t, conn.receivedHead())
	conn.beginRequest(time.Now().Add(time.Hour))
	must.False(t, conn.receivedHead())
}

// Guards against an order that is sent again, or whose caller is told that it has not run, after a response that is not its answer.
func TestUnusableResponseLeavesOutcomeUnknown(t *testing.T) {
	for _, verdict := range []Verdict{VerdictMismatched, VerdictNotFinal} {
		exchange := &pipeline.Exchange{
			Request:  httptest.NewRequest(http.MethodPost, "/x", nil),
			Deadline: clock.Now().Add(time.Minute),
			State:    &exchangeState{},
		}
		var refusal *pipeline.Refusal
		must.True(t, errors.As((&runFilter{}).checkResponse(exchange, verdict, http.Header{}, noObservation{}), &refusal))
		must.Eq(t, pipeline.OutcomeUnknown, refusal.Outcome)
		must.Eq(t, pipeline.OutcomeUnknown, exchange.Outcome)
		must.Eq(t, http.StatusBadGateway, refusal.Status)
		must.True(t, refusal.ReachedServer)
	}
}
