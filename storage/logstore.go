package storage

import (
	"encoding/hex"
	"io"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// Names of files in the folder of a log.
const (
	identityFile = "identity"
	snapshotFile = "snapshot"
)

// identityBytes is the length of a disk identity.
const identityBytes = 16

// firstSegment is the number of the first segment of a new log.
const firstSegment = 1

// identity is the content of the identity file.
type identity struct {
	Disk consensus.DiskID `cbor:"1,keyasint"`
}

// logRecord is one record of a log: what one Ready asks to store. It is stored
// whole or not at all.
type logRecord struct {
	HardState *consensus.HardState `cbor:"1,keyasint,omitempty"`
	// Base, if set, drops all earlier entries: the log goes on after it.
	Base    *logBase          `cbor:"2,keyasint,omitempty"`
	Entries []consensus.Entry `cbor:"3,keyasint,omitempty"`
}

// logBase is the entry after which a log begins.
type logBase struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// LogStore keeps the replicated log of one member. It is not safe for concurrent
// use. A snapshot and what one Ready stores may each take up to 64 MiB.
type LogStore struct {
	files     FS
	folder    string
	disk      consensus.DiskID
	segment   *segment
	hardState consensus.HardState
	// entries are those that were stored when the log was opened.
	entries []consensus.Entry
	// snapshot is the newest one, without its data.
	snapshot consensus.Snapshot
}

// OpenLog opens the log in a folder, or makes a blank one with an identity drawn
// from random. It fails with a [CorruptionError] if stored data cannot be read.
func OpenLog(files FS, folder string, random io.Reader) (*LogStore, error) {
	if err := files.MkdirAll(folder); err != nil {
		return nil, errors.Wrapf(err, "make the folder %s; check its permissions", folder)
	}
	s := &LogStore{files: files, folder: folder}
	var stored identity
	found, err := LoadValue(files, s.path(identityFile), &stored)
	if err != nil {
		return nil, err
	}
	s.disk = stored.Disk
	if !found {
		return s, s.create(random)
	}
	return s, s.open()
}

func (s *LogStore) path(name string) string { return filepath.Join(s.folder, name) }

// create makes a blank log. The identity comes last: a disk without one has never
// answered anyone.
func (s *LogStore) create(random io.Reader) error {
	if err := s.checkUnused(); err != nil {
		return err
	}
	drawn := make([]byte, identityBytes)
	if _, err := io.ReadFull(random, drawn); err != nil {
		return errors.Wrap(err, "draw a disk identity")
	}
	s.disk = consensus.DiskID(hex.EncodeToString(drawn))
	payload, err := codec.Marshal(logRecord{HardState: &s.hardState})
	if err != nil {
		return err
	}
	s.segment, err = createSegment(s.files, s.folder, firstSegment, payload)
	if err != nil {
		return err
	}
	return SaveValue(s.files, s.path(identityFile), identity{Disk: s.disk})
}

// checkUnused refuses a folder that lost its identity file. Only a crash while
// the log was made may leave a segment there, with one record.
func (s *LogStore) checkUnused() error {
	numbers, err := listSegments(s.files, s.folder)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		data, err := s.files.ReadFile(segmentName(s.folder, number))
		if err != nil {
			return errors.Wrap(err, "read a segment; check the disk")
		}
		if number != firstSegment || len(scanRecords(data).payloads) > 1 {
			return &CorruptionError{File: s.path(identityFile), Reason: "it is missing beside a log that was used"}
		}
	}
	return nil
}

func (s *LogStore) open() error {
	if _, err := LoadValue(s.files, s.path(snapshotFile), &s.snapshot); err != nil {
		return err
	}
	s.snapshot.Data = nil
	numbers, err := listSegments(s.files, s.folder)
	if err != nil {
		return err
	}
	if len(numbers) == 0 {
		return &CorruptionError{File: segmentName(s.folder, firstSegment), Reason: "the log is missing"}
	}
	newest := numbers[len(numbers)-1]
	scan, err := readSegment(s.files, s.folder, newest)
	if err != nil {
		return err
	}
	replay, err := replayRecords(segmentName(s.folder, newest), scan)
	if err != nil {
		return err
	}
	if err := s.join(replay); err != nil {
		return err
	}
	return s.beginSegment(newest+1, s.snapshot, s.entries)
}

// beginSegment makes a segment that is complete by itself, and removes the older
// ones.
//
// A log that is opened begins one too. What was read may never have reached the
// disk: after a failed sync the operating system shows content that it has given
// up writing. Nothing of it may be confirmed before it is written anew.
func (s *LogStore) beginSegment(number uint64, snapshot consensus.Snapshot, after []consensus.Entry) error {
	payload, err := codec.Marshal(logRecord{
		HardState: &s.hardState,
		Base:      &logBase{Index: snapshot.Index, Term: snapshot.Term},
		Entries:   after,
	})
	if err != nil {
		return err
	}
	next, err := createSegment(s.files, s.folder, number, payload)
	if err != nil {
		return err
	}
	s.segment = next
	return next.removeOlder()
}

// join fits the entries to the snapshot.
func (s *LogStore) join(replay *logReplay) error {
	if s.snapshot.Index < replay.base.Index {
		return &CorruptionError{File: s.path(snapshotFile), Reason: "it is older than the log that follows it"}
	}
	s.hardState = replay.hardState
	if s.snapshot.Term > s.hardState.Term {
		// A crash came between the snapshot and the record that was to follow it.
		s.hardState = consensus.HardState{Term: s.snapshot.Term}
	}
	s.entries = replay.after(logBase{Index: s.snapshot.Index, Term: s.snapshot.Term})
	return nil
}

// DiskID returns the identity of the disk.
func (s *LogStore) DiskID() consensus.DiskID { return s.disk }

// StoredState returns what was stored when the log was opened. It may be called once:
// the store keeps no entries in memory.
func (s *LogStore) StoredState() consensus.StoredState {
	entries := s.entries
	s.entries = nil
	return consensus.StoredState{HardState: s.hardState, Snapshot: s.snapshot, Entries: entries}
}

// LoadSnapshot reads the newest snapshot with its data; found is false if there
// is none.
func (s *LogStore) LoadSnapshot() (snapshot consensus.Snapshot, found bool, err error) {
	found, err = LoadValue(s.files, s.path(snapshotFile), &snapshot)
	return snapshot, found, err
}

// SnapshotIndex returns the last entry that the newest snapshot covers.
func (s *LogStore) SnapshotIndex() uint64 { return s.snapshot.Index }

// LogSize returns the size of the log file, without the snapshot.
func (s *LogStore) LogSize() int64 { return s.segment.size }

// Save stores what a Ready asks for, with one sync. When it returns without an
// error, all of it is durable; after an error the store must be opened again.
func (s *LogStore) Save(ready consensus.Ready) error {
	if ready.Snapshot == nil && ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	stored := logRecord{HardState: ready.HardState, Entries: ready.Entries}
	if ready.Snapshot != nil {
		if err := s.saveSnapshot(*ready.Snapshot); err != nil {
			return err
		}
		stored.Base = &logBase{Index: ready.Snapshot.Index, Term: ready.Snapshot.Term}
	}
	payload, err := codec.Marshal(stored)
	if err != nil {
		return err
	}
	if err := s.segment.append(payload); err != nil {
		return err
	}
	if ready.HardState != nil {
		s.hardState = *ready.HardState
	}
	return nil
}

// Compact stores a snapshot of this member's own state and begins a new segment
// with the entries after it, which must be all that are stored. The order
// matters: the snapshot is durable before the log without its entries is.
func (s *LogStore) Compact(snapshot consensus.Snapshot, after []consensus.Entry) error {
	if s.segment.failed {
		return ErrWriteFailed
	}
	if err := s.saveSnapshot(snapshot); err != nil {
		return err
	}
	previous := s.segment
	if err := s.beginSegment(previous.number+1, snapshot, after); err != nil {
		s.segment.failed = true
		return err
	}
	return errors.Wrap(previous.file.Close(), "close a segment; check the disk")
}

func (s *LogStore) saveSnapshot(snapshot consensus.Snapshot) error {
	if s.segment.failed {
		return ErrWriteFailed
	}
	if err := SaveValue(s.files, s.path(snapshotFile), snapshot); err != nil {
		s.segment.failed = true
		return err
	}
	s.snapshot = snapshot
	s.snapshot.Data = nil
	return nil
}

// Close closes the log's file. Everything saved is durable already.
func (s *LogStore) Close() error {
	return s.segment.file.Close()
}

// logReplay rebuilds a log from its records.
type logReplay struct {
	hardState consensus.HardState
	base      logBase
	entries   []consensus.Entry
}

func replayRecords(file string, scan scanResult) (*logReplay, error) {
	replay := &logReplay{}
	for i, payload := range scan.payloads {
		var stored logRecord
		if err := codec.Unmarshal(payload, &stored); err != nil {
			return nil, &CorruptionError{File: file, Offset: scan.offsets[i], Reason: err.Error()}
		}
		if !replay.add(stored) {
			return nil, &CorruptionError{File: file, Offset: scan.offsets[i], Reason: "entries are missing"}
		}
	}
	return replay, nil
}

// add replays one record. It returns false if an entry does not fit.
func (r *logReplay) add(stored logRecord) bool {
	if stored.HardState != nil {
		r.hardState = *stored.HardState
	}
	if stored.Base != nil {
		r.base = *stored.Base
		r.entries = nil
	}
	for _, entry := range stored.Entries {
		next := r.base.Index + uint64(len(r.entries)) + 1
		if entry.Index <= r.base.Index || entry.Index > next {
			return false
		}
		r.entries = append(r.entries[:entry.Index-r.base.Index-1], entry)
	}
	return true
}

// after returns the entries that follow a snapshot. If the log does not hold the
// snapshot's last entry, the snapshot replaced the whole log.
func (r *logReplay) after(snapshot logBase) []consensus.Entry {
	if snapshot == r.base {
		return r.entries
	}
	at := snapshot.Index - r.base.Index
	if at == 0 || at > uint64(len(r.entries)) || r.entries[at-1].Term != snapshot.Term {
		return nil
	}
	return slices.Clone(r.entries[at:])
}
