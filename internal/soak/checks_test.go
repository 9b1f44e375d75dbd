package soak

import (
	"io"
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
		findings:  &findings{out: io.Discard, started: epoch},
		callers:   newCallers(nil, nil),
		noted:     make(map[string]bool),
		withdrawn: make(map[fleetconfig.AccountID]time.Time),
	}
}

// found returns what was found, and forgets it.
func (r *run) found() string {
	found := strings.Join(r.findings.broken, "; ")
	r.findings.broken = nil
	return found
}

// Each broken promise is found once, and what is allowed is not.
func TestRunsAreChecked(t *testing.T) {
	r := newTestRun()
	r.callers.notRun["n1"] = true
	r.callers.notRun["n2"] = true
	r.callers.answered["o1"] = true
	fine := &emulator.Executions{Orders: map[string]int{"o1": 1, "o2": 1}, Requests: map[string]int{"r1": 2}}
	r.checkRuns(fine)
	r.checkOrders(fine)
	must.Eq(t, "", r.found())

	r.checkRuns(&emulator.Executions{Orders: map[string]int{"o1": 2}})
	must.StrContains(t, r.found(), "order o1 ran 2 times")
	r.checkRuns(&emulator.Executions{Orders: map[string]int{"o1": 2}, Requests: map[string]int{"n2": 1}, WithCredentials: 1})
	found := r.found()
	must.StrContains(t, found, "n2 was said to be not run")
	must.StrContains(t, found, "with a key")
	must.StrNotContains(t, found, "order o1")
	r.checkOrders(&emulator.Executions{})
	must.StrContains(t, r.found(), "order o1 was answered")
	r.callers.unwhole = append(r.callers.unwhole, "u1")
	r.checkRuns(fine)
	must.StrContains(t, r.found(), "u1 looked whole")
}

// The rate is checked in every window, whole seconds or not, and only requests that lie
// inside a window count for it.
func TestTheRateIsCheckedInEveryWindow(t *testing.T) {
	r := newTestRun()
	add := func(sent, ended time.Duration) {
		r.callers.served[pressing.id] = append(r.callers.served[pressing.id], served{sent: epoch.Add(sent), ended: epoch.Add(ended)})
	}
	// The burst at once, then the rate.
	for i := range 10 {
		add(time.Duration(i)*time.Millisecond, time.Duration(i+1)*time.Millisecond)
	}
	for i := range 100 {
		at := time.Second + time.Duration(i)*time.Second/20
		add(at, at+time.Millisecond)
	}
	r.checkRate()
	must.Eq(t, "", r.found())
	// Thirty more between two of the others.
	for i := range 30 {
		at := 3*time.Second + time.Duration(i)*100*time.Microsecond
		add(at, at+time.Millisecond)
	}
	r.checkRate()
	must.StrContains(t, r.found(), "rate and burst allow")
}

// A withdrawn key may work for its bound, and no longer.
func TestWithdrawnKeysAreChecked(t *testing.T) {
	r := newTestRun()
	serve := func(after time.Duration) {
		r.callers.served["leaving-0"] = append(r.callers.served["leaving-0"], served{sent: epoch.Add(after), ended: epoch.Add(after)})
	}
	serve(withdrawalBound)
	r.checkWithdrawn("leaving-0", epoch)
	must.Eq(t, "", r.found())
	serve(withdrawalBound + time.Millisecond)
	r.checkWithdrawn("leaving-0", epoch)
	r.checkWithdrawn("leaving-0", epoch)
	must.Eq(t, 1, strings.Count(r.found(), "withdrawn key"))
}

// A planned stop answers for its own instance and time only.
func TestCutRequestsAreChecked(t *testing.T) {
	r := newTestRun()
	r.callers.cut = []brokenOff{
		{instance: 1, sent: epoch, ended: epoch.Add(time.Second)},
		{instance: 2, sent: epoch.Add(2 * time.Second), ended: epoch.Add(3 * time.Second)},
	}
	r.checkCut(1, epoch.Add(2*time.Second), epoch.Add(4*time.Second))
	r.checkCut(3, epoch, epoch.Add(4*time.Second))
	must.Eq(t, "", r.found())
	r.checkCut(2, epoch.Add(2500*time.Millisecond), epoch.Add(4*time.Second))
	must.StrContains(t, r.found(), "cut a request off")
}

// Accepted changes must be there at the end, those in conflict must not.
func TestChangesAreChecked(t *testing.T) {
	r := newTestRun()
	document := fleetconfig.NewDocument()
	document.Version = 7
	document.Accounts = []fleetconfig.Account{{ID: "raced-1-a"}, {ID: "raced-2-b"}}
	o := &operators{findings: r.findings, newest: 7, accepted: []fleetconfig.AccountID{"raced-1-a"}, lost: []fleetconfig.AccountID{"raced-1-b"}}
	o.check(document)
	must.Eq(t, "", r.found())
	o.newest, o.accepted, o.lost = 8, append(o.accepted, "raced-3-a"), append(o.lost, "raced-2-b")
	o.check(document)
	found := r.found()
	must.StrContains(t, found, "version 8 was accepted")
	must.StrContains(t, found, "raced-3-a is not there")
	must.StrContains(t, found, "raced-2-b, said to be in conflict")
}
