package quotadriver

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// leaderTokenLifetime is the lifetime of tokens that a leader of control, the group of
// control instances, lends. Tokens of a former leader may therefore be valid for this time
// after the leader has changed.
const leaderTokenLifetime = time.Second

// Leadership reports the leadership of the control group. It must be safe for concurrent
// use.
type Leadership interface {
	// LeaderTerm returns the current term; certain reports whether this instance is
	// certain to be the only leader now.
	LeaderTerm() (term uint64, certain bool)
	// KnownLeader returns the last known leader and its address for calls between
	// instances. The zero value means that no leader is known; the address may be empty.
	KnownLeader() fleetconfig.InstanceAddress
}

// ControlOwner makes the leader of control the owner of all accounts and services,
// instead of one owner for each shard. It is used in fleets with dedicated control
// instances. There, requests with an idempotency key need control anyway, and after a
// failure a new leader is elected sooner than each shard gets a new owner from a majority
// of its replicas.
type ControlOwner struct {
	// Instances returns the control instances. While the set of control instances does
	// not change, it must return them in the same order.
	Instances func() []fleetconfig.InstanceAddress
	// Leadership is set on control instances and nil elsewhere.
	Leadership Leadership
}

// leaderOwner implements ownership with the leadership of control. Service.mu guards its
// fields.
type leaderOwner struct {
	self        fleetconfig.InstanceID
	incarnation uint64
	leadership  Leadership
	// term is the latest term in which this instance was found to lead, and termSince is
	// when this was first found.
	term      uint64
	termSince time.Time
}

// Held returns a lease on any shard while this instance leads.
func (o *leaderOwner) Held(id shard.ID, now time.Time) (shard.Lease, bool) {
	if o.leadership == nil {
		return shard.Lease{}, false
	}
	term, certain := o.leadership.LeaderTerm()
	if !certain {
		return shard.Lease{}, false
	}
	if term != o.term {
		o.term, o.termSince = term, now
	}
	return shard.Lease{
		Shard:           id,
		Holder:          shard.Holder{Instance: o.self, Incarnation: o.incarnation, Term: term},
		ExpiresAt:       now.Add(leaderTokenLifetime),
		PriorTenuresEnd: o.termSince.Add(leaderTokenLifetime),
	}, true
}

// Leases returns the lease on shard 0 while this instance leads. There is no other shard
// with Config.ControlOwner; see Service.shardMap.
func (o *leaderOwner) Leases(now time.Time) []shard.Lease {
	if lease, held := o.Held(0, now); held {
		return []shard.Lease{lease}
	}
	return nil
}

// KnownHolder returns the last known leader.
func (o *leaderOwner) KnownHolder(shard.ID, time.Time) (fleetconfig.InstanceID, time.Duration) {
	if o.leadership == nil {
		return "", 0
	}
	return o.leadership.KnownLeader().ID, 0
}

// The following methods do nothing: the leader is elected by the replicated log of
// control and not by shard replicas.

// UpdateMap implements ownership.
func (*leaderOwner) UpdateMap(*fleetconfig.ShardMap, bool, time.Time) []shard.Envelope { return nil }

// Tick implements ownership.
func (*leaderOwner) Tick(time.Time) []shard.Envelope { return nil }

// Handle implements ownership.
func (*leaderOwner) Handle(fleetconfig.InstanceID, *shard.Message, time.Time) *shard.Message {
	return nil
}

// HandleReply implements ownership.
func (*leaderOwner) HandleReply(fleetconfig.InstanceID, *shard.Message, time.Time) []shard.Envelope {
	return nil
}

// Confirmations implements ownership.
func (*leaderOwner) Confirmations(time.Time) []shard.Confirmation { return nil }

// Stop implements ownership.
func (*leaderOwner) Stop(time.Time) []shard.Envelope { return nil }

// addressOf returns the address of an owner according to control, or "" if this instance
// does not take part in control or control knows another leader by now.
func (c *ControlOwner) addressOf(owner fleetconfig.InstanceID) string {
	if c == nil || c.Leadership == nil {
		return ""
	}
	if leader := c.Leadership.KnownLeader(); leader.ID == owner {
		return leader.Address
	}
	return ""
}

// ownership decides which shards this instance owns. shard.Manager and leaderOwner
// implement it.
type ownership interface {
	UpdateMap(shardMap *fleetconfig.ShardMap, mapRead bool, now time.Time) []shard.Envelope
	Tick(now time.Time) []shard.Envelope
	Handle(from fleetconfig.InstanceID, message *shard.Message, now time.Time) *shard.Message
	HandleReply(from fleetconfig.InstanceID, reply *shard.Message, now time.Time) []shard.Envelope
	Held(id shard.ID, now time.Time) (shard.Lease, bool)
	Leases(now time.Time) []shard.Lease
	KnownHolder(id shard.ID, now time.Time) (fleetconfig.InstanceID, time.Duration)
	Confirmations(now time.Time) []shard.Confirmation
	Stop(now time.Time) []shard.Envelope
}

var (
	_ ownership = (*shard.Manager)(nil)
	_ ownership = (*leaderOwner)(nil)
)

// shardMap returns the map that is used to find owners: that of the configuration, or with
// Config.ControlOwner a map with one shard whose replicas are the control instances.
func (s *Service) shardMap(view *fleetconfig.View) *fleetconfig.ShardMap {
	if s.config.ControlOwner == nil {
		return &view.Document().Shards
	}
	controlInstances := s.config.ControlOwner.Instances()
	if len(controlInstances) == 0 {
		return &fleetconfig.ShardMap{}
	}
	return &fleetconfig.ShardMap{Epoch: 1, Shards: []fleetconfig.ShardPlacement{{Replicas: controlInstances}}}
}
