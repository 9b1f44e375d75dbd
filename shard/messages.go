package shard

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Holder identifies one tenure of a lease. A restarted process, or one that has
// lost the lease and won it again, is another holder.
type Holder struct {
	// Instance is the instance that holds.
	Instance fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation is a random number of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Term counts the tenures of the process. It is never used twice.
	Term uint64 `cbor:"3,keyasint"`
}

// VoteRequest asks a replica for its vote, or for the renewal of it.
type VoteRequest struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// Epoch is the epoch of the candidate's map.
	Epoch uint64 `cbor:"2,keyasint"`
	// Fingerprint identifies the replicas in the candidate's map.
	Fingerprint uint64 `cbor:"3,keyasint"`
	// Holder is the tenure that the vote is for.
	Holder Holder `cbor:"4,keyasint"`
	// Round identifies the request in the reply.
	Round uint64 `cbor:"5,keyasint"`
	// Predecessor is the tenure that has handed the lease over to the candidate, nil
	// when there is none.
	Predecessor *Holder `cbor:"6,keyasint,omitempty"`
}

// VoteResult is a replica's answer to a VoteRequest.
type VoteResult uint8

const (
	// VoteRefusedNotReady means that the replica lacks memory and waits.
	VoteRefusedNotReady VoteResult = iota
	// VoteRefusedHeld means that the replica's vote is given to another holder.
	VoteRefusedHeld
	// VoteRefusedStaleMap means that the candidate's map is older than the replica's.
	VoteRefusedStaleMap
	// VoteGranted means that the vote is given.
	VoteGranted
)

// VoteReply answers a VoteRequest.
type VoteReply struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// Round is copied from the request.
	Round uint64 `cbor:"2,keyasint"`
	// Result says whether the vote is given.
	Result VoteResult `cbor:"3,keyasint"`
	// Remaining is how long the reason of the refusal will last at most.
	Remaining time.Duration `cbor:"4,keyasint,omitempty"`
	// PredecessorRemaining is how long the lease of a tenure that was handed over could still have
	// lasted, by the replica's clock.
	PredecessorRemaining time.Duration `cbor:"5,keyasint,omitempty"`
}

// Release gives votes back that did not make a majority.
type Release struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// Holder is the tenure that gives up.
	Holder Holder `cbor:"2,keyasint"`
}

// ReadRequest asks a replica for the newest epoch that it knows.
type ReadRequest struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// Nonce is copied into the reply; it tells apart incarnations of the reader.
	Nonce uint64 `cbor:"2,keyasint"`
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// Nonce is copied from the request.
	Nonce uint64 `cbor:"2,keyasint"`
	// Epoch is the newest epoch that the replica knows.
	Epoch uint64 `cbor:"3,keyasint"`
	// Fingerprint identifies the replicas in that epoch.
	Fingerprint uint64 `cbor:"4,keyasint"`
}

// HandoverOffer tells the successor that the owner is about to stop.
type HandoverOffer struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// From is the tenure that is about to end.
	From Holder `cbor:"2,keyasint"`
}

// HandoverRequest asks the owner to end its tenure in favour of the sender.
type HandoverRequest struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// From is the tenure to end.
	From Holder `cbor:"2,keyasint"`
	// Nonce is copied into the Transfer.
	Nonce uint64 `cbor:"3,keyasint"`
}

// HandoverReply hands a lease over. The sender has stopped acting as the owner before
// it sends it.
type HandoverReply struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// From is the tenure that has ended.
	From Holder `cbor:"2,keyasint"`
	// Nonce is copied from the TakeOver.
	Nonce uint64 `cbor:"3,keyasint"`
	// Remaining is how long the ended tenure could still have lasted.
	Remaining time.Duration `cbor:"4,keyasint"`
	// State is what the old owner knew, encoded by the package that uses the lease.
	State []byte `cbor:"5,keyasint"`
}

// Message is one message between two instances. Exactly one field is set.
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

// Envelope is a message with its receiver.
type Envelope struct {
	// To is the receiver.
	To fleetconfig.InstanceAddress
	// Message is what to send.
	Message Message
}
