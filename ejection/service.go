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
	// tickInterval is how often the monitors are ticked.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one batch to a permit owner.
	callTimeout = time.Second
)

// Shards tells who owns the shards of services.
type Shards interface {
	// ServiceReplicas returns the instances that may own the service's shard, the
	// one that is believed to own it first.
	ServiceReplicas(service fleetconfig.ServiceName) []fleetconfig.InstanceAddress
	// HoldsService reports whether this instance holds the lease of the service's
	// shard now. The tenure differs between any two holdings of the lease.
	HoldsService(service fleetconfig.ServiceName, now time.Time) (tenure uint64, held bool)
}

// Config configures a Service.
type Config struct {
	// Self is this instance.
	Self fleetconfig.InstanceID
	// Shards tells who owns the shards of services.
	Shards Shards
	// Caller calls other instances.
	Caller transport.Caller
	// View returns the configuration in force.
	View func() *fleetconfig.View
	// OnStateChange is told when a backend server is ejected or returns.
	OnStateChange func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, from, to health.EjectionState)
	// OnDetect is told when the evidence against a backend server has crossed its
	// bound, and how long that took from the first notable evidence.
	OnDetect func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, took time.Duration)
	// Logger receives the messages of the service.
	Logger *slog.Logger
}

// Service watches the backend servers beside this instance and owns ejection
// permits. It is a suture service and safe for concurrent use.
type Service struct {
	self    fleetconfig.InstanceID
	shards  Shards
	caller  transport.Caller
	view    func() *fleetconfig.View
	changed func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, from, to health.EjectionState)
	// detected is called with mu held.
	detected func(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, took time.Duration)
	logger   *slog.Logger

	mu      sync.Mutex
	servers map[fleetconfig.BackendServerID]*watched
	outbox  map[fleetconfig.ServiceName]*outbox

	ownersMu sync.Mutex
	owners   map[fleetconfig.ServiceName]*owned
}

// New returns the service and registers its calls on mux.
func New(config Config, mux *http.ServeMux) *Service {
	service := &Service{
		self:     config.Self,
		shards:   config.Shards,
		caller:   config.Caller,
		view:     config.View,
		changed:  config.OnStateChange,
		detected: config.OnDetect,
		logger:   config.Logger,
		servers:  make(map[fleetconfig.BackendServerID]*watched),
		outbox:   make(map[fleetconfig.ServiceName]*outbox),
		owners:   make(map[fleetconfig.ServiceName]*owned),
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

// serverActions are the actions of one monitor.
type serverActions struct {
	server  fleetconfig.BackendServerID
	service fleetconfig.ServiceName
	actions []health.Action
}

func (s *Service) tick(ctx context.Context, now time.Time) {
	policy := health.PolicyForPreset(s.view().ActivePreset())
	for _, due := range s.collect(policy, now) {
		for _, action := range due.actions {
			s.carryOut(&due, action)
		}
	}
	s.sendOutboxes(ctx)
}

// collect ticks every monitor and returns what they ask for.
func (s *Service) collect(policy health.Policy, now time.Time) []serverActions {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []serverActions
	for id, found := range s.servers {
		found.mu.Lock()
		found.monitor.SetPolicy(policy)
		actions := found.monitor.Tick(now)
		found.breaker.Tick(now)
		took, detected := found.noteSuspicion(now)
		doubted, changed := found.doubtChanged(now)
		doubt := found.breaker.FailureProbability(now)
		found.mu.Unlock()
		if changed {
			s.logger.Info("doubt about a backend server", "server", id, "service", found.service, "doubted", doubted, "doubt", doubt)
		}
		if detected {
			s.detected(found.service, id, took)
		}
		if len(actions) > 0 {
			due = append(due, serverActions{server: id, service: found.service, actions: actions})
		}
	}
	return due
}

// stateName returns the name of a state in logs.
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

func (s *Service) carryOut(from *serverActions, action health.Action) {
	if change, ok := action.(health.StateChanged); ok {
		s.logger.Info("backend server changes state", "server", from.server, "service", from.service,
			"from", stateName(change.From), "to", stateName(change.To))
		s.changed(from.service, from.server, change.From, change.To)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	box := s.outbox[from.service]
	if box == nil {
		box = newOutbox(from.service)
		s.outbox[from.service] = box
	}
	box.add(from.server, action)
}
