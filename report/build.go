package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// Week is the usual span of a report.
	Week = 7 * 24 * time.Hour
	// maxGaps bounds the gaps that a report names; the rest is counted.
	maxGaps = 100
	// worstAccountRequests is how many requests an account needs in the report to
	// be named as the worst served.
	worstAccountRequests = 100
)

// ServiceRow is one service: how late its answers were and how its orders ended.
type ServiceRow struct {
	// Service is the service.
	Service fleetconfig.ServiceName `json:"service"`
	// Latency is how late answers were.
	Latency Quantiles `json:"latency"`
	// Orders is how its orders ended.
	Orders OrderCounts `json:"orders"`
	// OrdersExact says that every order received is in exactly one count.
	OrdersExact bool `json:"orders_exact"`
}

// LatencyRow is the latencies of a route or account.
type LatencyRow struct {
	// Name is the route, account or class of accounts.
	Name string `json:"name"`
	// Latency is how late answers were.
	Latency Quantiles `json:"latency"`
}

// HourRow is one hour of the picture.
type HourRow struct {
	// Start is its beginning.
	Start time.Time `json:"start"`
	// Latency is how late answers were over all services.
	Latency Quantiles `json:"latency"`
	// Orders is how the orders of all services ended.
	Orders OrderCounts `json:"orders"`
}

// Detection is how fast failing backend servers were found.
type Detection struct {
	// Detected, Ejected and FalseEjections count events.
	Detected       uint64 `json:"detected"`
	Ejected        uint64 `json:"ejected"`
	FalseEjections uint64 `json:"false_ejections"`
	// Median and Worst are times from the first evidence to the detection, of the
	// events that state it.
	Median time.Duration `json:"median_ns"`
	Worst  time.Duration `json:"worst_ns"`
}

// Report is one span of time, both of its questions answered together.
type Report struct {
	// From and To bound the hours that the report covers.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// GeneratedAt is when the report was made.
	GeneratedAt time.Time `json:"made"`
	// Total is all services together.
	Total ServiceRow `json:"total"`
	// Services, Routes and Accounts are the parts, the latest answers first.
	Services []ServiceRow `json:"services"`
	Routes   []LatencyRow `json:"routes"`
	Accounts []LatencyRow `json:"accounts"`
	// SlowestAccount is the account or class with the latest answers, nil when none
	// has enough requests.
	SlowestAccount *LatencyRow `json:"worst_served_account"`
	// Hours is the course over the span.
	Hours []HourRow `json:"hours"`
	// Detection sums the events up; Events names them.
	Detection Detection `json:"detection"`
	Events    []Event   `json:"events"`
	// EventCount counts all events, those that are not named too.
	EventCount uint64 `json:"event_count"`
	// Refusals are the refusals by cause, and WrongfulRefusals those that were the
	// fleet's fault.
	Refusals         []RefusalCount `json:"refusals"`
	WrongfulRefusals uint64         `json:"wrongful_refusals"`
	// Complete says that no summary is known to be missing or inexact. Faults
	// names what is.
	Complete bool     `json:"complete"`
	Faults   []string `json:"faults"`
	// Gaps are the first missing summaries; GapCount counts all.
	Gaps     []Gap `json:"gaps"`
	GapCount int   `json:"gap_count"`
	// Summaries is how many summaries the report is made from.
	Summaries uint64 `json:"summaries"`
}

// NewReport makes the report of the hours that begin in [from, to). Silence is
// how long an instance may be silent before its last interval counts as lost.
func NewReport(book *Aggregator, from, to, now time.Time, silence time.Duration) *Report {
	hours, totals := book.between(from, to)
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
	report.addGaps(book, silence)
	report.addFaults(&totals, book)
	return report
}

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
	slowestFirst(r.Routes)
	slowestFirst(r.Accounts)
	for i := range r.Accounts {
		if r.Accounts[i].Latency.Count >= worstAccountRequests {
			r.SlowestAccount = &r.Accounts[i]
			break
		}
	}
}

func slowestFirst(rows []LatencyRow) {
	slices.SortFunc(rows, func(a, b LatencyRow) int {
		return cmp.Or(-cmp.Compare(a.Latency.P99, b.Latency.P99), cmp.Compare(a.Name, b.Name))
	})
}

func detectionOf(events []Event) Detection {
	var detection Detection
	var took []time.Duration
	for i := range events {
		if events[i].DetectionTime > 0 {
			took = append(took, events[i].DetectionTime)
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
	if len(took) > 0 {
		slices.Sort(took)
		detection.Median = took[(len(took)-1)/2]
		detection.Worst = took[len(took)-1]
	}
	return detection
}
