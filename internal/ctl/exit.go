package ctl

import (
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/fleetconfig/inifile"
)

// Exit codes of hemlockctl.
const (
	// ExitOK says that all was done.
	ExitOK = 0
	// ExitRefused says that the change was refused and not made.
	ExitRefused = 1
	// ExitUsage says that the arguments or a file are faulty. Nothing was sent.
	ExitUsage = 2
	// ExitConflict says that another change came first. This one was not made.
	ExitConflict = 3
	// ExitUnknown says that the change may have been made or may still be.
	ExitUnknown = 4
	// ExitUnreachable says that no control instance could serve the request. A
	// change was certainly not made.
	ExitUnreachable = 5
	// ExitDiffers says that diff has found differences.
	ExitDiffers = 6
)

// UsageError says that the arguments are faulty.
type UsageError struct {
	// Problem says what is wrong and what to do.
	Problem string
}

// Error returns the problem.
func (e *UsageError) Error() string { return e.Problem }

// errDiffers says that diff has found differences. It has no message.
var errDiffers = errors.New("the file and the configuration in force differ")

// exitCode returns the exit code that goes with an error.
func exitCode(err error) int {
	var problem *api.Problem
	var unknown *client.OutcomeUnknownError
	var unreachable *client.UnreachableError
	var faults *inifile.FaultsError
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errDiffers):
		return ExitDiffers
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &faults), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problem) && problem.HasType(api.ProblemConflict):
		return ExitConflict
	case errors.As(err, &problem) && problem.HasType(api.ProblemNotMade):
		return ExitUnreachable
	}
	return ExitRefused
}
