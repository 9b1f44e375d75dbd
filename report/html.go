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
	"millis": millis,
	"stamp":  stamp,
	"sum":    sumMark,
}).Parse(pageSource))

// page is what the template shows.
type page struct {
	*Report
	Verdict  string
	Routes   []LatencyRow
	Accounts []LatencyRow
	Named    []Event
	Picture  picture
}

// WriteHTML writes the report as one self-contained page.
func (r *Report) WriteHTML(w io.Writer) error {
	content := page{
		Report:   r,
		Verdict:  r.verdict(),
		Routes:   r.Routes[:min(len(r.Routes), maxRows)],
		Accounts: r.Accounts[:min(len(r.Accounts), maxRows)],
		Named:    r.Events[:min(len(r.Events), maxRows)],
		Picture:  newPicture(r),
	}
	return errors.Wrap(pageTemplate.Execute(w, content), "write the report")
}

// Size of the picture, in SVG user units.
const (
	pictureWidth  = 960
	pictureHeight = 300
	plotLeft      = 70
	plotRight     = 915
	plotTop       = 15
	plotBottom    = 260
	gridLines     = 4
	maxMarks      = 500
)

// point is a place in the picture.
type point struct{ X, Y float64 }

// mark is an event in the picture.
type mark struct {
	X     float64
	Class string
	Title string
}

// label is a line of the grid with its text.
type label struct {
	At   float64
	Text string
}

// picture is latency over the span of the report with its events marked.
type picture struct {
	Width, Height             int
	Left, Right, Top, Bottom  int
	Median, Tail              []point
	UnknownOrders             []mark
	Events                    []mark
	LatencyLabels, TimeLabels []label
}

func newPicture(r *Report) picture {
	p := picture{
		Width: pictureWidth, Height: pictureHeight,
		Left: plotLeft, Right: plotRight, Top: plotTop, Bottom: plotBottom,
	}
	highest := time.Millisecond
	for i := range r.Hours {
		highest = max(highest, r.Hours[i].Latency.P99)
	}
	for i := range r.Hours {
		hour := &r.Hours[i]
		x := r.x(hour.Start.Add(time.Hour / 2))
		if hour.Latency.Count > 0 {
			p.Median = append(p.Median, point{X: x, Y: y(hour.Latency.P50, highest)})
			p.Tail = append(p.Tail, point{X: x, Y: y(hour.Latency.P99, highest)})
		}
		if hour.Orders.Unknown > 0 {
			p.UnknownOrders = append(p.UnknownOrders, mark{X: x, Class: "unknown", Title: stamp(hour.Start) + ": orders with unknown outcome"})
		}
	}
	for _, event := range r.Events[:min(len(r.Events), maxMarks)] {
		title := stamp(event.At) + " " + string(event.Kind) + " " + string(event.Server) + " of " + string(event.Service)
		p.Events = append(p.Events, mark{X: r.x(event.At), Class: string(event.Kind), Title: title})
	}
	for i := range gridLines + 1 {
		part := highest * time.Duration(i) / gridLines
		p.LatencyLabels = append(p.LatencyLabels, label{At: y(part, highest), Text: millis(part)})
	}
	for at := r.From.Truncate(24 * time.Hour).Add(24 * time.Hour); at.Before(r.To); at = at.Add(24 * time.Hour) {
		p.TimeLabels = append(p.TimeLabels, label{At: r.x(at), Text: at.UTC().Format("Mon 2 Jan")})
	}
	return p
}

// x is the place of a time in the picture.
func (r *Report) x(at time.Time) float64 {
	part := float64(at.Sub(r.From)) / float64(max(r.To.Sub(r.From), 1))
	return tenth(plotLeft + min(max(part, 0), 1)*(plotRight-plotLeft))
}

// y is the place of a latency in the picture.
func y(latency, highest time.Duration) float64 {
	return tenth(plotBottom - float64(latency)/float64(highest)*(plotBottom-plotTop))
}

func tenth(units float64) float64 { return math.Round(units*10) / 10 }
