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
	service        = "catalogue"
	slots          = 16
	serviceTime    = 4 * time.Millisecond
	failureDomains = 3
	// minProcesses is the minimum number of processes: four daemons with a backend server
	// each.
	minProcesses = 8
	// relayPort is the port of the stream relay in front of an instance's caller address.
	relayPort = "8081"
	// startTimeout is the timeout of the start of the fleet.
	startTimeout = 2 * time.Minute
	// recoveryBound is how long after the end of the last fault the fleet must serve
	// again. It is a guarantee of the fleet to its operators.
	recoveryBound = 15 * time.Second
	// faultFreePeriod is how long the load continues after recoveryBound.
	faultFreePeriod = 3 * time.Second
	// checkInterval is the interval of the checks that run during the load.
	checkInterval = 2 * time.Second
)

// ErrViolation reports that a guarantee was violated.
var ErrViolation = errors.New("a guarantee was violated; see the lines marked BROKEN and the logs in the folder")

// Arguments is the command line of the soak.
type Arguments struct {
	// Seed determines the faults.
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the random faults"`
	// Duration is how long faults are injected.
	Duration time.Duration `arg:"--duration" default:"60s" help:"time during which faults are injected"`
	// Processes is the number of processes; half of them are daemons, half backend
	// servers.
	Processes int `arg:"--processes" default:"18" help:"number of processes, half of them daemons and half backend servers"`
	// Folder holds settings, logs and data. It is kept if a guarantee was violated.
	Folder string `arg:"--folder" help:"folder for settings, logs and data [default: a temporary folder]"`
	// Regressions runs the Regressions instead of a single seed.
	Regressions bool `arg:"--regressions" help:"run all seeds that have failed before, one after the other"`
	// Keep keeps the folder even if no guarantee was violated.
	Keep bool `arg:"--keep" help:"keep the folder even if no guarantee was violated"`
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
	// withdrawalAccounts are the accounts whose keys WithdrawKey events withdraw.
	withdrawalAccounts []account
	// daemonLocks guard the daemons of the instances, by index.
	daemonLocks []sync.Mutex
	// reported holds the names of the violations that reportOnce has reported. It has no
	// lock: only the periodic checks use it, and the final checks after these have ended.
	reported map[string]bool

	mu sync.Mutex
	// withdrawnAt holds when the withdrawal of an account's key was accepted. It is
	// guarded by mu.
	withdrawnAt map[fleetconfig.AccountID]time.Time
}

// Run runs a soak, or all regressions, and writes the progress to out. It returns
// ErrViolation if a guarantee was violated.
func Run(ctx context.Context, arguments Arguments, out io.Writer) error {
	if arguments.Regressions {
		return runRegressions(ctx, out)
	}
	return runSeed(ctx, arguments, out)
}

func runSeed(ctx context.Context, arguments Arguments, out io.Writer) error {
	if arguments.Processes < minProcesses {
		return errors.Newf("--processes is %d; it must be at least %d", arguments.Processes, minProcesses)
	}
	folder := arguments.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "hemlockbench-soak-"); err != nil {
			return errors.Wrap(err, "create the fleet's folder")
		}
	}
	r := &run{
		arguments:   arguments,
		findings:    &findings{out: out, started: time.Now()},
		reported:    make(map[string]bool),
		withdrawnAt: make(map[fleetconfig.AccountID]time.Time),
	}
	r.findings.printf("seed %d, %s, %d processes, folder %s", arguments.Seed, arguments.Duration, arguments.Processes, folder)
	if err := r.execute(ctx, folder); err != nil {
		return err
	}
	if violations := r.findings.count(); violations > 0 {
		r.findings.printf("seed %d: %d violations of guarantees; logs in %s", arguments.Seed, violations, folder)
		return ErrViolation
	}
	r.findings.printf("seed %d: no guarantee violated", arguments.Seed)
	if arguments.Keep {
		return nil
	}
	return errors.Wrap(os.RemoveAll(folder), "remove the folder")
}

// execute starts the fleet and the load, injects the faults and makes all checks.
func (r *run) execute(ctx context.Context, folder string) error {
	defer r.shutDown()
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
	checker.Go(func() { r.checkPeriodically(checkerCtx) })
	r.runEvents(ctx)
	r.awaitRecovery(ctx)
	r.repeatQueryOfDeath(ctx, r.undisturbedQueryOfDeath())
	stopLoad()
	r.callers.group.Wait()
	stopChecker()
	checker.Wait()
	return r.runFinalChecks(ctx)
}

func (r *run) accounts() []*account {
	accounts := []*account{&steadyAccount, &overRateAccount}
	for i := range r.withdrawalAccounts {
		accounts = append(accounts, &r.withdrawalAccounts[i])
	}
	return accounts
}

// start starts the relays and the fleet, and applies the configuration.
func (r *run) start(ctx context.Context, folder string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	instances := r.arguments.Processes / 2
	controls := 3
	if instances >= 10 {
		controls = 5
	}
	for i := range maxKeyWithdrawals {
		r.withdrawalAccounts = append(r.withdrawalAccounts, account{id: fleetconfig.AccountID(fmt.Sprintf("leaving-%d", i)), rate: 1000, burst: 500})
	}
	var err error
	if r.layout, err = testbed.CreateRelayed(folder, testbed.Specs(instances, controls, failureDomains)); err != nil {
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
	r.daemonLocks = make([]sync.Mutex, instances)
	r.callers = newCallers(direct, relayed)
	if r.fleet, err = testbed.StartFleet(r.layout, testbed.BackendSpec{Service: service, Slots: slots, ServiceTime: serviceTime, ColdStart: coldStart, ColdRate: coldRate}); err != nil {
		return err
	}
	r.operators = &operators{findings: r.findings, client: r.fleet.Client, evacuated: make(map[fleetconfig.FailureDomain]bool)}
	version, err := r.fleet.ApplyChanges(ctx, r.configuration()...)
	if err != nil {
		return err
	}
	if err := r.fleet.WaitServing(ctx, version); err != nil {
		return err
	}
	r.findings.printf("%d instances serve configuration version %d", instances, version)
	return nil
}

func (r *run) configuration() []fleetconfig.Change {
	changes := []fleetconfig.Change{
		{Kind: fleetconfig.CreateService, Service: &fleetconfig.Service{Name: service, FloorPercent: 50, ColdRate: coldRate, ColdStart: coldStart}},
		{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: "all", PathPrefix: "/", Service: service, Timeout: 5 * time.Second}},
	}
	preset := soakPreset(len(r.layout.Instances))
	changes = append(changes,
		fleetconfig.Change{Kind: fleetconfig.CreatePreset, Preset: preset},
		fleetconfig.Change{Kind: fleetconfig.UsePreset, Name: preset.Name})
	for _, account := range r.accounts() {
		key := &fleetconfig.Key{Hash: fleetconfig.HashKey(account.key()), Account: account.id}
		changes = append(changes,
			fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: account.id, RatePerSecond: account.rate, Burst: account.burst}},
			fleetconfig.Change{Kind: fleetconfig.GiveKey, Key: key})
	}
	return changes
}

// runEvents injects the faults of the plan and returns when the last one has ended.
func (r *run) runEvents(ctx context.Context) {
	started := time.Now()
	var events sync.WaitGroup
	for _, event := range Plan(r.arguments.Seed, r.arguments.Duration, len(r.layout.Instances)) {
		if !testbed.Sleep(ctx, time.Until(started.Add(event.Start))) {
			break
		}
		r.findings.printf("%s", event)
		events.Go(func() {
			if err := r.inject(ctx, event); err != nil {
				r.findings.violated("%s: %v", event, err)
			}
		})
	}
	events.Wait()
}

// awaitRecovery checks that the fleet serves again within recoveryBound. Once that time has
// passed, it lets the load continue for the fault-free period and checks the lookups of
// that period.
func (r *run) awaitRecovery(ctx context.Context) {
	ended := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, recoveryBound)
	defer cancel()
	if err := r.fleet.WaitServing(waitCtx, 0); err != nil {
		r.findings.violated("the fleet does not serve again %s after the last fault", recoveryBound)
		return
	}
	r.findings.printf("all instances serve %.2f s after the last fault", time.Since(ended).Seconds())
	<-waitCtx.Done()
	since := time.Now()
	testbed.Sleep(ctx, faultFreePeriod)
	r.checkFaultFreePeriod(since)
}

// checkPeriodically makes the checks that are possible under load, until ctx ends.
func (r *run) checkPeriodically(ctx context.Context) {
	for testbed.Sleep(ctx, checkInterval) {
		if executions, err := r.fleet.Executions(); err == nil {
			r.checkExecutions(executions)
		}
		r.mu.Lock()
		for id, accepted := range r.withdrawnAt {
			r.checkWithdrawnKey(id, accepted)
		}
		r.mu.Unlock()
		for i := range r.daemonLocks {
			_ = r.withDaemon(i, func(process *testbed.Process) error {
				select {
				case <-process.Exited():
					r.reportOnce(fmt.Sprint("exited ", process.PID()), "the daemon of instance %d exited unexpectedly", i)
				default:
				}
				return nil
			})
		}
	}
}

// runFinalChecks makes the checks that need the load to have ended.
func (r *run) runFinalChecks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	executions, err := r.fleet.Executions()
	if err != nil {
		return err
	}
	r.checkExecutions(executions)
	r.checkOrders(executions)
	r.checkRateLimit()
	r.checkColdServers(executions)
	if err := r.checkRepeats(); err != nil {
		return err
	}
	var document *fleetconfig.Document
	err = testbed.WaitUntil(ctx, "the latest accepted version of the configuration", func() bool {
		document, err = r.fleet.Client.Document(ctx)
		return err == nil && document.Version >= r.operators.latestVersion
	})
	if document == nil {
		return err
	}
	r.operators.check(document)
	return nil
}

// shutDown kills the fleet's processes and closes the relays.
func (r *run) shutDown() {
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
