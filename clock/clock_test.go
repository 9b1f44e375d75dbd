package clock

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A suspension moves the clock by its length, which the monotonic clock does not
// see, and noise between the two clocks does not.
func TestASuspensionCounts(t *testing.T) {
	start := reading{monotonic: time.Now(), boot: time.Hour}
	clock := &bootClock{start: start}
	awake := reading{monotonic: start.monotonic.Add(time.Minute), boot: start.boot + time.Minute + noticed/2}
	must.Eq(t, 0, clock.offsetAt(awake))
	slept := reading{monotonic: awake.monotonic, boot: awake.boot + 7*time.Second}
	must.Eq(t, 7*time.Second+noticed/2, clock.offsetAt(slept))
	// It stays, also when the next reading is a little earlier.
	later := reading{monotonic: slept.monotonic.Add(time.Second), boot: slept.boot + time.Second - time.Millisecond}
	must.Eq(t, 7*time.Second+noticed/2, clock.offsetAt(later))
}

// A deadline of this clock ends a context in time after a suspension.
func TestADeadlineAfterASuspension(t *testing.T) {
	process.suspended.Store(int64(time.Hour))
	defer process.suspended.Store(0)
	now := Now()
	must.True(t, now.After(time.Now().Add(59*time.Minute)))
	ctx, cancel := WithDeadline(context.Background(), now.Add(time.Millisecond))
	defer cancel()
	<-ctx.Done()
	must.GreaterEq(t, time.Millisecond, Since(now))
	must.Less(t, time.Minute, Since(now))
}
