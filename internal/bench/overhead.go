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
	overheadWorkers = 32
	overheadKey     = "overhead-key"
	overheadSlots   = 4096
	capacityLength  = 3 * time.Second
	segmentLength   = 2 * time.Second
	warmUpLength    = time.Second
	overheadService = "catalogue"
	// The fleet has one instance set aside for control and five proxies, so that
	// each shard has five replicas.
	overheadProxies = 5
	overheadDomains = 3
	// overheadIngress takes the requests; overheadServing has the backend server.
	overheadIngress = 1
	overheadServing = 2
	// orderShare is the load of orders as a share of that of lookups.
	orderShare = 0.25
	// overheadPath asks for an answer of 512 bytes.
	overheadPath     = "/lookup?size=512"
	overheadRate     = 1_000_000
	processStopLimit = 20 * time.Second
	readyLimit       = 30 * time.Second
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
	rig, err := startOverheadRig(ctx, folder)
	if err != nil {
		return err
	}
	report, err := rig.measure(ctx, arguments)
	if err != nil {
		rig.fleet.Kill()
		return err
	}
	if err := rig.stop(report); err != nil {
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

// overheadRig is one ingress, one instance with a backend server beside it, and
// the backend server, each a process of its own.
type overheadRig struct {
	fleet   *testbed.Fleet
	through int64
}

func startOverheadRig(ctx context.Context, folder string) (*overheadRig, error) {
	layout, err := testbed.Create(folder, testbed.SpecsWithDedicatedControl(1, overheadProxies, overheadDomains))
	if err != nil {
		return nil, err
	}
	fleet, err := testbed.StartFleet(layout, testbed.BackendSpec{Service: overheadService, Slots: overheadSlots, Instances: []int{overheadServing}})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	version, err := fleet.ApplyChanges(ctx, overheadChanges()...)
	if err == nil {
		err = fleet.WaitServing(ctx, version)
	}
	if err != nil {
		fleet.Kill()
		return nil, err
	}
	return &overheadRig{fleet: fleet}, nil
}

func (r *overheadRig) throughTarget() target {
	return target{url: "http://" + r.fleet.Layout.Instances[overheadIngress].CallerAddress + overheadPath, key: overheadKey}
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
	direct := target{url: "http://" + r.fleet.BackendAddresses[0] + overheadPath}
	paced.run(ctx, direct)
	r.through += paced.run(ctx, r.throughTarget()).latency.TotalCount()
	paced.length = segmentLength
	ordered := *paced
	ordered.pace = time.Duration(float64(paced.pace) / orderShare)
	orderTarget := r.throughTarget()
	orderTarget.orders = true
	straight, through, orders := newLoadResult(), newLoadResult(), newLoadResult()
	for range arguments.Rounds {
		straight.merge(paced.run(ctx, direct))
		through.merge(paced.run(ctx, r.throughTarget()))
		orders.merge(ordered.run(ctx, orderTarget))
	}
	r.through += through.latency.TotalCount() + orders.latency.TotalCount()
	report := &overheadReport{
		Capacity:  capacity.rate(),
		Load:      through.rate(),
		Requests:  through.latency.TotalCount(),
		Failed:    straight.failed + through.failed + capacity.failed + orders.failed,
		Orders:    summarize(orders.latency),
		OrderLoad: orders.rate(),
		Failures:  failuresOf(capacity, straight, through, orders),
		Direct:    summarize(straight.latency),
		Through:   summarize(through.latency),
	}
	report.Added = latencySummary{
		P50:  report.Through.P50 - report.Direct.P50,
		P99:  report.Through.P99 - report.Direct.P99,
		P999: report.Through.P999 - report.Direct.P999,
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
	for reason, count := range total.reasons {
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
func (r *overheadRig) stop(report *overheadReport) error {
	roles := []string{"ingress", "backendproxy", "backend"}
	processes := []*testbed.Process{r.fleet.Daemons[overheadIngress], r.fleet.Daemons[overheadServing], r.fleet.Backends[0]}
	for i, process := range processes {
		if err := process.Terminate(processStopLimit); err != nil {
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
			RequestsPerCore: float64(r.through) / cpu.Seconds(),
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
	}{{"direct", r.Direct}, {"through", r.Through}, {"added", r.Added}, {"orders", r.Orders}}
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
