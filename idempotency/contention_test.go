package idempotency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Sizes of the duels of one property case.
const (
	simulationsPerCase = 150
	stepsPerSimulation = 150
)

// contention is a world with one key, no idle time and an adversary that chooses who
// hears what, so that claims, crashes, recoveries and map steps fall together
// in every way. Every message that was ever sent may come again.
type contention struct {
	*simulation
	toReplica []message
	toClaim   []message
}

// TestContendingClaimsRunOrderOnce has claims of one order fight for it. It fails for the same reasons as
// TestOrderRunsAtMostOnce.
func TestContendingClaimsRunOrderOnce(t *testing.T) {
	ran, steps := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		for range simulationsPerCase {
			d := &contention{simulation: newSimulation(t, 3+2*random.IntN(2), random)}
			changes := random.IntN(2) == 0
			d.skipCheckStep = random.IntN(2) == 0
			for range stepsPerSimulation {
				d.randomStep(changes)
			}
			steps += d.group().Epoch - InitialEpoch - 1
			for _, runs := range d.executions {
				ran += len(runs)
			}
		}
	})
	t.Logf("%d orders ran, %d map steps", ran, steps)
	must.Greater(t, 1000, ran)
	must.Greater(t, 1000, int(steps))
}

func (d *contention) randomStep(changes bool) {
	n := d.nodes[d.random.IntN(len(d.nodes))]
	switch op := d.random.IntN(100); {
	case op < 4:
		d.startContendingAttempt()
	case op < 42:
		d.requestVote(n)
	case op < 46:
		d.replayMessages()
	case op < 62:
		d.advanceAndDeliver()
	case op < 82:
		d.readRandomPage(n)
	case op < 85:
		d.now = d.now.Add(time.Duration(d.random.IntN(600)) * time.Millisecond)
	case op < 88:
		if d.random.IntN(2) == 0 {
			d.restart(n)
		}
	case op < 89:
		d.frozen[d.random.IntN(len(d.frozen))] = d.random.IntN(4) == 0
	case !changes:
		d.requestVote(n)
	case op < 91:
		d.changeMap()
	default:
		n.replica.SetGroup(d.group(), d.now)
	}
}

// startContendingAttempt starts an attempt under any epoch that has been published.
func (d *contention) startContendingAttempt() {
	ingress := d.random.IntN(len(d.frozen))
	groups := d.groups
	if d.random.IntN(2) == 0 {
		d.groups = groups[:1+d.random.IntN(len(groups))]
	}
	d.startAttempt(ingress, "k", []string{"/x", "/x", "/y"}[d.random.IntN(3)])
	d.groups = groups
	d.inFlight = nil
}

func (d *contention) randomRecentAttempt() *attempt {
	if len(d.attempts) == 0 {
		return nil
	}
	i := len(d.attempts) - 1 - d.random.IntN(min(len(d.attempts), 1+d.random.IntN(3)))
	return d.attempts[i]
}

func (d *contention) requestVote(n *node) {
	a := d.randomRecentAttempt()
	if a == nil || d.frozen[a.ingress] || a.claim.Group().Index(n.id) < 0 {
		return
	}
	request := a.claim.VoteRequest(d.now)
	reply := n.replica.Vote(request, d.now)
	d.toReplica = append(d.toReplica, message{to: n.id, body: request})
	d.toClaim = append(d.toClaim, message{from: n.id, body: reply})
	if d.random.IntN(4) > 0 {
		a.claim.HandleVoteReply(n.id, reply, d.now)
	}
}

// replayMessages delivers an old message again.
func (d *contention) replayMessages() {
	if len(d.toReplica) > 0 {
		m := d.toReplica[d.random.IntN(len(d.toReplica))]
		for _, n := range d.nodes {
			if n.id == m.to {
				d.deliverToReplica(n, m)
			}
		}
	}
	if len(d.toClaim) > 0 {
		m := d.toClaim[d.random.IntN(len(d.toClaim))]
		for i := range d.frozen {
			if !d.frozen[i] {
				d.deliverToIngress(i, m)
			}
		}
	}
	d.inFlight = nil
}

func (d *contention) advanceAndDeliver() {
	a := d.randomRecentAttempt()
	if a == nil {
		return
	}
	d.handleResult(a)
	if d.random.IntN(3) > 0 {
		d.tryDispatch(a)
	}
	if d.random.IntN(3) == 0 {
		d.finishAttempt(a)
	}
	if d.random.IntN(3) == 0 {
		d.tryDispatch(a)
	}
	// What the attempt sent to the replicas arrives at some now and may arrive
	// at any later.
	for _, m := range d.inFlight {
		d.toReplica = append(d.toReplica, m)
		for _, n := range d.nodes {
			if n.id == m.to && d.random.IntN(2) == 0 {
				d.deliverToReplica(n, m)
			}
		}
	}
	d.inFlight = nil
}

func (d *contention) readRandomPage(n *node) {
	reads := n.replica.NextReads(d.now)
	if len(reads) == 0 {
		return
	}
	read := reads[d.random.IntN(len(reads))]
	for _, other := range d.nodes {
		if other.id == read.To {
			n.replica.HandleReadReply(other.id, other.replica.ReadPage(read.Request, d.now), d.now)
		}
	}
}

// requestVotes has a claim ask the given replicas.
func requestVotes(claim *Claim, now time.Time, nodes ...*node) {
	for _, n := range nodes {
		claim.HandleVoteReply(n.id, n.replica.Vote(claim.VoteRequest(now), now), now)
	}
}

func (w *simulation) newClaim(account fleetconfig.AccountID, content string) *Claim {
	record := Key{Account: account, Service: "s", Value: "k"}.RecordID()
	fingerprint := NewFingerprint("POST", content, BodyDigest{})
	return NewClaim(testConfig, w.group(), record, fingerprint, NewClaimID(w.random), w.now, w.now.Add(testRequestTime))
}
