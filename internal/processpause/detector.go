// Package processpause tells when the process has stood still: stopped by a signal, a
// paused machine or a starved scheduler. Requests that waited in a socket during
// a freeze are late without looking it, so both chains refuse them as not run.
package processpause

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
)

const (
	// beatInterval is how often the detector notes that the process runs.
	beatInterval = 50 * time.Millisecond
	// Threshold is how long a standstill must be to count as a freeze.
	Threshold = time.Second
	// quarantine is how long after a freeze requests may still come out of the
	// sockets' buffers.
	quarantine = 500 * time.Millisecond
)

// Detector notes freezes of the process. It is a suture service and safe for
// concurrent use.
type Detector struct {
	start           time.Time
	lastBeat        atomic.Int64
	quarantineUntil atomic.Int64
}

// NewDetector returns a detector that counts from now on.
func NewDetector() *Detector {
	return &Detector{start: clock.Now()}
}

// Serve beats until ctx ends.
func (d *Detector) Serve(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	d.beat(clock.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.beat(clock.Now())
		}
	}
}

func (d *Detector) beat(now time.Time) {
	at := now.Sub(d.start).Nanoseconds()
	last := d.lastBeat.Swap(at)
	if last != 0 && at-last > int64(Threshold) {
		d.quarantineUntil.Store(at + int64(quarantine))
	}
}

// MayBeDelayed reports whether a request that arrives now may have waited out a
// freeze. It works before the first beat after the freeze too.
func (d *Detector) MayBeDelayed(now time.Time) bool {
	at := now.Sub(d.start).Nanoseconds()
	last := d.lastBeat.Load()
	if last != 0 && at-last > int64(Threshold) {
		return true
	}
	return at < d.quarantineUntil.Load()
}
