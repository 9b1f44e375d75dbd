package configsync

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Peer is another instance that is believed alive.
type Peer struct {
	fleetconfig.InstanceAddress
	// Control says that the instance has the control role.
	Control bool
}

// Peers tells of the other instances. It is implemented by membership.
type Peers interface {
	// Peers returns the other instances that are believed alive. The slice must not
	// change afterwards.
	Peers() []Peer
}

// Log is the replicated log, on control instances. It is implemented by
// control.Node.
type Log interface {
	// Propose replicates a command and returns the result of applying it. It fails
	// with control.NotLeaderError or control.BusyError if the command was certainly
	// not proposed, and with control.OutcomeUnknownError if it may still be applied.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// Leadership reports whether this instance leads and its state machine has
	// applied all that earlier leaders committed. confirmedAt is the time, by
	// time.Now of this process, at which it sent the latest messages that a majority
	// of control has answered in this term. No other leader has committed anything
	// up to that time.
	Leadership() (term uint64, confirmedAt time.Time, leads bool)
}

// LeaderHint is implemented by a Log that can name the leader, so that a Forwarder
// can pass commands on.
type LeaderHint interface {
	// Leader returns the leader and its address as far as this instance knows.
	Leader() (id fleetconfig.InstanceID, address string, known bool)
}
