package report

import (
	"cmp"
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Bounds of a Collector and so of a Summary. A series takes about 20 KB while it
// is in use.
const (
	maxServices = 512
	maxRoutes   = 128
	maxAccounts = 64
	maxEvents   = 256
)

// othersName ends the name of the series that exchanges beyond a bound share.
const othersName = "(others)"

// LabelFunc returns the name that the latencies of an account are kept under: the
// account's own for the largest, a class for the rest.
type LabelFunc func(view *fleetconfig.View, account fleetconfig.AccountID) string

// Collector takes in the exchanges of an instance. It is a pipeline.Filter that
// counts orders when they arrive, first behind the filter that authenticates,
// and the ingress's recorder. It is safe for concurrent use.
type Collector struct {
	instance    fleetconfig.InstanceID
	incarnation uint64
	label       LabelFunc

	mu       sync.Mutex
	number   uint64
	start    time.Time
	series   map[SeriesKey]*hdr.Histogram
	bySeries [SeriesAccount + 1]int
	orders   map[fleetconfig.ServiceName]*OrderCounts
	refusals map[pipeline.RefusalKind]uint64
	events   []Event
	dropped  uint64
}

// NewCollector returns a collector. Incarnation grows with each start.
func NewCollector(instance fleetconfig.InstanceID, incarnation uint64, label LabelFunc, now time.Time) *Collector {
	return &Collector{
		instance:    instance,
		incarnation: incarnation,
		label:       label,
		start:       now,
		series:      make(map[SeriesKey]*hdr.Histogram),
		orders:      make(map[fleetconfig.ServiceName]*OrderCounts),
		refusals:    make(map[pipeline.RefusalKind]uint64),
	}
}

// isOrder reports whether the exchange is an order that came past the filter
// that authenticates.
func isOrder(exchange *pipeline.Exchange) bool {
	return exchange.Route != nil && !exchange.Idempotent && (exchange.Route.OpenToAll || exchange.Account != "")
}

// Name implements pipeline.Filter.
func (c *Collector) Name() string { return "report" }

// Request implements pipeline.Filter. It counts the order as received, apart from
// Record, which counts its end, so that the sums are a check.
func (c *Collector) Request(exchange *pipeline.Exchange) error {
	if isOrder(exchange) {
		c.mu.Lock()
		counts := c.ordersOf(exchange.ServiceName())
		counts.Received++
		counts.Open++
		c.mu.Unlock()
	}
	return nil
}

// Record takes in an exchange that has ended.
func (c *Collector) Record(exchange *pipeline.Exchange, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if exchange.Refusal != nil {
		c.refusals[exchange.Refusal.Kind]++
	}
	if exchange.Route == nil {
		return
	}
	if isOrder(exchange) {
		counts := c.ordersOf(exchange.ServiceName())
		counts.Open--
		countEnd(counts, exchange)
	}
	if exchange.Outcome != pipeline.OutcomeNotRun {
		c.recordLatency(exchange, elapsed)
	}
}

func countEnd(counts *OrderCounts, exchange *pipeline.Exchange) {
	switch {
	case isReferral(exchange.Refusal):
		counts.RepeatsReferred++
	case exchange.Outcome == pipeline.OutcomeNotRun:
		counts.NotRun++
	case exchange.Outcome == pipeline.OutcomeUnknown:
		counts.Unknown++
	case exchange.ResponseHeader.Get(pipeline.HeaderReplayed) != "":
		counts.RepeatsAnswered++
	default:
		counts.RanOnce++
	}
}

// isReferral reports whether a refusal speaks of an earlier order with the same
// Idempotency-Key. A refusal with OutcomeAnswered is that of an answer that was
// not kept.
func isReferral(refusal *pipeline.Refusal) bool {
	if refusal == nil {
		return false
	}
	switch refusal.Kind {
	case pipeline.KindOrderInProgress, pipeline.KindOrderOutcomeUnknown:
		return true
	}
	return refusal.Outcome == pipeline.OutcomeAnswered
}

func (c *Collector) recordLatency(exchange *pipeline.Exchange, elapsed time.Duration) {
	service := string(exchange.ServiceName())
	c.add(SeriesKey{Kind: SeriesService, Name: service}, "", maxServices, elapsed)
	c.add(SeriesKey{Kind: SeriesRoute, Name: exchange.Route.ID}, service, maxRoutes, elapsed)
	c.add(SeriesKey{Kind: SeriesAccount, Name: c.label(exchange.View, exchange.Account)}, "", maxAccounts, elapsed)
}

// add records a latency. Beyond the bound of its kind it goes to the series of
// the others.
func (c *Collector) add(key SeriesKey, group string, bound int, elapsed time.Duration) {
	recorder := c.series[key]
	if recorder == nil && c.bySeries[key.Kind] >= bound {
		key.Name = othersName
		if group != "" {
			key.Name = group + " " + othersName
		}
		recorder = c.series[key]
	}
	if recorder == nil {
		recorder = newRecorder()
		c.series[key] = recorder
		c.bySeries[key.Kind]++
	}
	recordLatency(recorder, elapsed)
}

func (c *Collector) ordersOf(service fleetconfig.ServiceName) *OrderCounts {
	counts := c.orders[service]
	if counts == nil {
		counts = new(OrderCounts)
		c.orders[service] = counts
	}
	return counts
}

// RecordEvent takes in an event.
func (c *Collector) RecordEvent(event Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.events) >= maxEvents {
		c.dropped++
		return
	}
	event.At = event.At.UTC().Truncate(time.Microsecond)
	c.events = append(c.events, event)
}

// Flush ends the interval and returns its summaries, at least one. Final marks
// the last one before a planned stop. It is called from one goroutine.
func (c *Collector) Flush(now time.Time, final bool) []*Summary {
	whole := c.takeCounts(now)
	whole.Latency = c.takeSeries()
	parts := split(whole)
	for _, part := range parts {
		c.number++
		part.Sequence = c.number
	}
	parts[len(parts)-1].Final = final
	return parts
}

// takeCounts empties everything but the latencies.
func (c *Collector) takeCounts(now time.Time) *Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := &Summary{
		Instance:      c.instance,
		Incarnation:   c.incarnation,
		Start:         c.start.UTC().Truncate(time.Microsecond),
		End:           now.UTC().Truncate(time.Microsecond),
		Orders:        c.takeOrders(),
		Refusals:      c.takeRefusals(),
		Events:        c.events,
		EventsDropped: c.dropped,
	}
	slices.SortFunc(whole.Events, func(a, b Event) int { return a.compare(&b) })
	c.start, c.events, c.dropped = now, nil, 0
	return whole
}

// takeSeries empties the series one by one, so that no exchange waits for all of
// them.
func (c *Collector) takeSeries() []Series {
	var taken []Series
	for _, key := range c.seriesKeys() {
		if latency := c.takeOne(key); len(latency.Buckets) > 0 {
			taken = append(taken, Series{Key: key, Latency: latency})
		}
	}
	return taken
}

func (c *Collector) seriesKeys() []SeriesKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]SeriesKey, 0, len(c.series))
	for key := range c.series {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, SeriesKey.compare)
	return keys
}

// takeOne empties a series. One that was not used in the interval is dropped, so
// that the memory follows the load.
func (c *Collector) takeOne(key SeriesKey) Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorder := c.series[key]
	if recorder.TotalCount() == 0 {
		delete(c.series, key)
		c.bySeries[key.Kind]--
		return Histogram{}
	}
	latency := sparse(recorder)
	recorder.Reset()
	return latency
}

func (c *Collector) takeOrders() []ServiceOrders {
	var taken []ServiceOrders
	for service, counts := range c.orders {
		taken = append(taken, ServiceOrders{Service: service, Counts: *counts})
	}
	clear(c.orders)
	slices.SortFunc(taken, func(a, b ServiceOrders) int { return cmp.Compare(a.Service, b.Service) })
	return taken
}

func (c *Collector) takeRefusals() []RefusalCount {
	var taken []RefusalCount
	for kind, count := range c.refusals {
		taken = append(taken, RefusalCount{Kind: kind, Count: count})
	}
	clear(c.refusals)
	slices.SortFunc(taken, func(a, b RefusalCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return taken
}
