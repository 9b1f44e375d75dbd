package consensus

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors of proposals. None of them leaves anything in the log.
var (
	// ErrNotLeader reports that the node does not lead.
	ErrNotLeader = errors.New("this member is not the leader; ask the leader")
	// ErrTransferInProgress reports that the leader hands its role over.
	ErrTransferInProgress = errors.New("the leader is handing over; retry with the new leader")
	// ErrTooMuchUncommitted reports that too many bytes wait to be committed.
	ErrTooMuchUncommitted = errors.New("too many proposals are outstanding; retry later")
	// ErrMembershipChangePending reports that the leader has not yet committed an earlier
	// change of members or an entry of its own term.
	ErrMembershipChangePending = errors.New("an earlier change of members is not committed yet; retry shortly")
	// ErrNotCaughtUp reports that a member lacks committed entries.
	ErrNotCaughtUp = errors.New("the member has not received the whole log yet; retry when it has")
	// ErrInvalidMembershipChange reports a membership that may not follow the present one.
	ErrInvalidMembershipChange = errors.New("a change may turn one receiver into a voter or remove one voter, " +
		"and must leave between one and eight; make it in steps")
)

// InconsistentStateError reports stored state that no run of the algorithm
// leaves behind.
type InconsistentStateError struct {
	// Reason says what does not fit.
	Reason string
}

// Error names the remedy.
func (e *InconsistentStateError) Error() string {
	return fmt.Sprintf("the stored log is inconsistent: %s; move the data folder away, start with a blank one "+
		"and admit the new disk", e.Reason)
}

// mustHold panics if an invariant does not hold. To go on would risk committed
// entries; the driver's supervisor restarts from what is on the disk.
func mustHold(holds bool, invariant string) {
	if !holds {
		panic("consensus invariant violated: " + invariant)
	}
}
