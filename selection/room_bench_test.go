package selection

import (
	"fmt"
	"testing"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// BenchmarkRoomAndPick measures what admission by room adds to a pick, with queues at all
// servers of a subset.
func BenchmarkRoomAndPick(b *testing.B) {
	for _, byRoom := range []bool{false, true} {
		b.Run(fmt.Sprintf("by-room=%t", byRoom), func(b *testing.B) {
			const serversPerDomain = subsetSize / 2
			selector := newTwoDomainSelector(serversPerDomain)
			document := fleetconfig.NewDocument()
			for i := range document.Presets {
				document.Presets[i].AdmissionByRoom = byRoom
			}
			view := fleetconfig.NewView(document)
			selector.config.View = func() *fleetconfig.View { return view }
			load := membership.ServerLoad{WeightPercent: 100, InFlight: 2 * testSlots, NextSlotMillis: 50}
			for urgency := range 4 {
				load.Waiting = append(load.Waiting, membership.RankedWork{Urgency: fleetconfig.Urgency(urgency), TotalMillis: 200, FirstMillis: 100})
			}
			now := clock.Now()
			exchange := &pipeline.Exchange{Service: "catalogue", Route: &fleetconfig.Route{ID: "r"}, View: view, Received: now, Deadline: now.Add(time.Hour)}
			reported := time.Time{}
			b.ReportAllocs()
			for b.Loop() {
				if clock.Since(reported) > time.Second {
					reported = clock.Now()
					reportLoads(selector, "near", serversPerDomain, load)
					reportLoads(selector, "far", serversPerDomain, load)
				}
				if byRoom {
					selector.Room(exchange, nil, 0)
				}
				candidate, _ := selector.Pick(exchange, nil)
				selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue"})
			}
		})
	}
}
