package report

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxTotalEvents is the maximum number of events that Totals lists. Totals lists the
// earliest events and only counts the later ones.
const maxTotalEvents = 4096

// Totals is the sum of any number of summaries. Its zero value is empty. Its size is
// bounded by the number of services, routes and accounts with a series of their own.
type Totals struct {
	// Summaries is the number of summaries added up.
	Summaries uint64 `cbor:"1,keyasint"`
	// Latency holds the latency series, ordered by key.
	Latency []Series `cbor:"2,keyasint"`
	// Orders holds the order counts, ordered by service.
	Orders []ServiceOrders `cbor:"3,keyasint"`
	// Refusals holds the refusals, ordered by kind.
	Refusals []RefusalCount `cbor:"4,keyasint"`
	// Events holds the earliest events, in the order of time.
	Events []Event `cbor:"5,keyasint"`
	// EventCount counts all events, including those that are not listed.
	EventCount uint64 `cbor:"6,keyasint"`
	// EventsDropped counts events that no summary lists.
	EventsDropped uint64 `cbor:"7,keyasint"`
	// InexactSummaries counts summaries whose order counts do not add up.
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

// Merge returns the sum of the totals. It is associative and commutative.
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

// mergeSorted merges two ordered lists. Combine merges two elements that compare as
// equal.
func mergeSorted[T any](a, b []T, compare func(a, b *T) int, combine func(a, b *T) T) []T {
	merged := make([]T, 0, max(len(a), len(b)))
	for len(a) > 0 && len(b) > 0 {
		switch order := compare(&a[0], &b[0]); {
		case order < 0:
			merged, a = append(merged, a[0]), a[1:]
		case order > 0:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged = append(merged, combine(&a[0], &b[0]))
			a, b = a[1:], b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

// mergeEvents keeps the earliest events of both lists. They are ordered by all
// fields, so that the events that are kept do not depend on the order of merging.
func mergeEvents(a, b []Event) []Event {
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(a, b Event) int { return a.compare(&b) })
	if len(merged) > maxTotalEvents {
		merged = slices.Clone(merged[:maxTotalEvents])
	}
	return merged
}

// ordersOf returns the order counts of a service.
func (t *Totals) ordersOf(service fleetconfig.ServiceName) OrderCounts {
	for i := range t.Orders {
		if t.Orders[i].Service == service {
			return t.Orders[i].Counts
		}
	}
	return OrderCounts{}
}

// allOrders returns the sum of the order counts of all services.
func (t *Totals) allOrders() OrderCounts {
	var counts OrderCounts
	for i := range t.Orders {
		counts = counts.Merge(t.Orders[i].Counts)
	}
	return counts
}

// allLatency returns the latency distribution over all services.
func (t *Totals) allLatency() Histogram {
	var histogram Histogram
	for i := range t.Latency {
		if t.Latency[i].Key.Kind == SeriesService {
			histogram = histogram.Merge(t.Latency[i].Latency)
		}
	}
	return histogram
}

// refusals returns all refusal counts, and sets Wrongful in each of them.
func (t *Totals) refusals() []RefusalCount {
	counts := slices.Clone(t.Refusals)
	for i := range counts {
		counts[i].Wrongful = isWrongful(counts[i].Kind)
	}
	return counts
}

// wrongfulRefusals returns the number of refusals that were the fault of the fleet.
func (t *Totals) wrongfulRefusals() uint64 {
	var count uint64
	for i := range t.Refusals {
		if isWrongful(t.Refusals[i].Kind) {
			count += t.Refusals[i].Count
		}
	}
	return count
}
