package idempotency

import (
	"time"
)

// ChangeKind says what a Change does to the records on disk.
type ChangeKind uint8

const (
	// ChangePut stores or replaces a record.
	ChangePut ChangeKind = iota
	// ChangeRemove removes a record.
	ChangeRemove
	// ChangeReady states that the records on disk are complete from here on.
	ChangeReady
	// ChangeClear removes everything.
	ChangeClear
)

// Change is one entry of the records on disk. The driver must have synced the
// changes of a step before it sends the step's reply: a vote that a claim has
// counted must not be lost.
type Change struct {
	// Kind is what the change does.
	Kind ChangeKind `cbor:"1,keyasint"`
	// Record is the record of ChangePut, and the id of ChangeRemove.
	Record RecordCopy `cbor:"2,keyasint,omitzero"`
	// Joined, Epoch and Slack belong to ChangeReady: the joining epoch of the
	// instance, the epoch taken up, and the slack of its group.
	Joined       uint64 `cbor:"3,keyasint,omitempty"`
	Epoch        uint64 `cbor:"4,keyasint,omitempty"`
	MinoritySize int    `cbor:"5,keyasint,omitempty"`
}

// journal collects the changes of a replica that keeps its records on disk.
type journal struct {
	enabled  bool
	changes  []Change
	restored bool
	joined   uint64
	epoch    uint64
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

func (j *journal) ready(group Group, member Member) {
	j.append(Change{Kind: ChangeReady, Joined: member.Joined, Epoch: group.Epoch, MinoritySize: group.MinoritySize()})
}

func (j *journal) cleared() { j.append(Change{Kind: ChangeClear}) }

// completeFor reports whether the disk holds the complete records of the
// instance's present membership. A membership without a joining epoch may be
// another one when epochs were missed.
func (j *journal) completeFor(group Group, member Member) bool {
	followed := member.Joined != 0 || group.Epoch <= j.epoch+1
	return j.restored && j.joined == member.Joined && followed
}

// TakeChanges returns the changes since the last call, for the disk.
func (r *Replica) TakeChanges() []Change {
	changes := r.journal.changes
	r.journal.changes = nil
	return changes
}

// Restore applies a change that was read back from disk. It is called before
// the first SetGroup, in the order in which the changes were taken. The time
// that the process was down is unknown, so a record's life counts from now
// again: it may be kept longer, never shorter. Restore reports false when the
// budget has no room; the instance must then not use the disk's records.
func (r *Replica) Restore(change *Change, now time.Time) bool {
	switch change.Kind {
	case ChangePut:
		return r.restore(&change.Record, now)
	case ChangeRemove:
		if held := r.table.records[change.Record.Record]; held != nil {
			r.table.remove(held)
		}
	case ChangeReady:
		r.journal.restored, r.journal.joined, r.journal.epoch = true, change.Joined, change.Epoch
		r.earlierMinority.raise(change.MinoritySize, now, r.config.maxRecordLifetime())
	case ChangeClear:
		r.table.clear()
		r.journal.restored = false
	}
	return true
}

func (r *Replica) restore(from *RecordCopy, now time.Time) bool {
	if held := r.table.records[from.Record]; held != nil {
		r.table.remove(held)
	}
	held := &record{id: from.Record, recovered: true}
	if !r.table.add(held) {
		return false
	}
	held.merge(from, from.Claims, now)
	if from.State == StateResponseStored {
		r.storeResponse(held, from.Response)
	}
	return true
}

// Snapshot returns the changes that restore the replica as it is, to replace a
// journal that has grown long.
func (r *Replica) Snapshot(now time.Time) []Change {
	var changes []Change
	for _, held := range r.table.order {
		if !held.removed {
			changes = append(changes, Change{Kind: ChangePut, Record: held.copyAt(now)})
		}
	}
	if i := r.group.Index(r.self); r.phase == PhaseReady && i >= 0 {
		most := max(r.group.MinoritySize(), r.earlierMinority.sizeAt(now))
		changes = append(changes, Change{Kind: ChangeReady, Joined: r.group.Members[i].Joined, Epoch: r.group.Epoch, MinoritySize: most})
	}
	return changes
}
