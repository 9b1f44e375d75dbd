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
	// settleTime is the wait after the start of a fleet, before it is idle.
	settleTime = 6 * time.Second
	// idleDuration is how long an idle fleet is measured.
	idleDuration = 10 * time.Second
	// scaleChangeCount is the number of configuration changes, made one after the other.
	scaleChangeCount = 20
	// versionPollInterval is the interval at which an instance is polled for its
	// configuration version.
	versionPollInterval = 5 * time.Millisecond
	bytesPerMiB         = 1 << 20
	percent             = 100
)

// scaleSize is the result for one fleet size.
type scaleSize struct {
	Instances int `json:"instances"`
	// StartSeconds is the time from the start of the first process until all instances
	// serve.
	StartSeconds float64 `json:"start_seconds"`
	// All, Control, Leader, Proxies and WithoutShards are the resource usage of idle
	// instances: of all instances, of those with the control role, of the control leader
	// (if it led at both readings), of those without the control role, and of those
	// without the control role that own no shard. The last may still be replicas of
	// shards.
	All           idleUsage      `json:"all"`
	Control       idleUsage      `json:"control"`
	Leader        idleUsage      `json:"control_leader"`
	Proxies       idleUsage      `json:"proxies"`
	WithoutShards idleUsage      `json:"proxies_without_owned_shard"`
	Changes       changeLatency  `json:"changes"`
	Failover      failoverResult `json:"failover"`
}

// idleUsage is the mean and the maximum resource usage of an idle instance in a group of
// instances.
type idleUsage struct {
	Instances      int     `json:"instances"`
	CorePercent    float64 `json:"core_percent"`
	MaxCorePercent float64 `json:"core_percent_most"`
	// Sent and Received are UDP payload bytes per second on the fleet port.
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

// changeLatency holds the times until a change was accepted, and until it was active on
// every instance, since the operator's call started.
type changeLatency struct {
	Count       int     `json:"count"`
	AcceptedP50 float64 `json:"accepted_p50_ms"`
	ActiveP50   float64 `json:"in_force_p50_ms"`
	ActiveMax   float64 `json:"in_force_worst_ms"`
	// PerSecond is the number of changes that became active per second, each made after
	// the previous one was active on every instance.
	PerSecond float64 `json:"changes_per_second"`
}

// failoverResult is the time until every shard had an owner again after the instance
// that owned the most shards was killed.
type failoverResult struct {
	Killed      fleetconfig.InstanceID `json:"victim"`
	Control     bool                   `json:"victim_had_control"`
	OwnedShards int                    `json:"held_shards"`
	Shards      int                    `json:"shards"`
	Seconds     float64                `json:"seconds"`
}

// scaleMeasurement measures a running fleet of one size.
type scaleMeasurement struct {
	fleet  *testbed.Fleet
	result *scaleSize
}

// reading holds the counters of one instance at one time.
type reading struct {
	at        time.Time
	sample    testbed.Sample
	readiness *testbed.Readiness
}

func (m *scaleMeasurement) read() ([]reading, error) {
	readings := make([]reading, len(m.fleet.Daemons))
	for i, daemon := range m.fleet.Daemons {
		ready, err := m.fleet.Readiness(i)
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

// measureIdle measures the resource usage without requests and changes.
func (m *scaleMeasurement) measureIdle(ctx context.Context) error {
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	before, err := m.read()
	if err != nil {
		return err
	}
	if err := wait(ctx, idleDuration); err != nil {
		return err
	}
	after, err := m.read()
	if err != nil {
		return err
	}
	for i := range after {
		for _, use := range m.groupsForInstance(i, &before[i], &after[i]) {
			use.addInstance(&before[i], &after[i])
		}
	}
	for _, use := range []*idleUsage{&m.result.All, &m.result.Control, &m.result.Leader, &m.result.Proxies, &m.result.WithoutShards} {
		use.computeMeans()
	}
	return nil
}

// groupsForInstance returns the groups that an instance belongs to.
func (m *scaleMeasurement) groupsForInstance(instance int, before, after *reading) []*idleUsage {
	if m.fleet.Layout.Instances[instance].Control {
		groups := []*idleUsage{&m.result.All, &m.result.Control}
		if before.readiness.IsLeader && after.readiness.IsLeader {
			groups = append(groups, &m.result.Leader)
		}
		return groups
	}
	groups := []*idleUsage{&m.result.All, &m.result.Proxies}
	if before.readiness.OwnedShards == 0 && after.readiness.OwnedShards == 0 {
		groups = append(groups, &m.result.WithoutShards)
	}
	return groups
}

// addInstance adds the usage of one instance to the sums and maxima.
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

// computeMeans replaces the sums by means.
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

// measureChanges makes configuration changes one after the other, and waits after each
// until it is active on every instance.
func (m *scaleMeasurement) measureChanges(ctx context.Context) error {
	var accepted, active []float64
	started := time.Now()
	for i := range scaleChangeCount {
		account := &fleetconfig.Account{ID: scaleAccount, RatePerSecond: float64(i + 2), Burst: 1}
		start := time.Now()
		version, err := m.fleet.ApplyChanges(ctx, fleetconfig.Change{Kind: fleetconfig.UpdateAccount, Account: account})
		if err != nil {
			return err
		}
		accepted = append(accepted, milliseconds(time.Since(start)))
		if err := m.waitVersion(ctx, version); err != nil {
			return err
		}
		active = append(active, milliseconds(time.Since(start)))
	}
	elapsed := time.Since(started).Seconds()
	slices.Sort(accepted)
	slices.Sort(active)
	m.result.Changes = changeLatency{
		Count:       len(active),
		AcceptedP50: accepted[len(accepted)/2],
		ActiveP50:   active[len(active)/2],
		ActiveMax:   active[len(active)-1],
		PerSecond:   float64(len(active)) / elapsed,
	}
	return nil
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * unitFactor }

// waitVersion waits until all instances have the version or a newer one. It polls them
// concurrently.
func (m *scaleMeasurement) waitVersion(ctx context.Context, version uint64) error {
	errs := make([]error, len(m.fleet.Daemons))
	var group sync.WaitGroup
	for i := range m.fleet.Daemons {
		group.Go(func() { errs[i] = m.waitInstance(ctx, i, version) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (m *scaleMeasurement) waitInstance(ctx context.Context, instance int, version uint64) error {
	for {
		ready, err := m.fleet.Readiness(instance)
		if err == nil && ready.Version >= version {
			return nil
		}
		if err := wait(ctx, versionPollInterval); err != nil {
			return errors.Wrapf(err, "instance %d does not have version %d", instance, version)
		}
	}
}

// measureFailover kills the instance that owns the most shards and waits until
// every shard has an owner again.
func (m *scaleMeasurement) measureFailover(ctx context.Context) error {
	readings, err := m.read()
	if err != nil {
		return err
	}
	killed := 0
	for i := range readings {
		if readings[i].readiness.OwnedShards > readings[killed].readiness.OwnedShards {
			killed = i
		}
	}
	instance := &m.fleet.Layout.Instances[killed]
	before := readings[killed].readiness
	started := time.Now()
	m.fleet.KillDaemon(killed)
	err = testbed.WaitUntil(ctx, "an owner of every shard", func() bool { return m.countOwnedShards() == before.Shards })
	m.result.Failover = failoverResult{
		Killed:      instance.ID,
		Control:     instance.Control,
		OwnedShards: before.OwnedShards,
		Shards:      before.Shards,
		Seconds:     time.Since(started).Seconds(),
	}
	return err
}

// countOwnedShards returns the number of shards that the running instances own in total.
func (m *scaleMeasurement) countOwnedShards() int {
	owned := make([]int, len(m.fleet.Daemons))
	var group sync.WaitGroup
	for i, daemon := range m.fleet.Daemons {
		if daemon == nil {
			continue
		}
		group.Go(func() {
			if ready, err := m.fleet.Readiness(i); err == nil {
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
