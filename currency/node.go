package currency

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// dated is an attestation with the time that it holds as of, by the own clock.
type dated struct {
	attestation Attestation
	asOf        time.Time
}

// Node is the state of one instance. It is not safe for concurrent use. All
// times come from one monotonic clock, which must go on while the process is
// frozen. Its state is bounded by the number of holders.
type Node struct {
	id          fleetconfig.InstanceID
	incarnation uint64
	startedAt   time.Time
	// limit is how long the instance is current after the time of an attestation.
	limit time.Duration

	// held is the newest committed revision that the instance has.
	held Revision
	// heldSince is since when it has it.
	heldSince time.Time
	// served is the version that it serves from, once serving is set.
	served  uint64
	serving bool

	// accepted is the highest version that is known to be accepted.
	accepted uint64
	// term is the highest term of an attestation.
	term uint64
	// floor is the lowest Highest of an attestation from after the start, once
	// floorKnown is set. It is at least what the former life of the process may
	// have served from or held for an acceptance.
	floor      uint64
	floorKnown bool

	// met is the youngest attestation that served meets, unmet the youngest that
	// it does not meet yet.
	met   *dated
	unmet *dated

	quorum quorum
}

// NewNode returns the state of an instance that starts. The incarnation differs
// from that of every other life of the process. The instance holds version 0,
// which every fleet starts from. promise is the same on every instance.
func NewNode(id fleetconfig.InstanceID, incarnation uint64, promise time.Duration, startedAt time.Time) *Node {
	return &Node{id: id, incarnation: incarnation, startedAt: startedAt, limit: MaxAttestationAge(promise), heldSince: startedAt}
}

// StoreRevision takes a committed revision that the instance now has.
func (n *Node) StoreRevision(revision Revision, now time.Time) {
	if revision.Version > n.held.Version {
		n.held, n.heldSince = revision, now
		n.quorum.keep(&n.held)
	}
	n.advance(now)
}

// MarkAccepted takes note that a version is accepted. That never changes, so it may be
// told at any age.
func (n *Node) MarkAccepted(version uint64, now time.Time) {
	n.accepted = max(n.accepted, version)
	n.advance(now)
}

// StoreServedRevision takes a revision that another instance serves from, and which is
// therefore accepted.
func (n *Node) StoreServedRevision(revision Revision, now time.Time) {
	n.accepted = max(n.accepted, revision.Version)
	n.StoreRevision(revision, now)
}

// HandlePollReply takes the answer of another instance to a poll that was sent at askedAt.
func (n *Node) HandlePollReply(from fleetconfig.InstanceID, answer *PollReply, askedAt, now time.Time) {
	if n.held.IncludesHolder(from) && from != n.id {
		n.quorum.hear(from, answer, askedAt, now)
	}
	if answer.Serving {
		n.accepted = max(n.accepted, answer.Served)
	}
	// The answer was made after the poll was sent, so the attestation is younger
	// than this. A negative age would make it younger than the poll.
	if answer.Attested && answer.Age >= 0 {
		n.take(answer.Attestation, askedAt.Add(-answer.Age))
	}
	n.advance(now)
}

// HandleLeaderAttestation takes the attestation of the leader on this same instance, which a
// majority of control has confirmed as of the time.
func (n *Node) HandleLeaderAttestation(attestation Attestation, asOf, now time.Time) {
	n.take(attestation, asOf)
	n.advance(now)
}

// take notes an attestation.
func (n *Node) take(attestation Attestation, asOf time.Time) {
	// A deposed leader's attestation is true as of its time. It is left out all
	// the same, in case the leader judged its office by a clock that stood still.
	if attestation.Term != 0 && attestation.Term < n.term {
		return
	}
	n.term = max(n.term, attestation.Term)
	n.accepted = max(n.accepted, attestation.Accepted)
	if !asOf.Before(n.startedAt) && (!n.floorKnown || attestation.Highest < n.floor) {
		n.floor, n.floorKnown = attestation.Highest, true
	}
	slot := &n.unmet
	if n.meets(attestation) {
		slot = &n.met
	}
	if *slot == nil || asOf.After((*slot).asOf) {
		*slot = &dated{attestation: attestation, asOf: asOf}
	}
}

func (n *Node) meets(attestation Attestation) bool {
	return n.serving && n.served >= attestation.Highest
}

// advance draws the conclusions of what is known.
func (n *Node) advance(now time.Time) {
	if n.ownAccepted(now) {
		n.accepted = max(n.accepted, n.held.Version)
	}
	if attestation, asOf, made := n.ownAttestation(now); made {
		n.take(attestation, asOf)
	}
	// Invariant: served only grows, also over lives of the process. What is
	// served from is accepted, and held.Version is at least the floor.
	if n.Ready() && n.accepted >= n.held.Version {
		n.served, n.serving = n.held.Version, true
	}
	if n.unmet != nil && n.meets(n.unmet.attestation) {
		if n.met == nil || n.unmet.asOf.After(n.met.asOf) {
			n.met = n.unmet
		}
		n.unmet = nil
	}
}

// Ready reports whether the instance holds all that was accepted before it
// started. Only then does it vouch as a holder.
func (n *Node) Ready() bool { return n.floorKnown && n.held.Version >= n.floor }

// Serving returns the version that the instance may serve from, or false while it
// has none.
func (n *Node) Serving() (uint64, bool) { return n.served, n.serving }

// Held returns the newest committed revision that the instance has.
func (n *Node) Held() Revision { return n.held }

// Accepted returns the highest version that is known to be accepted. When it is
// above Held, the instance should fetch it.
func (n *Node) Accepted() uint64 { return n.accepted }

// CurrentAsOf returns the time as of which the instance is current, or false when it
// never was.
func (n *Node) CurrentAsOf() (time.Time, bool) {
	if n.met == nil {
		return time.Time{}, false
	}
	return n.met.asOf, true
}

// Current reports whether the instance may admit keyed requests, and else when a
// caller may come back. It must be asked again after any wait, with the time
// after it: a process that was frozen finds its time run out.
func (n *Node) Current(now time.Time) (current bool, retryAfter time.Duration) {
	if n.met == nil || now.Sub(n.met.asOf) > n.limit {
		return false, RetryAfter
	}
	return true, 0
}

// PollReply returns the answer to a poll.
func (n *Node) PollReply(now time.Time) *PollReply {
	answer := &PollReply{
		Incarnation: n.incarnation,
		Ready:       n.Ready(),
		Held:        n.held.Version,
		Serving:     n.serving,
		Served:      n.served,
	}
	if n.met != nil {
		answer.Attested = true
		answer.Attestation = n.met.attestation
		answer.Age = max(0, now.Sub(n.met.asOf))
	}
	return answer
}

// How old an attestation gets before an instance asks the holders themselves, in parts
// of its limit. Holders ask sooner, since the others hear of it from them.
const (
	holderProbePart = 0.25
	probePart       = 0.625
)

// urgentPolls is how many times as often an instance polls whose attestation has
// become old.
const urgentPolls = 4

// PollInterval returns when to poll again, given the usual interval. An instance
// that is about to lose its currency polls more often, so that a few lost calls in
// a row do not cost it.
func (n *Node) PollInterval(usual time.Duration, now time.Time) time.Duration {
	if n.met == nil || now.Sub(n.met.asOf) > n.probeAfter() {
		return usual / urgentPolls
	}
	return usual
}

// probeAfter returns the age of an attestation that is old.
func (n *Node) probeAfter() time.Duration {
	part := probePart
	if n.held.IncludesHolder(n.id) {
		part = holderProbePart
	}
	return time.Duration(part * float64(n.limit))
}

// HoldersToPoll returns the holders to poll besides the usual neighbour, if any: all
// other ones when the latest attestation has become old.
func (n *Node) HoldersToPoll(now time.Time) []fleetconfig.InstanceID {
	if n.met != nil && now.Sub(n.met.asOf) <= n.probeAfter() {
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
