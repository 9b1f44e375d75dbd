package control

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Leadership is what this instance knows of the leader of the log.
type Leadership struct {
	// Leads says that this instance leads and that its state machine shows all that
	// earlier leaders have committed.
	Leads bool
	// Term is the term that it leads in.
	Term uint64
	// ConfirmedAt is when it sent the newest messages that a majority has answered
	// in this term.
	ConfirmedAt time.Time
	// Leader is the leader, or empty while none is known.
	Leader fleetconfig.InstanceID
	// Address is the leader's address, or empty.
	Address string
}

// Leadership returns what this instance knows of the leader, as of the last event.
func (n *Node) Leadership() Leadership {
	current := n.view.Load()
	leadership := Leadership{
		Term:        current.status.Term,
		ConfirmedAt: current.confirmedAt,
		Leader:      current.status.Leader,
		Address:     current.status.LeaderAddress,
	}
	leadership.Leads = !current.confirmedAt.IsZero()
	return leadership
}

// confirmation returns when the leader was last confirmed, or the zero time while
// it does not lead or its state machine does not yet show all that earlier leaders
// have committed.
//
// Invariant: once the state machine has applied all that was committed at one
// moment of the term, it shows what earlier leaders have committed for the rest of
// the term.
func (l *loop) confirmation(now time.Time) time.Time {
	at, ok := l.node.LeadershipConfirmedAt(now)
	if !ok {
		return time.Time{}
	}
	status := l.node.Status()
	if status.Applied >= status.Committed {
		l.readyTerm = status.Term
	}
	if l.readyTerm != status.Term {
		return time.Time{}
	}
	return at
}
