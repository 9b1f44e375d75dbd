//go:build review3

package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a worker has received.
type Run struct {
	Worker  *Worker
	At      time.Time
	Request *http.Request
	Conn    net.Conn
	// Number counts the requests on the connection from 1.
	Number int
}

// ID returns the Request-Id.
func (r *Run) ID() string { return r.Request.Header.Get("Request-Id") }

// Body reads the whole body.
func (r *Run) Body() ([]byte, error) { return io.ReadAll(r.Request.Body) }

// Answer sends a complete answer with the given status and body, or reports false.
func (r *Run) Answer(status int, body []byte, extra ...string) bool {
	return r.Write([]byte(r.Head(status, len(body), extra...)+string(body))) == nil
}

// Head returns the head of an answer. A negative length leaves Content-Length out.
func (r *Run) Head(status, length int, extra ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s.%s\r\n", status, http.StatusText(status), r.ID(), r.Worker.ID, r.ID())
	for _, line := range extra {
		head += line + "\r\n"
	}
	if length >= 0 {
		head += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	return head + "\r\n"
}

func (r *Run) Write(data []byte) error {
	_, err := r.Conn.Write(data)
	return err
}

// Worker is an application worker.
type Worker struct {
	ID      string
	Service string
	Machine *Machine
	Slots   int
	Born    int64
	// Handle answers a request. It returns false to close the connection.
	Handle func(run *Run) bool

	mu       sync.Mutex
	sequence uint64
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
}

// NewWorker returns a worker beside the machine.
func NewWorker(id string, m *Machine, slots int, handle func(run *Run) bool) *Worker {
	return &Worker{ID: id, Service: m.Service, Machine: m, Slots: slots, Handle: handle, state: "ready"}
}

// Address is where the worker listens.
func (w *Worker) Address() string { return fmt.Sprintf("%s:%d", w.Machine.IP, WorkerPort) }

// Start makes the worker listen and check in.
func (w *Worker) Start() error {
	l, err := net.Listen("tcp", w.Address())
	if err != nil {
		return err
	}
	w.Born = time.Now().UnixMilli()
	w.listener, w.conns, w.stop = l, map[net.Conn]bool{}, make(chan struct{})
	go w.accept(l)
	go w.beat(w.stop)
	return nil
}

func (w *Worker) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		run := &Run{Worker: w, At: time.Now(), Request: request, Conn: conn, Number: number}
		if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != w.ID {
			if !run.Answer(421, nil, "Not-Executed: 1") {
				return
			}
			continue
		}
		if !w.Handle(run) {
			return
		}
	}
}

// Crash closes the listener and resets all connections.
func (w *Worker) Crash() {
	w.StopBeats()
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// StopBeats ends the check-ins.
func (w *Worker) StopBeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil {
		close(w.stop)
		w.stop = nil
	}
}

func (w *Worker) beat(stop chan struct{}) {
	for {
		body := w.CheckIn()
		_, _ = w.SendCheckIn(body)
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// SetState sets the state of later check-ins.
func (w *Worker) SetState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// CheckIn returns the body of the next check-in.
func (w *Worker) CheckIn() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"Address": w.Address(),
		"Info":    map[string]any{"Service": w.Service, "Version": "v1", "Zone": w.Machine.Zone, "Slots": w.Slots},
		"Status":  map[string]any{"State": w.state, "Sequence": w.sequence, "ColdRemainingMs": 0},
		"born":    w.Born,
	})
	return body
}

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// SendCheckIn sends a check-in and returns the status.
func (w *Worker) SendCheckIn(body []byte) (int, error) {
	return w.call(http.MethodPut, body)
}

// Leave sends DELETE and returns the status.
func (w *Worker) Leave() (int, error) { return w.call(http.MethodDelete, nil) }

func (w *Worker) call(method string, body []byte) (int, error) {
	url := fmt.Sprintf("http://%s:%d/v1/instances/%s", w.Machine.IP, ControlPort, w.ID)
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := beatClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, nil
}
