package report

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxTotalEvents bounds the events that totals name. The earliest are kept, the
// rest is only counted.
const maxTotalEvents = 4096

// Totals is the sum of any number of summaries. Its zero value is empty. Merge is
// associative and commutative. Its size is bounded by the services, routes and
// named accounts of the fleet.
type Totals struct {
	// Summaries is how many summaries are in it.
	Summaries uint64 `cbor:"1,keyasint"`
	// Latency holds the latency series, ordered by key.
	Latency []Series `cbor:"2,keyasint"`
	// Orders holds the order counts, ordered by service.
	Orders []ServiceOrders `cbor:"3,keyasint"`
	// Refusals holds the refusals, ordered by kind.
	Refusals []RefusalCount `cbor:"4,keyasint"`
	// Events holds the earliest events, in the order of time.
	Events []Event `cbor:"5,keyasint"`
	// EventCount counts all events.
	EventCount uint64 `cbor:"6,keyasint"`
	// EventsDropped counts events that no summary names.
	EventsDropped uint64 `cbor:"7,keyasint"`
	// InexactSummaries counts summaries whose own sums do not add up.
	InexactSummaries uint64 `cbor:"8,keyasint"`
}

// totalsOf returns the totals of one summary.
func totalsOf(summary *Summary) Totals {
	totals := Totals{
		Summaries:     1,
		Latency:       summary.Latency,
		Orders:        summary.Orders,
		Refusals:      summary.Refusals,
		Events:        summary.Events,
		EventCount:    uint64(len(summary.Events)) + summary.EventsDropped,
		EventsDropped: summary.EventsDropped,
	}
	for i := range summary.Orders {
		if !summary.Orders[i].Counts.Balanced() {
			totals.InexactSummaries = 1
		}
	}
	return totals
}

// Merge returns the sum of both totals.
func (t Totals) Merge(other Totals) Totals {
	merged := Totals{
		Summaries:        t.Summaries + other.Summaries,
		EventCount:       t.EventCount + other.EventCount,
		EventsDropped:    t.EventsDropped + other.EventsDropped,
		InexactSummaries: t.InexactSummaries + other.InexactSummaries,
	}
	merged.Latency = mergeSorted(t.Latency, other.Latency,
		func(a, b *Series) int { return a.Key.compare(b.Key) },
		func(a, b *Series) Series { return Series{Key: a.Key, Latency: a.Latency.Merge(b.Latency)} })
	merged.Orders = mergeSorted(t.Orders, other.Orders,
		func(a, b *ServiceOrders) int { return cmp.Compare(a.Service, b.Service) },
		func(a, b *ServiceOrders) ServiceOrders {
			return ServiceOrders{Service: a.Service, Counts: a.Counts.Merge(b.Counts)}
		})
	merged.Refusals = mergeSorted(t.Refusals, other.Refusals,
		func(a, b *RefusalCount) int { return cmp.Compare(a.Kind, b.Kind) },
		func(a, b *RefusalCount) RefusalCount { return RefusalCount{Kind: a.Kind, Count: a.Count + b.Count} })
	merged.Events = mergeEvents(t.Events, other.Events)
	return merged
}

// mergeSorted merges two ordered lists; join makes one element of two equal ones.
func mergeSorted[T any](a, b []T, compare func(a, b *T) int, join func(a, b *T) T) []T {
	merged := make([]T, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch order := compare(&a[0], &b[0]); {
		case order < 0:
			merged, a = append(merged, a[0]), a[1:]
		case order > 0:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged = append(merged, join(&a[0], &b[0]))
			a, b = a[1:], b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

// mergeEvents keeps the first events of both in a total order, which keeps the
// merge associative.
func mergeEvents(a, b []Event) []Event {
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(a, b Event) int { return a.compare(&b) })
	if len(merged) > maxTotalEvents {
		merged = slices.Clone(merged[:maxTotalEvents])
	}
	return merged
}

// ordersOf returns the counts of a service.
func (t *Totals) ordersOf(service fleetconfig.ServiceName) OrderCounts {
	for i := range t.Orders {
		if t.Orders[i].Service == service {
			return t.Orders[i].Counts
		}
	}
	return OrderCounts{}
}

// allOrders returns the counts of all services.
func (t *Totals) allOrders() OrderCounts {
	var counts OrderCounts
	for i := range t.Orders {
		counts = counts.Merge(t.Orders[i].Counts)
	}
	return counts
}

// allLatency returns the latencies of all services.
func (t *Totals) allLatency() Histogram {
	var histogram Histogram
	for i := range t.Latency {
		if t.Latency[i].Key.Kind == SeriesService {
			histogram = histogram.Merge(t.Latency[i].Latency)
		}
	}
	return histogram
}

// refusals returns the refusals with their judgement.
func (t *Totals) refusals() []RefusalCount {
	counts := slices.Clone(t.Refusals)
	for i := range counts {
		counts[i].Wrongful = wrongful(counts[i].Kind)
	}
	return counts
}

// wrongfulRefusals counts the refusals that were the fleet's fault.
func (t *Totals) wrongfulRefusals() uint64 {
	var count uint64
	for i := range t.Refusals {
		if wrongful(t.Refusals[i].Kind) {
			count += t.Refusals[i].Count
		}
	}
	return count
}
