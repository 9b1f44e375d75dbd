package consensus

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors returned for proposals. A proposal that fails with one of them has not
// been appended to the log.
var (
	// ErrNotLeader reports that the node is not the leader.
	ErrNotLeader = errors.New("this member is not the leader; ask the leader")
	// ErrTransferInProgress reports that the leader is transferring leadership.
	ErrTransferInProgress = errors.New("the leader is transferring leadership; retry with the new leader")
	// ErrTooMuchUncommitted reports that more than Config.MaxUncommittedBytes of
	// proposals are uncommitted.
	ErrTooMuchUncommitted = errors.New("too many proposed bytes are not committed yet; retry later")
	// ErrMembershipChangePending reports that the leader has not yet committed an
	// earlier membership change or an entry of its own term.
	ErrMembershipChangePending = errors.New("an earlier membership change or the first entry of the leader's term is not committed yet; retry shortly")
	// ErrNotCaughtUp reports that a new voter is not known to have all committed
	// entries or that, for a transfer of leadership, no other voter has answered yet.
	ErrNotCaughtUp = errors.New("the new voter or the new leader is not known to have all committed entries yet; retry when it has received them")
	// ErrInvalidMembershipChange reports a membership that must not replace the
	// current one in one step.
	ErrInvalidMembershipChange = errors.New("invalid membership change: a change may promote at most one learner to voter or remove at most one voter, " +
		"and must leave between one and eight voters; make it in several steps")
)

// InconsistentStateError reports stored state that a correct member never stores.
type InconsistentStateError struct {
	// Reason describes the inconsistency.
	Reason string
}

// Error returns the reason and the remedy.
func (e *InconsistentStateError) Error() string {
	return fmt.Sprintf("the stored log is inconsistent: %s; move the data folder away, start with a blank one "+
		"and admit the new disk", e.Reason)
}

// assertInvariant panics if an invariant does not hold: to continue could lose
// committed entries. The driver's supervisor restarts the node from the stored
// state.
func assertInvariant(holds bool, invariant string) {
	if !holds {
		panic("consensus invariant violated: " + invariant)
	}
}
