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

// URL paths of the calls between instances.
const (
	votePath    = "/fleet/orders/vote"
	releasePath = "/fleet/orders/release"
	finishPath  = "/fleet/orders/finish"
	readPath    = "/fleet/orders/read"
	statusPath  = "/fleet/orders/status"
)

const (
	// tickInterval is the interval at which replicas remove expired records and
	// continue a recovery.
	tickInterval = 200 * time.Millisecond
	// callTimeout is the timeout of all calls except vote requests, which time out
	// when their claim expires. All pages that one tick reads from one replica
	// share a single callTimeout.
	callTimeout = 3 * time.Second
	// maxPendingSends is the maximum number of concurrent sends of the release or
	// the outcome of a claim to a replica.
	maxPendingSends = 2048
)

// Config configures a Service.
type Config struct {
	// Self is the ID of this instance.
	Self fleetconfig.InstanceID
	// Idempotency holds the parameters of replicas and claims.
	Idempotency idempotency.Config
	// MaxBytes is the memory limit for the records of this instance.
	MaxBytes int
	// ShardMap returns the shard map of the current configuration. It must return
	// the zero map until the instance has confirmed that its configuration is
	// current. The number of shards must never change during the lifetime of a
	// fleet, because it determines the shard of each order's record.
	ShardMap func() fleetconfig.ShardMap
	// Journal stores the records on disk. If nil, records are held in memory only.
	Journal Journal
	// Logger is used for the messages of the service.
	Logger *slog.Logger
}

// Service holds the order records of one instance and claims orders for its
// ingress. It implements the Service interface of the supervisor library suture
// and is safe for concurrent use.
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

// New returns a service, restores its journal and registers its call handlers
// on mux.
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

// Serve runs the replicas until ctx is canceled.
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

// Drain waits until no send of the release or the outcome of a claim is pending,
// or until ctx is done. A send is pending until it succeeds or its last attempt
// fails. Call Drain after the last request during a graceful shutdown.
func (s *Service) Drain(ctx context.Context) error {
	sendsEnded := make(chan struct{})
	go func() {
		s.pendingSends.Wait()
		close(sendsEnded)
	}()
	select {
	case <-sendsEnded:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "order outcomes not sent to all replicas; duplicate requests may be refused with an unknown outcome")
	}
}

// Usage returns the memory used by the records, in bytes, and the number of
// records.
func (s *Service) Usage() (bytes, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, replica := range s.replicas {
		records += replica.Len()
	}
	return s.budget.Used(), records
}

// shardPlacement contains the group of one shard in one epoch and the addresses
// of its members.
type shardPlacement struct {
	number    int
	group     idempotency.Group
	addresses []string
}

// GroupOf returns the replicas of a shard as an idempotency.Group.
func GroupOf(shardMap fleetconfig.ShardMap, number int) idempotency.Group {
	group := idempotency.Group{Epoch: shardMap.Epoch}
	placement := shardMap.Shards[number]
	for i, replica := range placement.Replicas {
		member := idempotency.Member{ID: replica.ID}
		if i < len(placement.JoinEpochs) {
			member.JoinEpoch = placement.JoinEpochs[i]
		}
		group.Members = append(group.Members, member)
	}
	return group
}

func placementOf(shardMap fleetconfig.ShardMap, number int) shardPlacement {
	placement := shardPlacement{number: number, group: GroupOf(shardMap, number)}
	for _, replica := range shardMap.Shards[number].Replicas {
		placement.addresses = append(placement.addresses, replica.Address)
	}
	return placement
}

// shardFor returns the number of the shard that holds a record. The record ID
// is a digest, so records are distributed evenly, including those of a large
// account.
func shardFor(shardMap fleetconfig.ShardMap, record idempotency.RecordID) int {
	return int(binary.BigEndian.Uint64(record[:8]) % uint64(len(shardMap.Shards)))
}

// applyShardMap applies a newer shard map to the replicas. The caller must hold
// s.mu.
func (s *Service) applyShardMap(shardMap fleetconfig.ShardMap, now time.Time) {
	if shardMap.Epoch <= s.shardMap.Epoch {
		return
	}
	s.shardMap = shardMap
	for number := range shardMap.Shards {
		placement := placementOf(shardMap, number)
		replica := s.replicas[number]
		if replica == nil {
			if placement.group.Index(s.config.Self) < 0 {
				continue
			}
			replica = s.addReplica(number)
		}
		replica.SetGroup(placement.group, now)
		s.persist(number, replica)
	}
}

func (s *Service) addReplica(number int) *idempotency.Replica {
	replica := idempotency.NewReplica(s.config.Idempotency, s.config.Self, s.random.Uint64(), s.budget, s.journal != nil)
	s.replicas[number] = replica
	return replica
}
