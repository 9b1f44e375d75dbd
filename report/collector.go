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

// Limits of a Collector for one interval: the number of services, routes and accounts
// with a series of their own, and the number of events. A series takes about 20 KB while
// it is in use.
const (
	maxServices = 512
	maxRoutes   = 128
	maxAccounts = 64
	maxEvents   = 256
)

// overflowName is the name of the series that collects the latencies of all services or
// accounts beyond a limit. The name of such a series of routes is the service, a space
// and overflowName.
const overflowName = "(others)"

// LabelFunc returns the name of the series for an account: the account's own name
// for the largest accounts, the name of a class of accounts for the others. In the
// daemon it is metrics.Metrics.AccountLabel, which assigns accounts to classes by their
// rate.
type LabelFunc func(view *fleetconfig.View, account fleetconfig.AccountID) string

// Collector collects the figures of an instance for its summaries. As a
// pipeline.Filter, directly after the authenticating filter, it counts orders when
// they arrive. As a recorder of the ingress it counts them again when they end. It
// is safe for concurrent use, except for Flush.
type Collector struct {
	instance     fleetconfig.InstanceID
	incarnation  uint64
	accountLabel LabelFunc

	// mu guards the fields below, except sequence, which only Flush uses.
	mu            sync.Mutex
	sequence      uint64
	start         time.Time
	series        map[SeriesKey]*hdr.Histogram
	seriesCount   [SeriesAccount + 1]int
	orders        map[fleetconfig.ServiceName]*OrderCounts
	refusals      map[pipeline.RefusalKind]uint64
	events        []Event
	eventsDropped uint64
}

// NewCollector returns a collector whose first interval begins at now. Incarnation
// must increase with each start of the instance.
func NewCollector(instance fleetconfig.InstanceID, incarnation uint64, accountLabel LabelFunc, now time.Time) *Collector {
	return &Collector{
		instance:     instance,
		incarnation:  incarnation,
		accountLabel: accountLabel,
		start:        now,
		series:       make(map[SeriesKey]*hdr.Histogram),
		orders:       make(map[fleetconfig.ServiceName]*OrderCounts),
		refusals:     make(map[pipeline.RefusalKind]uint64),
	}
}

// isOrder reports whether the exchange is an order that passed the authenticating
// filter.
func isOrder(exchange *pipeline.Exchange) bool {
	return exchange.Route != nil && !exchange.Idempotent && (exchange.Route.OpenToAll || exchange.Account != "")
}

// Name implements pipeline.Filter.
func (c *Collector) Name() string { return "report" }

// Request implements pipeline.Filter. It counts an order as received. Record counts
// its outcome independently, so that comparing the two sums detects miscounts.
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

// Record counts an exchange that has ended after the elapsed time.
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
		countOutcome(counts, exchange)
	}
	if exchange.Outcome != pipeline.OutcomeNotRun {
		c.recordLatency(exchange, elapsed)
	}
}

// countOutcome counts how an order ended.
func countOutcome(counts *OrderCounts, exchange *pipeline.Exchange) {
	switch {
	case isRepeatRefusal(exchange.Refusal):
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

// isRepeatRefusal reports whether an order was refused because of an earlier order
// with the same Idempotency-Key. A refusal with OutcomeAnswered means that the
// earlier order has run, but its response was not stored.
func isRepeatRefusal(refusal *pipeline.Refusal) bool {
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
	c.addToSeries(SeriesKey{Kind: SeriesService, Name: service}, "", maxServices, elapsed)
	c.addToSeries(SeriesKey{Kind: SeriesRoute, Name: exchange.Route.ID}, service, maxRoutes, elapsed)
	c.addToSeries(SeriesKey{Kind: SeriesAccount, Name: c.accountLabel(exchange.View, exchange.Account)}, "", maxAccounts, elapsed)
}

// addToSeries records a latency in the series of the key. Once there are maxSeries
// series of the key's kind, the latencies of new keys go to an overflow series,
// whose name begins with overflowPrefix.
func (c *Collector) addToSeries(key SeriesKey, overflowPrefix string, maxSeries int, elapsed time.Duration) {
	histogram := c.series[key]
	if histogram == nil && c.seriesCount[key.Kind] >= maxSeries {
		key.Name = overflowName
		if overflowPrefix != "" {
			key.Name = overflowPrefix + " " + overflowName
		}
		histogram = c.series[key]
	}
	if histogram == nil {
		histogram = newDenseHistogram()
		c.series[key] = histogram
		c.seriesCount[key.Kind]++
	}
	recordLatency(histogram, elapsed)
}

// ordersOf returns the order counts of a service. The caller holds c.mu.
func (c *Collector) ordersOf(service fleetconfig.ServiceName) *OrderCounts {
	counts := c.orders[service]
	if counts == nil {
		counts = new(OrderCounts)
		c.orders[service] = counts
	}
	return counts
}

// RecordEvent adds an event to the interval. Beyond maxEvents it is only counted.
func (c *Collector) RecordEvent(event Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.events) >= maxEvents {
		c.eventsDropped++
		return
	}
	event.At = event.At.UTC().Truncate(time.Microsecond)
	c.events = append(c.events, event)
}

// Flush ends the interval and returns its summaries, at least one. Final marks the
// last summary before a planned stop. Flush must not be called concurrently.
func (c *Collector) Flush(now time.Time, final bool) []*Summary {
	summary := c.drainCounts(now)
	summary.Latency = c.drainLatencies()
	parts := split(summary)
	for _, part := range parts {
		c.sequence++
		part.Sequence = c.sequence
	}
	parts[len(parts)-1].Final = final
	return parts
}

// drainCounts returns everything but the latencies, and starts a new interval.
func (c *Collector) drainCounts(now time.Time) *Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := &Summary{
		Instance:      c.instance,
		Incarnation:   c.incarnation,
		Start:         c.start.UTC().Truncate(time.Microsecond),
		End:           now.UTC().Truncate(time.Microsecond),
		Orders:        c.drainOrders(),
		Refusals:      c.drainRefusals(),
		Events:        c.events,
		EventsDropped: c.eventsDropped,
	}
	slices.SortFunc(summary.Events, func(a, b Event) int { return a.compare(&b) })
	c.start, c.events, c.eventsDropped = now, nil, 0
	return summary
}

// drainLatencies returns and resets all series. It takes the lock for each series
// separately, so that no exchange waits until all of them are processed.
func (c *Collector) drainLatencies() []Series {
	var drained []Series
	for _, key := range c.seriesKeys() {
		if latency := c.drainHistogram(key); len(latency.Buckets) > 0 {
			drained = append(drained, Series{Key: key, Latency: latency})
		}
	}
	return drained
}

// seriesKeys returns the keys of all series in order.
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

// drainHistogram returns and resets a series. It removes a series that was not used
// in the interval, so that the memory in use follows the load.
func (c *Collector) drainHistogram(key SeriesKey) Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	histogram := c.series[key]
	if histogram.TotalCount() == 0 {
		delete(c.series, key)
		c.seriesCount[key.Kind]--
		return Histogram{}
	}
	latency := toSparse(histogram)
	histogram.Reset()
	return latency
}

// drainOrders returns and clears the order counts. The caller holds c.mu.
func (c *Collector) drainOrders() []ServiceOrders {
	var drained []ServiceOrders
	for service, counts := range c.orders {
		drained = append(drained, ServiceOrders{Service: service, Counts: *counts})
	}
	clear(c.orders)
	slices.SortFunc(drained, func(a, b ServiceOrders) int { return cmp.Compare(a.Service, b.Service) })
	return drained
}

// drainRefusals returns and clears the refusals. The caller holds c.mu.
func (c *Collector) drainRefusals() []RefusalCount {
	var drained []RefusalCount
	for kind, count := range c.refusals {
		drained = append(drained, RefusalCount{Kind: kind, Count: count})
	}
	clear(c.refusals)
	slices.SortFunc(drained, func(a, b RefusalCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return drained
}
