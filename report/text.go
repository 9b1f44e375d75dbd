package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRows is how many routes, accounts and events the text and HTML formats list.
// JSON contains all.
const maxRows = 20

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write the report")
}

// WriteText writes the report for a terminal. The row of each service has its
// response latency and its order counts.
func (r *Report) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "hemlockring report, %s to %s\n", formatTime(r.From), formatTime(r.To))
	fmt.Fprintf(&text, "generated %s from %d summaries\n\n%s\n", formatTime(r.GeneratedAt), r.Summaries, r.summaryLine())
	for _, fault := range r.Faults {
		fmt.Fprintf(&text, "  ! %s\n", fault)
	}
	r.writeServices(&text)
	r.writeRows(&text, "route", r.Routes)
	r.writeRows(&text, "account or class", r.Accounts)
	r.writeEventsAndRefusals(&text)
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write the report")
}

// summaryLine summarizes the latency and the order counts, and says whether every order
// was counted exactly once.
func (r *Report) summaryLine() string {
	counted := "every order received was counted exactly once"
	switch {
	case !r.Total.OrdersExact:
		counted = "THE ORDER COUNTS DO NOT ADD UP, see below"
	case !r.Complete:
		counted = "every order in the received summaries was counted exactly once, but figures are incomplete or inexact, see below"
	}
	return fmt.Sprintf("Latency: p99 %s over %d responses. Orders: %d received, %d ran once, %d unknown; %s.",
		formatMillis(r.Total.Latency.P99), r.Total.Latency.Count, r.Total.Orders.Received, r.Total.Orders.RanOnce,
		r.Total.Orders.Unknown, counted)
}

func (r *Report) writeServices(text *strings.Builder) {
	text.WriteString("\nLatency and orders by service\n")
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "service\tresponses\tp50\tp99\tp99.9\tmax\t|\torders\tran once\tnot run\tunknown\trepeats\treferred\topen\tsum\t")
	for i := range r.Services {
		writeServiceRow(table, string(r.Services[i].Service), &r.Services[i])
	}
	writeServiceRow(table, "total", &r.Total)
	_ = table.Flush()
}

func writeServiceRow(table io.Writer, name string, row *ServiceRow) {
	l, o := row.Latency, row.Orders
	_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t|\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n",
		name, l.Count, formatMillis(l.P50), formatMillis(l.P99), formatMillis(l.P999), formatMillis(l.Max),
		o.Received, o.RanOnce, o.NotRun, o.Unknown, o.RepeatsAnswered, o.RepeatsReferred, o.Open, balanceMark(row.OrdersExact))
}

func (r *Report) writeRows(text *strings.Builder, title string, rows []LatencyRow) {
	fmt.Fprintf(text, "\nSlowest by %s\n", title)
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "%s\tresponses\tp50\tp99\tp99.9\tmax\t\n", title)
	for _, row := range rows[:min(len(rows), maxRows)] {
		l := row.Latency
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t\n", row.Name, l.Count, formatMillis(l.P50), formatMillis(l.P99), formatMillis(l.P999), formatMillis(l.Max))
	}
	_ = table.Flush()
}

// writeEventsAndRefusals writes the slowest account, the detections and ejections of
// backend servers, and the refusals.
func (r *Report) writeEventsAndRefusals(text *strings.Builder) {
	if r.SlowestAccount != nil {
		fmt.Fprintf(text, "\nslowest account: %s, p99 %s\n", r.SlowestAccount.Name, formatMillis(r.SlowestAccount.Latency.P99))
	}
	d := r.Detection
	fmt.Fprintf(text, "\nfailing backend servers: %d detected (median %s, worst %s), %d ejected, %d of them wrongly\n",
		d.Detected, formatMillis(d.Median), formatMillis(d.Worst), d.Ejected, d.FalseEjections)
	for _, event := range r.Events[:min(len(r.Events), maxRows)] {
		fmt.Fprintf(text, "  %s %s %s of %s at %s\n", formatTime(event.At), event.Kind, event.Subject(), event.Service, event.Instance)
	}
	fmt.Fprintf(text, "\nwrongful refusals (not the fault of the caller): %d\n", r.WrongfulRefusals)
	for _, refusal := range r.Refusals {
		mark := ""
		if refusal.Wrongful {
			mark = " (wrongful)"
		}
		fmt.Fprintf(text, "  %s: %d%s\n", refusal.Kind, refusal.Count, mark)
	}
}

func balanceMark(exact bool) string {
	if exact {
		return "ok"
	}
	return "WRONG"
}

func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02 15:04") }

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
