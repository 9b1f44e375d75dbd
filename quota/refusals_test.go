package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/simnet"
	"github.com/hemlockring/hemlockring/shard"
)

const (
	measureRate        = 10.0
	measureDelay       = time.Millisecond      // one way
	measureServiceTime = 20 * time.Millisecond // of a backend server
	measureWarmup      = 8 * time.Second
	measureWindow      = 10 * time.Second
)

// event is a function that runs later in simulated time.
type event struct {
	at  time.Time
	run func()
}

// refusalTrial simulates a fleet whose owner may fail, on a network without faults. Each
// decision is compared with that of an ideal bucket, which learns at once of every request
// at any ingress.
type refusalTrial struct {
	now    time.Time
	random *rand.Rand
	nodes  []*simNode
	routes []*OwnerTable
	dead   map[*simNode]bool
	view   *fleetconfig.View
	events []event

	ideal          map[fleetconfig.AccountID]*bucket
	idealID        GrantID
	expectedAdmits map[*simNode]map[uint64]bool                  // waiters that the ideal bucket admits
	accounts       map[*simNode]map[uint64]fleetconfig.AccountID // of each waiter
	measuring      bool
	admitted       int
	wrongful       map[Cause]int
	lostAt         time.Time     // when the owner stopped or died
	failover       time.Duration // from lostAt until an instance holds the lease
	firstToken     time.Duration // from lostAt until a request gets a token after the failover
}

func newRefusalTrial(seed uint64, instances int, burst uint32) *refusalTrial {
	tr := &refusalTrial{
		now:            simnet.StartTime,
		random:         rand.New(rand.NewPCG(seed, 2)),
		dead:           make(map[*simNode]bool),
		ideal:          make(map[fleetconfig.AccountID]*bucket),
		expectedAdmits: make(map[*simNode]map[uint64]bool),
		accounts:       make(map[*simNode]map[uint64]fleetconfig.AccountID),
		wrongful:       make(map[Cause]int),
	}
	limits := Limits{RatePerSecond: measureRate, Burst: burst}
	document := &fleetconfig.Document{Version: 1}
	for _, id := range []fleetconfig.AccountID{"greedy", "within"} {
		document.Accounts = append(document.Accounts, fleetconfig.Account{ID: id, RatePerSecond: measureRate, Burst: burst})
		tr.ideal[id] = &bucket{limits: limits, updatedAt: tr.now, level: float64(burst)}
	}
	var addresses []fleetconfig.InstanceAddress
	for i := range instances {
		addresses = append(addresses, fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("i%d", i))})
	}
	document.Shards = shard.InitialMap(1, addresses)
	tr.view = fleetconfig.NewView(document)
	for i, address := range addresses {
		node := &simNode{
			address:  address,
			shards:   shard.NewManager(address.ID, seed<<8+uint64(i)+1, shard.DefaultTiming()),
			lender:   NewLender(),
			borrower: NewBorrower(100, GrantID(i)<<32),
		}
		node.lender.ApplyConfig(tr.view, tr.now)
		node.shards.UpdateMap(&document.Shards, true, tr.now)
		tr.nodes = append(tr.nodes, node)
		tr.routes = append(tr.routes, NewOwnerTable())
		tr.expectedAdmits[node] = make(map[uint64]bool)
		tr.accounts[node] = make(map[uint64]fleetconfig.AccountID)
	}
	return tr
}

// after runs f after d.
func (tr *refusalTrial) after(d time.Duration, f func()) {
	tr.events = append(tr.events, event{at: tr.now.Add(d), run: f})
}

// call runs f at the node after the one-way delay, unless the node has failed by then.
func (tr *refusalTrial) call(node *simNode, f func()) {
	tr.after(measureDelay, func() {
		if !tr.dead[node] {
			f()
		}
	})
}

func (tr *refusalTrial) node(id fleetconfig.InstanceID) *simNode {
	for _, node := range tr.nodes {
		if node.address.ID == id {
			return node
		}
	}
	return nil
}

func (tr *refusalTrial) sendShard(from *simNode, envelopes []shard.Envelope) {
	for i := range envelopes {
		message := &envelopes[i].Message
		to := tr.node(envelopes[i].To.ID)
		tr.call(to, func() {
			reply := to.shards.Handle(from.address.ID, message, tr.now)
			if reply == nil {
				return
			}
			tr.call(from, func() { tr.sendShard(from, from.shards.HandleReply(to.address.ID, reply, tr.now)) })
		})
	}
}

// borrow sends a request to the owner in the same way as quotadriver.
func (tr *refusalTrial) borrow(i int, outgoing *OutgoingRequest, attempt int) {
	node := tr.nodes[i]
	target, _ := tr.routes[i].Target(0, &tr.view.Document().Shards, attempt, tr.now)
	to := tr.node(target.ID)
	done := false
	tr.after(AttemptTimeout, func() {
		if done {
			return
		}
		done = true
		tr.routes[i].Suspect(0, to.address.ID, tr.now)
		tr.retry(i, outgoing, attempt+1, CauseOwnerUnreachable, 3*time.Second)
	})
	tr.call(to, func() {
		reply := &BorrowReply{}
		if lease, held := to.shards.Held(0, tr.now); held {
			reply = to.lender.Borrow(lease, node.address.ID, &outgoing.Request, tr.now)
		} else {
			reply.Owner, reply.RetryAfter = to.shards.KnownHolder(0, tr.now)
		}
		tr.call(node, func() {
			if done {
				return
			}
			done = true
			switch tr.routes[i].HandleReply(to.address.ID, reply, tr.now) {
			case RouteAnswered:
				tr.handleResults(node, node.borrower.HandleReply(reply, tr.now))
			case RouteRetry:
				tr.retry(i, outgoing, attempt+1, CauseOwnerUnknown, reply.RetryAfter)
			default:
				tr.handleResults(node, node.borrower.HandleFailure(&outgoing.Request, CauseOwnerUnreachable, reply.RetryAfter, tr.now))
			}
		})
	})
}

// retry sends a request again, or fails it after BorrowTimeout or MaxAttempts.
func (tr *refusalTrial) retry(i int, outgoing *OutgoingRequest, attempt int, cause Cause, wait time.Duration) {
	beforeTimeout := outgoing.RequestedAt.IsZero() || tr.now.Sub(outgoing.RequestedAt) < BorrowTimeout
	if beforeTimeout && attempt < MaxAttempts {
		tr.borrow(i, outgoing, attempt)
		return
	}
	node := tr.nodes[i]
	tr.handleResults(node, node.borrower.HandleFailure(&outgoing.Request, cause, wait, tr.now))
}

func (tr *refusalTrial) handleResults(node *simNode, results []WaitResult) {
	for _, result := range results {
		expected := tr.expectedAdmits[node][result.Waiter]
		account := tr.accounts[node][result.Waiter]
		delete(tr.expectedAdmits[node], result.Waiter)
		delete(tr.accounts[node], result.Waiter)
		if result.Refusal == nil {
			tr.serve(node, result.Token)
			continue
		}
		tr.countRefusal(account, result.Refusal, expected)
	}
}

func (tr *refusalTrial) countRefusal(account fleetconfig.AccountID, refusal *Refusal, expected bool) {
	if expected && account == "within" && tr.measuring {
		tr.wrongful[refusal.Cause]++
	}
}

// serve dispatches the request. The ingress learns of the dispatch when it receives
// the response.
func (tr *refusalTrial) serve(node *simNode, token Token) {
	if tr.measuring && tr.firstToken == 0 && tr.failover > 0 {
		tr.firstToken = tr.now.Sub(tr.lostAt)
	}
	dispatched := tr.now.Add(measureDelay)
	tr.after(2*measureDelay+measureServiceTime, func() { node.borrower.MarkSpent(token, tr.now.Sub(dispatched)-measureDelay, tr.now) })
}

// offerRequest offers a request at a random live ingress.
func (tr *refusalTrial) offerRequest(account fleetconfig.AccountID) {
	node := tr.nodes[tr.random.IntN(len(tr.nodes))]
	for tr.dead[node] {
		node = tr.nodes[tr.random.IntN(len(tr.nodes))]
	}
	tr.idealID++
	ideal := tr.ideal[account].lend("", &TokenRequest{Waiting: 1, Grant: tr.idealID}, time.Hour, tr.now)
	expected := ideal.Count == 1
	if expected {
		tr.ideal[account].report("", &UsageReport{Grant: tr.idealID, Spent: 1}, tr.now)
	}
	if expected && account == "within" && tr.measuring {
		tr.admitted++
	}
	if token, ok := node.borrower.Take(account, tr.now); ok {
		tr.serve(node, token)
		return
	}
	node.waiter++
	if refusal := node.borrower.Enqueue(account, 0, node.waiter, tr.now); refusal != nil {
		tr.countRefusal(account, refusal, expected)
		return
	}
	tr.expectedAdmits[node][node.waiter] = expected
	tr.accounts[node][node.waiter] = account
}

// step advances the time by one millisecond.
func (tr *refusalTrial) step() {
	tr.now = tr.now.Add(time.Millisecond)
	due := tr.events
	tr.events = nil
	for _, e := range due {
		if e.at.After(tr.now) {
			tr.events = append(tr.events, e)
		} else {
			e.run()
		}
	}
	for i, node := range tr.nodes {
		if tr.dead[node] {
			continue
		}
		if (tr.now.UnixMilli()+int64(7*i))%50 == 0 {
			tr.sendShard(node, node.shards.Tick(tr.now))
			node.borrower.Tick(tr.now)
		}
		leases := node.shards.Leases(tr.now)
		node.lender.UpdateLeases(leases, tr.now)
		if len(leases) > 0 && !tr.lostAt.IsZero() && tr.failover == 0 {
			tr.failover = tr.now.Sub(tr.lostAt)
		}
		if node.borrower.Pending() {
			messages := make(map[shard.ID]*OutgoingRequest)
			node.borrower.Flush(messages, tr.now)
			for _, outgoing := range messages {
				tr.borrow(i, outgoing, 0)
			}
		}
	}
}

// ownerOutcome is what happens to the owner at the start of the measured window.
type ownerOutcome string

const (
	ownerStays ownerOutcome = "stays"
	ownerStops ownerOutcome = "stops"
	ownerDies  ownerOutcome = "dies"
)

// endOwner stops or kills the owner, according to the outcome. A planned stop takes one
// second.
func (tr *refusalTrial) endOwner(outcome ownerOutcome) {
	for _, node := range tr.nodes {
		if outcome == ownerStays || len(node.shards.Leases(tr.now)) == 0 {
			continue
		}
		tr.lostAt = tr.now
		if outcome == ownerDies {
			tr.dead[node] = true
			return
		}
		lender := node.lender
		node.shards.ExportState = lender.Export
		tr.sendShard(node, node.shards.Stop(tr.now))
		tr.after(time.Second, func() { tr.dead[node] = true })
		return
	}
}

// run measures the window after the warm-up. The end of the warm-up is random relative to
// the renewals of the lease.
func (tr *refusalTrial) run(outcome ownerOutcome, load float64) {
	end := tr.now.Add(measureWarmup + time.Duration(tr.random.IntN(1000))*time.Millisecond)
	for _, length := range []time.Duration{0, measureWindow} {
		end = end.Add(length)
		for tr.now.Before(end) {
			if tr.random.Float64() < load*measureRate/1000 {
				tr.offerRequest("within")
			}
			if tr.random.Float64() < 5*measureRate/1000 {
				tr.offerRequest("greedy")
			}
			tr.step()
		}
		if tr.measuring {
			return
		}
		tr.measuring = true
		tr.endOwner(outcome)
	}
}

// BenchmarkWrongfulRefusals measures, in simulated time, the requests that were refused
// although an ideal bucket would have admitted them, by cause. They belong to an account
// within its rate, while another account sends five times its rate. The window is the ten
// seconds after the warm-up, at the end of which the owner stays, stops or dies. The
// requests are spread evenly over all ingresses.
func BenchmarkWrongfulRefusals(b *testing.B) {
	for _, outcome := range []ownerOutcome{ownerStays, ownerStops, ownerDies} {
		for _, instances := range []int{5, 22} {
			for _, burst := range []uint32{1, 2, 5, 20} {
				name := fmt.Sprintf("owner=%s/ingresses=%d/burst=%d", outcome, instances, burst)
				b.Run(name, func(b *testing.B) { measureRefusals(b, outcome, instances, burst) })
			}
		}
	}
}

func measureRefusals(b *testing.B, outcome ownerOutcome, instances int, burst uint32) {
	admitted, wrongful := 0, make(map[Cause]int)
	var failover, worst, firstToken time.Duration
	seed := uint64(0)
	for b.Loop() {
		seed++
		tr := newRefusalTrial(seed, instances, burst)
		tr.run(outcome, 0.5)
		admitted += tr.admitted
		for cause, count := range tr.wrongful {
			wrongful[cause] += count
		}
		failover += tr.failover
		worst = max(worst, tr.failover)
		firstToken += tr.firstToken
	}
	for _, cause := range []Cause{CauseOverRate, CauseOwnerUnknown, CauseOwnerUnreachable, CauseIngressFull} {
		b.ReportMetric(100*float64(wrongful[cause])/float64(admitted), "%"+cause.String())
	}
	if outcome == ownerDies {
		b.ReportMetric(failover.Seconds()/float64(seed), "s-failover")
		b.ReportMetric(worst.Seconds(), "s-failover-worst")
		b.ReportMetric(firstToken.Seconds()/float64(seed), "s-first-token")
	}
	b.ReportMetric(float64(admitted)/float64(seed), "admitted/run")
}
