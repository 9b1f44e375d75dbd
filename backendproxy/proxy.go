package backendproxy

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/callgraph"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/linelimit"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
	"github.com/hemlockring/hemlockring/quota"
)

// Config configures a Proxy.
type Config struct {
	// Registry holds the backend servers beside this instance.
	Registry *Registry
	// View returns the current configuration.
	View func() *fleetconfig.View
	// FailureDomain is the failure domain of this instance and of the backend servers beside
	// it.
	FailureDomain fleetconfig.FailureDomain
	// PauseDetector detects pauses of the process.
	PauseDetector *processpause.Detector
	// HealthMonitor decides which requests a backend server gets, from the results of
	// earlier ones.
	HealthMonitor HealthMonitor
	// Clock is a clock of this instance. Ingresses send dispatch deadlines as readings of
	// this clock.
	Clock quota.DispatchClock
	// CallRoom reports whether a call of a run of the given urgency would find room at the
	// called service, where it may wait for about slack. Otherwise it returns the time after which the request that needs the
	// call should come back. Nil means that there is always room.
	CallRoom func(call callgraph.Call, urgency fleetconfig.Urgency, slack time.Duration) (retryAfter time.Duration, room bool)
	// Logger receives a message for each request that was refused, truncated, or answered
	// with a server error, up to maxLogLinesPerSecond. Nil disables logging.
	Logger *slog.Logger
	// Dialect defines the headers exchanged with backend servers. The default is
	// DefaultDialect.
	Dialect Dialect
	// FingerprintKey is the fleet's secret for fingerprints of requests.
	FingerprintKey quarantine.Key
	// Runs tracks the runs of the backend servers. The default is a tracker of the proxy's own.
	Runs *RunTracker
	// Quarantine decides which requests are refused because they crash backend servers. Nil
	// means that none is.
	Quarantine Quarantine
}

// Proxy handles the requests that ingresses forward to the backend servers beside this
// instance. It is an http.Handler and safe for concurrent use.
type Proxy struct {
	chain        *pipeline.Chain
	draining     atomic.Bool
	inFlight     exchangeTracker
	loadReporter *loadReporter
	status       *statusObserver
	evacuation   *evacuationFilter
	calls        *callRoomFilter
	log          *slog.Logger
	logLimiter   *linelimit.Limiter
	clock        quota.DispatchClock
}

// exchangeState holds what the filters keep for one exchange.
type exchangeState struct {
	slot *Slot
	// body is the body that is sent to the backend server. It is nil before the dispatch.
	body *nonRewindableBody
	// cause is the error with which the dispatch failed, or nil.
	cause error
}

func stateOf(exchange *pipeline.Exchange) *exchangeState {
	state, _ := exchange.State.(*exchangeState)
	return state
}

// New returns a proxy that accepts requests until Drain is called.
func New(config Config) *Proxy {
	if config.Dialect == nil {
		config.Dialect = DefaultDialect{}
	}
	if config.Quarantine == nil {
		config.Quarantine = noQuarantine{}
	}
	if config.Runs == nil {
		config.Runs = NewRunTracker()
	}
	proxy := &Proxy{clock: config.Clock, log: config.Logger, logLimiter: linelimit.New(maxLogLinesPerSecond)}
	proxy.loadReporter = &loadReporter{registry: config.Registry, monitor: config.HealthMonitor, view: config.View}
	proxy.status = &statusObserver{registry: config.Registry, dialect: config.Dialect, log: config.Logger, lineLimiter: linelimit.New(maxStatusLinesPerSecond)}
	keys := &keyChecker{view: config.View}
	quarantined := &quarantineFilter{key: config.FingerprintKey, quarantine: config.Quarantine}
	repeats := &repeatFilter{registry: config.Registry}
	proxy.evacuation = &evacuationFilter{view: config.View, domain: config.FailureDomain}
	proxy.calls = &callRoomFilter{runs: config.Runs, view: config.View, room: config.CallRoom}
	proxy.chain = pipeline.NewChain(
		&verifyFilter{keys: keys, pauseDetector: config.PauseDetector, clock: config.Clock},
		&drainFilter{draining: &proxy.draining},
		proxy.evacuation,
		quarantined,
		&healthFilter{monitor: config.HealthMonitor},
		repeats,
		proxy.calls,
		&queueFilter{registry: config.Registry, status: proxy.status},
		&runFilter{dispatcher: newDispatcher(config.Dialect), quarantined: quarantined, evacuation: proxy.evacuation, crashes: newCrashDetector(&config), runs: config.Runs, repeats: repeats, keys: keys, pauseDetector: config.PauseDetector, monitor: config.HealthMonitor, loadReporter: proxy.loadReporter, status: proxy.status, clock: config.Clock},
	)
	return proxy
}

// ServeHTTP implements http.Handler. It handles one request forwarded by an ingress.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	p.inFlight.start()
	defer p.inFlight.end()
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
		Trial:         header.Get(pipeline.HeaderTrial) != "",
		Repeat:        pipeline.ParseRepeat(header.Get(pipeline.HeaderRepeat)),
		Urgency:       parseUrgency(header),
		RouteID:       header.Get(pipeline.HeaderRoute),
		State:         &exchangeState{},
	}
	if waitMillis, err := strconv.ParseInt(header.Get(pipeline.HeaderWaitForRate), 10, 64); err == nil && waitMillis > 0 {
		exchange.MaxRateWait = time.Duration(waitMillis) * time.Millisecond
	}
	if targetMillis, err := strconv.ParseInt(header.Get(pipeline.HeaderTarget), 10, 64); err == nil {
		exchange.TargetTime = exchange.Received.Add(time.Duration(targetMillis) * time.Millisecond)
	}
	if serviceMillis, err := strconv.ParseInt(header.Get(pipeline.HeaderServiceTime), 10, 32); err == nil && serviceMillis > 0 {
		exchange.ServiceTime = time.Duration(serviceMillis) * time.Millisecond
	}
	exchange.ConfigurationVersion, _ = strconv.ParseUint(header.Get(pipeline.HeaderConfigurationVersion), 10, 64)
	err := p.chain.Serve(exchange)
	if err != nil {
		w.Header().Set(pipeline.HeaderClock, FormatClockReading(p.clock.Reading(clock.Now())))
		p.loadReporter.setHeader(exchange)
		writeRefusal(exchange, err)
	}
	p.logFailure(exchange)
	if exchange.Truncated {
		panic(http.ErrAbortHandler)
	}
}

// Statistics returns the counts of events at the backend servers beside this instance.
func (p *Proxy) Statistics() Statistics {
	registry := p.status.registry
	return Statistics{
		Sent:           registry.sent.Load(),
		RateRefusals:   registry.rateRefusals.Load(),
		InvalidRates:   p.status.invalidRates.Load(),
		LeavingServers: registry.leavingServers.Load(),
		Retries:        registry.retries.Load(),
		RepeatedCalls:  registry.repeatedCalls.Load(),
		RepeatRefusals: registry.repeatRefusals.Load(),

		EvacuationRefusals: p.evacuation.refusals.Load(),
		CallRefusals:       p.calls.refusals.Load(),
	}
}

// parseUrgency returns the urgency that the ingress has set, or LeastUrgent when the
// header is missing or invalid.
func parseUrgency(header http.Header) fleetconfig.Urgency {
	urgency, err := strconv.ParseUint(header.Get(pipeline.HeaderUrgency), 10, 64)
	if err != nil {
		return fleetconfig.LeastUrgent
	}
	return fleetconfig.Urgency(urgency)
}

// maxLogLinesPerSecond bounds the log messages about requests that did not succeed.
const maxLogLinesPerSecond = 100

// logFailure logs a request that did not succeed. It is called once for each exchange,
// after the response has been written or cut short, and writes a message in exactly these
// cases:
//   - The proxy refused the request, before or after dispatching it. This includes the
//     requests without a dispatch deadline with which an ingress asks for a clock reading,
//     and those whose outcome is unknown.
//   - The response was truncated.
//   - The backend server answered with a status of 500 or above, including a 503 that sheds
//     load.
//
// It writes nothing without a logger. Messages above maxLogLinesPerSecond are omitted, and
// the next message permitted is preceded by their number.
func (p *Proxy) logFailure(exchange *pipeline.Exchange) {
	if p.log == nil {
		return
	}
	failed := exchange.Refusal != nil || exchange.Truncated || exchange.Status >= http.StatusInternalServerError
	if !failed {
		return
	}
	permitted, omitted := p.logLimiter.Allow(clock.Now())
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
	attributes := []any{
		"request", exchange.RequestID,
		"backend_server", string(exchange.BackendServer),
		"service", string(exchange.Service),
		"outcome", exchange.Outcome.String(),
		"status", exchange.Status,
		"refusal", refusal,
		"detail", detail,
		"truncated", exchange.Truncated,
		"load", exchange.Writer.Header().Get(HeaderLoad),
		"took_ms", clock.Since(exchange.Received).Milliseconds(),
	}
	if fingerprint, known := exchange.Fingerprint(); known {
		attributes = append(attributes, "fingerprint", fingerprint.String())
	}
	if exchange.Repeat != pipeline.RepeatNone {
		attributes = append(attributes, "repeat", string(exchange.Repeat))
	}
	if cause := stateOf(exchange).cause; cause != nil {
		attributes = append(attributes, "cause", cause.Error())
	}
	p.log.Info("backend request did not succeed", attributes...)
}

func writeRefusal(exchange *pipeline.Exchange, err error) {
	var refusal *pipeline.Refusal
	if !errors.As(err, &refusal) {
		refusal = &pipeline.Refusal{
			Kind:       pipeline.KindOutcomeUnknown,
			Status:     http.StatusBadGateway,
			Detail:     "the proxy of the backend server failed",
			Remedy:     "check whether the request took effect before retrying it",
			RetryAfter: retryElsewhere,
		}
	}
	exchange.Refusal = refusal
	exchange.Outcome = refusal.Outcome
	exchange.Status = refusal.Status
	refusal.WriteInternal(exchange.Writer)
}

// Drain refuses new requests and waits until all accepted ones, queued or running, have
// ended. It returns an error when ctx ends first.
func (p *Proxy) Drain(ctx context.Context) error {
	p.draining.Store(true)
	return errors.Wrap(p.inFlight.wait(ctx), "requests are still queued or running on the backend servers; raise stop_timeout")
}
