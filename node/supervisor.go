package node

import (
	"log/slog"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// failureThreshold is the number of service failures above which restarts are delayed
	// by failureBackoff.
	failureThreshold = 10
	// failureDecay is the time in seconds in which the number of failures halves.
	failureDecay = 30
	// failureBackoff is the delay before a restart while the number of failures is above
	// failureThreshold.
	failureBackoff = time.Second
	// serviceTimeout is the maximum time that a service may take to stop.
	serviceTimeout = 5 * time.Second
)

// newSupervisor returns the supervisor that runs the services of the instance and restarts
// those that fail.
func newSupervisor(logger *slog.Logger) *suture.Supervisor {
	return suture.New("hemlockd", suture.Spec{
		EventHook:        func(event suture.Event) { logger.Warn("supervisor event", "event", event.String()) },
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   failureBackoff,
		Timeout:          serviceTimeout,
	})
}
