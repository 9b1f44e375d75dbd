package soak

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

// Parameters of faults.
const (
	// Delay delays datagrams by (Variant + 1) * delayStep.
	delayStep = 20 * time.Millisecond
	// lossRatio is the share of datagrams that Loss drops.
	lossRatio = 0.2
	// TornWrite appends (Variant + 1) * tornRecordStep bytes to each log.
	tornRecordStep = 7
)

// grayFaults are the variants of GrayFailure.
var grayFaults = [variantCount]emulator.Fault{
	{Kind: emulator.FaultError, Share: 1},
	{Kind: emulator.FaultSlow, Share: 0.7, Factor: 30},
	{Kind: emulator.FaultStall, Share: 0.3, StallMillis: 1500},
	{Kind: emulator.FaultNoResponse, Share: 0.3},
	{Kind: emulator.FaultTruncate, Share: 0.5},
	{Kind: emulator.FaultReset, Share: 0.5},
}

// statements are the variants of Statement. The second last one is not a number.
var statements = [variantCount]emulator.Fault{
	{Kind: emulator.FaultLimit, Rate: "0"},
	{Kind: emulator.FaultLimit, Rate: "1.5"},
	{Kind: emulator.FaultLimit, Rate: "10"},
	{Kind: emulator.FaultLimit, Rate: "40"},
	{Kind: emulator.FaultLimit, Rate: "many"},
	{Kind: emulator.FaultLeaving},
}

// inject injects the fault of an event and returns when the event has ended.
func (r *run) inject(ctx context.Context, event Event) error {
	switch event.Kind {
	case Kill, TornWrite:
		return r.kill(ctx, event)
	case Stop:
		return r.stop(ctx, event)
	case Pause:
		return r.pauseDaemon(ctx, event)
	case Reload:
		return r.withDaemon(event.Instance, func(process *testbed.Process) error { return process.Signal(syscall.SIGHUP) })
	case Isolate, OneWayPartition, Delay, Loss:
		return r.disturbNetwork(ctx, event)
	case ResetCallerConns:
		r.streams[event.Instance].Reset()
		return nil
	case StallCallerConns:
		stream := r.streams[event.Instance]
		return r.applyFor(ctx, event, func() { stream.SetPaused(true) }, func() { stream.SetPaused(false) })
	case GrayFailure:
		return r.failBackend(ctx, event, grayFaults[event.Variant])
	case Statement:
		return r.stateStatus(ctx, event)
	case QueryOfDeath:
		r.repeatQueryOfDeath(ctx, event)
		return nil
	case RetryPressure:
		return r.pressRetries(ctx, event)
	case Evacuate:
		return r.evacuate(ctx, event)
	case RaceChanges:
		r.operators.raceChanges(ctx)
		return nil
	case WithdrawKey:
		return r.withdrawKey(ctx, event.Variant)
	}
	return errors.Newf("unknown fault %q", event.Kind)
}

// disturbNetwork handles the faults of the datagrams between instances.
func (r *run) disturbNetwork(ctx context.Context, event Event) error {
	id := r.layout.Instances[event.Instance].ID
	switch event.Kind {
	case Isolate:
		return r.applyFor(ctx, event, func() { r.relay.Isolate(id, true) }, func() { r.relay.Isolate(id, false) })
	case OneWayPartition:
		other := r.layout.Instances[event.Peer].ID
		return r.applyFor(ctx, event, func() { r.relay.Block(id, other) }, func() { r.relay.Unblock(id, other) })
	case Delay:
		impairment := testbed.Impairment{Delay: time.Duration(event.Variant+1) * delayStep}
		return r.applyFor(ctx, event, func() { r.relay.SetImpairment(id, impairment) }, func() { r.relay.SetImpairment(id, testbed.Impairment{}) })
	default:
		impairment := testbed.Impairment{Loss: lossRatio}
		return r.applyFor(ctx, event, func() { r.relay.SetImpairment(id, impairment) }, func() { r.relay.SetImpairment(id, testbed.Impairment{}) })
	}
}

// applyFor calls on, waits for the duration of the event and calls off.
func (r *run) applyFor(ctx context.Context, event Event, on, off func()) error {
	on()
	defer off()
	testbed.Sleep(ctx, event.Duration)
	return nil
}

// withDaemon calls use with the daemon of an instance if it is running. It holds the
// instance's lock, so that no other event starts or stops the daemon meanwhile.
func (r *run) withDaemon(instance int, use func(*testbed.Process) error) error {
	r.daemonLocks[instance].Lock()
	defer r.daemonLocks[instance].Unlock()
	if process := r.fleet.Daemons[instance]; process != nil {
		return use(process)
	}
	return nil
}

// kill handles Kill and TornWrite.
func (r *run) kill(ctx context.Context, event Event) error {
	err := r.withDaemon(event.Instance, func(*testbed.Process) error {
		r.fleet.KillDaemon(event.Instance)
		return nil
	})
	if event.Kind == TornWrite {
		err = errors.CombineErrors(err, appendTornRecords(r.layout.Instances[event.Instance].DataFolder, (event.Variant+1)*tornRecordStep))
	}
	testbed.Sleep(ctx, event.Duration)
	return errors.CombineErrors(err, r.startDaemon(event.Instance))
}

// appendTornRecords appends size bytes of an incomplete record to the newest segment of
// each log in a folder.
func appendTornRecords(folder string, size int) error {
	newest := make(map[string]string)
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == ".log" {
			newest[filepath.Dir(path)] = max(newest[filepath.Dir(path)], path)
		}
		return err
	})
	for _, path := range newest {
		file, openErr := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if openErr != nil {
			err = errors.CombineErrors(err, openErr)
			continue
		}
		torn := make([]byte, size)
		for i := range torn {
			torn[i] = byte(i*37 + size)
		}
		_, writeErr := file.Write(torn)
		err = errors.CombineErrors(err, errors.CombineErrors(writeErr, file.Close()))
	}
	return err
}

func (r *run) stop(ctx context.Context, event Event) error {
	started := time.Now()
	err := r.withDaemon(event.Instance, func(*testbed.Process) error { return r.fleet.StopDaemon(event.Instance) })
	if err != nil {
		r.findings.violated("the planned stop of instance %d failed: %v", event.Instance, err)
	}
	r.checkInterrupted(event.Instance, started, time.Now())
	testbed.Sleep(ctx, event.Duration)
	return r.startDaemon(event.Instance)
}

// startDaemon restarts a daemon unless another event has restarted it already. That
// happens when a planned stop takes longer than its event, and the next event of the
// instance begins before the stop has ended.
func (r *run) startDaemon(instance int) error {
	r.daemonLocks[instance].Lock()
	defer r.daemonLocks[instance].Unlock()
	if r.fleet.Daemons[instance] != nil {
		return nil
	}
	return r.fleet.StartDaemon(instance)
}

func (r *run) pauseDaemon(ctx context.Context, event Event) error {
	err := r.withDaemon(event.Instance, func(process *testbed.Process) error { return process.Signal(syscall.SIGSTOP) })
	testbed.Sleep(ctx, event.Duration)
	return errors.CombineErrors(err, r.withDaemon(event.Instance, func(process *testbed.Process) error { return process.Signal(syscall.SIGCONT) }))
}

func (r *run) failBackend(ctx context.Context, event Event, fault emulator.Fault) error {
	if err := r.fleet.SetFault(event.Instance, fault); err != nil {
		return err
	}
	testbed.Sleep(ctx, event.Duration)
	return r.fleet.SetFault(event.Instance, emulator.Fault{Kind: emulator.FaultNone})
}

// stateStatus lets a backend server advertise a rate or state its exit, and checks that it
// got no more requests than that allows. A process that was stopped or paused meanwhile does
// not know of an exit, so the exit is checked only if there was none.
func (r *run) stateStatus(ctx context.Context, event Event) error {
	before, err := r.fleet.BackendExecutions(event.Instance)
	if err != nil {
		return err
	}
	fault := statements[event.Variant]
	if err := r.failBackend(ctx, event, fault); err != nil {
		return err
	}
	after, err := r.fleet.BackendExecutions(event.Instance)
	if err != nil {
		return err
	}
	if after.OverRate > before.OverRate {
		r.findings.violated("the backend server of instance %d, which advertised a rate of %s, got %d requests in %s more than that allows",
			event.Instance, fault.Rate, after.OverRate, emulator.RateWindow)
	}
	if after.AfterLeaving > before.AfterLeaving && !r.processFaultDuring(event) {
		r.findings.violated("the backend server of instance %d got %d requests after it had stated its exit", event.Instance, after.AfterLeaving-before.AfterLeaving)
	}
	r.findings.printf("statement of the backend server of instance %d: %d requests run", event.Instance, after.Total-before.Total)
	return nil
}

// processFaultDuring reports whether the plan has a fault of a process that overlaps the
// event.
func (r *run) processFaultDuring(event Event) bool {
	return slices.ContainsFunc(Plan(r.arguments.Seed, r.arguments.Duration, len(r.layout.Instances)), func(other Event) bool {
		return other.Kind.affectsProcess() && other.Start < event.Start+event.Duration && event.Start < other.Start+other.Duration+settleTime
	})
}

// withdrawKey withdraws the key of one of the withdrawal accounts and records when that
// was accepted.
func (r *run) withdrawKey(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	account := &r.withdrawalAccounts[number]
	key := fleetconfig.HashKey(account.key()).ID()
	if _, err := r.fleet.ApplyChanges(ctx, fleetconfig.Change{Kind: fleetconfig.WithdrawKey, Name: string(key)}); err != nil {
		r.findings.printf("the key of %s was not withdrawn: %v", account.id, err)
		return nil
	}
	accepted := time.Now()
	r.mu.Lock()
	r.withdrawnAt[account.id] = accepted
	r.mu.Unlock()
	return nil
}
