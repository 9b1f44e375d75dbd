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
	// heldSince is the time at which it received held.
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
	// incarnation of the process has served from a higher version, or held a higher
	// version that counted towards its acceptance.
	recoveryVersion uint64
	recoveryKnown   bool

	// satisfied is the latest attestation that served satisfies, unsatisfied the
	// latest that it does not satisfy yet; see satisfies.
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
	// The reply was created after the poll was sent, so the attestation is at least
	// as recent as the time computed here. A negative age would date it after the
	// poll.
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

// recordAttestation stores an attestation.
func (n *Node) recordAttestation(attestation Attestation, asOf time.Time) {
	// The attestation of a deposed leader is valid as of its time. It is ignored all
	// the same, in case the leader measured its leadership by a clock that had
	// stopped.
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

// Ready reports whether the instance holds a version that is at least as high as any
// that was accepted before it started. It counts as a holder towards attestations
// only then.
func (n *Node) Ready() bool { return n.recoveryKnown && n.held.Version >= n.recoveryVersion }

// Serving returns the version that the instance may serve from, or false if there is
// none yet.
func (n *Node) Serving() (uint64, bool) { return n.served, n.serving }

// Held returns the latest committed revision that the instance has.
func (n *Node) Held() Revision { return n.held }

// Accepted returns the highest version known to be accepted. If it is above that of
// Held, the instance should fetch it.
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
// wait, because the attestation may have expired while the process was suspended.
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

// Age at which an instance polls the holders directly to renew its attestation, as a
// fraction of the maximum age. Holders poll earlier than others, because the others
// receive the new attestation from them.
const (
	holderRenewalFraction = 0.25
	renewalFraction       = 0.625
)

// urgentPollFactor is the factor by which an instance polls more often once its
// attestation is older than renewalAge.
const urgentPollFactor = 4

// PollInterval returns the time until the next poll, given the usual interval. An
// instance whose attestation is about to expire polls more often, so that it stays
// current even if a few polls in a row are lost.
func (n *Node) PollInterval(usual time.Duration, now time.Time) time.Duration {
	if n.satisfied == nil || now.Sub(n.satisfied.asOf) > n.renewalAge() {
		return usual / urgentPollFactor
	}
	return usual
}

// renewalAge returns the age from which on the attestation should be renewed.
func (n *Node) renewalAge() time.Duration {
	fraction := renewalFraction
	if n.held.IncludesHolder(n.id) {
		fraction = holderRenewalFraction
	}
	return time.Duration(fraction * float64(n.maxAge))
}

// HoldersToPoll returns the holders to poll in addition to the usual neighbour: all
// other holders and former holders if the attestation is older than renewalAge,
// otherwise none.
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
