package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
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
	capacityDuration = 3 * time.Second
	segmentDuration  = 2 * time.Second
	warmUpDuration   = time.Second
	overheadService  = "catalogue"
	// The fleet has one instance set aside for control and five proxies, so that
	// each shard has five replicas.
	overheadProxies        = 5
	overheadFailureDomains = 3
	// overheadIngress takes the requests; overheadServing has the backend server.
	overheadIngress = 1
	overheadBackend = 2
	// orderLoadRatio is the load of orders as a share of that of lookups.
	orderLoadRatio = 0.25
	// overheadPath asks for an answer of 512 bytes.
	overheadPath       = "/lookup?size=512"
	overheadRate       = 1_000_000
	processStopTimeout = 20 * time.Second
	readyTimeout       = 30 * time.Second
	microsPerMilli     = 1000
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
	Proxied   latencySummary `json:"through"`
	Added     latencySummary `json:"added"`
	Orders    latencySummary `json:"orders"`
	OrderLoad float64        `json:"order_load_requests_per_second"`
	Processes []processUsage `json:"processes"`
	// Failures names the failed requests by their reason.
	Failures []string `json:"failures,omitempty"`
}

// Overhead measures what the way through ingress and backend proxy adds to a
// request, as separate processes, beside the direct way in the same run.
func Overhead(ctx context.Context, arguments OverheadArguments, out io.Writer) error {
	folder, err := os.MkdirTemp("", "hemlockbench-overhead-")
	if err != nil {
		return errors.Wrap(err, "make a folder for the fleet")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	fleet, err := startOverheadFleet(ctx, folder)
	if err != nil {
		return err
	}
	report, err := fleet.measure(ctx, arguments)
	if err != nil {
		fleet.fleet.Kill()
		return err
	}
	if err := fleet.stop(report); err != nil {
		return err
	}
	return report.print(out, arguments.JSON)
}

func overheadChanges() []fleetconfig.Change {
	key := &fleetconfig.Key{Hash: fleetconfig.HashKey(overheadKey), Account: "load"}
	return []fleetconfig.Change{
		{Kind: fleetconfig.CreateService, Service: &fleetconfig.Service{Name: overheadService, FloorPercent: 50}},
		{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: "all", PathPrefix: "/", Service: overheadService}},
		{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: "load", RatePerSecond: overheadRate, Burst: overheadRate}},
		{Kind: fleetconfig.GiveKey, Key: key},
	}
}

// overheadFleet is one ingress, one instance with a backend server beside it, and
// the backend server, each a process of its own.
type overheadFleet struct {
	fleet           *testbed.Fleet
	proxiedRequests int64
}

func startOverheadFleet(ctx context.Context, folder string) (*overheadFleet, error) {
	layout, err := testbed.Create(folder, testbed.SpecsWithDedicatedControl(1, overheadProxies, overheadFailureDomains))
	if err != nil {
		return nil, err
	}
	fleet, err := testbed.StartFleet(layout, testbed.BackendSpec{Service: overheadService, Slots: overheadSlots, Instances: []int{overheadBackend}})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	version, err := fleet.ApplyChanges(ctx, overheadChanges()...)
	if err == nil {
		err = fleet.WaitServing(ctx, version)
	}
	if err != nil {
		fleet.Kill()
		return nil, err
	}
	return &overheadFleet{fleet: fleet}, nil
}

func (r *overheadFleet) proxiedTarget() target {
	return target{url: "http://" + r.fleet.Layout.Instances[overheadIngress].CallerAddress + overheadPath, key: overheadKey}
}

func (r *overheadFleet) measure(ctx context.Context, arguments OverheadArguments) (*overheadReport, error) {
	client := newLoadClient(overheadWorkers)
	defer client.CloseIdleConnections()
	capacity := (&closedLoop{client: client, workers: overheadWorkers, duration: capacityDuration}).run(ctx, r.proxiedTarget())
	r.proxiedRequests += capacity.latency.TotalCount()
	rate := capacity.rate() * arguments.Share
	if rate <= 0 {
		return nil, errors.New("no request passed; look at the logs of the processes")
	}
	lookupLoop := &closedLoop{
		client:   client,
		workers:  overheadWorkers,
		interval: time.Duration(float64(overheadWorkers) / rate * float64(time.Second)),
		duration: warmUpDuration,
	}
	direct := target{url: "http://" + r.fleet.BackendAddresses[0] + overheadPath}
	lookupLoop.run(ctx, direct)
	r.proxiedRequests += lookupLoop.run(ctx, r.proxiedTarget()).latency.TotalCount()
	lookupLoop.duration = segmentDuration
	orderLoop := *lookupLoop
	orderLoop.interval = time.Duration(float64(lookupLoop.interval) / orderLoadRatio)
	orderTarget := r.proxiedTarget()
	orderTarget.orders = true
	directResult, proxiedResult, orderResult := newLoadResult(), newLoadResult(), newLoadResult()
	for range arguments.Rounds {
		directResult.merge(lookupLoop.run(ctx, direct))
		proxiedResult.merge(lookupLoop.run(ctx, r.proxiedTarget()))
		orderResult.merge(orderLoop.run(ctx, orderTarget))
	}
	r.proxiedRequests += proxiedResult.latency.TotalCount() + orderResult.latency.TotalCount()
	report := &overheadReport{
		Capacity:  capacity.rate(),
		Load:      proxiedResult.rate(),
		Requests:  proxiedResult.latency.TotalCount(),
		Failed:    directResult.failed + proxiedResult.failed + capacity.failed + orderResult.failed,
		Orders:    summarize(orderResult.latency),
		OrderLoad: orderResult.rate(),
		Failures:  failuresOf(capacity, directResult, proxiedResult, orderResult),
		Direct:    summarize(directResult.latency),
		Proxied:   summarize(proxiedResult.latency),
	}
	report.Added = latencySummary{
		P50:  report.Proxied.P50 - report.Direct.P50,
		P99:  report.Proxied.P99 - report.Direct.P99,
		P999: report.Proxied.P999 - report.Direct.P999,
	}
	return report, nil
}

// failuresOf returns a line for each reason of failed requests.
func failuresOf(results ...*loadResult) []string {
	total := newLoadResult()
	for _, result := range results {
		total.merge(result)
	}
	var lines []string
	for reason, count := range total.failureReasons {
		lines = append(lines, fmt.Sprintf("%d failed: %s", count, reason))
	}
	slices.Sort(lines)
	return lines
}

func summarize(histogram *hdrhistogram.Histogram) latencySummary {
	return latencySummary{
		P50:  float64(histogram.ValueAtQuantile(50)) / microsPerMilli,
		P99:  float64(histogram.ValueAtQuantile(99)) / microsPerMilli,
		P999: float64(histogram.ValueAtQuantile(99.9)) / microsPerMilli,
	}
}

// stop ends the processes and reads what they have used.
func (r *overheadFleet) stop(report *overheadReport) error {
	roles := []string{"ingress", "backendproxy", "backend"}
	processes := []*testbed.Process{r.fleet.Daemons[overheadIngress], r.fleet.Daemons[overheadBackend], r.fleet.Backends[0]}
	for i, process := range processes {
		if err := process.Terminate(processStopTimeout); err != nil {
			return errors.Wrapf(err, "stop the %s", roles[i])
		}
	}
	r.fleet.Kill()
	const mebibyte = 1 << 20
	for i, process := range processes {
		cpu, memory := process.Usage()
		report.Processes = append(report.Processes, processUsage{
			Role:            roles[i],
			CPUSeconds:      cpu.Seconds(),
			PeakMemoryMiB:   float64(memory) / mebibyte,
			RequestsPerCore: float64(r.proxiedRequests) / cpu.Seconds(),
		})
	}
	return nil
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
	}{{"direct", r.Direct}, {"through", r.Proxied}, {"added", r.Added}, {"orders", r.Orders}}
	for _, row := range rows {
		_, _ = fmt.Fprintf(out, "%-8s %10.3f %10.3f %10.3f\n", row.name, row.summary.P50, row.summary.P99, row.summary.P999)
	}
	for _, line := range r.Failures {
		_, _ = fmt.Fprintln(out, line)
	}
	for _, process := range r.Processes {
		_, _ = fmt.Fprintf(out, "%-14s %8.0f requests/s per core, peak memory %.1f MiB\n", process.Role, process.RequestsPerCore, process.PeakMemoryMiB)
	}
	return nil
}
