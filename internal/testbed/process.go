package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ProcessEnvVar is an environment variable that is set for each process that StartProcess
// starts. A test executable runs the hemlockbench command instead of its tests if the
// variable is set.
const ProcessEnvVar = "HEMLOCKRING_TESTBED_PROCESS"

// Process is a running process of a fleet.
type Process struct {
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	err     error
}

// StartProcess starts an executable with the given arguments. Its output is appended to
// logFile.
func StartProcess(executable, logFile string, arguments ...string) (*Process, error) {
	if err := os.MkdirAll(filepath.Dir(logFile), folderMode); err != nil {
		return nil, errors.Wrap(err, "create the folder of the log file")
	}
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the log file")
	}
	command := exec.Command(executable, arguments...)
	command.Env = append(os.Environ(), ProcessEnvVar+"=1")
	command.Stdout = log
	command.Stderr = log
	// The kernel kills the process when the process that started it dies, so that no
	// process of a fleet is left running.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %s", executable)
	}
	process := &Process{command: command, log: log, exited: make(chan struct{})}
	go process.wait()
	return process, nil
}

func (p *Process) wait() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.exited)
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrap(p.command.Process.Signal(signal), "signal the process")
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Terminate sends SIGTERM to the process and waits until it has exited. It returns an
// error if the process fails. If it does not exit within the timeout, Terminate kills it
// and returns an error.
func (p *Process) Terminate(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return errors.Wrap(p.err, "the process failed during its planned stop")
	case <-time.After(timeout):
		p.Kill()
		return errors.Newf("the process did not exit within %s", timeout)
	}
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Usage returns the CPU time of an exited process and its peak resident memory in bytes,
// or zeros if the process is still running.
func (p *Process) Usage() (cpu time.Duration, peakMemory int64) {
	state := p.command.ProcessState
	if state == nil {
		return 0, 0
	}
	cpu = state.UserTime() + state.SystemTime()
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		const kibibyte = 1024
		peakMemory = usage.Maxrss * kibibyte
	}
	return cpu, peakMemory
}
