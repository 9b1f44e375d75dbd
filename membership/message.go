package membership

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// MessageKind is the kind of a Message.
type MessageKind uint8

const (
	// Ping requests an Ack.
	Ping MessageKind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target and to report an answer with an
	// IndirectAck.
	PingRequest
	// IndirectAck answers a PingRequest after Target has answered the relayed
	// ping.
	IndirectAck
	// LoadReport carries the loads of the backend servers registered with the
	// sender. It is not answered.
	LoadReport
	// Payload carries a message of another package. It is not answered.
	Payload
)

// Message is one datagram. Every message can carry updates.
type Message struct {
	// Kind is the kind of the message.
	Kind MessageKind `cbor:"1,keyasint"`
	// From is the sender.
	From fleetconfig.InstanceID `cbor:"2,keyasint"`
	// SeqNo matches an answer to its request. It is not set in a LoadReport or Payload.
	SeqNo uint64 `cbor:"3,keyasint,omitempty"`
	// Target is the instance to ping in a PingRequest, and the one that answered
	// in an IndirectAck. In a Ping and an Ack it is the receiver, or empty if its
	// ID is not known; it is not sent (Wire).
	Target fleetconfig.InstanceID `cbor:"4,keyasint,omitempty"`
	// TargetAddress is the address of Target, in case the receiver does not know
	// it.
	TargetAddress string `cbor:"5,keyasint,omitempty"`
	// ReplyAddress is the fleet address (Record.Address) of the sender. It is not
	// set in a LoadReport, and not sent in answers (Wire).
	ReplyAddress string `cbor:"6,keyasint,omitempty"`
	// Updates are the records and suspicions to disseminate.
	Updates []Update `cbor:"7,keyasint,omitempty"`
	// Loads is set in a LoadReport.
	Loads []ServerLoad `cbor:"8,keyasint,omitempty"`
	// Relay asks the receiver of a LoadReport to pass it on inside its failure domain.
	Relay bool `cbor:"12,keyasint,omitempty"`
	// Payload is set in a Payload.
	Payload []byte `cbor:"9,keyasint,omitempty"`
	// Incarnation and UptimeMillis are the incarnation of the sender's process and the
	// time in milliseconds since its start. They are not set in a LoadReport or Payload.
	Incarnation  uint64 `cbor:"10,keyasint,omitempty"`
	UptimeMillis uint64 `cbor:"11,keyasint,omitempty"`
}

// Wire returns the message as it is sent, without the fields that the receiver of a message of
// its kind does not read.
func (m *Message) Wire() Message {
	sent := *m
	switch m.Kind {
	case Ping:
		sent.Target = ""
	case Ack:
		sent.Target, sent.ReplyAddress = "", ""
	case IndirectAck:
		sent.ReplyAddress = ""
	}
	return sent
}

// Update carries an instance's record and the sender's view of its liveness.
type Update struct {
	// Record is the newest record known to the sender.
	Record Record `cbor:"1,keyasint"`
	// Liveness is the sender's view of the instance.
	Liveness Liveness `cbor:"2,keyasint"`
	// UptimeMillis is a lower bound of the time in milliseconds since the start of the
	// process of the record's incarnation. Zero when the sender knows none.
	UptimeMillis uint64 `cbor:"3,keyasint,omitempty"`
}

// Envelope is a message with its destination.
type Envelope struct {
	// Address is the fleet address of the receiver, as in Record.Address.
	Address string
	// Message is the message to send.
	Message Message
}

// DigestEntry identifies the newest record that an instance knows of a member, and
// carries the liveness.
type DigestEntry struct {
	// ID is the instance that the entry is about.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the record.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence orders the records of one incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Liveness is the sender's view of the instance that the entry is about.
	Liveness Liveness `cbor:"4,keyasint"`
}

// DigestRequest is a request of a digest exchange. The first request carries only
// fingerprints, the second the entries of the buckets that differ, and the last
// the updates that the receiver asked for.
type DigestRequest struct {
	// Fingerprint is a hash of all entries.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// BucketFingerprints are the hashes of the entries of each bucket, in order.
	// They are sent in place of entries.
	BucketFingerprints []uint64 `cbor:"4,keyasint,omitempty"`
	// Buckets are the buckets that Entries covers. Empty means all.
	Buckets []uint8 `cbor:"5,keyasint,omitempty"`
	// Entries identify the sender's records.
	Entries []DigestEntry `cbor:"2,keyasint,omitempty"`
	// Updates carry the records that the receiver asked for in MissingRecords.
	Updates []Update `cbor:"3,keyasint,omitempty"`
}

// DigestReply answers a DigestRequest.
type DigestReply struct {
	// InSync reports that the fingerprints are equal and there is nothing to
	// exchange.
	InSync bool `cbor:"1,keyasint"`
	// DifferingBuckets are the buckets whose fingerprints differ, in the reply to
	// a request with BucketFingerprints.
	DifferingBuckets []uint8 `cbor:"4,keyasint,omitempty"`
	// Updates carry the records that the sender of the request lacks.
	Updates []Update `cbor:"2,keyasint,omitempty"`
	// MissingRecords are the instances whose newest records the sender of the
	// reply lacks.
	MissingRecords []fleetconfig.InstanceID `cbor:"3,keyasint,omitempty"`
}
