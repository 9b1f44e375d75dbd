package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

const (
	demoInstances        = 5
	demoControlInstances = 3
	demoFailureDomains   = 3
	demoService          = "catalogue"
	demoSlots            = 7
	demoServiceTime      = 4 * time.Millisecond
	// demoTimeout is the timeout of the whole demonstration.
	demoTimeout = 4 * time.Minute
	// phaseDuration is how long the load runs between two events.
	phaseDuration = 5 * time.Second
	// reportDelay is the wait before the report is read, so that the last summaries
	// have reached the control instances.
	reportDelay = 3 * time.Second
	// withdrawalBound is how long a withdrawn key may be accepted after the withdrawal
	// was accepted.
	withdrawalBound = 5 * time.Second
)

// DemoArguments is the command line of the demonstration.
type DemoArguments struct {
	// Keep keeps the fleet's folder after the run.
	Keep bool `arg:"--keep" help:"keep the folder with settings, logs and data"`
}

// errGuaranteeViolated reports that a check of the demonstration failed.
var errGuaranteeViolated = errors.New("a guarantee was violated; see the lines marked BROKEN")

// Demo starts a small fleet, sends load to it, injects faults, checks the fleet's
// guarantees and prints the report.
func Demo(ctx context.Context, arguments DemoArguments, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "hemlockbench-demo-")
	if err != nil {
		return errors.Wrap(err, "create the fleet's folder")
	}
	if !arguments.Keep {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	layout, err := testbed.Create(folder, testbed.Specs(demoInstances, demoControlInstances, demoFailureDomains))
	if err != nil {
		return err
	}
	demo := &demoRun{out: out, started: time.Now()}
	demo.printf("fleet of %d instances in %d failure domains, %d of them control instances, folder %s", demoInstances, demoFailureDomains, demoControlInstances, folder)
	demo.fleet, err = testbed.StartFleet(layout, testbed.BackendSpec{Service: demoService, Slots: demoSlots, ServiceTime: demoServiceTime})
	if err != nil {
		return err
	}
	defer demo.fleet.Kill()
	return demo.run(ctx)
}

// demoRun is one run of the demo.
type demoRun struct {
	out      io.Writer
	started  time.Time
	fleet    *testbed.Fleet
	load     *demoLoad
	violated bool
}

func (d *demoRun) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// check prints whether a guarantee held.
func (d *demoRun) check(held bool, format string, arguments ...any) {
	mark := "held   "
	if !held {
		mark = "BROKEN "
		d.violated = true
	}
	d.printf("%s %s", mark, fmt.Sprintf(format, arguments...))
}

func (d *demoRun) run(ctx context.Context) error {
	version, err := d.fleet.ApplyChanges(ctx, demoChanges()...)
	if err != nil {
		return err
	}
	if err := d.fleet.WaitServing(ctx, version); err != nil {
		return err
	}
	d.printf("configuration version %d is active on every instance, every shard has an owner", version)
	d.load = startDemoLoad(ctx, d.fleet)
	defer d.load.stop()
	steps := []func(context.Context) error{
		d.runUndisturbed,
		d.runGrayFailure,
		d.runKeyWithdrawal,
		d.runDaemonKill,
		d.runPlannedStop,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.load.stop()
	d.printf("load stopped")
	if err := wait(ctx, reportDelay); err != nil {
		return err
	}
	if err := d.checkObservations(); err != nil {
		return err
	}
	if err := d.printReport(ctx); err != nil {
		return err
	}
	if d.violated {
		return errGuaranteeViolated
	}
	d.printf("all checked guarantees held")
	return nil
}

// runUndisturbed lets the load run without faults.
func (d *demoRun) runUndisturbed(ctx context.Context) error {
	d.printf("no faults: lookups and orders of %d client accounts through every instance", len(demoAccounts))
	// A permit owner grants no ejection permits in the first permit TTL after its start,
	// so the gray failure starts after that.
	return wait(ctx, 2*phaseDuration+time.Second)
}

// runGrayFailure makes a backend server fail half of its requests while its health
// endpoint reports it healthy, and waits until it is ejected.
func (d *demoRun) runGrayFailure(ctx context.Context) error {
	d.printf("gray failure of the backend server of %s: half of its requests fail, its health endpoint reports ok", d.fleet.Layout.Instances[1].ID)
	started := time.Now()
	if err := d.fleet.SetFault(1, emulator.Fault{Kind: emulator.FaultError, Share: 0.5}); err != nil {
		return err
	}
	err := testbed.WaitUntil(ctx, "the ejection", func() bool {
		ready, err := d.fleet.Readiness(3)
		return err == nil && ready.Ejected == 1
	})
	if err != nil {
		return err
	}
	d.printf("ejected after %.2f s, as seen by another instance", time.Since(started).Seconds())
	if err := wait(ctx, phaseDuration); err != nil {
		return err
	}
	d.printf("the gray failure ends")
	if err := d.fleet.SetFault(1, emulator.Fault{Kind: emulator.FaultNone}); err != nil {
		return err
	}
	return wait(ctx, phaseDuration)
}

// runKeyWithdrawal withdraws the key of an account whose callers keep sending, and
// checks that the key is rejected in time.
func (d *demoRun) runKeyWithdrawal(ctx context.Context) error {
	account := demoAccounts[len(demoAccounts)-1]
	d.printf("the key of %s is withdrawn while it sends requests", account.id)
	id := fleetconfig.HashKey(account.key()).ID()
	if _, err := d.fleet.ApplyChanges(ctx, fleetconfig.Change{Kind: fleetconfig.WithdrawKey, Name: string(id)}); err != nil {
		return err
	}
	accepted := time.Now()
	if err := wait(ctx, withdrawalBound); err != nil {
		return err
	}
	last := d.load.lastServed(account.id)
	d.check(last.Sub(accepted) < withdrawalBound && d.load.rejected(account.id) > 0,
		"a withdrawn key is rejected: last request served %.2f s after the withdrawal was accepted, bound %s", last.Sub(accepted).Seconds(), withdrawalBound)
	return nil
}

// runDaemonKill kills a daemon and restarts it.
func (d *demoRun) runDaemonKill(ctx context.Context) error {
	const instance = 2
	d.printf("the daemon of %s is killed, and restarted after %s", d.fleet.Layout.Instances[instance].ID, phaseDuration)
	d.fleet.KillDaemon(instance)
	if err := wait(ctx, phaseDuration); err != nil {
		return err
	}
	if err := d.fleet.StartDaemon(instance); err != nil {
		return err
	}
	return wait(ctx, phaseDuration)
}

// runPlannedStop stops a daemon gracefully and checks that no request is interrupted.
func (d *demoRun) runPlannedStop(ctx context.Context) error {
	const instance = 4
	d.printf("planned stop of %s", d.fleet.Layout.Instances[instance].ID)
	before := d.load.interruptedRequests(instance)
	err := d.fleet.StopDaemon(instance)
	d.check(err == nil, "the daemon exits after a planned stop")
	d.check(d.load.interruptedRequests(instance) == before, "a planned stop interrupts no request: %d interrupted", d.load.interruptedRequests(instance)-before)
	return wait(ctx, phaseDuration)
}

// printReport prints the weekly report of the control instances.
func (d *demoRun) printReport(ctx context.Context) error {
	data, err := d.fleet.Client.ReadRaw(ctx, "/v1/report?format=text")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(d.out, "\n%s\n", data)
	return errors.Wrap(err, "print the report")
}

func wait(ctx context.Context, duration time.Duration) error {
	if !sleepUntil(ctx, time.Now().Add(duration)) {
		return errors.Wrap(ctx.Err(), "the run was interrupted")
	}
	return nil
}
