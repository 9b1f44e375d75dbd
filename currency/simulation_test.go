package currency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	tick         = 100 * time.Millisecond
	pollInterval = 500 * time.Millisecond
)

var (
	proxies  = []fleetconfig.InstanceID{"p1", "p2", "p3", "p4", "p5", "p6", "p7"}
	controls = []fleetconfig.InstanceID{"c1", "c2"}
)

// process is one instance with its clock, whose offset and rate differ from true
// time.
type process struct {
	id        fleetconfig.InstanceID
	node      *Node
	offset    time.Duration
	rate      float64
	suspended bool
	stopped   bool
	polledAt  time.Time
}

func (p *process) clock(now time.Time) time.Time {
	elapsed := now.Sub(time.Time{})
	return time.Time{}.Add(p.offset + time.Duration(float64(elapsed)*p.rate))
}

// leadership is a leader during its term. A deposed leader continues with what it
// knows, but no majority confirms it any more.
type leadership struct {
	leader      *Leader
	host        *process
	confirmedAt time.Time
	polledAt    time.Time
}

// message is in transit until due, or longer if its recipient is suspended.
type message struct {
	due      time.Time
	from, to fleetconfig.InstanceID
	deliver  func(to *process)
}

// simulation is a fleet with a network.
type simulation struct {
	t            *rapid.T
	random       *rand.Rand
	now          time.Time
	processes    []*process
	messages     []message
	blockedLinks map[[2]fleetconfig.InstanceID]bool
	maxDelay     time.Duration
	incarnation  uint64
	// revocationBound is the time within which a withdrawn key must stop working
	// everywhere.
	revocationBound time.Duration

	// log has every committed revision, indexed by its version.
	log         []Revision
	leaderships []*leadership
	controlDown bool

	// acceptedAt is the time at which a leader first knew that a version is accepted.
	acceptedAt map[uint64]time.Time
	// served is the version that each instance last served from.
	served map[fleetconfig.InstanceID]uint64
	// admitted counts how often check found an instance current although a version
	// above the one that it serves from was accepted.
	admitted int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t,
		// rapid draws mostly small numbers, but message losses and delays need a
		// uniform distribution.
		random:          rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 0)),
		now:             time.Time{}.Add(time.Hour),
		blockedLinks:    make(map[[2]fleetconfig.InstanceID]bool),
		maxDelay:        tick,
		revocationBound: rapid.SampledFrom([]time.Duration{3 * time.Second, DefaultRevocationBound, 12 * time.Second}).Draw(t, "revocation bound"),
		log:             []Revision{{}},
		acceptedAt:      make(map[uint64]time.Time),
		served:          make(map[fleetconfig.InstanceID]uint64),
	}
	for i, id := range slices.Concat(controls, proxies) {
		p := &process{id: id, offset: time.Duration(i) * time.Hour, rate: 1 + float64(i%3-1)/100}
		sim.processes = append(sim.processes, p)
		sim.start(p)
	}
	sim.elect()
	sim.commit(proxies[:rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "holders")])
	return sim
}

func (sim *simulation) start(p *process) {
	sim.incarnation++
	p.node = NewNode(p.id, sim.incarnation, sim.revocationBound, p.clock(sim.now))
	p.suspended, p.stopped = false, false
}

func (sim *simulation) process(id fleetconfig.InstanceID) *process {
	at := slices.IndexFunc(sim.processes, func(p *process) bool { return p.id == id })
	return sim.processes[at]
}

func (sim *simulation) elect() {
	host := sim.process(controls[len(sim.leaderships)%len(controls)])
	sim.leaderships = append(sim.leaderships, &leadership{
		leader:      NewLeader(uint64(len(sim.leaderships)+1), sim.log[len(sim.log)-1]),
		host:        host,
		confirmedAt: host.clock(sim.now),
	})
}

func (sim *simulation) currentLeadership() *leadership {
	return sim.leaderships[len(sim.leaderships)-1]
}

// commit commits a change that withdraws a key and sets the given holders.
func (sim *simulation) commit(holders []fleetconfig.InstanceID) bool {
	l := sim.currentLeadership()
	last := sim.log[len(sim.log)-1]
	if sim.controlDown || l.host.suspended || l.leader.CheckProposal(last.Version, l.host.clock(sim.now)) != nil {
		return false
	}
	next := Revision{Version: last.Version + 1, Holders: holders}
	if !slices.Equal(holders, last.Holders) {
		next.FormerHolders = last.Holders
	}
	sim.log = append(sim.log, next)
	l.leader.Commit(next)
	return true
}

// send puts a message in transit, unless the network loses it.
func (sim *simulation) send(from, to fleetconfig.InstanceID, lossPercent int, deliver func(to *process)) {
	if sim.blockedLinks[[2]fleetconfig.InstanceID{from, to}] || sim.random.IntN(100) < lossPercent {
		return
	}
	delay := time.Duration(sim.random.Int64N(int64(sim.maxDelay)))
	sim.messages = append(sim.messages, message{due: sim.now.Add(delay), from: from, to: to, deliver: deliver})
}

// poll polls another instance. The request contains the committed revision to offer,
// if any. With the reply arrive the held revision and the served revision of the other
// instance.
func (sim *simulation) poll(from *process, to fleetconfig.InstanceID, loss int, offer *Revision, handle func(*PollReply, time.Time)) {
	sentAt := from.clock(sim.now)
	pollingNode := from.node
	sim.send(from.id, to, loss, func(other *process) {
		if offer != nil {
			other.node.StoreRevision(*offer, other.clock(sim.now))
		}
		reply := other.node.PollReply(other.clock(sim.now))
		held := other.node.Held()
		sim.send(to, from.id, loss, func(from *process) {
			if from.node != pollingNode {
				return
			}
			now := from.clock(sim.now)
			from.node.HandlePollReply(to, reply, sentAt, now)
			if reply.Serving && reply.Served > from.node.Held().Version {
				from.node.StoreServedRevision(sim.log[reply.Served], now)
			}
			if held.IncludesHolder(from.id) {
				from.node.StoreRevision(held, now)
			}
			handle(reply, sentAt)
		})
	})
}

// step advances the time by one tick: messages that are due arrive, processes poll,
// and the invariants are checked.
func (sim *simulation) step(loss int) {
	sim.now = sim.now.Add(tick)
	sim.check()
	sim.deliver()
	for _, p := range sim.processes {
		interval := p.node.PollInterval(pollInterval, p.clock(sim.now))
		if !p.suspended && !p.stopped && sim.now.Sub(p.polledAt) >= interval {
			p.polledAt = sim.now
			sim.pollPeers(p, loss)
		}
	}
	for _, l := range sim.leaderships {
		sim.runLeader(l, loss)
	}
	sim.check()
}

func (sim *simulation) deliver() {
	due := sim.messages[:0:0]
	kept := sim.messages[:0:0]
	for _, m := range sim.messages {
		to := sim.process(m.to)
		switch {
		case to.stopped:
		case m.due.After(sim.now) || to.suspended:
			kept = append(kept, m)
		default:
			due = append(due, m)
		}
	}
	sim.messages = kept
	for _, m := range due {
		m.deliver(sim.process(m.to))
	}
}

// pollPeers polls a random neighbour, the leader if the process is a holder, and the
// holders that the node asks for.
func (sim *simulation) pollPeers(p *process, loss int) {
	held := p.node.Held()
	targets := p.node.HoldersToPoll(p.clock(sim.now))
	targets = append(targets, proxies[sim.random.IntN(len(proxies))])
	if held.IncludesHolder(p.id) {
		targets = append(targets, sim.currentLeadership().host.id)
	}
	for _, to := range targets {
		if to != p.id {
			sim.poll(p, to, loss, nil, func(*PollReply, time.Time) {})
		}
	}
}

// runLeader runs the leader for one tick: the leader polls the holders and offers them
// the committed revision. runLeader records when the leader first knows that a version
// is accepted.
func (sim *simulation) runLeader(l *leadership, loss int) {
	if l.host.suspended || l.host.stopped {
		return
	}
	now := l.host.clock(sim.now)
	if l == sim.currentLeadership() && !sim.controlDown {
		l.confirmedAt = now
	}
	committed := l.leader.Committed()
	l.host.node.StoreRevision(committed, now)
	l.host.node.HandleLeaderAttestation(l.leader.Attest(), l.confirmedAt, now)
	if sim.now.Sub(l.polledAt) >= pollInterval {
		l.polledAt = sim.now
		for _, to := range slices.Concat(committed.Holders, committed.FormerHolders) {
			sim.poll(l.host, to, loss, &committed, func(reply *PollReply, sentAt time.Time) {
				l.leader.HandlePollReply(to, reply, sentAt, l.host.clock(sim.now))
			})
		}
	}
	if accepted, known := l.leader.Accepted(); known {
		for version := uint64(1); version <= accepted; version++ {
			if _, recorded := sim.acceptedAt[version]; !recorded {
				sim.acceptedAt[version] = sim.now
			}
		}
	}
}

// check verifies for every running process that the process admits no request with a
// key whose withdrawal was accepted longer ago than the revocation bound, and that the
// instance never serves from an older version than before, also across restarts.
func (sim *simulation) check() {
	for _, p := range sim.processes {
		if p.suspended || p.stopped {
			continue
		}
		version, serving := p.node.Serving()
		current, _ := p.node.Current(p.clock(sim.now))
		if !serving {
			must.False(sim.t, current)
			continue
		}
		must.GreaterEq(sim.t, sim.served[p.id], version, must.Sprint("now serves from an older version: "+string(p.id)))
		sim.served[p.id] = version
		if acceptedAt, accepted := sim.acceptedAt[version+1]; current && accepted {
			sim.admitted++
			must.LessEq(sim.t, sim.revocationBound, sim.now.Sub(acceptedAt),
				must.Sprint(fmt.Sprintf("%s admits requests while it serves from version %d, although a later version was accepted", p.id, version)))
		}
	}
}
