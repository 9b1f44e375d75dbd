package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// upload is a request with a body on a connection of its own.
type upload struct {
	name  string
	head  string
	bytes int
	// reset says that the caller resets the connection instead of ending it.
	reset bool
}

// uploads have all forms of bodies: with a length, in chunks, sent whole or in part, and longer
// than the buffers on the way.
var uploads = []upload{
	{name: "whole", head: "Content-Length: 4000", bytes: 4000},
	{name: "partial", head: "Content-Length: 4000", bytes: 100},
	{name: "awaiting-continue", head: "Content-Length: 4000\r\nExpect: 100-continue"},
	{name: "long", head: "Content-Length: 10000000", bytes: 10_000_000, reset: true},
	{name: "chunked", head: "Transfer-Encoding: chunked", bytes: -1},
}

// slots is how many slots a raw backend server announces.
const slots = 8

// start sends the request, as far as the buffers on the way take it.
func (u *upload) start(t *testing.T, fleet *testFleet, instance int, name string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", fleet.layout.Instances[instance].CallerAddress)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /open HTTP/1.1\r\nHost: a.example\r\nX-Name: %s.\r\n%s\r\n\r\n", name, u.head)
	must.NoError(t, err)
	body := strings.Repeat("x", max(u.bytes, 0))
	if u.bytes < 0 {
		body = "4\r\nfour\r\n"
	}
	if u.reset {
		go func() { _, _ = io.WriteString(conn, body) }()
	} else {
		_, err = io.WriteString(conn, body)
		must.NoError(t, err)
	}
	return conn.(*net.TCPConn)
}

// holdSlots starts a backend server beside the first instance whose slots are in use until
// release is called.
func holdSlots(t *testing.T, fleet *testFleet) (backend *rawBackend, release func()) {
	t.Helper()
	fleet.config.set(func(document *fleetconfig.Document) {
		document.ActivePreset = "queue"
		document.Presets = []fleetconfig.Preset{{Name: "queue", QueueLength: 64}}
	})
	released := make(chan struct{})
	backend, address := startRawBackend(t, func(run int32, w io.Writer) bool {
		if run <= slots {
			<-released
		}
		respondOK(w)
		return true
	})
	fleet.announceRaw(t, 0, address)
	for range slots {
		go func() {
			if response, err := fleet.client.Get(fleet.url(0, "/open")); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	waitFor(t, func() bool { return backend.runs.Load() == slots })
	for range slots {
		<-backend.heads
	}
	return backend, func() { close(released) }
}

// Guards against a request that reaches a backend server after its caller has left, while it waited with its body unread.
func TestRequestOfCallerThatLeftWithUnreadBodyIsNotDispatched(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	backend, release := holdSlots(t, fleet)
	for instance := range 2 {
		for i := range uploads {
			conn := uploads[i].start(t, fleet, instance, fmt.Sprintf("left-%d-%s", instance, uploads[i].name))
			time.Sleep(50 * time.Millisecond)
			if uploads[i].reset {
				must.NoError(t, conn.SetLinger(0))
			}
			must.NoError(t, conn.Close())
		}
		leaveHTTP2Stream(t, fleet, instance)
	}
	time.Sleep(leaveTime)
	release()
	sendNamed(t, fleet, "served")
	must.StrContains(t, <-backend.heads, "X-Name: served.")
	must.Eq(t, slots+1, int(backend.runs.Load()))
}

// leaveTime is how long requests of callers that have left may stay in the queue, half a second
// by the promise, and as much again for a busy machine.
const leaveTime = time.Second

// leaveHTTP2Stream cancels the stream of an upload after a while.
func leaveHTTP2Stream(t *testing.T, fleet *testFleet, instance int) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.url(instance, "/open"), strings.NewReader(strings.Repeat("x", 4<<20)))
	must.NoError(t, err)
	request.Header.Set("X-Name", fmt.Sprintf("left-%d-stream.", instance))
	_, err = client.Do(request)
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// sendNamed sends an upload whose caller stays, and waits for its answer.
func sendNamed(t *testing.T, fleet *testFleet, name string) {
	t.Helper()
	conn := uploads[0].start(t, fleet, 0, name)
	defer conn.Close()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
}

// Guards against a caller that is taken for gone while it waits with an upload, however long the upload is.
func TestUploadsOfCallersThatStayAreServedAfterAWait(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, emulator.Config{})
	backend, release := holdSlots(t, fleet)
	const size = 3 << 20
	answers := make(chan error, 4)
	for instance := range 2 {
		for _, length := range []int64{size, -1} {
			go func() {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fleet.url(instance, "/open"), io.LimitReader(zeros{}, size))
				if err == nil {
					request.ContentLength = length
					var response *http.Response
					if response, err = fleet.client.Do(request); err == nil {
						var text []byte
						text, err = io.ReadAll(response.Body)
						if err == nil && response.StatusCode != http.StatusOK {
							err = fmt.Errorf("status %d: %s", response.StatusCode, text)
						}
						_ = response.Body.Close()
					}
				}
				answers <- err
			}()
		}
	}
	time.Sleep(5 * callerStayTime)
	release()
	for range 4 {
		must.NoError(t, <-answers)
	}
	must.Eq(t, 12, int(backend.runs.Load()))
}

// callerStayTime is longer than the interval at which the ingress checks whether a caller has
// left.
const callerStayTime = 150 * time.Millisecond
