package node

import (
	"log/slog"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// failureThreshold is how many failures of services, decaying over
	// failureDecay seconds, end the process.
	failureThreshold = 10
	failureDecay     = 30
	// failureBackoff is how long a service that fails often waits.
	failureBackoff = time.Second
	// serviceTimeout is how long a service may take to end.
	serviceTimeout = 5 * time.Second
)

func newSupervisor(logger *slog.Logger) *suture.Supervisor {
	return suture.New("hemlockd", suture.Spec{
		EventHook:        func(event suture.Event) { logger.Warn("supervised service", "event", event.String()) },
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   failureBackoff,
		Timeout:          serviceTimeout,
	})
}
