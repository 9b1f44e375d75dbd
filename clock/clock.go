package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the smallest increase of the difference between the two clocks that
	// counts as a suspension. Smaller increases arise because the clocks are not read at the
	// same instant.
	minSuspension = 5 * time.Millisecond
	// startSamples is how many samples are taken at the start. The one that took the
	// shortest time is used; it is unlikely that the process is preempted in all of them.
	startSamples = 5
)

// clockSources are the two clocks of the machine.
type clockSources struct {
	// monotonic does not advance while the machine is suspended.
	monotonic func() time.Time
	// bootTime also advances while the machine is suspended. It returns 0 if the system
	// has no such clock.
	bootTime func() time.Duration
}

// reading is a sample of both clocks.
type reading struct {
	monotonic time.Time
	boot      time.Duration
}

// bootClock is the monotonic clock plus the time that the machine has been suspended.
//
// The process may be preempted between reading the two clocks, for any time. Therefore
// the sample at the start reads the monotonic clock first, and every later sample reads it
// last. A preemption then only makes a suspension appear shorter and is never mistaken for
// a suspension. The effect of a preemption in the sample at the start is permanent; that of
// a preemption in a later sample ends with the next sample.
type bootClock struct {
	sources clockSources
	start   reading
	// suspended is the time that the machine has been suspended since the start, in
	// nanoseconds. It never decreases.
	suspended atomic.Int64
}

// newBootClock returns a clock that starts now.
func newBootClock(sources clockSources) *bootClock {
	c := &bootClock{sources: sources}
	var shortest time.Duration
	for i := range startSamples {
		sample := reading{monotonic: sources.monotonic(), boot: sources.bootTime()}
		took := sources.monotonic().Sub(sample.monotonic)
		if i == 0 || took < shortest {
			shortest, c.start = took, sample
		}
	}
	return c
}

func (c *bootClock) now() time.Time {
	var sample reading
	sample.boot = c.sources.bootTime()
	sample.monotonic = c.sources.monotonic()
	return sample.monotonic.Add(c.updateSuspension(sample))
}

func (c *bootClock) suspension() time.Duration { return time.Duration(c.suspended.Load()) }

// updateSuspension raises suspended if the sample shows that the machine has been suspended
// for longer than known so far, and returns the new value.
func (c *bootClock) updateSuspension(sample reading) time.Duration {
	known := c.suspended.Load()
	if sample.boot == 0 || c.start.boot == 0 {
		return time.Duration(known)
	}
	offset := int64(sample.boot - c.start.boot - sample.monotonic.Sub(c.start.monotonic))
	for offset >= known+int64(minSuspension) {
		if c.suspended.CompareAndSwap(known, offset) {
			return time.Duration(offset)
		}
		known = c.suspended.Load()
	}
	return time.Duration(known)
}

// processClock is the clock of this process.
var processClock = newBootClock(clockSources{monotonic: time.Now, bootTime: bootTime})

// bootTime returns the time since the machine was booted, including suspensions, or 0 if the
// system does not provide it.
func bootTime() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return 0
	}
	return time.Duration(spec.Nano())
}

// Now returns the current time of this clock, with a monotonic reading.
func Now() time.Time { return processClock.now() }

// Since returns the time elapsed since t, a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// WithDeadline returns a context that ends at deadline, a time of this clock. Its timer does
// not run while the machine is suspended, so code that has waited on the context must read
// the clock again before it decides anything.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, deadline.Sub(Now()))
}
