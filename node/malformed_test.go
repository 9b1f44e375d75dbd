package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/pipeline"
)

// A faulty backend server may send an endless response until its connection is closed.
// The caller must receive the result long before the route's timeout, the connection
// must be closed after a bounded number of bytes, and the order must be executed once.
func TestEndlessBackendResponseIsCutOff(t *testing.T) {
	t.Parallel()
	const (
		okStatusLine = "HTTP/1.1 200 OK\r\n"
		// timeLimit is far below the timeout of the route.
		timeLimit = 10 * time.Second
		// maxBytes is the maximum number of bytes that the backend server can write. It
		// includes the kernel's buffers at both ends of the connection.
		maxBytes = 16 << 20
	)
	cases := []struct {
		name, head, endless string
		// complete means that the caller receives a complete response nevertheless.
		complete bool
		// headSent means that the response has a valid head, so that the caller may see a
		// truncated response.
		headSent bool
	}{
		{name: "no HTTP", endless: "garbage "},
		{name: "status line", head: "HTTP/1.1 200 ", endless: "x"},
		{name: "header line", head: okStatusLine + "X-Long: ", endless: "x"},
		{name: "header fields", head: okStatusLine, endless: "X-More: y\r\n"},
		{name: "informational responses", endless: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		{name: "chunk size", head: okStatusLine + "Transfer-Encoding: chunked\r\n\r\n", endless: "0", headSent: true},
		{name: "chunk extension", head: okStatusLine + "Transfer-Encoding: chunked\r\n\r\n5;", endless: "x", headSent: true},
		{name: "trailer", head: okStatusLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", endless: "X-More: y\r\n", headSent: true},
		{name: "bytes after the body", head: okStatusLine + "Content-Length: 2\r\n\r\nok", endless: "x", complete: true},
	}
	fleet := startFleet(t, 2, emulator.Config{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			backend, address := startRawBackend(t, func(_ int32, w io.Writer) bool {
				defer close(closed)
				_, _ = io.WriteString(w, c.head)
				piece := bytes.Repeat([]byte(c.endless), 1+4096/len(c.endless))
				for {
					n, err := w.Write(piece)
					sent.Add(int64(n))
					if err != nil || sent.Load() > maxBytes {
						return false
					}
				}
			})
			fleet.announceRaw(t, 0, address)
			ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.url(1, "/open"), strings.NewReader("order"))
			must.NoError(t, err)
			response, err := fleet.client.Do(request)
			switch {
			case err != nil:
				// The connection broke before the ingress had sent the head.
				must.True(t, c.headSent)
				must.NoError(t, ctx.Err())
			case c.complete:
				must.Eq(t, http.StatusOK, response.StatusCode)
				body, err := io.ReadAll(response.Body)
				must.NoError(t, err)
				must.Eq(t, "ok", string(body))
			case response.StatusCode == http.StatusOK:
				must.True(t, c.headSent)
				_, err := io.ReadAll(response.Body)
				must.Error(t, err)
				must.NoError(t, ctx.Err())
			default:
				must.Eq(t, http.StatusBadGateway, response.StatusCode)
				must.Eq(t, pipeline.OutcomeUnknown.String(), response.Header.Get(pipeline.HeaderOutcome))
			}
			if response != nil {
				_ = response.Body.Close()
			}
			select {
			case <-closed:
			case <-time.After(timeLimit):
				t.Fatal("the connection is still open")
			}
			must.LessEq(t, maxBytes, sent.Load())
			must.Eq(t, 1, backend.runs.Load())
		})
	}
}

// A response whose head is not valid is no answer, whichever instance has the server: the caller of an order gets 502, and a request that may be repeated is.
func TestResponseWithInvalidHeadIsNotPassedOn(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 3",
		"HTTP/1.1 999 OK\r\nContent-Length: 3",
		"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 3",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent Length: 2",
		"HTTP/1.1 200 OK\r\nContent-Length : 3",
		"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\nContent-Length: 3",
		"HTTP/1.1 200 OK\r\nName: x\r\n Content-Length: 3",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	} {
		t.Run(head, func(t *testing.T) {
			backend, address := startRawBackend(t, func(run int32, w io.Writer) bool {
				if run%2 == 0 {
					respondOK(w)
				} else {
					_, _ = io.WriteString(w, head+"\r\n\r\nbad")
				}
				return true
			})
			fleet.announceRaw(t, 0, address)
			for instance := range 2 {
				response, _ := fleet.send(t, instance, http.MethodPost, "/open", "order")
				must.Eq(t, http.StatusBadGateway, response.StatusCode, must.Sprintf("%q", head))
				must.Eq(t, pipeline.OutcomeUnknown.String(), response.Header.Get(pipeline.HeaderOutcome))
				must.Eq(t, 1+2*int32(instance), backend.runs.Load())
				response, body := fleet.send(t, instance, http.MethodPost, "/open", "order")
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.Eq(t, "ok", body)
			}
			response, body := fleet.send(t, 1, http.MethodGet, "/open", "")
			must.True(t, response.StatusCode == http.StatusOK && body == "ok" || response.StatusCode == http.StatusBadGateway, must.Sprint(response.StatusCode, body))
		})
	}
}

// A response whose trailer is not valid has no clean end, whichever instance has the server.
func TestResponseWithInvalidTrailerIsTruncated(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	for _, trailer := range []string{"X-Sum: 1", "Bad Name: x", "X-Sum : 1", "Bad\x01Name: x", "X-Sum: 1\x00", "no colon", "Content-Length: 3"} {
		valid := trailer == "X-Sum: 1"
		_, address := startRawBackend(t, func(_ int32, w io.Writer) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n\r\n")
			return false
		})
		fleet.announceRaw(t, 0, address)
		for instance := range 2 {
			response, err := fleet.client.Post(fleet.url(instance, "/open"), "", nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				must.NoError(t, response.Body.Close())
			}
			// The trailer may arrive before the head has been passed on; the answer is then a refusal.
			whole := err == nil && response.StatusCode == http.StatusOK
			must.Eq(t, valid, whole, must.Sprintf("%q: %v %v", trailer, err, response))
			if err == nil && !whole {
				must.Eq(t, http.StatusBadGateway, response.StatusCode)
				must.Eq(t, pipeline.OutcomeUnknown.String(), response.Header.Get(pipeline.HeaderOutcome))
			}
			if valid {
				must.Eq(t, "1", response.Trailer.Get("X-Sum"))
			}
		}
	}
}

// When a caller cancels its request during a download, the backend server's connection
// is closed too.
func TestCallerCancelStopsBackendResponse(t *testing.T) {
	t.Parallel()
	const stopLimit = 500 * time.Millisecond
	fleet := startFleet(t, 2, emulator.Config{})
	stopped := make(chan time.Time, 1)
	_, address := startRawBackend(t, func(_ int32, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		piece := make([]byte, 16<<10)
		for {
			if _, err := w.Write(piece); err != nil {
				stopped <- time.Now()
				return false
			}
		}
	})
	fleet.announceRaw(t, 0, address)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fleet.url(1, "/open"), nil)
	must.NoError(t, err)
	response, err := fleet.client.Do(request)
	must.NoError(t, err)
	_, err = io.CopyN(io.Discard, response.Body, 1<<20)
	must.NoError(t, err)
	cancelledAt := time.Now()
	cancel()
	_ = response.Body.Close()
	select {
	case stoppedAt := <-stopped:
		must.LessEq(t, stopLimit, stoppedAt.Sub(cancelledAt))
	case <-time.After(10 * time.Second):
		t.Fatal("the backend server is still sending")
	}
}
