package metrics

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// reportInterval is how often counters reach the reporter.
	reportInterval = time.Second
	// Latency buckets: exponential from half a millisecond.
	firstBucket  = 500 * time.Microsecond
	bucketFactor = 1.6
	bucketCount  = 24
	// maxSeries bounds the cached metrics of exchanges.
	maxSeries = 20_000
)

// printableASCII are the characters that label values keep, so that the names of
// two accounts never become one.
var printableASCII = tally.SanitizeRange{' ', '~'}

// Metrics is the root of an instance's metrics. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	registry *prometheus.Registry
	closer   io.Closer
	reporter promreporter.Reporter
	buckets  tally.Buckets
	labels   accountLabels

	mu     sync.RWMutex
	series map[seriesKey]*series
}

// seriesKey identifies the metrics of one kind of exchange.
type seriesKey struct {
	service fleetconfig.ServiceName
	account string
	outcome pipeline.Outcome
	status  int
	refusal pipeline.RefusalKind
}

// series are the metrics of one kind of exchange.
type series struct {
	requests tally.Counter
	latency  tally.Histogram
}

// New returns the metrics of an instance.
func New(instance fleetconfig.InstanceID, domain fleetconfig.FailureDomain) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	sanitize := promreporter.DefaultSanitizerOpts
	sanitize.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{printableASCII}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hemlock",
		Tags:                   map[string]string{"instance": string(instance), "failure_domain": string(domain)},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope:    scope,
		registry: registry,
		closer:   closer,
		reporter: reporter,
		buckets:  tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount),
		series:   make(map[seriesKey]*series),
	}
}

// Scope returns the scope for metrics of other parts.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// RegisterCounter adds a counter that read returns at the time of each scrape. The
// name gets the common prefix. Each name may be registered once.
func (m *Metrics) RegisterCounter(name, help string, read func() uint64) {
	options := prometheus.CounterOpts{Namespace: "hemlock", Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(read()) }))
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports what is left and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// AccountLabel returns the name that the metrics of an account are kept under: its
// own for the largest accounts, a class for the rest.
func (m *Metrics) AccountLabel(view *fleetconfig.View, account fleetconfig.AccountID) string {
	return m.labels.label(view, account)
}

// Record counts and times one exchange of the ingress.
func (m *Metrics) Record(exchange *pipeline.Exchange, elapsed time.Duration) {
	key := seriesKey{
		account: m.labels.label(exchange.View, exchange.Account),
		outcome: exchange.Outcome,
		status:  exchange.Status,
	}
	if exchange.Route != nil {
		key.service = exchange.ServiceName()
	}
	if exchange.Refusal != nil {
		key.refusal = exchange.Refusal.Kind
	}
	found := m.seriesOf(key)
	found.requests.Inc(1)
	found.latency.RecordDuration(elapsed)
}

func (m *Metrics) seriesOf(key seriesKey) *series {
	m.mu.RLock()
	found := m.series[key]
	m.mu.RUnlock()
	if found != nil {
		return found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if found = m.series[key]; found != nil {
		return found
	}
	if len(m.series) >= maxSeries {
		key = seriesKey{account: classSmall, outcome: key.outcome}
		if found = m.series[key]; found != nil {
			return found
		}
	}
	found = m.newSeries(key)
	m.series[key] = found
	return found
}

func (m *Metrics) newSeries(key seriesKey) *series {
	counted := m.scope.Tagged(map[string]string{
		"service": orNone(string(key.service)),
		"account": key.account,
		"outcome": key.outcome.String(),
		"status":  strconv.Itoa(key.status),
		"refusal": orNone(string(key.refusal)),
	})
	timed := m.scope.Tagged(map[string]string{
		"service": orNone(string(key.service)),
		"account": key.account,
	})
	return &series{
		requests: counted.Counter("requests_total"),
		latency:  timed.Histogram("request_seconds", m.buckets),
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
