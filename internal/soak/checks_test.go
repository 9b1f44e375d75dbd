package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

var epoch = time.Unix(1_000_000, 0)

func newTestRun() *run {
	return &run{
		findings:    &findings{out: io.Discard, started: epoch},
		callers:     newCallers(nil, nil),
		reported:    make(map[string]bool),
		withdrawnAt: make(map[fleetconfig.AccountID]time.Time),
	}
}

// takeViolations returns and removes the violations reported so far.
func (r *run) takeViolations() string {
	violations := strings.Join(r.findings.violations, "; ")
	r.findings.violations = nil
	return violations
}

// Each violation is reported once, and allowed executions are not reported.
func TestCheckExecutionsReportsEachViolationOnce(t *testing.T) {
	r := newTestRun()
	r.callers.notRun["n1"] = true
	r.callers.notRun["n2"] = true
	r.callers.answered["o1"] = true
	allowed := &emulator.Executions{Orders: map[string]int{"o1": 1, "o2": 1}, Requests: map[string]int{"r1": 2}}
	r.checkExecutions(allowed)
	r.checkOrders(allowed)
	must.Eq(t, "", r.takeViolations())

	r.checkExecutions(&emulator.Executions{Orders: map[string]int{"o1": 2}})
	must.StrContains(t, r.takeViolations(), "order o1 ran 2 times")
	r.checkExecutions(&emulator.Executions{Orders: map[string]int{"o1": 2}, Requests: map[string]int{"n2": 1}, WithCredentials: 1})
	found := r.takeViolations()
	must.StrContains(t, found, "n2 was reported as not run")
	must.StrContains(t, found, "with a key")
	must.StrNotContains(t, found, "order o1")
	r.checkOrders(&emulator.Executions{})
	must.StrContains(t, r.takeViolations(), "order o1 was answered")
	r.callers.corrupted = append(r.callers.corrupted, "u1")
	r.checkExecutions(allowed)
	must.StrContains(t, r.takeViolations(), "u1 was complete but corrupted")
}

// The rate is checked in windows of any length and start, and only requests that were
// sent and answered inside a window count.
func TestCheckRateLimitCoversEveryWindow(t *testing.T) {
	r := newTestRun()
	add := func(sent, ended time.Duration) {
		r.callers.served[overRateAccount.id] = append(r.callers.served[overRateAccount.id], servedRequest{sent: epoch.Add(sent), ended: epoch.Add(ended)})
	}
	// The whole burst at once, then requests at the rate.
	for i := range 10 {
		add(time.Duration(i)*time.Millisecond, time.Duration(i+1)*time.Millisecond)
	}
	for i := range 100 {
		at := time.Second + time.Duration(i)*time.Second/20
		add(at, at+time.Millisecond)
	}
	r.checkRateLimit()
	must.Eq(t, "", r.takeViolations())
	// Thirty more requests between two of the others.
	for i := range 30 {
		at := 3*time.Second + time.Duration(i)*100*time.Microsecond
		add(at, at+time.Millisecond)
	}
	r.checkRateLimit()
	must.StrContains(t, r.takeViolations(), "rate and burst allow")
}

// A withdrawn key may be accepted for withdrawalBound and no longer.
func TestCheckWithdrawnKeyAllowsUseWithinBound(t *testing.T) {
	r := newTestRun()
	serve := func(after time.Duration) {
		r.callers.served["leaving-0"] = append(r.callers.served["leaving-0"], servedRequest{sent: epoch.Add(after), ended: epoch.Add(after)})
	}
	serve(withdrawalBound)
	r.checkWithdrawnKey("leaving-0", epoch)
	must.Eq(t, "", r.takeViolations())
	serve(withdrawalBound + time.Millisecond)
	r.checkWithdrawnKey("leaving-0", epoch)
	r.checkWithdrawnKey("leaving-0", epoch)
	must.Eq(t, 1, strings.Count(r.takeViolations(), "withdrawn key"))
}

// Only interrupted requests to the stopped instance, during the stop, count against a
// planned stop.
func TestCheckInterruptedMatchesInstanceAndTime(t *testing.T) {
	r := newTestRun()
	r.callers.interrupted = []interruptedRequest{
		{instance: 1, sent: epoch, ended: epoch.Add(time.Second)},
		{instance: 2, sent: epoch.Add(2 * time.Second), ended: epoch.Add(3 * time.Second)},
	}
	r.checkInterrupted(1, epoch.Add(2*time.Second), epoch.Add(4*time.Second))
	r.checkInterrupted(3, epoch, epoch.Add(4*time.Second))
	must.Eq(t, "", r.takeViolations())
	r.checkInterrupted(2, epoch.Add(2500*time.Millisecond), epoch.Add(4*time.Second))
	must.StrContains(t, r.takeViolations(), "interrupted a request")
}

// Accepted changes must be in the final configuration, those rejected with a conflict must
// not.
func TestOperatorsCheckFindsLostAndConflictingChanges(t *testing.T) {
	r := newTestRun()
	document := fleetconfig.NewDocument()
	document.Version = 7
	document.Accounts = []fleetconfig.Account{{ID: "raced-1-a"}, {ID: "raced-2-b"}}
	o := &operators{findings: r.findings, latestVersion: 7, accepted: []fleetconfig.AccountID{"raced-1-a"}, conflicting: []fleetconfig.AccountID{"raced-1-b"}}
	o.check(document)
	must.Eq(t, "", r.takeViolations())
	o.latestVersion, o.accepted, o.conflicting = 8, append(o.accepted, "raced-3-a"), append(o.conflicting, "raced-2-b")
	o.check(document)
	found := r.takeViolations()
	must.StrContains(t, found, "version 8 was accepted")
	must.StrContains(t, found, "raced-3-a is missing")
	must.StrContains(t, found, "raced-2-b, rejected with a conflict")
}

// Repeats are compared with the requests of the window, or of an earlier one, and a violation is
// found wherever the window begins.
func TestWorstWindowOfRepeatsIsFound(t *testing.T) {
	var arrivals []emulator.Arrival
	arrive := func(at time.Duration, request string) {
		arrivals = append(arrivals, emulator.Arrival{Request: request, UnixMilli: epoch.Add(at).UnixMilli()})
	}
	for i := range 200 {
		arrive(time.Duration(i)*100*time.Millisecond, fmt.Sprint("r", i))
	}
	for i := range 8 {
		arrive(9*time.Second+time.Duration(i)*500*time.Millisecond, "r10")
	}
	excess := func(slack float64) float64 {
		bound := repeatBound{slack: slack}
		bound.record(slices.Clone(arrivals))
		return bound.worstWindow().excess
	}
	// 41 requests lie in each window of 4 s.
	must.InDelta(t, 8-0.2*41, excess(0), 1e-9)
	arrive(12*time.Second, "r11")
	must.InDelta(t, 9-0.2*41, excess(0), 1e-9)
	must.InDelta(t, 9-0.2*41-2, excess(2), 1e-9)
}
