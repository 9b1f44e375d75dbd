package shard

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Holder identifies one tenure of a lease, the time from winning it to losing it. A
// restarted process, or one that lost the lease and won it again, is a different
// Holder.
type Holder struct {
	// Instance is the instance that holds the lease.
	Instance fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation is a random number that identifies the process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Term numbers the tenures of the process. A number is never reused.
	Term uint64 `cbor:"3,keyasint"`
}

// VoteRequest asks a replica to give or renew its vote.
type VoteRequest struct {
	Shard ID `cbor:"1,keyasint"`
	// Epoch is the epoch of the candidate's map.
	Epoch uint64 `cbor:"2,keyasint"`
	// Fingerprint identifies the replica set in the candidate's map.
	Fingerprint uint64 `cbor:"3,keyasint"`
	// Holder is the tenure that the vote is for.
	Holder Holder `cbor:"4,keyasint"`
	// Round identifies the request in the reply.
	Round uint64 `cbor:"5,keyasint"`
	// Predecessor is the tenure that handed the lease over to the candidate, nil if
	// there is none.
	Predecessor *Holder `cbor:"6,keyasint,omitempty"`
}

// VoteResult is a replica's decision on a VoteRequest.
type VoteResult uint8

const (
	// VoteRefusedNotReady means that the replica has lost its state and does not vote
	// yet, or that the instance has no replica of the shard.
	VoteRefusedNotReady VoteResult = iota
	// VoteRefusedHeld means that the replica's vote belongs to another holder.
	VoteRefusedHeld
	// VoteRefusedStaleMap means that the replica knows of a newer epoch than the
	// candidate's, with another set of replicas.
	VoteRefusedStaleMap
	// VoteGranted means that the vote is given.
	VoteGranted
)

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Shard ID `cbor:"1,keyasint"`
	// Round is copied from the request.
	Round uint64 `cbor:"2,keyasint"`
	// Result is the replica's decision.
	Result VoteResult `cbor:"3,keyasint"`
	// Remaining is, after a refusal, the time after which another request may succeed.
	// That request may be refused too, for example if the holder has renewed its lease
	// by then.
	Remaining time.Duration `cbor:"4,keyasint,omitempty"`
	// PredecessorRemaining is how long a tenure that was handed over could still have
	// lasted, by the replica's clock.
	PredecessorRemaining time.Duration `cbor:"5,keyasint,omitempty"`
}

// Release tells a replica that a candidate gives up the vote of the replica, because
// the votes did not form a majority.
type Release struct {
	Shard ID `cbor:"1,keyasint"`
	// Holder is the tenure that gives up its votes.
	Holder Holder `cbor:"2,keyasint"`
}

// ReadRequest asks a replica for the latest epoch that it knows.
type ReadRequest struct {
	Shard ID `cbor:"1,keyasint"`
	// Nonce is copied into the reply. It distinguishes incarnations of the reader.
	Nonce uint64 `cbor:"2,keyasint"`
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	Shard ID `cbor:"1,keyasint"`
	// Nonce is copied from the request.
	Nonce uint64 `cbor:"2,keyasint"`
	// Epoch is the latest epoch that the replica knows.
	Epoch uint64 `cbor:"3,keyasint"`
	// Fingerprint identifies the replica set in that epoch.
	Fingerprint uint64 `cbor:"4,keyasint"`
}

// HandoverOffer tells an instance that the owner is about to stop and offers it the
// lease.
type HandoverOffer struct {
	Shard ID `cbor:"1,keyasint"`
	// From is the tenure that is about to end.
	From Holder `cbor:"2,keyasint"`
}

// HandoverRequest asks the owner to end its tenure in favour of the sender.
type HandoverRequest struct {
	Shard ID `cbor:"1,keyasint"`
	// From is the tenure to end.
	From Holder `cbor:"2,keyasint"`
	// Nonce is copied into the HandoverReply.
	Nonce uint64 `cbor:"3,keyasint"`
}

// HandoverReply hands a lease over. The sender stops acting as the owner before
// sending it.
type HandoverReply struct {
	Shard ID `cbor:"1,keyasint"`
	// From is the tenure that has ended.
	From Holder `cbor:"2,keyasint"`
	// Nonce is copied from the HandoverRequest.
	Nonce uint64 `cbor:"3,keyasint"`
	// Remaining is how long the ended tenure could still have lasted.
	Remaining time.Duration `cbor:"4,keyasint"`
	// State is the state of the previous owner, encoded by the package that uses the
	// lease.
	State []byte `cbor:"5,keyasint"`
}

// Message is a message between two instances. Exactly one field is set.
type Message struct {
	VoteRequest     *VoteRequest     `cbor:"1,keyasint,omitempty"`
	VoteReply       *VoteReply       `cbor:"2,keyasint,omitempty"`
	Release         *Release         `cbor:"3,keyasint,omitempty"`
	ReadRequest     *ReadRequest     `cbor:"4,keyasint,omitempty"`
	ReadReply       *ReadReply       `cbor:"5,keyasint,omitempty"`
	HandoverOffer   *HandoverOffer   `cbor:"6,keyasint,omitempty"`
	HandoverRequest *HandoverRequest `cbor:"7,keyasint,omitempty"`
	HandoverReply   *HandoverReply   `cbor:"8,keyasint,omitempty"`
}

// Envelope is a message with its recipient.
type Envelope struct {
	// To is the recipient.
	To fleetconfig.InstanceAddress
	// Message is the message to send.
	Message Message
}
