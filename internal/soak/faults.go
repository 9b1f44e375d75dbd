package soak

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

// Sizes of faults.
const (
	// heldBack is the delay of Delay for each step of its variant.
	heldBack = 20 * time.Millisecond
	// lostShare is the share that Loss drops.
	lostShare = 0.2
	// tornBytes is how many bytes Tear leaves for each step of its variant.
	tornBytes = 7
)

// grayFaults are the variants of Gray.
var grayFaults = [variants]emulator.Fault{
	{Kind: emulator.FaultError, Share: 1},
	{Kind: emulator.FaultSlow, Share: 0.7, Factor: 30},
	{Kind: emulator.FaultStall, Share: 0.3, StallMillis: 1500},
	{Kind: emulator.FaultNoResponse, Share: 0.3},
	{Kind: emulator.FaultTruncate, Share: 0.5},
	{Kind: emulator.FaultReset, Share: 0.5},
}

// carryOut runs one event from its start to its end.
func (r *run) carryOut(ctx context.Context, event Event) error {
	id := r.layout.Instances[event.Instance].ID
	switch event.Kind {
	case Kill, Tear:
		return r.kill(ctx, event)
	case Stop:
		return r.stop(ctx, event)
	case Pause:
		return r.pauseDaemon(ctx, event)
	case Reload:
		return r.withDaemon(event.Instance, func(process *testbed.Process) error { return process.Signal(syscall.SIGHUP) })
	case Isolate:
		return r.during(ctx, event, func() { r.relay.Isolate(id, true) }, func() { r.relay.Isolate(id, false) })
	case OneWay:
		other := r.layout.Instances[event.Other].ID
		return r.during(ctx, event, func() { r.relay.Block(id, other) }, func() { r.relay.Unblock(id, other) })
	case Delay:
		disturbed := testbed.Impairment{Delay: time.Duration(event.Variant+1) * heldBack}
		return r.during(ctx, event, func() { r.relay.SetImpairment(id, disturbed) }, func() { r.relay.SetImpairment(id, testbed.Impairment{}) })
	case Loss:
		disturbed := testbed.Impairment{Loss: lostShare}
		return r.during(ctx, event, func() { r.relay.SetImpairment(id, disturbed) }, func() { r.relay.SetImpairment(id, testbed.Impairment{}) })
	case ResetCallers:
		r.streams[event.Instance].Reset()
		return nil
	case SilenceCallers:
		stream := r.streams[event.Instance]
		return r.during(ctx, event, func() { stream.SetPaused(true) }, func() { stream.SetPaused(false) })
	case Gray:
		return r.gray(ctx, event)
	case Change:
		r.operators.race(ctx)
		return nil
	case Withdraw:
		return r.withdraw(ctx, event.Variant)
	}
	return errors.Newf("the fault %q is unknown", event.Kind)
}

// during switches something on for the length of an event.
func (r *run) during(ctx context.Context, event Event, on, off func()) error {
	on()
	defer off()
	testbed.Sleep(ctx, event.For)
	return nil
}

// withDaemon calls use with the daemon of an instance while no other event changes it.
func (r *run) withDaemon(instance int, use func(*testbed.Process) error) error {
	r.daemons[instance].Lock()
	defer r.daemons[instance].Unlock()
	if process := r.fleet.Daemons[instance]; process != nil {
		return use(process)
	}
	return nil
}

func (r *run) kill(ctx context.Context, event Event) error {
	err := r.withDaemon(event.Instance, func(*testbed.Process) error {
		r.fleet.KillDaemon(event.Instance)
		return nil
	})
	if event.Kind == Tear {
		err = errors.CombineErrors(err, tearFiles(r.layout.Instances[event.Instance].DataFolder, (event.Variant+1)*tornBytes))
	}
	testbed.Sleep(ctx, event.For)
	return errors.CombineErrors(err, r.startDaemon(event.Instance))
}

// tearFiles leaves the beginning of a record at the end of the newest segment of each
// log in a folder.
func tearFiles(folder string, size int) error {
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
	began := time.Now()
	stopped := r.withDaemon(event.Instance, func(*testbed.Process) error { return r.fleet.StopDaemon(event.Instance) })
	if stopped != nil {
		r.findings.broke("the planned stop of instance %d: %v", event.Instance, stopped)
	}
	r.checkCut(event.Instance, began, time.Now())
	testbed.Sleep(ctx, event.For)
	return r.startDaemon(event.Instance)
}

// startDaemon starts a daemon again, unless an event that overtook this one has done so:
// a planned stop may take longer than its event.
func (r *run) startDaemon(instance int) error {
	r.daemons[instance].Lock()
	defer r.daemons[instance].Unlock()
	if r.fleet.Daemons[instance] != nil {
		return nil
	}
	return r.fleet.StartDaemon(instance)
}

func (r *run) pauseDaemon(ctx context.Context, event Event) error {
	err := r.withDaemon(event.Instance, func(process *testbed.Process) error { return process.Signal(syscall.SIGSTOP) })
	testbed.Sleep(ctx, event.For)
	return errors.CombineErrors(err, r.withDaemon(event.Instance, func(process *testbed.Process) error { return process.Signal(syscall.SIGCONT) }))
}

func (r *run) gray(ctx context.Context, event Event) error {
	if err := r.fleet.SetFault(event.Instance, grayFaults[event.Variant]); err != nil {
		return err
	}
	testbed.Sleep(ctx, event.For)
	return r.fleet.SetFault(event.Instance, emulator.Fault{Kind: emulator.FaultNone})
}

// withdraw withdraws the key of one of the leaving accounts.
func (r *run) withdraw(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	leaving := &r.leaving[number]
	key := fleetconfig.HashKey(leaving.key()).ID()
	if _, err := r.fleet.ApplyChanges(ctx, fleetconfig.Change{Kind: fleetconfig.WithdrawKey, Name: string(key)}); err != nil {
		r.findings.say("the key of %s was not withdrawn: %v", leaving.id, err)
		return nil
	}
	accepted := time.Now()
	r.mu.Lock()
	r.withdrawn[leaving.id] = accepted
	r.mu.Unlock()
	return nil
}
