package backendproxy

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/callgraph"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

var (
	ledgerRoute = &fleetconfig.Route{ID: "ledger-read", Service: "ledger"}
	ledgerCall  = callgraph.Call{Service: "ledger", Route: ledgerRoute.ID}
	issue       = fleetconfig.UrgencyOf(nil, &fleetconfig.Route{Priority: 2})
)

// runWithCalls runs a request of the route issue, which calls the ledger.
func (t testTracker) runWithCalls(id string, calls int, completed bool) (urgency fleetconfig.Urgency) {
	end := t.begin(&pipeline.Exchange{RequestID: id, RouteID: "issue", Urgency: issue, Deadline: clock.Now().Add(time.Minute)})
	for range calls {
		urgency = t.RecordCall(&pipeline.Exchange{CallerRequest: id, Service: ledgerRoute.Service, Route: ledgerRoute, Received: clock.Now()})
	}
	end(completed)
	return urgency
}

// A call takes its urgency from the run that sends it, and completed runs show what a route calls.
func TestRunTrackerLearnsCalls(t *testing.T) {
	tracker := newTestTracker()
	must.SliceEmpty(t, tracker.expectedCalls("issue"))
	must.Eq(t, fleetconfig.UrgencyOfCall(issue), tracker.runWithCalls("1", 2, true))
	tracker.runWithCalls("2", 0, false)
	calls := tracker.expectedCalls("issue")
	must.Len(t, 1, calls)
	must.Eq(t, callgraph.Expectation{Call: ledgerCall, PerRun: 2}, calls[0])
}

// A client with a key names no run, also where its key does not matter, or is not valid: what its
// requests do says nothing about the runs.
func TestRequestWithKeyIsNoCall(t *testing.T) {
	tracker := newTestTracker()
	tracker.startedAt = clock.Now().Add(-formerRunPeriod)
	end := tracker.run("second", pipeline.RepeatRetry)
	defer end()
	for _, forged := range []*pipeline.Exchange{{HasKey: true}, {Account: "acme", HasKey: true}} {
		forged.CallerRequest, forged.Service, forged.Route, forged.Received = "second", "ledger", ledgerRoute, clock.Now()
		must.Eq(t, 0, tracker.RecordCall(forged))
		tracker.RecordFailedCall(forged)
		must.False(t, tracker.lostCall("second"))
		must.False(t, tracker.IsRepeatedCall(forged))
	}
	// The servers name no runs, so the repeated run may have sent any request without a key.
	must.True(t, tracker.repeatedCall("", ""))
}

// A run that is repeated beside the same instance does not count with the calls of the failed
// attempt, nor is it excused by them.
func TestRepeatedRunStartsWithoutCalls(t *testing.T) {
	tracker := newTestTracker()
	tracker.runWithCalls("1", 1, false)
	tracker.RecordFailedCall(&pipeline.Exchange{CallerRequest: "1"})
	must.True(t, tracker.lostCall("1"))
	end := tracker.begin(&pipeline.Exchange{RequestID: "1", RouteID: "issue", Urgency: issue, Repeat: pipeline.RepeatRetry, Deadline: clock.Now().Add(time.Minute)})
	must.False(t, tracker.lostCall("1"))
	end(true)
	must.SliceEmpty(t, tracker.expectedCalls("issue"))
}

// A request is a call only if it names a run, known or of a former process, and has no account.
func TestRunTrackerTellsCallsFromOtherRequests(t *testing.T) {
	tracker := newTestTracker()
	call := &pipeline.Exchange{CallerRequest: "former", Service: "ledger", Route: ledgerRoute, Received: clock.Now()}
	must.Eq(t, fleetconfig.UrgencyOfCall(fleetconfig.LeastUrgent), tracker.RecordCall(call))
	call.Account = "acme"
	must.Eq(t, 0, tracker.RecordCall(call))
	call.Account, call.Received = "", clock.Now().Add(formerRunPeriod)
	must.Eq(t, 0, tracker.RecordCall(call))
	call.CallerRequest = ""
	must.Eq(t, 0, tracker.RecordCall(call))
}

// A request is refused, as not run, while a service that its run would call has no room for its
// rank. Calls, and requests without the preset's field, are not.
func TestRequestIsNotStartedWithoutRoomForItsCalls(t *testing.T) {
	tracker := newTestTracker()
	room := false
	document := fleetconfig.NewDocument()
	filter := &callRoomFilter{
		runs: tracker.RunTracker,
		view: func() *fleetconfig.View { return fleetconfig.NewView(document) },
		room: func(call callgraph.Call, urgency fleetconfig.Urgency, slack time.Duration) (time.Duration, bool) {
			must.Eq(t, ledgerCall, call)
			must.Between(t, time.Second, slack, 2*time.Second)
			must.Eq(t, issue, urgency)
			return 3 * time.Second, room
		},
	}
	request := func(urgency fleetconfig.Urgency) error {
		return filter.Request(&pipeline.Exchange{
			RequestID: "9", RouteID: "issue", Urgency: urgency, ServiceTime: time.Second, TargetTime: clock.Now().Add(3 * time.Second),
		})
	}
	setPrecedence := func(enabled bool) {
		for i := range document.Presets {
			document.Presets[i].CallPrecedence = enabled
		}
	}
	setPrecedence(true)
	must.NoError(t, request(issue))
	tracker.runWithCalls("1", 1, true)
	var refusal *pipeline.Refusal
	must.True(t, errors.As(request(issue), &refusal))
	must.Eq(t, pipeline.KindCalledServiceBusy, refusal.Kind)
	must.Eq(t, pipeline.OutcomeNotRun, refusal.Outcome)
	must.Eq(t, 3*time.Second, refusal.RetryAfter)
	must.NoError(t, request(fleetconfig.UrgencyOfCall(issue)))
	setPrecedence(false)
	must.NoError(t, request(issue))
	setPrecedence(true)
	room = true
	must.NoError(t, request(issue))
}

// A run that ends with an error because one of its calls failed says nothing about the server.
func TestRunTrackerKnowsLostCalls(t *testing.T) {
	tracker := newTestTracker()
	end := tracker.run("1", pipeline.RepeatNone)
	must.False(t, tracker.lostCall("1"))
	tracker.RecordFailedCall(&pipeline.Exchange{CallerRequest: "2"})
	tracker.RecordFailedCall(&pipeline.Exchange{CallerRequest: "1", Account: "acme"})
	must.False(t, tracker.lostCall("1"))
	tracker.RecordFailedCall(&pipeline.Exchange{CallerRequest: "1"})
	must.True(t, tracker.lostCall("1"))
	end()
}
