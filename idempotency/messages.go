package idempotency

import "time"

// State is the known state of an order. States are ordered: a higher value is
// more definite and replaces a lower one.
type State uint8

const (
	// StateVoted means that a claim holds the record and the outcome of the order
	// has not been reported.
	StateVoted State = iota
	// StateUnknown means that the order may or may not have run.
	StateUnknown
	// StateResponseNotStored means that the order has run and its response was not
	// stored.
	StateResponseNotStored
	// StateResponseStored means that the order has run and its response is stored.
	StateResponseStored
)

// VoteResult is a replica's decision on a vote request.
type VoteResult uint8

const (
	// VoteHeld means that the replica has the record and does not confirm a vote:
	// another claim holds the record, or the record has an outcome or was
	// recovered.
	VoteHeld VoteResult = iota
	// VoteGranted means that the replica has voted for the claim.
	VoteGranted
	// VoteStaleEpoch means that the replica has applied a newer epoch than the
	// request's.
	VoteStaleEpoch
	// VoteFutureEpoch means that the replica has not applied the request's epoch
	// yet.
	VoteFutureEpoch
	// VoteNotReady means that the replica is not ready to vote, because it is
	// recovering its records or is in the initial epoch.
	VoteNotReady
	// VoteFull means that the replica has no memory left for another record.
	VoteFull
	// VoteReleased means that the claim has already been released.
	VoteReleased
	// VoteInvalidDeadline means that the request's deadline has passed or is
	// further away than MaxRequestTime.
	VoteInvalidDeadline
)

// VoteRequest asks a replica for its vote.
type VoteRequest struct {
	// Epoch is the epoch of the group whose majority the claim needs.
	Epoch uint64 `cbor:"1,keyasint"`
	// Record identifies the order.
	Record RecordID `cbor:"2,keyasint"`
	// Fingerprint is the digest of the order's content.
	Fingerprint Fingerprint `cbor:"3,keyasint"`
	// Claim identifies the claim.
	Claim ClaimID `cbor:"4,keyasint"`
	// Remaining is the time until the request's deadline.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Group identifies the group whose majority the claim needs.
	Group GroupID `cbor:"6,keyasint,omitempty"`
}

// VoteReply is the reply to a VoteRequest.
type VoteReply struct {
	// Claim identifies the claim that requested the vote.
	Claim ClaimID `cbor:"1,keyasint"`
	// Result is the decision of the replica.
	Result VoteResult `cbor:"2,keyasint"`
	// State is the state of the record if the result is VoteHeld. The holder is the
	// claim that holds the record. If the deadline of the holder's request has
	// passed without an outcome, State is StateUnknown.
	State State `cbor:"3,keyasint,omitempty"`
	// Fingerprint is the digest of the content that the record was claimed for. If
	// the record has several claims, it is the digest in the vote request if one of
	// them has the same digest, otherwise the holder's.
	Fingerprint Fingerprint `cbor:"4,keyasint,omitzero"`
	// Remaining is the time until the deadline of the holder's request.
	Remaining time.Duration `cbor:"5,keyasint,omitempty"`
	// Response is the stored response, as it was passed to Settle.
	Response []byte `cbor:"6,keyasint,omitempty"`
	// EarlierMinority is the largest Group.MinoritySize of earlier groups whose
	// claims are retained. The claim needs more than EarlierMinority votes. The
	// field is not set if the result is VoteHeld.
	EarlierMinority int `cbor:"7,keyasint,omitempty"`
}

// ReleaseRequest removes the vote for a claim that has not run the order and
// never will.
type ReleaseRequest struct {
	// Record identifies the order.
	Record RecordID `cbor:"1,keyasint"`
	// Claim identifies the claim to release. Other claims on the record are not
	// affected.
	Claim ClaimID `cbor:"2,keyasint"`
}

// FinishRequest reports the outcome of the order of a claim.
type FinishRequest struct {
	// Record identifies the order.
	Record RecordID `cbor:"1,keyasint"`
	// Claim identifies the claim that got the majority.
	Claim ClaimID `cbor:"2,keyasint"`
	// State is StateUnknown, StateResponseNotStored or StateResponseStored.
	State State `cbor:"3,keyasint"`
	// Response is the response to store, as it was passed to Settle.
	Response []byte `cbor:"4,keyasint,omitempty"`
}

// ReadRequest asks a replica for the next page of its records.
type ReadRequest struct {
	// Epoch is the epoch of the reader's group.
	Epoch uint64 `cbor:"1,keyasint"`
	// Session identifies the reader's session. A new session starts with each
	// recovery and with each change of the group during a recovery.
	Session uint64 `cbor:"2,keyasint"`
	// After is the sequence number of the last record that the reader has
	// received.
	After uint64 `cbor:"3,keyasint"`
	// Group identifies the reader's group.
	Group GroupID `cbor:"4,keyasint,omitempty"`
}

// ReadReply is one page of records.
type ReadReply struct {
	// Session and After are copied from the request.
	Session uint64 `cbor:"1,keyasint"`
	After   uint64 `cbor:"2,keyasint"`
	// Ready means that the replica is ready and in the reader's group. Otherwise
	// the reply contains no records.
	Ready bool `cbor:"3,keyasint"`
	// Incarnation changes with each restart of the replica. A reader that notices
	// a change between two pages starts again, because the sequence numbers are
	// new.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Records is the page, ordered by sequence number.
	Records []RecordCopy `cbor:"5,keyasint"`
	// Last is the sequence number after which the next page starts.
	Last uint64 `cbor:"6,keyasint"`
	// More means that there are further pages.
	More bool `cbor:"7,keyasint"`
	// EarlierMinority is the largest Group.MinoritySize of earlier groups whose
	// claims are retained. The reader must read more than EarlierMinority replicas.
	EarlierMinority int `cbor:"8,keyasint,omitempty"`
}

// RecordClaim is a claim that may hold a record.
type RecordClaim struct {
	// ID identifies the claim.
	ID ClaimID `cbor:"1,keyasint"`
	// Fingerprint is the digest of the content that the record is claimed for.
	Fingerprint Fingerprint `cbor:"2,keyasint"`
}

// RecordCopy is the encoded form of a record, for another replica or the
// journal.
type RecordCopy struct {
	// Record identifies the order.
	Record RecordID `cbor:"1,keyasint"`
	// Claims lists the claims that may hold the record. It has one element unless
	// a recovery found several claims.
	Claims []RecordClaim `cbor:"2,keyasint"`
	// State is the state of the order.
	State State `cbor:"3,keyasint"`
	// Response is the stored response.
	Response []byte `cbor:"4,keyasint,omitempty"`
	// Remaining is the time until the request's deadline, zero if it has passed.
	Remaining time.Duration `cbor:"5,keyasint,omitempty"`
	// TTL is the remaining time for which the record must be kept.
	TTL time.Duration `cbor:"6,keyasint"`
	// ClaimsTruncated means that further claims, which are not listed, may hold
	// the record. Such a record is never removed by a release.
	ClaimsTruncated bool `cbor:"7,keyasint,omitempty"`
}
