package backendproxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/retry"
)

// First requests earn credit for repeats, and a restarted server has none.
func TestRegistryChargesRepeats(t *testing.T) {
	registry := newTestRegistry()
	registry.limits.repeats = retry.RepeatLimits{Share: 0.5, Lifetime: time.Minute}
	registry.announce(t, "s1", 1, 1, nil)
	now := clock.Now()
	repeatOf := func(repeat pipeline.Repeat) *pipeline.Exchange {
		return &pipeline.Exchange{BackendServer: "s1", Service: "catalogue", Repeat: repeat}
	}
	charge := func(repeat pipeline.Repeat) bool { return registry.chargeRepeat(repeatOf(repeat), now) }
	must.False(t, charge(pipeline.RepeatRetry))
	for range 4 {
		must.True(t, charge(pipeline.RepeatNone))
	}
	must.Eq(t, 2, registry.RepeatCredit())
	must.True(t, charge(pipeline.RepeatRetry))
	must.True(t, charge(pipeline.RepeatCall))
	must.False(t, charge(pipeline.RepeatCall))
	must.True(t, charge(pipeline.RepeatNone))
	must.True(t, charge(pipeline.RepeatNone))
	must.True(t, registry.mayRepeat(repeatOf(pipeline.RepeatRetry), now))
	registry.announce(t, "s1", 2, 1, nil)
	must.False(t, registry.mayRepeat(repeatOf(pipeline.RepeatRetry), now))
	must.Eq(t, 1, registry.retries.Load())
	must.Eq(t, 1, registry.repeatedCalls.Load())
}

// A repeat at a server that has left after it was admitted is refused, since nothing counts it.
func TestRepeatAtDepartedServerRefused(t *testing.T) {
	registry := newTestRegistry()
	registry.limits.repeats = retry.RepeatLimits{Share: 1, Lifetime: time.Minute}
	now := clock.Now()
	must.False(t, registry.chargeRepeat(&pipeline.Exchange{BackendServer: "s1", Service: "catalogue", Repeat: pipeline.RepeatRetry}, now))
	must.True(t, registry.chargeRepeat(&pipeline.Exchange{BackendServer: "s1", Service: "catalogue"}, now))
}

// A run that a server names tells its requests apart, also after the run has ended.
func TestRunTrackerRecognizesCallsOfRepeatedRuns(t *testing.T) {
	tracker := newTestTracker()
	tracker.startedAt = clock.Now().Add(-formerRunPeriod)
	endFirst := tracker.run("first", pipeline.RepeatNone)
	must.False(t, tracker.repeatedCall("first", ""))
	endSecond := tracker.run("second", pipeline.RepeatRetry)
	must.True(t, tracker.repeatedCall("second", ""))
	must.False(t, tracker.repeatedCall("first", ""))
	// The servers name their runs, so a request that names none is a caller's.
	must.False(t, tracker.repeatedCall("", ""))
	endSecond()
	must.True(t, tracker.repeatedCall("second", ""))
	endFirst()
	endNested := tracker.run("first", pipeline.RepeatCall)
	must.True(t, tracker.repeatedCall("first", ""))
	endNested()
}

// While servers name no runs, a repeated run under way may have sent every request without a key.
func TestRunTrackerAssumesCallsOfRepeatedRuns(t *testing.T) {
	tracker := newTestTracker()
	must.False(t, tracker.repeatedCall("", ""))
	end := tracker.run("second", pipeline.RepeatRetry)
	must.True(t, tracker.repeatedCall("", ""))
	must.False(t, tracker.repeatedCall("", "acme"))
	end()
	must.False(t, tracker.repeatedCall("", ""))
}

// Calls of runs that a former process began count as repeated.
func TestRunTrackerAssumesFormerRunsRepeated(t *testing.T) {
	tracker := newTestTracker()
	must.True(t, tracker.repeatedCall("former", ""))
	must.False(t, tracker.repeatedCall("former", "acme"))
	tracker.startedAt = clock.Now().Add(-formerRunPeriod)
	must.False(t, tracker.repeatedCall("former", ""))
}

// testTracker is a RunTracker with short forms of its calls.
type testTracker struct{ *RunTracker }

func newTestTracker() testTracker { return testTracker{NewRunTracker()} }

func (t testTracker) run(id string, repeat pipeline.Repeat) (end func()) {
	endRun := t.begin(&pipeline.Exchange{RequestID: id, Repeat: repeat, Deadline: clock.Now().Add(time.Minute)})
	return func() { endRun(true) }
}

func (t testTracker) repeatedCall(caller, account string) bool {
	return t.IsRepeatedCall(&pipeline.Exchange{CallerRequest: caller, Account: fleetconfig.AccountID(account), Received: clock.Now()})
}

// Runs are forgotten after their deadline, so that the tracker stays small.
func TestRunTrackerForgetsRunsAfterDeadline(t *testing.T) {
	tracker := NewRunTracker()
	for i := range 100 {
		tracker.begin(&pipeline.Exchange{RequestID: fmt.Sprint(i), Repeat: pipeline.RepeatRetry, Deadline: clock.Now()})(true)
	}
	tracker.sweep(clock.Now().Add(2 * runSweepInterval))
	must.MapEmpty(t, tracker.runs)
	must.Eq(t, 0, tracker.repeatsUnderWay)
}
