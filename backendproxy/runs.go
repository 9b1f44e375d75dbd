package backendproxy

import (
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// maxTrackedRuns bounds the runs that a RunTracker remembers. Runs beyond it count as first
	// runs once they have ended.
	maxTrackedRuns = 10_000
	// runSweepInterval is how often expired runs are forgotten.
	runSweepInterval = time.Second
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
}

// trackedRun is remembered until its deadline even if it ends earlier, because a backend server
// may go on with a request whose connection has closed.
type trackedRun struct {
	repeated bool
	underWay int
	deadline time.Time
}

// NewRunTracker returns a tracker without runs.
func NewRunTracker() *RunTracker {
	return &RunTracker{runs: make(map[string]*trackedRun), startedAt: clock.Now()}
}

// begin records that a request is about to be sent to a backend server. The function that it
// returns must be called when the run has ended.
func (t *RunTracker) begin(exchange *pipeline.Exchange) (end func()) {
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
	run.repeated = run.repeated || repeated
	run.underWay++
	if exchange.Deadline.After(run.deadline) {
		run.deadline = exchange.Deadline
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		run.underWay--
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
// name their runs, while any repeated run is under way. A request with the key of a client account
// comes from no server, since servers have no keys.
func (t *RunTracker) IsRepeatedCall(exchange *pipeline.Exchange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	named := exchange.CallerRequest != ""
	if run := t.runs[exchange.CallerRequest]; run != nil && named {
		t.callersNamed = true
		return run.repeated
	}
	switch {
	case exchange.Account != "":
		return false
	case named && exchange.Received.Sub(t.startedAt) < formerRunPeriod:
		return true
	}
	return t.repeatsUnderWay > 0 && !t.callersNamed
}
