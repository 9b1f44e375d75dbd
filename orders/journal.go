package orders

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// Journal stores entries on disk in order. Implementations need not be safe for
// concurrent use.
type Journal interface {
	// Load calls restore with each entry, oldest first.
	Load(restore func(entry []byte) error) error
	// Append adds entries and returns after they are synced to disk.
	Append(entries [][]byte) error
	// Replace replaces all entries atomically: after a failure there are either the old
	// entries or the new ones. If it is not known which, later calls of Append fail.
	Replace(entries [][]byte) error
}

// minCompactionEntries is part of the compaction limit: the journal is replaced by
// a snapshot when the number of entries since the last snapshot is at least twice the number of records plus minCompactionEntries.
const minCompactionEntries = 4096

// journalEntry is a change of one shard's records.
type journalEntry struct {
	Shard  int                `cbor:"1,keyasint"`
	Change idempotency.Change `cbor:"2,keyasint"`
}

// batch is a group of entries that are written and synced together.
type batch struct {
	entries [][]byte
	done    chan struct{}
	err     error
}

// wait returns after the batch has been synced. It returns nil at once for a
// nil batch.
func (b *batch) wait() error {
	if b == nil {
		return nil
	}
	<-b.done
	return b.err
}

// journalWriter writes one batch at a time. Entries that are added while a
// batch is being synced are collected in the next one. After a failure it
// writes nothing more: the journal is then incomplete, and no vote may be
// granted.
type journalWriter struct {
	journal Journal

	mu sync.Mutex
	// pending is the batch that collects entries, or nil.
	pending *batch
	// latest is the batch that was queued last, or nil.
	latest  *batch
	writing bool
	// failed is the error of the first write that failed, or nil.
	failed error
	// written is the number of entries since the last snapshot, including those read
	// at the start and those of failed batches.
	written int
}

func newJournalWriter(journal Journal) *journalWriter { return &journalWriter{journal: journal} }

// add queues entries. They are written in the order of the calls.
func (w *journalWriter) add(entries [][]byte) *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		w.pending = &batch{done: make(chan struct{})}
	}
	queued := w.pending
	w.latest = queued
	queued.entries = append(queued.entries, entries...)
	if !w.writing {
		w.writing = true
		go w.write()
	}
	return queued
}

func (w *journalWriter) write() {
	for {
		w.mu.Lock()
		current := w.pending
		w.pending = nil
		if current == nil {
			w.writing = false
			w.mu.Unlock()
			return
		}
		err := w.failed
		w.mu.Unlock()
		if err == nil {
			err = w.journal.Append(current.entries)
		}
		w.mu.Lock()
		w.failed = err
		w.written += len(current.entries)
		w.mu.Unlock()
		current.err = errors.Wrap(err, "order journal write failed; free disk space or replace the disk, and restart the instance")
		close(current.done)
	}
}

// last returns the batch that was queued last, or nil. A call that produces no
// changes must also wait for this batch, because the reply to the call may
// confirm a vote that has not been synced yet.
func (w *journalWriter) last() *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest
}

// persist queues the changes of a replica and returns the batch to wait for.
// The caller must hold s.mu, so that changes are queued in order.
func (s *Service) persist(number int, replica *idempotency.Replica) *batch {
	if s.journal == nil {
		return nil
	}
	changes := replica.TakeChanges()
	if len(changes) == 0 {
		return s.journal.last()
	}
	return s.journal.add(encodeChanges(number, changes))
}

func encodeChanges(number int, changes []idempotency.Change) [][]byte {
	entries := make([][]byte, 0, len(changes))
	for i := range changes {
		data, err := codec.Marshal(journalEntry{Shard: number, Change: changes[i]})
		if err != nil {
			// Structs of numbers and byte strings can always be encoded.
			panic(err)
		}
		entries = append(entries, data)
	}
	return entries
}

// restore reads the journal into the replicas.
func (s *Service) restore() error {
	now := clock.Now()
	return s.config.Journal.Load(func(data []byte) error {
		s.journal.written++
		entry := new(journalEntry)
		if err := codec.Unmarshal(data, entry); err != nil {
			return err
		}
		replica := s.replicas[entry.Shard]
		if replica == nil {
			replica = s.addReplica(entry.Shard)
		}
		if !replica.Restore(&entry.Change, now) {
			return errors.New("order journal exceeds the memory limit for order records; raise the limit")
		}
		return nil
	})
}

// compactJournal replaces a journal that has become long by a snapshot.
func (s *Service) compactJournal() error {
	if s.journal == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := 0
	for _, replica := range s.replicas {
		records += replica.Len()
	}
	w := s.journal
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed != nil {
		return errors.Wrap(w.failed, "an earlier write to the order journal failed")
	}
	if w.writing || w.pending != nil || w.written < 2*records+minCompactionEntries {
		return nil
	}
	var entries [][]byte
	for number, replica := range s.replicas {
		entries = append(entries, encodeChanges(number, replica.Snapshot(clock.Now()))...)
	}
	w.written = 0
	return w.journal.Replace(entries)
}
