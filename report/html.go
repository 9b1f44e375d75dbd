package report

import (
	_ "embed"
	"html/template"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"millis": formatMillis,
	"stamp":  formatTime,
	"sum":    balanceMark,
}).Parse(pageSource))

// page is the data of the template page.html. SummaryLine is the text that
// Report.summaryLine returns; Routes, Accounts and ListedEvents are the rows that the page
// lists.
type page struct {
	*Report
	SummaryLine  string
	Routes       []LatencyRow
	Accounts     []LatencyRow
	ListedEvents []Event
	Chart        chart
}

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	content := page{
		Report:       r,
		SummaryLine:  r.summaryLine(),
		Routes:       r.Routes[:min(len(r.Routes), maxRows)],
		Accounts:     r.Accounts[:min(len(r.Accounts), maxRows)],
		ListedEvents: r.Events[:min(len(r.Events), maxRows)],
		Chart:        newChart(r),
	}
	return errors.Wrap(pageTemplate.Execute(w, content), "write the report")
}

// Layout of the chart in SVG user units, and limits on its elements.
const (
	chartWidth  = 960
	chartHeight = 300
	plotLeft    = 70
	plotRight   = 915
	plotTop     = 15
	plotBottom  = 260
	gridLines   = 4
	maxMarks    = 500
)

// point is a position in the chart.
type point struct{ X, Y float64 }

// mark is an event, or an hour with orders of unknown outcome, in the chart.
type mark struct {
	X     float64
	Class string
	Title string
}

// gridLabel is a grid line with its text. Position is its x or y coordinate.
type gridLabel struct {
	Position float64
	Text     string
}

// chart shows the latency over the time span of the report, with events marked.
type chart struct {
	Width, Height             int
	Left, Right, Top, Bottom  int
	MedianLine, P99Line       []point
	UnknownOrders             []mark
	Events                    []mark
	LatencyLabels, TimeLabels []gridLabel
}

// newChart returns the chart of a report.
func newChart(r *Report) chart {
	p := chart{
		Width: chartWidth, Height: chartHeight,
		Left: plotLeft, Right: plotRight, Top: plotTop, Bottom: plotBottom,
	}
	maxLatency := time.Millisecond
	for i := range r.Hours {
		maxLatency = max(maxLatency, r.Hours[i].Latency.P99)
	}
	for i := range r.Hours {
		hour := &r.Hours[i]
		x := r.timeToX(hour.Start.Add(time.Hour / 2))
		if hour.Latency.Count > 0 {
			p.MedianLine = append(p.MedianLine, point{X: x, Y: latencyToY(hour.Latency.P50, maxLatency)})
			p.P99Line = append(p.P99Line, point{X: x, Y: latencyToY(hour.Latency.P99, maxLatency)})
		}
		if hour.Orders.Unknown > 0 {
			p.UnknownOrders = append(p.UnknownOrders, mark{X: x, Class: "unknown", Title: formatTime(hour.Start) + ": orders with unknown outcome"})
		}
	}
	for _, event := range r.Events[:min(len(r.Events), maxMarks)] {
		title := formatTime(event.At) + " " + string(event.Kind) + " " + event.Subject() + " of " + string(event.Service)
		p.Events = append(p.Events, mark{X: r.timeToX(event.At), Class: string(event.Kind), Title: title})
	}
	for i := range gridLines + 1 {
		latency := maxLatency * time.Duration(i) / gridLines
		p.LatencyLabels = append(p.LatencyLabels, gridLabel{Position: latencyToY(latency, maxLatency), Text: formatMillis(latency)})
	}
	for at := r.From.Truncate(24 * time.Hour).Add(24 * time.Hour); at.Before(r.To); at = at.Add(24 * time.Hour) {
		p.TimeLabels = append(p.TimeLabels, gridLabel{Position: r.timeToX(at), Text: at.UTC().Format("Mon 2 Jan")})
	}
	return p
}

// timeToX returns the x coordinate of a time.
func (r *Report) timeToX(at time.Time) float64 {
	fraction := float64(at.Sub(r.From)) / float64(max(r.To.Sub(r.From), 1))
	return roundToTenth(plotLeft + min(max(fraction, 0), 1)*(plotRight-plotLeft))
}

// latencyToY returns the y coordinate of a latency, where maxLatency is at the top.
func latencyToY(latency, maxLatency time.Duration) float64 {
	return roundToTenth(plotBottom - float64(latency)/float64(maxLatency)*(plotBottom-plotTop))
}

func roundToTenth(units float64) float64 { return math.Round(units*10) / 10 }
