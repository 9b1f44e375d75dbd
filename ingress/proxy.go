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
)

// Limits of what is read of an unread body for the sake of the connection.
const (
	maxDrainBytes = 256 << 10
	maxDrainTime  = time.Second
)

// Config configures a Proxy.
type Config struct {
	// KeyHeader is a header besides Authorization that may carry the key. Empty
	// means none.
	KeyHeader string
	// Configuration is the shared configuration.
	Configuration Configuration
	// FreezeDetector tells when the process has stood still.
	FreezeDetector *processpause.Detector
	// AdmissionFilters are the filters between authenticate and forward.
	AdmissionFilters []pipeline.Filter
	// Guards are asked before each attempt.
	Guards []AttemptGuard
	// Remote reaches the backend proxies of other instances.
	Remote Remote
	// Local is this instance's own backend proxy.
	Local http.Handler
	// Selector chooses backend servers.
	Selector Selector
	// Retry bounds the retries.
	Retry RetryPolicy
	// Recorder takes in each exchange.
	Recorder Recorder
	// Presentation is how callers see the ingress. The default is ProblemDocuments.
	Presentation Presentation
	// CallerService is the service on the callers' machines, told to backend servers.
	CallerService fleetconfig.ServiceName
	// Logger receives the messages of the ingress.
	Logger *slog.Logger
}

// Proxy serves callers. It is an http.Handler and safe for concurrent use.
type Proxy struct {
	config Config
	chain  *pipeline.Chain
}

// New returns the ingress of an instance.
func New(config Config) *Proxy {
	if config.Presentation == nil {
		config.Presentation = ProblemDocuments{}
	}
	filters := []pipeline.Filter{
		&limitFilter{configuration: config.Configuration},
		&identifyFilter{keyHeader: config.KeyHeader, freeze: config.FreezeDetector},
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
		guards:   config.Guards,
		clocks:   newPeerClocks(),

		presentation: config.Presentation,
	})
	return &Proxy{config: config, chain: pipeline.NewChain(filters...)}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	caller := p.config.Presentation.ReadCaller(request)
	exchange := &pipeline.Exchange{
		Request:       request,
		Writer:        w,
		RequestID:     caller.RequestID,
		Received:      clock.Now(),
		CallerTimeout: caller.Timeout,
		CallerService: p.config.CallerService,
		Outcome:       pipeline.OutcomeNotRun,
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	// A caller that waits for "100 Continue" does not send its body after an answer.
	drains := request.ProtoMajor == 1 && request.ContentLength != 0 && request.Header.Get("Expect") == ""
	defer func() { p.config.Recorder.Record(exchange, clock.Since(exchange.Received)) }()
	if err := p.chain.Serve(exchange); err != nil && !errors.Is(err, pipeline.ErrAnswered) {
		p.refuse(exchange, err)
	}
	if exchange.Truncated {
		panic(http.ErrAbortHandler)
	}
	if drains {
		drainBody(w, request)
	}
}

// drainBody sends the answer and then reads what is left of a request's body, up to
// limits in bytes and time. With full-duplex responses net/http may otherwise read
// the connection twice at once after the handler has ended, and drops it. A longer
// rest makes net/http close the connection.
func drainBody(w http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(clock.Now().Add(maxDrainTime))
	_, _ = io.CopyN(io.Discard, request.Body, maxDrainBytes)
}

// refuse sends the final answer for a request that was given up.
func (p *Proxy) refuse(exchange *pipeline.Exchange, err error) {
	var refusal *pipeline.Refusal
	if !errors.As(err, &refusal) {
		p.config.Logger.Error("a filter failed", "request", exchange.RequestID, "error", err)
		refusal = &pipeline.Refusal{
			Kind:       pipeline.KindOutcomeUnknown,
			Status:     http.StatusInternalServerError,
			Detail:     "the instance failed while it handled the request",
			Remedy:     "look whether the request took effect before sending it again",
			RetryAfter: retrySoon,
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
