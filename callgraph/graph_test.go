package callgraph

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

var ledger = Call{Service: "ledger", Route: "ledger-read"}

// A route whose runs make a call at random, at times twice, is known to do so after a few runs.
func TestGraphLearnsMeanNumberOfCalls(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var graph Graph
	must.SliceEmpty(t, graph.Calls("issue"))
	for range 300 {
		made := map[Call]int{}
		if rng.Float64() < 0.7 {
			made[ledger] = 2
		}
		graph.RecordRun("issue", made)
		graph.RecordRun("lookup", nil)
	}
	must.SliceEmpty(t, graph.Calls("lookup"))
	calls := graph.Calls("issue")
	must.Len(t, 1, calls)
	must.Eq(t, ledger, calls[0].Call)
	must.Between(t, 0.9, calls[0].PerRun, 1.9)
}

// The first run counts in full, and a call that is not made any more is forgotten.
func TestGraphFollowsChangedRoute(t *testing.T) {
	var graph Graph
	graph.RecordRun("issue", map[Call]int{ledger: 1})
	must.Eq(t, 1.0, graph.Calls("issue")[0].PerRun)
	for range 100 {
		graph.RecordRun("issue", nil)
	}
	must.SliceEmpty(t, graph.Calls("issue"))
}

// The state is bounded and no expectation exceeds what a run has made, whatever is recorded.
func TestGraphIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var graph Graph
		most := 0
		for range rapid.IntRange(1, 600).Draw(t, "runs") {
			made := map[Call]int{}
			for range rapid.IntRange(0, 3).Draw(t, "kinds") {
				count := rapid.IntRange(0, 5).Draw(t, "count")
				most = max(most, count)
				made[Call{Service: "s", Route: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "call"))}] = count
			}
			route := fmt.Sprint(rapid.IntRange(0, 2*maxRoutes).Draw(t, "route"))
			graph.RecordRun(route, made)
			must.LessEq(t, maxRoutes, len(graph.routes))
			must.LessEq(t, maxCalls, len(graph.Calls(route)))
			for _, expectation := range graph.Calls(route) {
				must.LessEq(t, float64(most)+1e-9, expectation.PerRun)
			}
		}
	})
}
