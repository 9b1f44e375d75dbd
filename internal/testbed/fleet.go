package testbed

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/pki"
)

const (
	// pollInterval is how often a condition is looked at.
	pollInterval = 20 * time.Millisecond
	// stopTimeout bounds a planned stop of a process.
	stopTimeout = 70 * time.Second
	// backendPort is the port of the first backend server of an instance.
	backendPort = 9000
)

// BackendSpec describes the backend server beside each instance.
type BackendSpec struct {
	// Service is what it serves.
	Service fleetconfig.ServiceName
	// Slots is how many requests it runs at once.
	Slots int
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration
	// Instances lists the instances that have one; nil gives one to each.
	Instances []int
}

// Fleet is a fleet of real processes: a daemon and a backend server for each
// instance of a layout.
type Fleet struct {
	// Layout is the fleet's files and addresses.
	Layout *Layout
	// Daemons are the processes of the instances, nil while one does not run.
	Daemons []*Process
	// Backends are the processes of the backend servers.
	Backends []*Process
	// BackendAddresses are where the backend servers listen.
	BackendAddresses []string
	// Client calls the administration API.
	Client *client.Client

	executable string
	local      *http.Client
}

// StartFleet starts all processes of a layout, from the present executable.
func StartFleet(layout *Layout, spec BackendSpec) (*Fleet, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the executable")
	}
	fleet := &Fleet{
		Layout:     layout,
		Daemons:    make([]*Process, len(layout.Instances)),
		executable: executable,
		local:      &http.Client{Timeout: 5 * time.Second},
	}
	if fleet.Client, err = layout.adminClient(); err != nil {
		return nil, err
	}
	for i := range layout.Instances {
		if err := fleet.StartDaemon(i); err != nil {
			fleet.Kill()
			return nil, err
		}
		if spec.Instances != nil && !slices.Contains(spec.Instances, i) {
			continue
		}
		if err := fleet.startBackend(i, spec); err != nil {
			fleet.Kill()
			return nil, err
		}
	}
	return fleet, nil
}

// adminClient returns a client of the administration API with the layout's
// operator.
func (l *Layout) adminClient() (*client.Client, error) {
	authority, err := pki.LoadAuthority(filepath.Join(l.TLSFolder, pki.AuthorityCertificateFile))
	if err != nil {
		return nil, err
	}
	var servers []string
	for _, instance := range l.Instances {
		if instance.Control {
			servers = append(servers, "https://"+instance.AdminAddress)
		}
	}
	transport := &http.Transport{
		TLSClientConfig:       &tls.Config{RootCAs: authority, MinVersion: tls.VersionTLS12},
		ResponseHeaderTimeout: 10 * time.Second,
	}
	return &client.Client{Servers: servers, Token: OperatorToken, HTTP: &http.Client{Transport: transport}}, nil
}

// StartDaemon starts the daemon of an instance that does not run.
func (f *Fleet) StartDaemon(instance int) error {
	layout := &f.Layout.Instances[instance]
	logFile := filepath.Join(f.Layout.Folder, string(layout.ID)+".log")
	process, err := StartProcess(f.executable, logFile, "daemon", "-c", layout.SettingsFile)
	f.Daemons[instance] = process
	return err
}

func (f *Fleet) startBackend(instance int, spec BackendSpec) error {
	layout := &f.Layout.Instances[instance]
	address := fmt.Sprintf("%s:%d", hostOf(layout.LocalAddress), backendPort)
	logFile := filepath.Join(f.Layout.Folder, string(layout.ID)+"-backend.log")
	process, err := StartProcess(f.executable, logFile, "backend",
		"--listen", address, "--local", layout.LocalAddress, "--service", string(spec.Service),
		"--slots", fmt.Sprint(spec.Slots), "--service-time", spec.ServiceTime.String())
	if err != nil {
		return err
	}
	f.Backends = append(f.Backends, process)
	f.BackendAddresses = append(f.BackendAddresses, address)
	return nil
}

// KillDaemon ends the daemon of an instance at once.
func (f *Fleet) KillDaemon(instance int) {
	if process := f.Daemons[instance]; process != nil {
		process.Kill()
		f.Daemons[instance] = nil
	}
}

// StopDaemon stops the daemon of an instance as planned.
func (f *Fleet) StopDaemon(instance int) error {
	process := f.Daemons[instance]
	f.Daemons[instance] = nil
	return process.Terminate(stopTimeout)
}

// SuspendDaemon stops the daemon's process without ending it, until Thaw.
func (f *Fleet) SuspendDaemon(instance int) error { return f.Daemons[instance].Signal(syscall.SIGSTOP) }

// ResumeDaemon lets a frozen daemon go on.
func (f *Fleet) ResumeDaemon(instance int) error { return f.Daemons[instance].Signal(syscall.SIGCONT) }

// Kill ends all processes at once.
func (f *Fleet) Kill() {
	for i := range f.Daemons {
		f.KillDaemon(i)
	}
	for _, process := range f.Backends {
		process.Kill()
	}
}

// ApplyChanges makes changes on the configuration in force, again after conflicts with
// changes of others, and returns the new version.
func (f *Fleet) ApplyChanges(ctx context.Context, changes ...fleetconfig.Change) (uint64, error) {
	for {
		status, err := f.Client.Status(ctx)
		if err == nil {
			var reply *api.ChangeReply
			request := &api.ChangeRequest{ChangeID: client.NewChangeID(), BaseVersion: status.Version, Changes: changes}
			if reply, err = f.Client.Change(ctx, request); err == nil {
				return reply.Version, nil
			}
		}
		var problem *api.Problem
		if errors.As(err, &problem) && !problem.HasType(api.ProblemConflict) {
			return 0, err
		}
		if !Sleep(ctx, pollInterval) {
			return 0, errors.Wrap(err, "the change was not made in time")
		}
	}
}

// Readiness is what an instance says of itself.
type Readiness struct {
	// Ready says that it serves.
	Ready bool `json:"ready"`
	// Version is the version of its configuration.
	Version uint64 `json:"configuration_version"`
	// ShardEpoch is the epoch of its shard map.
	ShardEpoch uint64 `json:"shard_epoch"`
	// Servers is how many backend servers it knows.
	Servers int `json:"backend_servers"`
	// Ejected is how many of them are ejected.
	Ejected int `json:"ejected"`
	// Members is how many instances it knows.
	Members int `json:"members"`
	// IndirectOnly is how many of them it reaches only through others.
	IndirectOnly int `json:"indirect_only"`
	// IsLeader says that it leads control.
	IsLeader bool `json:"leads"`
	// OwnedShards is how many shards it owns.
	OwnedShards int `json:"held_shards"`
	// Shards is how many shards there are.
	Shards int `json:"shards"`
	// SentBytes and ReceivedBytes have passed its fleet port since it started.
	SentBytes     uint64 `json:"fleet_sent_bytes"`
	ReceivedBytes uint64 `json:"fleet_received_bytes"`
	// SentPackets and ReceivedPackets are the packets of these.
	SentPackets     uint64 `json:"fleet_sent_packets"`
	ReceivedPackets uint64 `json:"fleet_received_packets"`
}

// Readiness asks an instance for its state.
func (f *Fleet) Readiness(instance int) (*Readiness, error) {
	response, err := f.local.Get("http://" + f.Layout.Instances[instance].LocalAddress + "/readyz")
	if err != nil {
		return nil, errors.Wrap(err, "ask the instance")
	}
	defer func() { _ = response.Body.Close() }()
	ready := new(Readiness)
	return ready, errors.Wrap(json.NewDecoder(response.Body).Decode(ready), "read the answer")
}

// WaitUntil waits until the condition holds, or ctx ends.
func WaitUntil(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if !Sleep(ctx, pollInterval) {
			return errors.Newf("%s did not come in time", what)
		}
	}
	return nil
}

// Sleep waits, and reports false when ctx has ended.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WaitServing waits until all running instances know all backend servers, have the
// given version and every shard has an owner.
func (f *Fleet) WaitServing(ctx context.Context, version uint64) error {
	return WaitUntil(ctx, "a fleet that serves", func() bool {
		held, shards := 0, 0
		for i := range f.Daemons {
			if f.Daemons[i] == nil {
				continue
			}
			ready, err := f.Readiness(i)
			if err != nil || !ready.Ready || ready.Version < version || ready.ShardEpoch < 2 || ready.Servers < len(f.Backends) {
				return false
			}
			held += ready.OwnedShards
			shards = ready.Shards
		}
		return shards > 0 && held == shards
	})
}

// SetFault switches a fault of a backend server on.
func (f *Fleet) SetFault(instance int, fault emulator.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.Wrap(err, "encode the fault")
	}
	return postJSON(f.local, "http://"+f.BackendAddresses[instance]+emulator.FaultPath, body)
}

// Executions returns what all backend servers have run, added up.
func (f *Fleet) Executions() (*emulator.Executions, error) {
	total := &emulator.Executions{Requests: make(map[string]int), Orders: make(map[string]int)}
	for _, address := range f.BackendAddresses {
		var part emulator.Executions
		if err := getJSON(f.local, "http://"+address+emulator.ExecutionsPath, &part); err != nil {
			return nil, err
		}
		total.Total += part.Total
		total.WithCredentials += part.WithCredentials
		for id, count := range part.Requests {
			total.Requests[id] += count
		}
		for id, count := range part.Orders {
			total.Orders[id] += count
		}
	}
	return total, nil
}
