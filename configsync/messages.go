package configsync

import (
	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// Paths of the calls that distribute versions.
const (
	pathPoll     = "/fleet/config/poll"
	pathOffer    = "/fleet/config/offer"
	pathSnapshot = "/fleet/config/snapshot"
)

// pollRequest asks for the receiver's latest attestation and the versions that it holds
// and serves from (see currency.PollReply), and for a delta to a newer version.
type pollRequest struct {
	// Have is the version that the sender holds.
	Have uint64 `cbor:"1,keyasint"`
	// WantHeld asks for the version that the receiver holds instead of the one that it
	// serves from.
	WantHeld bool `cbor:"2,keyasint,omitempty"`
	// NoDelta asks for a reply without a delta. The sender polls several instances at once and
	// asks for the delta again from the one that it chooses.
	NoDelta bool `cbor:"3,keyasint,omitempty"`
}

// pollReply is the reply to a poll or an offer.
type pollReply struct {
	// Currency has the attestation and the versions from which package currency determines
	// what is accepted and current.
	Currency currency.PollReply `cbor:"1,keyasint"`
	// Newest is the version that the sender of this reply serves from. If the poll has
	// WantHeld set, and in the reply to an offer, it is the version that the sender holds.
	Newest uint64 `cbor:"2,keyasint"`
	// Accepted reports whether the sender of this reply serves from Newest, so that Newest
	// is accepted. If it is false, Newest may or may not be accepted.
	Accepted bool `cbor:"3,keyasint,omitempty"`
	// Delta is the delta to Newest from the version of the instance that receives this
	// reply. It is nil if there is no newer version, if DeltaUnderWay is set, if the poll has
	// NoDelta set, or if that instance is too far behind and needs a snapshot. In the reply to an offer it is
	// always nil.
	Delta *fleetconfig.PackedDelta `cbor:"4,keyasint,omitempty"`
	// DeltaUnderWay reports that the delta to Newest is being sent to that instance by
	// another call, so that it needs no snapshot.
	DeltaUnderWay bool `cbor:"5,keyasint,omitempty"`
}

// offerRequest offers a newer version. The leader also sends it without a delta, to
// announce the highest accepted version and to get the reply.
type offerRequest struct {
	// Delta is the delta to the offered version. It is nil if the sender has no delta from
	// the version of the receiver, or if the receiver has the offered version already.
	Delta *fleetconfig.PackedDelta `cbor:"1,keyasint,omitempty"`
	// Accepted is the highest version that the sender knows to be accepted.
	Accepted uint64 `cbor:"2,keyasint,omitempty"`
	// Leader reports whether the sender is the leader of the control instances.
	Leader bool `cbor:"3,keyasint,omitempty"`
}

// snapshotRequest asks for a complete document.
type snapshotRequest struct {
	// WantHeld asks for the version that the receiver holds instead of the one that it
	// serves from.
	WantHeld bool `cbor:"1,keyasint,omitempty"`
}

// snapshotReply contains a complete document.
type snapshotReply struct {
	// Accepted reports whether the sender of this reply serves from the document, so that
	// its version is accepted. If it is false, the version may or may not be accepted.
	Accepted bool `cbor:"1,keyasint,omitempty"`
	// Document is the encoded document.
	Document codec.Packed `cbor:"2,keyasint"`
}
