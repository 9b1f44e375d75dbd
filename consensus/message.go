package consensus

import "time"

// MessageType tells what a message asks or answers.
type MessageType uint8

// The types of messages.
const (
	// MessageAppend carries entries from the leader; an empty one is a heartbeat.
	MessageAppend MessageType = iota + 1
	// MessageAppendResponse answers MessageAppend and MessageSnapshot.
	MessageAppendResponse
	// MessageSnapshot carries the leader's snapshot in place of compacted entries.
	MessageSnapshot
	// MessagePreVote asks whether a vote would be given, without changing terms.
	MessagePreVote
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageTimeoutNow tells the receiver to campaign at once: the leader has
	// stepped down in its favour.
	MessageTimeoutNow
)

// Message passes between members.
type Message struct {
	Type     MessageType `cbor:"1,keyasint"`
	From     MemberID    `cbor:"2,keyasint"`
	FromDisk DiskID      `cbor:"3,keyasint"`
	To       MemberID    `cbor:"4,keyasint"`
	// Term is the sender's term, or in a pre-vote request and its granting
	// response the term of the election to come.
	Term uint64 `cbor:"5,keyasint"`
	// Index is, by type: the entry before Entries; the last entry that matches, or
	// if Reject the one that did not; the candidate's last entry.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index, in a request.
	LogTerm uint64 `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit   uint64    `cbor:"8,keyasint,omitempty"`
	Entries  []Entry   `cbor:"9,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	// Reject refuses a request.
	Reject bool `cbor:"11,keyasint,omitempty"`
	// RejectHint is the last entry that may match, in a refused append.
	RejectHint uint64 `cbor:"12,keyasint,omitempty"`
	// SentAt is when the leader sent the request, on its own clock. The response
	// echoes it, so that an answer counts from when it was asked for.
	SentAt time.Duration `cbor:"13,keyasint,omitempty"`
	// Transfer marks a vote request of a leadership transfer: the leader has
	// stepped down, so its followers need not wait for it to fall silent.
	Transfer bool `cbor:"14,keyasint,omitempty"`
}

// wellFormed tells whether a message can come from a member that keeps to the
// algorithm. Others are dropped.
func (m *Message) wellFormed() bool {
	if m.Type == MessageSnapshot {
		return m.Snapshot != nil && m.Snapshot.Index > 0 && m.Snapshot.Term <= m.Term
	}
	index, term := m.Index, m.LogTerm
	for _, entry := range m.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term {
			return false
		}
		if entry.Kind == EntryMembership && entry.Membership == nil {
			return false
		}
		index, term = entry.Index, entry.Term
	}
	return m.LogTerm <= m.Term
}
