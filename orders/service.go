package orders

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/transport"
)

// Paths of the calls between instances.
const (
	votePath    = "/fleet/orders/vote"
	releasePath = "/fleet/orders/release"
	finishPath  = "/fleet/orders/finish"
	readPath    = "/fleet/orders/read"
	statusPath  = "/fleet/orders/status"
)

const (
	// tickInterval is how often replicas drop expired records and go on reading.
	tickInterval = 200 * time.Millisecond
	// callTimeout bounds a call that no claim time bounds.
	callTimeout = 3 * time.Second
	// maxPendingSends bounds the calls about ended claims that are under way.
	maxPendingSends = 2048
)

// Config configures a Service.
type Config struct {
	// Self is this instance.
	Self fleetconfig.InstanceID
	// Idempotency are those of the decisions.
	Idempotency idempotency.Config
	// MaxBytes bounds the records of this instance.
	MaxBytes int
	// ShardMap returns the shard map of the configuration in force. It must return
	// the zero map until the instance has read the configuration as current. The
	// number of shards never changes in the life of a fleet, because it decides
	// where an order's record lives.
	ShardMap func() fleetconfig.ShardMap
	// Journal keeps the records on disk. Nil keeps them in memory only.
	Journal Journal
	// Logger receives the messages of the service.
	Logger *slog.Logger
}

// Service keeps the order records of one instance and claims orders for its
// ingress. It is a suture service and safe for concurrent use.
type Service struct {
	config Config
	caller transport.Caller
	logger *slog.Logger

	mu       sync.Mutex
	random   *rand.Rand
	budget   *idempotency.Budget
	replicas map[int]*idempotency.Replica
	shardMap fleetconfig.ShardMap
	journal  *journalWriter

	reading      atomic.Bool
	sendSlots    chan struct{}
	pendingSends sync.WaitGroup
}

// New returns the service, restores its journal and registers its calls on mux.
func New(config Config, caller transport.Caller, mux *http.ServeMux) (*Service, error) {
	if err := config.Idempotency.Validate(); err != nil {
		return nil, err
	}
	service := &Service{
		config:    config,
		caller:    caller,
		logger:    config.Logger,
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		budget:    idempotency.NewBudget(config.MaxBytes),
		replicas:  make(map[int]*idempotency.Replica),
		sendSlots: make(chan struct{}, maxPendingSends),
	}
	if config.Journal != nil {
		service.journal = newJournalWriter(config.Journal)
		if err := service.restore(); err != nil {
			return nil, err
		}
	}
	transport.HandleCall(mux, votePath, service.handleVote)
	transport.HandleCall(mux, releasePath, service.handleRelease)
	transport.HandleCall(mux, finishPath, service.handleFinish)
	transport.HandleCall(mux, readPath, service.handleRead)
	transport.HandleCall(mux, statusPath, service.handleStatus)
	return service, nil
}

// Serve runs the replicas until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		if err := s.compactJournal(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Drain waits until the outcomes of all ended claims are sent, or ctx ends. A
// planned stop calls it after the last request.
func (s *Service) Drain(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		s.pendingSends.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "outcomes of orders were not sent; repeats will hear that they are unknown")
	}
}

// Usage returns the bytes of the records and their number.
func (s *Service) Usage() (bytes, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, replica := range s.replicas {
		records += replica.Len()
	}
	return s.budget.Used(), records
}

// shardPlacement is the placement of one shardPlacement in one epoch.
type shardPlacement struct {
	number    int
	group     idempotency.Group
	addresses []string
}

// GroupOf returns the replicas of a shard as the decisions see them.
func GroupOf(shardMap fleetconfig.ShardMap, number int) idempotency.Group {
	group := idempotency.Group{Epoch: shardMap.Epoch}
	placement := shardMap.Shards[number]
	for i, replica := range placement.Replicas {
		member := idempotency.Member{ID: replica.ID}
		if i < len(placement.JoinEpochs) {
			member.Joined = placement.JoinEpochs[i]
		}
		group.Members = append(group.Members, member)
	}
	return group
}

func placementOf(shardMap fleetconfig.ShardMap, number int) shardPlacement {
	placed := shardPlacement{number: number, group: GroupOf(shardMap, number)}
	for _, replica := range shardMap.Shards[number].Replicas {
		placed.addresses = append(placed.addresses, replica.Address)
	}
	return placed
}

// shardFor spreads records evenly, those of a large account too.
func shardFor(shardMap fleetconfig.ShardMap, record idempotency.RecordID) int {
	return int(binary.BigEndian.Uint64(record[:8]) % uint64(len(shardMap.Shards)))
}

// applyShardMap hands a newer shard map to the replicas. The caller holds the lock.
func (s *Service) applyShardMap(shardMap fleetconfig.ShardMap, now time.Time) {
	if shardMap.Epoch <= s.shardMap.Epoch {
		return
	}
	s.shardMap = shardMap
	for number := range shardMap.Shards {
		placed := placementOf(shardMap, number)
		replica := s.replicas[number]
		if replica == nil {
			if placed.group.Index(s.config.Self) < 0 {
				continue
			}
			replica = s.addReplica(number)
		}
		replica.SetGroup(placed.group, now)
		s.persist(number, replica)
	}
}

func (s *Service) addReplica(number int) *idempotency.Replica {
	replica := idempotency.NewReplica(s.config.Idempotency, s.config.Self, s.random.Uint64(), s.budget, s.journal != nil)
	s.replicas[number] = replica
	return replica
}
