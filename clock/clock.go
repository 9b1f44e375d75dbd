package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// noticed is the shortest suspension that counts. Shorter differences come from
// reading two clocks one after the other.
const noticed = 5 * time.Millisecond

// reading is one look at both clocks.
type reading struct {
	monotonic time.Time
	boot      time.Duration
}

var (
	start = read()
	// suspended is for how long, in nanoseconds, the machine was suspended since the
	// process started.
	suspended atomic.Int64
)

func read() reading { return reading{monotonic: time.Now(), boot: bootTime()} }

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
func Now() time.Time {
	present := read()
	return present.monotonic.Add(offsetAt(present))
}

// offsetAt returns how long the machine was suspended up to a reading.
func offsetAt(present reading) time.Duration {
	known := time.Duration(suspended.Load())
	if present.boot == 0 || start.boot == 0 {
		return known
	}
	offset := present.boot - start.boot - present.monotonic.Sub(start.monotonic)
	if offset < known+noticed {
		return known
	}
	suspended.Store(int64(offset))
	return offset
}

// Since returns the time that has passed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// WithDeadline returns a context that ends at a time of this clock. Its timer
// stands still during a suspension, so that decisions after a wait must look at the
// clock again.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, deadline.Sub(Now()))
}
