package report

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// addGaps adds the gaps in the streams that overlap the time span, and a fault for
// each service whose orders an instance has miscounted.
func (r *Report) addGaps(aggregator *Aggregator, silenceTimeout time.Duration) {
	for _, stream := range aggregator.sortedStreams() {
		if !stream.Start.Before(r.To) || stream.End.Before(r.From) {
			continue
		}
		for _, openOrders := range stream.miscounted() {
			r.Total.OrdersExact = false
			r.markInexact(openOrders.Service)
			r.Faults = append(r.Faults, fmt.Sprintf("instance %s miscounted the orders of service %s: received less ended is %d, not 0; report this as a fault of hemlockring",
				stream.Instance, openOrders.Service, openOrders.Count))
		}
		for _, gap := range stream.gaps(r.GeneratedAt, silenceTimeout) {
			r.GapCount++
			if len(r.Gaps) < maxGaps {
				r.Gaps = append(r.Gaps, gap)
			}
		}
	}
}

func (r *Report) markInexact(service fleetconfig.ServiceName) {
	for i := range r.Services {
		if r.Services[i].Service == service {
			r.Services[i].OrdersExact = false
		}
	}
}

// addFaults adds texts that say why the figures may be incomplete or inexact.
func (r *Report) addFaults(totals *Totals, aggregator *Aggregator) {
	addFault := func(format string, arguments ...any) {
		r.Faults = append(r.Faults, fmt.Sprintf(format, arguments...))
	}
	if r.Summaries == 0 {
		addFault("no summary was received for this time span; check that the instances reach the control instances")
	}
	for _, gap := range r.Gaps {
		r.Faults = append(r.Faults, gap.String())
	}
	if r.GapCount > len(r.Gaps) {
		addFault("%d more gaps are not listed", r.GapCount-len(r.Gaps))
	}
	if !r.Total.Orders.Balanced() {
		addFault("the order counts do not add up: %d received, %d counted; report this as a fault of hemlockring",
			r.Total.Orders.Received, r.Total.Orders.accounted())
	}
	if totals.InexactSummaries > 0 {
		addFault("%d summaries have order counts that do not add up", totals.InexactSummaries)
	}
	if totals.EventsDropped > 0 {
		addFault("%d events are counted but not listed", totals.EventsDropped)
	}
	if aggregator.clockLeadSummaries > 0 {
		addFault("%d summaries came from instances whose clock is ahead; they are counted in the hour in which they were received; correct the clocks", aggregator.clockLeadSummaries)
	}
	r.Complete = len(r.Faults) == 0
}

// accounted returns the number of orders that ended or are still open.
func (c OrderCounts) accounted() int64 {
	return int64(c.RanOnce+c.NotRun+c.Unknown+c.RepeatsAnswered+c.RepeatsReferred) + c.Open
}

// String describes the missing summaries.
func (g Gap) String() string {
	if g.Last == 0 {
		return fmt.Sprintf("instance %s (incarnation %d) ended without its last summary: its requests after %s are not in the counts",
			g.Instance, g.Incarnation, g.After.UTC().Format(time.RFC3339))
	}
	if g.First == g.Last {
		return fmt.Sprintf("instance %s (incarnation %d): summary %d is missing", g.Instance, g.Incarnation, g.First)
	}
	return fmt.Sprintf("instance %s (incarnation %d): summaries %d to %d are missing", g.Instance, g.Incarnation, g.First, g.Last)
}
