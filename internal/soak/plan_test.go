package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A seed always gives the same plan, every kind comes, faults overlap and end in
// time, and no instance has two faults of its process at once.
func TestPlansFollowTheirSeeds(t *testing.T) {
	const duration, instances, seeds = 60 * time.Second, 9, 50
	kinds := make(map[Kind]int)
	for seed := range uint64(seeds) {
		events := Plan(seed, duration, instances)
		must.Eq(t, events, Plan(seed, duration, instances))
		overlaps := 0
		busy := make(map[int]time.Duration)
		var latest time.Duration
		for _, event := range events {
			kinds[event.Kind]++
			must.Less(t, duration, event.At+event.For)
			must.NotEq(t, event.Instance, event.Other)
			if event.At < latest {
				overlaps++
			}
			latest = max(latest, event.At+event.For)
			if event.Kind.ofProcess() {
				must.GreaterEq(t, busy[event.Instance], event.At)
				busy[event.Instance] = event.At + event.For
			}
		}
		must.Greater(t, 10, overlaps)
	}
	must.MapLen(t, len(weights), kinds)
}
