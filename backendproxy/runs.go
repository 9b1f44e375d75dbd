package backendproxy

import (
	"slices"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/callgraph"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// maxTrackedRuns bounds the runs that a RunTracker remembers. Runs beyond it count as first
	// runs once they have ended.
	maxTrackedRuns = 10_000
	// runSweepInterval is how often expired runs are forgotten.
	runSweepInterval = time.Second
	// maxCallKinds bounds the kinds of calls that are counted for one run.
	maxCallKinds = 8
	// formerRunPeriod is how long after the start of this process requests may come from runs
	// that a former process began.
	formerRunPeriod = 10 * time.Second
)

// RunTracker tracks which requests the backend servers beside this instance run, and which of
// these runs are repeated. The zero value is not usable. It is safe for concurrent use.
type RunTracker struct {
	mu   sync.Mutex
	runs map[string]*trackedRun
	// repeatsUnderWay counts the repeated runs that have not ended.
	repeatsUnderWay int
	sweptAt         time.Time
	startedAt       time.Time
	// callersNamed says that a request has named a run that is known.
	callersNamed bool
	// calls is what was learned about the requests that runs send.
	calls callgraph.Graph
}

// trackedRun is remembered until its deadline even if it ends earlier, because a backend server
// may go on with a request whose connection has closed.
type trackedRun struct {
	repeated bool
	underWay int
	deadline time.Time
	route    string
	urgency  fleetconfig.Urgency
	// lostCall says that a call of the run has failed.
	lostCall bool
	// made counts the calls of the run, of at most maxCallKinds kinds.
	made map[callgraph.Call]int
}

// NewRunTracker returns a tracker without runs.
func NewRunTracker() *RunTracker {
	return &RunTracker{runs: make(map[string]*trackedRun), startedAt: clock.Now()}
}

// begin records that a request is about to be sent to a backend server. The function that it
// returns must be called when the run has ended, with whether it has ended well.
func (t *RunTracker) begin(exchange *pipeline.Exchange) (end func(completed bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(clock.Now())
	repeated := exchange.Repeat != pipeline.RepeatNone
	if repeated {
		t.repeatsUnderWay++
	}
	run := t.runs[exchange.RequestID]
	if run == nil {
		run = &trackedRun{}
		t.runs[exchange.RequestID] = run
	}
	if run.underWay == 0 {
		// A repeat of the request makes its calls anew.
		run.made, run.lostCall = nil, false
	}
	run.route, run.urgency = exchange.RouteID, exchange.Urgency
	run.repeated = run.repeated || repeated
	run.underWay++
	if exchange.Deadline.After(run.deadline) {
		run.deadline = exchange.Deadline
	}
	return func(completed bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		run.underWay--
		if completed && run.route != "" {
			t.calls.RecordRun(run.route, run.made)
			run.made = nil
		}
		if repeated {
			t.repeatsUnderWay--
		}
		if run.underWay == 0 && len(t.runs) > maxTrackedRuns {
			delete(t.runs, exchange.RequestID)
		}
	}
}

// sweep forgets runs that have ended and whose deadline has passed. The caller must hold mu.
func (t *RunTracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < runSweepInterval {
		return
	}
	t.sweptAt = now
	for id, run := range t.runs {
		if run.underWay == 0 && now.After(run.deadline) {
			delete(t.runs, id)
		}
	}
}

// IsRepeatedCall reports whether a repeated run sends the request of an exchange at the ingress.
// Where that is not known, it assumes so: for a run of a former process, and, unless the servers
// name their runs, while any repeated run is under way.
func (t *RunTracker) IsRepeatedCall(exchange *pipeline.Exchange) bool {
	if !mayComeFromServer(exchange) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	named := exchange.CallerRequest != ""
	if run := t.runs[exchange.CallerRequest]; run != nil && named {
		t.callersNamed = true
		return run.repeated
	}
	if named && exchange.Received.Sub(t.startedAt) < formerRunPeriod {
		return true
	}
	return t.repeatsUnderWay > 0 && !t.callersNamed
}

// mayComeFromServer reports whether a backend server may send the request. One with a key comes
// from a client, since servers have no keys, whatever run it names.
func mayComeFromServer(exchange *pipeline.Exchange) bool {
	return exchange.Account == "" && !exchange.HasKey
}

// RecordCall implements ingress.Runs. A request that names a run of a former process of this
// instance is one of its calls, with the least urgency that a call can have.
func (t *RunTracker) RecordCall(exchange *pipeline.Exchange) fleetconfig.Urgency {
	if exchange.CallerRequest == "" || !mayComeFromServer(exchange) {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.runs[exchange.CallerRequest]
	if run == nil {
		if exchange.Received.Sub(t.startedAt) < formerRunPeriod {
			return fleetconfig.UrgencyOfCall(fleetconfig.LeastUrgent)
		}
		return 0
	}
	call := callgraph.Call{Service: exchange.Service, Route: exchange.Route.ID}
	if run.made == nil {
		run.made = make(map[callgraph.Call]int)
	}
	if _, known := run.made[call]; known || len(run.made) < maxCallKinds {
		run.made[call]++
	}
	return fleetconfig.UrgencyOfCall(run.urgency)
}

// expectedCalls returns the calls that a run of the route will probably make.
func (t *RunTracker) expectedCalls(route string) []callgraph.Expectation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.calls.Calls(route))
}

// RecordFailedCall implements ingress.Runs.
func (t *RunTracker) RecordFailedCall(exchange *pipeline.Exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run := t.runs[exchange.CallerRequest]; run != nil && mayComeFromServer(exchange) {
		run.lostCall = true
	}
}

// lostCall reports whether a call of the run of a request has failed.
func (t *RunTracker) lostCall(requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.runs[requestID]
	return run != nil && run.lostCall
}
