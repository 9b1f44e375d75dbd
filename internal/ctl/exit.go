package ctl

import (
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/fleetconfig/inifile"
)

// Exit codes of hemlockctl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the request was rejected, in which case it made no change. It
	// is also the code for all errors without a code of their own: a failure to write the
	// output, for example, or a change of a control member whose outcome is unknown.
	ExitRefused = 1
	// ExitUsage means that no change was sent because the arguments or an input file are
	// invalid. It is also the code for every failure of a command of LocalCommands, which
	// needs no connection to the fleet.
	ExitUsage = 2
	// ExitConflict means that another change was accepted first, so that this one was
	// rejected.
	ExitConflict = 3
	// ExitOutcomeUnknown means that the change may have been accepted or may still be.
	ExitOutcomeUnknown = 4
	// ExitUnreachable means that no control instance answered a request that reads, or that
	// the last answer to a change was api.ProblemNotMade, for example because there is no
	// leader or the control member is unknown. According to that answer, no change was made.
	ExitUnreachable = 5
	// ExitDiffers means that diff found differences.
	ExitDiffers = 6
)

// UsageError is returned if the arguments or an input file are invalid.
type UsageError struct {
	// Message describes the problem and its remedy.
	Message string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// errDiffers selects ExitDiffers after diff found differences. Its message is not
// printed.
var errDiffers = errors.New("configuration file and current configuration differ")

// exitCode returns the exit code for an error of a command.
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
		return ExitOutcomeUnknown
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
