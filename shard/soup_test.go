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
	"github.com/hemlockring/hemlockring/internal/soup"
)

// soupNode is an instance with a clock of its own.
type soupNode struct {
	address fleetconfig.InstanceAddress
	clock   soup.Clock
	frozen  time.Time
	stops   time.Time // when a planned stop ends in a restart
	life    uint64
	group   *Manager
	epoch   int
	// newsOdds is one in how many steps the node hears of a newer map.
	newsOdds int
}

// soupMessage is a message or the reply to one.
type soupMessage struct {
	message Message
	reply   bool
}

// leaseSoup drives the groups of a few instances through faults.
type leaseSoup struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	network soup.Network[soupMessage]
	nodes   []*soupNode
	maps    []fleetconfig.ShardMap
	planner *Planner
	away    map[fleetconfig.InstanceID]bool
	tenures int
	steps   int
	passed  int
	last    map[ID]Holder
	// ends is, for each shard, the true time at which the last of all tenures so far
	// would have ended.
	ends  map[ID]time.Time
	waits int
}

const soupShards = 2

// newRandom returns the source of a run's events.
func newRandom(t *rapid.T) *rand.Rand {
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
}

func newSoup(t *rapid.T, minNodes, maxNodes int, timing PlannerTiming) *leaseSoup {
	s := &leaseSoup{
		t:       t,
		random:  newRandom(t),
		now:     soup.Start,
		planner: NewPlanner(timing),
		away:    make(map[fleetconfig.InstanceID]bool),
		last:    make(map[ID]Holder),
		ends:    make(map[ID]time.Time),
	}
	s.network = soup.Network[soupMessage]{Draw: s.draw, LossOdds: []int{5, 40}[s.draw("loss odds", 2)], Cut: make(map[soup.Link]bool)}
	count := minNodes + s.draw("nodes", maxNodes-minNodes+1)
	var addresses []fleetconfig.InstanceAddress
	for i := range count {
		node := &soupNode{
			address: fleetconfig.InstanceAddress{
				ID:            fleetconfig.InstanceID(fmt.Sprintf("i%d", i)),
				FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("d%d", i%4)),
			},
			clock: soup.Clock{
				Offset: time.Duration(s.draw("offset", 1_000_000)) * time.Second,
				Drift:  float64(s.draw("drift", 3)-1) * MaxClockDrift,
			},
			newsOdds: []int{2, 10, 200}[s.draw("news odds", 3)],
		}
		s.nodes = append(s.nodes, node)
		addresses = append(addresses, node.address)
	}
	s.maps = []fleetconfig.ShardMap{InitialMap(soupShards, addresses[:min(count, 5)])}
	for _, node := range s.nodes {
		s.start(node)
	}
	return s
}

// start gives a node an empty memory and the map that it has been sent.
func (s *leaseSoup) start(node *soupNode) {
	node.life++
	node.stops = time.Time{}
	node.group = NewManager(node.address.ID, node.life*1000+uint64(len(node.address.ID)), DefaultTiming())
	node.group.ExportState = func(_ ID, ended Holder, _ time.Time) []byte { return fmt.Append(nil, ended) }
	s.send(node, node.group.Adopt(&s.maps[node.epoch], s.draw("map read", 2) == 0, node.clock.At(s.now)))
}

// draw returns a number from 0 to sides-1, each equally likely. Numbers that rapid
// draws are mostly small, which would lose most messages.
func (s *leaseSoup) draw(_ string, sides int) int {
	return s.random.IntN(sides)
}

func (s *leaseSoup) send(from *soupNode, envelopes []Envelope) {
	for _, envelope := range envelopes {
		held := time.Duration(0)
		if envelope.Message.HandoverReply != nil && s.draw("hold transfer", 2) == 0 {
			held = time.Duration(s.draw("held", 8000)) * time.Millisecond
		}
		s.network.PostLate(from.address.ID, envelope.To.ID, soupMessage{message: envelope.Message}, s.now, held)
	}
}

func (s *leaseSoup) node(id fleetconfig.InstanceID) *soupNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *soupNode) bool { return n.address.ID == id })]
}

func (s *leaseSoup) deliver() {
	awake := func(id fleetconfig.InstanceID) bool { return !s.now.Before(s.node(id).frozen) }
	for _, parcel := range s.network.Due(s.now, awake) {
		s.handle(parcel)
		s.check()
	}
}

func (s *leaseSoup) handle(parcel soup.Parcel[soupMessage]) {
	node := s.node(parcel.To)
	now := node.clock.At(s.now)
	if parcel.Message.reply {
		s.send(node, node.group.HandleReply(parcel.From, &parcel.Message.message, now))
		return
	}
	if reply := node.group.Handle(parcel.From, &parcel.Message.message, now); reply != nil {
		s.network.Post(parcel.To, parcel.From, soupMessage{message: *reply, reply: true}, s.now)
	}
}

// check finds two owners of one shard at the same instant of true time. A frozen
// node counts: it may act the moment it goes on.
func (s *leaseSoup) check() {
	for shard := range ID(soupShards) {
		var owners []Lease
		var owner *soupNode
		for _, node := range s.nodes {
			if lease, held := node.group.Held(shard, node.clock.At(s.now)); held {
				owners = append(owners, lease)
				owner = node
			}
		}
		if len(owners) > 1 {
			s.t.Fatalf("shard %d has two owners at %v: %+v", shard, s.now.Sub(soup.Start), owners)
		}
		if len(owners) == 1 && owners[0].Holder != s.last[shard] {
			s.observeTenure(shard, owners[0], owner)
		}
		if len(owners) == 1 {
			if end := owner.clock.TrueTime(owners[0].ExpiresAt); s.ends[shard].Before(end) {
				s.ends[shard] = end
			}
		}
	}
}

// observeTenure checks a new tenure: it has the state of the one before, or it
// knows when all earlier ones would have ended.
func (s *leaseSoup) observeTenure(shard ID, lease Lease, owner *soupNode) {
	s.tenures++
	if end := s.ends[shard]; lease.Inherited == nil && s.now.Before(end) {
		s.waits++
		if owner.clock.TrueTime(lease.PriorTenuresEnd).Before(end) {
			s.t.Fatalf("shard %d: %+v starts without state, %v before the tenure before it would have ended",
				shard, lease.Holder, end.Sub(s.now))
		}
	}
	if lease.Inherited != nil {
		s.passed++
		if string(lease.Inherited) != fmt.Sprint(s.last[shard]) {
			s.t.Fatalf("shard %d: %+v took the state of %s over, but %+v owned it last",
				shard, lease.Holder, lease.Inherited, s.last[shard])
		}
	}
	s.last[shard] = lease.Holder
}

// fault injects one fault or change.
func (s *leaseSoup) fault() {
	node := s.nodes[s.draw("victim", len(s.nodes))]
	other := s.nodes[s.draw("other", len(s.nodes))]
	link := soup.Link{From: node.address.ID, To: other.address.ID}
	switch s.draw("fault", 9) {
	case 0:
		node.frozen = s.now.Add(time.Duration(s.draw("freeze", 10_000)) * time.Millisecond)
	case 1:
		s.start(node)
	case 2:
		s.network.Cut[link] = true
	case 3, 4:
		clear(s.network.Cut)
	case 5:
		s.away[node.address.ID] = !s.away[node.address.ID]
	case 6:
		s.stopOwner()
	default:
		s.plan()
	}
}

// stopOwner starts a planned stop of the instances that own a shard.
func (s *leaseSoup) stopOwner() {
	for _, node := range s.nodes {
		now := node.clock.At(s.now)
		if len(node.group.Leases(now)) > 0 && !s.now.Before(node.frozen) {
			s.send(node, node.group.Stop(now))
			node.stops = s.now.Add(time.Second)
		}
	}
}

// plan makes the next step of the map, if the replicas that can be asked allow it.
func (s *leaseSoup) plan() {
	var alive []fleetconfig.InstanceAddress
	confirmed := make(ConfirmedEpochs)
	for _, node := range s.nodes {
		if !s.away[node.address.ID] {
			alive = append(alive, node.address)
		}
		for _, c := range node.group.Confirmations(node.clock.At(s.now)) {
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

// step lets 100 ms pass. Each node that is not frozen hears of a newer map now
// and then, and ticks.
func (s *leaseSoup) step() {
	for range 5 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.check()
		s.deliver()
	}
	for _, node := range s.nodes {
		if s.now.Before(node.frozen) {
			continue
		}
		if node.epoch+1 < len(s.maps) && s.draw("news", node.newsOdds) == 0 {
			node.epoch++
			s.send(node, node.group.Adopt(&s.maps[node.epoch], false, node.clock.At(s.now)))
		}
		if !node.stops.IsZero() && s.now.After(node.stops) {
			s.start(node)
		}
		s.send(node, node.group.Tick(node.clock.At(s.now)))
		s.check()
	}
}

func TestAtMostOneOwnerPerShard(t *testing.T) {
	tenures, steps, passed, waits := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSoup(t, 1, 8, PlannerTiming{GoneAfter: 4 * time.Second, StableAfter: time.Second})
		calm := []int{3, 10, 30}[s.draw("calm", 3)]
		for range 100 + s.draw("steps", 800) {
			if s.draw("fault now", calm) == 0 {
				s.fault()
			}
			s.step()
		}
		tenures += s.tenures
		steps += s.steps
		passed += s.passed
		waits += s.waits
	})
	must.Positive(t, tenures)
	must.Positive(t, steps)
	must.Positive(t, passed)
	t.Logf("%d tenures, %d handed over with state, %d that wait for an earlier one, %d steps of the map",
		tenures, passed, waits, steps)
}

// TestAtMostOneOwnerWhileTheMapChanges moves replicas as fast as the planner
// allows, while some instances hear of new maps late, so that old and new
// placements are in use side by side.
func TestAtMostOneOwnerWhileTheMapChanges(t *testing.T) {
	tenures, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSoup(t, 9, 11, PlannerTiming{})
		for range 250 {
			if s.draw("toggle", 3) == 0 {
				node := s.nodes[s.draw("victim", len(s.nodes))]
				s.away[node.address.ID] = !s.away[node.address.ID]
			}
			if s.draw("restart", 100) == 0 {
				s.start(s.nodes[s.draw("victim", len(s.nodes))])
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

// TestLeaseEndsBeforeItsVotes holds a lease and the vote behind it against true
// time, for every pair of clocks within the assumed drift.
func TestLeaseEndsBeforeItsVotes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.OneOf(rapid.Just(-MaxClockDrift), rapid.Just(MaxClockDrift),
			rapid.Float64Range(-MaxClockDrift, MaxClockDrift))
		lease := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "lease"))
		holderRate := 1 + drift.Draw(t, "holder")
		granterRate := 1 + drift.Draw(t, "granter")
		holderEnds := float64(SubtractClockDrift(lease)) / holderRate
		granterEnds := float64(lease) / granterRate
		must.LessEq(t, granterEnds, holderEnds)
	})
}
