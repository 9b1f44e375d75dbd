// Package processpause detects pauses of the whole process, which are caused by a signal, a
// suspended machine or CPU starvation. A request that waited in a socket buffer during a
// pause is late but seems to have just arrived. The filter chains of ingress and backend
// proxy therefore reject all requests for a short time after a pause, and report that no
// backend server has run them.
package processpause

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
)

const (
	// tickInterval is the interval at which the detector records that the process runs.
	tickInterval = 50 * time.Millisecond
	// Threshold is the time without a tick above which the process counts as paused.
	Threshold = time.Second
	// bufferDrainTime is how long after a pause requests may still be read from socket
	// buffers.
	bufferDrainTime = 500 * time.Millisecond
)

// Detector detects pauses of the process. It is a suture service and safe for
// concurrent use.
type Detector struct {
	start time.Time
	// lastTick is the time of the last tick, in nanoseconds since start.
	lastTick atomic.Int64
	// mayBeDelayedUntil is the time, in nanoseconds since start, until which requests may
	// still be read from socket buffers after the last pause.
	mayBeDelayedUntil atomic.Int64
}

// NewDetector returns a detector. It detects nothing until Serve runs.
func NewDetector() *Detector {
	return &Detector{start: clock.Now()}
}

// Serve records a tick every tickInterval until ctx ends.
func (d *Detector) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.recordTick(clock.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.recordTick(clock.Now())
		}
	}
}

func (d *Detector) recordTick(now time.Time) {
	at := now.Sub(d.start).Nanoseconds()
	last := d.lastTick.Swap(at)
	if last != 0 && at-last > int64(Threshold) {
		d.mayBeDelayedUntil.Store(at + int64(bufferDrainTime))
	}
}

// MayBeDelayed reports whether a request that is received or about to be dispatched at now
// may have been delayed by a pause, for example in a socket buffer. It also detects a pause
// that no tick has followed yet.
func (d *Detector) MayBeDelayed(now time.Time) bool {
	at := now.Sub(d.start).Nanoseconds()
	last := d.lastTick.Load()
	if last != 0 && at-last > int64(Threshold) {
		return true
	}
	return at < d.mayBeDelayedUntil.Load()
}
