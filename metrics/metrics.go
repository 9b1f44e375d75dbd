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
	// reportInterval is how often tally passes counters to the Prometheus reporter.
	reportInterval = time.Second
	// Latency buckets are exponential, from half a millisecond.
	firstBucket  = 500 * time.Microsecond
	bucketFactor = 1.6
	bucketCount  = 24
	// maxSeries bounds the number of cached series.
	maxSeries = 20_000
)

// printableASCII are the characters that label values keep. With a smaller set, sanitizing
// could map the names of two accounts to the same label value.
var printableASCII = tally.SanitizeRange{' ', '~'}

// Metrics holds all metrics of an instance. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	registry *prometheus.Registry
	closer   io.Closer
	reporter promreporter.Reporter
	buckets  tally.Buckets
	labels   accountLabels

	// mu guards series.
	mu     sync.RWMutex
	series map[seriesKey]*series
}

// seriesKey holds the label values of the metrics of an exchange.
type seriesKey struct {
	service fleetconfig.ServiceName
	account string
	outcome pipeline.Outcome
	status  int
	refusal pipeline.RefusalKind
}

// series holds the metrics for one seriesKey.
type series struct {
	requests tally.Counter
	latency  tally.Histogram
}

// New returns the metrics of an instance. It starts a goroutine that reports counters until
// Close is called.
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

// Scope returns the scope for metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// RegisterCounter adds a counter whose value is read from read at each scrape. The name
// gets the common prefix and must not be registered twice; RegisterCounter panics if it is.
func (m *Metrics) RegisterCounter(name, help string, read func() uint64) {
	options := prometheus.CounterOpts{Namespace: "hemlock", Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(read()) }))
}

// RegisterCounters adds counters with labels whose values read passes to its argument at each
// scrape, at most one for each combination of label values. The name gets the common prefix
// and must not be registered twice; RegisterCounters panics if it is.
func (m *Metrics) RegisterCounters(name, help string, labels []string, read func(add func(value uint64, labels ...string))) {
	description := prometheus.NewDesc(prometheus.BuildFQName("hemlock", "", name), help, labels, nil)
	m.registry.MustRegister(&labelledCounters{description: description, read: read})
}

// labelledCounters is a collector of counters with the same name.
type labelledCounters struct {
	description *prometheus.Desc
	read        func(add func(value uint64, labels ...string))
}

// Describe implements prometheus.Collector.
func (c *labelledCounters) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.description
}

// Collect implements prometheus.Collector.
func (c *labelledCounters) Collect(metrics chan<- prometheus.Metric) {
	c.read(func(value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(c.description, prometheus.CounterValue, float64(value), labels...)
	})
}

// RegisterGauge adds a gauge whose value is read from read at each scrape. The name gets
// the common prefix and must not be registered twice; RegisterGauge panics if it is.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "hemlock", Name: name, Help: help}, read))
}

// Handler returns the handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the remaining counts and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// AccountLabel returns the value of the account label in metrics: the account's own ID for
// the accounts with the highest rates, a class for all others.
func (m *Metrics) AccountLabel(view *fleetconfig.View, account fleetconfig.AccountID) string {
	return m.labels.label(view, account)
}

// Record counts an exchange of the ingress and records its duration.
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
	found := m.findOrCreateSeries(key)
	found.requests.Inc(1)
	found.latency.RecordDuration(elapsed)
}

// findOrCreateSeries returns the series with the given label values. When maxSeries is
// reached, new combinations of label values share one series per outcome, which has
// classSmall as its account and no service, status or refusal.
func (m *Metrics) findOrCreateSeries(key seriesKey) *series {
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
	counterScope := m.scope.Tagged(map[string]string{
		"service": orNone(string(key.service)),
		"account": key.account,
		"outcome": key.outcome.String(),
		"status":  strconv.Itoa(key.status),
		"refusal": orNone(string(key.refusal)),
	})
	latencyScope := m.scope.Tagged(map[string]string{
		"service": orNone(string(key.service)),
		"account": key.account,
	})
	return &series{
		requests: counterScope.Counter("requests_total"),
		latency:  latencyScope.Histogram("request_seconds", m.buckets),
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
