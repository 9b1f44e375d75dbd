package control

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Leadership is what this instance knows about the leader of the log.
type Leadership struct {
	// Leads is set if this instance leads and its state machine has applied all
	// entries that earlier leaders committed.
	Leads bool
	// Term is the current term of this instance.
	Term uint64
	// ConfirmedAt is when this instance sent the latest messages that a majority has
	// answered in this term; this instance was the leader at that time. ConfirmedAt is
	// zero unless Leads is set.
	ConfirmedAt time.Time
	// Leader is the last known leader, or empty.
	Leader fleetconfig.InstanceID
	// Address is the leader's address, or empty.
	Address string
}

// Leadership returns what this instance knows about the leader, as of the last event
// that the loop handled.
func (n *Node) Leadership() Leadership {
	current := n.published.Load()
	leadership := Leadership{
		Term:        current.status.Term,
		ConfirmedAt: current.confirmedAt,
		Leader:      current.status.Leader,
		Address:     current.status.LeaderAddress,
	}
	leadership.Leads = !current.confirmedAt.IsZero()
	return leadership
}

// leadershipConfirmedAt returns when this instance, as the leader, sent the latest
// messages that a majority has answered. It returns the zero time if this instance
// does not lead, or its state machine has not yet applied all entries that earlier
// leaders committed.
//
// Invariant: the node confirms the leadership only after an entry of the current term
// is committed, and with it all entries that earlier leaders committed. Once the state
// machine has then applied all committed entries, it has applied those of earlier
// leaders, and this holds until the end of the term.
func (l *loop) leadershipConfirmedAt(now time.Time) time.Time {
	at, ok := l.node.LeadershipConfirmedAt(now)
	if !ok {
		return time.Time{}
	}
	status := l.node.Status()
	if status.Applied >= status.Committed {
		l.caughtUpTerm = status.Term
	}
	if l.caughtUpTerm != status.Term {
		return time.Time{}
	}
	return at
}
