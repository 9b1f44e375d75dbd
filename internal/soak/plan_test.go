package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A seed always gives the same plan, every kind occurs, faults overlap and end before the
// duration, and no instance has two faults of its process at once.
func TestPlanIsDeterministicAndWithinLimits(t *testing.T) {
	const duration, instances, seeds = 60 * time.Second, 9, 50
	kinds := make(map[FaultKind]int)
	for seed := range uint64(seeds) {
		events := Plan(seed, duration, instances)
		must.Eq(t, events, Plan(seed, duration, instances))
		overlaps := 0
		processBusyUntil := make(map[int]time.Duration)
		var latestEnd time.Duration
		for _, event := range events {
			kinds[event.Kind]++
			must.Less(t, duration, event.Start+event.Duration)
			must.NotEq(t, event.Instance, event.Peer)
			if event.Start < latestEnd {
				overlaps++
			}
			latestEnd = max(latestEnd, event.Start+event.Duration)
			if event.Kind.affectsProcess() {
				must.GreaterEq(t, processBusyUntil[event.Instance], event.Start)
				processBusyUntil[event.Instance] = event.Start + event.Duration
			}
		}
		must.Greater(t, 10, overlaps)
	}
	must.MapLen(t, len(weights)+4, kinds)
}
