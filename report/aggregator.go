package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// retainedHours is how many hours an Aggregator keeps: five weeks.
	retainedHours = 5 * 7 * 24
	// maxClockLead is how far an instance's clock may be ahead of the control
	// instance's clock before its timestamps are replaced.
	maxClockLead = 10 * time.Minute
)

// Hour holds the totals of the intervals that began in one hour.
type Hour struct {
	// Start is the beginning of the hour, in UTC.
	Start  time.Time `cbor:"1,keyasint"`
	Totals Totals    `cbor:"2,keyasint"`
}

// AddResult is the result of Aggregator.Add.
type AddResult uint8

const (
	// Added means that the summary is counted.
	Added AddResult = iota
	// Duplicate means that the summary was counted before.
	Duplicate
	// TooOld means that the hour of the summary is no longer kept.
	TooOld
	// Malformed means that the sequence number or the instance is missing, or that
	// the interval ends before it starts.
	Malformed
)

// Aggregator adds up summaries into totals by the hour, for the last five weeks. It
// tracks the received summaries of each incarnation of an instance in a Stream, so
// that each summary is counted once and missing ones are known. Its zero value is
// empty. It is not safe for concurrent use.
type Aggregator struct {
	hours   []Hour // ordered by start
	streams map[streamKey]*Stream
	// clockLeadSummaries counts summaries from instances whose clock is ahead by
	// more than maxClockLead.
	clockLeadSummaries uint64
}

type streamKey struct {
	instance    fleetconfig.InstanceID
	incarnation uint64
}

// Add counts a summary that was received at now, unless it was counted before.
func (a *Aggregator) Add(summary *Summary, now time.Time) AddResult {
	a.dropExpired(now)
	if summary.Sequence == 0 || summary.Instance == "" || summary.End.Before(summary.Start) {
		return Malformed
	}
	start := summary.Start
	if start.After(now.Add(maxClockLead)) {
		// Only the timestamps are wrong: count the figures in the current hour.
		start = now
	}
	hour := start.UTC().Truncate(time.Hour)
	if hour.Before(oldestHour(now)) {
		return TooOld
	}
	stream := a.stream(summary)
	if !stream.markReceived(summary.Sequence) {
		return Duplicate
	}
	if start != summary.Start {
		a.clockLeadSummaries++
	}
	stream.update(summary)
	totals := a.hour(hour)
	*totals = totals.Merge(totalsOf(summary))
	return Added
}

// oldestHour returns the start of the oldest hour that is kept.
func oldestHour(now time.Time) time.Time {
	return now.UTC().Truncate(time.Hour).Add(-(retainedHours - 1) * time.Hour)
}

// stream returns the stream of the summary's instance and incarnation. It creates the
// stream if there is none.
func (a *Aggregator) stream(summary *Summary) *Stream {
	if a.streams == nil {
		a.streams = make(map[streamKey]*Stream)
	}
	key := streamKey{instance: summary.Instance, incarnation: summary.Incarnation}
	stream := a.streams[key]
	if stream == nil {
		stream = &Stream{Instance: summary.Instance, Incarnation: summary.Incarnation}
		a.streams[key] = stream
	}
	return stream
}

// hour returns the totals of the hour with the given start. It adds the hour if there is
// none.
func (a *Aggregator) hour(start time.Time) *Totals {
	i, found := slices.BinarySearchFunc(a.hours, start, func(h Hour, s time.Time) int { return h.Start.Compare(s) })
	if !found {
		a.hours = slices.Insert(a.hours, i, Hour{Start: start})
	}
	return &a.hours[i].Totals
}

// dropExpired removes hours and streams that are past the retention. A summary of
// such an hour is rejected as TooOld when it is received again.
func (a *Aggregator) dropExpired(now time.Time) {
	oldest := oldestHour(now)
	if len(a.hours) == 0 || !a.hours[0].Start.Before(oldest) {
		return
	}
	a.hours = slices.DeleteFunc(a.hours, func(h Hour) bool { return h.Start.Before(oldest) })
	for key, stream := range a.streams {
		if stream.End.Before(oldest) {
			delete(a.streams, key)
		}
	}
}

// sortedStreams returns copies of the streams, ordered by instance and incarnation.
func (a *Aggregator) sortedStreams() []Stream {
	streams := make([]Stream, 0, len(a.streams))
	for _, stream := range a.streams {
		streams = append(streams, *stream)
	}
	slices.SortFunc(streams, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return streams
}

// between returns the hours that begin in [from, to), and the sum of their totals.
func (a *Aggregator) between(from, to time.Time) ([]Hour, Totals) {
	var hours []Hour
	var totals Totals
	for _, hour := range a.hours {
		if hour.Start.Before(from) || !hour.Start.Before(to) {
			continue
		}
		hours = append(hours, hour)
		totals = totals.Merge(hour.Totals)
	}
	return hours, totals
}
