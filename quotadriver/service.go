package quotadriver

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/shard"
	"github.com/hemlockring/hemlockring/transport"
)

// DefaultMaxAccounts is how many accounts an ingress may hold tokens of.
const DefaultMaxAccounts = 80_000

const (
	// tickInterval is how often the state machines see time pass.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often unused buckets are dropped.
	sweepInterval = 5 * time.Second
	// offerInterval is how long a successor has to take a lease until the next one
	// is asked.
	offerInterval = 200 * time.Millisecond
)

// Config holds what a Service depends on.
type Config struct {
	// Self is this instance.
	Self fleetconfig.InstanceAddress
	// Caller sends calls to other instances.
	Caller transport.Caller
	// View returns the configuration in force, nil while there is none. It must
	// never go back to an older version.
	View func() *fleetconfig.View
	// MapRead reports whether the configuration was read from a majority of its
	// holders since the process started. Nil means never; a replica then reads from
	// the other replicas before it votes.
	MapRead func() bool
	// Timing is the timing of leases, the same on all instances. The zero value
	// means shard.DefaultTiming.
	Timing shard.Timing
	// ControlOwner, if set, makes the leader of control the owner of everything.
	ControlOwner *ControlOwner
	// MaxAccounts bounds, to an eighth, the accounts that the ingress holds tokens
	// of. Zero means DefaultMaxAccounts.
	MaxAccounts int
	// Logger receives changes of ownership. Nil means slog.Default.
	Logger *slog.Logger
}

// Service runs the replicas, owners and borrowers of one instance. It is safe for
// concurrent use.
type Service struct {
	config  Config
	log     *slog.Logger
	stripes [stripeCount]stripe
	wake    chan struct{}
	peers   peerSet

	// mu guards the fields below it. The time is read after it is taken, so that
	// nothing is decided by a time from before a wait.
	mu     sync.Mutex
	group  ownership
	lender *quota.Lender
	view   *fleetconfig.View
	held   map[shard.ID]shard.Holder

	routeMu sync.Mutex
	routes  *quota.OwnerTable
	// contacted is when the owner of everything was asked last; it is used with
	// Control only.
	contacted time.Time
	// kept says that the owner expects to hear of this ingress.
	kept bool
	// lost is since when the owners of shards do not answer.
	lost map[shard.ID]time.Time

	// used is when a token was used last, as nanoseconds of the clock.
	used atomic.Int64
}

// New returns a Service that owns nothing. Register its handlers and start it
// under a supervisor.
func New(config Config) (*Service, error) {
	if config.Caller == nil || config.View == nil || config.Self.ID == "" {
		return nil, errors.New("the quota service lacks Caller, View or Self; set them in its Config")
	}
	if config.Timing == (shard.Timing{}) {
		config.Timing = shard.DefaultTiming()
	}
	if config.MaxAccounts == 0 {
		config.MaxAccounts = DefaultMaxAccounts
	}
	s := &Service{
		config: config,
		log:    config.Logger,
		wake:   make(chan struct{}, 1),
		lender: quota.NewLender(),
		routes: quota.NewOwnerTable(),
		held:   make(map[shard.ID]shard.Holder),
		lost:   make(map[shard.ID]time.Time),
	}
	if s.log == nil {
		s.log = slog.Default()
	}
	s.group = s.newOwnership()
	for i := range s.stripes {
		s.stripes[i].init(stripeAccounts(config.MaxAccounts))
	}
	return s, nil
}

// newOwnership returns what decides on the shards that this instance owns.
func (s *Service) newOwnership() ownership {
	if s.config.ControlOwner != nil {
		s.lender.SingleShard = true
		return &leaderOwner{self: s.config.Self.ID, incarnation: rand.Uint64(), leader: s.config.ControlOwner.Leadership}
	}
	group := shard.NewManager(s.config.Self.ID, rand.Uint64(), s.config.Timing)
	group.ExportState = s.lender.Export
	return group
}

// String names the service for its supervisor.
func (s *Service) String() string { return "quota" }

// Serve runs the service until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var swept time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			s.flush(ctx)
		case <-ticker.C:
			now := clock.Now()
			s.tick(ctx)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				s.sweep()
			}
		}
	}
}

// tick lets time pass in every state machine and sends what they return.
func (s *Service) tick(ctx context.Context) {
	s.sendShard(ctx, s.tickGroup())
	for i := range s.stripes {
		s.stripes[i].tick()
	}
	s.flush(ctx)
	s.keepContact(ctx)
}

func (s *Service) tickGroup() []shard.Envelope {
	view := s.config.View()
	mapRead := s.config.MapRead != nil && s.config.MapRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var out []shard.Envelope
	if view != nil {
		s.view = view
		s.lender.ApplyConfig(view, now)
		out = s.group.UpdateMap(&view.Document().Shards, mapRead, now)
	}
	out = append(out, s.group.Tick(now)...)
	s.updateLeases(now)
	return out
}

// updateLeases tells the lender what is held. The caller holds mu.
func (s *Service) updateLeases(now time.Time) {
	leases := s.group.Leases(now)
	s.lender.UpdateLeases(leases, now)
	current := make(map[shard.ID]shard.Holder, len(leases))
	for _, lease := range leases {
		current[lease.Shard] = lease.Holder
		if s.held[lease.Shard] != lease.Holder {
			s.log.Info("shard lease won", "shard", lease.Shard, "term", lease.Holder.Term)
		}
	}
	for id := range s.held {
		if _, ok := current[id]; !ok {
			s.log.Info("shard lease ended", "shard", id)
		}
	}
	s.held = current
}

func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lender.Sweep(clock.Now())
}

// HandOver starts a planned stop: it hands the held leases over and returns when
// none is left, or when the context ends. Serve must go on meanwhile.
func (s *Service) HandOver(ctx context.Context) error {
	s.used.Store(0) // The callers' port is closed.
	ticker := time.NewTicker(offerInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		out := s.group.Stop(clock.Now())
		s.mu.Unlock()
		s.sendShard(ctx, out)
		if len(out) == 0 && s.HeldShards() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "leases left; their successors start when they have run out")
		case <-ticker.C:
		}
	}
}

// HeldShards returns how many shards this instance owns now.
func (s *Service) HeldShards() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.group.Leases(clock.Now()))
}
