package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// testCandidates are a parent, p, and stand-ins s1, s2 and so on.
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

// On the first two levels, which hold over a hundred instances, a stand-in has answered
// within 1.9 s of a cut above the parent, whenever the parent and the instance polled
// last. A change must be in force in 2 s.
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
			answered := time.Duration(0)
			for now := phase; answered == 0; now += DefaultPollInterval {
				must.Less(t, time.Minute, now)
				targets := u.targets(start.Add(now))
				must.Eq(t, []fleetconfig.InstanceID{"p"}, idsOf(targets))
				// The parent heard the last news just before the cut.
				if asked := u.handleAge("p", now, start.Add(now+roundTrip)); len(asked) > 0 {
					must.Eq(t, []fleetconfig.InstanceID{"s1", "s2", "s3"}, idsOf(asked))
					answered = now + 2*roundTrip
				}
			}
			must.LessEq(t, limit, answered, must.Sprintf("level %d", level))
		}
	}
}

// A stand-in is kept while it helps, and the parent, which is tried beside it, takes
// over as soon as it helps again.
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
		// One that is known not to help makes nobody ask more.
		must.SliceEmpty(t, u.handleFailure("p", now))
	}
	must.Eq(t, "s2", u.active())
	u.handleAge("p", 0, now)
	must.Eq(t, []fleetconfig.InstanceID{"p"}, idsOf(u.targets(now)))
	must.Eq(t, "p", u.active())
}

// While nobody knows anything new, an instance asks three stand-ins in each interval,
// all of them by turns, and the parent every other second.
func TestUpstreamBoundsPollsDuringOutage(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var u upstream
	asked := make(map[fleetconfig.InstanceID]int)
	const outage, fallbacks = 60 * time.Second, 5
	const rounds, tries = int(outage / DefaultPollInterval), int(outage / parentRetryInterval)
	calls := 0
	for now := start; now.Before(start.Add(outage)); now = now.Add(DefaultPollInterval) {
		u.setCandidates(testCandidates(fallbacks), time.Second, fallbacksPerRound)
		pending := u.targets(now)
		for len(pending) > 0 {
			target := pending[0]
			calls++
			asked[target.ID]++
			pending = append(pending[1:], u.handleAge(target.ID, 2*time.Second, now)...)
		}
	}
	must.LessEq(t, fallbacksPerRound*rounds+tries, calls)
	for i := range fallbacks {
		must.GreaterEq(t, fallbacksPerRound*rounds/fallbacks-1, asked[fleetconfig.InstanceID(fmt.Sprintf("s%d", i+1))])
	}
}

// Stand-ins that are cut off and never answer do not hold up the others: one of eight
// is asked within the third round, wherever it stands.
func TestUnresponsiveFallbacksDoNotDelayOthers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const fallbacks = 8
	var u upstream
	u.setCandidates(testCandidates(fallbacks), time.Second, fallbacksPerRound)
	asked := make(map[fleetconfig.InstanceID]bool)
	for _, target := range u.handleFailure("p", now) {
		asked[target.ID] = true
	}
	for range 2 {
		now = now.Add(DefaultPollInterval)
		for _, target := range u.targets(now) {
			asked[target.ID] = true
		}
	}
	must.MapLen(t, fallbacks, asked)
	// The one that helps stays, until it stops to: then others are asked at once.
	u.handleAge("s7", 0, now)
	must.Eq(t, []fleetconfig.InstanceID{"s7"}, idsOf(u.targets(now)))
	must.Eq(t, "s7", u.active())
	must.SliceLen(t, fallbacksPerRound, u.handleAge("s7", 2*time.Second, now))
}

// Another parent counts as one that helps until it is asked.
func TestNewParentPolledFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var u upstream
	must.SliceEmpty(t, u.targets(now))
	u.setCandidates(testCandidates(3), time.Second, fallbacksPerRound)
	u.handleFailure("p", now)
	u.setCandidates(append([]fleetconfig.InstanceAddress{{ID: "q"}}, testCandidates(3)...), time.Second, fallbacksPerRound)
	must.Eq(t, []fleetconfig.InstanceID{"q"}, idsOf(u.targets(now)))
	// An answer of the former parent says nothing about the new one.
	u.handleFailure("p", now)
	must.Eq(t, []fleetconfig.InstanceID{"q"}, idsOf(u.targets(now)))
}
