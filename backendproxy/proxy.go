package backendproxy

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/freeze"
	"github.com/hemlockring/hemlockring/internal/linelimit"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
)

// Config configures a Proxy.
type Config struct {
	// Registry holds the backend servers beside the instance.
	Registry *Registry
	// View returns the configuration in force.
	View func() *fleetconfig.View
	// Freeze tells when the process has stood still.
	Freeze *freeze.Detector
	// Watch judges the backend servers.
	Watch Watch
	// Clock is the clock that bounds dispatches.
	Clock quota.DispatchClock
	// Logger receives a line for each request that failed or was refused. Nil means
	// none.
	Logger *slog.Logger
	// Dialect is how backend servers are spoken to. The default is OwnHeaders.
	Dialect Dialect
}

// Proxy serves the requests that ingresses forward to the backend servers beside
// this instance. It is an http.Handler and safe for concurrent use.
type Proxy struct {
	chain    *pipeline.Chain
	draining atomic.Bool
	running  tracker
	load     *loadReporter
	log      *slog.Logger
	lines    *linelimit.Limiter
	clock    quota.DispatchClock
}

// exchangeState is what the filters keep for one exchange.
type exchangeState struct {
	slot *Slot
}

// slotOf returns the state of the exchange.
func slotOf(exchange *pipeline.Exchange) *exchangeState {
	state, _ := exchange.State.(*exchangeState)
	return state
}

// New returns a proxy.
func New(config Config) *Proxy {
	if config.Dialect == nil {
		config.Dialect = OwnHeaders{}
	}
	proxy := &Proxy{clock: config.Clock, log: config.Logger, lines: linelimit.New(maxLines)}
	proxy.load = &loadReporter{registry: config.Registry, watch: config.Watch}
	keys := &keyCheck{view: config.View}
	proxy.chain = pipeline.NewChain(
		&verifyFilter{keys: keys, freeze: config.Freeze, clock: config.Clock},
		&drainFilter{draining: &proxy.draining},
		&doubtFilter{watch: config.Watch},
		&queueFilter{registry: config.Registry},
		&runFilter{dispatcher: newDispatcher(config.Dialect), keys: keys, freeze: config.Freeze, watch: config.Watch, load: proxy.load, clock: config.Clock},
	)
	return proxy
}

// ServeHTTP implements http.Handler for a forwarded request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	p.running.start()
	defer p.running.end()
	header := request.Header
	exchange := &pipeline.Exchange{
		Request:       request,
		Writer:        w,
		RequestID:     header.Get(pipeline.HeaderRequestID),
		Received:      clock.Now(),
		Account:       fleetconfig.AccountID(header.Get(pipeline.HeaderAccount)),
		KeyID:         fleetconfig.KeyID(header.Get(pipeline.HeaderKeyID)),
		BackendServer: fleetconfig.BackendServerID(header.Get(pipeline.HeaderBackendServer)),
		Service:       fleetconfig.ServiceName(header.Get(pipeline.HeaderService)),
		CallerService: fleetconfig.ServiceName(header.Get(pipeline.HeaderCallerService)),
		Idempotent:    header.Get(pipeline.HeaderIdempotent) != "",
		LastResort:    header.Get(pipeline.HeaderLastResort) != "",
		Urgency:       readUrgency(header),
		State:         &exchangeState{},
	}
	exchange.JudgedBy, _ = strconv.ParseUint(header.Get(pipeline.HeaderJudgedBy), 10, 64)
	err := p.chain.Serve(exchange)
	if err != nil {
		w.Header().Set(pipeline.HeaderClock, FormatReading(p.clock.Reading(clock.Now())))
		p.load.report(exchange)
		writeRefusal(exchange, err)
	}
	p.recordEnd(exchange)
	if exchange.Truncated {
		panic(http.ErrAbortHandler)
	}
}

// readUrgency returns the urgency that the ingress has set, the least one when it has
// set none.
func readUrgency(header http.Header) fleetconfig.Urgency {
	urgency, err := strconv.ParseUint(header.Get(pipeline.HeaderUrgency), 10, 64)
	if err != nil {
		return fleetconfig.LeastUrgent
	}
	return fleetconfig.Urgency(urgency)
}

// maxLines is how many lines a second are written about requests that failed here.
const maxLines = 100

// recordEnd logs what became of a request that was not simply answered.
func (p *Proxy) recordEnd(exchange *pipeline.Exchange) {
	if p.log == nil {
		return
	}
	failed := exchange.Refusal != nil || exchange.Truncated || exchange.Status >= http.StatusInternalServerError
	if !failed {
		return
	}
	permitted, omitted := p.lines.Allow(clock.Now())
	if omitted > 0 {
		p.log.Info("request lines omitted", "lines", omitted)
	}
	if !permitted {
		return
	}
	refusal, detail := "", ""
	if exchange.Refusal != nil {
		refusal, detail = string(exchange.Refusal.Kind), exchange.Refusal.Detail
	}
	p.log.Info("request at the backend server",
		"request", exchange.RequestID,
		"backend_server", string(exchange.BackendServer),
		"service", string(exchange.Service),
		"outcome", exchange.Outcome.String(),
		"status", exchange.Status,
		"refusal", refusal,
		"detail", detail,
		"truncated", exchange.Truncated,
		"load", exchange.Writer.Header().Get(HeaderLoad),
		"took_ms", clock.Since(exchange.Received).Milliseconds())
}

func writeRefusal(exchange *pipeline.Exchange, err error) {
	var refusal *pipeline.Refusal
	if !errors.As(err, &refusal) {
		refusal = &pipeline.Refusal{
			Kind:       pipeline.KindOutcomeUnknown,
			Status:     http.StatusBadGateway,
			Detail:     "the proxy beside the backend server failed",
			Remedy:     "look whether the request took effect before sending it again",
			RetryAfter: retryElsewhere,
		}
	}
	exchange.Refusal = refusal
	exchange.Outcome = refusal.Outcome
	exchange.Status = refusal.Status
	refusal.WriteInternal(exchange.Writer)
}

// Drain refuses new requests and waits for the running ones, or for ctx to end.
func (p *Proxy) Drain(ctx context.Context) error {
	p.draining.Store(true)
	return errors.Wrap(p.running.wait(ctx), "requests still run on the backend servers; raise stop_timeout")
}
