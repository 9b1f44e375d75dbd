package clock

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A suspension, which the monotonic clock does not show, advances this clock by its length.
// Small differences between the two clocks do not.
func TestClockIncludesSuspension(t *testing.T) {
	start := reading{monotonic: time.Now(), boot: time.Hour}
	clock := &bootClock{start: start}
	awake := reading{monotonic: start.monotonic.Add(time.Minute), boot: start.boot + time.Minute + minSuspension/2}
	must.Eq(t, 0, clock.updateSuspension(awake))
	suspended := reading{monotonic: awake.monotonic, boot: awake.boot + 7*time.Second}
	must.Eq(t, 7*time.Second+minSuspension/2, clock.updateSuspension(suspended))
	// The suspension stays the same when a later reading is slightly smaller.
	later := reading{monotonic: suspended.monotonic.Add(time.Second), boot: suspended.boot + time.Second - time.Millisecond}
	must.Eq(t, 7*time.Second+minSuspension/2, clock.updateSuspension(later))
}

// A context with a deadline of this clock ends on time after a suspension.
func TestWithDeadlineAfterSuspension(t *testing.T) {
	processClock.suspended.Store(int64(time.Hour))
	defer processClock.suspended.Store(0)
	now := Now()
	must.True(t, now.After(time.Now().Add(59*time.Minute)))
	ctx, cancel := WithDeadline(context.Background(), now.Add(time.Millisecond))
	defer cancel()
	<-ctx.Done()
	must.GreaterEq(t, time.Millisecond, Since(now))
	must.Less(t, time.Minute, Since(now))
}
