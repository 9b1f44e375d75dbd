package idempotency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Size of one property test case.
const (
	simulationsPerCase = 150
	stepsPerSimulation = 150
)

// contention is a simulation with a single key, in which no step advances the
// clock by a second or more. A random adversary decides which replica receives
// which message, so that claims, restarts, recoveries and shard map changes
// overlap in many different ways.
type contention struct {
	*simulation
	// toReplica holds vote requests, releases and outcomes, toClaim holds vote
	// replies. replayMessages may deliver them again.
	toReplica []message
	toClaim   []message
}

// TestContendingClaimsRunOrderOnce runs concurrent claims on one order. Like
// TestOrderRunsAtMostOnce, it fails if the checks in tryDispatch, execute or
// checkResponse fail: a dispatch after an attempt has ended or after the claim
// timeout, a second run within the retention period, a response to another order.
func TestContendingClaimsRunOrderOnce(t *testing.T) {
	ran, mapChanges := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		for range simulationsPerCase {
			c := &contention{simulation: newSimulation(t, 3+2*random.IntN(2), random)}
			allowMapChanges := random.IntN(2) == 0
			c.skipCheckStep = random.IntN(2) == 0
			for range stepsPerSimulation {
				c.randomStep(allowMapChanges)
			}
			mapChanges += c.group().Epoch - InitialEpoch - 1
			for _, runs := range c.executions {
				ran += len(runs)
			}
		}
	})
	t.Logf("%d orders ran, %d shard map changes", ran, mapChanges)
	must.Greater(t, 1000, ran)
	must.Greater(t, 1000, int(mapChanges))
}

func (c *contention) randomStep(allowMapChanges bool) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch op := c.random.IntN(100); {
	case op < 4:
		c.startContendingAttempt()
	case op < 42:
		c.requestVote(n)
	case op < 46:
		c.replayMessages()
	case op < 62:
		c.continueAttemptAndDeliver()
	case op < 82:
		c.readRandomPage(n)
	case op < 85:
		c.now = c.now.Add(time.Duration(c.random.IntN(600)) * time.Millisecond)
	case op < 88:
		if c.random.IntN(2) == 0 {
			c.restart(n)
		}
	case op < 89:
		c.suspended[c.random.IntN(len(c.suspended))] = c.random.IntN(4) == 0
	case !allowMapChanges:
		c.requestVote(n)
	case op < 91:
		c.changeMap()
	default:
		n.replica.SetGroup(c.group(), c.now)
	}
}

// startContendingAttempt starts an attempt that uses any published epoch.
func (c *contention) startContendingAttempt() {
	ingress := c.random.IntN(len(c.suspended))
	groups := c.groups
	if c.random.IntN(2) == 0 {
		c.groups = groups[:1+c.random.IntN(len(groups))]
	}
	c.startAttempt(ingress, "k", []string{"/x", "/x", "/y"}[c.random.IntN(3)])
	c.groups = groups
	c.inFlight = nil
}

func (c *contention) randomRecentAttempt() *attempt {
	if len(c.attempts) == 0 {
		return nil
	}
	i := len(c.attempts) - 1 - c.random.IntN(min(len(c.attempts), 1+c.random.IntN(3)))
	return c.attempts[i]
}

func (c *contention) requestVote(n *node) {
	a := c.randomRecentAttempt()
	if a == nil || c.suspended[a.ingress] || a.claim.Group().Index(n.id) < 0 {
		return
	}
	request := a.claim.VoteRequest(c.now)
	reply := n.replica.HandleVoteRequest(request, c.now)
	c.toReplica = append(c.toReplica, message{to: n.id, body: request})
	c.toClaim = append(c.toClaim, message{from: n.id, body: reply})
	if c.random.IntN(4) > 0 {
		a.claim.HandleVoteReply(n.id, reply, c.now)
	}
}

// replayMessages delivers an earlier message to a replica and an earlier reply
// to the ingresses.
func (c *contention) replayMessages() {
	if len(c.toReplica) > 0 {
		m := c.toReplica[c.random.IntN(len(c.toReplica))]
		for _, n := range c.nodes {
			if n.id == m.to {
				c.deliverToReplica(n, m)
			}
		}
	}
	if len(c.toClaim) > 0 {
		m := c.toClaim[c.random.IntN(len(c.toClaim))]
		for i := range c.suspended {
			if !c.suspended[i] {
				c.deliverToIngress(i, m)
			}
		}
	}
	c.inFlight = nil
}

func (c *contention) continueAttemptAndDeliver() {
	a := c.randomRecentAttempt()
	if a == nil {
		return
	}
	c.handleResult(a)
	if c.random.IntN(3) > 0 {
		c.tryDispatch(a)
	}
	if c.random.IntN(3) == 0 {
		c.finishAttempt(a)
	}
	if c.random.IntN(3) == 0 {
		c.tryDispatch(a)
	}
	// Each message that the attempt sends is delivered now with a probability of
	// one half, and may be delivered again at any later time.
	for _, m := range c.inFlight {
		c.toReplica = append(c.toReplica, m)
		for _, n := range c.nodes {
			if n.id == m.to && c.random.IntN(2) == 0 {
				c.deliverToReplica(n, m)
			}
		}
	}
	c.inFlight = nil
}

func (c *contention) readRandomPage(n *node) {
	reads := n.replica.NextReads(c.now)
	if len(reads) == 0 {
		return
	}
	read := reads[c.random.IntN(len(reads))]
	for _, other := range c.nodes {
		if other.id == read.To {
			n.replica.HandleReadReply(other.id, other.replica.HandleReadRequest(read.Request, c.now), c.now)
		}
	}
}

// requestVotes requests votes for the claim from the given replicas and handles
// their replies.
func requestVotes(claim *Claim, now time.Time, nodes ...*node) {
	for _, n := range nodes {
		claim.HandleVoteReply(n.id, n.replica.HandleVoteRequest(claim.VoteRequest(now), now), now)
	}
}

func (sim *simulation) newClaim(account fleetconfig.AccountID, content string) *Claim {
	record := Key{Account: account, Service: "s", Value: "k"}.RecordID()
	fingerprint := NewFingerprint("POST", content, BodyDigest{})
	return NewClaim(testConfig, sim.group(), record, fingerprint, NewClaimID(sim.random), sim.now, sim.now.Add(testRequestTime))
}
