package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/pipeline"
)

// startEarlyBackend starts a backend server that sends the answer to each request after it has
// read the head and some KiB of the body, more for each further request, and ends the
// connection: with a reset, or with an orderly end that the upload then meets.
func startEarlyBackend(t *testing.T, answer string, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := int64(0); ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, request.Body, n%64<<10)
				_, _ = io.WriteString(conn, answer)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a part of a body that reaches the caller as a complete answer: the server answers during the upload and then resets or ends the connection.
func TestEarlyAnswerWithoutLengthIsNeverComplete(t *testing.T) {
	t.Parallel()
	const (
		uploads   = 48
		timeLimit = 20 * time.Second
	)
	upload := make([]byte, 600<<10)
	for _, reset := range []bool{true, false} {
		fleet := startFleet(t, 2, emulator.Config{})
		fleet.announceRaw(t, 0, startEarlyBackend(t, "HTTP/1.1 200 OK\r\n\r\n0123456789abcdef", reset))
		var parts atomic.Int32
		var group errgroup.Group
		group.SetLimit(4)
		ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
		defer cancel()
		for i := range uploads {
			group.Go(func() error {
				method := http.MethodPost
				if i/2%4 == 0 {
					method = http.MethodPut
				}
				request, err := http.NewRequestWithContext(ctx, method, fleet.url(i%2, "/open"), bytes.NewReader(upload))
				must.NoError(t, err)
				response, err := fleet.client.Do(request)
				if err != nil {
					return nil // The connection was aborted before the head was sent.
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				if response.StatusCode == http.StatusOK {
					parts.Add(1)
					must.Error(t, err, must.Sprintf("instance %d, %s: complete with %q", i%2, method, body))
					return nil
				}
				must.NotEq(t, pipeline.OutcomeAnswered.String(), response.Header.Get(pipeline.HeaderOutcome))
				return nil
			})
		}
		must.NoError(t, group.Wait())
		must.NoError(t, ctx.Err())
		t.Logf("reset %v: %d of %d answers passed on in part", reset, parts.Load(), uploads)
	}
}

// Guards against a truncated body that a caller with HTTP/1.0 takes for complete, since the end of the connection ends it.
func TestTruncatedResponseResetsConnectionOfOldCaller(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	fleet.announceRaw(t, 0, startEarlyBackend(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false))
	for i := range 8 {
		conn, err := net.Dial("tcp", fleet.layout.Instances[i%2].CallerAddress)
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = io.WriteString(conn, "GET /open HTTP/1.0\r\nHost: a.example\r\n\r\n")
		must.NoError(t, err)
		received, err := io.ReadAll(conn)
		refused := strings.HasPrefix(string(received), "HTTP/1.0 502") // The connection broke before the head was sent.
		must.Eq(t, refused, err == nil, must.Sprintf("%q", received))
		must.NoError(t, conn.Close())
	}
}

// Guards against a response that waits for a caller which waits for the response before it sends the rest of its body.
func TestResponseReachesCallerThatPausesItsUpload(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(100 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	fleet.announceRaw(t, 0, listener.Addr().String())
	for instance := range 2 {
		conn, err := net.Dial("tcp", fleet.layout.Instances[instance].CallerAddress)
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, "POST /open HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n")
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err, must.Sprint(instance))
		must.Eq(t, http.StatusOK, response.StatusCode)
		_, err = io.ReadAll(response.Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.NoError(t, conn.Close())
	}
}

// Guards against a refusal that waits for a caller which pauses its upload: the server resets the connection before its head, and the route's timeout is 300 ms.
func TestResetBeforeHeadIsReportedWhileUploadPauses(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	fleet.announceRaw(t, 0, startEarlyBackend(t, "", true))
	for instance := range 2 {
		conn, err := net.Dial("tcp", fleet.layout.Instances[instance].CallerAddress)
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, "POST /short HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: "+testKey+"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n")
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err, must.Sprintf("instance %d", instance))
		must.Eq(t, pipeline.OutcomeUnknown.String(), response.Header.Get(pipeline.HeaderOutcome))
		must.NoError(t, conn.Close())
	}
}

// Guards against an order with a key that waits for its paused upload past the route's timeout.
func TestPausedUploadOfOrderWithKeyIsRefusedAtTheTimeout(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 1, emulator.Config{Slots: 1})
	conn, err := net.Dial("tcp", fleet.layout.Instances[0].CallerAddress)
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "POST /short HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: "+testKey+"\r\n"+pipeline.HeaderIdempotencyKey+": paused\r\nContent-Length: 8\r\n\r\nfour")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestTimeout, response.StatusCode)
	must.Eq(t, pipeline.OutcomeNotRun.String(), response.Header.Get(pipeline.HeaderOutcome))
}

// Guards against an answer that waits past the route's timeout, and a slot that stays in use, because the caller pauses its upload.
func TestPausedUploadIsAnsweredAtTheTimeoutOfItsRoute(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	_, address := startRawBackend(t, func(int32, io.Writer) bool { return true })
	fleet.announceRaw(t, 0, address)
	for instance := range 2 {
		for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
			conn, err := net.Dial("tcp", fleet.layout.Instances[instance].CallerAddress)
			must.NoError(t, err)
			must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(conn, "POST /short HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: "+testKey+"\r\n"+expect+"Content-Length: 8\r\n\r\nfour")
			must.NoError(t, err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(reader, nil)
			}
			must.NoError(t, err, must.Sprintf("instance %d %s", instance, expect))
			must.Eq(t, http.StatusGatewayTimeout, response.StatusCode)
			must.NoError(t, conn.Close())
		}
	}
	waitFor(t, func() bool {
		loads := fleet.nodes[0].backendProxy.Loads()
		return len(loads) == 1 && loads[0].InFlight == 0
	})
}
