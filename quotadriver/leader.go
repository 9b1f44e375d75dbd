package quotadriver

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// leaderTokenLife is how long a token of a leader of control lasts, and so how long
// after a change of leader tokens of the former one may be left.
const leaderTokenLife = time.Second

// Leadership is the leadership of the control group, on control instances.
type Leadership interface {
	// LeaderTerm returns the term in which this instance is certain to lead now, or false.
	LeaderTerm() (term uint64, certain bool)
	// KnownLeader returns the leader as far as this instance knows, or "".
	KnownLeader() fleetconfig.InstanceID
}

// ControlOwner makes the leader of control the owner of every account and service, in
// place of the owners of shards. It is for fleets whose control instances are set
// aside: keyed requests stop without control anyway, and one owner that moves with
// the leadership is back sooner than a majority of replicas for each shard.
type ControlOwner struct {
	// Instances returns the control instances, the same ones in the same order as long as
	// they stay.
	Instances func() []fleetconfig.InstanceAddress
	// Leadership is set on control instances.
	Leadership Leadership
}

// leaderOwner decides what this instance owns as the leader of control.
type leaderOwner struct {
	self        fleetconfig.InstanceID
	incarnation uint64
	leader      Leadership
	// term is the newest term in which this instance led, since when it is known.
	term  uint64
	since time.Time
}

// Held returns the lease on everything while this instance leads.
func (o *leaderOwner) Held(id shard.ID, now time.Time) (shard.Lease, bool) {
	if o.leader == nil {
		return shard.Lease{}, false
	}
	term, certain := o.leader.LeaderTerm()
	if !certain {
		return shard.Lease{}, false
	}
	if term != o.term {
		o.term, o.since = term, now
	}
	return shard.Lease{
		Shard:           id,
		Holder:          shard.Holder{Instance: o.self, Incarnation: o.incarnation, Term: term},
		ExpiresAt:       now.Add(leaderTokenLife),
		PriorTenuresEnd: o.since.Add(leaderTokenLife),
	}, true
}

// Leases returns what is held now.
func (o *leaderOwner) Leases(now time.Time) []shard.Lease {
	if lease, held := o.Held(0, now); held {
		return []shard.Lease{lease}
	}
	return nil
}

// KnownHolder returns the leader as far as is known.
func (o *leaderOwner) KnownHolder(shard.ID, time.Time) (fleetconfig.InstanceID, time.Duration) {
	if o.leader == nil {
		return "", 0
	}
	return o.leader.KnownLeader(), 0
}

// Adopt, Tick, Handle, HandleReply, Confirmations and Stop have nothing to do: the
// replicated log elects the leader.

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

// ownership decides which shards this instance owns. It is implemented by
// shard.Manager and by leaderOwner.
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

// shardMap returns the map by which owners are found: that of the configuration, or
// one shard on the control instances.
func (s *Service) shardMap(view *fleetconfig.View) *fleetconfig.ShardMap {
	if s.config.ControlOwner == nil {
		return &view.Document().Shards
	}
	hosts := s.config.ControlOwner.Instances()
	if len(hosts) == 0 {
		return &fleetconfig.ShardMap{}
	}
	return &fleetconfig.ShardMap{Epoch: 1, Shards: []fleetconfig.ShardPlacement{{Replicas: hosts}}}
}
