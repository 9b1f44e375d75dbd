package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/configtree"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// An instance gets a delta by an offer or by the reply to a poll, not by both.
func TestDeltaIsSentByOneCall(t *testing.T) {
	const child = fleetconfig.InstanceID("child")
	now := time.Now()
	var sent transfers
	held, permitted := sent.beginOffer(child, 4, 5, now)
	must.True(t, permitted)
	must.Eq(t, 4, held)
	_, permitted = sent.beginOffer(child, 4, 6, now)
	must.False(t, permitted)
	must.True(t, sent.recordPoll(child, 4, now))
	// An instance that has restarted can not apply the offer.
	must.False(t, sent.recordPoll(child, 0, now))
	// The offer may be lost without an answer.
	must.False(t, sent.recordPoll(child, 4, now.Add(callTimeout)))

	// A poll and the reply to an offer may cross.
	sent.confirmOffer(child, 5, now)
	must.True(t, sent.recordPoll(child, 4, now))
	must.False(t, sent.recordPoll(child, 5, now))

	sent.endOffer(child)
	must.False(t, sent.recordPoll(child, 4, now.Add(callTimeout)))
	sent.recordReply(child, 5, now)
	_, permitted = sent.beginOffer(child, 4, 5, now)
	must.False(t, permitted)
	held, permitted = sent.beginOffer(child, 4, 6, now)
	must.True(t, permitted)
	must.Eq(t, 5, held)
}

// Whatever is lost, an instance that polls is told to wait for no longer than a call takes,
// and the state is bounded.
func TestTransfersEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent transfers
		start := time.Now()
		now := start
		offeredAt := make(map[fleetconfig.InstanceID]time.Time)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := fleetconfig.InstanceID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "instance")))
			version := rapid.Uint64Range(0, 5).Draw(t, "version")
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				if _, permitted := sent.beginOffer(id, version, version+1, now); permitted {
					offeredAt[id] = now
				}
			case 1:
				if sent.recordPoll(id, version, now) {
					must.Less(t, callTimeout, now.Sub(offeredAt[id]))
				}
			case 2:
				sent.recordReply(id, version, now)
			case 3:
				sent.endOffer(id)
			case 4:
				if _, offered := offeredAt[id]; offered {
					sent.confirmOffer(id, version, now)
					offeredAt[id] = now
				}
			}
		}
	})
	var sent transfers
	for i := range 2 * maxTransferPeers {
		sent.confirmOffer(fleetconfig.InstanceID(fmt.Sprint(i)), 1, time.Now())
		must.LessEq(t, maxTransferPeers, len(sent.peers))
	}
}

// A delta is encoded once. An instance that received it sends on the same bytes.
func TestDeltaIsEncodedOnce(t *testing.T) {
	_, leader, others := startFleet(t, 7)
	result := leader.fleet.propose(leader, "change", usePreset(2))
	waitForVersion(t, result.Version, others...)
	packedOn := func(instance *fakeInstance) *fleetconfig.PackedDelta {
		instance.service.mu.Lock()
		defer instance.service.mu.Unlock()
		kept, found := instance.service.packed.find(1, 2)
		must.True(t, found, must.Sprint(instance.peer.ID))
		must.True(t, kept == instance.service.deltaSince(1, 2))
		return kept
	}
	for _, instance := range others {
		must.Eq(t, packedOn(leader), packedOn(instance))
	}
}

// A damaged delta or snapshot is refused.
func TestDamagedDeltaIsRefused(t *testing.T) {
	delta := &fleetconfig.Delta{From: 1, To: 2}
	for i := range 100 {
		delta.Services.Put = append(delta.Services.Put, fleetconfig.Service{Name: fleetconfig.ServiceName(fmt.Sprintf("service-%03d", i))})
	}
	packed, err := delta.Pack()
	must.NoError(t, err)
	must.True(t, packed.Encoded.Compressed)
	damaged := *packed
	damaged.Encoded.Data = append([]byte(nil), packed.Encoded.Data...)
	damaged.Encoded.Data[len(damaged.Encoded.Data)/2] ^= 1
	_, err = damaged.Unpack()
	must.Error(t, err)
	other := *packed
	other.From = 0
	_, err = other.Unpack()
	must.ErrorContains(t, err, "from version 0 to 2")
	_, err = decodeSnapshot(&snapshotReply{Document: codec.Packed{Data: []byte("text"), Compressed: true}})
	must.Error(t, err)
}

// Without holders, a version reaches all instances through the control instances, once and
// without waiting for polls, and with a late commit on the other control instances. No instance
// sends it to another one twice.
func TestVersionReachesAllOnceWithoutHolders(t *testing.T) {
	const (
		versions = 5
		within   = time.Second
	)
	fleet := newFakeFleet(t)
	fleet.pollInterval = 2 * within
	leader := fleet.start(0, true)
	others := []*fakeInstance{fleet.startWithLeader(1, true, leader), fleet.startWithLeader(2, true, leader)}
	for number := 3; number <= 40; number++ {
		others = append(others, fleet.start(number, false))
	}
	fleet.propose(leader, "first", usePreset(1))
	waitForVersion(t, 1, others...)
	for version := uint64(2); version <= versions; version++ {
		proposedAt := time.Now()
		fleet.propose(leader, fmt.Sprint(version), usePreset(version))
		for _, instance := range others {
			waitFor(t, string(instance.peer.ID), func() error {
				if served := instance.service.View().Version(); served < version {
					return errors.Newf("serves version %d, want %d", served, version)
				}
				return nil
			})
		}
		must.Less(t, within, time.Since(proposedAt))
	}
	fleet.deltas.mu.Lock()
	for _, instance := range others {
		must.Positive(t, fleet.deltas.offers[instance.peer.ID], must.Sprint(instance.peer.ID))
	}
	fleet.deltas.mu.Unlock()
	for _, instance := range others {
		for version := uint64(2); version <= versions; version++ {
			must.LessEq(t, 1, fleet.deltas.most(instance.peer.ID, version), must.Sprint(instance.peer.ID, version))
		}
	}
}

// An instance polls its parent often while offers are slow, and still gets each delta from it once.
func TestSlowOfferIsNotRepeatedByPolls(t *testing.T) {
	fleet := newFakeFleet(t)
	leader := fleet.start(0, true)
	var others []*fakeInstance
	for number := 1; number <= 6; number++ {
		others = append(others, fleet.start(number, false))
	}
	fleet.propose(leader, "first", usePreset(1))
	waitForVersion(t, 1, others...)
	fleet.latency.Store(int64(60 * time.Millisecond))
	for version := uint64(2); version <= 4; version++ {
		fleet.propose(leader, fmt.Sprint(version), usePreset(version))
		waitForVersion(t, version, others...)
		for _, instance := range others {
			must.Eq(t, 1, fleet.deltas.most(instance.peer.ID, version), must.Sprint(instance.peer.ID, version))
		}
	}
}

// An instance whose parent does not reply tries several others and gets the delta from one.
func TestTrialsBringOneDelta(t *testing.T) {
	fleet := newFakeFleet(t)
	leader := fleet.start(0, true)
	others := []*fakeInstance{fleet.startWithLeader(1, true, leader), fleet.startWithLeader(2, true, leader)}
	for number := 3; number <= 12; number++ {
		others = append(others, fleet.start(number, false))
	}
	fleet.propose(leader, "first", usePreset(1))
	waitForVersion(t, 1, others...)
	isolated := others[len(others)-1]
	parent := configtree.Find(isolated.peer, nil, isolated.Peers()).Parents[0].ID
	partitioned := func(a, b fleetconfig.InstanceID) bool {
		return a == parent && b == isolated.peer.ID || a == isolated.peer.ID && b == parent
	}
	fleet.latency.Store(int64(10 * time.Millisecond))
	fleet.partitioned.Store(&partitioned)
	for version := uint64(2); version <= 4; version++ {
		fleet.propose(leader, fmt.Sprint(version), usePreset(version))
		// The other instances have the version when the isolated one tries them.
		waitForVersion(t, version, others[:len(others)-1]...)
		// Its fallback stops being usable, too.
		isolated.service.mu.Lock()
		isolated.service.upstream.fallback = ""
		isolated.service.mu.Unlock()
		waitForVersion(t, version, isolated)
	}
	for version := uint64(2); version <= 4; version++ {
		must.Eq(t, 1, fleet.deltas.total(isolated.peer.ID, version), must.Sprint(version))
	}
}

// manyRoutes returns a complete configuration with a number of routes.
func manyRoutes(operatorVersion uint64, routes int) fleetconfig.Change {
	next := &fleetconfig.Replacement{
		BaseOperatorVersion: operatorVersion - 1, OperatorVersion: operatorVersion,
		Services: []fleetconfig.Service{{Name: "stock"}}, Preset: fleetconfig.Preset{Name: "p", SlowStart: time.Second},
	}
	for i := range routes {
		// Digests, as names that do not compress.
		name := string(fleetconfig.HashKey(fmt.Sprint(i)).ID())
		next.Routes = append(next.Routes, fleetconfig.Route{
			ID: "r-" + name[:7], Host: name[:6] + ".example", PathPrefix: "/" + name, Service: "stock", Timeout: time.Second,
		})
	}
	return fleetconfig.Change{Kind: fleetconfig.ReplaceAll, Replacement: next}
}

// A version with 1,520 routes more is in force on all instances within a second, though the
// links of most of them carry 2 Mbit/s, and instances poll twice a second.
func TestManyRoutesReachAllOverThinLinks(t *testing.T) {
	const (
		proxies = 60
		within  = time.Second
	)
	fleet := newFakeFleet(t)
	fleet.linkMbps, fleet.controlLinkMbps, fleet.pollInterval = 2, 1000, DefaultPollInterval
	leader := fleet.start(0, true)
	var others []*fakeInstance
	for number := 1; number <= 4+proxies; number++ {
		isControl := number <= 4
		others = append(others, fleet.startWithLeader(number, isControl, leader))
	}
	fleet.propose(leader, "first", manyRoutes(1, 200))
	waitForVersion(t, 1, others...)
	fleet.propose(leader, "second", manyRoutes(2, 1720))
	acceptedAt := time.Now()
	waitForVersion(t, 2, others...)
	must.Less(t, within, time.Since(acceptedAt))
	for _, instance := range others {
		must.LessEq(t, 1, fleet.deltas.total(instance.peer.ID, 2), must.Sprint(instance.peer.ID))
	}
}
