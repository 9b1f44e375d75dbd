package emulator

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Paths of the emulator's own endpoints. A request to any other path is an ordinary
// request to the backend server.
const (
	FaultPath      = "/_emulator/fault"
	ExecutionsPath = "/_emulator/executions"
	ArrivalsPath   = "/_emulator/arrivals"
	HealthPath     = "/_emulator/health"
)

// HeaderOrder is a request header with the id of an order. It identifies executions of the
// same order under different request ids.
const HeaderOrder = "X-Order"

// echoBufferBytes is the size of the buffer for echoing request bodies.
const echoBufferBytes = 4 << 10

// maxTrackedIDs is the maximum number of request ids, and of orders, whose executions are
// counted.
const maxTrackedIDs = 1 << 20

// Config describes an emulated backend server.
type Config struct {
	// Service is the service that it serves.
	Service string
	// Slots is the number of requests that run concurrently. Further requests are
	// rejected with status 503.
	Slots int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which requests take ColdFactor times
	// as long.
	ColdStart time.Duration
	// ColdFactor multiplies the service time during the cold start.
	ColdFactor float64
	// ColdRate is the rate, in requests per second, that the server tolerates for ColdStart
	// after a crash or since FaultCold; see ColdTolerance. Zero means that it tolerates any.
	ColdRate float64
	// IgnoreCancel makes it finish requests that were canceled.
	IgnoreCancel bool
	// Downtime is how long the server is down after a crash. The default is
	// DefaultDowntime.
	Downtime time.Duration
}

// Arrival is a request that has reached a server, whether or not the server ran it.
type Arrival struct {
	// Request is the ID of the request.
	Request string `json:"request"`
	// UnixMilli is when it arrived, in Unix milliseconds.
	UnixMilli int64 `json:"at"`
}

// Executions counts the requests that a server has run.
type Executions struct {
	// Total is the number of requests that have run.
	Total int `json:"total"`
	// Requests counts the executions of each request id.
	Requests map[string]int `json:"requests"`
	// Orders counts the executions of each order.
	Orders map[string]int `json:"orders"`
	// WithCredentials counts requests that arrived with a credential. The fleet must
	// remove all credentials, so it must be zero.
	WithCredentials int `json:"keys"`
	// OverRate is the largest number of requests above what RateTolerance allows that ran
	// in a RateWindow while the server named a rate.
	OverRate int `json:"over_rate"`
	// MostCold is the largest number of requests that arrived in one second while the server
	// was cold and had a ColdRate.
	MostCold int `json:"most_cold"`
	// Crashes counts the crashes, and CrashRuns the requests that crash servers.
	Crashes   int `json:"crashes"`
	CrashRuns int `json:"crash_runs"`
	// AfterLeaving counts the requests that ran later than LeavingGrace after the server
	// had first stated that it is leaving.
	AfterLeaving int `json:"after_leaving"`
}

// Server is an emulated backend server. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	config  Config
	started time.Time
	// processStart is when the current emulated process started. A server comes back as a new
	// process after a crash, and when its exit has ended.
	processStart time.Time
	slots        chan struct{}

	mu    sync.Mutex
	fault Fault
	// backgroundErrors is the share of FaultBackgroundErrors.
	backgroundErrors float64
	executions       Executions
	// arrivals holds the first maxTrackedIDs requests that arrived.
	arrivals  []Arrival
	rate      rateRecord
	cold      coldRecord
	listening listening
	// down says that the server is down after a crash.
	down bool
}

// New returns an emulated backend server.
func New(config Config) *Server {
	return &Server{
		config:       config,
		started:      time.Now(),
		processStart: time.Now(),
		slots:        make(chan struct{}, config.Slots),
		executions: Executions{
			Requests: make(map[string]int),
			Orders:   make(map[string]int),
		},
	}
}

// SetFault sets the fault. FaultNone removes it. FaultBackgroundErrors and FaultCold leave it as
// it is.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Kind == FaultBackgroundErrors {
		s.backgroundErrors = fault.Share
		return
	}
	if fault.Kind == FaultCold {
		s.cold.start(time.Now().Add(s.config.ColdStart))
		return
	}
	if s.fault.Kind == FaultLeaving && fault.Kind != FaultLeaving {
		s.processStart = time.Now()
	}
	s.fault = fault
	s.rate.setFault(&fault)
}

// ProcessStart returns when the current emulated process started.
func (s *Server) ProcessStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processStart
}

// setStatusHeaders sets the headers in which the server states its rate or exit.
func (s *Server) setStatusHeaders(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.fault.Kind {
	case FaultLimit:
		header.Set(backendproxy.HeaderRateLimit, s.fault.Rate)
	case FaultLeaving:
		header.Set(backendproxy.HeaderLeaving, "1")
	}
	s.rate.recordStatement(time.Now())
}

// Executions returns a copy of the execution counts.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.executions
	copied.OverRate, copied.AfterLeaving = s.rate.overRate, s.rate.afterLeaving
	copied.MostCold = s.cold.most
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
	case ArrivalsPath:
		_ = json.NewEncoder(w).Encode(s.Arrivals())
	case HealthPath:
		_, _ = w.Write([]byte("ok\n"))
	default:
		s.handleRequest(w, request)
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

// handleRequest runs one request: it counts the execution, waits for the service time and
// echoes the body.
func (s *Server) handleRequest(w http.ResponseWriter, request *http.Request) {
	if overloaded := s.recordArrival(request); overloaded {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case s.slots <- struct{}{}:
	default:
		s.setStatusHeaders(w.Header())
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	fault, faultApplies := s.recordExecution(request)
	if err := s.simulateServiceTime(request, fault, faultApplies); err != nil {
		panic(http.ErrAbortHandler)
	}
	if crashes(request) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.respond(w, request, fault, faultApplies)
}

// recordExecution counts the execution. It returns the current fault and whether it applies
// to this request, which is drawn at random.
func (s *Server) recordExecution(request *http.Request) (fault Fault, faultApplies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.Total++
	if crashes(request) {
		s.executions.CrashRuns++
	}
	s.rate.recordArrival(time.Now())
	increment(s.executions.Requests, request.Header.Get(pipeline.HeaderRequestID))
	increment(s.executions.Orders, request.Header.Get(HeaderOrder))
	if request.Header.Get("Authorization") != "" || request.Header.Get("X-Api-Key") != "" {
		s.executions.WithCredentials++
	}
	if rand.Float64() < s.backgroundErrors {
		return Fault{Kind: FaultError}, true
	}
	return s.fault, s.fault.Kind != "" && s.fault.Kind != FaultNone && rand.Float64() < s.fault.Share
}

// recordArrival records a request that has arrived. It reports whether the server, which is
// cold, has got more requests than it tolerates.
func (s *Server) recordArrival(request *http.Request) (overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if id := request.Header.Get(pipeline.HeaderRequestID); id != "" && len(s.arrivals) < maxTrackedIDs {
		s.arrivals = append(s.arrivals, Arrival{Request: id, UnixMilli: now.UnixMilli()})
	}
	return s.cold.recordArrival(s.config.ColdRate, now)
}

// Arrivals returns the requests that have arrived, in the order of arrival.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

func increment(counts map[string]int, id string) {
	if id == "" {
		return
	}
	if _, known := counts[id]; known || len(counts) < maxTrackedIDs {
		counts[id]++
	}
}

func (s *Server) simulateServiceTime(request *http.Request, fault Fault, faultApplies bool) error {
	duration := time.Duration(float64(s.config.ServiceTime) * (0.5 + rand.Float64()))
	if time.Since(s.started) < s.config.ColdStart || s.ColdRemaining() > 0 {
		duration = time.Duration(float64(duration) * s.config.ColdFactor)
	}
	if faultApplies {
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

func (s *Server) respond(w http.ResponseWriter, request *http.Request, fault Fault, faultApplies bool) {
	s.setStatusHeaders(w.Header())
	if faultApplies && fault.Kind == FaultError {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if faultApplies && fault.Kind == FaultReset {
		panic(http.ErrAbortHandler)
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	header := w.Header()
	header.Set("X-Method", request.Method)
	header.Set("X-Path", request.RequestURI)
	// The fleet must replace this header: a backend server's value must not reach the
	// caller.
	header.Set(pipeline.HeaderOutcome, "forged")
	if size, err := strconv.ParseInt(request.URL.Query().Get("size"), 10, 64); err == nil && size >= 0 {
		// The body is read here, because net/http would discard the rest of it after
		// the handler has returned. With full-duplex responses it may then read the
		// connection twice at once, panic and close the connection.
		_, _ = io.Copy(io.Discard, request.Body)
		header.Set("Content-Length", strconv.FormatInt(size, 10))
		if faultApplies && fault.Kind == FaultTruncate {
			size /= 2
		}
		_, _ = io.CopyN(w, zeroReader{}, size)
		return
	}
	header.Set("Trailer", "X-Checked")
	if faultApplies && fault.Kind == FaultTruncate {
		_, _ = w.Write([]byte("cut"))
		_ = controller.Flush()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	echo(w, request, controller)
	header.Set("X-Checked", request.Trailer.Get("X-Check"))
}

// echo streams the request's body back as it is received.
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

// zeroReader is an endless stream of zeros.
type zeroReader struct{}

// Read implements io.Reader.
func (zeroReader) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}
