package selection

import (
	"testing"

	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/pipeline"
)

// BenchmarkPick measures the choice of a backend server and the record of its end, for a service
// larger than a subset.
func BenchmarkPick(b *testing.B) {
	selector := newTwoDomainSelector(subsetSize)
	exchange := &pipeline.Exchange{Service: "catalogue", Idempotent: true}
	b.ReportAllocs()
	for b.Loop() {
		candidate, _ := selector.Pick(exchange, nil)
		selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue"})
	}
}
