package currency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// DefaultRevocationBound is the maximum time from the acceptance of a key's withdrawal
// to the last request that is admitted with the key, unless the settings state another
// maximum.
const DefaultRevocationBound = 5 * time.Second

// MaxAttestationAge returns how long an instance is current after the time of an
// attestation. It is four fifths of the revocation bound. The last fifth allows for
// clock rates that differ by up to a tenth and for the time that an admitted request
// needs to leave the ingress.
func MaxAttestationAge(revocationBound time.Duration) time.Duration { return revocationBound * 4 / 5 }

// RetryAfter is the delay after which a caller may retry if it was refused because the
// instance is not current.
const RetryAfter = time.Second

// Revision is the part of a document version that this package uses.
type Revision struct {
	// Version is the version of the document.
	Version uint64
	// Holders are the holders that the document names; see fleetconfig.Document.
	Holders []fleetconfig.InstanceID
	// FormerHolders are the holders that the version replaces, if any.
	FormerHolders []fleetconfig.InstanceID
}

// RevisionOf returns the revision of a document.
func RevisionOf(document *fleetconfig.Document) Revision {
	return Revision{
		Version:       document.Version,
		Holders:       instanceIDs(document.Holders),
		FormerHolders: instanceIDs(document.FormerHolders),
	}
}

func instanceIDs(addresses []fleetconfig.InstanceAddress) []fleetconfig.InstanceID {
	ids := make([]fleetconfig.InstanceID, len(addresses))
	for i, address := range addresses {
		ids[i] = address.ID
	}
	return ids
}

// IncludesHolder reports whether the instance is a holder or a former holder.
func (r *Revision) IncludesHolder(id fleetconfig.InstanceID) bool {
	return slices.Contains(r.Holders, id) || slices.Contains(r.FormerHolders, id)
}

// Attestation states that, as of some time, no version above Highest had been
// accepted. The time is not included; the receiver computes it by its own clock.
type Attestation struct {
	// Term is the term of the leader that created the attestation, or 0 if a majority
	// of the holders did.
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// Accepted is a version known to be accepted, or 0.
	Accepted uint64 `cbor:"2,keyasint,omitempty"`
	// Highest is an upper bound on the accepted versions as of the time of the
	// attestation.
	Highest uint64 `cbor:"3,keyasint,omitempty"`
}

// PollReply is the part of the reply to a poll that this package uses.
type PollReply struct {
	// Incarnation identifies the process that replies. A restarted instance has
	// another incarnation.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Ready reports whether the instance holds a version that is at least as high as
	// every version that was accepted before the instance started.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// Held is the latest committed version that the instance holds.
	Held uint64 `cbor:"3,keyasint"`
	// Serving reports whether the instance has a version to serve from.
	Serving bool `cbor:"4,keyasint,omitempty"`
	// Served is the version that the instance serves from, valid if Serving is set.
	Served uint64 `cbor:"5,keyasint,omitempty"`
	// Attested reports whether Attestation is set.
	Attested bool `cbor:"6,keyasint,omitempty"`
	// Attestation is the latest attestation that Served satisfies: its Highest is not
	// above Served.
	Attestation Attestation `cbor:"7,keyasint"`
	// Age is the age of the attestation when the reply was created.
	Age time.Duration `cbor:"8,keyasint,omitempty"`
}

// majority returns the smallest majority of n members.
func majority(n int) int { return n/2 + 1 }
