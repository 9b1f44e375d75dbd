package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/internal/simnet"
)

// simulatedNode is an instance with its own clock.
type simulatedNode struct {
	address        fleetconfig.InstanceAddress
	clock          simnet.Clock
	suspendedUntil time.Time
	restartAt      time.Time // time of the restart that follows a planned stop
	incarnation    uint64
	manager        *Manager
	// mapIndex is the index in simulation.maps of the latest map that the node has
	// received.
	mapIndex int
	// The probability that the node receives the next map in a step is
	// 1/mapUpdateOdds.
	mapUpdateOdds int
}

// simulatedMessage is a request or the reply to one.
type simulatedMessage struct {
	message Message
	reply   bool
}

// simulation drives the managers of a few instances through faults.
type simulation struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	network simnet.Network[simulatedMessage]
	nodes   []*simulatedNode
	maps    []fleetconfig.ShardMap
	planner *Planner
	// absent has the instances that plan does not report as alive to the planner.
	// Their nodes keep running.
	absent map[fleetconfig.InstanceID]bool
	// tenures counts the tenures, steps the steps of the map.
	tenures int
	steps   int
	// handedOver counts the tenures that started with the state of an earlier one.
	handedOver int
	// lastTenure has the latest tenure of each shard.
	lastTenure map[ID]Holder
	// latestEnd holds, for each shard, the latest true time at which any tenure so far
	// would have ended.
	latestEnd map[ID]time.Time
	// withoutState counts the tenures that started without state before latestEnd.
	withoutState int
}

const simulatedShards = 2

// newRandom returns the random source of a run.
func newRandom(t *rapid.T) *rand.Rand {
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
}

func newSimulation(t *rapid.T, minNodes, maxNodes int, timing PlannerTiming) *simulation {
	s := &simulation{
		t:          t,
		random:     newRandom(t),
		now:        simnet.StartTime,
		planner:    NewPlanner(timing),
		absent:     make(map[fleetconfig.InstanceID]bool),
		lastTenure: make(map[ID]Holder),
		latestEnd:  make(map[ID]time.Time),
	}
	s.network = simnet.Network[simulatedMessage]{Draw: s.draw, LossOdds: []int{5, 40}[s.draw("loss odds", 2)], Blocked: make(map[simnet.Link]bool)}
	count := minNodes + s.draw("nodes", maxNodes-minNodes+1)
	var addresses []fleetconfig.InstanceAddress
	for i := range count {
		node := &simulatedNode{
			address: fleetconfig.InstanceAddress{
				ID:            fleetconfig.InstanceID(fmt.Sprintf("i%d", i)),
				FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("d%d", i%4)),
			},
			clock: simnet.Clock{
				Offset: time.Duration(s.draw("offset", 1_000_000)) * time.Second,
				Drift:  float64(s.draw("drift", 3)-1) * MaxClockDrift,
			},
			mapUpdateOdds: []int{2, 10, 200}[s.draw("map update odds", 3)],
		}
		s.nodes = append(s.nodes, node)
		addresses = append(addresses, node.address)
	}
	s.maps = []fleetconfig.ShardMap{InitialMap(simulatedShards, addresses[:min(count, 5)])}
	for _, node := range s.nodes {
		s.start(node)
	}
	return s
}

// start starts a node without state, with the latest map that it has received.
func (s *simulation) start(node *simulatedNode) {
	node.incarnation++
	node.restartAt = time.Time{}
	node.manager = NewManager(node.address.ID, node.incarnation*1000+uint64(len(node.address.ID)), DefaultTiming())
	node.manager.ExportState = func(_ ID, ended Holder, _ time.Time) []byte { return fmt.Append(nil, ended) }
	s.send(node, node.manager.UpdateMap(&s.maps[node.mapIndex], s.draw("map read", 2) == 0, node.clock.LocalTime(s.now)))
}

// draw returns a uniformly distributed number from 0 to count-1. rapid draws mostly
// small numbers, with which most messages would be lost.
func (s *simulation) draw(_ string, count int) int {
	return s.random.IntN(count)
}

func (s *simulation) send(from *simulatedNode, envelopes []Envelope) {
	for _, envelope := range envelopes {
		extraDelay := time.Duration(0)
		if envelope.Message.HandoverReply != nil && s.draw("delay handover reply", 2) == 0 {
			extraDelay = time.Duration(s.draw("extra delay", 8000)) * time.Millisecond
		}
		s.network.SendDelayed(from.address.ID, envelope.To.ID, simulatedMessage{message: envelope.Message}, s.now, extraDelay)
	}
}

func (s *simulation) node(id fleetconfig.InstanceID) *simulatedNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *simulatedNode) bool { return n.address.ID == id })]
}

func (s *simulation) deliver() {
	awake := func(id fleetconfig.InstanceID) bool { return !s.now.Before(s.node(id).suspendedUntil) }
	for _, received := range s.network.Deliver(s.now, awake) {
		s.handle(received)
		s.check()
	}
}

func (s *simulation) handle(received simnet.Envelope[simulatedMessage]) {
	node := s.node(received.To)
	now := node.clock.LocalTime(s.now)
	if received.Message.reply {
		s.send(node, node.manager.HandleReply(received.From, &received.Message.message, now))
		return
	}
	if reply := node.manager.Handle(received.From, &received.Message.message, now); reply != nil {
		s.network.Send(received.To, received.From, simulatedMessage{message: *reply, reply: true}, s.now)
	}
}

// check fails if a shard has two owners at the same true time. A suspended node
// counts too, since it may act as soon as it resumes.
func (s *simulation) check() {
	for shard := range ID(simulatedShards) {
		var owners []Lease
		var owner *simulatedNode
		for _, node := range s.nodes {
			if lease, held := node.manager.Held(shard, node.clock.LocalTime(s.now)); held {
				owners = append(owners, lease)
				owner = node
			}
		}
		if len(owners) > 1 {
			s.t.Fatalf("shard %d has two owners at %v: %+v", shard, s.now.Sub(simnet.StartTime), owners)
		}
		if len(owners) == 1 && owners[0].Holder != s.lastTenure[shard] {
			s.observeTenure(shard, owners[0], owner)
		}
		if len(owners) == 1 {
			if end := owner.clock.TrueTime(owners[0].ExpiresAt); s.latestEnd[shard].Before(end) {
				s.latestEnd[shard] = end
			}
		}
	}
}

// observeTenure checks a new tenure: it must have the state of its predecessor, or
// know when all earlier tenures would have ended.
func (s *simulation) observeTenure(shard ID, lease Lease, owner *simulatedNode) {
	s.tenures++
	if end := s.latestEnd[shard]; lease.Inherited == nil && s.now.Before(end) {
		s.withoutState++
		if owner.clock.TrueTime(lease.PriorTenuresEnd).Before(end) {
			s.t.Fatalf("shard %d: %+v starts without state, %v before an earlier tenure would have ended, and its PriorTenuresEnd is too early",
				shard, lease.Holder, end.Sub(s.now))
		}
	}
	if lease.Inherited != nil {
		s.handedOver++
		if string(lease.Inherited) != fmt.Sprint(s.lastTenure[shard]) {
			s.t.Fatalf("shard %d: %+v inherited the state of %s, but the latest tenure was %+v",
				shard, lease.Holder, lease.Inherited, s.lastTenure[shard])
		}
	}
	s.lastTenure[shard] = lease.Holder
}

// fault injects one random fault or change.
func (s *simulation) fault() {
	node := s.nodes[s.draw("node", len(s.nodes))]
	other := s.nodes[s.draw("other", len(s.nodes))]
	link := simnet.Link{From: node.address.ID, To: other.address.ID}
	switch s.draw("fault", 9) {
	case 0:
		node.suspendedUntil = s.now.Add(time.Duration(s.draw("suspension", 10_000)) * time.Millisecond)
	case 1:
		s.start(node)
	case 2:
		s.network.Blocked[link] = true
	case 3, 4:
		clear(s.network.Blocked)
	case 5:
		s.absent[node.address.ID] = !s.absent[node.address.ID]
	case 6:
		s.stopOwners()
	default:
		s.plan()
	}
}

// stopOwners starts a planned stop of all instances that own a shard.
func (s *simulation) stopOwners() {
	for _, node := range s.nodes {
		now := node.clock.LocalTime(s.now)
		if len(node.manager.Leases(now)) > 0 && !s.now.Before(node.suspendedUntil) {
			s.send(node, node.manager.Stop(now))
			node.restartAt = s.now.Add(time.Second)
		}
	}
}

// plan makes the next step of the map if enough replicas have confirmed the current
// one.
func (s *simulation) plan() {
	var alive []fleetconfig.InstanceAddress
	confirmed := make(ConfirmedEpochs)
	for _, node := range s.nodes {
		if !s.absent[node.address.ID] {
			alive = append(alive, node.address)
		}
		for _, c := range node.manager.Confirmations(node.clock.LocalTime(s.now)) {
			if confirmed[c.Shard] == nil {
				confirmed[c.Shard] = make(map[fleetconfig.InstanceID]uint64)
			}
			confirmed[c.Shard][node.address.ID] = c.Epoch
		}
	}
	s.planner.Observe(alive, s.now)
	if next, ok := s.planner.NextMap(&s.maps[len(s.maps)-1], confirmed, s.now); ok {
		s.maps = append(s.maps, next)
		s.steps++
	}
}

// step advances the time by 100 ms. Each node that is not suspended may learn of a
// newer map, and ticks.
func (s *simulation) step() {
	for range 5 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.check()
		s.deliver()
	}
	for _, node := range s.nodes {
		if s.now.Before(node.suspendedUntil) {
			continue
		}
		if node.mapIndex+1 < len(s.maps) && s.draw("map update", node.mapUpdateOdds) == 0 {
			node.mapIndex++
			s.send(node, node.manager.UpdateMap(&s.maps[node.mapIndex], false, node.clock.LocalTime(s.now)))
		}
		if !node.restartAt.IsZero() && s.now.After(node.restartAt) {
			s.start(node)
		}
		s.send(node, node.manager.Tick(node.clock.LocalTime(s.now)))
		s.check()
	}
}

func TestAtMostOneOwnerPerShard(t *testing.T) {
	tenures, steps, handedOver, withoutState := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, 8, PlannerTiming{GoneAfter: 4 * time.Second, StableAfter: time.Second})
		faultInterval := []int{3, 10, 30}[s.draw("fault interval", 3)]
		for range 100 + s.draw("steps", 800) {
			if s.draw("fault now", faultInterval) == 0 {
				s.fault()
			}
			s.step()
		}
		tenures += s.tenures
		steps += s.steps
		handedOver += s.handedOver
		withoutState += s.withoutState
	})
	must.Positive(t, tenures)
	must.Positive(t, steps)
	must.Positive(t, handedOver)
	t.Logf("%d tenures, %d handed over with state, %d started without state before an earlier one would have ended, %d steps of the map",
		tenures, handedOver, withoutState, steps)
}

// Replicas move as fast as the planner allows, and some instances learn of new maps
// late, so that old and new placements are in use at the same time. No shard may have
// two owners.
func TestAtMostOneOwnerWhileTheMapChanges(t *testing.T) {
	tenures, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 9, 11, PlannerTiming{})
		for range 250 {
			if s.draw("toggle", 3) == 0 {
				node := s.nodes[s.draw("node", len(s.nodes))]
				s.absent[node.address.ID] = !s.absent[node.address.ID]
			}
			if s.draw("restart", 100) == 0 {
				s.start(s.nodes[s.draw("node", len(s.nodes))])
			}
			s.plan()
			s.step()
		}
		tenures += s.tenures
		steps += s.steps
	})
	must.Positive(t, tenures)
	must.Positive(t, steps)
	t.Logf("%d tenures, %d steps of the map", tenures, steps)
}

// For every pair of clocks within the assumed drift, a lease must expire, in true
// time, no later than the vote that it is based on.
func TestLeaseExpiresNoLaterThanVote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.OneOf(rapid.Just(-MaxClockDrift), rapid.Just(MaxClockDrift),
			rapid.Float64Range(-MaxClockDrift, MaxClockDrift))
		lease := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "lease"))
		holderRate := 1 + drift.Draw(t, "holder")
		replicaRate := 1 + drift.Draw(t, "replica")
		leaseEnd := float64(SubtractClockDrift(lease)) / holderRate
		voteEnd := float64(lease) / replicaRate
		must.LessEq(t, voteEnd, leaseEnd)
	})
}
