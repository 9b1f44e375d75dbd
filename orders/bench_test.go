package orders

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/pipeline"
)

// BenchmarkBegin claims orders over five instances in one process and ends each
// claim with OutcomeNotRun, including encoding but without a network. The five
// replicas share the CPU.
func BenchmarkBegin(b *testing.B) {
	fleet := newTestFleet(b, 5)
	orders := 0
	for b.Loop() {
		orders++
		result, refusal := begin(fleet.services[0], strconv.Itoa(orders))
		if refusal != nil {
			// The memory limit of the test replicas is small, so Begin may refuse an
			// order.
			must.Eq(b, pipeline.KindIdempotencyUnavailable, refusal.Kind)
			continue
		}
		must.True(b, result.Claim.MayDispatch(time.Now()))
		result.Claim.Finish(pipeline.OutcomeNotRun, nil)
	}
	must.NoError(b, fleet.services[0].Drain(b.Context()))
}
