package consensus

import "time"

// MessageType is the kind of a Message.
type MessageType uint8

// The types of messages.
const (
	// MessageAppend carries entries from the leader. Without entries it is a
	// heartbeat.
	MessageAppend MessageType = iota + 1
	// MessageAppendResponse answers MessageAppend and MessageSnapshot.
	MessageAppendResponse
	// MessageSnapshot carries the leader's snapshot, sent when the member needs
	// entries that are compacted.
	MessageSnapshot
	// MessagePreVote asks whether the receiver would grant a vote. It changes no
	// terms.
	MessagePreVote
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageTimeoutNow tells the receiver to campaign at once: the leader has
	// stepped down to transfer leadership to it.
	MessageTimeoutNow
)

// Message is a request or a response between two members.
type Message struct {
	Type     MessageType `cbor:"1,keyasint"`
	From     MemberID    `cbor:"2,keyasint"`
	FromDisk DiskID      `cbor:"3,keyasint"`
	To       MemberID    `cbor:"4,keyasint"`
	// Term is the sender's term. In a pre-vote request, and in a response that
	// grants the pre-vote, Term is the term of the election that the candidate would
	// start.
	Term uint64 `cbor:"5,keyasint"`
	// Index depends on the type. In an append, it is the index of the entry before
	// Entries. In an append response, it is the last index that matches or, if
	// Reject is set, the index that did not match. In a vote or pre-vote request,
	// it is the candidate's last index.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index, in a request.
	LogTerm uint64 `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit   uint64    `cbor:"8,keyasint,omitempty"`
	Entries  []Entry   `cbor:"9,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	// Reject reports that the request was rejected.
	Reject bool `cbor:"11,keyasint,omitempty"`
	// RejectHint is, in a response that rejects an append, the last index that may
	// match.
	RejectHint uint64 `cbor:"12,keyasint,omitempty"`
	// SentAt is when the leader sent the request, as the time since the leader's
	// node was created, on the leader's clock. The response echoes it, so that the
	// leader counts contact from the time of the request and not of the response.
	SentAt time.Duration `cbor:"13,keyasint,omitempty"`
	// Transfer marks a vote request that is part of a leadership transfer: the
	// leader has stepped down, so its followers may vote without waiting for its
	// lease to expire.
	Transfer bool `cbor:"14,keyasint,omitempty"`
}

// wellFormed reports whether a correct member could have sent the message. Step
// drops messages that are not well-formed.
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
