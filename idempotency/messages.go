package idempotency

import "time"

// State is how far an order is known to have come. A higher state knows more.
type State uint8

const (
	// StateVoted means that a claim holds the record and has not ended.
	StateVoted State = iota
	// StateUnknown means that the order may or may not have run.
	StateUnknown
	// StateResponseNotStored means that the order ran and its answer is not kept.
	StateResponseNotStored
	// StateResponseStored means that the order ran and its answer is kept.
	StateResponseStored
)

// VoteResult is a replica's answer to a request for a vote.
type VoteResult uint8

const (
	// VoteHeld means that the record belongs to another claim.
	VoteHeld VoteResult = iota
	// VoteGranted means that the replica has voted for the claim.
	VoteGranted
	// VoteStaleEpoch means that the replica has taken up a newer epoch.
	VoteStaleEpoch
	// VoteFutureEpoch means that the replica has not taken up the epoch yet.
	VoteFutureEpoch
	// VoteNotReady means that the replica still recovers its records.
	VoteNotReady
	// VoteFull means that the replica has no room for another record.
	VoteFull
	// VoteReleased means that the claim was released before.
	VoteReleased
	// VoteInvalidDeadline means that the deadline lies further away than allowed.
	VoteInvalidDeadline
)

// VoteRequest asks a replica for its vote.
type VoteRequest struct {
	// Epoch is the epoch that the claimant counts its majority in.
	Epoch uint64 `cbor:"1,keyasint"`
	// Record is the order.
	Record RecordID `cbor:"2,keyasint"`
	// Fingerprint is the content of the order.
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	// Claim is the claim.
	Claim ClaimID `cbor:"4,keyasint"`
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Group is the group that the claimant counts its majority in.
	Group GroupID `cbor:"6,keyasint,omitempty"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	// Claim is the claim that asked.
	Claim ClaimID `cbor:"1,keyasint"`
	// Result is the answer.
	Result VoteResult `cbor:"2,keyasint"`
	// State is the state of the record when it is held. A claim whose deadline has
	// passed is reported as StateUnknown.
	State State `cbor:"3,keyasint,omitempty"`
	// Fingerprint is the content that the record was claimed for.
	Fingerprint Fingerprint `cbor:"4,keyasint,omitzero"`
	// Remaining is the time left until the holder's deadline.
	Remaining time.Duration `cbor:"5,keyasint,omitempty"`
	// Response is the stored answer, in the driver's encoding.
	Response []byte `cbor:"6,keyasint,omitempty"`
	// EarlierMinority is the largest slack of earlier groups. More votes than that are
	// needed.
	EarlierMinority int `cbor:"7,keyasint,omitempty"`
}

// ReleaseRequest frees the record from a claim that has not run and never will.
type ReleaseRequest struct {
	// Record is the order.
	Record RecordID `cbor:"1,keyasint"`
	// Claim is the claim to release. Other claims of the record are left alone.
	Claim ClaimID `cbor:"2,keyasint"`
}

// FinishRequest records how the order of a claim ended.
type FinishRequest struct {
	// Record is the order.
	Record RecordID `cbor:"1,keyasint"`
	// Claim is the claim that ran it.
	Claim ClaimID `cbor:"2,keyasint"`
	// State is StateUnknown, StateAnswerNotKept or StateAnswered.
	State State `cbor:"3,keyasint"`
	// Response is the answer to store, in the driver's encoding.
	Response []byte `cbor:"4,keyasint,omitempty"`
}

// ReadRequest asks a replica for the next page of its records.
type ReadRequest struct {
	// Epoch is the epoch that the reader recovers in.
	Epoch uint64 `cbor:"1,keyasint"`
	// Session tells this recovery's pages from those of an earlier one.
	Session uint64 `cbor:"2,keyasint"`
	// After is the sequence number of the last record that the reader has.
	After uint64 `cbor:"3,keyasint"`
	// Group is the group that the reader recovers in.
	Group GroupID `cbor:"4,keyasint,omitempty"`
}

// ReadReply is one page of records.
type ReadReply struct {
	// Session and After repeat the request.
	Session uint64 `cbor:"1,keyasint"`
	After   uint64 `cbor:"2,keyasint"`
	// Ready says that the replica could answer. The rest is empty otherwise.
	Ready bool `cbor:"3,keyasint"`
	// Incarnation differs after each restart of the replica. A read that spans two
	// incarnations starts again.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Records is the page, in the order of sequence numbers.
	Records []RecordCopy `cbor:"5,keyasint"`
	// Last is the sequence number to continue after.
	Last uint64 `cbor:"6,keyasint"`
	// More says that there are further pages.
	More bool `cbor:"7,keyasint"`
	// EarlierMinority is the largest slack of earlier groups. More reads than that are
	// needed.
	EarlierMinority int `cbor:"8,keyasint,omitempty"`
}

// RecordClaim is a claim that may hold a record.
type RecordClaim struct {
	// ID is the claim.
	ID ClaimID `cbor:"1,keyasint"`
	// Fingerprint is the content that it claims the record for.
	Fingerprint Fingerprint `cbor:"2,keyasint"`
}

// RecordCopy is a record on its way to another replica or to disk.
type RecordCopy struct {
	// Record is the order.
	Record RecordID `cbor:"1,keyasint"`
	// Claims are the claims that may hold the record. There is one unless a
	// recovery found several.
	Claims []RecordClaim `cbor:"2,keyasint"`
	// State is its state.
	State State `cbor:"3,keyasint"`
	// Response is the stored answer.
	Response []byte `cbor:"4,keyasint,omitempty"`
	// Remaining is the time left until the request's deadline, zero when passed.
	Remaining time.Duration `cbor:"5,keyasint,omitempty"`
	// TTL is how much longer the record must be kept.
	TTL time.Duration `cbor:"6,keyasint"`
	// ClaimsTruncated says that the record may be held by further claims and that no
	// release frees it.
	ClaimsTruncated bool `cbor:"7,keyasint,omitempty"`
}
