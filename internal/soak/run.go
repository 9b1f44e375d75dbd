package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

const (
	service     = "catalogue"
	slots       = 16
	serviceTime = 4 * time.Millisecond
	domains     = 3
	// minProcesses is the least number of processes: four daemons with a backend server
	// each.
	minProcesses = 8
	// relayPort is the port before the callers' port of an instance.
	relayPort = "8081"
	// startLimit bounds the start of the fleet.
	startLimit = 2 * time.Minute
	// recoveryBound is how long after the last fault the fleet must serve again. It is
	// the operators' RecoveryS.
	recoveryBound = 15 * time.Second
	// calm is how long the load then goes on.
	calm = 3 * time.Second
	// checkInterval is how often backend servers are asked what they have run.
	checkInterval = 2 * time.Second
)

// ErrBroken says that a promise did not hold.
var ErrBroken = errors.New("a promise did not hold; see the lines marked BROKEN, and the logs in the folder")

// Arguments is the command line of the soak.
type Arguments struct {
	// Seed decides the faults.
	Seed uint64 `arg:"--seed" default:"1" help:"number that decides the faults"`
	// Duration is how long faults come.
	Duration time.Duration `arg:"--duration" default:"60s" help:"how long faults come"`
	// Processes is the number of processes.
	Processes int `arg:"--processes" default:"18" help:"number of processes: daemons with a backend server each"`
	// Folder receives the logs and the data; it is kept when a promise did not hold.
	Folder string `arg:"--folder" help:"folder for settings, logs and data; default a temporary one"`
	// Regressions runs the seeds that ever failed instead.
	Regressions bool `arg:"--regressions" help:"run the seeds that ever failed, one after the other"`
	// Keep keeps the folder in any case.
	Keep bool `arg:"--keep" help:"keep the folder when all promises held too"`
}

// run is one soak.
type run struct {
	arguments Arguments
	findings  *findings
	layout    *testbed.Layout
	fleet     *testbed.Fleet
	relay     *testbed.Relay
	streams   []*testbed.StreamRelay
	callers   *callers
	operators *operators
	leaving   []account
	// daemons guards the processes of the instances.
	daemons []sync.Mutex
	// noted holds the names of what was found. The checker uses it, and the end of the
	// run after it.
	noted map[string]bool

	mu        sync.Mutex
	withdrawn map[fleetconfig.AccountID]time.Time
}

// Run runs a soak and writes what happens to out. It returns ErrBroken when a promise
// did not hold.
func Run(ctx context.Context, arguments Arguments, out io.Writer) error {
	if arguments.Regressions {
		return runRegressions(ctx, out)
	}
	return runSeed(ctx, arguments, out)
}

func runSeed(ctx context.Context, arguments Arguments, out io.Writer) error {
	if arguments.Processes < minProcesses {
		return errors.Newf("--processes is %d; give at least %d", arguments.Processes, minProcesses)
	}
	folder := arguments.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "hemlockbench-soak-"); err != nil {
			return errors.Wrap(err, "make a folder for the fleet")
		}
	}
	r := &run{
		arguments: arguments,
		findings:  &findings{out: out, started: time.Now()},
		noted:     make(map[string]bool),
		withdrawn: make(map[fleetconfig.AccountID]time.Time),
	}
	r.findings.say("seed %d, %s, %d processes, in %s", arguments.Seed, arguments.Duration, arguments.Processes, folder)
	if err := r.play(ctx, folder); err != nil {
		return err
	}
	if broken := r.findings.count(); broken > 0 {
		r.findings.say("seed %d: %d promises did not hold; logs in %s", arguments.Seed, broken, folder)
		return ErrBroken
	}
	r.findings.say("seed %d: every promise held", arguments.Seed)
	if arguments.Keep {
		return nil
	}
	return errors.Wrap(os.RemoveAll(folder), "remove the folder")
}

func (r *run) play(ctx context.Context, folder string) error {
	defer r.end()
	if err := r.start(ctx, folder); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, account := range r.accounts() {
		r.callers.start(loadCtx, account)
	}
	checkerCtx, stopChecker := context.WithCancel(ctx)
	var checker sync.WaitGroup
	checker.Go(func() { r.check(checkerCtx) })
	r.playEvents(ctx)
	r.recover(ctx)
	stopLoad()
	r.callers.group.Wait()
	stopChecker()
	checker.Wait()
	return r.conclude(ctx)
}

func (r *run) accounts() []*account {
	accounts := []*account{&steady, &pressing}
	for i := range r.leaving {
		accounts = append(accounts, &r.leaving[i])
	}
	return accounts
}

// start brings the fleet up with its relays and its configuration.
func (r *run) start(ctx context.Context, folder string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	instances := r.arguments.Processes / 2
	controls := 3
	if instances >= 10 {
		controls = 5
	}
	for i := range maxWithdrawals {
		r.leaving = append(r.leaving, account{id: fleetconfig.AccountID(fmt.Sprintf("leaving-%d", i)), rate: 1000, burst: 500})
	}
	var err error
	if r.layout, err = testbed.CreateRelayed(folder, testbed.Specs(instances, controls, domains)); err != nil {
		return err
	}
	if r.relay, err = testbed.StartRelay(r.layout); err != nil {
		return err
	}
	var direct, relayed []string
	for _, instance := range r.layout.Instances {
		host, _, _ := net.SplitHostPort(instance.CallerAddress)
		stream, err := testbed.StartStreamRelay(net.JoinHostPort(host, relayPort), instance.CallerAddress)
		if err != nil {
			return err
		}
		r.streams = append(r.streams, stream)
		direct, relayed = append(direct, instance.CallerAddress), append(relayed, stream.Address())
	}
	r.daemons = make([]sync.Mutex, instances)
	r.callers = newCallers(direct, relayed)
	if r.fleet, err = testbed.StartFleet(r.layout, testbed.BackendSpec{Service: service, Slots: slots, ServiceTime: serviceTime}); err != nil {
		return err
	}
	r.operators = &operators{findings: r.findings, client: r.fleet.Client}
	version, err := r.fleet.ApplyChanges(ctx, r.configuration()...)
	if err != nil {
		return err
	}
	if err := r.fleet.WaitServing(ctx, version); err != nil {
		return err
	}
	r.findings.say("%d instances serve version %d", instances, version)
	return nil
}

func (r *run) configuration() []fleetconfig.Change {
	changes := []fleetconfig.Change{
		{Kind: fleetconfig.CreateService, Service: &fleetconfig.Service{Name: service, FloorPercent: 50}},
		{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: "all", PathPrefix: "/", Service: service, Timeout: 5 * time.Second}},
	}
	for _, account := range r.accounts() {
		key := &fleetconfig.Key{Hash: fleetconfig.HashKey(account.key()), Account: account.id}
		changes = append(changes,
			fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: account.id, RatePerSecond: account.rate, Burst: account.burst}},
			fleetconfig.Change{Kind: fleetconfig.GiveKey, Key: key})
	}
	return changes
}

// playEvents carries the plan out and returns when its last event has ended.
func (r *run) playEvents(ctx context.Context) {
	began := time.Now()
	var events sync.WaitGroup
	for _, event := range Plan(r.arguments.Seed, r.arguments.Duration, len(r.layout.Instances)) {
		if !testbed.Sleep(ctx, time.Until(began.Add(event.At))) {
			break
		}
		r.findings.say("%s", event)
		events.Go(func() {
			if err := r.carryOut(ctx, event); err != nil {
				r.findings.broke("%s: %v", event, err)
			}
		})
	}
	events.Wait()
}

// recover waits until the fleet serves again, and lets the load go on in the calm.
func (r *run) recover(ctx context.Context) {
	ended := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, recoveryBound)
	defer cancel()
	if err := r.fleet.WaitServing(waitCtx, 0); err != nil {
		r.findings.broke("the fleet does not serve %s after the last fault", recoveryBound)
		return
	}
	r.findings.say("all instances serve %.2f s after the last fault", time.Since(ended).Seconds())
	<-waitCtx.Done()
	since := time.Now()
	testbed.Sleep(ctx, calm)
	r.checkCalm(since)
}

// check looks at what goes on until ctx ends.
func (r *run) check(ctx context.Context) {
	for testbed.Sleep(ctx, checkInterval) {
		if executions, err := r.fleet.Executions(); err == nil {
			r.checkRuns(executions)
		}
		r.mu.Lock()
		for id, accepted := range r.withdrawn {
			r.checkWithdrawn(id, accepted)
		}
		r.mu.Unlock()
		for i := range r.daemons {
			_ = r.withDaemon(i, func(process *testbed.Process) error {
				select {
				case <-process.Exited():
					r.once(fmt.Sprint("ended ", process.PID()), "the daemon of instance %d has ended by itself", i)
				default:
				}
				return nil
			})
		}
	}
}

// conclude makes the checks that need the whole run.
func (r *run) conclude(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	executions, err := r.fleet.Executions()
	if err != nil {
		return err
	}
	r.checkRuns(executions)
	r.checkOrders(executions)
	r.checkRate()
	var document *fleetconfig.Document
	err = testbed.WaitUntil(ctx, "the configuration", func() bool {
		document, err = r.fleet.Client.Document(ctx)
		return err == nil && document.Version >= r.operators.newest
	})
	if document == nil {
		return err
	}
	r.operators.check(document)
	return nil
}

// end ends all processes that the run has started, and its relays.
func (r *run) end() {
	if r.fleet != nil {
		r.fleet.Kill()
	}
	for _, stream := range r.streams {
		stream.Close()
	}
	if r.relay != nil {
		r.relay.Close()
	}
}

func sortTimes(times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
}
