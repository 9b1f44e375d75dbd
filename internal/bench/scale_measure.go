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
	// settleLength lets a fleet come to rest after its start.
	settleLength = 6 * time.Second
	// restLength is how long a fleet is measured at rest.
	restLength = 10 * time.Second
	// scaleChangeCount is how many changes are made one after the other.
	scaleChangeCount = 20
	// versionPoll is how often an instance is asked for its version.
	versionPoll = 5 * time.Millisecond
	bytesPerMiB = 1 << 20
	percent     = 100
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
	All       restUse        `json:"all"`
	Control   restUse        `json:"control"`
	Leader    restUse        `json:"control_leader"`
	Proxies   restUse        `json:"proxies"`
	Shardless restUse        `json:"proxies_without_owned_shard"`
	Changes   changeTimes    `json:"changes"`
	Failover  failoverResult `json:"failover"`
}

// restUse is the mean and the highest use of an instance at rest.
type restUse struct {
	Instances       int     `json:"instances"`
	CorePercent     float64 `json:"core_percent"`
	CorePercentMost float64 `json:"core_percent_most"`
	// Sent and Received are UDP payload bytes a second on the fleet port.
	Sent            float64 `json:"sent_bytes_per_second"`
	SentMost        float64 `json:"sent_bytes_per_second_most"`
	Received        float64 `json:"received_bytes_per_second"`
	ReceivedMost    float64 `json:"received_bytes_per_second_most"`
	SentPackets     float64 `json:"sent_packets_per_second"`
	ReceivedPackets float64 `json:"received_packets_per_second"`
	ResidentMiB     float64 `json:"resident_mib"`
	ResidentMiBMost float64 `json:"resident_mib_most"`
	HeldShards      float64 `json:"held_shards"`
}

// changeTimes says how fast changes were in force on every instance, counted from
// the moment when the operator's call began.
type changeTimes struct {
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
	Victim     fleetconfig.InstanceID `json:"victim"`
	Control    bool                   `json:"victim_had_control"`
	HeldShards int                    `json:"held_shards"`
	Shards     int                    `json:"shards"`
	Seconds    float64                `json:"seconds"`
}

// scaleRig measures one running fleet.
type scaleRig struct {
	fleet  *testbed.Fleet
	result *scaleSize
}

// reading is one instance's counters at a moment.
type reading struct {
	at     time.Time
	sample testbed.Sample
	ready  *testbed.Readiness
}

func (r *scaleRig) read() ([]reading, error) {
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
		readings[i] = reading{at: time.Now(), sample: sample, ready: ready}
	}
	return readings, nil
}

// measureRest measures the fleet while nothing happens: no requests, no changes.
func (r *scaleRig) measureRest(ctx context.Context) error {
	if err := wait(ctx, settleLength); err != nil {
		return err
	}
	before, err := r.read()
	if err != nil {
		return err
	}
	if err := wait(ctx, restLength); err != nil {
		return err
	}
	after, err := r.read()
	if err != nil {
		return err
	}
	for i := range after {
		for _, use := range r.groupsOf(i, &before[i], &after[i]) {
			use.add(&before[i], &after[i])
		}
	}
	for _, use := range []*restUse{&r.result.All, &r.result.Control, &r.result.Leader, &r.result.Proxies, &r.result.Shardless} {
		use.finish()
	}
	return nil
}

// groupsOf returns the groups that an instance is counted in.
func (r *scaleRig) groupsOf(instance int, before, after *reading) []*restUse {
	if r.fleet.Layout.Instances[instance].Control {
		groups := []*restUse{&r.result.All, &r.result.Control}
		if before.ready.IsLeader && after.ready.IsLeader {
			groups = append(groups, &r.result.Leader)
		}
		return groups
	}
	groups := []*restUse{&r.result.All, &r.result.Proxies}
	if before.ready.OwnedShards == 0 && after.ready.OwnedShards == 0 {
		groups = append(groups, &r.result.Shardless)
	}
	return groups
}

// add adds one instance to the sums.
func (u *restUse) add(before, after *reading) {
	seconds := after.at.Sub(before.at).Seconds()
	core := (after.sample.CPU - before.sample.CPU).Seconds() / seconds * percent
	sent := float64(after.ready.SentBytes-before.ready.SentBytes) / seconds
	received := float64(after.ready.ReceivedBytes-before.ready.ReceivedBytes) / seconds
	resident := float64(after.sample.ResidentBytes) / bytesPerMiB
	u.Instances++
	u.CorePercent += core
	u.CorePercentMost = max(u.CorePercentMost, core)
	u.Sent += sent
	u.SentMost = max(u.SentMost, sent)
	u.Received += received
	u.ReceivedMost = max(u.ReceivedMost, received)
	u.SentPackets += float64(after.ready.SentPackets-before.ready.SentPackets) / seconds
	u.ReceivedPackets += float64(after.ready.ReceivedPackets-before.ready.ReceivedPackets) / seconds
	u.ResidentMiB += resident
	u.ResidentMiBMost = max(u.ResidentMiBMost, resident)
	u.HeldShards += float64(after.ready.OwnedShards)
}

// finish turns the sums into means.
func (u *restUse) finish() {
	if u.Instances == 0 {
		return
	}
	n := float64(u.Instances)
	for _, sum := range []*float64{
		&u.CorePercent, &u.Sent, &u.Received, &u.SentPackets, &u.ReceivedPackets, &u.ResidentMiB, &u.HeldShards,
	} {
		*sum /= n
	}
}

// measureChanges makes changes one after the other and waits each time until every
// instance serves from the new configuration.
func (r *scaleRig) measureChanges(ctx context.Context) error {
	var accepted, inForce []float64
	began := time.Now()
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
	elapsed := time.Since(began).Seconds()
	slices.Sort(accepted)
	slices.Sort(inForce)
	r.result.Changes = changeTimes{
		Count:        len(inForce),
		AcceptedP50:  accepted[len(accepted)/2],
		InForceP50:   inForce[len(inForce)/2],
		InForceWorst: inForce[len(inForce)-1],
		PerSecond:    float64(len(inForce)) / elapsed,
	}
	return nil
}

func milliseconds(length time.Duration) float64 { return length.Seconds() * microsPerMilli }

// waitVersion waits until all instances serve from the version or a newer one.
// They are asked side by side.
func (r *scaleRig) waitVersion(ctx context.Context, version uint64) error {
	errs := make([]error, len(r.fleet.Daemons))
	var group sync.WaitGroup
	for i := range r.fleet.Daemons {
		group.Go(func() { errs[i] = r.waitInstance(ctx, i, version) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (r *scaleRig) waitInstance(ctx context.Context, instance int, version uint64) error {
	for {
		ready, err := r.fleet.Readiness(instance)
		if err == nil && ready.Version >= version {
			return nil
		}
		if err := wait(ctx, versionPoll); err != nil {
			return errors.Wrapf(err, "instance %d has no version %d", instance, version)
		}
	}
}

// measureFailover kills the instance that owns the most shards and waits until
// every shard has an owner again.
func (r *scaleRig) measureFailover(ctx context.Context) error {
	readings, err := r.read()
	if err != nil {
		return err
	}
	victim := 0
	for i := range readings {
		if readings[i].ready.OwnedShards > readings[victim].ready.OwnedShards {
			victim = i
		}
	}
	instance := &r.fleet.Layout.Instances[victim]
	lost := readings[victim].ready
	began := time.Now()
	r.fleet.KillDaemon(victim)
	err = testbed.WaitUntil(ctx, "an owner of every shard", func() bool { return r.heldShards() == lost.Shards })
	r.result.Failover = failoverResult{
		Victim:     instance.ID,
		Control:    instance.Control,
		HeldShards: lost.OwnedShards,
		Shards:     lost.Shards,
		Seconds:    time.Since(began).Seconds(),
	}
	return err
}

// heldShards adds up what the running instances own.
func (r *scaleRig) heldShards() int {
	held := make([]int, len(r.fleet.Daemons))
	var group sync.WaitGroup
	for i, daemon := range r.fleet.Daemons {
		if daemon == nil {
			continue
		}
		group.Go(func() {
			if ready, err := r.fleet.Readiness(i); err == nil {
				held[i] = ready.OwnedShards
			}
		})
	}
	group.Wait()
	total := 0
	for _, count := range held {
		total += count
	}
	return total
}
