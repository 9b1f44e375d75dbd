package report

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// addGaps names the summaries that are missing from streams that touch the span,
// and the services whose orders an instance has not counted once.
func (r *Report) addGaps(book *Aggregator, silence time.Duration) {
	for _, stream := range book.sortedStreams() {
		if !stream.Start.Before(r.To) || stream.End.Before(r.From) {
			continue
		}
		for _, open := range stream.miscounted() {
			r.Total.OrdersExact = false
			r.markInexact(open.Service)
			r.Faults = append(r.Faults, fmt.Sprintf("instance %s counted orders of service %s wrongly: %d more received than ended",
				stream.Instance, open.Service, open.Count))
		}
		for _, gap := range stream.gaps(r.GeneratedAt, silence) {
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

// addFaults says in words why the figures may be incomplete or inexact.
func (r *Report) addFaults(totals *Totals, book *Aggregator) {
	fault := func(format string, arguments ...any) {
		r.Faults = append(r.Faults, fmt.Sprintf(format, arguments...))
	}
	if r.Summaries == 0 {
		fault("no summary has come for this span; look whether instances reach control")
	}
	for _, gap := range r.Gaps {
		r.Faults = append(r.Faults, gap.String())
	}
	if r.GapCount > len(r.Gaps) {
		fault("%d more gaps are not named here", r.GapCount-len(r.Gaps))
	}
	if !r.Total.Orders.Balanced() {
		fault("the order counts do not add up: %d received, %d counted; report this as a fault of hemlockring",
			r.Total.Orders.Received, r.Total.Orders.counted())
	}
	if totals.InexactSummaries > 0 {
		fault("%d summaries have order counts that do not add up", totals.InexactSummaries)
	}
	if totals.EventsDropped > 0 {
		fault("%d events are counted but not named", totals.EventsDropped)
	}
	if book.skewed > 0 {
		fault("%d summaries came from instances whose clock is ahead; they count in the hour they came", book.skewed)
	}
	r.Complete = len(r.Faults) == 0
}

// counted is the number of orders that are in one of the counts.
func (c OrderCounts) counted() int64 {
	return int64(c.RanOnce+c.NotRun+c.Unknown+c.RepeatsAnswered+c.RepeatsReferred) + c.Open
}

// String says what is missing.
func (g Gap) String() string {
	if g.Last == 0 {
		return fmt.Sprintf("instance %s (started as %d) ended without its last summary: what it did after %s is not in the counts",
			g.Instance, g.Incarnation, g.After.UTC().Format(time.RFC3339))
	}
	if g.First == g.Last {
		return fmt.Sprintf("instance %s (started as %d): summary %d is missing", g.Instance, g.Incarnation, g.First)
	}
	return fmt.Sprintf("instance %s (started as %d): summaries %d to %d are missing", g.Instance, g.Incarnation, g.First, g.Last)
}
