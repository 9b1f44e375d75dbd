package consensus

// MemberID names a member: the id of its instance.
type MemberID string

// DiskID is the identity of a member's disk, drawn at random when its data
// folder is first used. A blank or swapped disk has another identity.
type DiskID string

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command of the application.
	EntryCommand EntryKind = iota
	// EntryNoop is empty. A new leader appends one, so that it can commit the
	// entries of earlier terms.
	EntryNoop
	// EntryMembership holds a membership. It is in force as soon as it is in the
	// log, committed or not.
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	// Data is the command of an EntryCommand.
	Data []byte `cbor:"4,keyasint,omitempty"`
	// Membership is set for an EntryMembership.
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// HardState is what a member must have on its disk before it answers.
type HardState struct {
	// Term is the newest term that the member has seen.
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that the member voted for in Term, or empty.
	Vote MemberID `cbor:"2,keyasint,omitempty"`
	// VoteDisk is the identity of that candidate's disk.
	VoteDisk DiskID `cbor:"3,keyasint,omitempty"`
	// Commit is an index known to be committed. It may be older than the truth.
	Commit uint64 `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the state of the application and the membership after the entry
// at Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Data is the application's state. The node itself keeps and returns
	// snapshots without it; only a snapshot received from the leader has it.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// InitialSnapshot is the state from which the members of a new log start. The
// application's state in it is empty. It must be given only to blank disks, and
// the same one to all of them.
func InitialSnapshot(membership Membership) Snapshot {
	return Snapshot{Index: initialIndex, Term: initialTerm, Membership: membership}
}

// Where a new log starts. A blank disk is at index 0 and term 0.
const (
	initialIndex = 1
	initialTerm  = 1
)
