package currency

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// HolderContactTimeout is the time without replies from a majority of the holders
// after which the leader refuses changes.
const HolderContactTimeout = 2 * time.Second

// Leader is the state of the leader of the control instances in one term. It is not
// safe for concurrent use. The size of the state is bounded by the number of holders.
type Leader struct {
	term          uint64
	committed     Revision
	accepted      uint64
	acceptedKnown bool
	quorum        quorum
}

// NewLeader returns the state of a leader that has applied all entries of earlier
// terms and one entry of its own term; committed is the resulting revision. If the
// revision names holders, the leader does not know yet which version is accepted,
// because the committed version may have been accepted under an earlier leader. A
// revision without holders and former holders is accepted at once.
func NewLeader(term uint64, committed Revision) *Leader {
	leader := &Leader{term: term, committed: committed}
	leader.updateAccepted()
	return leader
}

// Term returns the leader's term.
func (l *Leader) Term() uint64 { return l.term }

// Commit records a revision that was committed in this term.
func (l *Leader) Commit(revision Revision) {
	if revision.Version <= l.committed.Version {
		return
	}
	l.committed = revision
	l.quorum.retain(&l.committed)
	l.updateAccepted()
}

// HandlePollReply processes the reply of a holder to a poll that was sent at sentAt.
func (l *Leader) HandlePollReply(from fleetconfig.InstanceID, reply *PollReply, sentAt, now time.Time) {
	if !l.committed.IncludesHolder(from) {
		return
	}
	l.quorum.handleReply(from, reply, sentAt, now)
	l.updateAccepted()
}

func (l *Leader) updateAccepted() {
	if l.quorum.isAccepted(&l.committed) {
		l.accepted, l.acceptedKnown = l.committed.Version, true
	}
}

// Accepted returns the highest version known to be accepted, or false if no version is
// known to be accepted.
func (l *Leader) Accepted() (uint64, bool) { return l.accepted, l.acceptedKnown }

// Committed returns the committed revision.
func (l *Leader) Committed() Revision { return l.committed }

// Attest returns the leader's attestation. It is valid as of the time at which a
// majority of the control instances last confirmed the leader.
func (l *Leader) Attest() Attestation {
	return Attestation{Term: l.term, Accepted: l.accepted, Highest: l.committed.Version}
}

// NotReadyError reports that a change was not proposed.
type NotReadyError struct {
	// Reason says which condition of CheckProposal is not met.
	Reason string
}

// Error returns the reason and the remedy.
func (e *NotReadyError) Error() string {
	return "the change was not proposed: " + e.Reason + "; send it again with the same change id in a few seconds"
}

// CheckProposal returns nil if a command with the given base version may be proposed,
// otherwise a *NotReadyError.
//
// Invariant: a version is committed only after the previous one was accepted. So a
// command that is based on the committed version must wait until that version is
// accepted. A command whose base version is older cannot create a version: its result
// is either cached or a conflict. For a command whose base version is not compared, see
// [Leader.CheckReplacement]. Without replies from a majority of the holders
// nothing is proposed. Otherwise a version could be committed but not accepted, and
// instances that receive this leader's attestations would cease to be current, because
// they do not serve from that version.
func (l *Leader) CheckProposal(baseVersion uint64, now time.Time) error {
	if baseVersion < l.committed.Version {
		return nil
	}
	if !l.acceptedKnown || l.accepted < l.committed.Version {
		return &NotReadyError{Reason: fmt.Sprintf("version %d is not known to be held by a majority of the configuration holders at the same time", l.committed.Version)}
	}
	if baseVersion > l.committed.Version {
		return &NotReadyError{Reason: fmt.Sprintf("version %d is not known to this leader yet", baseVersion)}
	}
	if len(l.committed.Holders) == 0 {
		return nil
	}
	polledAt, replied := l.quorum.majorityPolledAt(l.committed.Holders, false)
	if !replied || now.Sub(polledAt) > HolderContactTimeout {
		return &NotReadyError{Reason: "no recent reply from a majority of the configuration holders"}
	}
	return nil
}

// CheckReplacement is like CheckProposal for a command that can create a version whatever
// its base version is.
func (l *Leader) CheckReplacement(now time.Time) error {
	return l.CheckProposal(l.committed.Version, now)
}
