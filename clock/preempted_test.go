package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// preemptedClocks simulates the two clocks of a machine on which the process may be
// preempted after each reading of one of them.
type preemptedClocks struct {
	elapsed time.Duration
	// pauses are the durations of the preemptions after the next readings. Zero means that
	// the process is not preempted after that reading.
	pauses []time.Duration
	// suspended is how long the machine has been suspended.
	suspended time.Duration
}

func (c *preemptedClocks) read() time.Duration {
	seen := c.elapsed
	if len(c.pauses) > 0 {
		c.elapsed += c.pauses[0]
		c.pauses = c.pauses[1:]
	}
	return seen
}

func (c *preemptedClocks) sources() clockSources {
	base := time.Unix(1_000_000, 0)
	return clockSources{
		monotonic: func() time.Time { return base.Add(c.read()) },
		bootTime:  func() time.Duration { return time.Hour + c.read() + c.suspended },
	}
}

// A process that is preempted between reading the two clocks, at the start or later, must
// not mistake that for a suspension of the machine.
func TestPreemptionBetweenClockReadsIsNotSuspension(t *testing.T) {
	const pause = 3 * time.Second
	for at := range 40 {
		fake := &preemptedClocks{pauses: make([]time.Duration, 40)}
		fake.pauses[at] = pause
		clock := newBootClock(fake.sources())
		started := clock.now()
		elapsedAtStart := fake.elapsed
		for range 10 {
			clock.now()
			fake.elapsed += time.Second
		}
		must.LessEq(t, fake.elapsed-elapsedAtStart+pause, clock.now().Sub(started), must.Sprintf("preempted after reading %d", at))
		must.Eq(t, 0, clock.suspension(), must.Sprintf("preempted after reading %d", at))
	}
}

// A suspension is counted exactly once, wherever the process is preempted.
func TestClockIncludesSuspensionDespitePreemption(t *testing.T) {
	const suspension = 7 * time.Second
	for at := range 40 {
		fake := &preemptedClocks{pauses: make([]time.Duration, 40)}
		fake.pauses[at] = 50 * time.Millisecond
		clock := newBootClock(fake.sources())
		clock.now()
		fake.suspended = suspension
		for range 10 {
			clock.now()
			fake.elapsed += time.Second
		}
		must.Between(t, suspension-minSuspension, clock.suspension(), suspension+minSuspension, must.Sprintf("preempted after reading %d", at))
	}
}
