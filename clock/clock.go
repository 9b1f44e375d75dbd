package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// noticed is the shortest suspension that counts. Shorter differences come from
	// reading two clocks one after the other.
	noticed = 5 * time.Millisecond
	// startReadings is how often the clocks are compared at the start; the readings
	// that are closest together count. One in a row of five is hardly interrupted.
	startReadings = 5
)

// sources are the clocks of the machine: one that stands still while the machine is
// suspended, and one that goes on, or returns 0 where the system has none.
type sources struct {
	monotonic func() time.Time
	boot      func() time.Duration
}

// reading is one look at both clocks.
type reading struct {
	monotonic time.Time
	boot      time.Duration
}

// bootClock adds to the monotonic clock for how long the machine was suspended.
//
// The process may stand still between its looks at the two clocks, for any time. At
// the start the monotonic clock is looked at first, afterwards last: standing still
// then makes a suspension look shorter for one reading, and never makes one up.
type bootClock struct {
	from  sources
	start reading
	// suspended is for how long, in nanoseconds, the machine was suspended since the
	// start. It only grows.
	suspended atomic.Int64
}

func newBootClock(from sources) *bootClock {
	c := &bootClock{from: from}
	var closest time.Duration
	for i := range startReadings {
		present := reading{monotonic: from.monotonic(), boot: from.boot()}
		width := from.monotonic().Sub(present.monotonic)
		if i == 0 || width < closest {
			closest, c.start = width, present
		}
	}
	return c
}

func (c *bootClock) now() time.Time {
	var present reading
	present.boot = c.from.boot()
	present.monotonic = c.from.monotonic()
	return present.monotonic.Add(c.offsetAt(present))
}

func (c *bootClock) offset() time.Duration { return time.Duration(c.suspended.Load()) }

// offsetAt returns how long the machine was suspended up to a reading.
func (c *bootClock) offsetAt(present reading) time.Duration {
	known := c.suspended.Load()
	if present.boot == 0 || c.start.boot == 0 {
		return time.Duration(known)
	}
	offset := int64(present.boot - c.start.boot - present.monotonic.Sub(c.start.monotonic))
	for offset >= known+int64(noticed) {
		if c.suspended.CompareAndSwap(known, offset) {
			return time.Duration(offset)
		}
		known = c.suspended.Load()
	}
	return time.Duration(known)
}

// process is the clock of this process.
var process = newBootClock(sources{monotonic: time.Now, boot: bootTime})

// bootTime returns the time since the machine started, suspensions included, or 0
// where the system does not tell.
func bootTime() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return 0
	}
	return time.Duration(spec.Nano())
}

// Now returns the present time, with a monotonic reading.
func Now() time.Time { return process.now() }

// Since returns the time that has passed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// WithDeadline returns a context that ends at a time of this clock. Its timer
// stands still during a suspension, so that decisions after a wait must look at the
// clock again.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, deadline.Sub(Now()))
}
