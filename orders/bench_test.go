package orders

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/pipeline"
)

// BenchmarkBegin claims and finishes orders over five instances in one process,
// with all encoding and no network. Five replicas share the processor time.
func BenchmarkBegin(b *testing.B) {
	fleet := newTestFleet(b, 5)
	orders := 0
	for b.Loop() {
		orders++
		begun, refusal := begin(fleet.services[0], strconv.Itoa(orders))
		if refusal != nil {
			// The replicas of the test are small.
			must.Eq(b, pipeline.KindIdempotencyUnavailable, refusal.Kind)
			continue
		}
		must.True(b, begun.Claim.MayDispatch(time.Now()))
		begun.Claim.Finish(pipeline.OutcomeNotRun, nil)
	}
	must.NoError(b, fleet.services[0].Drain(b.Context()))
}
