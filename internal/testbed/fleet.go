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
	// pollInterval is the interval at which a condition is checked.
	pollInterval = 20 * time.Millisecond
	// stopTimeout is the timeout of a planned stop of a daemon.
	stopTimeout = 70 * time.Second
	// backendPort is the port of the backend server of an instance.
	backendPort = 9000
)

// BackendSpec describes the emulated backend servers of a fleet.
type BackendSpec struct {
	// Service is the service that each backend server announces.
	Service fleetconfig.ServiceName
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ColdStart and ColdRate make the backend servers cold after a crash, if they are not
	// zero; see emulator.Config.
	ColdStart time.Duration
	ColdRate  float64
	// Instances lists the indexes of the instances that get a backend server. If it is
	// nil, every instance gets one.
	Instances []int
}

// Fleet is a fleet of real processes: a daemon for each instance of a layout, and
// backend servers.
type Fleet struct {
	// Layout holds the files and addresses of the fleet.
	Layout *Layout
	// Daemons holds the daemon of each instance, or nil while it is not running.
	Daemons []*Process
	// Backends holds the processes of the backend servers.
	Backends []*Process
	// BackendAddresses holds the listen address of each of the Backends.
	BackendAddresses []string
	// Client is a client of the administration API.
	Client *client.Client

	executable string
	httpClient *http.Client
}

// StartFleet starts all processes of a layout. They run the current executable.
func StartFleet(layout *Layout, spec BackendSpec) (*Fleet, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the current executable")
	}
	fleet := &Fleet{
		Layout:     layout,
		Daemons:    make([]*Process, len(layout.Instances)),
		executable: executable,
		httpClient: &http.Client{Timeout: 5 * time.Second},
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

// adminClient returns a client of the administration API that acts as the layout's
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

// StartDaemon starts the daemon of an instance. It must not be running.
func (f *Fleet) StartDaemon(instance int) error {
	layout := &f.Layout.Instances[instance]
	logFile := filepath.Join(f.Layout.Folder, string(layout.ID)+".log")
	process, err := StartProcess(f.executable, logFile, "daemon", "-c", layout.SettingsFile)
	f.Daemons[instance] = process
	return err
}

func (f *Fleet) startBackend(instance int, spec BackendSpec) error {
	layout := &f.Layout.Instances[instance]
	address := fmt.Sprintf("%s:%d", hostPart(layout.LocalAddress), backendPort)
	logFile := filepath.Join(f.Layout.Folder, string(layout.ID)+"-backend.log")
	process, err := StartProcess(f.executable, logFile, "backend",
		"--listen", address, "--local", layout.LocalAddress, "--service", string(spec.Service),
		"--slots", fmt.Sprint(spec.Slots), "--service-time", spec.ServiceTime.String(),
		"--cold-start", spec.ColdStart.String(), "--cold-rate", fmt.Sprint(spec.ColdRate))
	if err != nil {
		return err
	}
	f.Backends = append(f.Backends, process)
	f.BackendAddresses = append(f.BackendAddresses, address)
	return nil
}

// KillDaemon kills the daemon of an instance if it is running.
func (f *Fleet) KillDaemon(instance int) {
	if process := f.Daemons[instance]; process != nil {
		process.Kill()
		f.Daemons[instance] = nil
	}
}

// StopDaemon stops the daemon of an instance gracefully. It returns an error if the
// daemon fails or does not exit in time.
func (f *Fleet) StopDaemon(instance int) error {
	process := f.Daemons[instance]
	f.Daemons[instance] = nil
	return process.Terminate(stopTimeout)
}

// SuspendDaemon suspends the daemon of an instance with SIGSTOP until ResumeDaemon.
func (f *Fleet) SuspendDaemon(instance int) error { return f.Daemons[instance].Signal(syscall.SIGSTOP) }

// ResumeDaemon resumes a suspended daemon.
func (f *Fleet) ResumeDaemon(instance int) error { return f.Daemons[instance].Signal(syscall.SIGCONT) }

// Kill kills all processes.
func (f *Fleet) Kill() {
	for i := range f.Daemons {
		f.KillDaemon(i)
	}
	for _, process := range f.Backends {
		process.Kill()
	}
}

// ApplyChanges applies changes to the current configuration and returns the new version.
// It retries until ctx ends, unless the changes are rejected for another reason than a
// conflict with other changes.
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
			return 0, errors.Wrap(err, "the changes were not accepted in time")
		}
	}
}

// Readiness is the state that an instance reports on its local address.
type Readiness struct {
	// Ready reports whether the instance serves.
	Ready bool `json:"ready"`
	// Version is its configuration version.
	Version uint64 `json:"configuration_version"`
	// ShardEpoch is the epoch of its shard map.
	ShardEpoch uint64 `json:"shard_epoch"`
	// Servers is the number of backend servers that it knows.
	Servers int `json:"backend_servers"`
	// Ejected is the number of ejected backend servers.
	Ejected int `json:"ejected"`
	// Members is the number of instances that it knows.
	Members int `json:"members"`
	// IndirectOnly is the number of instances that it reaches only through others.
	IndirectOnly int `json:"indirect_only"`
	// IsLeader reports whether it is the leader of the control instances.
	IsLeader bool `json:"leads"`
	// OwnedShards is the number of shards that it owns.
	OwnedShards int `json:"held_shards"`
	// Shards is the total number of shards.
	Shards int `json:"shards"`
	// SentBytes and ReceivedBytes are the bytes sent and received on its fleet port
	// since it started.
	SentBytes     uint64 `json:"fleet_sent_bytes"`
	ReceivedBytes uint64 `json:"fleet_received_bytes"`
	// SentPackets and ReceivedPackets are the packets that carried these bytes.
	SentPackets     uint64 `json:"fleet_sent_packets"`
	ReceivedPackets uint64 `json:"fleet_received_packets"`
}

// Readiness returns the state that an instance reports.
func (f *Fleet) Readiness(instance int) (*Readiness, error) {
	response, err := f.httpClient.Get("http://" + f.Layout.Instances[instance].LocalAddress + "/readyz")
	if err != nil {
		return nil, errors.Wrap(err, "request the readiness of the instance")
	}
	defer func() { _ = response.Body.Close() }()
	ready := new(Readiness)
	return ready, errors.Wrap(json.NewDecoder(response.Body).Decode(ready), "decode the readiness")
}

// WaitUntil waits until the condition holds. If ctx ends before, it returns an error that
// names what was waited for.
func WaitUntil(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if !Sleep(ctx, pollInterval) {
			return errors.Newf("timed out waiting for %s", what)
		}
	}
	return nil
}

// Sleep waits for the duration and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WaitServing waits until all running instances are ready, have the given configuration
// version or a newer one and know all backend servers, and every shard has an owner. The
// shard map must have left its initial epoch 1, in which the replicas do not vote yet.
func (f *Fleet) WaitServing(ctx context.Context, version uint64) error {
	return WaitUntil(ctx, "the fleet to serve", func() bool {
		owned, shards := 0, 0
		for i := range f.Daemons {
			if f.Daemons[i] == nil {
				continue
			}
			ready, err := f.Readiness(i)
			if err != nil || !ready.Ready || ready.Version < version || ready.ShardEpoch < 2 || ready.Servers < len(f.Backends) {
				return false
			}
			owned += ready.OwnedShards
			shards = ready.Shards
		}
		return shards > 0 && owned == shards
	})
}

// SetFault sets the fault of a backend server, by its index in Backends.
func (f *Fleet) SetFault(backend int, fault emulator.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.Wrap(err, "encode the fault")
	}
	return retryWhileDown(func() error {
		return postJSON(f.httpClient, "http://"+f.BackendAddresses[backend]+emulator.FaultPath, body)
	})
}

// retryWhileDown repeats a call to a backend server that may be down after a crash.
func retryWhileDown(call func() error) error {
	ended := time.Now().Add(2 * emulator.DefaultDowntime)
	for {
		err := call()
		if err == nil || time.Now().After(ended) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// BackendExecutions returns the executions on a backend server, by its index in Backends.
func (f *Fleet) BackendExecutions(backend int) (*emulator.Executions, error) {
	executions := &emulator.Executions{}
	err := retryWhileDown(func() error {
		return getJSON(f.httpClient, "http://"+f.BackendAddresses[backend]+emulator.ExecutionsPath, executions)
	})
	return executions, err
}

// BackendArrivals returns the requests that have reached a backend server, by its index in
// Backends.
func (f *Fleet) BackendArrivals(backend int) ([]emulator.Arrival, error) {
	var arrivals []emulator.Arrival
	err := retryWhileDown(func() error {
		return getJSON(f.httpClient, "http://"+f.BackendAddresses[backend]+emulator.ArrivalsPath, &arrivals)
	})
	return arrivals, err
}

// Executions returns the sum of the executions on all backend servers.
func (f *Fleet) Executions() (*emulator.Executions, error) {
	total := &emulator.Executions{Requests: make(map[string]int), Orders: make(map[string]int)}
	for i := range f.BackendAddresses {
		part, err := f.BackendExecutions(i)
		if err != nil {
			return nil, err
		}
		total.Total += part.Total
		total.MostCold = max(total.MostCold, part.MostCold)
		total.WithCredentials += part.WithCredentials
		total.Crashes += part.Crashes
		total.CrashRuns += part.CrashRuns
		for id, count := range part.Requests {
			total.Requests[id] += count
		}
		for id, count := range part.Orders {
			total.Orders[id] += count
		}
	}
	return total, nil
}
