package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// Week is the default time span of a report.
	Week = 7 * 24 * time.Hour
	// maxGaps bounds the gaps that a report lists. Further gaps are only counted.
	maxGaps = 100
	// minSlowestAccountResponses is how many responses an account needs in the
	// report to be named as the slowest account.
	minSlowestAccountResponses = 100
)

// ServiceRow holds the response latency and the order counts of one service.
type ServiceRow struct {
	Service fleetconfig.ServiceName `json:"service"`
	// Latency is the response latency.
	Latency Quantiles `json:"latency"`
	// Orders counts the orders by outcome.
	Orders OrderCounts `json:"orders"`
	// OrdersExact reports whether every received order is in exactly one count.
	OrdersExact bool `json:"orders_exact"`
}

// LatencyRow holds the response latency of a route or account.
type LatencyRow struct {
	// Name is the route, the account or the class of accounts.
	Name string `json:"name"`
	// Latency is the response latency.
	Latency Quantiles `json:"latency"`
}

// HourRow holds the figures of one hour, for the chart.
type HourRow struct {
	// Start is the beginning of the hour.
	Start time.Time `json:"start"`
	// Latency is the response latency over all services.
	Latency Quantiles `json:"latency"`
	// Orders counts the orders of all services by outcome.
	Orders OrderCounts `json:"orders"`
}

// Detection summarizes how failing backend servers were detected and ejected.
type Detection struct {
	// Detected, Ejected and FalseEjections count events.
	Detected       uint64 `json:"detected"`
	Ejected        uint64 `json:"ejected"`
	FalseEjections uint64 `json:"false_ejections"`
	// Median and Worst are the median and the maximum of the known detection times.
	Median time.Duration `json:"median_ns"`
	Worst  time.Duration `json:"worst_ns"`
}

// Report shows the response latency and the order counts of a time span.
type Report struct {
	// From and To delimit the hours that the report covers: those that begin in
	// [From, To).
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// GeneratedAt is when the report was generated.
	GeneratedAt time.Time `json:"made"`
	// Total covers all services together.
	Total ServiceRow `json:"total"`
	// Services, Routes and Accounts are ordered by p99, the slowest first.
	Services []ServiceRow `json:"services"`
	Routes   []LatencyRow `json:"routes"`
	Accounts []LatencyRow `json:"accounts"`
	// SlowestAccount is the account or class with the highest p99, nil when none has
	// enough responses.
	SlowestAccount *LatencyRow `json:"worst_served_account"`
	// Hours holds the figures by the hour, in the order of time.
	Hours []HourRow `json:"hours"`
	// Detection summarizes the events that Events lists.
	Detection Detection `json:"detection"`
	Events    []Event   `json:"events"`
	// EventCount counts all events, including those that are not listed.
	EventCount uint64 `json:"event_count"`
	// Refusals counts the refusals by kind. WrongfulRefusals counts those that were
	// the fault of the fleet, not of the caller.
	Refusals         []RefusalCount `json:"refusals"`
	WrongfulRefusals uint64         `json:"wrongful_refusals"`
	// Complete reports whether no fault was found. Faults describes what is missing
	// or inexact.
	Complete bool     `json:"complete"`
	Faults   []string `json:"faults"`
	// Gaps lists missing summaries, up to a limit. GapCount counts all gaps.
	Gaps     []Gap `json:"gaps"`
	GapCount int   `json:"gap_count"`
	// Summaries is the number of summaries that the report is computed from.
	Summaries uint64 `json:"summaries"`
}

// NewReport returns the report of the hours that begin in [from, to). When an
// instance has sent no summary for longer than silenceTimeout and did not announce
// its stop, its last interval counts as lost.
func NewReport(aggregator *Aggregator, from, to, now time.Time, silenceTimeout time.Duration) *Report {
	hours, totals := aggregator.between(from, to)
	report := &Report{
		From:             from,
		To:               to,
		GeneratedAt:      now,
		Summaries:        totals.Summaries,
		Detection:        detectionOf(totals.Events),
		Events:           totals.Events,
		EventCount:       totals.EventCount,
		Refusals:         totals.refusals(),
		WrongfulRefusals: totals.wrongfulRefusals(),
	}
	report.Total = ServiceRow{Latency: totals.allLatency().Quantiles(), Orders: totals.allOrders()}
	report.Total.OrdersExact = report.Total.Orders.Balanced()
	report.addRows(&totals)
	for i := range hours {
		report.Hours = append(report.Hours, HourRow{
			Start:   hours[i].Start,
			Latency: hours[i].Totals.allLatency().Quantiles(),
			Orders:  hours[i].Totals.allOrders(),
		})
	}
	report.addGaps(aggregator, silenceTimeout)
	report.addFaults(&totals, aggregator)
	return report
}

// addRows adds the rows of services, routes and accounts, and finds the slowest
// account.
func (r *Report) addRows(totals *Totals) {
	services := make(map[fleetconfig.ServiceName]Quantiles)
	for i := range totals.Latency {
		series := &totals.Latency[i]
		row := LatencyRow{Name: series.Key.Name, Latency: series.Latency.Quantiles()}
		switch series.Key.Kind {
		case SeriesService:
			services[fleetconfig.ServiceName(row.Name)] = row.Latency
		case SeriesRoute:
			r.Routes = append(r.Routes, row)
		case SeriesAccount:
			r.Accounts = append(r.Accounts, row)
		}
	}
	for i := range totals.Orders {
		if _, known := services[totals.Orders[i].Service]; !known {
			services[totals.Orders[i].Service] = Quantiles{}
		}
	}
	for service, latency := range services {
		orders := totals.ordersOf(service)
		r.Services = append(r.Services, ServiceRow{Service: service, Latency: latency, Orders: orders, OrdersExact: orders.Balanced()})
	}
	slices.SortFunc(r.Services, func(a, b ServiceRow) int {
		return cmp.Or(-cmp.Compare(a.Latency.P99, b.Latency.P99), cmp.Compare(a.Service, b.Service))
	})
	sortSlowestFirst(r.Routes)
	sortSlowestFirst(r.Accounts)
	for i := range r.Accounts {
		if r.Accounts[i].Latency.Count >= minSlowestAccountResponses {
			r.SlowestAccount = &r.Accounts[i]
			break
		}
	}
}

func sortSlowestFirst(rows []LatencyRow) {
	slices.SortFunc(rows, func(a, b LatencyRow) int {
		return cmp.Or(-cmp.Compare(a.Latency.P99, b.Latency.P99), cmp.Compare(a.Name, b.Name))
	})
}

func detectionOf(events []Event) Detection {
	var detection Detection
	var detectionTimes []time.Duration
	for i := range events {
		if events[i].DetectionTime > 0 {
			detectionTimes = append(detectionTimes, events[i].DetectionTime)
		}
		switch events[i].Kind {
		case EventDetected:
			detection.Detected++
		case EventEjected:
			detection.Ejected++
			if events[i].FalsePositive {
				detection.FalseEjections++
			}
		}
	}
	if len(detectionTimes) > 0 {
		slices.Sort(detectionTimes)
		detection.Median = detectionTimes[(len(detectionTimes)-1)/2]
		detection.Worst = detectionTimes[len(detectionTimes)-1]
	}
	return detection
}
