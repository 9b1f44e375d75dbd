//go:build review2

// Package platform starts a small deployment of hemlockring as separate processes on loopback
// addresses and provides stand-ins for its clients, backend servers and operator.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	ServiceA = "svc-a"
	ServiceB = "svc-b"
	Host     = "shop.example"
	PathA    = "/aaa111/"
	PathB    = "/bbb222/"
	Key      = "2b9wu3fexd9dnn2ctnfz"
	Tenant   = "tenant1"
)

// HeartbeatInterval is the interval of check-ins, HeartbeatMs of the settings.
const HeartbeatInterval = 1500 * time.Millisecond

// bounds are those of the deployments in force.
const bounds = `{"SeedStalenessS":3,"AddrReuseS":2,"ContactMs":3000,"AckTimeoutMs":4000,"CatchupS":4,"DrainPeriodMs":2000,"GraceS":6,"LossSlackMs":200,"ConfigApplyMs":2000,"BackMs":250,"MaxSkewMs":5000,"StrictRevoke":true,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetrySlack":60,"QuotaWindowS":5,"QuotaOverage":0.1,"QuotaSlack":20,"RecoveryS":15,"ProbesPerS":3,"MinShare":0.7}`

// ports are the same on all machines.
type ports struct{ control, outbound, ready, app, inner int }

// Machine is one machine of the deployment, with a loopback address of its own.
type Machine struct {
	Name, IP, Zone, Service string
	Core                    bool
	fleet                   *Fleet
	command                 *exec.Cmd
	exited                  chan struct{}
	starts                  int
}

// Fleet is a deployment of separate processes.
type Fleet struct {
	Dir    string
	Record *Record
	Cores  []*Machine
	Sides  []*Machine
	root   string
	ports  ports
}

// NewFleet lays out a deployment with the given core machines and one sidecar machine for each
// of the services. Nothing is started.
func NewFleet(record *Record, cores int, services ...string) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hemlock-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, Record: record, root: root}
	subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	f.ports, err = freePorts(subnet + ".1")
	if err != nil {
		return nil, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range cores {
		f.Cores = append(f.Cores, &Machine{Name: fmt.Sprintf("core-%d", i+1), IP: fmt.Sprintf("%s.%d", subnet, 10+i), Zone: zones[i%3], Core: true, fleet: f})
	}
	for i, service := range services {
		f.Sides = append(f.Sides, &Machine{Name: fmt.Sprintf("sidecar-%d", i+1), IP: fmt.Sprintf("%s.%d", subnet, 30+i), Zone: zones[i%3], Service: service, fleet: f})
	}
	return f, nil
}

// freePorts finds ports that are free at an address; the other addresses of the subnet are as
// new.
func freePorts(ip string) (ports, error) {
	var found [5]int
	for i := range found {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports{}, err
		}
		defer listener.Close()
		found[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

// ControlAddr is the address Control of a machine.
func (m *Machine) ControlAddr() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.ports.control) }

// Outbound is where the clients on a sidecar machine send their requests.
func (m *Machine) Outbound() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.ports.outbound) }

// ReadyAddr is the address Ready of a sidecar machine.
func (m *Machine) ReadyAddr() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.ports.ready) }

// AppAddr is the address of the backend server on a sidecar machine.
func (m *Machine) AppAddr() string { return fmt.Sprintf("%s:%d", m.IP, m.fleet.ports.app) }

var section = regexp.MustCompile(`(?s)\{\{#([A-Za-z.0-9]+)\}\}(.*?)\{\{/[A-Za-z.0-9]+\}\}`)
var placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)

// render fills in a template of the deploy file, as far as the templates need it.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		return values[placeholder.FindStringSubmatch(text)[1]]
	})
}

// Start starts the machine's process with the command of the deploy file.
func (m *Machine) Start() error {
	f := m.fleet
	file, data := "deploy/proxy.ini", filepath.Join(f.Dir, m.Name)
	if m.Core {
		file = "deploy/control.ini"
	}
	if err := os.MkdirAll(filepath.Join(data, "data"), 0o700); err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(f.root, file))
	if err != nil {
		return err
	}
	var seeds []string
	for _, core := range f.Cores[:min(3, len(f.Cores))] {
		seeds = append(seeds, core.ControlAddr())
	}
	text := render(string(template), map[string]string{
		"NodeName": m.Name, "Zone": m.Zone, "Region": "region", "Ip": m.IP, "Service": m.Service,
		"DataDir": filepath.Join(data, "data"), "Seeds": strings.Join(seeds, ","),
		"PortRange.0": fmt.Sprint(f.ports.inner), "Limits.LinkMbps": "1000.0",
		"FaultTolerance.Machines": fmt.Sprint((len(f.Cores) - 1) / 2), "Bootstrap": fmt.Sprint(m.starts == 0),
		"Bounds.RevokeMs": "5000", "Bounds.GraceS": "6", "Bounds": bounds,
		"HeartbeatMs": fmt.Sprint(HeartbeatInterval.Milliseconds()), "Listen.Control": m.ControlAddr(),
		"Listen.Outbound": m.Outbound(), "Listen.Ready": m.ReadyAddr(),
	})
	settings := filepath.Join(data, "local.toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	m.starts++
	log, err := os.OpenFile(filepath.Join(data, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(filepath.Join(f.root, "target/hemlockd"), "--settings", settings)
	m.command.Dir = f.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEMLOCKRING_NODE_FILE=" + settings}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) { _ = command.Wait(); close(exited) }(m.command, m.exited)
	f.Record.Log("machine %s: process started (start %d)", m.Name, m.starts)
	return nil
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(signal syscall.Signal) {
	m.fleet.Record.Log("machine %s: %s", m.Name, signal)
	_ = m.command.Process.Signal(signal)
}

// AwaitExit waits until the machine's process has ended, and kills it after the given time.
func (m *Machine) AwaitExit(limit time.Duration) {
	select {
	case <-m.exited:
	case <-time.After(limit):
		_ = m.command.Process.Kill()
		<-m.exited
	}
}

// Stop ends all processes and removes the temporary folder.
func (f *Fleet) Stop() {
	for _, m := range append(append([]*Machine{}, f.Cores...), f.Sides...) {
		if m.command != nil {
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
	}
}

// StartAll starts all machines, sets the first configuration and waits until all sidecars are
// ready.
func (f *Fleet) StartAll(configuration []byte) error {
	for _, m := range append(append([]*Machine{}, f.Cores...), f.Sides...) {
		if err := m.Start(); err != nil {
			return err
		}
	}
	if err := f.Put(configuration, 25*time.Second); err != nil {
		return err
	}
	for _, m := range f.Sides {
		if err := m.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the machine's readiness check succeeds.
func (m *Machine) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _, err := call("GET", "http://"+m.ReadyAddr()+"/v1/readiness", nil); err == nil && status == 200 {
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready after %s", m.Name, limit)
}

// call sends one call of the platform on a connection of its own. It takes a second at most.
func call(method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// Put sends a configuration to the core machines in turn until one acknowledges it.
func (f *Fleet) Put(configuration []byte, limit time.Duration) error {
	last := "no response"
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		status, data, err := call("PUT", "http://"+f.Cores[i%len(f.Cores)].ControlAddr()+"/v1/config", configuration)
		if err == nil && status == 200 {
			f.Record.Log("operator: configuration acknowledged by %s", f.Cores[i%len(f.Cores)].Name)
			return nil
		}
		last = fmt.Sprintf("status %d %s %v", status, data, err)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %s", last)
}

// Configuration returns a configuration with an unsafe route to ServiceA, which may be public,
// and a safe one to ServiceB.
func Configuration(version, base int, rate float64, public bool) []byte {
	type table struct {
		Columns []string
		Rows    [][]any
	}
	body := map[string]any{
		"Version": fmt.Sprintf("%08x", version), "BaseVersion": fmt.Sprintf("%08x", base),
		"Routes": table{
			[]string{"Name", "Host", "PathPrefix", "RouteType", "TimeoutMs", "TargetLatencyMs", "Priority", "Service", "MaxAttempts", "Public", "TrafficSplit"},
			[][]any{
				{"r-a", Host, PathA, "unsafe", 5000, 2000, 1, ServiceA, 2, public, nil},
				{"r-b", Host, PathB, "safe", 5000, 2000, 1, ServiceB, 2, false, nil},
			},
		},
		"Services": table{
			[]string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"},
			[][]any{{ServiceA, "/health", 360, "h1", false}, {ServiceB, "/health", 360, "h1", false}},
		},
		"Limits":  map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": table{[]string{"Name", "ApiKeys", "Priority", "RatePerS", "Burst"}, [][]any{{Tenant, []string{Key}, 1, rate, rate}}},
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// metricsPort is the port of a machine's own metrics in the deploy file.
const metricsPort = 9464

// Leader returns the core machine that says on its port for metrics that it leads, or nil.
func (f *Fleet) Leader() *Machine {
	for _, m := range f.Cores {
		_, data, err := call("GET", fmt.Sprintf("http://%s:%d/readyz", m.IP, metricsPort), nil)
		if err == nil && strings.Contains(string(data), `"leads":true`) {
			return m
		}
	}
	return nil
}

// Send sends a configuration call to a core machine, in turn, and to the next one after a 5xx or
// no response.
func (f *Fleet) Send(first int, method string, body []byte) (status int, answer []byte, err error) {
	for i := first; i < first+20; i++ {
		status, answer, err = call(method, "http://"+f.Cores[i%len(f.Cores)].ControlAddr()+"/v1/config", body)
		if err == nil && status < http.StatusInternalServerError {
			return status, answer, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, answer, fmt.Errorf("no clear response to %s: %d %w", method, status, err)
}

// SetRoute sets a field of the second route of a configuration.
func SetRoute(configuration []byte, field string, value any) []byte {
	var body map[string]any
	if err := json.Unmarshal(configuration, &body); err != nil {
		panic(err)
	}
	routes := body["Routes"].(map[string]any)
	for i, name := range routes["Columns"].([]any) {
		if name == field {
			routes["Rows"].([]any)[1].([]any)[i] = value
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// SplitRoute gives the second route a split of one part, to ServiceB.
func SplitRoute(configuration []byte) []byte {
	return SetRoute(configuration, "TrafficSplit", []map[string]any{{"Service": ServiceB, "Weight": 1}})
}
