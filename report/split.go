package report

// Size limit of a summary, and estimates of the encoded size of its elements, in
// bytes.
const (
	maxSummaryBytes    = 40 << 10
	seriesBytes        = 24
	bucketBytes        = 4
	serviceOrdersBytes = 64
	eventBytes         = 160
)

// split divides a summary into parts that each fit in one call. Every figure is in
// exactly one part, so the parts add up to the summary.
func split(summary *Summary) []*Summary {
	first := newPart(summary)
	first.Orders, first.Refusals, first.EventsDropped = summary.Orders, summary.Refusals, summary.EventsDropped
	parts := []*Summary{first}
	current, size := first, 0
	for i := range summary.Orders {
		size += serviceOrdersBytes + len(summary.Orders[i].Service)
	}
	reserve := func(bytes int) {
		if size+bytes > maxSummaryBytes {
			current, size = newPart(summary), 0
			parts = append(parts, current)
		}
		size += bytes
	}
	for _, series := range summary.Latency {
		reserve(seriesBytes + len(series.Key.Name) + bucketBytes*len(series.Latency.Buckets))
		current.Latency = append(current.Latency, series)
	}
	for _, event := range summary.Events {
		reserve(eventBytes)
		current.Events = append(current.Events, event)
	}
	return parts
}

// newPart returns an empty summary for the same instance and interval.
func newPart(summary *Summary) *Summary {
	return &Summary{Instance: summary.Instance, Incarnation: summary.Incarnation, Start: summary.Start, End: summary.End}
}
