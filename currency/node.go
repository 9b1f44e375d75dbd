package currency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// timedAttestation is an attestation with its time by the local clock.
type timedAttestation struct {
	attestation Attestation
	asOf        time.Time
}

// Node determines whether the configuration of one instance is current, and which
// version it serves from. It is not safe for concurrent use. All times must come from
// one monotonic clock, which must continue while the process is suspended. The size of
// the state is bounded by the number of holders.
type Node struct {
	id          fleetconfig.InstanceID
	incarnation uint64
	startedAt   time.Time
	// maxAge is how long the instance is current after the time of an attestation.
	maxAge time.Duration

	// held is the latest committed revision that the instance has.
	held Revision
	// heldSince is the time at which the instance received the held revision.
	heldSince time.Time
	// served is the version that the instance serves from, valid if serving is set.
	served  uint64
	serving bool

	// accepted is the highest version known to be accepted.
	accepted uint64
	// term is the highest leader term seen in an attestation.
	term uint64
	// recoveryVersion is the minimum of Highest over the attestations whose time is
	// not before the start of the process, valid if recoveryKnown is set. No previous
	// incarnation of the instance has served from a higher version, or was counted as
	// a holder of a higher version when that version was accepted.
	recoveryVersion uint64
	recoveryKnown   bool

	// satisfied is the latest attestation that the served version satisfies.
	// unsatisfied is the latest attestation that it does not satisfy yet. See
	// Node.satisfies.
	satisfied   *timedAttestation
	unsatisfied *timedAttestation

	quorum quorum
}

// NewNode returns the state of an instance at its start. The incarnation must differ
// from that of every other process of the instance. The instance holds version 0,
// with which every fleet starts. revocationBound must be the same on every instance.
func NewNode(id fleetconfig.InstanceID, incarnation uint64, revocationBound time.Duration, startedAt time.Time) *Node {
	return &Node{id: id, incarnation: incarnation, startedAt: startedAt, maxAge: MaxAttestationAge(revocationBound), heldSince: startedAt}
}

// StoreRevision records a committed revision that the instance has received.
func (n *Node) StoreRevision(revision Revision, now time.Time) {
	if revision.Version > n.held.Version {
		n.held, n.heldSince = revision, now
		n.quorum.retain(&n.held)
	}
	n.update(now)
}

// MarkAccepted records that a version is accepted. An accepted version remains
// accepted, so the information may be of any age.
func (n *Node) MarkAccepted(version uint64, now time.Time) {
	n.accepted = max(n.accepted, version)
	n.update(now)
}

// StoreServedRevision records a revision that another instance serves from and that
// is therefore accepted.
func (n *Node) StoreServedRevision(revision Revision, now time.Time) {
	n.accepted = max(n.accepted, revision.Version)
	n.StoreRevision(revision, now)
}

// HandlePollReply processes the reply of another instance to a poll that was sent at
// sentAt.
func (n *Node) HandlePollReply(from fleetconfig.InstanceID, reply *PollReply, sentAt, now time.Time) {
	if n.held.IncludesHolder(from) && from != n.id {
		n.quorum.handleReply(from, reply, sentAt, now)
	}
	if reply.Serving {
		n.accepted = max(n.accepted, reply.Served)
	}
	// The reply was created after the poll was sent, so the attestation is at least as
	// recent as the time computed here. With a negative age the computed time would be
	// after the poll was sent, so such a reply's attestation is ignored.
	if reply.Attested && reply.Age >= 0 {
		n.recordAttestation(reply.Attestation, sentAt.Add(-reply.Age))
	}
	n.update(now)
}

// HandleLeaderAttestation processes the attestation of the leader on this instance. A
// majority of the control instances must have confirmed the leader at asOf.
func (n *Node) HandleLeaderAttestation(attestation Attestation, asOf, now time.Time) {
	n.recordAttestation(attestation, asOf)
	n.update(now)
}

// recordAttestation stores what is known from an attestation: the latest term, the
// highest accepted version, recoveryVersion, and the attestation itself if it is the
// latest.
func (n *Node) recordAttestation(attestation Attestation, asOf time.Time) {
	// An attestation of a deposed leader states what was true at the attestation's
	// time, so it could be used. It is ignored nevertheless, in case the leader
	// measured the time of its leadership by a clock that had stopped.
	if attestation.Term != 0 && attestation.Term < n.term {
		return
	}
	n.term = max(n.term, attestation.Term)
	n.accepted = max(n.accepted, attestation.Accepted)
	if !asOf.Before(n.startedAt) && (!n.recoveryKnown || attestation.Highest < n.recoveryVersion) {
		n.recoveryVersion, n.recoveryKnown = attestation.Highest, true
	}
	slot := &n.unsatisfied
	if n.satisfies(attestation) {
		slot = &n.satisfied
	}
	if *slot == nil || asOf.After((*slot).asOf) {
		*slot = &timedAttestation{attestation: attestation, asOf: asOf}
	}
}

// satisfies reports whether the instance serves from a version that is not below the
// attestation's Highest.
func (n *Node) satisfies(attestation Attestation) bool {
	return n.serving && n.served >= attestation.Highest
}

// update derives the accepted version, an attestation by the holders and the served
// version from the known facts.
func (n *Node) update(now time.Time) {
	if n.acceptedByHolders(now) {
		n.accepted = max(n.accepted, n.held.Version)
	}
	if attestation, asOf, made := n.holderAttestation(now); made {
		n.recordAttestation(attestation, asOf)
	}
	// Invariant: served never decreases, also across restarts of the process, because
	// the served version is accepted and held.Version is at least recoveryVersion.
	if n.Ready() && n.accepted >= n.held.Version {
		n.served, n.serving = n.held.Version, true
	}
	if n.unsatisfied != nil && n.satisfies(n.unsatisfied.attestation) {
		if n.satisfied == nil || n.unsatisfied.asOf.After(n.satisfied.asOf) {
			n.satisfied = n.unsatisfied
		}
		n.unsatisfied = nil
	}
}

// Ready reports whether the instance holds a version that is at least as high as every
// version that was accepted before the instance started. Only a ready holder counts
// towards the majority for an attestation.
func (n *Node) Ready() bool { return n.recoveryKnown && n.held.Version >= n.recoveryVersion }

// Serving returns the version that the instance may serve from, or false if there is
// none yet.
func (n *Node) Serving() (uint64, bool) { return n.served, n.serving }

// Held returns the latest committed revision that the instance has.
func (n *Node) Held() Revision { return n.held }

// Accepted returns the highest version known to be accepted. If that version is above
// the version of Held, the instance should fetch it.
func (n *Node) Accepted() uint64 { return n.accepted }

// CurrentAsOf returns the time of the latest satisfied attestation, or false if there
// has been none.
func (n *Node) CurrentAsOf() (time.Time, bool) {
	if n.satisfied == nil {
		return time.Time{}, false
	}
	return n.satisfied.asOf, true
}

// Current reports whether the instance may admit requests with keys, and if not, when
// a caller may retry. It must be called again after any wait with the time after the
// wait, because the latest satisfied attestation may have become older than allowed
// meanwhile, for example while the process was suspended.
func (n *Node) Current(now time.Time) (current bool, retryAfter time.Duration) {
	if n.satisfied == nil || now.Sub(n.satisfied.asOf) > n.maxAge {
		return false, RetryAfter
	}
	return true, 0
}

// PollReply returns the reply to a poll.
func (n *Node) PollReply(now time.Time) *PollReply {
	reply := &PollReply{
		Incarnation: n.incarnation,
		Ready:       n.Ready(),
		Held:        n.held.Version,
		Serving:     n.serving,
		Served:      n.served,
	}
	if n.satisfied != nil {
		reply.Attested = true
		reply.Attestation = n.satisfied.attestation
		reply.Age = max(0, now.Sub(n.satisfied.asOf))
	}
	return reply
}

// Age of the latest satisfied attestation at which an instance polls the holders
// directly to get a later one, as a fraction of the maximum age. Holders poll earlier
// than other instances, because the other instances receive the new attestation from
// the holders.
const (
	holderRenewalFraction = 0.25
	renewalFraction       = 0.625
)

// urgentPollFactor is the factor by which an instance polls more often once its
// attestation is older than renewalAge.
const urgentPollFactor = 4

// PollInterval returns the time until the next poll, given the usual interval. An
// instance whose latest satisfied attestation is older than renewalAge, or that has
// none, polls more often, so that it stays current even if a few polls in a row are
// lost.
func (n *Node) PollInterval(usual time.Duration, now time.Time) time.Duration {
	if n.satisfied == nil || now.Sub(n.satisfied.asOf) > n.renewalAge() {
		return usual / urgentPollFactor
	}
	return usual
}

// renewalAge returns the age above which the latest satisfied attestation should be
// replaced by a later one.
func (n *Node) renewalAge() time.Duration {
	fraction := renewalFraction
	if n.held.IncludesHolder(n.id) {
		fraction = holderRenewalFraction
	}
	return time.Duration(fraction * float64(n.maxAge))
}

// HoldersToPoll returns the holders to poll in addition to the usual neighbour: all
// other holders and former holders if the latest satisfied attestation is older than
// renewalAge or there is none, otherwise nil.
func (n *Node) HoldersToPoll(now time.Time) []fleetconfig.InstanceID {
	if n.satisfied != nil && now.Sub(n.satisfied.asOf) <= n.renewalAge() {
		return nil
	}
	var holders []fleetconfig.InstanceID
	for _, id := range slices.Concat(n.held.Holders, n.held.FormerHolders) {
		if id != n.id && !slices.Contains(holders, id) {
			holders = append(holders, id)
		}
	}
	return holders
}
