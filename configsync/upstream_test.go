package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// testCandidates returns a parent, p, and fallbacks s1, s2 and so on.
func testCandidates(fallbacks int) []fleetconfig.InstanceAddress {
	candidates := []fleetconfig.InstanceAddress{{ID: "p"}}
	for i := range fallbacks {
		candidates = append(candidates, fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("s%d", i+1))})
	}
	return candidates
}

func idsOf(addresses []fleetconfig.InstanceAddress) []fleetconfig.InstanceID {
	var ids []fleetconfig.InstanceID
	for _, address := range addresses {
		ids = append(ids, address.ID)
	}
	return ids
}

// A change must be in force within 2 s even if the parent is partitioned from the level
// above. On the first two levels, which hold over a hundred instances, a fallback must
// have replied within 1.9 s of the partition, whatever the times of the last polls of
// the parent and of the instance.
func TestFallbackRepliesSoonAfterPartition(t *testing.T) {
	const (
		roundTrip = 100 * time.Millisecond
		limit     = 1900 * time.Millisecond
	)
	start := time.Unix(1_000_000, 0)
	for _, level := range []int{1, 2} {
		for phase := time.Duration(0); phase < DefaultPollInterval; phase += 10 * time.Millisecond {
			var u upstream
			u.setCandidates(testCandidates(6), maxUpstreamAge(level, DefaultPollInterval), fallbacksPerRound)
			repliedAt := time.Duration(0)
			for now := phase; repliedAt == 0; now += DefaultPollInterval {
				must.Less(t, time.Minute, now)
				targets := u.targets(start.Add(now))
				must.Eq(t, []fleetconfig.InstanceID{"p"}, idsOf(targets))
				// The parent received its last attestation just before the partition.
				if polled := u.handleAge("p", now, start.Add(now+roundTrip)); len(polled) > 0 {
					must.Eq(t, []fleetconfig.InstanceID{"s1", "s2", "s3"}, idsOf(polled))
					repliedAt = now + 2*roundTrip
				}
			}
			must.LessEq(t, limit, repliedAt, must.Sprintf("level %d", level))
		}
	}
}

// A fallback stays in use while its attestation is recent. The parent is polled in
// addition and replaces the fallback as soon as its own attestation is recent again.
func TestUpstreamReturnsToParent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var u upstream
	u.setCandidates(testCandidates(3), time.Second, fallbacksPerRound)
	u.handleFailure("p", now)
	must.SliceEmpty(t, u.handleAge("s2", 0, now))
	must.SliceEmpty(t, u.handleAge("s1", 0, now))
	for range 3 {
		must.Eq(t, []fleetconfig.InstanceID{"s2"}, idsOf(u.targets(now)))
		now = now.Add(parentRetryInterval)
		must.Eq(t, []fleetconfig.InstanceID{"s2", "p"}, idsOf(u.targets(now)))
		// A repeated failure of the parent causes no additional polls.
		must.SliceEmpty(t, u.handleFailure("p", now))
	}
	must.Eq(t, "s2", u.active())
	u.handleAge("p", 0, now)
	must.Eq(t, []fleetconfig.InstanceID{"p"}, idsOf(u.targets(now)))
	must.Eq(t, "p", u.active())
}

// While no instance has a recent attestation, an instance polls three fallbacks in each
// interval, all of them in turn, and the parent every two seconds.
func TestUpstreamBoundsPollsDuringOutage(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var u upstream
	polled := make(map[fleetconfig.InstanceID]int)
	const outage, fallbacks = 60 * time.Second, 5
	const rounds, parentPolls = int(outage / DefaultPollInterval), int(outage / parentRetryInterval)
	calls := 0
	for now := start; now.Before(start.Add(outage)); now = now.Add(DefaultPollInterval) {
		u.setCandidates(testCandidates(fallbacks), time.Second, fallbacksPerRound)
		pending := u.targets(now)
		for len(pending) > 0 {
			target := pending[0]
			calls++
			polled[target.ID]++
			pending = append(pending[1:], u.handleAge(target.ID, 2*time.Second, now)...)
		}
	}
	must.LessEq(t, fallbacksPerRound*rounds+parentPolls, calls)
	for i := range fallbacks {
		must.GreaterEq(t, fallbacksPerRound*rounds/fallbacks-1, polled[fleetconfig.InstanceID(fmt.Sprintf("s%d", i+1))])
	}
}

// Fallbacks that never reply do not delay the polls of the others: all eight fallbacks
// are polled within three rounds.
func TestUnresponsiveFallbacksDoNotDelayOthers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const fallbacks = 8
	var u upstream
	u.setCandidates(testCandidates(fallbacks), time.Second, fallbacksPerRound)
	polled := make(map[fleetconfig.InstanceID]bool)
	for _, target := range u.handleFailure("p", now) {
		polled[target.ID] = true
	}
	for range 2 {
		now = now.Add(DefaultPollInterval)
		for _, target := range u.targets(now) {
			polled[target.ID] = true
		}
	}
	must.MapLen(t, fallbacks, polled)
	// A fallback stays in use until its attestation is too old. Then others are polled
	// at once.
	u.handleAge("s7", 0, now)
	must.Eq(t, []fleetconfig.InstanceID{"s7"}, idsOf(u.targets(now)))
	must.Eq(t, "s7", u.active())
	must.SliceLen(t, fallbacksPerRound, u.handleAge("s7", 2*time.Second, now))
}

// A new parent counts as usable until it fails.
func TestNewParentPolledFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var u upstream
	must.SliceEmpty(t, u.targets(now))
	u.setCandidates(testCandidates(3), time.Second, fallbacksPerRound)
	u.handleFailure("p", now)
	u.setCandidates(append([]fleetconfig.InstanceAddress{{ID: "q"}}, testCandidates(3)...), time.Second, fallbacksPerRound)
	must.Eq(t, []fleetconfig.InstanceID{"q"}, idsOf(u.targets(now)))
	// A failure of the former parent does not affect the new one.
	u.handleFailure("p", now)
	must.Eq(t, []fleetconfig.InstanceID{"q"}, idsOf(u.targets(now)))
}
