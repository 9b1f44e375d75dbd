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
	demoInstances = 5
	demoControls  = 3
	demoDomains   = 3
	demoService   = "catalogue"
	demoSlots     = 7
	demoTime      = 4 * time.Millisecond
	// demoLimit bounds the whole demonstration.
	demoLimit = 4 * time.Minute
	// phaseLength is how long the load runs between two events.
	phaseLength = 5 * time.Second
	// summaryWait lets the last summaries reach control.
	summaryWait = 3 * time.Second
	// withdrawalBound is how long a withdrawn key may work.
	withdrawalBound = 5 * time.Second
)

// DemoArguments is the command line of the demonstration.
type DemoArguments struct {
	// Keep keeps the fleet's folder.
	Keep bool `arg:"--keep" help:"keep the folder with settings, logs and data"`
}

// errPromiseBroken says that a check of the demonstration failed.
var errPromiseBroken = errors.New("a promise did not hold; see the lines marked BROKEN")

// Demo brings up a small fleet, sends load while things fail, prints the report
// and checks the promises.
func Demo(ctx context.Context, arguments DemoArguments, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	folder, err := os.MkdirTemp("", "hemlockbench-demo-")
	if err != nil {
		return errors.Wrap(err, "make a folder for the fleet")
	}
	if !arguments.Keep {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	layout, err := testbed.Create(folder, testbed.Specs(demoInstances, demoControls, demoDomains))
	if err != nil {
		return err
	}
	demo := &demonstration{out: out, started: time.Now()}
	demo.say("fleet of %d instances in %d failure domains, %d with control, in %s", demoInstances, demoDomains, demoControls, folder)
	demo.fleet, err = testbed.StartFleet(layout, testbed.BackendSpec{Service: demoService, Slots: demoSlots, ServiceTime: demoTime})
	if err != nil {
		return err
	}
	defer demo.fleet.Kill()
	return demo.run(ctx)
}

// demonstration is one run of the demo.
type demonstration struct {
	out     io.Writer
	started time.Time
	fleet   *testbed.Fleet
	load    *demoLoad
	broken  bool
}

func (d *demonstration) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// check prints whether a promise held.
func (d *demonstration) check(held bool, format string, arguments ...any) {
	mark := "held   "
	if !held {
		mark = "BROKEN "
		d.broken = true
	}
	d.say("%s %s", mark, fmt.Sprintf(format, arguments...))
}

func (d *demonstration) run(ctx context.Context) error {
	version, err := d.fleet.ApplyChanges(ctx, demoChanges()...)
	if err != nil {
		return err
	}
	if err := d.fleet.WaitServing(ctx, version); err != nil {
		return err
	}
	d.say("configuration version %d is in force on every instance, all shards have an owner", version)
	d.load = startDemoLoad(ctx, d.fleet)
	defer d.load.stop()
	steps := []func(context.Context) error{
		d.ordinaryDay,
		d.grayServer,
		d.withdrawKey,
		d.killInstance,
		d.stopInstance,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.load.stop()
	d.say("load ends")
	if err := wait(ctx, summaryWait); err != nil {
		return err
	}
	if err := d.checkOrders(); err != nil {
		return err
	}
	if err := d.printReport(ctx); err != nil {
		return err
	}
	if d.broken {
		return errPromiseBroken
	}
	d.say("every promise that was checked held")
	return nil
}

// ordinaryDay lets the load run undisturbed.
func (d *demonstration) ordinaryDay(ctx context.Context) error {
	d.say("ordinary day: lookups and orders of %d client accounts through every instance", len(demoAccounts))
	// A permit owner that has just started grants nothing for one permit life.
	return wait(ctx, 2*phaseLength+time.Second)
}

// grayServer makes one backend server slow and failing, while it looks healthy.
func (d *demonstration) grayServer(ctx context.Context) error {
	d.say("backend server beside %s turns gray: half of its requests fail, its health endpoint says ok", d.fleet.Layout.Instances[1].ID)
	began := time.Now()
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
	d.say("ejected after %.2f s, seen from another instance", time.Since(began).Seconds())
	if err := wait(ctx, phaseLength); err != nil {
		return err
	}
	d.say("the backend server is well again")
	if err := d.fleet.SetFault(1, emulator.Fault{Kind: emulator.FaultNone}); err != nil {
		return err
	}
	return wait(ctx, phaseLength)
}

// withdrawKey withdraws the key of an account whose caller goes on.
func (d *demonstration) withdrawKey(ctx context.Context) error {
	account := demoAccounts[len(demoAccounts)-1]
	d.say("the key of %s is withdrawn while it sends requests", account.id)
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
		"a withdrawn key stops: last request let in %.2f s after the change was accepted, bound %s", last.Sub(accepted).Seconds(), withdrawalBound)
	return nil
}

// killInstance ends a daemon at once and starts it again.
func (d *demonstration) killInstance(ctx context.Context) error {
	const victim = 2
	d.say("the daemon of %s is killed, and started again after %s", d.fleet.Layout.Instances[victim].ID, phaseLength)
	d.fleet.KillDaemon(victim)
	if err := wait(ctx, phaseLength); err != nil {
		return err
	}
	if err := d.fleet.StartDaemon(victim); err != nil {
		return err
	}
	return wait(ctx, phaseLength)
}

// stopInstance stops a daemon as planned.
func (d *demonstration) stopInstance(ctx context.Context) error {
	const leaving = 4
	d.say("planned stop of %s", d.fleet.Layout.Instances[leaving].ID)
	before := d.load.cutOff(leaving)
	err := d.fleet.StopDaemon(leaving)
	d.check(err == nil, "the daemon ends by itself after a planned stop")
	d.check(d.load.cutOff(leaving) == before, "a planned stop cuts off no request in flight: %d cut off", d.load.cutOff(leaving)-before)
	return wait(ctx, phaseLength)
}

// printReport prints the weekly report of control.
func (d *demonstration) printReport(ctx context.Context) error {
	data, err := d.fleet.Client.ReadRaw(ctx, "/v1/report?format=text")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(d.out, "\n%s\n", data)
	return errors.Wrap(err, "print the report")
}

func wait(ctx context.Context, length time.Duration) error {
	if !sleepUntil(ctx, time.Now().Add(length)) {
		return errors.Wrap(ctx.Err(), "the demonstration was interrupted")
	}
	return nil
}
