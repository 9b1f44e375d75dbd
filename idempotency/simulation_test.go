package idempotency

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Virtual times of the world, short so that a run spans several retentions.
const (
	testClaimTime   = time.Second
	testRetention   = 60 * time.Second
	testRequestTime = 5 * time.Second
)

var testConfig = Config{
	ClaimTimeout:     testClaimTime,
	Retention:        testRetention,
	MaxRequestTime:   testRequestTime,
	MaxResponseBytes: 1 << 10,
}

// maxInFlight is how many messages are under way; the network drops beyond it.
const maxInFlight = 80

// message travels between instances. The world delivers messages in any order,
// late, twice or not at all.
type message struct {
	from, to fleetconfig.InstanceID
	body     any
}

// attempt is one request of a caller at one ingress.
type attempt struct {
	claim          *Claim
	ingress        int
	record         RecordID
	fingerprint    Fingerprint
	started        time.Time
	executes       bool
	dispatched     bool
	settled        bool
	reportedNotRun bool
}

// execution is one run of an order by a backend server.
type execution struct {
	at          time.Time
	fingerprint Fingerprint
	response    []byte
}

type node struct {
	id      fleetconfig.InstanceID
	replica *Replica
}

// simulation is a small soup of messages around replicas and claims.
type simulation struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Time
	groups []Group
	keys   int
	// skipCheckStep maps change in any single step at any time, also where CheckStep says
	// no: that costs availability, never a second run.
	skipCheckStep bool
	nodes         []*node
	inFlight      []message
	attempts      []*attempt
	frozen        [3]bool
	blockedLinks  map[[2]fleetconfig.InstanceID]bool
	executions    map[RecordID][]execution
}

func nodeID(i int) fleetconfig.InstanceID { return fleetconfig.InstanceID(fmt.Sprintf("r%d", i)) }

func ingressID(i int) fleetconfig.InstanceID { return fleetconfig.InstanceID(fmt.Sprintf("i%d", i)) }

func testGroup(epoch uint64, size int) Group {
	group := Group{Epoch: epoch}
	for i := range size {
		group.Members = append(group.Members, Member{ID: nodeID(i), Joined: InitialEpoch})
	}
	return group
}

func newSimulation(t *rapid.T, size int, random *rand.Rand) *simulation {
	w := &simulation{
		t:            t,
		random:       random,
		now:          time.Unix(1_000_000, 0),
		blockedLinks: make(map[[2]fleetconfig.InstanceID]bool),
		executions:   make(map[RecordID][]execution),
	}
	w.groups = []Group{testGroup(InitialEpoch, size), testGroup(InitialEpoch+1, size)}
	for i := range size {
		n := &node{id: nodeID(i)}
		w.start(n)
		n.replica.SetGroup(w.groups[0], w.now)
		n.replica.SetGroup(w.groups[1], w.now)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *simulation) group() Group { return w.groups[len(w.groups)-1] }

// start starts a replica without memory.
func (w *simulation) start(n *node) {
	n.replica = NewReplica(testConfig, n.id, w.random.Uint64(), NewBudget(1<<20), false)
}

func (w *simulation) restart(n *node) {
	w.start(n)
	n.replica.SetGroup(w.group(), w.now)
}

func (w *simulation) send(from, to fleetconfig.InstanceID, body any) {
	if w.blockedLinks[[2]fleetconfig.InstanceID{from, to}] {
		return
	}
	w.inFlight = append(w.inFlight, message{from: from, to: to, body: body})
	if len(w.inFlight) > maxInFlight {
		i := w.random.IntN(len(w.inFlight))
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
}

func (w *simulation) sendGroup(from fleetconfig.InstanceID, group Group, body any) {
	for _, member := range group.Members {
		w.send(from, member.ID, body)
	}
}

// startAttempt is a caller's request at an ingress.
func (w *simulation) startAttempt(ingress int, key, content string) {
	if w.frozen[ingress] {
		return
	}
	record := Key{Account: "a", Service: "s", Value: key}.RecordID()
	fingerprint := NewFingerprint("POST", content, BodyDigest{})
	claim := NewClaim(testConfig, w.group(), record, fingerprint, NewClaimID(w.random), w.now, w.now.Add(testRequestTime))
	w.attempts = append(w.attempts, &attempt{
		claim: claim, ingress: ingress, record: record, fingerprint: fingerprint, started: w.now,
		executes: w.random.IntN(4) > 0,
	})
	w.sendGroup(ingressID(ingress), claim.Group(), claim.VoteRequest(w.now))
}

// deliver takes a random message out of the soup.
func (w *simulation) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.random.IntN(len(w.inFlight))
	m := w.inFlight[i]
	fate := w.random.IntN(20)
	if fate > 1 {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	if fate == 19 {
		return
	}
	for _, n := range w.nodes {
		if n.id == m.to {
			w.deliverToReplica(n, m)
		}
	}
	for i := range w.frozen {
		if ingressID(i) == m.to && !w.frozen[i] {
			w.deliverToIngress(i, m)
		}
	}
}

func (w *simulation) deliverToReplica(n *node, m message) {
	switch body := m.body.(type) {
	case VoteRequest:
		w.send(n.id, m.from, n.replica.Vote(body, w.now))
	case ReleaseRequest:
		n.replica.Release(body)
	case FinishRequest:
		n.replica.Finish(body, w.now)
	case ReadRequest:
		w.send(n.id, m.from, n.replica.ReadPage(body, w.now))
	case ReadReply:
		n.replica.HandleReadReply(m.from, body, w.now)
	}
}

func (w *simulation) deliverToIngress(ingress int, m message) {
	reply, ok := m.body.(VoteReply)
	if !ok {
		return
	}
	for _, a := range w.attempts {
		// Replies reach every claim of the ingress: only its own may count.
		if a.ingress == ingress {
			a.claim.HandleVoteReply(m.from, reply, w.now)
		}
	}
}

// handleResult lets an attempt look at its verdict.
func (w *simulation) handleResult(a *attempt) {
	if w.frozen[a.ingress] || a.settled {
		return
	}
	a.claim.Tick(w.now)
	verdict := a.claim.Result()
	switch verdict.Kind {
	case ResultPending, ResultClaimed:
		return
	case ResultResponseStored:
		w.checkResponse(a, verdict.Response)
	case ResultNotRun:
		a.reportedNotRun = true
	}
	w.settle(a, OutcomeUnknown, nil)
}

// tryDispatch asks any attempt, also one that has ended, whether it may run.
func (w *simulation) tryDispatch(a *attempt) {
	if w.frozen[a.ingress] || a.dispatched || !a.claim.MayDispatch(w.now) {
		return
	}
	if a.settled || a.reportedNotRun {
		w.t.Fatalf("an attempt that ended was dispatched")
	}
	if w.now.Sub(a.started) >= testClaimTime {
		w.t.Fatalf("dispatched %s after the claim began", w.now.Sub(a.started))
	}
	a.dispatched = true
	if a.executes {
		w.execute(a)
	}
}

// execute is the execution counter of the backend servers.
func (w *simulation) execute(a *attempt) {
	for _, earlier := range w.executions[a.record] {
		if w.now.Sub(earlier.at) < testRetention {
			w.t.Fatalf("an order ran twice, %s apart", w.now.Sub(earlier.at))
		}
	}
	id := a.claim.ID()
	answer := []byte(hex.EncodeToString(id[:]))
	w.executions[a.record] = append(w.executions[a.record], execution{at: w.now, fingerprint: a.fingerprint, response: answer})
}

// finishAttempt settles a dispatched attempt, or one that gave up before its dispatch.
func (w *simulation) finishAttempt(a *attempt) {
	if w.frozen[a.ingress] || a.settled || a.claim.Result().Kind != ResultClaimed {
		return
	}
	id := a.claim.ID()
	switch {
	case !a.dispatched:
		a.reportedNotRun = true
		w.settle(a, OutcomeNotRun, nil)
	case a.executes && w.random.IntN(4) > 0:
		w.settle(a, OutcomeAnswered, []byte(hex.EncodeToString(id[:])))
	case !a.executes && w.random.IntN(4) > 0:
		a.reportedNotRun = true
		w.settle(a, OutcomeNotRun, nil)
	default:
		w.settle(a, OutcomeUnknown, nil)
	}
}

func (w *simulation) settle(a *attempt, end Outcome, answer []byte) {
	a.settled = true
	settlement := a.claim.Settle(end, answer)
	if settlement.Release != nil {
		w.sendGroup(ingressID(a.ingress), a.claim.Group(), *settlement.Release)
	}
	if settlement.Finish != nil {
		w.sendGroup(ingressID(a.ingress), a.claim.Group(), *settlement.Finish)
	}
}

func (w *simulation) checkResponse(a *attempt, answer []byte) {
	for _, run := range w.executions[a.record] {
		if slices.Equal(run.response, answer) && run.fingerprint == a.fingerprint {
			return
		}
	}
	w.t.Fatalf("a caller heard %q, which is not the answer to its own order", answer)
}

// sendReads sends the pages that recovering replicas ask for.
func (w *simulation) sendReads(n *node) {
	for _, read := range n.replica.NextReads(w.now) {
		w.send(n.id, read.To, read.Request)
	}
}

// readWithoutDelay exchanges all pages of a recovering replica without delay.
func (w *simulation) readWithoutDelay(n *node) {
	for _, read := range n.replica.NextReads(w.now) {
		for _, other := range w.nodes {
			if other.id == read.To && w.random.IntN(4) > 0 && !w.blockedLinks[[2]fleetconfig.InstanceID{other.id, n.id}] {
				n.replica.HandleReadReply(other.id, other.replica.ReadPage(read.Request, w.now), w.now)
			}
		}
	}
}

// voteWithoutDelay exchanges some votes of a recent attempt without delay.
func (w *simulation) voteWithoutDelay() {
	if len(w.attempts) == 0 {
		return
	}
	a := w.attempts[len(w.attempts)-1-w.random.IntN(min(len(w.attempts), 4))]
	if w.frozen[a.ingress] || a.settled {
		return
	}
	for _, n := range w.nodes {
		if a.claim.Group().Index(n.id) >= 0 && w.random.IntN(2) == 0 {
			a.claim.HandleVoteReply(n.id, n.replica.Vote(a.claim.VoteRequest(w.now), w.now), w.now)
		}
	}
}

func (w *simulation) statuses() []Status {
	var statuses []Status
	for _, n := range w.nodes {
		statuses = append(statuses, n.replica.Status())
	}
	return statuses
}

// changeMap makes the next step of a replacement if CheckStep permits it.
func (w *simulation) changeMap() {
	last := w.group()
	next := Group{Epoch: last.Epoch + 1, Members: slices.Clone(last.Members)}
	if w.random.IntN(3) == 0 {
		// A step of another shard.
		w.groups = append(w.groups, next)
		return
	}
	grow := len(next.Members)%2 == 1
	if w.skipCheckStep {
		grow = len(next.Members) == 1 || (len(next.Members) < 7 && w.random.IntN(2) == 0)
	}
	if !grow {
		i := w.random.IntN(len(next.Members))
		next.Members = slices.Delete(next.Members, i, i+1)
	} else {
		i := len(w.nodes)
		if away := w.removedNode(); away >= 0 && w.random.IntN(2) == 0 {
			i = away
		}
		next.Members = append(next.Members, Member{ID: nodeID(i), Joined: next.Epoch})
	}
	if !w.skipCheckStep && CheckStep(last, next, w.statuses()) != nil {
		return
	}
	w.groups = append(w.groups, next)
	if last := next.Members[len(next.Members)-1].ID; grow && last == nodeID(len(w.nodes)) {
		n := &node{id: last}
		w.start(n)
		w.nodes = append(w.nodes, n)
	}
}

// removedNode returns a replica that was removed, or -1.
func (w *simulation) removedNode() int {
	for i := range w.nodes {
		if w.group().Index(nodeID(i)) < 0 {
			return i
		}
	}
	return -1
}
