package currency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// DefaultRevocationBound is the longest time from the acceptance of a withdrawal of a key to
// the last request that is admitted with it, where the settings state no other.
const DefaultRevocationBound = 5 * time.Second

// MaxAttestationAge returns how long an instance is current after the time of an attestation.
// It is four fifths of the promise: the rest is for clocks that run apart by up to a
// tenth and for what an admitted request needs to leave the ingress.
func MaxAttestationAge(promise time.Duration) time.Duration { return promise * 4 / 5 }

// RetryAfter is when a caller that was refused for want of currency may come
// back.
const RetryAfter = time.Second

// Revision is what this package needs to know of one version of the document.
type Revision struct {
	// Version is the version of the document.
	Version uint64
	// Holders are the holders that the document names.
	Holders []fleetconfig.InstanceID
	// FormerHolders are the holders that the version replaces, if it does.
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

// Attestation says that, as of a time, no version above Highest was accepted.
// The time is not part of it: the receiver works it out from its own clock.
type Attestation struct {
	// Term is the term of the leader that made it, or 0 when a majority of the
	// holders did.
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// Accepted is a version that is accepted, or 0.
	Accepted uint64 `cbor:"2,keyasint,omitempty"`
	// Highest is the version that nothing accepted is above.
	Highest uint64 `cbor:"3,keyasint,omitempty"`
}

// PollReply is the reply to a poll, as far as this package is concerned.
type PollReply struct {
	// Incarnation identifies the life of the process that answers.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Ready says that the instance holds all that was accepted before its start.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// Held is the newest committed version that the instance holds.
	Held uint64 `cbor:"3,keyasint"`
	// Serving says that the instance serves from a version.
	Serving bool `cbor:"4,keyasint,omitempty"`
	// Served is the version that it serves from.
	Served uint64 `cbor:"5,keyasint,omitempty"`
	// Attested says that Attestation is set.
	Attested bool `cbor:"6,keyasint,omitempty"`
	// Attestation is the youngest attestation that Served meets.
	Attestation Attestation `cbor:"7,keyasint"`
	// Age is how old the attestation was when the answer was made.
	Age time.Duration `cbor:"8,keyasint,omitempty"`
}

// majority returns the smallest majority of n members.
func majority(n int) int { return n/2 + 1 }
