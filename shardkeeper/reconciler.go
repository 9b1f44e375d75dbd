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
)

const (
	// reconcileInterval is how often the leader checks whether a change is needed.
	reconcileInterval = 250 * time.Millisecond
	// minStableTime is how long the alive instances of a new fleet must stay the same
	// before holders and shards are placed on them.
	minStableTime = 4 * time.Second
	// reconcileTimeout bounds one reconciliation, including the calls to all replicas.
	reconcileTimeout = 5 * time.Second
	// maxShardChanges is the maximum number of shards that one command changes.
	maxShardChanges = 16
	// operatorName names the author of the changes in the configuration history.
	operatorName = "hemlockd"
)

// dedicatedTiming replaces shard.DefaultPlannerTiming if only dedicated instances hold
// shards. Such a fleet has no spare instances: a new one appears only to replace one that
// is gone, so replicas can move to it without a long wait.
var dedicatedTiming = shard.PlannerTiming{GoneAfter: time.Second, StableAfter: time.Second}

// Configuration gives access to the configuration of the fleet.
type Configuration interface {
	// View returns the accepted configuration.
	View() *fleetconfig.View
	// Propose sends a command to the leader of control and returns the result.
	Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error)
}

// Config configures a Reconciler.
type Config struct {
	// Configuration gives access to the configuration.
	Configuration Configuration
	// IsLeader reports whether this instance leads control.
	IsLeader func() bool
	// AliveInstances returns the instances that are alive and not stopping, ordered by
	// ID.
	AliveInstances func() []fleetconfig.InstanceAddress
	// AssignHolders makes the Reconciler assign holders of the configuration. Without
	// holders, only control can attest that a configuration is current.
	AssignHolders bool
	// DedicatedInstances is the number of instances that are dedicated to hold shards,
	// or 0 if any instance may hold them.
	DedicatedInstances int
	// InitialShards is the number of shards of a new fleet.
	InitialShards int
	// FetchOrderStatuses requests the statuses of the replicas that hold the order records
	// of a shard (see package idempotency).
	FetchOrderStatuses func(ctx context.Context, shardMap fleetconfig.ShardMap, number int) []idempotency.Status
	// FetchConfirmedEpochs requests the confirmed epochs from the replicas of all shards.
	FetchConfirmedEpochs func(ctx context.Context, shardMap *fleetconfig.ShardMap) shard.ConfirmedEpochs
	// Logger receives the changes of the placement.
	Logger *slog.Logger
}

// Reconciler assigns holders and places shards. It is a suture service. Only the
// goroutine of Serve accesses its fields.
type Reconciler struct {
	config  Config
	planner *shard.Planner
	// alive holds the alive instances, which have not changed since aliveSince.
	alive      []fleetconfig.InstanceAddress
	aliveSince time.Time
}

// New returns a Reconciler that has observed no instances yet.
func New(config Config) *Reconciler {
	timing := shard.DefaultPlannerTiming()
	if config.DedicatedInstances > 0 {
		timing = dedicatedTiming
	}
	return &Reconciler{config: config, planner: shard.NewPlanner(timing)}
}

// Serve observes the alive instances and, while this instance leads control, makes the
// changes that are needed. It runs until ctx ends.
func (r *Reconciler) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			now := clock.Now()
			r.observe(now)
			if r.config.IsLeader() {
				r.reconcile(ctx, now)
			}
		}
	}
}

// observe records which instances are alive.
func (r *Reconciler) observe(now time.Time) {
	alive := r.config.AliveInstances()
	if !slices.Equal(alive, r.alive) {
		r.alive = alive
		r.aliveSince = now
	}
	r.planner.Observe(alive, now)
}

// reconcile proposes at most one command.
func (r *Reconciler) reconcile(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	document := r.config.Configuration.View().Document()
	stable := now.Sub(r.aliveSince) >= r.requiredStableTime()
	switch {
	case r.config.AssignHolders && len(document.Holders) == 0:
		if stable {
			r.propose(ctx, document, fleetconfig.Change{Kind: fleetconfig.SetHolders, Holders: chooseHolders(r.alive)})
		}
	case document.Shards.Epoch == 0:
		if stable {
			initial := shard.InitialMap(r.config.InitialShards, r.alive)
			r.propose(ctx, document, fleetconfig.Change{Kind: fleetconfig.PlaceShards, Shards: initial.Shards})
		}
	case document.Shards.Epoch == idempotency.InitialEpoch:
		if r.initialEpochConfirmed(ctx, document.Shards) {
			r.propose(ctx, document, fleetconfig.Change{Kind: fleetconfig.OpenShards})
		}
	default:
		r.moveReplicas(ctx, document, now)
	}
}

// requiredStableTime returns how long the alive instances must stay the same before the
// first placement. If all dedicated instances are alive, there is nothing to wait for.
func (r *Reconciler) requiredStableTime() time.Duration {
	if r.config.DedicatedInstances > 0 && len(r.alive) >= r.config.DedicatedInstances {
		return 0
	}
	return minStableTime
}

func (r *Reconciler) propose(ctx context.Context, document *fleetconfig.Document, changes ...fleetconfig.Change) {
	command := &fleetconfig.Command{
		ChangeID:    uuid.NewString(),
		BaseVersion: document.Version,
		Operator:    operatorName,
		ProposedAt:  clock.Now(),
		Changes:     changes,
	}
	result, err := r.config.Configuration.Propose(ctx, command)
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		r.config.Logger.Warn("placement change failed; retrying", "change", changes[0].Summary(), "changes", len(changes), "error", err)
		return
	}
	r.config.Logger.Info("placement changed", "change", changes[0].Summary(), "changes", len(changes), "version", result.Version)
}

// initialEpochConfirmed reports whether every replica of every shard has the epoch of
// shardMap, which is the initial epoch, and is ready to vote on order records.
func (r *Reconciler) initialEpochConfirmed(ctx context.Context, shardMap fleetconfig.ShardMap) bool {
	for number, placement := range shardMap.Shards {
		ready := 0
		for _, status := range r.config.FetchOrderStatuses(ctx, shardMap, number) {
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

// moveReplicas proposes the planner's next step for each shard for which stepAllowed
// permits the step, for at most maxShardChanges shards. Shards are independent of each
// other, and each step adds or removes one replica.
func (r *Reconciler) moveReplicas(ctx context.Context, document *fleetconfig.Document, now time.Time) {
	// Check whether any step is planned before calling all replicas.
	if _, changed := r.planner.NextMap(&document.Shards, allConfirmed(&document.Shards), now); !changed {
		return
	}
	confirmed := r.config.FetchConfirmedEpochs(ctx, &document.Shards)
	next, changed := r.planner.NextMap(&document.Shards, confirmed, now)
	if !changed {
		return
	}
	var steps []fleetconfig.Change
	for number := range next.Shards {
		if slices.Equal(next.Shards[number].Replicas, document.Shards.Shards[number].Replicas) {
			continue
		}
		statuses := r.config.FetchOrderStatuses(ctx, document.Shards, number)
		if !stepAllowed(document.Shards, next, number, statuses) {
			continue
		}
		// Each step increments the epoch, so the steps of one command have consecutive
		// epochs.
		steps = append(steps, fleetconfig.Change{Kind: fleetconfig.StepShard, Step: &fleetconfig.ShardStep{
			Shard:    uint32(number),
			Epoch:    document.Shards.Epoch + uint64(len(steps)) + 1,
			Replicas: next.Shards[number].Replicas,
		}})
		if len(steps) == maxShardChanges {
			break
		}
	}
	if len(steps) > 0 {
		r.propose(ctx, document, steps...)
	}
}
