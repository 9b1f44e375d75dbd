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

// process is one instance with its clock. The clock's offset and rate differ
// from those of true time.
type process struct {
	id       fleetconfig.InstanceID
	node     *Node
	offset   time.Duration
	rate     float64
	frozen   bool
	stopped  bool
	polledAt time.Time
}

func (p *process) clock(now time.Time) time.Time {
	elapsed := now.Sub(time.Time{})
	return time.Time{}.Add(p.offset + time.Duration(float64(elapsed)*p.rate))
}

// office is a leader's time in office. A deposed leader goes on with what it
// knows, but no majority confirms it any more.
type office struct {
	leader      *Leader
	at          *process
	confirmedAt time.Time
	polledAt    time.Time
}

// message is on its way until due.
type message struct {
	due      time.Time
	from, to fleetconfig.InstanceID
	deliver  func(to *process)
}

// world is a fleet with a network, and with control's log as it truly is.
type world struct {
	t           *rapid.T
	random      *rand.Rand
	now         time.Time
	processes   []*process
	messages    []message
	cuts        map[[2]fleetconfig.InstanceID]bool
	maxDelay    time.Duration
	incarnation uint64
	// promise is how soon a withdrawn key stops everywhere.
	promise time.Duration

	log     []Revision
	offices []*office
	away    bool

	acceptedAt map[uint64]time.Time
	served     map[fleetconfig.InstanceID]uint64
	admitted   int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t,
		// rapid prefers small numbers; losses and delays need an even spread.
		random:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 0)),
		now:        time.Time{}.Add(time.Hour),
		cuts:       make(map[[2]fleetconfig.InstanceID]bool),
		maxDelay:   tick,
		promise:    rapid.SampledFrom([]time.Duration{3 * time.Second, DefaultRevocationBound, 12 * time.Second}).Draw(t, "promise"),
		log:        []Revision{{}},
		acceptedAt: make(map[uint64]time.Time),
		served:     make(map[fleetconfig.InstanceID]uint64),
	}
	for i, id := range slices.Concat(controls, proxies) {
		p := &process{id: id, offset: time.Duration(i) * time.Hour, rate: 1 + float64(i%3-1)/100}
		w.processes = append(w.processes, p)
		w.start(p)
	}
	w.elect()
	w.commit(proxies[:rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "holders")])
	return w
}

func (w *world) start(p *process) {
	w.incarnation++
	p.node = NewNode(p.id, w.incarnation, w.promise, p.clock(w.now))
	p.frozen, p.stopped = false, false
}

func (w *world) process(id fleetconfig.InstanceID) *process {
	at := slices.IndexFunc(w.processes, func(p *process) bool { return p.id == id })
	return w.processes[at]
}

func (w *world) elect() {
	at := w.process(controls[len(w.offices)%len(controls)])
	w.offices = append(w.offices, &office{
		leader:      NewLeader(uint64(len(w.offices)+1), w.log[len(w.log)-1]),
		at:          at,
		confirmedAt: at.clock(w.now),
	})
}

func (w *world) inOffice() *office { return w.offices[len(w.offices)-1] }

// commit is a change: the withdrawal of a key, and perhaps new holders.
func (w *world) commit(holders []fleetconfig.InstanceID) bool {
	o := w.inOffice()
	last := w.log[len(w.log)-1]
	if w.away || o.at.frozen || o.leader.CheckProposal(last.Version, o.at.clock(w.now)) != nil {
		return false
	}
	next := Revision{Version: last.Version + 1, Holders: holders}
	if !slices.Equal(holders, last.Holders) {
		next.FormerHolders = last.Holders
	}
	w.log = append(w.log, next)
	o.leader.Commit(next)
	return true
}

// send puts a message on its way, unless the network loses it.
func (w *world) send(from, to fleetconfig.InstanceID, lossPercent int, deliver func(to *process)) {
	if w.cuts[[2]fleetconfig.InstanceID{from, to}] || w.random.IntN(100) < lossPercent {
		return
	}
	delay := time.Duration(w.random.Int64N(int64(w.maxDelay)))
	w.messages = append(w.messages, message{due: w.now.Add(delay), from: from, to: to, deliver: deliver})
}

// poll asks another instance. The poll carries the held revision to offer, if
// any; the answer carries the revisions of the other one.
func (w *world) poll(from *process, to fleetconfig.InstanceID, loss int, offer *Revision, hear func(*PollReply, time.Time)) {
	askedAt := from.clock(w.now)
	asking := from.node
	w.send(from.id, to, loss, func(other *process) {
		if offer != nil {
			other.node.StoreRevision(*offer, other.clock(w.now))
		}
		answer := other.node.PollReply(other.clock(w.now))
		held := other.node.Held()
		w.send(to, from.id, loss, func(from *process) {
			if from.node != asking {
				return
			}
			now := from.clock(w.now)
			from.node.HandlePollReply(to, answer, askedAt, now)
			if answer.Serving && answer.Served > from.node.Held().Version {
				from.node.StoreServedRevision(w.log[answer.Served], now)
			}
			if held.IncludesHolder(from.id) {
				from.node.StoreRevision(held, now)
			}
			hear(answer, askedAt)
		})
	})
}

// step lets one tick pass: messages arrive in any order, processes poll, and
// what must hold is checked.
func (w *world) step(loss int) {
	w.now = w.now.Add(tick)
	w.check()
	w.deliver()
	for _, p := range w.processes {
		interval := p.node.PollInterval(pollInterval, p.clock(w.now))
		if !p.frozen && !p.stopped && w.now.Sub(p.polledAt) >= interval {
			p.polledAt = w.now
			w.pollAround(p, loss)
		}
	}
	for _, o := range w.offices {
		w.lead(o, loss)
	}
	w.check()
}

func (w *world) deliver() {
	due := w.messages[:0:0]
	kept := w.messages[:0:0]
	for _, m := range w.messages {
		to := w.process(m.to)
		switch {
		case to.stopped:
		case m.due.After(w.now) || to.frozen:
			kept = append(kept, m)
		default:
			due = append(due, m)
		}
	}
	w.messages = kept
	for _, m := range due {
		m.deliver(w.process(m.to))
	}
}

// pollAround polls a neighbour, the leader if the process is a holder, and
// whomever the node asks for.
func (w *world) pollAround(p *process, loss int) {
	held := p.node.Held()
	targets := p.node.HoldersToPoll(p.clock(w.now))
	targets = append(targets, proxies[w.random.IntN(len(proxies))])
	if held.IncludesHolder(p.id) {
		targets = append(targets, w.inOffice().at.id)
	}
	for _, to := range targets {
		if to != p.id {
			w.poll(p, to, loss, nil, func(*PollReply, time.Time) {})
		}
	}
}

// lead does the leader's work: it offers the committed revision to the holders.
func (w *world) lead(o *office, loss int) {
	if o.at.frozen || o.at.stopped {
		return
	}
	now := o.at.clock(w.now)
	if o == w.inOffice() && !w.away {
		o.confirmedAt = now
	}
	committed := o.leader.Committed()
	o.at.node.StoreRevision(committed, now)
	o.at.node.HandleLeaderAttestation(o.leader.Attest(), o.confirmedAt, now)
	if w.now.Sub(o.polledAt) >= pollInterval {
		o.polledAt = w.now
		for _, to := range slices.Concat(committed.Holders, committed.FormerHolders) {
			w.poll(o.at, to, loss, &committed, func(answer *PollReply, askedAt time.Time) {
				o.leader.HandlePollReply(to, answer, askedAt, o.at.clock(w.now))
			})
		}
	}
	if accepted, known := o.leader.Accepted(); known {
		for version := uint64(1); version <= accepted; version++ {
			if _, told := w.acceptedAt[version]; !told {
				w.acceptedAt[version] = w.now
			}
		}
	}
}

// check checks, on every process that runs, that it admits nothing that was
// withdrawn longer than the promise ago, and that it never serves from an older
// version than before, in this life or a former one.
func (w *world) check() {
	for _, p := range w.processes {
		if p.frozen || p.stopped {
			continue
		}
		version, serving := p.node.Serving()
		current, _ := p.node.Current(p.clock(w.now))
		if !serving {
			must.False(w.t, current)
			continue
		}
		must.GreaterEq(w.t, w.served[p.id], version, must.Sprint("reverted: "+string(p.id)))
		w.served[p.id] = version
		if acceptedAt, accepted := w.acceptedAt[version+1]; current && accepted {
			w.admitted++
			must.LessEq(w.t, w.promise, w.now.Sub(acceptedAt),
				must.Sprint(fmt.Sprintf("%s admits by version %d", p.id, version)))
		}
	}
}
