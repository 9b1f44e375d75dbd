package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fakeClocks are the two clocks of a machine on which the process loses the processor
// for a while after each look at one of them.
type fakeClocks struct {
	passed time.Duration
	// stops are how long the process stands still after the next looks.
	stops []time.Duration
	// slept is for how long the machine was suspended.
	slept time.Duration
}

func (c *fakeClocks) look() time.Duration {
	seen := c.passed
	if len(c.stops) > 0 {
		c.passed += c.stops[0]
		c.stops = c.stops[1:]
	}
	return seen
}

func (c *fakeClocks) sources() sources {
	base := time.Unix(1_000_000, 0)
	return sources{
		monotonic: func() time.Time { return base.Add(c.look()) },
		boot:      func() time.Duration { return time.Hour + c.look() + c.slept },
	}
}

// A process that stands still between its looks at the two clocks, while it starts or
// later, does not take that for a suspension of the machine.
func TestStandingStillBetweenTwoReadingsIsNoSuspension(t *testing.T) {
	const still = 3 * time.Second
	for at := range 40 {
		fake := &fakeClocks{stops: make([]time.Duration, 40)}
		fake.stops[at] = still
		clock := newBootClock(fake.sources())
		began := clock.now()
		passedAtStart := fake.passed
		for range 10 {
			clock.now()
			fake.passed += time.Second
		}
		must.LessEq(t, fake.passed-passedAtStart+still, clock.now().Sub(began), must.Sprintf("stands still after look %d", at))
		must.Eq(t, 0, clock.offset(), must.Sprintf("stands still after look %d", at))
	}
}

// A suspension counts, whatever the process does meanwhile, and never twice.
func TestASuspensionCountsBesideStandingStill(t *testing.T) {
	const slept = 7 * time.Second
	for at := range 40 {
		fake := &fakeClocks{stops: make([]time.Duration, 40)}
		fake.stops[at] = 50 * time.Millisecond
		clock := newBootClock(fake.sources())
		clock.now()
		fake.slept = slept
		for range 10 {
			clock.now()
			fake.passed += time.Second
		}
		must.Between(t, slept-noticed, clock.offset(), slept+noticed, must.Sprintf("stands still after look %d", at))
	}
}
