package configsync

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// After changes are in force everywhere, control stops, and instances that restart with
// empty memory obtain the configuration from their neighbours.
func TestConfigurationSurvivesControlLossAndRestarts(t *testing.T) {
	fleet, leader, others := startFleet(t, 12)
	for version := uint64(2); version <= 20; version++ {
		result := fleet.propose(leader, fmt.Sprint(version), usePreset(version))
		must.Eq(t, version, result.Version)
	}
	waitForVersion(t, 20, append(others, leader)...)

	leader.log.unavailable.Store(true)
	fleet.stop(leader)
	for _, number := range []int{1, 7, 12} {
		others[number-1].cancel()
		others[number-1] = fleet.start(number, false)
	}
	waitForVersion(t, 20, others...)
	// Restart two more holders right afterwards. A majority of the holders remains.
	for _, number := range []int{2, 3} {
		others[number-1].cancel()
		others[number-1] = fleet.start(number, false)
	}
	waitForVersion(t, 20, others...)
}

// Guards against offers that multiply while changes follow each other closely, until the leader does nothing else.
func TestOffersDoNotMultiplyWithSuccessiveChanges(t *testing.T) {
	const offersAtOnce = 2 // One brings a version, one asks whether it is still held.
	fleet, leader, others := startFleet(t, 7)
	fleet.latency.Store(int64(2 * time.Millisecond))
	for version := uint64(2); version <= 7; version++ {
		fleet.propose(leader, fmt.Sprint(version), usePreset(version))
	}
	waitForVersion(t, 7, append(others, leader)...)
	must.LessEq(t, offersAtOnce, fleet.leaderOffers.most)
}

// Guards against a reply that arrives late and makes the leader believe that a holder lacks versions.
func TestLateReplyDoesNotLowerHeldVersion(t *testing.T) {
	var offers holderOffers
	start := time.Now()
	offers.recordReply(4, start.Add(time.Second))
	offers.recordReply(3, start)
	must.Eq(t, 4, offers.held)
	// A holder that has restarted holds nothing.
	offers.recordReply(0, start.Add(2*time.Second))
	must.Eq(t, 0, offers.held)
}

// The outcome of a change that a majority of the holders does not confirm is unknown.
// If the change is sent again after the holders have become reachable, its result is
// returned.
func TestProposeUnconfirmedChangeHasUnknownOutcome(t *testing.T) {
	_, leader, others := startFleet(t, 3)
	command := &fleetconfig.Command{ChangeID: "c", BaseVersion: 1, Changes: []fleetconfig.Change{usePreset(1)}}
	for _, holder := range others {
		holder.disconnected.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := leader.service.Propose(ctx, command)
	var unknown *control.OutcomeUnknownError
	must.True(t, errors.As(err, &unknown))
	must.Eq(t, 1, leader.service.View().Version())

	// While the change is unconfirmed, no further change is proposed.
	next := &fleetconfig.Command{ChangeID: "d", BaseVersion: 2, Changes: []fleetconfig.Change{usePreset(2)}}
	ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = leader.service.Propose(ctx, next)
	var busy *control.BusyError
	must.True(t, errors.As(err, &busy))

	for _, holder := range others {
		holder.disconnected.Store(false)
	}
	result, err := leader.service.Propose(context.Background(), command)
	must.NoError(t, err)
	must.Eq(t, 2, result.Version)
	waitForVersion(t, 2, append(others, leader)...)
}

// An instance that is disconnected from all others stops being current within the
// revocation bound. The other instances stay current.
func TestDisconnectedInstanceStopsBeingCurrent(t *testing.T) {
	fleet, leader, others := startFleet(t, 4)
	isolated := others[3]
	isolated.disconnected.Store(true)
	disconnectedAt := time.Now()
	fleet.propose(leader, "withdrawal", usePreset(1))
	waitFor(t, "the isolated instance is no longer current", func() error {
		if current, _ := isolated.service.Current(time.Now()); current {
			return errors.New("still current")
		}
		return nil
	})
	must.Less(t, currency.DefaultRevocationBound, time.Since(disconnectedAt))
	waitForVersion(t, 2, others[:3]...)
	isolated.disconnected.Store(false)
	waitForVersion(t, 2, isolated)
}

// Most instances are partitioned from control and the holders; a few others can reach
// all instances. A change that is made meanwhile must be in force on these few within two
// seconds, although their parents in the tree are partitioned and do not receive it.
func TestChangeDuringPartitionReachesOtherInstances(t *testing.T) {
	const inForceWithin = 2 * time.Second
	fleet, leader, others := startFleet(t, 100)
	isPartitioned := make(map[fleetconfig.InstanceID]bool)
	var reachable []*fakeInstance
	for i, instance := range others {
		// The reachable instances that are not holders belong to the last failure domain and
		// are therefore on the second level.
		if isPartitioned[instance.peer.ID] = i >= 5 && i%6 != 1; !isPartitioned[instance.peer.ID] {
			reachable = append(reachable, instance)
		}
	}
	isControlOrHolder := func(id fleetconfig.InstanceID) bool { return id <= others[4].peer.ID }
	partitioned := func(a, b fleetconfig.InstanceID) bool {
		return isControlOrHolder(a) && isPartitioned[b] || isControlOrHolder(b) && isPartitioned[a]
	}
	fleet.partitioned.Store(&partitioned)
	result := fleet.propose(leader, "during the partition", usePreset(2))
	acceptedAt := time.Now()
	waitForVersion(t, result.Version, reachable...)
	must.Less(t, inForceWithin, time.Since(acceptedAt))
}

// If its parent does not reply, an instance polls others before the call times out.
func TestUnresponsiveParentReplacedBeforeCallTimeout(t *testing.T) {
	fleet, leader, others := startFleet(t, 20)
	partitionedID := others[15].peer.ID
	partitioned := func(a, b fleetconfig.InstanceID) bool {
		isRoot := func(id fleetconfig.InstanceID) bool { return id != leader.peer.ID && id <= others[4].peer.ID }
		return a == partitionedID && isRoot(b) || b == partitionedID && isRoot(a)
	}
	fleet.partitioned.Store(&partitioned)
	partitionedAt := time.Now()
	// Wait until polls that began before the partition have ended, as they could return
	// the change.
	timer := time.NewTimer(5 * leader.service.config.PollInterval)
	<-timer.C
	result := fleet.propose(leader, "during the partition", usePreset(2))
	waitForVersion(t, result.Version, others[15])
	must.Less(t, callTimeout, time.Since(partitionedAt))
}

// BenchmarkInForce measures the time from a proposal until all instances serve from the
// new version, without network delay.
func BenchmarkInForce(b *testing.B) {
	for _, count := range []int{5, 22} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			fleet, leader, others := startFleet(b, count)
			version := uint64(1)
			for b.Loop() {
				version++
				fleet.propose(leader, fmt.Sprint(version), usePreset(version))
				waitForVersion(b, version, others...)
			}
		})
	}
}

// BenchmarkAtRest reports the calls and the bytes of their bodies per instance and poll
// interval while nothing changes.
func BenchmarkAtRest(b *testing.B) {
	for _, count := range []int{10, 40, 160} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			fleet, leader, _ := startFleet(b, count)
			for b.Loop() {
				calls, bytes := fleet.calls.Load(), fleet.bytes.Load()
				const intervals = 50
				timer := time.NewTimer(intervals * leader.service.config.PollInterval)
				<-timer.C
				instanceIntervals := float64(intervals * (count + 1))
				b.ReportMetric(float64(fleet.calls.Load()-calls)/instanceIntervals, "calls/interval")
				b.ReportMetric(float64(fleet.bytes.Load()-bytes)/instanceIntervals, "B/interval")
			}
		})
	}
}
