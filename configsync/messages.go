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

// pollRequest asks for the answer of package currency and for news.
type pollRequest struct {
	// Have is the version that the sender holds.
	Have uint64 `cbor:"1,keyasint"`
	// WantHeld asks for what the receiver holds, in place of what it serves from.
	WantHeld bool `cbor:"2,keyasint,omitempty"`
}

// pollReply answers a poll or an offer.
type pollReply struct {
	// Currency is for package currency.
	Currency currency.PollReply `cbor:"1,keyasint"`
	// Newest is the version that the receiver can give.
	Newest uint64 `cbor:"2,keyasint"`
	// Accepted says that Newest is accepted.
	Accepted bool `cbor:"3,keyasint,omitempty"`
	// Delta leads from Have to Newest. It is nil when there is no news, or when the
	// sender is too far behind and needs a snapshot.
	Delta *fleetconfig.Delta `cbor:"4,keyasint,omitempty"`
}

// offerRequest offers a newer version.
type offerRequest struct {
	// Delta leads to the version. It is nil when the sender has no delta for the
	// receiver.
	Delta *fleetconfig.Delta `cbor:"1,keyasint,omitempty"`
	// Accepted is the highest version that the sender knows to be accepted.
	Accepted uint64 `cbor:"2,keyasint,omitempty"`
	// Leader says that the sender is the leader of control.
	Leader bool `cbor:"3,keyasint,omitempty"`
}

// snapshotRequest asks for a whole document.
type snapshotRequest struct {
	// WantHeld asks for what the receiver holds, in place of what it serves from.
	WantHeld bool `cbor:"1,keyasint,omitempty"`
}

// snapshotReply is a whole document.
type snapshotReply struct {
	// Accepted says that the version is accepted.
	Accepted bool `cbor:"1,keyasint,omitempty"`
	// Document is the encoded document.
	Document []byte `cbor:"2,keyasint"`
}
