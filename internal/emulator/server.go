package emulator

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/pipeline"
)

// Paths of the emulator's own resources. All others are work.
const (
	FaultPath      = "/_emulator/fault"
	ExecutionsPath = "/_emulator/executions"
	HealthPath     = "/_emulator/health"
)

// HeaderOrder identifies an order, so that executions of the same order under
// several request ids are found.
const HeaderOrder = "X-Order"

// echoBufferBytes is the size of the buffer that bodies are echoed through.
const echoBufferBytes = 4 << 10

// maxTracked bounds the request ids and orders that are remembered.
const maxTracked = 1 << 20

// Config describes an emulated backend server.
type Config struct {
	// Service is the service that it announces.
	Service string
	// Slots is how many requests it runs at once. It sheds load above that with
	// status 503.
	Slots int
	// ServiceTime is the mean time that a request takes.
	ServiceTime time.Duration
	// ColdStart is how long after its start requests take ColdFactor times as long.
	ColdStart time.Duration
	// ColdFactor multiplies the service time during the cold start.
	ColdFactor float64
	// IgnoreCancel makes it finish requests whose caller has gone.
	IgnoreCancel bool
}

// Executions is what a server has run.
type Executions struct {
	// Total is how many requests it has run.
	Total int `json:"total"`
	// Requests counts the executions of each request id.
	Requests map[string]int `json:"requests"`
	// Orders counts the executions of each order.
	Orders map[string]int `json:"orders"`
	// WithCredentials counts requests that arrived with a credential, which must never happen.
	WithCredentials int `json:"keys"`
}

// Server is an emulated backend server. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	config  Config
	started time.Time
	slots   chan struct{}

	mu         sync.Mutex
	fault      Fault
	executions Executions
}

// New returns an emulated backend server.
func New(config Config) *Server {
	return &Server{
		config:  config,
		started: time.Now(),
		slots:   make(chan struct{}, config.Slots),
		executions: Executions{
			Requests: make(map[string]int),
			Orders:   make(map[string]int),
		},
	}
}

// SetFault switches a fault on, or off with FaultNone.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Executions returns a copy of what the server has run.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.executions
	copied.Requests = make(map[string]int, len(s.executions.Requests))
	for id, count := range s.executions.Requests {
		copied.Requests[id] = count
	}
	copied.Orders = make(map[string]int, len(s.executions.Orders))
	for id, count := range s.executions.Orders {
		copied.Orders[id] = count
	}
	return copied
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case FaultPath:
		s.handleFault(w, request)
	case ExecutionsPath:
		_ = json.NewEncoder(w).Encode(s.Executions())
	case HealthPath:
		_, _ = w.Write([]byte("ok\n"))
	default:
		s.work(w, request)
	}
}

func (s *Server) handleFault(w http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(fault)
	w.WriteHeader(http.StatusNoContent)
}

// work runs one request: it counts the execution, takes its time and echoes the
// body.
func (s *Server) work(w http.ResponseWriter, request *http.Request) {
	select {
	case s.slots <- struct{}{}:
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	fault, hit := s.begin(request)
	if err := s.takeTime(request, fault, hit); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, request, fault, hit)
}

// begin counts the execution and draws whether the fault strikes.
func (s *Server) begin(request *http.Request) (fault Fault, hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.Total++
	count(s.executions.Requests, request.Header.Get(pipeline.HeaderRequestID))
	count(s.executions.Orders, request.Header.Get(HeaderOrder))
	if request.Header.Get("Authorization") != "" || request.Header.Get("X-Api-Key") != "" {
		s.executions.WithCredentials++
	}
	return s.fault, s.fault.Kind != "" && s.fault.Kind != FaultNone && rand.Float64() < s.fault.Share
}

func count(counts map[string]int, id string) {
	if id == "" {
		return
	}
	if _, known := counts[id]; known || len(counts) < maxTracked {
		counts[id]++
	}
}

func (s *Server) takeTime(request *http.Request, fault Fault, hit bool) error {
	duration := time.Duration(float64(s.config.ServiceTime) * (0.5 + rand.Float64()))
	if time.Since(s.started) < s.config.ColdStart {
		duration = time.Duration(float64(duration) * s.config.ColdFactor)
	}
	if hit {
		switch fault.Kind {
		case FaultSlow:
			duration = time.Duration(float64(duration) * fault.Factor)
		case FaultStall:
			duration += fault.stall()
		case FaultNoResponse:
			<-request.Context().Done()
			return request.Context().Err()
		}
	}
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	if s.config.IgnoreCancel {
		<-timer.C
		return nil
	}
	select {
	case <-timer.C:
		return nil
	case <-request.Context().Done():
		return request.Context().Err()
	}
}

func (s *Server) answer(w http.ResponseWriter, request *http.Request, fault Fault, hit bool) {
	if hit && fault.Kind == FaultError {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if hit && fault.Kind == FaultReset {
		panic(http.ErrAbortHandler)
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	header := w.Header()
	header.Set("X-Method", request.Method)
	header.Set("X-Path", request.URL.RequestURI())
	header.Set(pipeline.HeaderOutcome, "forged")
	if size, err := strconv.ParseInt(request.URL.Query().Get("size"), 10, 64); err == nil && size >= 0 {
		// The body is read first: net/http can not do so after a full-duplex answer.
		_, _ = io.Copy(io.Discard, request.Body)
		header.Set("Content-Length", strconv.FormatInt(size, 10))
		if hit && fault.Kind == FaultTruncate {
			size /= 2
		}
		_, _ = io.CopyN(w, zeroReader{}, size)
		return
	}
	header.Set("Trailer", "X-Checked")
	if hit && fault.Kind == FaultTruncate {
		_, _ = w.Write([]byte("cut"))
		_ = controller.Flush()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	echo(w, request, controller)
	header.Set("X-Checked", request.Trailer.Get("X-Check"))
}

// echo streams the request's body back as it comes.
func echo(w http.ResponseWriter, request *http.Request, controller *http.ResponseController) {
	buffer := make([]byte, echoBufferBytes)
	for {
		n, err := request.Body.Read(buffer)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
			_ = controller.Flush()
		}
		if err != nil {
			return
		}
	}
}

// zeroReader reads zeros without end.
type zeroReader struct{}

// Read implements io.Reader.
func (zeroReader) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// Listen serves the emulated backend server on the address until ctx ends. The
// returned address has the port that was chosen.
func (s *Server) Listen(ctx context.Context, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen for the emulated backend server")
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}
