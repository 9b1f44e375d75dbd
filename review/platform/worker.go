//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request at which a worker began to work.
type run struct {
	id, worker string
	at         time.Time
}

// worker is a stand-in for a backend server beside a sidecar, as the protocol page describes
// it. Its fields are set before it is started.
type worker struct {
	machine *machine
	service string
	slots   int
	// work is how long a request takes.
	work time.Duration
	// idleClose is how long an idle connection stays open, without a limit if zero.
	idleClose time.Duration
	// handle, if set, replaces the handling of a request. It returns false to close the
	// connection.
	handle func(w *worker, c *serverConn, request *http.Request) bool
	log    *record
	// onRun, if set, is called when the worker begins to work on a request.
	onRun func(run)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	busy     int
	// leaving says that the worker leaves, which it says in all its answers.
	leaving bool
}

// serverConn is a connection that a worker has accepted.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	// copy is sent before the next answer, if set: a late second copy of an earlier answer.
	copy []byte
}

// boot starts a new process of the worker with the given ID.
func (w *worker) boot(id string) error {
	listener, err := net.Listen("tcp", w.machine.address(workerPort))
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.id, w.born, w.sequence = id, time.Now().UnixMilli(), 0
	w.listener, w.conns = listener, make(map[net.Conn]bool)
	w.mu.Unlock()
	w.log.event("worker started", "worker", id, "machine", w.machine.name, "service", w.service)
	go w.accept(listener)
	return nil
}

// exit ends the process of the worker: its listener and its connections are closed.
func (w *worker) exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
	w.listener = nil
	w.log.event("worker ended", "worker", w.id)
}

func (w *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		open := w.listener == listener
		if open {
			w.conns[conn] = true
		}
		w.mu.Unlock()
		if !open {
			_ = conn.Close()
			return
		}
		go w.serve(&serverConn{Conn: conn, reader: bufio.NewReader(conn)})
	}
}

func (w *worker) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
	}()
	for {
		if w.idleClose > 0 {
			_ = c.SetReadDeadline(time.Now().Add(w.idleClose))
		}
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if request.Header.Get("Request-Id") == "" {
			answer(c, 400, map[string]string{"Not-Executed": "1"}, nil)
			return
		}
		handle := w.handle
		if handle == nil {
			handle = (*worker).handleSound
		}
		if !handle(w, c, request) {
			return
		}
	}
}

// handleSound runs a request as a sound worker does.
func (w *worker) handleSound(c *serverConn, request *http.Request) bool {
	if w.rejectOther(c, request) {
		return true
	}
	if !w.takeSlot() {
		_, _ = io.Copy(io.Discard, request.Body)
		return answer(c, 503, map[string]string{"Not-Executed": "1", "Request-Id": request.Header.Get("Request-Id")}, nil)
	}
	defer w.freeSlot()
	w.begin(request)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	time.Sleep(w.work)
	return w.succeed(c, request)
}

// rejectOther answers 421 to a request that expects another worker.
func (w *worker) rejectOther(c *serverConn, request *http.Request) bool {
	expected := request.Header.Get("Expected-Instance")
	if expected == "" || expected == w.name() {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	w.log.event("worker answers 421", "worker", w.name(), "expected", expected, "request", request.Header.Get("Request-Id"))
	answer(c, 421, map[string]string{"Instance-Id": w.name(), "Request-Id": request.Header.Get("Request-Id")}, nil)
	return true
}

func (w *worker) name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *worker) takeSlot() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy >= w.slots+24 {
		return false
	}
	w.busy++
	return true
}

func (w *worker) freeSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
}

// waitIdle waits until no request is running.
func (w *worker) waitIdle() {
	for {
		w.mu.Lock()
		busy := w.busy
		w.mu.Unlock()
		if busy == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// begin records that the worker begins to work on a request.
func (w *worker) begin(request *http.Request) {
	r := run{id: request.Header.Get("Request-Id"), worker: w.name(), at: time.Now()}
	w.log.event("worker runs", "worker", r.worker, "request", r.id)
	if w.onRun != nil {
		w.onRun(r)
	}
}

func (w *worker) succeed(c *serverConn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	body := []byte("answer of " + w.name() + " to " + id + "\n")
	header := map[string]string{"Request-Id": id, "Response-Signature": signature(w.name(), id)}
	if w.isLeaving() {
		header["Server-Leaving"] = "1"
	}
	return answer(c, 200, header, body)
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// leave makes the worker say in its answers that it leaves.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func signature(worker, request string) string { return "sig." + worker + "." + request }

// answer writes a whole answer and reports whether the connection is still usable.
func answer(c *serverConn, status int, header map[string]string, body []byte) bool {
	_, err := c.Write(append(c.copy, format(status, header, body)...))
	c.copy = nil
	return err == nil
}

// reset closes the connection with a reset.
func (c *serverConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func format(status int, header map[string]string, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %s\r\n\r\n", strconv.Itoa(len(body)))
	out.Write(body)
	return out.Bytes()
}

// checkIn composes the worker's next check-in. Sending it is up to the caller, so that it can
// be late.
func (w *worker) checkIn(state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	data, err := json.Marshal(map[string]any{
		"Address": w.machine.address(workerPort),
		"Info":    map[string]any{"Service": w.service, "Version": "v1", "Zone": w.machine.zone, "Slots": w.slots},
		"Status":  map[string]any{"State": state, "Sequence": w.sequence, "ColdRemainingMs": 0},
		"born":    w.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// send sends a check-in, or with an empty body the notice that the worker leaves. It reports
// whether it was acknowledged.
func (w *worker) send(id, method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.machine.address(controlPort)+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		w.log.event("check-in not acknowledged", "worker", id, "method", method, "error", err)
		return false
	}
	_ = response.Body.Close()
	w.log.event("check-in answered", "worker", id, "method", method, "status", response.StatusCode, "body", string(body))
	return response.StatusCode/100 == 2
}

// beat sends check-ins at the usual interval until ctx ends.
func (w *worker) beat(ctx context.Context) {
	for {
		w.send(w.name(), http.MethodPut, w.checkIn("ready"))
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}
