package node

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/hemlockring/hemlockring/configsync"
	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/orders"
	"github.com/hemlockring/hemlockring/quotadriver"
	"github.com/hemlockring/hemlockring/settings"
	"github.com/hemlockring/hemlockring/shard"
	"github.com/hemlockring/hemlockring/shardkeeper"
)

// heartbeatsPerElection is the number of leader heartbeats within an election timeout.
const heartbeatsPerElection = 6

// logFolder is the subfolder of the data folder that holds the replicated log.
const logFolder = "log"

// buildConfiguration creates the configuration service and, on control instances, the
// replicated log. It does nothing if the options provide a configuration.
func (n *Node) buildConfiguration() error {
	if n.configuration != nil {
		return nil
	}
	config := configsync.Config{
		Self:            n.selfAddress(),
		LinkMbps:        n.settings.Fleet.LinkMbps,
		Incarnation:     rand.Uint64(),
		Peers:           memberPeers{n.members},
		Caller:          n.endpoint,
		Logger:          n.logger,
		RevocationBound: n.settings.Control.RevocationBound,

		PollControlFirst: n.settings.Control.SelfForming(),
	}
	if n.settings.Instance.HasRole(settings.RoleControl) {
		n.replica = configsync.NewReplica()
		if err := n.buildControl(n.replica); err != nil {
			return err
		}
		config.Replica = n.replica
		config.Log = replicatedLog{n.control}
	}
	n.configSync = configsync.New(config, n.fleetMux)
	n.configuration = n.configSync
	if n.control != nil {
		n.forwarder = configsync.NewForwarder(n.configSync, n.endpoint, n.fleetMux)
		n.sourceReader = configsync.NewSourceReader(n.configSync, n.endpoint, n.fleetMux)
	}
	return nil
}

// buildControl creates the replicated log with replica as its state machine.
func (n *Node) buildControl(replica *configsync.Replica) error {
	var initial []control.Peer
	for _, member := range n.settings.Control.Members {
		initial = append(initial, control.Peer{ID: member.ID, Address: member.Address})
	}
	var group *control.Group
	if n.settings.Control.SelfForming() {
		group = &control.Group{
			Voters:     n.settings.Control.InitialVoters(),
			Bootstrap:  n.settings.Control.Bootstrap && n.isFirstSeed(),
			AlivePeers: n.controlInstances,
		}
	}
	var err error
	n.control, err = control.New(control.Config{
		ID:           n.settings.Instance.ID,
		Address:      n.settings.Fleet.Address,
		Folder:       filepath.Join(n.settings.Instance.DataFolder, logFolder),
		InitialPeers: initial,
		Group:        group,

		ElectionTimeout:   n.settings.Control.ElectionTimeout,
		HeartbeatInterval: n.settings.Control.ElectionTimeout / heartbeatsPerElection,

		Caller:       n.endpoint,
		StateMachine: replica,
		Logger:       n.logger,
	}, n.fleetMux)
	return err
}

// isFirstSeed reports whether this instance has the lowest of the addresses to join.
// This is true of at most one instance, because the addresses are the same on all
// instances when the fleet starts for the first time.
func (n *Node) isFirstSeed() bool {
	join := n.settings.Fleet.Join
	return len(join) > 0 && slices.Min(join) == n.settings.Fleet.Address
}

// controlInstances returns the control instances that are not known to be dead or to
// have left, including this one.
func (n *Node) controlInstances() []control.Peer {
	var peers []control.Peer
	for _, member := range n.members.Snapshot().Members {
		if member.Record.Control && member.Liveness != membership.Dead && !member.Record.Left {
			peers = append(peers, control.Peer{ID: member.Record.ID, Address: member.Record.Address})
		}
	}
	return peers
}

// buildShardReconciler creates, on control instances, the service that selects the
// instances that hold the configuration and those that hold the shards.
func (n *Node) buildShardReconciler() {
	if n.control == nil {
		return
	}
	n.shardReconciler = shardkeeper.New(shardkeeper.Config{
		Configuration:      n.configSync,
		IsLeader:           n.control.IsLeader,
		AliveInstances:     n.shardHosts,
		AssignHolders:      !n.settings.Control.SelfForming(),
		DedicatedInstances: n.dedicatedHosts(),
		InitialShards:      n.shardCount(),
		FetchOrderStatuses: func(ctx context.Context, shardMap fleetconfig.ShardMap, number int) []idempotency.Status {
			return orders.FetchStatuses(ctx, n.endpoint, shardMap, number)
		},
		FetchConfirmedEpochs: func(ctx context.Context, shardMap *fleetconfig.ShardMap) shard.ConfirmedEpochs {
			return quotadriver.CollectConfirmedEpochs(ctx, n.endpoint, shardMap)
		},
		Logger: n.logger,
	})
}

// dedicatedHosts returns the number of instances that are reserved for shards, or 0 if
// any proxy may hold shards.
func (n *Node) dedicatedHosts() int {
	if !n.settings.Control.SelfForming() {
		return 0
	}
	return n.settings.Control.InitialVoters()
}

// shardCount returns the number of shards of a new fleet. A self-forming control group
// has few instances, on which more shards would only add messages.
func (n *Node) shardCount() int {
	if n.settings.Control.SelfForming() {
		return controlShards
	}
	return shard.DefaultShards
}

// controlShards is the number of shards on a self-forming control group. It is large
// enough that each of five instances owns some.
const controlShards = 10

// shardHosts returns the instances that may hold shards. If the control group forms
// itself, these are the control instances: they are reserved for shared state and
// run longer than the proxies, which start and stop with their backend servers.
func (n *Node) shardHosts() []fleetconfig.InstanceAddress {
	if !n.settings.Control.SelfForming() {
		return n.aliveProxies()
	}
	var hosts []fleetconfig.InstanceAddress
	for _, member := range n.members.Snapshot().Members {
		if member.Record.Control && !member.Record.Left && member.Liveness == membership.Alive {
			hosts = append(hosts, addressOf(&member.Record))
		}
	}
	return hosts
}

// aliveProxies returns the instances that may hold the configuration and
// shards: those with the role proxy that are alive and not draining, ordered by ID.
// Instances with the role control only are excluded, so that the proxies can serve
// without them.
func (n *Node) aliveProxies() []fleetconfig.InstanceAddress {
	var alive []fleetconfig.InstanceAddress
	for _, member := range n.members.Snapshot().Members {
		serves := member.Record.Proxy && !member.Record.Left && !member.Record.Draining
		if serves && member.Liveness == membership.Alive {
			alive = append(alive, addressOf(&member.Record))
		}
	}
	return alive
}

func addressOf(record *membership.Record) fleetconfig.InstanceAddress {
	return fleetconfig.InstanceAddress{ID: record.ID, Address: record.Address, FailureDomain: record.FailureDomain}
}

// replicatedLog adapts control.Node to configsync.Log.
type replicatedLog struct{ node *control.Node }

// Propose implements configsync.Log.
func (l replicatedLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return l.node.Propose(ctx, command)
}

// Leadership implements configsync.Log.
func (l replicatedLog) Leadership() configsync.Leadership {
	return configsync.Leadership(l.node.Leadership())
}

// ReadBarrier implements configsync.Log.
func (l replicatedLog) ReadBarrier(ctx context.Context) error { return l.node.ReadBarrier(ctx) }

// memberPeers adapts gossip.Service to configsync.Peers.
type memberPeers struct{ members *gossip.Service }

// Peers implements configsync.Peers.
func (m memberPeers) Peers() []configsync.Peer {
	snapshot := m.members.Snapshot()
	var peers []configsync.Peer
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		usable := member.Liveness != membership.Dead && !member.Record.Left
		if usable && member.Record.ID != snapshot.Self {
			peers = append(peers, configsync.Peer{
				InstanceAddress: addressOf(&member.Record), Control: member.Record.Control, LinkMbps: member.Record.LinkMbps,
			})
		}
	}
	return peers
}
