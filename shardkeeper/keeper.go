package shardkeeper

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/shard"
	"github.com/hemlockring/hemlockring/transport"
)

const (
	// interval is how often the keeper looks for something to do.
	interval = 250 * time.Millisecond
	// settleTime is how long the members of a new fleet must stay the same before
	// holders and shards are placed on them.
	settleTime = 4 * time.Second
	// callTimeout bounds the questions to all replicas.
	callTimeout = 5 * time.Second
	// maxSteps bounds the shards that one command changes.
	maxSteps = 16
	// operator is the keeper's name in the history of changes.
	operator = "hemlockd"
)

// setAsideTiming is how soon replicas move between hosts that are set aside: there
// is no spare one, so that a successor is only there because another one is gone.
var setAsideTiming = shard.PlannerTiming{GoneAfter: time.Second, StableAfter: time.Second}

// Configuration reads and changes the configuration.
type Configuration interface {
	// View returns the accepted configuration.
	View() *fleetconfig.View
	// Propose makes a command on the leader of control.
	Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error)
}

// Config configures a Keeper.
type Config struct {
	// Configuration reads and changes the configuration.
	Configuration Configuration
	// IsLeader reports whether this instance leads control.
	IsLeader func() bool
	// AliveInstances returns the instances that live and do not stop, ordered by ID.
	AliveInstances func() []fleetconfig.InstanceAddress
	// AssignHolders says whether holders of the configuration are named. Without them,
	// only control vouches that a configuration is current.
	AssignHolders bool
	// DedicatedInstances is how many instances are set aside to hold shards, 0 when any may.
	DedicatedInstances int
	// InitialShards is how many shards a new fleet gets.
	InitialShards int
	// Caller calls the replicas.
	Caller transport.Caller
	// FetchOrderStatuses asks the replicas of a shard how far their order records are.
	FetchOrderStatuses func(ctx context.Context, shardMap fleetconfig.ShardMap, number int) []idempotency.Status
	// FetchConfirmedEpochs asks the replicas of all shards which epoch they have confirmed.
	FetchConfirmedEpochs func(ctx context.Context, shardMap *fleetconfig.ShardMap) shard.ConfirmedEpochs
	// Logger receives the keeper's messages.
	Logger *slog.Logger
}

// Reconciler keeps holders and shards placed. It is a suture service.
type Reconciler struct {
	config  Config
	planner *shard.Planner
	alive   []fleetconfig.InstanceAddress
	since   time.Time
}

// New returns a keeper without history.
func New(config Config) *Reconciler {
	timing := shard.DefaultPlannerTiming()
	if config.DedicatedInstances > 0 {
		timing = setAsideTiming
	}
	return &Reconciler{config: config, planner: shard.NewPlanner(timing)}
}

// Serve keeps holders and shards placed until ctx ends.
func (k *Reconciler) Serve(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			now := clock.Now()
			k.observe(now)
			if k.config.IsLeader() {
				k.keep(ctx, now)
			}
		}
	}
}

func (k *Reconciler) observe(now time.Time) {
	alive := k.config.AliveInstances()
	if !slices.Equal(alive, k.alive) {
		k.alive = alive
		k.since = now
	}
	k.planner.Observe(alive, now)
}

// keep makes at most one change.
func (k *Reconciler) keep(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	document := k.config.Configuration.View().Document()
	settled := now.Sub(k.since) >= k.settleTime()
	switch {
	case k.config.AssignHolders && len(document.Holders) == 0:
		if settled {
			k.propose(ctx, document, fleetconfig.Change{Kind: fleetconfig.SetHolders, Holders: chooseHolders(k.alive)})
		}
	case document.Shards.Epoch == 0:
		if settled {
			placed := shard.InitialMap(k.config.InitialShards, k.alive)
			k.propose(ctx, document, fleetconfig.Change{Kind: fleetconfig.PlaceShards, Shards: placed.Shards})
		}
	case document.Shards.Epoch == idempotency.InitialEpoch:
		if k.foundingConfirmed(ctx, document.Shards) {
			k.propose(ctx, document, fleetconfig.Change{Kind: fleetconfig.OpenShards})
		}
	default:
		k.moveReplicas(ctx, document, now)
	}
}

// settleTime returns how long the members must stay the same before the first
// placement. Hosts whose number is known need not be waited for once they are there.
func (k *Reconciler) settleTime() time.Duration {
	if k.config.DedicatedInstances > 0 && len(k.alive) >= k.config.DedicatedInstances {
		return 0
	}
	return settleTime
}

func (k *Reconciler) propose(ctx context.Context, document *fleetconfig.Document, changes ...fleetconfig.Change) {
	command := &fleetconfig.Command{
		ChangeID:    uuid.NewString(),
		BaseVersion: document.Version,
		Operator:    operator,
		ProposedAt:  clock.Now(),
		Changes:     changes,
	}
	result, err := k.config.Configuration.Propose(ctx, command)
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		k.config.Logger.Warn("placement not changed, will be tried again", "change", changes[0].Summary(), "changes", len(changes), "error", err)
		return
	}
	k.config.Logger.Info("placement changed", "change", changes[0].Summary(), "changes", len(changes), "version", result.Version)
}

// foundingConfirmed reports whether every replica of every shard has taken up the
// founding epoch with nothing lost.
func (k *Reconciler) foundingConfirmed(ctx context.Context, shardMap fleetconfig.ShardMap) bool {
	for number, placement := range shardMap.Shards {
		ready := 0
		for _, status := range k.config.FetchOrderStatuses(ctx, shardMap, number) {
			if status.Ready && status.Epoch == shardMap.Epoch {
				ready++
			}
		}
		if ready < len(placement.Replicas) {
			return false
		}
	}
	return true
}

// moveReplicas makes the planner's next step of each shard that permits one: shards
// are independent of each other, and each changes by one replica at a time.
func (k *Reconciler) moveReplicas(ctx context.Context, document *fleetconfig.Document, now time.Time) {
	// First see whether there is anything to move, before all replicas are asked.
	if _, wanted := k.planner.NextMap(&document.Shards, assumeConfirmed(&document.Shards), now); !wanted {
		return
	}
	confirmed := k.config.FetchConfirmedEpochs(ctx, &document.Shards)
	next, wanted := k.planner.NextMap(&document.Shards, confirmed, now)
	if !wanted {
		return
	}
	var steps []fleetconfig.Change
	for number := range next.Shards {
		if slices.Equal(next.Shards[number].Replicas, document.Shards.Shards[number].Replicas) {
			continue
		}
		statuses := k.config.FetchOrderStatuses(ctx, document.Shards, number)
		if !stepAllowed(document.Shards, next, number, statuses) {
			continue
		}
		// Each step raises the epoch by one, also within a command.
		steps = append(steps, fleetconfig.Change{Kind: fleetconfig.StepShard, Step: &fleetconfig.ShardStep{
			Shard:    uint32(number),
			Epoch:    document.Shards.Epoch + uint64(len(steps)) + 1,
			Replicas: next.Shards[number].Replicas,
		}})
		if len(steps) == maxSteps {
			break
		}
	}
	if len(steps) > 0 {
		k.propose(ctx, document, steps...)
	}
}
