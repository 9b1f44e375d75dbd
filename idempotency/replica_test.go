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

// simulationSteps is the number of steps of one run of the world.
const simulationSteps = 30000

// TestOrderRunsAtMostOnce races ingresses and resends over replicas that lose
// their memory, changes of the map, freezes, cuts and a network that drops,
// delays, doubles and reorders. The world fails the test when an order runs
// twice in the retention, when an attempt that was told "not run" runs, when a
// dispatch comes after the claim time, and when a caller hears another answer.
func TestOrderRunsAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 5, 5}).Draw(t, "size")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := newSimulation(t, size, random)
		calm := random.IntN(3) == 0
		for range simulationSteps {
			w.randomStep(calm)
		}
		for _, runs := range w.executions {
			total += len(runs)
		}
	})
	// A world in which nothing runs proves nothing.
	t.Logf("%d orders ran", total)
	must.Greater(t, 100, total)
}

func (w *simulation) randomStep(calm bool) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	ingress := w.random.IntN(len(w.frozen))
	switch op := w.random.IntN(1000); {
	case op < 720:
		w.deliver()
	case op < 740:
		w.startAttempt(ingress, w.recentKey(), []string{"/x", "/x", "/x", "/y"}[w.random.IntN(4)])
	case op < 880:
		w.advanceAttempt()
	case op < 890:
		w.sendReads(n)
	case op < 900:
		w.readWithoutDelay(n)
	case op < 910:
		w.voteWithoutDelay()
	case op < 945:
		w.now = w.now.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
	case op < 948:
		n.replica.SetGroup(w.groups[w.random.IntN(len(w.groups))], w.now)
	case op < 965:
		n.replica.SetGroup(w.group(), w.now)
	case op < 970:
		w.frozen[ingress] = w.random.IntN(4) == 0
	case op < 980 && w.random.IntN(6) == 0:
		w.changeMap()
	case calm:
	case op < 983 && w.random.IntN(20) == 0:
		w.restart(n)
		if w.random.IntN(2) == 0 {
			w.readWithoutDelay(n)
		}
	case op < 987:
		w.toggleLink()
	case op < 988 && w.random.IntN(4) == 0:
		w.now = w.now.Add(time.Duration(w.random.IntN(20)) * time.Second)
	}
}

// recentKey returns one of the latest keys, so that some ingresses race for it and
// some come back to it later.
func (w *simulation) recentKey() string {
	if w.random.IntN(5) == 0 {
		w.keys++
	}
	return fmt.Sprintf("k%d", max(0, w.keys-w.random.IntN(3)))
}

func (w *simulation) advanceAttempt() {
	if len(w.attempts) == 0 {
		return
	}
	// Recent attempts are touched more often, but old ones never rest.
	i := len(w.attempts) - 1 - w.random.IntN(min(len(w.attempts), 1+w.random.IntN(20)))
	a := w.attempts[i]
	w.handleResult(a)
	w.tryDispatch(a)
	if w.random.IntN(3) == 0 {
		w.finishAttempt(a)
	}
}

func (w *simulation) toggleLink() {
	ends := []fleetconfig.InstanceID{ingressID(0), ingressID(1)}
	for _, n := range w.nodes {
		ends = append(ends, n.id)
	}
	if w.random.IntN(4) == 0 {
		clear(w.blockedLinks)
	}
	pair := [2]fleetconfig.InstanceID{ends[w.random.IntN(len(ends))], ends[w.random.IntN(len(ends))]}
	w.blockedLinks[pair] = !w.blockedLinks[pair]
}
