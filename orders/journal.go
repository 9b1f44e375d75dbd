package orders

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// Journal keeps entries on disk in order. It need not be safe for concurrent
// use.
type Journal interface {
	// Load calls restore with each entry, oldest first.
	Load(restore func(entry []byte) error) error
	// Append adds entries and returns once they are synced.
	Append(entries [][]byte) error
	// Replace puts entries in place of all others, or leaves the old ones whole.
	Replace(entries [][]byte) error
}

// minCompactionEntries is how many entries a journal has before it is replaced by a
// snapshot, which happens when it holds twice as many entries as there are
// records.
const minCompactionEntries = 4096

// journalEntry is one change of one shard.
type journalEntry struct {
	Shard  int                `cbor:"1,keyasint"`
	Change idempotency.Change `cbor:"2,keyasint"`
}

// batch is a group of entries that are synced together.
type batch struct {
	entries [][]byte
	done    chan struct{}
	err     error
}

// wait returns once the batch is on disk. A nil batch has nothing to wait for.
func (b *batch) wait() error {
	if b == nil {
		return nil
	}
	<-b.done
	return b.err
}

// journalWriter writes batches one after the other. Changes that come while one
// batch is being synced share the next. After a failure it writes nothing more:
// what is on disk is then incomplete, and no vote may be granted on it.
type journalWriter struct {
	journal Journal

	mu      sync.Mutex
	pending *batch
	latest  *batch
	writing bool
	failed  error
	written int
}

func newJournalWriter(journal Journal) *journalWriter { return &journalWriter{journal: journal} }

// add queues entries. The order of calls is the order on disk.
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
		current.err = errors.Wrap(err, "the journal of orders can not be written; free or replace the disk and restart the instance")
		close(current.done)
	}
}

// last returns the batch that was queued last, nil when there was none. A step
// without changes of its own may repeat a vote that is not yet on disk, so it
// waits for that one.
func (w *journalWriter) last() *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest
}

// persist queues the changes of a replica for the disk and returns what to wait
// for. The caller holds the lock, which keeps the order of changes.
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
			// Plain structs of numbers and bytes always have an encoding.
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
		entry := new(journalEntry)
		if err := codec.Unmarshal(data, entry); err != nil {
			return err
		}
		replica := s.replicas[entry.Shard]
		if replica == nil {
			replica = s.addReplica(entry.Shard)
		}
		if !replica.Restore(&entry.Change, now) {
			return errors.New("the journal of orders holds more than the byte limit; raise the limit of order records")
		}
		return nil
	})
}

// compactJournal replaces a journal that has grown long by a snapshot.
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
		return errors.Wrap(w.failed, "the journal of orders failed")
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
