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
)

// RunTracker tracks which requests the backend servers beside this instance run, and which of
// these runs are repeated. The zero value is not usable. It is safe for concurrent use.
type RunTracker struct {
	mu   sync.Mutex
	runs map[string]*trackedRun
	// repeatsUnderWay counts the repeated runs that have not ended.
	repeatsUnderWay int
	sweptAt         time.Time
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
	return &RunTracker{runs: make(map[string]*trackedRun)}
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
// If the request does not name a run that is known, it counts as sent by a repeated run while
// there is any, unless it carries the key of a client account: backend servers have no keys.
func (t *RunTracker) IsRepeatedCall(exchange *pipeline.Exchange) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run := t.runs[exchange.CallerRequest]; run != nil && exchange.CallerRequest != "" {
		return run.repeated
	}
	return t.repeatsUnderWay > 0 && exchange.Account == ""
}
