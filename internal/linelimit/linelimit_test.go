package linelimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLimiterBoundsLinesAndReportsOmissionsOnce(t *testing.T) {
	const maxPerSecond = 3
	limiter := New(maxPerSecond)
	now := time.Unix(1000, 0)
	for i := range 10 {
		allowed, omitted := limiter.Allow(now.Add(time.Duration(i) * time.Millisecond))
		must.Eq(t, i < maxPerSecond, allowed)
		must.Zero(t, omitted)
	}
	allowed, omitted := limiter.Allow(now.Add(time.Second))
	must.True(t, allowed)
	must.Eq(t, 10-maxPerSecond, omitted)
	_, omitted = limiter.Allow(now.Add(2 * time.Second))
	must.Zero(t, omitted)
}
