package storage

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/consensus"
)

const testFolder = "data"

func openTestLog(files FS) (*LogStore, error) {
	return OpenLog(files, testFolder, bytes.NewReader([]byte("sixteen bytes id")))
}

func testEntry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d in %d", index, term)}
}

func state(term, commit uint64) *consensus.HardState {
	return &consensus.HardState{Term: term, Vote: "a", Commit: commit}
}

// testWrites is a row of writes of a member: entries, entries that replace others,
// its own snapshot, and a snapshot of another leader with entries after it.
var testWrites = []func(s *LogStore) error{
	func(s *LogStore) error {
		return s.Save(consensus.Ready{HardState: state(1, 0), Snapshot: &consensus.Snapshot{Index: 1, Term: 1}})
	},
	func(s *LogStore) error {
		return s.Save(consensus.Ready{HardState: state(2, 1), Entries: []consensus.Entry{
			testEntry(2, 2), testEntry(3, 2), testEntry(4, 2),
		}})
	},
	func(s *LogStore) error {
		return s.Save(consensus.Ready{HardState: state(3, 2), Entries: []consensus.Entry{testEntry(4, 3), testEntry(5, 3)}})
	},
	func(s *LogStore) error {
		return s.Compact(consensus.Snapshot{Index: 3, Term: 2, Data: []byte("up to 3")},
			[]consensus.Entry{testEntry(4, 3), testEntry(5, 3)})
	},
	func(s *LogStore) error {
		return s.Save(consensus.Ready{HardState: state(5, 4), Entries: []consensus.Entry{testEntry(6, 3)}})
	},
	func(s *LogStore) error {
		return s.Save(consensus.Ready{
			HardState: state(6, 5),
			Snapshot:  &consensus.Snapshot{Index: 5, Term: 5, Data: []byte("another 5")},
			Entries:   []consensus.Entry{testEntry(6, 6)},
		})
	},
	func(s *LogStore) error {
		return s.Save(consensus.Ready{HardState: state(6, 6), Entries: []consensus.Entry{testEntry(7, 6)}})
	},
}

// found describes what is in a log: its term, its snapshot with data, and entries.
func found(t *testing.T, files FS) string {
	t.Helper()
	log, err := openTestLog(files)
	must.NoError(t, err)
	snapshot, _, err := log.LoadSnapshot()
	must.NoError(t, err)
	stored := log.StoredState()
	must.Eq(t, snapshot.Index, stored.Snapshot.Index)
	return fmt.Sprint(log.DiskID(), stored.HardState, snapshot.Index, string(snapshot.Data), stored.Entries)
}

// allowedStates returns what may be found after each number of finished writes.
func allowedStates(t *testing.T) []string {
	files := newMemFS(1 << 30)
	log, err := openTestLog(files)
	must.NoError(t, err)
	states := []string{found(t, files.crash(keepSynced))}
	for _, write := range testWrites {
		must.NoError(t, write(log))
		states = append(states, found(t, files.crash(keepSynced)))
	}
	return states
}

// TestCrashAtEveryByte stops the writes after each byte, sync and change of a
// name. What is found must be the state after the last finished write or after
// the one that was under way.
func TestCrashAtEveryByte(t *testing.T) {
	states := allowedStates(t)
	for budget := 0; ; budget++ {
		files := newMemFS(budget)
		finished, all := runWrites(files)
		for kind := range crashKinds {
			crashed := files.crash(kind)
			got := found(t, crashed)
			mustGoOn(t, crashed)
			if finished < 0 {
				must.Eq(t, states[0], got)
				continue
			}
			allowed := got == states[finished] || !all && got == states[finished+1] ||
				isSnapshotOnly(finished, got)
			if !allowed {
				t.Fatalf("crash %d after %d steps and %d writes left\n%s, not\n%s", kind, budget, finished, got, states[finished])
			}
		}
		if all {
			return
		}
	}
}

// mustGoOn checks that a log that was opened after a crash takes a write that
// outlives the next one.
func mustGoOn(t *testing.T, files *memFS) {
	t.Helper()
	log, err := openTestLog(files)
	must.NoError(t, err)
	must.NoError(t, log.Save(consensus.Ready{HardState: state(99, 0)}))
	again, err := openTestLog(files.crash(keepSynced))
	must.NoError(t, err)
	must.Eq(t, *state(99, 0), again.StoredState().HardState)
}

// isSnapshotOnly tells whether a crash came between a snapshot and the record
// that follows it, and left the one without the other. Both orders of the
// snapshot and its log are sound by themselves.
func isSnapshotOnly(finished int, got string) bool {
	switch finished {
	case 0:
		return got == describe(consensus.HardState{Term: 1}, 1, "")
	case 3:
		return got == describe(*state(3, 2), 3, "up to 3", testEntry(4, 3), testEntry(5, 3))
	case 5:
		return got == describe(*state(5, 4), 5, "another 5")
	}
	return false
}

func describe(state consensus.HardState, index uint64, data string, entries ...consensus.Entry) string {
	return fmt.Sprint(consensus.DiskID(fmt.Sprintf("%x", "sixteen bytes id")), state, index, data, entries)
}

// runWrites returns how many writes returned without an error, or -1 if the log
// was not even made.
func runWrites(files FS) (finished int, all bool) {
	log, err := openTestLog(files)
	if err != nil {
		return -1, false
	}
	for i, write := range testWrites {
		if write(log) != nil {
			return i, false
		}
	}
	return len(testWrites), true
}

// TestDamageIsRefused flips each byte of a log. Only the last record may be cut,
// since nothing proves that it was synced; all else is refused.
func TestDamageIsRefused(t *testing.T) {
	files := newMemFS(1 << 30)
	log, err := openTestLog(files)
	must.NoError(t, err)
	for _, write := range testWrites[:3] {
		must.NoError(t, write(log))
	}
	name := segmentName(testFolder, firstSegment)
	scan := scanRecords(files.names[name].data)
	last := scan.offsets[len(scan.offsets)-1]
	for at := range last {
		damaged := files.crash(keepAll)
		damaged.names[name].data[at] ^= 0x10
		_, err := openTestLog(damaged)
		var damage *CorruptionError
		if !errors.As(err, &damage) && !isPadding(scan, at, files.names[name].data) {
			t.Fatalf("damage at offset %d was not refused: %v", at, err)
		}
	}
}

// isPadding tells whether a byte belongs to no record.
func isPadding(scan scanResult, at int64, data []byte) bool {
	for i, offset := range scan.offsets {
		end := offset + recordHeaderBytes + int64(len(scan.payloads[i]))
		if at >= offset && at < end {
			return false
		}
	}
	return data[at] == 0
}

// TestNoWorkAfterAFailedSync checks that a log goes no further once a sync failed:
// what the disk then holds is unknown.
func TestNoWorkAfterAFailedSync(t *testing.T) {
	for _, failing := range []int{0, 1, 3} {
		files := newMemFS(1 << 30)
		log, err := openTestLog(files)
		must.NoError(t, err)
		files.budget = 0
		must.Error(t, testWrites[failing](log))
		files.budget = 1 << 30
		must.ErrorIs(t, testWrites[1](log), ErrWriteFailed)
		must.ErrorIs(t, log.Compact(consensus.Snapshot{Index: 1}, nil), ErrWriteFailed)
	}
}

// After a failed sync the operating system may show what never reaches the disk.
// What a log that is opened then shows must be durable.
func TestOpenMakesDurableWhatItReads(t *testing.T) {
	files := newMemFS(1 << 30)
	log, err := openTestLog(files)
	must.NoError(t, err)
	name := segmentName(testFolder, firstSegment)
	before := len(files.names[name].data)
	must.NoError(t, log.Save(consensus.Ready{HardState: state(1, 0)}))
	files.budget = len(files.names[name].data) - before
	must.ErrorIs(t, log.Save(consensus.Ready{HardState: state(2, 0)}), errInjected)
	files.budget = 1 << 30
	shown := found(t, files)
	must.Eq(t, describe(*state(2, 0), 0, ""), shown)
	must.Eq(t, shown, found(t, files.crash(keepSynced)))
}

func TestLostIdentityIsRefused(t *testing.T) {
	files := newMemFS(1 << 30)
	_, _ = runWrites(files)
	must.NoError(t, files.Remove(testFolder+"/"+identityFile))
	_, err := openTestLog(files)
	var damage *CorruptionError
	must.True(t, errors.As(err, &damage))
}

// FuzzScanRecords checks that the reader of the log takes any content, and that
// what it calls sound is found again after the rest is cut.
func FuzzScanRecords(f *testing.F) {
	sound := appendRecord(appendRecord(nil, []byte("one"), 0), []byte("two"), 32)
	f.Add(sound)
	f.Add(sound[:len(sound)-3])
	f.Add(append([]byte{1, 2, 3, 4, 5, 6, 7, 8}, sound...))
	f.Fuzz(func(t *testing.T, data []byte) {
		scan := scanRecords(data)
		again := scanRecords(data[:scan.end])
		must.Eq(t, scan.payloads, again.payloads)
		must.Eq(t, scan.end, again.end)
		if _, err := replayRecords("fuzz", scan); err != nil {
			var damage *CorruptionError
			must.True(t, errors.As(err, &damage))
		}
	})
}

// FuzzLoadValue checks that a damaged value is an error and never a panic.
func FuzzLoadValue(f *testing.F) {
	files := newMemFS(1 << 30)
	must.NoError(f, SaveValue(files, "value", identity{Disk: "disk"}))
	f.Add(files.names["value"].data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		files := newMemFS(0)
		files.names["value"] = &memFile{data: data}
		var read identity
		_, _ = LoadValue(files, "value", &read)
	})
}

func BenchmarkSaveToDisk(b *testing.B) {
	log, err := OpenLog(OSFS{}, b.TempDir(), bytes.NewReader(make([]byte, identityBytes)))
	must.NoError(b, err)
	entry := consensus.Entry{Term: 1, Data: make([]byte, 200)}
	for b.Loop() {
		entry.Index++
		must.NoError(b, log.Save(consensus.Ready{Entries: []consensus.Entry{entry}}))
	}
}

// BenchmarkCompact measures a snapshot of 20 MB.
func BenchmarkCompact(b *testing.B) {
	log, err := OpenLog(OSFS{}, b.TempDir(), bytes.NewReader(make([]byte, identityBytes)))
	must.NoError(b, err)
	snapshot := consensus.Snapshot{Term: 1, Data: make([]byte, 20<<20)}
	for b.Loop() {
		snapshot.Index++
		must.NoError(b, log.Compact(snapshot, nil))
	}
}
