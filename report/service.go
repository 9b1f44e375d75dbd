package report

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/transport"
)

const (
	// summaryPath is the path of the call that sends a summary.
	summaryPath = "/fleet/report"
	// maxStoredEntries is how many entries are loaded or appended before the store is
	// compacted into the totals by the hour.
	maxStoredEntries = 16_384
	// silenceTimeoutIntervals is the number of intervals of length DefaultInterval
	// without a summary after which an instance counts as lost.
	silenceTimeoutIntervals = 3
)

// Store keeps entries on disk in order. It need not be safe for concurrent use.
type Store interface {
	// Load calls restore with each entry, oldest first.
	Load(restore func(entry []byte) error) error
	// Append adds entries and returns once they are synced to disk.
	Append(entries [][]byte) error
	// Replace atomically replaces all entries.
	Replace(entries [][]byte) error
}

// entry is one entry of a Store: a summary with ReceivedAt, or one part of a
// compacted Aggregator.
type entry struct {
	Summary            *Summary `cbor:"1,keyasint,omitempty"`
	Hour               *Hour    `cbor:"2,keyasint,omitempty"`
	Stream             *Stream  `cbor:"3,keyasint,omitempty"`
	ClockLeadSummaries uint64   `cbor:"4,keyasint,omitempty"`
	// ReceivedAt is when the control instance received the summary.
	ReceivedAt time.Time `cbor:"5,keyasint,omitzero"`
}

// acknowledgement tells the sender that a summary is on disk, or that it was rejected
// and need not be sent again.
type acknowledgement struct {
	Result AddResult `cbor:"1,keyasint"`
}

// Service stores and aggregates the summaries on a control instance. It runs no
// goroutine of its own and is safe for concurrent use.
type Service struct {
	store  Store
	logger *slog.Logger

	// mu guards the store and the fields below.
	mu         sync.Mutex
	aggregator Aggregator
	// entries counts the entries that were loaded, or appended since the last
	// compaction.
	entries int
}

// NewService restores the aggregator from the store and registers the handler that
// receives summaries.
func NewService(store Store, mux *http.ServeMux, logger *slog.Logger) (*Service, error) {
	service := &Service{store: store, logger: logger}
	if err := store.Load(service.restore); err != nil {
		return nil, errors.Wrap(err, "the report store cannot be read; check the disk")
	}
	transport.HandleCall(mux, summaryPath, service.handleSummary)
	return service, nil
}

// restore applies one entry of the store to the aggregator.
func (s *Service) restore(data []byte) error {
	restored := new(entry)
	if err := codec.Unmarshal(data, restored); err != nil {
		return err
	}
	s.entries++
	s.aggregator.clockLeadSummaries += restored.ClockLeadSummaries
	switch {
	case restored.Summary != nil:
		s.aggregator.Add(restored.Summary, restored.ReceivedAt)
	case restored.Hour != nil:
		totals := s.aggregator.hour(restored.Hour.Start)
		*totals = totals.Merge(restored.Hour.Totals)
	case restored.Stream != nil:
		stream := s.aggregator.stream(&Summary{Instance: restored.Stream.Instance, Incarnation: restored.Stream.Incarnation})
		*stream = *restored.Stream
	}
	return nil
}

// handleSummary counts a summary and acknowledges it once it is on disk.
func (s *Service) handleSummary(_ context.Context, _ fleetconfig.InstanceID, summary *Summary) (*acknowledgement, error) {
	now := time.Now()
	data, err := codec.Marshal(entry{Summary: summary, ReceivedAt: now})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.aggregator.Add(summary, now)
	if result != Added {
		return &acknowledgement{Result: result}, nil
	}
	// When the append fails, the aggregator has a summary that the store lacks. The
	// sender sends it again and learns that it is a duplicate. The summary is lost
	// only if this instance restarts before the next compaction; the report then
	// lists it as a gap.
	if err := s.store.Append([][]byte{data}); err != nil {
		return nil, errors.Wrap(err, "the report store cannot be written; check the disk and its free space")
	}
	s.entries++
	if s.entries >= maxStoredEntries {
		s.compact()
	}
	return &acknowledgement{Result: Added}, nil
}

// compact replaces the entries of the store by the current totals and streams. The
// caller holds s.mu.
func (s *Service) compact() {
	s.entries = 0
	entries, err := s.aggregator.encode()
	if err == nil {
		err = s.store.Replace(entries)
	}
	if err != nil {
		s.logger.Error("report store compaction failed, the store keeps growing; check the disk and its free space", "error", err)
	}
}

// encode returns the aggregator as entries of a Store.
func (a *Aggregator) encode() ([][]byte, error) {
	var parts []entry
	for i := range a.hours {
		parts = append(parts, entry{Hour: &a.hours[i]})
	}
	streams := a.sortedStreams()
	for i := range streams {
		parts = append(parts, entry{Stream: &streams[i]})
	}
	parts = append(parts, entry{ClockLeadSummaries: a.clockLeadSummaries})
	entries := make([][]byte, 0, len(parts))
	for _, part := range parts {
		data, err := codec.Marshal(part)
		if err != nil {
			return nil, err
		}
		entries = append(entries, data)
	}
	return entries, nil
}

// Report returns the report of the hours that begin in [from, to).
func (s *Service) Report(from, to, now time.Time) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return NewReport(&s.aggregator, from, to, now, silenceTimeoutIntervals*DefaultInterval)
}
