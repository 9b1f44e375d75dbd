package processpause

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A standstill is noticed before the first beat after it, and for a while after.
func TestARequestRightAfterAFreezeIsSuspect(t *testing.T) {
	detector := NewDetector()
	now := detector.start.Add(time.Second)
	must.False(t, detector.MayBeDelayed(now))
	detector.beat(now)
	must.False(t, detector.MayBeDelayed(now.Add(Threshold)))

	thawed := now.Add(5 * time.Second)
	must.True(t, detector.MayBeDelayed(thawed))
	detector.beat(thawed)
	must.True(t, detector.MayBeDelayed(thawed.Add(quarantine-time.Millisecond)))
	must.False(t, detector.MayBeDelayed(thawed.Add(quarantine+time.Millisecond)))
}
