package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fallbackFleet is a set of ingresses that share the requests of one account.
type fallbackFleet struct {
	random   *rand.Rand
	limiters []*FallbackLimiter
	limits   Limits
	now      time.Time
}

func newFallbackFleet(ingresses int, limits Limits) *fallbackFleet {
	fleet := &fallbackFleet{random: rand.New(rand.NewPCG(1, 2)), limits: limits, now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
	for range ingresses {
		fleet.limiters = append(fleet.limiters, NewFallbackLimiter())
	}
	return fleet
}

// run offers requests at the given rate, each at a random ingress, and returns how many
// were admitted. If there is an owner, its bucket decides; otherwise the FallbackLimiters
// do.
func (f *fallbackFleet) run(perSecond float64, length time.Duration, ownerLevel *float64, maxDuration time.Duration) int {
	admitted := 0
	step := time.Duration(float64(time.Second) / perSecond)
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		f.now = f.now.Add(step)
		limiter := f.limiters[f.random.IntN(len(f.limiters))]
		if ownerLevel == nil {
			if limiter.Allow("acme", f.limits, maxDuration, f.now) {
				admitted++
			}
			continue
		}
		*ownerLevel = min(float64(f.limits.Burst), *ownerLevel+f.limits.RatePerSecond*step.Seconds())
		if *ownerLevel >= 1 {
			*ownerLevel--
			admitted++
			limiter.RecordGranted("acme", f.limits, f.now)
		}
	}
	return admitted
}

// Under ordinary load, most requests are admitted while the owner is unreachable.
func TestFallbackLimiterServesOrdinaryLoad(t *testing.T) {
	for _, limits := range []Limits{{RatePerSecond: 34, Burst: 34}, {RatePerSecond: 7, Burst: 7}} {
		fleet := newFallbackFleet(22, limits)
		level := float64(limits.Burst)
		ordinary := limits.RatePerSecond / 1.6
		fleet.run(ordinary, 20*time.Second, &level, 0)
		const withoutOwner = 3 * time.Second
		admitted := fleet.run(ordinary, withoutOwner, nil, 4*time.Second)
		must.Greater(t, 0.5*ordinary*withoutOwner.Seconds(), float64(admitted))
	}
}

// The requests admitted in five seconds of overload are at most 1.1 times the sum of the
// burst and five seconds at the rate, plus twenty requests. In the first second, the owner
// still admits them, with a full burst; after that, the FallbackLimiters do.
func TestFallbackLimiterStaysWithinLimitsUnderOverload(t *testing.T) {
	for _, limits := range []Limits{{RatePerSecond: 34, Burst: 34}, {RatePerSecond: 7, Burst: 7}, {RatePerSecond: 100, Burst: 100}} {
		for _, ingresses := range []int{5, 22, 91} {
			fleet := newFallbackFleet(ingresses, limits)
			level := float64(limits.Burst)
			fleet.run(limits.RatePerSecond/1.6, 20*time.Second, &level, 0)
			before := fleet.run(8*limits.RatePerSecond, time.Second, &level, 0)
			fallback := fleet.run(8*limits.RatePerSecond, 4*time.Second, nil, 4*time.Second)
			allowed := 5*limits.RatePerSecond + float64(limits.Burst)
			must.LessEq(t, 1.1*allowed+20, float64(before+fallback))
		}
	}
}

// The fallback ends after its maximum duration, and a lowered limit applies at once.
func TestFallbackLimiterExpiresAndAppliesLoweredLimits(t *testing.T) {
	limits := Limits{RatePerSecond: 50, Burst: 50}
	fleet := newFallbackFleet(4, limits)
	level := float64(limits.Burst)
	fleet.run(30, 20*time.Second, &level, 0)
	fleet.limits.RatePerSecond = 5
	lowered := fleet.run(30, 3*time.Second, nil, 4*time.Second)
	must.Less(t, 5*3+4, lowered)
	fleet.run(30, 2*time.Second, nil, 4*time.Second)
	must.Eq(t, 0, fleet.run(30, time.Second, nil, 4*time.Second))
}
