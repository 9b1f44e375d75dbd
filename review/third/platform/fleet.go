//go:build review3

package platform

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. Every machine has a loopback address of its own.
const (
	FleetPort    = 7660
	OutboundPort = 8402
	WorkerPort   = 8403
	ReadyPort    = 8406
	ControlPort  = 8407
	LocalPort    = 9464
)

const bounds = `{"SeedStalenessS":3,"AddrReuseS":2,"ContactMs":3000,"AckTimeoutMs":4000,"CatchupS":4,"DrainPeriodMs":2000,"GraceS":6,"LossSlackMs":200,"ConfigApplyMs":2000,"BackMs":250,"MaxSkewMs":5000,"StrictRevoke":true,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetrySlack":64,"QuotaWindowS":5,"QuotaOverage":0.1,"QuotaSlack":20,"RecoveryS":15,"ProbesPerS":3,"MinShare":0.7}`

// Machine is a machine with one hemlockd process.
type Machine struct {
	Name    string
	IP      string
	Zone    string
	Service string // Empty on a core machine.
	file    string
	data    string
	binary  string
	log     string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Fleet is a small deployment.
type Fleet struct {
	Folder  string
	Core    []*Machine
	Sidecar []*Machine
	seeds   string
}

// NewFleet lays out a fleet with five core machines and the given number of sidecar machines for
// each service. The binary of the daemon is target/hemlockd of the repository.
func NewFleet(root string, services map[string]int, order []string) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Folder: folder}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	binary := filepath.Join(root, "target", "hemlockd")
	host := 10
	add := func(name, service string, zone int) *Machine {
		m := &Machine{Name: name, IP: fmt.Sprintf("%s.%d", network, host), Zone: fmt.Sprintf("zone-%c", 'a'+zone%3), Service: service, binary: binary}
		host++
		m.file = filepath.Join(folder, name+".ini")
		m.data = filepath.Join(folder, name+"-data")
		m.log = filepath.Join(folder, name+".log")
		return m
	}
	for i := range 5 {
		f.Core = append(f.Core, add(fmt.Sprintf("core-%d", i+1), "", i))
	}
	for _, service := range order {
		for i := range services[service] {
			f.Sidecar = append(f.Sidecar, add(fmt.Sprintf("side-%s-%d", service, i+1), service, i))
		}
	}
	var seeds []string
	for _, m := range f.Core[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.IP, ControlPort))
	}
	f.seeds = strings.Join(seeds, ",")
	return f, nil
}

// freeNetwork returns the first three numbers of a loopback network whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for _, port := range []int{FleetPort, OutboundPort, WorkerPort, ReadyPort, ControlPort, LocalPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback network with free ports")
}

// All returns all machines.
func (f *Fleet) All() []*Machine { return append(append([]*Machine{}, f.Core...), f.Sidecar...) }

func (f *Fleet) write(m *Machine, bootstrap bool) error {
	text := fmt.Sprintf("[instance]\nid = %s\nfailure_domain = %s\nregion = region\n", m.Name, m.Zone)
	fleet := fmt.Sprintf("\n[fleet]\naddress = %s:%d\njoin = %s\njoin_port = %d\nlink_mbps = 1000\ntrust = network\n", m.IP, FleetPort, f.seeds, FleetPort)
	local := fmt.Sprintf("\n[local]\naddress = %s:%d\n", m.IP, LocalPort)
	if m.Service == "" {
		text += fmt.Sprintf("roles = control\ndata_folder = %s\n", m.data) + fleet + local
		text += fmt.Sprintf("\n[control]\nlosses = 2\nfound = %t\nelection_timeout = 500ms\nshard_lease = 1.5s\nwithdrawal = 5000ms\n\n[limits]\nstop_timeout = 6s\n", bootstrap)
		text += fmt.Sprintf("\n[platform]\noperator_address = %s:%d\nbounds = %s\n", m.IP, ControlPort, bounds)
	} else {
		text += "roles = proxy\n" + fleet
		text += fmt.Sprintf("\n[callers]\naddress = %s:%d\nservice = %s\nkey_header =\n", m.IP, OutboundPort, m.Service) + local
		text += "\n[control]\nshard_lease = 1.5s\nwithdrawal = 5000ms\n\n[limits]\nstop_timeout = 6s\nstop_linger = 2200ms\n"
		text += fmt.Sprintf("\n[platform]\nready_address = %s:%d\ncheck_in_address = %s:%d\nbounds = %s\ncheck_in_interval = 1500ms\n", m.IP, ReadyPort, m.IP, ControlPort, bounds)
	}
	return os.WriteFile(m.file, []byte(text), 0o600)
}

// Start starts all processes for the first time.
func (f *Fleet) Start() error {
	for _, m := range f.All() {
		if m.Service == "" {
			if err := os.MkdirAll(m.data, 0o700); err != nil {
				return err
			}
		}
		if err := f.write(m, true); err != nil {
			return err
		}
		if err := m.Start(); err != nil {
			return err
		}
	}
	// Later starts take the settings of a fleet that exists already.
	time.Sleep(300 * time.Millisecond)
	for _, m := range f.Core {
		if err := f.write(m, false); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of the machine.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(m.binary, "--settings", m.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd = cmd
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(signal)
	}
}

// Wait waits until the process has ended and returns whether it ended within the time.
func (m *Machine) Wait(timeout time.Duration) bool {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil {
		return true
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.Wait(5 * time.Second)
}

// Close kills all processes and, unless REVIEW3_KEEP is set, removes their files.
func (f *Fleet) Close() {
	for _, m := range f.All() {
		m.Signal(syscall.SIGCONT)
		m.Signal(syscall.SIGKILL)
	}
	for _, m := range f.All() {
		m.Wait(5 * time.Second)
	}
	if os.Getenv("REVIEW3_KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	} else {
		fmt.Println("files kept in", f.Folder)
	}
}
