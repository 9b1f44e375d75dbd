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

// maxRows bounds the routes, accounts and events that the text and HTML forms
// list. JSON has all.
const maxRows = 20

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write the report")
}

// WriteText writes the report for a terminal. Each service's line has both how
// late its answers were and how its orders ended.
func (r *Report) WriteText(w io.Writer) error {
	var page strings.Builder
	fmt.Fprintf(&page, "hemlockring report, %s to %s\n", stamp(r.From), stamp(r.To))
	fmt.Fprintf(&page, "made %s from %d summaries\n\n%s\n", stamp(r.GeneratedAt), r.Summaries, r.verdict())
	for _, text := range r.Faults {
		fmt.Fprintf(&page, "  ! %s\n", text)
	}
	r.writeServices(&page)
	r.writeRows(&page, "route", r.Routes)
	r.writeRows(&page, "account or class", r.Accounts)
	r.writeDetection(&page)
	_, err := io.WriteString(w, page.String())
	return errors.Wrap(err, "write the report")
}

// verdict answers both questions in one sentence.
func (r *Report) verdict() string {
	counted := "every order received is in exactly one count"
	switch {
	case !r.Total.OrdersExact:
		counted = "THE ORDER COUNTS DO NOT ADD UP, see below"
	case !r.Complete:
		counted = "every order in the summaries that came is in exactly one count, but figures are incomplete or inexact, see below"
	}
	return fmt.Sprintf("Late answers: p99 %s over %d answers. Orders: %d received, %d ran once, %d unknown; %s.",
		millis(r.Total.Latency.P99), r.Total.Latency.Count, r.Total.Orders.Received, r.Total.Orders.RanOnce,
		r.Total.Orders.Unknown, counted)
}

func (r *Report) writeServices(page *strings.Builder) {
	page.WriteString("\nHow late answers were, and whether every order counted once\n")
	table := tabwriter.NewWriter(page, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "service\tanswers\tp50\tp99\tp99.9\tmax\t|\torders\tran once\tnot run\tunknown\trepeats\treferred\topen\tsum\t")
	for i := range r.Services {
		writeServiceRow(table, string(r.Services[i].Service), &r.Services[i])
	}
	writeServiceRow(table, "total", &r.Total)
	_ = table.Flush()
}

func writeServiceRow(table io.Writer, name string, row *ServiceRow) {
	l, o := row.Latency, row.Orders
	_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t|\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n",
		name, l.Count, millis(l.P50), millis(l.P99), millis(l.P999), millis(l.Max),
		o.Received, o.RanOnce, o.NotRun, o.Unknown, o.RepeatsAnswered, o.RepeatsReferred, o.Open, sumMark(row.OrdersExact))
}

func (r *Report) writeRows(page *strings.Builder, title string, rows []LatencyRow) {
	fmt.Fprintf(page, "\nSlowest by %s\n", title)
	table := tabwriter.NewWriter(page, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "%s\tanswers\tp50\tp99\tp99.9\tmax\t\n", title)
	for _, row := range rows[:min(len(rows), maxRows)] {
		l := row.Latency
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t\n", row.Name, l.Count, millis(l.P50), millis(l.P99), millis(l.P999), millis(l.Max))
	}
	_ = table.Flush()
}

func (r *Report) writeDetection(page *strings.Builder) {
	if r.SlowestAccount != nil {
		fmt.Fprintf(page, "\nworst-served account: %s, p99 %s\n", r.SlowestAccount.Name, millis(r.SlowestAccount.Latency.P99))
	}
	d := r.Detection
	fmt.Fprintf(page, "\nfailing backend servers: %d detected (median %s, worst %s), %d ejected, %d of these wrongly\n",
		d.Detected, millis(d.Median), millis(d.Worst), d.Ejected, d.FalseEjections)
	for _, event := range r.Events[:min(len(r.Events), maxRows)] {
		fmt.Fprintf(page, "  %s %s %s of %s beside %s\n", stamp(event.At), event.Kind, event.Server, event.Service, event.Instance)
	}
	fmt.Fprintf(page, "\nrefusals through no fault of the caller: %d\n", r.WrongfulRefusals)
	for _, refusal := range r.Refusals {
		mark := ""
		if refusal.Wrongful {
			mark = " (wrongful)"
		}
		fmt.Fprintf(page, "  %s: %d%s\n", refusal.Kind, refusal.Count, mark)
	}
}

func sumMark(exact bool) string {
	if exact {
		return "ok"
	}
	return "WRONG"
}

func stamp(at time.Time) string { return at.UTC().Format("2006-01-02 15:04") }

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
