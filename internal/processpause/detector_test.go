package processpause

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A pause is detected before the first tick after it, and reported until the socket buffers
// have been drained.
func TestDetectorReportsDelayedRequestsAfterPause(t *testing.T) {
	detector := NewDetector()
	now := detector.start.Add(time.Second)
	must.False(t, detector.MayBeDelayed(now))
	detector.recordTick(now)
	must.False(t, detector.MayBeDelayed(now.Add(Threshold)))

	resumed := now.Add(5 * time.Second)
	must.True(t, detector.MayBeDelayed(resumed))
	detector.recordTick(resumed)
	must.True(t, detector.MayBeDelayed(resumed.Add(bufferDrainTime-time.Millisecond)))
	must.False(t, detector.MayBeDelayed(resumed.Add(bufferDrainTime+time.Millisecond)))
}
