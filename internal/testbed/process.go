package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ProcessEnvVar is set in the environment of each process that the bench starts,
// so that a test executable knows to act as the bench's command.
const ProcessEnvVar = "HEMLOCKRING_TESTBED_PROCESS"

// Process is a running process of a fleet.
type Process struct {
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	err     error
}

// StartProcess starts this executable, or another one, with the given arguments.
// Its messages go to logFile.
func StartProcess(executable, logFile string, arguments ...string) (*Process, error) {
	if err := os.MkdirAll(filepath.Dir(logFile), folderMode); err != nil {
		return nil, errors.Wrap(err, "make the log's folder")
	}
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	command := exec.Command(executable, arguments...)
	command.Env = append(os.Environ(), ProcessEnvVar+"=1")
	command.Stdout = log
	command.Stderr = log
	// A process of the bench does not outlive the bench.
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

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Terminate asks the process for a planned stop and waits for its end, at most
// for the given time. It returns an error when the process fails or stays.
func (p *Process) Terminate(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return errors.Wrap(p.err, "the process failed while it stopped")
	case <-time.After(timeout):
		p.Kill()
		return errors.Newf("the process did not stop within %s", timeout)
	}
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Usage returns the processor time of an ended process and its peak memory in
// bytes.
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
