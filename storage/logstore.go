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

// Names of the files in the folder of a log, beside its segments.
const (
	identityFile = "identity"
	snapshotFile = "snapshot"
)

// identityBytes is the length of a disk identity.
const identityBytes = 16

// firstSegment is the number of the first segment of a new log.
const firstSegment = 1

// diskIdentity is the content of identityFile.
type diskIdentity struct {
	Disk consensus.DiskID `cbor:"1,keyasint"`
}

// logRecord is one record of a log: the data that one consensus.Ready requires to be
// stored. A crash leaves either the whole record or none of it.
type logRecord struct {
	HardState *consensus.HardState `cbor:"1,keyasint,omitempty"`
	// Base, if set, discards all earlier entries; the log continues after Base.
	Base    *logBase          `cbor:"2,keyasint,omitempty"`
	Entries []consensus.Entry `cbor:"3,keyasint,omitempty"`
}

// logBase identifies the entry directly before the first entry of a log.
type logBase struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// LogStore stores the replicated log of one member. It is not safe for concurrent use.
// A snapshot, and the data that one Ready stores, may each be up to 64 MiB
// (maxRecordBytes).
type LogStore struct {
	files     FS
	folder    string
	disk      consensus.DiskID
	segment   *segment
	hardState consensus.HardState
	// entries holds the entries found when the log was opened, until StoredState is
	// called.
	entries []consensus.Entry
	// snapshot is the newest snapshot, without its data.
	snapshot consensus.Snapshot
}

// OpenLog opens the log in a folder, or creates a blank one with a disk identity read
// from random. It fails with a [CorruptionError] if stored data cannot be read.
func OpenLog(files FS, folder string, random io.Reader) (*LogStore, error) {
	if err := files.MkdirAll(folder); err != nil {
		return nil, errors.Wrapf(err, "create the folder %s; check its permissions", folder)
	}
	s := &LogStore{files: files, folder: folder}
	var stored diskIdentity
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

// create creates a blank log. The identity is written last: a disk without an identity
// has not taken part in the replicated log, so after a crash the log can be created
// again.
func (s *LogStore) create(random io.Reader) error {
	if err := s.checkUnused(); err != nil {
		return err
	}
	id := make([]byte, identityBytes)
	if _, err := io.ReadFull(random, id); err != nil {
		return errors.Wrap(err, "generate a disk identity")
	}
	s.disk = consensus.DiskID(hex.EncodeToString(id))
	payload, err := codec.Marshal(logRecord{HardState: &s.hardState})
	if err != nil {
		return err
	}
	s.segment, err = createSegment(s.files, s.folder, firstSegment, payload)
	if err != nil {
		return err
	}
	return SaveValue(s.files, s.path(identityFile), diskIdentity{Disk: s.disk})
}

// checkUnused returns a CorruptionError if a folder without an identity file holds a log
// that was in use. A crash in create may leave the first segment, with at most one
// record.
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
			return &CorruptionError{File: s.path(identityFile), Reason: "the identity file is missing, but the folder holds a log that was in use"}
		}
	}
	return nil
}

// open reads the snapshot and the newest segment, and rewrites the log to a new segment.
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
	if err := s.alignToSnapshot(replay); err != nil {
		return err
	}
	return s.startSegment(newest+1, s.snapshot, s.entries)
}

// startSegment creates a segment that holds the whole log, and removes older segments.
// The log consists of the hard state, the index and term of the snapshot, and after, the
// entries that follow the snapshot.
//
// Opening a log also starts a new segment, because the entries that were read may not
// be on the disk: after a failed sync, the operating system may return file contents
// that it no longer tries to write. They must be rewritten and synced before the
// member acknowledges any of them.
func (s *LogStore) startSegment(number uint64, snapshot consensus.Snapshot, after []consensus.Entry) error {
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

// alignToSnapshot sets the hard state and the entries after the snapshot from the
// replayed log.
func (s *LogStore) alignToSnapshot(replay *logReplay) error {
	if s.snapshot.Index < replay.base.Index {
		return &CorruptionError{File: s.path(snapshotFile), Reason: "the snapshot is older than the start of the log"}
	}
	s.hardState = replay.hardState
	if s.snapshot.Term > s.hardState.Term {
		// A crash occurred in Save, after it had stored the snapshot and before it had
		// written the record with the new hard state.
		s.hardState = consensus.HardState{Term: s.snapshot.Term}
	}
	s.entries = replay.entriesAfter(logBase{Index: s.snapshot.Index, Term: s.snapshot.Term})
	return nil
}

// DiskID returns the disk identity.
func (s *LogStore) DiskID() consensus.DiskID { return s.disk }

// StoredState returns the state that was found when the log was opened. Only the first
// call returns the entries, since the store does not keep them in memory.
func (s *LogStore) StoredState() consensus.StoredState {
	entries := s.entries
	s.entries = nil
	return consensus.StoredState{HardState: s.hardState, Snapshot: s.snapshot, Entries: entries}
}

// LoadSnapshot reads the newest snapshot including its data; found is false if there
// is none.
func (s *LogStore) LoadSnapshot() (snapshot consensus.Snapshot, found bool, err error) {
	found, err = LoadValue(s.files, s.path(snapshotFile), &snapshot)
	return snapshot, found, err
}

// SnapshotIndex returns the index of the last entry that the newest snapshot covers.
func (s *LogStore) SnapshotIndex() uint64 { return s.snapshot.Index }

// LogSize returns the size of the current segment in bytes, without the snapshot.
func (s *LogStore) LogSize() int64 { return s.segment.size }

// Save stores the snapshot, hard state and entries of a Ready. The hard state and the
// entries are written with one sync. When Save returns nil, all of it is durable;
// after an error the store must be opened again.
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

// Compact stores a snapshot of this member's own state and starts a new segment with
// the entries after it. The caller must pass all stored entries after the snapshot.
// The snapshot must be durable before the new segment is, because that segment does not
// contain the entries that the snapshot covers.
func (s *LogStore) Compact(snapshot consensus.Snapshot, after []consensus.Entry) error {
	if s.segment.failed {
		return ErrWriteFailed
	}
	if err := s.saveSnapshot(snapshot); err != nil {
		return err
	}
	previous := s.segment
	if err := s.startSegment(previous.number+1, snapshot, after); err != nil {
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

// Close closes the log's file. All saved data is already durable.
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
		if !replay.addRecord(stored) {
			return nil, &CorruptionError{File: file, Offset: scan.offsets[i], Reason: "entries are missing"}
		}
	}
	return replay, nil
}

// addRecord replays one record. An entry replaces an entry of the same index and all
// after it. addRecord returns false if an entry leaves a gap or is at or before the
// base.
func (r *logReplay) addRecord(stored logRecord) bool {
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

// entriesAfter returns the entries after a snapshot. If the log does not hold the last
// entry that the snapshot covers, the snapshot replaced the whole log and there are
// none.
func (r *logReplay) entriesAfter(snapshot logBase) []consensus.Entry {
	if snapshot == r.base {
		return r.entries
	}
	at := snapshot.Index - r.base.Index
	if at == 0 || at > uint64(len(r.entries)) || r.entries[at-1].Term != snapshot.Term {
		return nil
	}
	return slices.Clone(r.entries[at:])
}
