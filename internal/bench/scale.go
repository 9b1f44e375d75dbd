package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

const (
	scaleControlInstances = 3
	scaleFailureDomains   = 3
	scaleService          = "catalogue"
	scaleSlots            = 7
	scaleAccount          = "scale"
	// maxScaleInstances is the maximum size of a fleet.
	maxScaleInstances = 50
	// scaleTimeout is the timeout of the measurement of all sizes together.
	scaleTimeout = 175 * time.Second
)

// ScaleArguments is the command line of the measurement of fleet sizes.
type ScaleArguments struct {
	// Instances lists the fleet sizes, separated by commas.
	Instances string `arg:"--instances" default:"5,22,44" help:"fleet sizes, separated by commas, each from 3 to 50 instances"`
	// JSON prints JSON instead of a table.
	JSON bool `arg:"--json" help:"print JSON"`
}

// scaleReport is the result of the measurement.
type scaleReport struct {
	// LoadBefore holds the machine's load averages over 1, 5 and 15 minutes before the
	// first fleet was started. It shows whether other work ran on the machine.
	LoadBefore string       `json:"load_average_before"`
	Sizes      []*scaleSize `json:"sizes"`
}

// Scale starts fleets of several sizes, one after the other. It measures the resource
// usage of idle instances, the time until configuration changes are active, and the time
// that shards have no owner after their owner was killed.
func Scale(ctx context.Context, arguments ScaleArguments, out io.Writer) error {
	sizes, err := parseSizes(arguments.Instances)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, scaleTimeout)
	defer cancel()
	report := &scaleReport{LoadBefore: loadAverage()}
	for _, size := range sizes {
		result, err := measureSize(ctx, size)
		if err != nil {
			return errors.Wrapf(err, "measure %d instances", size)
		}
		report.Sizes = append(report.Sizes, result)
	}
	return report.print(out, arguments.JSON)
}

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for part := range strings.SplitSeq(text, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || size < scaleControlInstances || size > maxScaleInstances {
			return nil, errors.Newf("fleet size %q must be a number from %d to %d", part, scaleControlInstances, maxScaleInstances)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// loadAverage returns the system's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	const averages = 3
	return strings.Join(strings.Fields(string(data))[:averages], " ")
}

// measureSize starts a fleet of one size, measures it and kills its processes.
func measureSize(ctx context.Context, size int) (*scaleSize, error) {
	folder, err := os.MkdirTemp("", "hemlockbench-scale-")
	if err != nil {
		return nil, errors.Wrap(err, "create the fleet's folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	layout, err := testbed.CreateProduction(folder, testbed.Specs(size, scaleControlInstances, scaleFailureDomains))
	if err != nil {
		return nil, err
	}
	started := time.Now()
	fleet, err := testbed.StartFleet(layout, testbed.BackendSpec{Service: scaleService, Slots: scaleSlots, Instances: []int{size - 1}})
	if err != nil {
		return nil, err
	}
	defer fleet.Kill()
	version, err := fleet.ApplyChanges(ctx, scaleChanges()...)
	if err != nil {
		return nil, err
	}
	if err := fleet.WaitServing(ctx, version); err != nil {
		return nil, err
	}
	result := &scaleSize{Instances: size, StartSeconds: time.Since(started).Seconds()}
	measurement := &scaleMeasurement{fleet: fleet, result: result}
	for _, step := range []func(context.Context) error{measurement.measureIdle, measurement.measureChanges, measurement.measureFailover} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func scaleChanges() []fleetconfig.Change {
	return []fleetconfig.Change{
		{Kind: fleetconfig.CreateService, Service: &fleetconfig.Service{Name: scaleService, FloorPercent: 50}},
		{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: "all", PathPrefix: "/", Service: scaleService}},
		{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: scaleAccount, RatePerSecond: 1, Burst: 1}},
	}
}

func (r *scaleReport) print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(r), "print the report")
	}
	for _, size := range r.Sizes {
		_, err := fmt.Fprintf(out, "%d instances (load average before: %s)\n"+
			"  idle, per instance: %.2f%% of a core (max %.2f%%), sent %.0f B/s (max %.0f), received %.0f B/s (max %.0f), %.1f MiB (max %.1f)\n"+
			"  %d changes: active on all instances p50 %.0f ms, max %.0f ms, %.1f changes/s\n"+
			"  owner of %d of %d shards killed: every shard has an owner after %.2f s\n",
			size.Instances, r.LoadBefore,
			size.All.CorePercent, size.All.MaxCorePercent, size.All.Sent, size.All.MaxSent,
			size.All.Received, size.All.MaxReceived, size.All.ResidentMiB, size.All.MaxResidentMiB,
			size.Changes.Count, size.Changes.ActiveP50, size.Changes.ActiveMax, size.Changes.PerSecond,
			size.Failover.OwnedShards, size.Failover.Shards, size.Failover.Seconds)
		if err != nil {
			return errors.Wrap(err, "print the report")
		}
	}
	return nil
}
