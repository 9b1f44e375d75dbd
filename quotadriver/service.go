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

// DefaultMaxAccounts is the default of Config.MaxAccounts.
const DefaultMaxAccounts = 80_000

const (
	// tickInterval is the interval between ticks of the state machines.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often the owner removes unused token buckets (see
	// quota.Lender.Sweep).
	sweepInterval = 5 * time.Second
	// handoverRetryInterval is how long a successor has to take over a lease before the
	// lease is offered to the next one.
	handoverRetryInterval = 200 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	// Self identifies this instance.
	Self fleetconfig.InstanceAddress
	// Caller sends calls to other instances.
	Caller transport.Caller
	// View returns the configuration in force, or nil while there is none. Its version
	// must never decrease.
	View func() *fleetconfig.View
	// MapRead reports whether the configuration has been read from a majority of its
	// holders (see fleetconfig.Document) since the process started. Until then, and always
	// if MapRead is nil, a shard replica reads the latest epoch from the other replicas
	// before it votes.
	MapRead func() bool
	// Timing is the timing of leases. It must be the same on all instances. The zero value
	// means shard.DefaultTiming.
	Timing shard.Timing
	// ControlOwner, if set, makes the leader of control the owner of all accounts and
	// services.
	ControlOwner *ControlOwner
	// MaxAccounts bounds the number of accounts for which the ingress holds tokens. The
	// limit is enforced per stripe (see stripe), and the total limit is about an eighth
	// higher than MaxAccounts. Zero means DefaultMaxAccounts.
	MaxAccounts int
	// Logger receives changes of shard leases and the reachability of owners. Nil means
	// slog.Default.
	Logger *slog.Logger
}

// Service runs the shard replicas, owners and borrowers of one instance. It is safe for
// concurrent use.
type Service struct {
	config  Config
	log     *slog.Logger
	stripes [stripeCount]stripe
	// flushNeeded makes Serve flush the borrowers. It has a buffer of one.
	flushNeeded chan struct{}
	peers       peerSet

	// mu guards the following four fields. The current time must be read while mu is
	// held, so that no decision uses a time that was read before the wait for mu.
	mu        sync.Mutex
	ownership ownership
	lender    *quota.Lender
	view      *fleetconfig.View
	// heldTenures maps each shard whose lease was held at the last call of updateLeases
	// to the Holder, which identifies the tenure: a lease that was lost and acquired again
	// has a different Holder.
	heldTenures map[shard.ID]shard.Holder

	// ownersMu guards the following four fields.
	ownersMu sync.Mutex
	owners   *quota.OwnerTable
	// lastContact is when an owner last answered or a keep-alive was last sent. It is only
	// used with Config.ControlOwner.
	lastContact time.Time
	// keepAliveActive is set while the owner expects keep-alives of this ingress.
	keepAliveActive bool
	// unreachableSince holds the shards whose owner does not answer, and since when.
	unreachableSince map[shard.ID]time.Time

	// lastUsed is when a token was last used, in Unix nanoseconds of package clock.
	lastUsed atomic.Int64
}

// New returns a Service that owns no shards. The caller must call Register and add the
// Service to a supervisor.
func New(config Config) (*Service, error) {
	if config.Caller == nil || config.View == nil || config.Self.ID == "" {
		return nil, errors.New("the quota configuration lacks Caller, View or Self.ID; set all three")
	}
	if config.Timing == (shard.Timing{}) {
		config.Timing = shard.DefaultTiming()
	}
	if config.MaxAccounts == 0 {
		config.MaxAccounts = DefaultMaxAccounts
	}
	s := &Service{
		config:           config,
		log:              config.Logger,
		flushNeeded:      make(chan struct{}, 1),
		lender:           quota.NewLender(),
		owners:           quota.NewOwnerTable(),
		heldTenures:      make(map[shard.ID]shard.Holder),
		unreachableSince: make(map[shard.ID]time.Time),
	}
	if s.log == nil {
		s.log = slog.Default()
	}
	s.ownership = s.newOwnership()
	for i := range s.stripes {
		s.stripes[i].init(accountsPerStripe(config.MaxAccounts))
	}
	return s, nil
}

// newOwnership returns the ownership that Config selects.
func (s *Service) newOwnership() ownership {
	if s.config.ControlOwner != nil {
		s.lender.SingleShard = true
		return &leaderOwner{self: s.config.Self.ID, incarnation: rand.Uint64(), leadership: s.config.ControlOwner.Leadership}
	}
	manager := shard.NewManager(s.config.Self.ID, rand.Uint64(), s.config.Timing)
	manager.ExportState = s.lender.Export
	return manager
}

// String names the service for its supervisor.
func (s *Service) String() string { return "quota" }

// Serve runs the service until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastSweep time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.flushNeeded:
			s.flushBorrowers(ctx)
		case <-ticker.C:
			now := clock.Now()
			s.tick(ctx)
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				s.sweep()
			}
		}
	}
}

// tick advances all state machines to the current time and sends the messages that they
// return.
func (s *Service) tick(ctx context.Context) {
	s.sendShardMessages(ctx, s.tickOwnership())
	for i := range s.stripes {
		s.stripes[i].tick()
	}
	s.flushBorrowers(ctx)
	s.sendKeepAlive(ctx)
}

// tickOwnership applies the configuration in force and advances the ownership to the
// current time. It returns the messages to send.
func (s *Service) tickOwnership() []shard.Envelope {
	view := s.config.View()
	mapRead := s.config.MapRead != nil && s.config.MapRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var out []shard.Envelope
	if view != nil {
		s.view = view
		s.lender.ApplyConfig(view, now)
		out = s.ownership.UpdateMap(&view.Document().Shards, mapRead, now)
	}
	out = append(out, s.ownership.Tick(now)...)
	s.updateLeases(now)
	return out
}

// updateLeases passes the held leases to the lender and logs changes. The caller holds mu.
func (s *Service) updateLeases(now time.Time) {
	leases := s.ownership.Leases(now)
	s.lender.UpdateLeases(leases, now)
	current := make(map[shard.ID]shard.Holder, len(leases))
	for _, lease := range leases {
		current[lease.Shard] = lease.Holder
		if s.heldTenures[lease.Shard] != lease.Holder {
			s.log.Info("shard lease acquired", "shard", lease.Shard, "term", lease.Holder.Term)
		}
	}
	for id := range s.heldTenures {
		if _, ok := current[id]; !ok {
			s.log.Info("shard lease ended", "shard", id)
		}
	}
	s.heldTenures = current
}

func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lender.Sweep(clock.Now())
}

// HandOver prepares a planned stop: it hands all held leases over to other replicas. It
// returns when no lease is left, or an error when the context ends. Serve must run meanwhile.
// With Config.ControlOwner there are no leases: the accounts move with the leadership of
// control, which control hands over when it stops.
func (s *Service) HandOver(ctx context.Context) error {
	s.lastUsed.Store(0) // The ingress accepts no requests any more, so it is idle.
	if s.config.ControlOwner != nil {
		return nil
	}
	ticker := time.NewTicker(handoverRetryInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		out := s.ownership.Stop(clock.Now())
		s.mu.Unlock()
		s.sendShardMessages(ctx, out)
		if len(out) == 0 && s.OwnedShards() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "not all shard leases were handed over; the rest move when they expire")
		case <-ticker.C:
		}
	}
}

// OwnedShards returns the number of shards that this instance owns now.
func (s *Service) OwnedShards() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ownership.Leases(clock.Now()))
}
