package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

const (
	overheadWorkers  = 32
	overheadKey      = "overhead-key"
	overheadSlots    = 4096
	capacityLength   = 3 * time.Second
	segmentLength    = 2 * time.Second
	warmUpLength     = time.Second
	overheadBackend  = "127.0.0.1:18999"
	processStopLimit = 20 * time.Second
	readyLimit       = 30 * time.Second
	readyPoll        = 20 * time.Millisecond
	microsPerMilli   = 1000
)

// OverheadArguments is the command line of the overhead measurement.
type OverheadArguments struct {
	// JSON prints JSON in place of a table.
	JSON bool `arg:"--json" help:"print JSON"`
	// Rounds is how many pairs of segments are measured.
	Rounds int `arg:"--rounds" default:"6" help:"pairs of interleaved segments"`
	// Share is the load in parts of the capacity.
	Share float64 `arg:"--share" default:"0.4" help:"load as a share of what the machine carries"`
}

// latencySummary is a distribution in milliseconds.
type latencySummary struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// processUsage is what one process has used.
type processUsage struct {
	Role            string  `json:"role"`
	CPUSeconds      float64 `json:"cpu_seconds"`
	PeakMemoryMiB   float64 `json:"peak_memory_mib"`
	RequestsPerCore float64 `json:"requests_per_second_per_core"`
}

// overheadReport is the result of the measurement.
type overheadReport struct {
	Capacity  float64        `json:"capacity_requests_per_second"`
	Load      float64        `json:"load_requests_per_second"`
	Requests  int64          `json:"requests"`
	Failed    int            `json:"failed"`
	Direct    latencySummary `json:"direct"`
	Through   latencySummary `json:"through"`
	Added     latencySummary `json:"added"`
	Processes []processUsage `json:"processes"`
}

// Overhead measures what the way through ingress and backend proxy adds to a
// request, as separate processes, beside the direct way in the same run.
func Overhead(ctx context.Context, arguments OverheadArguments, out io.Writer) error {
	folder, err := os.MkdirTemp("", "hemlockbench-overhead-")
	if err != nil {
		return errors.Wrap(err, "make a folder for the fleet")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	rig, err := startOverheadRig(ctx, folder)
	if err != nil {
		return err
	}
	report, err := rig.measure(ctx, arguments)
	if err != nil {
		rig.kill()
		return err
	}
	if err := rig.stop(report); err != nil {
		return err
	}
	return report.print(out, arguments.JSON)
}

func overheadDocument() *fleetconfig.Document {
	return &fleetconfig.Document{
		Version:  1,
		Accounts: []fleetconfig.Account{{ID: "load", RatePerSecond: 1e6, Burst: 1e6}},
		Keys:     []fleetconfig.Key{{Hash: fleetconfig.HashKey(overheadKey), Account: "load"}},
		Routes:   []fleetconfig.Route{{ID: "all", PathPrefix: "/", Service: "catalogue"}},
		Services: []fleetconfig.Service{{Name: "catalogue"}},
	}
}

// overheadRig is one ingress, one instance with a backend server beside it, and
// the backend server, each a process of its own.
type overheadRig struct {
	layout    *testbed.Layout
	processes []*testbed.Process
	roles     []string
	through   int64
}

func startOverheadRig(ctx context.Context, folder string) (*overheadRig, error) {
	layout, err := testbed.Create(folder, testbed.Specs(2, 1, 2))
	if err != nil {
		return nil, err
	}
	document := filepath.Join(folder, "document.json")
	data, err := json.Marshal(overheadDocument())
	if err == nil {
		err = os.WriteFile(document, data, 0o600)
	}
	if err != nil {
		return nil, errors.Wrap(err, "write the configuration")
	}
	rig := &overheadRig{layout: layout}
	executable, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the executable")
	}
	start := func(role string, arguments ...string) error {
		process, err := testbed.StartProcess(executable, filepath.Join(folder, role+".log"), arguments...)
		if err == nil {
			rig.processes = append(rig.processes, process)
			rig.roles = append(rig.roles, role)
		}
		return err
	}
	err = errors.CombineErrors(err, start("ingress", "daemon", "-c", layout.Instances[0].SettingsFile, "--static-configuration", document))
	err = errors.CombineErrors(err, start("backendproxy", "daemon", "-c", layout.Instances[1].SettingsFile, "--static-configuration", document))
	err = errors.CombineErrors(err, start("backend", "backend", "--listen", overheadBackend, "--local", layout.Instances[1].Local,
		"--slots", fmt.Sprint(overheadSlots), "--service-time", "0s"))
	if err != nil {
		rig.kill()
		return nil, err
	}
	return rig, rig.waitReady(ctx)
}

// waitReady waits until a request passes.
func (r *overheadRig) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	client := newLoadClient(1)
	defer client.CloseIdleConnections()
	for {
		err := sendOne(ctx, client, r.throughTarget())
		if err == nil {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(readyPoll)) {
			r.kill()
			return errors.Wrap(err, "the fleet did not become ready")
		}
	}
}

func (r *overheadRig) throughTarget() target {
	return target{url: "http://" + r.layout.Instances[0].Callers + "/lookup", key: overheadKey}
}

func (r *overheadRig) measure(ctx context.Context, arguments OverheadArguments) (*overheadReport, error) {
	client := newLoadClient(overheadWorkers)
	defer client.CloseIdleConnections()
	capacity := (&closedLoop{client: client, workers: overheadWorkers, length: capacityLength}).run(ctx, r.throughTarget())
	r.through += capacity.latency.TotalCount()
	rate := capacity.rate() * arguments.Share
	if rate <= 0 {
		return nil, errors.New("no request passed; look at the logs of the processes")
	}
	paced := &closedLoop{
		client:  client,
		workers: overheadWorkers,
		pace:    time.Duration(float64(overheadWorkers) / rate * float64(time.Second)),
		length:  warmUpLength,
	}
	direct := target{url: "http://" + overheadBackend + "/lookup"}
	paced.run(ctx, direct)
	r.through += paced.run(ctx, r.throughTarget()).latency.TotalCount()
	paced.length = segmentLength
	straight, through := newLoadResult(), newLoadResult()
	for range arguments.Rounds {
		straight.merge(paced.run(ctx, direct))
		through.merge(paced.run(ctx, r.throughTarget()))
	}
	r.through += through.latency.TotalCount()
	report := &overheadReport{
		Capacity: capacity.rate(),
		Load:     through.rate(),
		Requests: through.latency.TotalCount(),
		Failed:   straight.failed + through.failed + capacity.failed,
		Direct:   summarize(straight.latency),
		Through:  summarize(through.latency),
	}
	report.Added = latencySummary{
		P50:  report.Through.P50 - report.Direct.P50,
		P99:  report.Through.P99 - report.Direct.P99,
		P999: report.Through.P999 - report.Direct.P999,
	}
	return report, nil
}

func summarize(histogram *hdrhistogram.Histogram) latencySummary {
	return latencySummary{
		P50:  float64(histogram.ValueAtQuantile(50)) / microsPerMilli,
		P99:  float64(histogram.ValueAtQuantile(99)) / microsPerMilli,
		P999: float64(histogram.ValueAtQuantile(99.9)) / microsPerMilli,
	}
}

// stop ends the processes and reads what they have used.
func (r *overheadRig) stop(report *overheadReport) error {
	for i := len(r.processes) - 1; i >= 0; i-- {
		if err := r.processes[i].Terminate(processStopLimit); err != nil {
			return errors.Wrapf(err, "stop the %s", r.roles[i])
		}
	}
	const mebibyte = 1 << 20
	for i, process := range r.processes {
		cpu, memory := process.Usage()
		report.Processes = append(report.Processes, processUsage{
			Role:            r.roles[i],
			CPUSeconds:      cpu.Seconds(),
			PeakMemoryMiB:   float64(memory) / mebibyte,
			RequestsPerCore: float64(r.through) / cpu.Seconds(),
		})
	}
	return nil
}

func (r *overheadRig) kill() {
	for _, process := range r.processes {
		process.Kill()
	}
}

func (r *overheadReport) print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(r), "print the report")
	}
	_, _ = fmt.Fprintf(out, "capacity %.0f requests/s, load %.0f requests/s, %d requests, %d failed\n", r.Capacity, r.Load, r.Requests, r.Failed)
	_, _ = fmt.Fprintf(out, "%-8s %10s %10s %10s\n", "", "p50 ms", "p99 ms", "p99.9 ms")
	rows := []struct {
		name    string
		summary latencySummary
	}{{"direct", r.Direct}, {"through", r.Through}, {"added", r.Added}}
	for _, row := range rows {
		_, _ = fmt.Fprintf(out, "%-8s %10.3f %10.3f %10.3f\n", row.name, row.summary.P50, row.summary.P99, row.summary.P999)
	}
	for _, process := range r.Processes {
		_, _ = fmt.Fprintf(out, "%-14s %8.0f requests/s per core, peak memory %.1f MiB\n", process.Role, process.RequestsPerCore, process.PeakMemoryMiB)
	}
	return nil
}
