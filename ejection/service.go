package ejection

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/transport"
)

const (
	// tickInterval is the interval between ticks of the monitors.
	tickInterval = 50 * time.Millisecond
	// callTimeout limits the duration of one call to a permit owner.
	callTimeout = time.Second
)

// Shards looks up the owners of the services' shards.
type Shards interface {
	// ServiceReplicas returns the instances that may own the service's shard, with the
	// presumed owner first.
	ServiceReplicas(service fleetconfig.ServiceName) []fleetconfig.InstanceAddress
	// HoldsService reports whether this instance currently holds the lease of the
	// service's shard. The epoch differs between any two periods in which the lease is
	// held.
	HoldsService(service fleetconfig.ServiceName, now time.Time) (epoch uint64, held bool)
}

// Config configures a Service.
type Config struct {
	// Self is the ID of this instance.
	Self fleetconfig.InstanceID
	// Shards looks up the owners of the services' shards.
	Shards Shards
	// Caller sends calls to other instances.
	Caller transport.Caller
	// View returns the current configuration.
	View func() *fleetconfig.View
	// FailureDomain is the failure domain of this instance.
	FailureDomain fleetconfig.FailureDomain
	// OnStateChange is called when a backend server is ejected, begins its trial or
	// returns to service.
	OnStateChange func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, from, to health.EjectionState)
	// OnDetect is called when the evidence against a backend server raises an alarm. The
	// duration is the time since the server became suspect.
	OnDetect func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, took time.Duration)
	// Logger receives the log messages of the service.
	Logger *slog.Logger
}

// Service monitors the backend servers beside this instance and runs the permit owners of
// the services whose shard leases it holds. It is a suture service and safe for
// concurrent use.
type Service struct {
	self          fleetconfig.InstanceID
	shards        Shards
	caller        transport.Caller
	view          func() *fleetconfig.View
	domain        fleetconfig.FailureDomain
	onStateChange func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, from, to health.EjectionState)
	// onDetect is called with mu held.
	onDetect func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, took time.Duration)
	logger   *slog.Logger

	mu       sync.Mutex
	servers  map[fleetconfig.BackendServerID]*monitoredServer
	outboxes map[fleetconfig.ServiceName]*outbox
	// lastIncarnation is that of the newest monitor.
	lastIncarnation uint64

	ownersMu sync.Mutex
	owners   map[fleetconfig.ServiceName]*epochOwner
}

// New returns the service and registers its HTTP handlers on mux.
func New(config Config, mux *http.ServeMux) *Service {
	service := &Service{
		self:          config.Self,
		shards:        config.Shards,
		caller:        config.Caller,
		view:          config.View,
		domain:        config.FailureDomain,
		onStateChange: config.OnStateChange,
		onDetect:      config.OnDetect,
		logger:        config.Logger,
		servers:       make(map[fleetconfig.BackendServerID]*monitoredServer),
		outboxes:      make(map[fleetconfig.ServiceName]*outbox),
		owners:        make(map[fleetconfig.ServiceName]*epochOwner),
	}
	transport.HandleCall(mux, batchPath, service.handleBatch)
	return service
}

// Serve ticks the monitors until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.tick(ctx, clock.Now())
		}
	}
}

// serverActions holds the actions that the monitor of one backend server returned.
type serverActions struct {
	server  fleetconfig.BackendServerID
	service fleetconfig.ServiceName
	actions []health.Action
}

func (s *Service) tick(ctx context.Context, now time.Time) {
	view := s.view()
	policy := health.PolicyForPreset(view.ActivePreset())
	for _, pending := range s.tickMonitors(policy, view.Evacuated(s.domain), now) {
		for _, action := range pending.actions {
			s.handleAction(&pending, action)
		}
	}
	s.flushOutboxes(ctx)
}

// tickMonitors ticks every monitor and returns the actions to handle.
func (s *Service) tickMonitors(policy health.Policy, evacuated bool, now time.Time) []serverActions {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pending []serverActions
	for id, monitored := range s.servers {
		monitored.mu.Lock()
		monitored.monitor.SetPolicy(policy)
		monitored.monitor.SetEvacuated(evacuated, now)
		actions := monitored.monitor.Tick(now)
		monitored.breaker.Tick(now)
		took, detected := monitored.trackDetection(now)
		failing, changed := monitored.failingChanged(now)
		probability := monitored.breaker.FailureProbability(now)
		monitored.mu.Unlock()
		if changed {
			s.logger.Info("backend server failure probability crossed threshold", "server", id, "service", monitored.service, "doubted", failing, "doubt", probability)
		}
		if detected {
			s.onDetect(monitored.service, id, took)
		}
		if len(actions) > 0 {
			pending = append(pending, serverActions{server: id, service: monitored.service, actions: actions})
		}
	}
	return pending
}

// stateName returns the name of a state in log messages.
func stateName(state health.EjectionState) string {
	switch state {
	case health.StateEjected:
		return "ejected"
	case health.StateTrial:
		return "trial"
	default:
		return "in-service"
	}
}

func (s *Service) handleAction(from *serverActions, action health.Action) {
	if change, ok := action.(health.StateChanged); ok {
		s.logger.Info("backend server state changed", "server", from.server, "service", from.service,
			"from", stateName(change.From), "to", stateName(change.To))
		s.onStateChange(from.service, from.server, change.From, change.To)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	box := s.outboxes[from.service]
	if box == nil {
		box = newOutbox(from.service)
		s.outboxes[from.service] = box
	}
	box.add(from.server, action)
}
