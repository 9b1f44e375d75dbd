package idempotency

import (
	"time"
)

// ChangeKind is the effect of a Change on the journal's records.
type ChangeKind uint8

const (
	// ChangePut stores or replaces a record.
	ChangePut ChangeKind = iota
	// ChangeRemove removes a record.
	ChangeRemove
	// ChangeReady marks the records as complete from this entry on.
	ChangeReady
	// ChangeClear removes all records, because the instance has left the group.
	ChangeClear
)

// Change is one journal entry. The caller must sync the changes of a call to
// disk before it sends the reply of that call: a vote that a claim has counted
// must not be lost.
type Change struct {
	// Kind is the effect of the change.
	Kind ChangeKind `cbor:"1,keyasint"`
	// Record is the record of ChangePut. For ChangeRemove, only its ID is set.
	Record RecordCopy `cbor:"2,keyasint,omitzero"`
	// JoinEpoch, Epoch and MinoritySize are set for ChangeReady: the epoch in
	// which the instance joined, the epoch that it has applied, and the largest
	// Group.MinoritySize of all groups whose claims are retained.
	JoinEpoch    uint64 `cbor:"3,keyasint,omitempty"`
	Epoch        uint64 `cbor:"4,keyasint,omitempty"`
	MinoritySize int    `cbor:"5,keyasint,omitempty"`
}

// journal collects the changes of a replica whose records are stored on disk.
type journal struct {
	enabled bool
	changes []Change
	// restored means that the records restored from the journal were complete in
	// the epoch with the number epoch, for the membership that began in joinEpoch.
	restored  bool
	joinEpoch uint64
	epoch     uint64
}

func (j *journal) append(change Change) {
	if j.enabled {
		j.changes = append(j.changes, change)
	}
}

func (j *journal) put(r *record, now time.Time) {
	if j.enabled {
		j.append(Change{Kind: ChangePut, Record: r.copyAt(now)})
	}
}

func (j *journal) removed(id RecordID) {
	j.append(Change{Kind: ChangeRemove, Record: RecordCopy{Record: id}})
}

func (j *journal) cleared() { j.append(Change{Kind: ChangeClear}) }

// completeFor reports whether the restored records are complete for the
// instance's current membership. If the join epoch is unknown and epochs were
// skipped, the instance may have been removed and added again, and the records
// may be incomplete.
func (j *journal) completeFor(group Group, member Member) bool {
	joinEpochConclusive := member.JoinEpoch != 0 || group.Epoch <= j.epoch+1
	return j.restored && j.joinEpoch == member.JoinEpoch && joinEpochConclusive
}

// readyChange returns the change that marks the records as complete. The instance must be a
// member of the group.
func (r *Replica) readyChange(now time.Time) Change {
	member := r.group.Members[r.group.Index(r.self)]
	minority := max(r.group.MinoritySize(), r.earlierMinority.sizeAt(now))
	return Change{Kind: ChangeReady, JoinEpoch: member.JoinEpoch, Epoch: r.group.Epoch, MinoritySize: minority}
}

// TakeChanges returns the changes since the last call, to be written to the
// journal.
func (r *Replica) TakeChanges() []Change {
	changes := r.journal.changes
	r.journal.changes = nil
	return changes
}

// Restore applies a change that was read from the journal. It must be called
// before the first SetGroup, in the order in which the changes were taken. The
// downtime of the process is unknown, so the TTL of a record in the journal is
// counted from now: the record may be kept longer than required, never shorter.
// Restore returns false if the memory budget is exhausted; the instance must then
// not use the records of the journal.
func (r *Replica) Restore(change *Change, now time.Time) bool {
	switch change.Kind {
	case ChangePut:
		return r.restore(&change.Record, now)
	case ChangeRemove:
		if rec := r.table.records[change.Record.Record]; rec != nil {
			r.table.remove(rec)
		}
	case ChangeReady:
		r.journal.restored, r.journal.joinEpoch, r.journal.epoch = true, change.JoinEpoch, change.Epoch
		r.earlierMinority.raise(change.MinoritySize, now, r.config.maxRecordLifetime())
	case ChangeClear:
		r.table.clear()
		r.journal.restored = false
	}
	return true
}

func (r *Replica) restore(from *RecordCopy, now time.Time) bool {
	if rec := r.table.records[from.Record]; rec != nil {
		r.table.remove(rec)
	}
	rec := &record{id: from.Record, recovered: true}
	if !r.table.add(rec) {
		return false
	}
	rec.merge(from, from.Claims, now)
	if from.State == StateResponseStored {
		r.storeResponse(rec, from.Response)
	}
	return true
}

// Snapshot returns the changes that restore the current state of the replica.
// It replaces a journal that has become long.
func (r *Replica) Snapshot(now time.Time) []Change {
	var changes []Change
	for _, rec := range r.table.bySequence {
		if !rec.removed {
			changes = append(changes, Change{Kind: ChangePut, Record: rec.copyAt(now)})
		}
	}
	if r.phase == PhaseReady && r.group.Index(r.self) >= 0 {
		changes = append(changes, r.readyChange(now))
	}
	return changes
}
