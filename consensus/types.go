package consensus

// MemberID identifies a member. It is the ID of the member's instance.
type MemberID string

// DiskID identifies a member's disk. It is generated at random when the data
// folder is first used, so a blank or swapped disk has another identity.
type DiskID string

// EntryKind is the kind of an Entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command for the application.
	EntryCommand EntryKind = iota
	// EntryNoop holds nothing. A new leader appends one so that it can commit the
	// entries of earlier terms.
	EntryNoop
	// EntryMembership holds a membership. It is in force as soon as it is in the
	// log, whether or not it is committed.
	EntryMembership
)

// Entry is an entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	// Data is the command of an EntryCommand.
	Data []byte `cbor:"4,keyasint,omitempty"`
	// Membership is set in an EntryMembership.
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// HardState is the state that a member must store and sync before it answers.
type HardState struct {
	// Term is the newest term that the member knows.
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that the member voted for in Term, or empty.
	Vote MemberID `cbor:"2,keyasint,omitempty"`
	// VoteDisk is the identity of that candidate's disk.
	VoteDisk DiskID `cbor:"3,keyasint,omitempty"`
	// Commit is an index known to be committed. The actual commit index may be
	// higher.
	Commit uint64 `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the state of the application and the membership after the entry
// at Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Data is the application's state. It is present only in a snapshot received
	// from the leader; the node itself stores and returns snapshots without it.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// InitialSnapshot returns the snapshot from which all members of a new log start,
// with empty application state. It must be applied only to blank disks, and must
// be the same on all of them.
func InitialSnapshot(membership Membership) Snapshot {
	return Snapshot{Index: initialIndex, Term: initialTerm, Membership: membership}
}

// The index and the term at which a new log starts. A blank disk is at index 0 and
// term 0.
const (
	initialIndex = 1
	initialTerm  = 1
)
