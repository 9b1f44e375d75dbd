package configsync

import (
	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Paths of the calls.
const (
	pathPoll     = "/fleet/config/poll"
	pathOffer    = "/fleet/config/offer"
	pathSnapshot = "/fleet/config/snapshot"
)

// pollRequest asks for the currency state of the receiver and for a newer version.
type pollRequest struct {
	// Have is the version that the sender holds.
	Have uint64 `cbor:"1,keyasint"`
	// WantHeld asks for the version that the receiver holds instead of the one that it
	// serves from.
	WantHeld bool `cbor:"2,keyasint,omitempty"`
}

// pollReply is the reply to a poll or an offer.
type pollReply struct {
	// Currency is the part of the reply that package currency uses.
	Currency currency.PollReply `cbor:"1,keyasint"`
	// Newest is the latest version that the receiver of the poll provides.
	Newest uint64 `cbor:"2,keyasint"`
	// Accepted reports whether Newest is accepted.
	Accepted bool `cbor:"3,keyasint,omitempty"`
	// Delta is the delta to Newest from the version of the instance that receives this
	// reply. It is nil if there is no newer version, or if that instance is too far behind
	// and needs a snapshot. In the reply to an offer it is always nil.
	Delta *fleetconfig.Delta `cbor:"4,keyasint,omitempty"`
}

// offerRequest offers a newer version.
type offerRequest struct {
	// Delta leads to the offered version. It is nil if the sender has no delta from the
	// version of the receiver.
	Delta *fleetconfig.Delta `cbor:"1,keyasint,omitempty"`
	// Accepted is the highest version that the sender knows to be accepted.
	Accepted uint64 `cbor:"2,keyasint,omitempty"`
	// Leader reports whether the sender is the leader of control.
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
	// Accepted reports whether the version is accepted.
	Accepted bool `cbor:"1,keyasint,omitempty"`
	// Document is the encoded document.
	Document []byte `cbor:"2,keyasint"`
}
