package ingress

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
)

// Limits on reading the rest of the request body after the response. It is read so
// that the connection can be reused.
const (
	maxDrainBytes = 256 << 10
	maxDrainTime  = time.Second
)

// Config configures a Proxy.
type Config struct {
	// KeyHeader is the name of a header that may carry the key in addition to
	// Authorization. Empty means that there is none.
	KeyHeader string
	// Configuration provides the active configuration.
	Configuration Configuration
	// PauseDetector detects pauses of the process.
	PauseDetector *processpause.Detector
	// AdmissionFilters run between the authenticate and forward filters, in this
	// order.
	AdmissionFilters []pipeline.Filter
	// Guards are called before each attempt.
	Guards []AttemptGuard
	// Remote sends requests to the backend proxies of other instances.
	Remote Remote
	// Local is the backend proxy of this instance.
	Local http.Handler
	// Selector selects backend servers.
	Selector Selector
	// Retry limits retries.
	Retry RetryPolicy
	// Recorder records each exchange when it ends.
	Recorder Recorder
	// Runs knows the runs of the backend servers of this instance. Nil means that no request
	// counts as sent by a repeated run.
	Runs Runs
	// Quarantine receives what backend proxies say about requests that were under way in
	// crashes. Nil means that nothing does.
	Quarantine Quarantine
	// Presentation formats what callers see. The default is ProblemDocuments.
	Presentation Presentation
	// CallerService is the service that runs on the callers' machines. It is empty if
	// the machines do not all run the same service. The ingress passes it to the
	// backend proxy, whose dialect may pass it to the backend server.
	CallerService fleetconfig.ServiceName
	// PeerClock returns what membership knows about the clock of another instance, if its
	// process is newer than the one of the given incarnation. Nil means that it knows nothing.
	PeerClock func(instance fleetconfig.InstanceID, known uint64, now time.Time) (quota.PeerClock, bool)
	// CallerConnection returns the HTTP/1 connection of a request. Nil means that the ingress
	// leaves the connections to the HTTP server.
	CallerConnection func(*http.Request) CallerConnection
	// Logger receives the log messages of the ingress.
	Logger *slog.Logger
}

// CallerConnection is the connection of an HTTP/1 caller.
type CallerConnection interface {
	// EndReads makes the connection serve no further request: its reads fail, and it is
	// closed once the response has been sent.
	EndReads()
	// Abort resets the connection.
	Abort()
	// EndedByCaller reports whether the caller has ended or reset the connection. Bytes that it
	// sent before may still be unread.
	EndedByCaller() bool
}

// Proxy is the http.Handler that serves callers. It is safe for concurrent use.
type Proxy struct {
	config Config
	chain  *pipeline.Chain
}

// New returns a Proxy.
func New(config Config) *Proxy {
	if config.Presentation == nil {
		config.Presentation = ProblemDocuments{}
	}
	filters := []pipeline.Filter{
		&limitFilter{configuration: config.Configuration},
		&identifyFilter{keyHeader: config.KeyHeader, pauseDetector: config.PauseDetector},
		&routeFilter{configuration: config.Configuration, splits: splitSequence{start: rand.Float64()}},
		&currencyFilter{configuration: config.Configuration},
		&authenticateFilter{},
	}
	filters = append(filters, config.AdmissionFilters...)
	filters = append(filters, &forwardFilter{
		remote:   config.Remote,
		local:    config.Local,
		selector: config.Selector,
		retry:    config.Retry,
		runs:     config.Runs,
		guards:   config.Guards,
		clocks:   newPeerClocks(config.PeerClock),

		quarantine:   config.Quarantine,
		logger:       config.Logger,
		presentation: config.Presentation,
	})
	return &Proxy{config: config, chain: pipeline.NewChain(filters...)}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	caller := p.config.Presentation.ReadCaller(request)
	request, watch := p.watchCaller(request)
	defer watch.end()
	exchange := &pipeline.Exchange{
		Request:       request,
		Writer:        w,
		RequestID:     caller.RequestID,
		Received:      clock.Now(),
		CallerTimeout: caller.Timeout,
		CallerRequest: caller.CallerRequest,
		CallerService: p.config.CallerService,
		Outcome:       pipeline.OutcomeNotRun,
	}
	if p.config.Runs != nil && exchange.CallerRequest != "" {
		exchange.Writer = &callWriter{ResponseWriter: w, runs: p.config.Runs, exchange: exchange}
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	defer func() { p.config.Recorder.Record(exchange, clock.Since(exchange.Received)) }()
	if err := p.chain.Serve(exchange); err != nil && !errors.Is(err, pipeline.ErrAnswered) {
		p.refuse(exchange, err)
	}
	if exchange.Truncated {
		if p.config.Runs != nil && exchange.CallerRequest != "" {
			p.config.Runs.RecordFailedCall(exchange)
		}
		p.abortConnection(request)
		panic(http.ErrAbortHandler)
	}
	// A caller that waits for "100 Continue" does not send its body after it has
	// received the response.
	drainUnread := request.ProtoMajor == 1 && request.ContentLength != 0 && (request.Header.Get("Expect") == "" || watch.bodyRequested())
	if drainUnread && !drainBody(w, request) && p.config.CallerConnection != nil {
		p.config.CallerConnection(request).EndReads()
	}
}

// abortConnection resets the connection of a caller with HTTP/1.0, whose response is about to be
// aborted. Its body ends with the connection and would seem complete.
func (p *Proxy) abortConnection(request *http.Request) {
	if p.config.CallerConnection != nil && request.ProtoMajor == 1 && request.ProtoMinor == 0 {
		p.config.CallerConnection(request).Abort()
	}
}

// drainBody flushes the response and reads the rest of the request body, up to
// maxDrainBytes and maxDrainTime. It reports whether it has reached the end. If not, the
// connection must serve no further request. With full-duplex responses, net/http reads on after
// the handler has returned. If it meets the end of the body, it reads the connection for two
// purposes at once, and a read of the next request's body panics, in whichever goroutine. If
// that read fails at maxDrainTime, net/http takes the rest of the body for the next request.
func drainBody(w http.ResponseWriter, request *http.Request) (whole bool) {
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(clock.Now().Add(maxDrainTime))
	_, err := io.CopyN(io.Discard, request.Body, maxDrainBytes+1)
	return errors.Is(err, io.EOF)
}

// refuse sends the refusal of a request that was not answered by a backend server.
// An error that is not a refusal is logged and reported to the caller as an internal
// error.
func (p *Proxy) refuse(exchange *pipeline.Exchange, err error) {
	var refusal *pipeline.Refusal
	if !errors.As(err, &refusal) {
		p.config.Logger.Error("request filter failed", "request", exchange.RequestID, "error", err)
		refusal = &pipeline.Refusal{
			Kind:       pipeline.KindOutcomeUnknown,
			Status:     http.StatusInternalServerError,
			Detail:     "an internal error occurred while the instance handled the request",
			Remedy:     "check whether the request took effect before sending it again",
			RetryAfter: retryAfterTransient,
		}
	}
	exchange.Refusal = refusal
	exchange.Outcome = refusal.Outcome
	exchange.Status = refusal.Status
	if refusal.Status == http.StatusUnauthorized {
		exchange.Writer.Header().Set("WWW-Authenticate", `Bearer realm="hemlockring"`)
	}
	p.config.Presentation.WriteRefusal(exchange.Writer, refusal, exchange.RequestID)
}

// callWriter records that a call has failed before the backend server that sent it knows, since
// the server's own response may follow at once.
type callWriter struct {
	http.ResponseWriter
	runs     Runs
	exchange *pipeline.Exchange
}

// WriteHeader implements http.ResponseWriter.
func (w *callWriter) WriteHeader(status int) {
	if status >= http.StatusBadRequest {
		w.runs.RecordFailedCall(w.exchange)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *callWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
