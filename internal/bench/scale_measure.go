package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

const (
	// settleTime lets a fleet come to rest after its start.
	settleTime = 6 * time.Second
	// idleDuration is how long a fleet is measured at rest.
	idleDuration = 10 * time.Second
	// scaleChangeCount is how many changes are made one after the other.
	scaleChangeCount = 20
	// versionPollInterval is how often an instance is asked for its version.
	versionPollInterval = 5 * time.Millisecond
	bytesPerMiB         = 1 << 20
	percent             = 100
)

// scaleSize is the result for one fleet size.
type scaleSize struct {
	Instances int `json:"instances"`
	// StartSeconds is from the first process to the moment when all serve.
	StartSeconds float64 `json:"start_seconds"`
	// All, Control and Proxies are what instances used at rest: all of them, those
	// with the control role, and the others. Leader is the one that led control
	// before and after. Shardless are those of the others that
	// own no shard; they may still be replicas.
	All           idleUsage      `json:"all"`
	Control       idleUsage      `json:"control"`
	Leader        idleUsage      `json:"control_leader"`
	Proxies       idleUsage      `json:"proxies"`
	WithoutShards idleUsage      `json:"proxies_without_owned_shard"`
	Changes       changeLatency  `json:"changes"`
	Failover      failoverResult `json:"failover"`
}

// idleUsage is the mean and the highest use of an instance at rest.
type idleUsage struct {
	Instances      int     `json:"instances"`
	CorePercent    float64 `json:"core_percent"`
	MaxCorePercent float64 `json:"core_percent_most"`
	// Sent and Received are UDP payload bytes a second on the fleet port.
	Sent            float64 `json:"sent_bytes_per_second"`
	MaxSent         float64 `json:"sent_bytes_per_second_most"`
	Received        float64 `json:"received_bytes_per_second"`
	MaxReceived     float64 `json:"received_bytes_per_second_most"`
	SentPackets     float64 `json:"sent_packets_per_second"`
	ReceivedPackets float64 `json:"received_packets_per_second"`
	ResidentMiB     float64 `json:"resident_mib"`
	MaxResidentMiB  float64 `json:"resident_mib_most"`
	OwnedShards     float64 `json:"held_shards"`
}

// changeLatency says how fast changes were in force on every instance, counted from
// the moment when the operator's call began.
type changeLatency struct {
	Count        int     `json:"count"`
	AcceptedP50  float64 `json:"accepted_p50_ms"`
	InForceP50   float64 `json:"in_force_p50_ms"`
	InForceWorst float64 `json:"in_force_worst_ms"`
	// PerSecond is how many changes a second came into force, each made after the
	// last was in force everywhere.
	PerSecond float64 `json:"changes_per_second"`
}

// failoverResult says how long shards had no owner after the instance that owned
// the most was killed.
type failoverResult struct {
	Killed      fleetconfig.InstanceID `json:"victim"`
	Control     bool                   `json:"victim_had_control"`
	OwnedShards int                    `json:"held_shards"`
	Shards      int                    `json:"shards"`
	Seconds     float64                `json:"seconds"`
}

// scaleFleet measures one running fleet.
type scaleFleet struct {
	fleet  *testbed.Fleet
	result *scaleSize
}

// reading is one instance's counters at a moment.
type reading struct {
	at        time.Time
	sample    testbed.Sample
	readiness *testbed.Readiness
}

func (r *scaleFleet) read() ([]reading, error) {
	readings := make([]reading, len(r.fleet.Daemons))
	for i, daemon := range r.fleet.Daemons {
		ready, err := r.fleet.Readiness(i)
		if err != nil {
			return nil, err
		}
		sample, err := daemon.Sample()
		if err != nil {
			return nil, err
		}
		readings[i] = reading{at: time.Now(), sample: sample, readiness: ready}
	}
	return readings, nil
}

// measureIdle measures the fleet while nothing happens: no requests, no changes.
func (r *scaleFleet) measureIdle(ctx context.Context) error {
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	before, err := r.read()
	if err != nil {
		return err
	}
	if err := wait(ctx, idleDuration); err != nil {
		return err
	}
	after, err := r.read()
	if err != nil {
		return err
	}
	for i := range after {
		for _, use := range r.groupsForInstance(i, &before[i], &after[i]) {
			use.addInstance(&before[i], &after[i])
		}
	}
	for _, use := range []*idleUsage{&r.result.All, &r.result.Control, &r.result.Leader, &r.result.Proxies, &r.result.WithoutShards} {
		use.computeMeans()
	}
	return nil
}

// groupsForInstance returns the groups that an instance is counted in.
func (r *scaleFleet) groupsForInstance(instance int, before, after *reading) []*idleUsage {
	if r.fleet.Layout.Instances[instance].Control {
		groups := []*idleUsage{&r.result.All, &r.result.Control}
		if before.readiness.IsLeader && after.readiness.IsLeader {
			groups = append(groups, &r.result.Leader)
		}
		return groups
	}
	groups := []*idleUsage{&r.result.All, &r.result.Proxies}
	if before.readiness.OwnedShards == 0 && after.readiness.OwnedShards == 0 {
		groups = append(groups, &r.result.WithoutShards)
	}
	return groups
}

// addInstance adds one instance to the sums.
func (u *idleUsage) addInstance(before, after *reading) {
	seconds := after.at.Sub(before.at).Seconds()
	core := (after.sample.CPU - before.sample.CPU).Seconds() / seconds * percent
	sent := float64(after.readiness.SentBytes-before.readiness.SentBytes) / seconds
	received := float64(after.readiness.ReceivedBytes-before.readiness.ReceivedBytes) / seconds
	resident := float64(after.sample.ResidentBytes) / bytesPerMiB
	u.Instances++
	u.CorePercent += core
	u.MaxCorePercent = max(u.MaxCorePercent, core)
	u.Sent += sent
	u.MaxSent = max(u.MaxSent, sent)
	u.Received += received
	u.MaxReceived = max(u.MaxReceived, received)
	u.SentPackets += float64(after.readiness.SentPackets-before.readiness.SentPackets) / seconds
	u.ReceivedPackets += float64(after.readiness.ReceivedPackets-before.readiness.ReceivedPackets) / seconds
	u.ResidentMiB += resident
	u.MaxResidentMiB = max(u.MaxResidentMiB, resident)
	u.OwnedShards += float64(after.readiness.OwnedShards)
}

// computeMeans turns the sums into means.
func (u *idleUsage) computeMeans() {
	if u.Instances == 0 {
		return
	}
	n := float64(u.Instances)
	for _, sum := range []*float64{
		&u.CorePercent, &u.Sent, &u.Received, &u.SentPackets, &u.ReceivedPackets, &u.ResidentMiB, &u.OwnedShards,
	} {
		*sum /= n
	}
}

// measureChanges makes changes one after the other and waits each time until every
// instance serves from the new configuration.
func (r *scaleFleet) measureChanges(ctx context.Context) error {
	var accepted, inForce []float64
	started := time.Now()
	for i := range scaleChangeCount {
		account := &fleetconfig.Account{ID: scaleAccount, RatePerSecond: float64(i + 2), Burst: 1}
		start := time.Now()
		version, err := r.fleet.ApplyChanges(ctx, fleetconfig.Change{Kind: fleetconfig.UpdateAccount, Account: account})
		if err != nil {
			return err
		}
		accepted = append(accepted, milliseconds(time.Since(start)))
		if err := r.waitVersion(ctx, version); err != nil {
			return err
		}
		inForce = append(inForce, milliseconds(time.Since(start)))
	}
	elapsed := time.Since(started).Seconds()
	slices.Sort(accepted)
	slices.Sort(inForce)
	r.result.Changes = changeLatency{
		Count:        len(inForce),
		AcceptedP50:  accepted[len(accepted)/2],
		InForceP50:   inForce[len(inForce)/2],
		InForceWorst: inForce[len(inForce)-1],
		PerSecond:    float64(len(inForce)) / elapsed,
	}
	return nil
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * microsPerMilli }

// waitVersion waits until all instances serve from the version or a newer one.
// They are asked side by side.
func (r *scaleFleet) waitVersion(ctx context.Context, version uint64) error {
	errs := make([]error, len(r.fleet.Daemons))
	var group sync.WaitGroup
	for i := range r.fleet.Daemons {
		group.Go(func() { errs[i] = r.waitInstance(ctx, i, version) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (r *scaleFleet) waitInstance(ctx context.Context, instance int, version uint64) error {
	for {
		ready, err := r.fleet.Readiness(instance)
		if err == nil && ready.Version >= version {
			return nil
		}
		if err := wait(ctx, versionPollInterval); err != nil {
			return errors.Wrapf(err, "instance %d has no version %d", instance, version)
		}
	}
}

// measureFailover kills the instance that owns the most shards and waits until
// every shard has an owner again.
func (r *scaleFleet) measureFailover(ctx context.Context) error {
	readings, err := r.read()
	if err != nil {
		return err
	}
	killed := 0
	for i := range readings {
		if readings[i].readiness.OwnedShards > readings[killed].readiness.OwnedShards {
			killed = i
		}
	}
	instance := &r.fleet.Layout.Instances[killed]
	before := readings[killed].readiness
	started := time.Now()
	r.fleet.KillDaemon(killed)
	err = testbed.WaitUntil(ctx, "an owner of every shard", func() bool { return r.countOwnedShards() == before.Shards })
	r.result.Failover = failoverResult{
		Killed:      instance.ID,
		Control:     instance.Control,
		OwnedShards: before.OwnedShards,
		Shards:      before.Shards,
		Seconds:     time.Since(started).Seconds(),
	}
	return err
}

// countOwnedShards adds up what the running instances own.
func (r *scaleFleet) countOwnedShards() int {
	owned := make([]int, len(r.fleet.Daemons))
	var group sync.WaitGroup
	for i, daemon := range r.fleet.Daemons {
		if daemon == nil {
			continue
		}
		group.Go(func() {
			if ready, err := r.fleet.Readiness(i); err == nil {
				owned[i] = ready.OwnedShards
			}
		})
	}
	group.Wait()
	total := 0
	for _, count := range owned {
		total += count
	}
	return total
}
