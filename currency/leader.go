package currency

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// HolderContactTimeout is how long a majority of the holders may be silent before the
// leader refuses changes.
const HolderContactTimeout = 2 * time.Second

// Leader is the part of the leader of control in one term. It is not safe for
// concurrent use. Its state is bounded by the number of holders.
type Leader struct {
	term      uint64
	committed Revision
	accepted  uint64
	known     bool
	quorum    quorum
}

// NewLeader returns the state of a leader that has applied all entries of earlier
// terms and one of its own. committed is the revision after them. The leader does
// not know yet which version is accepted; an earlier leader may have accepted the
// committed one.
func NewLeader(term uint64, committed Revision) *Leader {
	leader := &Leader{term: term, committed: committed}
	leader.judge()
	return leader
}

// Term returns the term.
func (l *Leader) Term() uint64 { return l.term }

// Commit takes a revision that was committed in this term.
func (l *Leader) Commit(revision Revision) {
	if revision.Version <= l.committed.Version {
		return
	}
	l.committed = revision
	l.quorum.keep(&l.committed)
	l.judge()
}

// HandlePollReply takes the answer of a holder to a poll that was sent at askedAt.
func (l *Leader) HandlePollReply(from fleetconfig.InstanceID, answer *PollReply, askedAt, now time.Time) {
	if !l.committed.IncludesHolder(from) {
		return
	}
	l.quorum.hear(from, answer, askedAt, now)
	l.judge()
}

func (l *Leader) judge() {
	if l.quorum.accepted(&l.committed) {
		l.accepted, l.known = l.committed.Version, true
	}
}

// Accepted returns the highest version that is known to be accepted, or false
// when none is.
func (l *Leader) Accepted() (uint64, bool) { return l.accepted, l.known }

// Committed returns the committed revision.
func (l *Leader) Committed() Revision { return l.committed }

// Attest returns the leader's attestation. It holds as of the time at which a
// majority of control last confirmed the leader.
func (l *Leader) Attest() Attestation {
	return Attestation{Term: l.term, Accepted: l.accepted, Highest: l.committed.Version}
}

// NotReadyError says that a change was not proposed.
type NotReadyError struct {
	// Reason says what is missing.
	Reason string
}

// Error names the reason and the remedy.
func (e *NotReadyError) Error() string {
	return "the change was not proposed: " + e.Reason + "; send it again with the same change id in a few seconds"
}

// CheckProposal returns nil when a command with the base version may be proposed,
// or else a *NotReadyError.
//
// Invariant: a version is committed only after the one before it was accepted.
// So a command from the committed version must wait until that is accepted. A
// command from an older version can't make a version: it finds its kept answer or
// a conflict. When a majority of the holders is silent, nothing is proposed:
// a version that is committed but not accepted would make instances that hear
// this leader give up their currency.
func (l *Leader) CheckProposal(baseVersion uint64, now time.Time) error {
	if baseVersion < l.committed.Version {
		return nil
	}
	if !l.known || l.accepted < l.committed.Version {
		return &NotReadyError{Reason: fmt.Sprintf("version %d is not yet confirmed by a majority of the holders", l.committed.Version)}
	}
	if baseVersion > l.committed.Version {
		return &NotReadyError{Reason: fmt.Sprintf("version %d is not known here yet", baseVersion)}
	}
	if len(l.committed.Holders) == 0 {
		return nil
	}
	heard, found := l.quorum.heardSince(l.committed.Holders, false)
	if !found || now.Sub(heard) > HolderContactTimeout {
		return &NotReadyError{Reason: "a majority of the holders of the configuration is silent"}
	}
	return nil
}
