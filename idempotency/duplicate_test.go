package idempotency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDuplicateRequestResults proves what a repeat hears, from the claim to the end of the
// retention, and that another account and other content never share a record.
func TestDuplicateRequestResults(t *testing.T) {
	w := newStableSimulation()
	repeat := func(content string) ClaimResult { return w.claimAndRelease("a", content) }
	claim := w.newClaim("a", "/x")
	requestVotes(claim, w.now, w.nodes...)
	must.True(t, claim.MayDispatch(w.now))
	must.Eq(t, ResultInProgress, repeat("/x").Kind)
	must.Eq(t, ResultKeyReused, repeat("/y").Kind)
	w.now = w.now.Add(testRequestTime)
	// The claimant died: never "not run".
	must.Eq(t, ResultOutcomeUnknown, repeat("/x").Kind)
	finish := claim.Settle(OutcomeAnswered, []byte("whole answer")).Finish
	for _, n := range w.nodes {
		must.True(t, n.replica.Finish(*finish, w.now))
	}
	must.Eq(t, ClaimResult{Kind: ResultResponseStored, Response: []byte("whole answer")}, repeat("/x"))
	must.Eq(t, ResultKeyReused, repeat("/y").Kind)
	other := w.newClaim("b", "/x")
	requestVotes(other, w.now, w.nodes...)
	must.Eq(t, ResultClaimed, other.Result().Kind)
	must.True(t, other.MayDispatch(w.now))
	tooLarge := other.Settle(OutcomeAnswered, make([]byte, testConfig.MaxResponseBytes+1)).Finish
	must.Eq(t, StateResponseNotStored, tooLarge.State)
	w.now = w.now.Add(testRetention - time.Millisecond)
	must.Eq(t, ResultResponseStored, repeat("/x").Kind)
	w.now = w.now.Add(time.Millisecond)
	must.Eq(t, ResultClaimed, repeat("/x").Kind)
}

// TestFullReplicaRejectsNewRecords proves that a full replica refuses new records, forgets none
// early and keeps room for outcomes.
func TestFullReplicaRejectsNewRecords(t *testing.T) {
	w := newSimulation(nil, 1, rand.New(rand.NewPCG(1, 1)))
	w.nodes[0].replica.table.budget.limit = 2 * recordBytes
	first := w.newClaim("a", "/x")
	requestVotes(first, w.now, w.nodes...)
	second := w.newClaim("b", "/x")
	requestVotes(second, w.now, w.nodes...)
	third := w.newClaim("c", "/x")
	requestVotes(third, w.now, w.nodes...)
	must.Eq(t, ClaimResult{Kind: ResultNotRun, Cause: CauseFull}, third.Result())
	must.True(t, first.MayDispatch(w.now))
	w.nodes[0].replica.Finish(*first.Settle(OutcomeAnswered, []byte("answer")).Finish, w.now)
	repeat := w.newClaim("a", "/x")
	requestVotes(repeat, w.now, w.nodes...)
	must.Eq(t, ResultResponseNotStored, repeat.Result().Kind)
	// A released record makes room.
	w.nodes[0].replica.Release(*second.Settle(OutcomeNotRun, nil).Release)
	again := w.newClaim("c", "/x")
	requestVotes(again, w.now, w.nodes...)
	must.Eq(t, ResultClaimed, again.Result().Kind)
	w.now = w.now.Add(testConfig.maxRecordLifetime())
	w.nodes[0].replica.Tick(w.now)
	must.Eq(t, 0, w.nodes[0].replica.table.budget.Used())
}

// TestRecoveredResponseBelongsToExecutedClaim recovers a replica that finds two claims of different
// content. The answer goes to the content of the claim that ran, whichever claim
// was found first. Found by TestOrderRunsAtMostOnce.
func TestRecoveredResponseBelongsToExecutedClaim(t *testing.T) {
	for _, others := range [][]int{{2, 3, 4}, {4, 3, 2}} {
		w := newStableSimulation()
		dead := w.newClaim("a", "/y")
		requestVotes(dead, w.now, w.nodesAt(4)...)
		ran := w.newClaim("a", "/x")
		requestVotes(ran, w.now, w.nodesAt(0, 1, 2, 3)...)
		must.True(t, ran.MayDispatch(w.now))
		w.restartAndRead(0, others...)
		w.nodes[0].replica.Finish(*ran.Settle(OutcomeAnswered, []byte("x")).Finish, w.now)
		for content, want := range map[string]ClaimResultKind{"/x": ResultResponseStored, "/y": ResultKeyReused} {
			repeat := w.newClaim("a", content)
			requestVotes(repeat, w.now, w.nodes[0])
			must.Eq(t, want, repeat.conflict.Kind)
		}
		// What the dead claim releases stays held for the one that ran.
		w.nodes[0].replica.Release(*dead.Settle(OutcomeNotRun, nil).Release)
		must.Eq(t, 1, w.nodes[0].replica.Len())
	}
}

// TestDuplicateRequestsWhileFinishPropagates: while the end of an order travels, a repeat may
// hear the answer and the next one, whose first replies come from other replicas,
// that the order is in progress. Neither runs, and once every replica knows the end
// all hear the answer.
func TestDuplicateRequestsWhileFinishPropagates(t *testing.T) {
	w := newStableSimulation()
	claim := w.newClaim("a", "/x")
	requestVotes(claim, w.now, w.nodes...)
	must.True(t, claim.MayDispatch(w.now))
	finish := claim.Settle(OutcomeAnswered, []byte("answer")).Finish
	must.True(t, w.nodes[0].replica.Finish(*finish, w.now))
	verdictAt := func(first ...int) ClaimResultKind {
		repeat := w.newClaim("a", "/x")
		requestVotes(repeat, w.now, w.nodesAt(first...)...)
		must.False(t, repeat.MayDispatch(w.now))
		return repeat.Result().Kind
	}
	must.Eq(t, ResultResponseStored, verdictAt(0))
	must.Eq(t, ResultInProgress, verdictAt(1, 2, 3, 0))
	for _, n := range w.nodes[1:] {
		must.True(t, n.replica.Finish(*finish, w.now))
	}
	must.Eq(t, ResultResponseStored, verdictAt(0))
	must.Eq(t, ResultResponseStored, verdictAt(1, 2, 3, 0))
}
