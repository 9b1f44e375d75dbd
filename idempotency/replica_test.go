package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// simulationSteps is the number of steps of one simulation.
const simulationSteps = 30000

// TestOrderRunsAtMostOnce simulates concurrent ingresses that send orders and
// duplicate requests to replicas. The faults are replicas that restart without
// their records, suspended ingresses, blocked links, and a network that drops,
// delays, duplicates and reorders messages; the shard map changes as well. It
// fails if an order runs twice within the retention period, if an attempt that
// was reported as not run is dispatched, if a dispatch takes place after the
// claim timeout, or if a caller gets the response to another order.
func TestOrderRunsAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 5, 5}).Draw(t, "size")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sim := newSimulation(t, size, random)
		stable := random.IntN(3) == 0
		for range simulationSteps {
			sim.randomStep(stable)
		}
		for _, runs := range sim.executions {
			total += len(runs)
		}
	})
	// Check that orders have run; otherwise the test checks nothing.
	t.Logf("%d orders ran", total)
	must.Greater(t, 100, total)
}

// randomStep performs a random step. If stable is true, there are no restarts,
// no blocked links and no long pauses.
func (sim *simulation) randomStep(stable bool) {
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	ingress := sim.random.IntN(len(sim.suspended))
	switch op := sim.random.IntN(1000); {
	case op < 720:
		sim.deliver()
	case op < 740:
		sim.startAttempt(ingress, sim.recentKey(), []string{"/x", "/x", "/x", "/y"}[sim.random.IntN(4)])
	case op < 880:
		sim.advanceAttempt()
	case op < 890:
		sim.sendReads(n)
	case op < 900:
		sim.readWithoutDelay(n)
	case op < 910:
		sim.voteWithoutDelay()
	case op < 945:
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(100)) * time.Millisecond)
	case op < 948:
		n.replica.SetGroup(sim.groups[sim.random.IntN(len(sim.groups))], sim.now)
	case op < 965:
		n.replica.SetGroup(sim.group(), sim.now)
	case op < 970:
		sim.suspended[ingress] = sim.random.IntN(4) == 0
	case op < 980 && sim.random.IntN(6) == 0:
		sim.changeMap()
	case stable:
	case op < 983 && sim.random.IntN(20) == 0:
		sim.restart(n)
		if sim.random.IntN(2) == 0 {
			sim.readWithoutDelay(n)
		}
	case op < 987:
		sim.toggleLink()
	case op < 988 && sim.random.IntN(4) == 0:
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(20)) * time.Second)
	}
}

// recentKey returns one of the latest keys, so that some ingresses compete for
// a key and others use it again later.
func (sim *simulation) recentKey() string {
	if sim.random.IntN(5) == 0 {
		sim.keys++
	}
	return fmt.Sprintf("k%d", max(0, sim.keys-sim.random.IntN(3)))
}

func (sim *simulation) advanceAttempt() {
	if len(sim.attempts) == 0 {
		return
	}
	// Prefer recent attempts, among the latest 20.
	i := len(sim.attempts) - 1 - sim.random.IntN(min(len(sim.attempts), 1+sim.random.IntN(20)))
	a := sim.attempts[i]
	sim.handleResult(a)
	sim.tryDispatch(a)
	if sim.random.IntN(3) == 0 {
		sim.finishAttempt(a)
	}
}

func (sim *simulation) toggleLink() {
	endpoints := []fleetconfig.InstanceID{ingressID(0), ingressID(1)}
	for _, n := range sim.nodes {
		endpoints = append(endpoints, n.id)
	}
	if sim.random.IntN(4) == 0 {
		clear(sim.blockedLinks)
	}
	link := [2]fleetconfig.InstanceID{endpoints[sim.random.IntN(len(endpoints))], endpoints[sim.random.IntN(len(endpoints))]}
	sim.blockedLinks[link] = !sim.blockedLinks[link]
}
