package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// hoursKept bounds the hours of a Book: five weeks.
	hoursKept = 5 * 7 * 24
	// clockTolerance is how far ahead an instance's clock may be.
	clockTolerance = 10 * time.Minute
)

// Hour is the totals of the intervals that began in one hour.
type Hour struct {
	// Start is the beginning of the hour, in UTC.
	Start time.Time `cbor:"1,keyasint"`
	// Totals are its totals.
	Totals Totals `cbor:"2,keyasint"`
}

// AddResult is what Book.Add did with a summary.
type AddResult uint8

const (
	// Added means that the summary is counted.
	Added AddResult = iota
	// Duplicate means that it was counted before.
	Duplicate
	// TooOld means that its hour is no longer kept.
	TooOld
	// Malformed means that its number or times make no sense.
	Malformed
)

// Aggregator holds the hours of the last five weeks and the streams that they came
// from. It counts each summary once. Its zero value is empty.
type Aggregator struct {
	hours   []Hour
	streams map[streamKey]*Stream
	skewed  uint64
}

type streamKey struct {
	instance    fleetconfig.InstanceID
	incarnation uint64
}

// Add counts a summary unless it was counted before.
func (b *Aggregator) Add(summary *Summary, now time.Time) AddResult {
	b.forget(now)
	if summary.Sequence == 0 || summary.Instance == "" || summary.End.Before(summary.Start) {
		return Malformed
	}
	start := summary.Start
	if start.After(now.Add(clockTolerance)) {
		// The instance's clock is wrong; its figures are not.
		start = now
	}
	hour := start.UTC().Truncate(time.Hour)
	if hour.Before(oldestHour(now)) {
		return TooOld
	}
	stream := b.stream(summary)
	if !stream.take(summary.Sequence) {
		return Duplicate
	}
	if start != summary.Start {
		b.skewed++
	}
	stream.note(summary)
	totals := b.hour(hour)
	*totals = totals.Merge(totalsOf(summary))
	return Added
}

func oldestHour(now time.Time) time.Time {
	return now.UTC().Truncate(time.Hour).Add(-(hoursKept - 1) * time.Hour)
}

func (b *Aggregator) stream(summary *Summary) *Stream {
	if b.streams == nil {
		b.streams = make(map[streamKey]*Stream)
	}
	key := streamKey{instance: summary.Instance, incarnation: summary.Incarnation}
	stream := b.streams[key]
	if stream == nil {
		stream = &Stream{Instance: summary.Instance, Incarnation: summary.Incarnation}
		b.streams[key] = stream
	}
	return stream
}

func (b *Aggregator) hour(start time.Time) *Totals {
	i, found := slices.BinarySearchFunc(b.hours, start, func(h Hour, s time.Time) int { return h.Start.Compare(s) })
	if !found {
		b.hours = slices.Insert(b.hours, i, Hour{Start: start})
	}
	return &b.hours[i].Totals
}

// forget drops hours and streams that are too old. What is dropped is refused as
// TooOld if it comes again.
func (b *Aggregator) forget(now time.Time) {
	oldest := oldestHour(now)
	if len(b.hours) == 0 || !b.hours[0].Start.Before(oldest) {
		return
	}
	b.hours = slices.DeleteFunc(b.hours, func(h Hour) bool { return h.Start.Before(oldest) })
	for key, stream := range b.streams {
		if stream.End.Before(oldest) {
			delete(b.streams, key)
		}
	}
}

// sortedStreams returns the streams by instance and incarnation.
func (b *Aggregator) sortedStreams() []Stream {
	streams := make([]Stream, 0, len(b.streams))
	for _, stream := range b.streams {
		streams = append(streams, *stream)
	}
	slices.SortFunc(streams, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return streams
}

// between returns the totals of the hours that begin in [from, to).
func (b *Aggregator) between(from, to time.Time) ([]Hour, Totals) {
	var hours []Hour
	var totals Totals
	for _, hour := range b.hours {
		if hour.Start.Before(from) || !hour.Start.Before(to) {
			continue
		}
		hours = append(hours, hour)
		totals = totals.Merge(hour.Totals)
	}
	return hours, totals
}
