package control

import (
	"fmt"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// NotLeaderError reports that this instance does not lead the log. The command
// was not proposed.
type NotLeaderError struct {
	// Leader is the leader as far as this instance knows, or empty.
	Leader fleetconfig.InstanceID
	// Address is the leader's address, or empty.
	Address string
}

// Error names the leader to ask instead.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control instance is not the leader and knows of none; retry in a few seconds, " +
			"and check that a majority of the control instances is up"
	}
	return fmt.Sprintf("this control instance is not the leader; send the change to %s at %s", e.Leader, e.Address)
}

// BusyError reports that the command was not proposed because the log has too
// much work outstanding, is stopping, or the caller gave up first.
type BusyError struct {
	// Reason says what was in the way.
	Reason string
}

// Error says that the command may be sent again.
func (e *BusyError) Error() string {
	return "the change was not proposed: " + e.Reason + "; send it again with the same change id"
}

// OutcomeUnknownError reports that a command was proposed and that this
// instance cannot say whether it will be applied. It is never a rejection.
type OutcomeUnknownError struct {
	// Reason says why the outcome is unknown.
	Reason string
}

// Error tells how to learn the outcome.
func (e *OutcomeUnknownError) Error() string {
	return "the outcome of the change is unknown: " + e.Reason +
		"; send it again with the same change id to learn the outcome"
}
