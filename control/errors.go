package control

import (
	"fmt"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// NotLeaderError reports that this instance does not lead the log. The command
// was not proposed.
type NotLeaderError struct {
	// Leader is the last known leader, or empty.
	Leader fleetconfig.InstanceID
	// Address is the leader's address, or empty.
	Address string
}

// Error names the leader to send the command to.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control instance is not the leader and knows no leader; retry in a few seconds, " +
			"and check that a majority of the control instances is up"
	}
	return fmt.Sprintf("this control instance is not the leader; send the change to %s at %s", e.Leader, e.Address)
}

// BusyError reports that the command was not proposed: the command is too large, the
// log has too many uncommitted entries, the instance is shutting down, or the
// caller's context ended first.
type BusyError struct {
	// Reason says why the command was not proposed.
	Reason string
}

// Error returns the reason and tells the operator to send the change again.
func (e *BusyError) Error() string {
	return "the change was not proposed: " + e.Reason + "; send it again with the same change id"
}

// OutcomeUnknownError reports that a command was proposed and may or may not be
// applied. It must not be taken for a rejection.
type OutcomeUnknownError struct {
	// Reason says why the outcome is unknown.
	Reason string
}

// Error returns the reason and tells the operator how to learn the outcome.
func (e *OutcomeUnknownError) Error() string {
	return "the outcome of the change is unknown: " + e.Reason +
		"; send it again with the same change id to learn the outcome"
}
