package configsync

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/configtree"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Peer is another instance that is not known to be dead or to have left.
type Peer = configtree.Instance

// Peers provides the other instances from the membership of the fleet.
type Peers interface {
	// Peers returns the other instances that are not known to be dead or to have left.
	// The returned slice must not change afterwards.
	Peers() []Peer
}

// Log is the replicated log of the control instances. It is implemented by
// control.Node.
type Log interface {
	// Propose replicates a command and returns the result of applying it. It fails with
	// control.NotLeaderError or control.BusyError if the command was certainly not
	// proposed, and with control.OutcomeUnknownError if it may still be applied.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// Leadership returns what this instance knows about the leader.
	Leadership() Leadership
	// ReadBarrier returns nil once the state machine includes every change that was
	// accepted before the call. It fails with control.NotLeaderError on an instance
	// that is not certain to be the leader.
	ReadBarrier(ctx context.Context) error
}

// Leadership is what a control instance knows about the leader.
type Leadership struct {
	// Leads reports whether this instance leads and its state machine has applied an
	// entry of the current term. The state machine has then applied everything that
	// earlier leaders committed.
	Leads bool
	// Term is the current term of this instance.
	Term uint64
	// ConfirmedAt is the time, by clock.Now of this process, at which this instance sent
	// the latest messages that a majority of control has answered in this term. Up to
	// that time, no leader of a later term has committed anything. ConfirmedAt is zero
	// unless Leads is set.
	ConfirmedAt time.Time
	// Leader is the leader, or empty if none is known.
	Leader fleetconfig.InstanceID
	// Address is the leader's address, or empty.
	Address string
}
