package membership

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// MessageKind says what a Message asks or answers.
type MessageKind uint8

const (
	// Ping asks for an Ack.
	Ping MessageKind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target and to pass the answer on.
	PingRequest
	// IndirectAck answers a PingRequest.
	IndirectAck
	// LoadReport tells how the backend servers beside the sender fare. It needs no
	// answer.
	LoadReport
)

// Message is one datagram. Updates ride on every message.
type Message struct {
	// Kind says what the message is.
	Kind MessageKind `cbor:"1,keyasint"`
	// From is the sender.
	From fleetconfig.InstanceID `cbor:"2,keyasint"`
	// SeqNo pairs an answer with its question.
	SeqNo uint64 `cbor:"3,keyasint"`
	// Target is the instance that a PingRequest or IndirectAck is about.
	Target fleetconfig.InstanceID `cbor:"4,keyasint,omitempty"`
	// TargetAddress is the address of Target, for a receiver that does not know
	// it yet.
	TargetAddress string `cbor:"5,keyasint,omitempty"`
	// ReplyAddress is the fleet address of the sender.
	ReplyAddress string `cbor:"6,keyasint,omitempty"`
	// Updates are records and suspicions that spread.
	Updates []Update `cbor:"7,keyasint,omitempty"`
	// Loads are set in a LoadReport.
	Loads []ServerLoad `cbor:"8,keyasint,omitempty"`
}

// Update spreads one instance's record or a doubt about it.
type Update struct {
	// Record is the newest record that the sender knows.
	Record Record `cbor:"1,keyasint"`
	// Liveness is the sender's view of that record.
	Liveness Liveness `cbor:"2,keyasint"`
}

// Envelope is a message with its destination.
type Envelope struct {
	// Address is the fleet address of the receiver.
	Address string
	// Message is what to send.
	Message Message
}

// DigestEntry names the newest record that an instance knows of another one.
type DigestEntry struct {
	// ID is the instance that the entry is about.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation and Sequence identify the record.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence orders the records of one incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Liveness is the view of that record.
	Liveness Liveness `cbor:"4,keyasint"`
}

// DigestRequest starts a digest exchange. Entries stay empty while the sender
// only asks whether the fingerprints agree.
type DigestRequest struct {
	// Fingerprint is a hash over all entries.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// BucketFingerprints are the hashes over the entries of each part, in order. They are
	// sent in place of entries.
	BucketFingerprints []uint64 `cbor:"4,keyasint,omitempty"`
	// Buckets are the parts that Entries cover, all when there are none.
	Buckets []uint8 `cbor:"5,keyasint,omitempty"`
	// Entries are the sender's records in short.
	Entries []DigestEntry `cbor:"2,keyasint,omitempty"`
	// Updates are records that the receiver asked for before.
	Updates []Update `cbor:"3,keyasint,omitempty"`
}

// DigestReply answers a DigestRequest.
type DigestReply struct {
	// InSync says that the fingerprints agree and there is nothing to exchange.
	InSync bool `cbor:"1,keyasint"`
	// DifferingBuckets are the parts whose fingerprints differ, when those were asked for.
	DifferingBuckets []uint8 `cbor:"4,keyasint,omitempty"`
	// Updates are records that the sender of the request lacks.
	Updates []Update `cbor:"2,keyasint,omitempty"`
	// MissingRecords are the instances whose records the replier lacks.
	MissingRecords []fleetconfig.InstanceID `cbor:"3,keyasint,omitempty"`
}
