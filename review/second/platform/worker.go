//go:build review2

package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a stand-in for a backend server on a sidecar machine. It follows the pages: it
// echoes Request-Id, signs its responses, refuses requests for another instance, runs Slots
// requests at once, queues some more and drops a request whose connection closes.
type Worker struct {
	ID    string
	Slots int
	// Work is how long a request runs.
	Work time.Duration
	// OnRequest, if set, is called for each request that reaches the worker.
	OnRequest func(id string, at time.Time)
	// OnRun, if set, is called when the worker begins to work on a request.
	OnRun func(id string, at time.Time)

	machine  *Machine
	born     int64
	sequence atomic.Uint64
	state    atomic.Value
	leaving  atomic.Bool
	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
}

const workerQueue = 24

// StartWorker starts a worker beside the machine's process. It checks in until StopCheckIns.
func StartWorker(machine *Machine, id string, slots int, work time.Duration) (*Worker, error) {
	w := &Worker{ID: id, Slots: slots, Work: work, machine: machine, born: time.Now().UnixMilli(), stop: make(chan struct{}), slots: make(chan struct{}, slots)}
	w.state.Store("ready")
	listener, err := net.Listen("tcp", machine.AppAddr())
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.checkInLoop()
	return w, nil
}

// Close ends the worker's process, as far as its callers can tell.
func (w *Worker) Close() {
	w.StopCheckIns()
	_ = w.server.Close()
}

// StopCheckIns ends the regular check-ins.
func (w *Worker) StopCheckIns() { w.stopOnce.Do(func() { close(w.stop) }) }

func (w *Worker) checkInLoop() {
	for {
		w.CheckIn(w.NextCheckIn())
		select {
		case <-w.stop:
			return
		case <-time.After(HeartbeatInterval):
		}
	}
}

// NextCheckIn returns the body of the next check-in.
func (w *Worker) NextCheckIn() []byte {
	body := map[string]any{
		"Address": w.machine.AppAddr(),
		"Info":    map[string]any{"Service": w.machine.Service, "Version": "v1", "Zone": w.machine.Zone, "Slots": w.Slots},
		"Status":  map[string]any{"State": w.state.Load(), "Sequence": w.sequence.Add(1), "ColdRemainingMs": 0},
		"born":    w.born,
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// CheckIn sends a check-in and reports whether it was acknowledged.
func (w *Worker) CheckIn(body []byte) bool {
	status, _, err := call("PUT", "http://"+w.machine.ControlAddr()+"/v1/instances/"+w.ID, body)
	return err == nil && status/100 == 2
}

// Leave sends the message that the worker leaves and reports whether it was acknowledged. From
// then on all answers of the worker say that it leaves.
func (w *Worker) Leave() bool {
	w.leaving.Store(true)
	status, _, err := call("DELETE", "http://"+w.machine.ControlAddr()+"/v1/instances/"+w.ID, nil)
	return err == nil && status/100 == 2
}

func (w *Worker) serve(writer http.ResponseWriter, request *http.Request) {
	now := time.Now()
	header := writer.Header()
	id := request.Header.Get("Request-Id")
	if request.URL.Path == "/health" {
		header.Set("Instance-Id", w.ID)
		return
	}
	header.Set("Request-Id", id)
	header.Set("Keep-Alive", "timeout=10")
	if w.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != w.ID {
		header.Set("Instance-Id", w.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.OnRequest != nil {
		w.OnRequest(id, now)
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if !w.acquire(request.Context()) {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	if w.OnRun != nil {
		w.OnRun(id, time.Now())
	}
	select {
	case <-time.After(w.Work):
	case <-request.Context().Done():
		return
	}
	if w.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	header.Set("Response-Signature", "sig-"+w.ID+"-"+id)
	fmt.Fprintf(writer, "answer of %s to %s\n", w.ID, id)
}

// acquire waits for a slot. It returns false if the queue is full or the caller has left.
func (w *Worker) acquire(ctx context.Context) bool {
	if w.waiting.Add(1) > workerQueue+int64(w.Slots) {
		w.waiting.Add(-1)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
