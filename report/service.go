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
	// summaryPath is the call that brings summaries to control.
	summaryPath = "/fleet/report"
	// maxLogEntries is how many summaries the store holds before they are folded
	// into the book's hours.
	maxLogEntries = 16_384
	// intervalsOfSilence is after how many intervals an instance counts as lost.
	intervalsOfSilence = 3
)

// Store keeps entries on disk in order. It need not be safe for concurrent use.
type Store interface {
	// Load calls restore with each entry, oldest first.
	Load(restore func(entry []byte) error) error
	// Append adds entries and returns once they are synced.
	Append(entries [][]byte) error
	// Replace puts entries in place of all others, or leaves the old ones whole.
	Replace(entries [][]byte) error
}

// entry is one entry of a Store. Exactly one part is set.
type entry struct {
	Summary *Summary `cbor:"1,keyasint,omitempty"`
	Hour    *Hour    `cbor:"2,keyasint,omitempty"`
	Stream  *Stream  `cbor:"3,keyasint,omitempty"`
	Skewed  uint64   `cbor:"4,keyasint,omitempty"`
	// At is when control took the summary in.
	At time.Time `cbor:"5,keyasint,omitzero"`
}

// acknowledgement says that a summary is on disk, or never will be counted.
type acknowledgement struct {
	Result AddResult `cbor:"1,keyasint"`
}

// Service keeps the book on a control instance. It is safe for concurrent use.
type Service struct {
	store  Store
	logger *slog.Logger

	mu      sync.Mutex
	book    Aggregator
	entries int
}

// NewService restores the book and registers the call that takes summaries in.
func NewService(store Store, mux *http.ServeMux, logger *slog.Logger) (*Service, error) {
	service := &Service{store: store, logger: logger}
	if err := store.Load(service.restore); err != nil {
		return nil, errors.Wrap(err, "the report's store can not be read")
	}
	transport.HandleCall(mux, summaryPath, service.takeIn)
	return service, nil
}

func (s *Service) restore(data []byte) error {
	restored := new(entry)
	if err := codec.Unmarshal(data, restored); err != nil {
		return err
	}
	s.entries++
	s.book.skewed += restored.Skewed
	switch {
	case restored.Summary != nil:
		s.book.Add(restored.Summary, restored.At)
	case restored.Hour != nil:
		totals := s.book.hour(restored.Hour.Start)
		*totals = totals.Merge(restored.Hour.Totals)
	case restored.Stream != nil:
		stream := s.book.stream(&Summary{Instance: restored.Stream.Instance, Incarnation: restored.Stream.Incarnation})
		*stream = *restored.Stream
	}
	return nil
}

// takeIn counts a summary and acknowledges it once it is on disk.
func (s *Service) takeIn(_ context.Context, _ fleetconfig.InstanceID, summary *Summary) (*acknowledgement, error) {
	now := time.Now()
	data, err := codec.Marshal(entry{Summary: summary, At: now})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	admission := s.book.Add(summary, now)
	if admission != Added {
		return &acknowledgement{Result: admission}, nil
	}
	// The book is ahead of the disk when the append fails. The sender then sends
	// again, hears that it is a duplicate, and only a restart in between loses it,
	// which the restored book reports as a gap.
	if err := s.store.Append([][]byte{data}); err != nil {
		return nil, errors.Wrap(err, "the report's store can not be written; free the disk")
	}
	s.entries++
	if s.entries >= maxLogEntries {
		s.fold()
	}
	return &acknowledgement{Result: Added}, nil
}

// fold replaces the summaries in the store by the book. The caller holds the
// lock.
func (s *Service) fold() {
	s.entries = 0
	entries, err := s.book.encode()
	if err == nil {
		err = s.store.Replace(entries)
	}
	if err != nil {
		s.logger.Error("the report's store can not be folded and grows; look at the disk", "error", err)
	}
}

func (b *Aggregator) encode() ([][]byte, error) {
	var parts []entry
	for i := range b.hours {
		parts = append(parts, entry{Hour: &b.hours[i]})
	}
	streams := b.sortedStreams()
	for i := range streams {
		parts = append(parts, entry{Stream: &streams[i]})
	}
	parts = append(parts, entry{Skewed: b.skewed})
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

// Report makes the report of the hours that begin in [from, to).
func (s *Service) Report(from, to, now time.Time) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return NewReport(&s.book, from, to, now, intervalsOfSilence*DefaultInterval)
}
