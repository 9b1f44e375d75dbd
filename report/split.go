package report

// Estimates of encoded sizes, in bytes, and the bound of one summary.
const (
	maxSummaryBytes = 40 << 10
	seriesBytes     = 24
	bucketBytes     = 4
	ordersBytes     = 64
	eventBytes      = 160
)

// split divides a summary into parts that fit in one call each. Nothing is in
// two parts, so the sum of the parts is the whole.
func split(whole *Summary) []*Summary {
	first := partOf(whole)
	first.Orders, first.Refusals, first.EventsDropped = whole.Orders, whole.Refusals, whole.EventsDropped
	parts := []*Summary{first}
	last, size := first, 0
	for i := range whole.Orders {
		size += ordersBytes + len(whole.Orders[i].Service)
	}
	grow := func(bytes int) {
		if size+bytes > maxSummaryBytes {
			last, size = partOf(whole), 0
			parts = append(parts, last)
		}
		size += bytes
	}
	for _, series := range whole.Latency {
		grow(seriesBytes + len(series.Key.Name) + bucketBytes*len(series.Latency.Buckets))
		last.Latency = append(last.Latency, series)
	}
	for _, event := range whole.Events {
		grow(eventBytes)
		last.Events = append(last.Events, event)
	}
	return parts
}

func partOf(whole *Summary) *Summary {
	return &Summary{Instance: whole.Instance, Incarnation: whole.Incarnation, Start: whole.Start, End: whole.End}
}
