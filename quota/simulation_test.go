package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/internal/simnet"
	"github.com/hemlockring/hemlockring/shard"
)

// dispatchRequest is a request that an ingress has forwarded to an instance with a backend
// server.
type dispatchRequest struct {
	token   Token
	expires ClockReading
	id      int
}

// simMessage is a message in the simulation. Exactly one field is set, besides reading and
// spentAgo.
type simMessage struct {
	shardMessage *shard.Message
	shardReply   *shard.Message
	borrow       *BorrowRequest
	borrowReply  *BorrowReply
	dispatch     *dispatchRequest
	spent        *Token
	spentAgo     time.Duration
	reading      *ClockReading
}

// simNode is an instance in all of its roles: replica, owner, ingress and backend proxy.
type simNode struct {
	address     fleetconfig.InstanceAddress
	clock       simnet.Clock
	frozenUntil time.Time
	restartAt   time.Time // when the instance restarts after a planned stop
	restarts    uint64
	version     int // index of the node's configuration in simulation.views
	configOdds  int // a newer configuration is applied in one of configOdds steps
	waiter      uint64

	shards   *shard.Manager
	lender   *Lender
	borrower *Borrower
	dispatch DispatchClock
	peers    map[fleetconfig.InstanceID]*PeerClock
	waiting  map[uint64]fleetconfig.AccountID
	// unansweredRequests are the messages to the owner without a reply so far.
	unansweredRequests []*OutgoingRequest
}

// replyTimeout is how long a node waits for the owner's reply.
const replyTimeout = 400 * time.Millisecond

// simulation is a fleet in simulated time, with drifting clocks, lost messages and faults.
type simulation struct {
	t              *rapid.T
	random         *rand.Rand
	now            time.Time
	network        simnet.Network[simMessage]
	nodes          []*simNode
	views          []*fleetconfig.View
	meters         map[fleetconfig.AccountID]*dispatchMeter
	dispatchedIDs  map[int]bool
	nextID         int
	handovers      int
	grantedWaiters int
	// releaseAt is when all queues release their requests, which hold tokens.
	releaseAt time.Time
	// loseOwnerAt is when the owner is lost while requests are queued.
	loseOwnerAt time.Time
}

var simAccounts = []fleetconfig.AccountID{"small", "large"}

// newRandom returns the source of a run's random events.
func newRandom(t *rapid.T) *rand.Rand {
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, random: newRandom(t), now: simnet.StartTime, meters: make(map[fleetconfig.AccountID]*dispatchMeter), dispatchedIDs: make(map[int]bool)}
	s.network = simnet.Network[simMessage]{Draw: s.draw, LossOdds: []int{5, 40}[s.draw("loss odds", 2)], Blocked: make(map[simnet.Link]bool)}
	var addresses []fleetconfig.InstanceAddress
	for i := range 1 + s.draw("nodes", 5) {
		node := &simNode{
			address: fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("i%d", i))},
			clock: simnet.Clock{
				Offset: time.Duration(s.draw("offset", 1_000_000)) * time.Second,
				Drift:  float64(s.draw("drift", 3)-1) * shard.MaxClockDrift,
			},
			configOdds: []int{2, 20}[s.draw("config odds", 2)],
		}
		s.nodes = append(s.nodes, node)
		addresses = append(addresses, node.address)
	}
	shards := shard.InitialMap(1, addresses)
	s.addView(&shards)
	for _, account := range simAccounts {
		s.meters[account] = &dispatchMeter{account: account, at: s.now, lastInForce: make(map[uint32]time.Time)}
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	return s
}

// draw returns a uniformly distributed number from 0 to n-1. Numbers drawn by rapid are
// mostly small, and the network loses a message when 0 is drawn.
func (s *simulation) draw(_ string, n int) int {
	return s.random.IntN(n)
}

// addView adds a version of the configuration with different limits.
func (s *simulation) addView(shards *fleetconfig.ShardMap) {
	document := &fleetconfig.Document{Version: uint64(len(s.views) + 1), Shards: *shards}
	for _, account := range simAccounts {
		burst := []uint32{1, 2, 5, 20}[s.draw("burst", 4)]
		rate := []float64{0.5, 2, 20}[s.draw("rate", 3)]
		document.Accounts = append(document.Accounts, fleetconfig.Account{ID: account, RatePerSecond: rate, Burst: burst})
	}
	if slack := []uint32{0, 0, 1, 10}[s.draw("slack", 4)]; slack > 0 {
		document.Presets = []fleetconfig.Preset{{Name: "slack", QuotaSlack: slack, QuotaSlackPercent: []float64{0, 4}[s.draw("slack percent", 2)], QuotaWindow: 5 * time.Second}}
		document.ActivePreset = "slack"
	}
	s.views = append(s.views, fleetconfig.NewView(document))
}

func (s *simulation) start(node *simNode) {
	node.restarts++
	now := node.clock.LocalTime(s.now)
	incarnation := node.restarts<<32 + uint64(slices.Index(s.nodes, node))<<16
	node.shards = shard.NewManager(node.address.ID, incarnation, shard.DefaultTiming())
	node.lender = NewLender()
	lender := node.lender
	node.shards.ExportState = func(id shard.ID, ended shard.Holder, now time.Time) []byte {
		s.handovers++
		return lender.Export(id, ended, now)
	}
	node.borrower = NewBorrower(100, GrantID(incarnation))
	node.dispatch = NewDispatchClock(incarnation, now)
	node.peers = make(map[fleetconfig.InstanceID]*PeerClock)
	node.waiting = make(map[uint64]fleetconfig.AccountID)
	node.unansweredRequests = nil
	node.restartAt = time.Time{}
	s.applyConfig(node, node.version)
}

// applyConfig applies a version of the configuration to a node. The meters first account
// for the limits that were in force until now.
func (s *simulation) applyConfig(node *simNode, version int) {
	for _, m := range s.meters {
		s.advanceMeter(m)
	}
	node.version = version
	now := node.clock.LocalTime(s.now)
	view := s.views[node.version]
	node.lender.ApplyConfig(view, now)
	s.sendShard(node, node.shards.UpdateMap(&view.Document().Shards, true, now))
	for _, m := range s.meters {
		m.rate = 0
		for _, n := range s.nodes {
			limits := LimitsOf(s.views[n.version], m.account)
			m.rate = max(m.rate, limits.RatePerSecond)
		}
		s.advanceMeter(m)
	}
}

// send sends a message with a reading of the sender's clock.
func (s *simulation) send(from *simNode, to fleetconfig.InstanceID, message simMessage) {
	s.sendAfter(from, to, message, 0)
}

// sendAfter is send for a message that is sent after the given time.
func (s *simulation) sendAfter(from *simNode, to fleetconfig.InstanceID, message simMessage, held time.Duration) {
	reading := from.dispatch.Reading(from.clock.LocalTime(s.now))
	message.reading = &reading
	s.network.SendDelayed(from.address.ID, to, message, s.now, held)
}

func (s *simulation) sendShard(from *simNode, envelopes []shard.Envelope) {
	for i := range envelopes {
		s.send(from, envelopes[i].To.ID, simMessage{shardMessage: &envelopes[i].Message})
	}
}

func (s *simulation) node(id fleetconfig.InstanceID) *simNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.address.ID == id })]
}

func (s *simulation) deliver() {
	awake := func(id fleetconfig.InstanceID) bool { return !s.now.Before(s.node(id).frozenUntil) }
	for _, parcel := range s.network.Deliver(s.now, awake) {
		s.handle(s.node(parcel.To), parcel.From, &parcel.Message)
	}
}

func (s *simulation) handle(node *simNode, from fleetconfig.InstanceID, message *simMessage) {
	now := node.clock.LocalTime(s.now)
	reply := func(m simMessage) { s.send(node, from, m) }
	switch {
	case message.shardMessage != nil:
		if answer := node.shards.Handle(from, message.shardMessage, now); answer != nil {
			reply(simMessage{shardReply: answer})
		}
	case message.shardReply != nil:
		s.sendShard(node, node.shards.HandleReply(from, message.shardReply, now))
	case message.borrow != nil:
		if lease, held := node.shards.Held(message.borrow.Shard, now); held {
			reply(simMessage{borrowReply: node.lender.Borrow(lease, from, message.borrow, now)})
		}
	case message.borrowReply != nil:
		node.removeAnswered(message.borrowReply)
		s.useTokens(node, node.borrower.HandleReply(message.borrowReply, now))
	case message.dispatch != nil:
		s.dispatch(node, message.dispatch, now, func(token *Token) {
			service := time.Duration(s.draw("service", maxServiceMillis)) * time.Millisecond
			ago := node.clock.LocalTime(s.now.Add(service)).Sub(now)
			s.sendAfter(node, from, simMessage{spent: token, spentAgo: ago}, service)
		})
	case message.spent != nil:
		node.borrower.MarkSpent(*message.spent, message.spentAgo, now)
	}
	if message.reading != nil {
		node.peer(from).Observe(*message.reading, now)
	}
}

func (n *simNode) peer(id fleetconfig.InstanceID) *PeerClock {
	if n.peers[id] == nil {
		n.peers[id] = &PeerClock{}
	}
	return n.peers[id]
}

// arrive offers requests of an account at a node.
func (s *simulation) arrive(node *simNode) {
	now := node.clock.LocalTime(s.now)
	account := simAccounts[s.draw("account", len(simAccounts))]
	for range 1 + s.draw("requests", 6) {
		if token, ok := node.borrower.Take(account, now); ok {
			s.use(node, token)
			continue
		}
		node.waiter++
		if node.borrower.Enqueue(account, 0, node.waiter, now) == nil {
			node.waiting[node.waiter] = account
		}
	}
}

// flush sends a borrower's messages to every node, because any of them may be the owner.
func (s *simulation) flush(node *simNode) {
	now := node.clock.LocalTime(s.now)
	messages := make(map[shard.ID]*OutgoingRequest)
	node.borrower.Flush(messages, now)
	for _, outgoing := range messages {
		for _, target := range s.nodes {
			s.send(node, target.address.ID, simMessage{borrow: &outgoing.Request})
		}
		if len(outgoing.Request.TokenRequests) > 0 {
			node.unansweredRequests = append(node.unansweredRequests, outgoing)
		}
	}
}

// removeAnswered removes the requests that a reply answers.
func (n *simNode) removeAnswered(reply *BorrowReply) {
	n.unansweredRequests = slices.DeleteFunc(n.unansweredRequests, func(o *OutgoingRequest) bool {
		return len(o.Request.TokenRequests) > 0 && len(reply.Grants) > 0 && o.Request.TokenRequests[0].Grant == reply.Grants[0].Grant
	})
}

// expireRequests fails the requests without a timely reply. The reply may still arrive
// later.
func (s *simulation) expireRequests(node *simNode) {
	now := node.clock.LocalTime(s.now)
	for len(node.unansweredRequests) > 0 && now.Sub(node.unansweredRequests[0].RequestedAt) > replyTimeout {
		request := &node.unansweredRequests[0].Request
		node.unansweredRequests = node.unansweredRequests[1:]
		s.useTokens(node, node.borrower.HandleFailure(request, CauseOwnerUnreachable, time.Second, now))
	}
}

// step advances the time by 40 ms.
func (s *simulation) step() {
	if !s.loseOwnerAt.IsZero() && s.now.After(s.loseOwnerAt) {
		s.loseOwnerAt = time.Time{}
		s.loseOwner()
	}
	for range 4 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.deliver()
		for _, node := range s.nodes {
			if !s.now.Before(node.frozenUntil) && node.borrower.Pending() {
				s.flush(node)
			}
		}
	}
	for _, node := range s.nodes {
		if s.now.Before(node.frozenUntil) {
			continue
		}
		if node.version+1 < len(s.views) && s.draw("config", node.configOdds) == 0 {
			s.applyConfig(node, node.version+1)
		}
		if !node.restartAt.IsZero() && s.now.After(node.restartAt) {
			s.start(node)
		}
		now := node.clock.LocalTime(s.now)
		s.sendShard(node, node.shards.Tick(now))
		node.lender.UpdateLeases(node.shards.Leases(now), now)
		s.expireRequests(node)
		node.borrower.Tick(now)
		if s.draw("sweep", 20) == 0 {
			node.lender.Sweep(now)
		}
		s.arrive(node)
	}
}

// TestSimulationDispatchesStayWithinRateAndBurst checks the guarantee in the package's
// documentation under random faults and configuration changes.
func TestSimulationDispatchesStayWithinRateAndBurst(t *testing.T) {
	dispatches, handovers := 0, 0
	minMargin := math.Inf(1)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		faultOdds := []int{10, 40, 200}[s.draw("fault odds", 3)]
		for range 200 + s.draw("steps", 400) {
			if s.draw("fault now", faultOdds) == 0 {
				s.fault()
			}
			s.step()
		}
		for _, m := range s.meters {
			dispatches += m.count
			minMargin = min(minMargin, float64(m.burst)-m.excess)
		}
		handovers += s.handovers
	})
	must.Positive(t, dispatches)
	must.Positive(t, handovers)
	t.Logf("%d dispatches, %d leases handed over, smallest margin to the bound at the end of a run: %.3f",
		dispatches, handovers, minMargin)
}
