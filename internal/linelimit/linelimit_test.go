package linelimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLinesAreBoundedAndOmissionsToldOnce(t *testing.T) {
	const most = 3
	limiter := New(most)
	now := time.Unix(1000, 0)
	for i := range 10 {
		permitted, omitted := limiter.Allow(now.Add(time.Duration(i) * time.Millisecond))
		must.Eq(t, i < most, permitted)
		must.Zero(t, omitted)
	}
	permitted, omitted := limiter.Allow(now.Add(time.Second))
	must.True(t, permitted)
	must.Eq(t, 10-most, omitted)
	_, omitted = limiter.Allow(now.Add(2 * time.Second))
	must.Zero(t, omitted)
}
