//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. Every machine has a loopback address of its own.
const (
	fleetPort    = 7660
	controlPort  = 8407
	callerPort   = 8402
	readyPort    = 8406
	metricsPort  = 9464
	workerPort   = 8403
	operatorWait = 20 * time.Second
)

// The bounds of the deployment, as in the settings of a process on the platform's pages.
const (
	drainPeriod = 2 * time.Second
	graceTime   = 6 * time.Second
	heartbeat   = 1500 * time.Millisecond
)

func boundsOfDeployment() map[string]any {
	return map[string]any{
		"SeedStalenessS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckTimeoutMs": 4000, "CatchupS": 4,
		"DrainPeriodMs": int(drainPeriod.Milliseconds()), "GraceS": int(graceTime.Seconds()), "LossSlackMs": 200,
		"ConfigApplyMs": 2000, "BackMs": 250, "MaxSkewMs": 5000, "StrictRevoke": true, "RevokeMs": 5000,
		"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 64, "QuotaWindowS": 5, "QuotaOverage": 0.1,
		"QuotaSlack": 20, "RecoveryS": 15, "ProbesPerS": 3, "MinShare": 0.7,
	}
}

// machine is one machine of the deployment with its daemon.
type machine struct {
	name, ip, zone string
	// number counts the machines of the same kind from 1.
	number float64
	// service is the service of the worker beside a sidecar, empty on a core machine.
	service      string
	settingsFile string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a small deployment: five core machines, of which two may be lost, and sidecars.
type fleet struct {
	folder string
	cores  []*machine
	sides  []*machine
	seeds  []string
	// bounds are the bounds in the settings files that are written next.
	bounds map[string]any
	log    *record
}

// newFleet lays the machines out. services has the service of each sidecar's worker.
func newFleet(services []string, log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, bounds: boundsOfDeployment(), log: log}
	prefix, err := freeNetwork(len(services) + 5)
	if err != nil {
		return nil, err
	}
	host := 1
	next := func(number int, name, service string) *machine {
		m := &machine{number: float64(number), name: name, ip: fmt.Sprintf("%s.%d", prefix, host), zone: fmt.Sprintf("zone-%c", 'a'+host%3), service: service}
		host++
		return m
	}
	for i := range 5 {
		f.cores = append(f.cores, next(i+1, fmt.Sprintf("core-%d", i+1), ""))
	}
	for i, service := range services {
		f.sides = append(f.sides, next(i+1, fmt.Sprintf("sidecar-%d", i+1), service))
	}
	for _, core := range f.cores[:3] {
		f.seeds = append(f.seeds, core.address(controlPort))
	}
	for _, m := range append(append([]*machine(nil), f.cores...), f.sides...) {
		if err := f.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork(hosts int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if portsFree(prefix, hosts) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports found")
}

func portsFree(prefix string, hosts int) bool {
	for host := 1; host <= hosts; host++ {
		for _, port := range []int{fleetPort, controlPort, callerPort, readyPort, metricsPort, workerPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// writeSettings renders the template of the deploy file for a machine.
func (f *fleet) writeSettings(m *machine, bootstrap bool) error {
	template := "deploy/proxy.ini"
	fields := map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Region": "region", "Ip": m.ip, "Service": m.service,
		"PortRange": []int{fleetPort, fleetPort + 15}, "Seeds": f.seeds, "Bootstrap": bootstrap,
		"HeartbeatMs": int(heartbeat.Milliseconds()), "Bounds": f.bounds,
		"FaultTolerance": map[string]any{"Machines": 2},
		"Listen": map[string]any{
			"Outbound": m.address(callerPort), "Ready": m.address(readyPort), "Control": m.address(controlPort),
		},
	}
	if m.service == "" {
		template = "deploy/control.ini"
		fields["DataDir"] = filepath.Join(f.folder, m.name)
		if err := os.MkdirAll(filepath.Join(f.folder, m.name), 0o755); err != nil {
			return err
		}
	}
	source, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	m.settingsFile = filepath.Join(f.folder, m.name+".toml")
	return os.WriteFile(m.settingsFile, []byte(render(string(source), fields)), 0o644)
}

// start starts the daemon of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	output, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command("target/hemlockd", "--settings", m.settingsFile)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = command, ended
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine(nil), f.cores...), f.sides...) {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the daemon of a machine.
func (f *fleet) signal(m *machine, signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		f.log.event("signal", "machine", m.name, "signal", signal.String())
		_ = m.process.Process.Signal(signal)
	}
}

// waitEnded waits until the daemon has ended and reports whether it did in time.
func (m *machine) waitEnded(timeout time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// stopAll ends all daemons that were started.
func (f *fleet) stopAll() {
	for _, m := range append(append([]*machine(nil), f.cores...), f.sides...) {
		m.mu.Lock()
		process, ended := m.process, m.ended
		m.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGKILL)
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// route is a route of a configuration, with its times in milliseconds.
type route struct {
	name, prefix, kind        string
	timeout, target, priority int
	service                   string
}

// maxAttempts is how many workers one client attempt may be sent to.
const maxAttempts = 2

// configuration is what the operator sends.
type configuration struct {
	version, base int
	routes        []route
	services      []string
	tenants       [][]any
}

func (c *configuration) body() []byte {
	var routes, services [][]any
	for _, r := range c.routes {
		routes = append(routes, []any{r.name, host, r.prefix, r.kind, r.timeout, r.target, r.priority, r.service, maxAttempts, false, nil})
	}
	for _, name := range c.services {
		services = append(services, []any{name, "/health", 390, "h1", false})
	}
	document := map[string]any{
		"Version":     fmt.Sprintf("%08x", c.version),
		"BaseVersion": fmt.Sprintf("%08x", c.base),
		"Routes": map[string]any{
			"Columns": []string{"Name", "Host", "PathPrefix", "RouteType", "TimeoutMs", "TargetLatencyMs", "Priority", "Service", "MaxAttempts", "Public", "TrafficSplit"},
			"Rows":    routes,
		},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"}, "Rows": services},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  map[string]any{"Columns": []string{"Name", "ApiKeys", "Priority", "RatePerS", "Burst"}, "Rows": c.tenants},
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return data
}

// putConfiguration sends a configuration as the operator does: to one core machine after the
// other, until one acknowledges it.
func (f *fleet) putConfiguration(c *configuration) error {
	last := "no core machine answered"
	for deadline, turn := time.Now().Add(operatorWait), 0; time.Now().Before(deadline); turn++ {
		core := f.cores[turn%len(f.cores)]
		status, answer, err := f.putOnce(core, c)
		switch {
		case err != nil:
		case status == http.StatusOK:
			f.log.event("configuration acknowledged", "version", c.version, "by", core.name)
			return nil
		case status < http.StatusInternalServerError:
			return fmt.Errorf("configuration %d refused: status %d: %s", c.version, status, answer)
		default:
			last = fmt.Sprintf("status %d: %s", status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d not acknowledged: %s", c.version, last)
}

// waitReady waits until every sidecar answers the readiness check with 200.
func (f *fleet) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for _, m := range f.sides {
		for {
			response, err := client.Get("http://" + m.address(readyPort) + "/v1/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
