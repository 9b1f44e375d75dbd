package configsync

import (
	"fmt"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// NotLeaderError says that this instance does not lead control. The command was
// not proposed.
type NotLeaderError struct {
	// Leader is the leader as far as is known, or empty.
	Leader fleetconfig.InstanceID
	// Address is the leader's address, or empty.
	Address string
}

// Error names the leader and the remedy.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this instance is not the leader of control and knows of none; send the change again with the same change id " +
			"in a few seconds, and check that a majority of the control instances is up"
	}
	return fmt.Sprintf("this instance is not the leader of control; send the change to %s at %s", e.Leader, e.Address)
}

// NotProposedError says that the command was certainly not proposed.
type NotProposedError struct {
	// Reason says why.
	Reason string
}

// Error names the reason and the remedy.
func (e *NotProposedError) Error() string {
	return "the change was not made: " + e.Reason + "; send it again with the same change id"
}

// OutcomeUnknownError says that the command may have been made, or may still be.
// It is never a rejection.
type OutcomeUnknownError struct {
	// Reason says why the outcome is unknown.
	Reason string
}

// Error names the reason and the remedy.
func (e *OutcomeUnknownError) Error() string {
	return "the outcome of the change is unknown: " + e.Reason + "; send it again with the same change id to learn it"
}
