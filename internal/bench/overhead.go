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
	// The fleet has one dedicated control instance and five proxies, so that each shard
	// has five replicas.
	overheadProxies        = 5
	overheadFailureDomains = 3
	// overheadIngress is the index of the instance that receives the requests,
	// overheadBackend that of the instance with the backend server.
	overheadIngress = 1
	overheadBackend = 2
	// orderLoadRatio is the request rate of orders divided by that of lookups.
	orderLoadRatio = 0.25
	// overheadPath requests a response body of 512 bytes.
	overheadPath = "/lookup?size=512"
	// overheadRate is the rate and the burst of the account, far above the load.
	overheadRate       = 1_000_000
	processStopTimeout = 20 * time.Second
	readyTimeout       = 30 * time.Second
	// unitFactor is the factor between microseconds and milliseconds, and between
	// milliseconds and seconds.
	unitFactor = 1000
)

// OverheadArguments is the command line of the overhead measurement.
type OverheadArguments struct {
	// JSON prints JSON instead of a table.
	JSON bool `arg:"--json" help:"print JSON"`
	// Rounds is the number of rounds. A round measures lookups sent directly, lookups
	// through the fleet and orders, one segment each.
	Rounds int `arg:"--rounds" default:"6" help:"number of rounds; each measures direct, proxied and order requests"`
	// Share is the load of lookups as a share of the measured capacity.
	Share float64 `arg:"--share" default:"0.4" help:"load as a share of the measured capacity"`
}

// latencySummary holds quantiles of a latency distribution, or the differences between the
// quantiles of two distributions, in milliseconds.
type latencySummary struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// processUsage is the resource usage of one process.
type processUsage struct {
	Role          string  `json:"role"`
	CPUSeconds    float64 `json:"cpu_seconds"`
	PeakMemoryMiB float64 `json:"peak_memory_mib"`
	// RequestsPerCore is the number of successful requests through the fleet divided by
	// the CPU time of the process. The CPU time of the backend server includes the
	// requests sent directly, which are not counted.
	RequestsPerCore float64 `json:"requests_per_second_per_core"`
}

// overheadReport is the result of the measurement.
type overheadReport struct {
	Capacity float64 `json:"capacity_requests_per_second"`
	Load     float64 `json:"load_requests_per_second"`
	// Requests is the number of successful lookups through the fleet in the rounds.
	Requests int64 `json:"requests"`
	// Failed is the number of failed requests of the capacity measurement and of all
	// segments of the rounds.
	Failed int            `json:"failed"`
	Direct latencySummary `json:"direct"`
	// Proxied is the latency of the lookups through the fleet.
	Proxied latencySummary `json:"through"`
	// Added holds the quantiles of Proxied minus those of Direct.
	Added     latencySummary `json:"added"`
	Orders    latencySummary `json:"orders"`
	OrderLoad float64        `json:"order_load_requests_per_second"`
	Processes []processUsage `json:"processes"`
	// Failures has one line for each reason of failed requests.
	Failures []string `json:"failures,omitempty"`
}

// Overhead measures the latency that ingress and backend proxy, as separate processes,
// add to a request. Requests through them and requests sent directly to the backend
// server are interleaved in the same run.
func Overhead(ctx context.Context, arguments OverheadArguments, out io.Writer) error {
	folder, err := os.MkdirTemp("", "hemlockbench-overhead-")
	if err != nil {
		return errors.Wrap(err, "create the fleet's folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	measurement, err := startOverheadMeasurement(ctx, folder)
	if err != nil {
		return err
	}
	report, err := measurement.measure(ctx, arguments)
	if err != nil {
		measurement.fleet.Kill()
		return err
	}
	if err := measurement.stop(report); err != nil {
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

// overheadMeasurement measures a fleet in which the ingress, the backend proxy and the
// backend server are processes of their own.
type overheadMeasurement struct {
	fleet           *testbed.Fleet
	proxiedRequests int64
}

func startOverheadMeasurement(ctx context.Context, folder string) (*overheadMeasurement, error) {
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
	return &overheadMeasurement{fleet: fleet}, nil
}

func (m *overheadMeasurement) proxiedTarget() target {
	return target{url: "http://" + m.fleet.Layout.Instances[overheadIngress].CallerAddress + overheadPath, key: overheadKey}
}

func (m *overheadMeasurement) measure(ctx context.Context, arguments OverheadArguments) (*overheadReport, error) {
	client := newLoadClient(overheadWorkers)
	defer client.CloseIdleConnections()
	capacity := (&closedLoop{client: client, workers: overheadWorkers, duration: capacityDuration}).run(ctx, m.proxiedTarget())
	m.proxiedRequests += capacity.latency.TotalCount()
	rate := capacity.rate() * arguments.Share
	if rate <= 0 {
		return nil, errors.New("no request succeeded, or --share is not positive")
	}
	lookupLoop := &closedLoop{
		client:   client,
		workers:  overheadWorkers,
		interval: time.Duration(float64(overheadWorkers) / rate * float64(time.Second)),
		duration: warmUpDuration,
	}
	direct := target{url: "http://" + m.fleet.BackendAddresses[0] + overheadPath}
	lookupLoop.run(ctx, direct)
	m.proxiedRequests += lookupLoop.run(ctx, m.proxiedTarget()).latency.TotalCount()
	lookupLoop.duration = segmentDuration
	orderLoop := *lookupLoop
	orderLoop.interval = time.Duration(float64(lookupLoop.interval) / orderLoadRatio)
	orderTarget := m.proxiedTarget()
	orderTarget.orders = true
	directResult, proxiedResult, orderResult := newLoadResult(), newLoadResult(), newLoadResult()
	for range arguments.Rounds {
		directResult.merge(lookupLoop.run(ctx, direct))
		proxiedResult.merge(lookupLoop.run(ctx, m.proxiedTarget()))
		orderResult.merge(orderLoop.run(ctx, orderTarget))
	}
	m.proxiedRequests += proxiedResult.latency.TotalCount() + orderResult.latency.TotalCount()
	report := &overheadReport{
		Capacity:  capacity.rate(),
		Load:      proxiedResult.rate(),
		Requests:  proxiedResult.latency.TotalCount(),
		Failed:    directResult.failed + proxiedResult.failed + capacity.failed + orderResult.failed,
		Orders:    summarize(orderResult.latency),
		OrderLoad: orderResult.rate(),
		Failures:  formatFailures(capacity, directResult, proxiedResult, orderResult),
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

// formatFailures returns a line for each reason of failed requests, with its count.
func formatFailures(results ...*loadResult) []string {
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
		P50:  float64(histogram.ValueAtQuantile(50)) / unitFactor,
		P99:  float64(histogram.ValueAtQuantile(99)) / unitFactor,
		P999: float64(histogram.ValueAtQuantile(99.9)) / unitFactor,
	}
}

// stop stops the processes and adds their resource usage to the report.
func (m *overheadMeasurement) stop(report *overheadReport) error {
	roles := []string{"ingress", "backendproxy", "backend"}
	processes := []*testbed.Process{m.fleet.Daemons[overheadIngress], m.fleet.Daemons[overheadBackend], m.fleet.Backends[0]}
	for i, process := range processes {
		if err := process.Terminate(processStopTimeout); err != nil {
			return errors.Wrapf(err, "stop the %s", roles[i])
		}
	}
	m.fleet.Kill()
	const mebibyte = 1 << 20
	for i, process := range processes {
		cpu, memory := process.Usage()
		report.Processes = append(report.Processes, processUsage{
			Role:            roles[i],
			CPUSeconds:      cpu.Seconds(),
			PeakMemoryMiB:   float64(memory) / mebibyte,
			RequestsPerCore: float64(m.proxiedRequests) / cpu.Seconds(),
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
	_, _ = fmt.Fprintf(out, "capacity %.0f requests/s, load %.0f requests/s, %d lookups through the fleet succeeded, %d requests failed (capacity, direct, proxied and orders)\n", r.Capacity, r.Load, r.Requests, r.Failed)
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
