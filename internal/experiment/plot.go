package experiment

import (
	"fmt"
	"html"
	"math"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Sizes of the plot, in pixels.
const (
	plotLeft      = 330
	plotWidth     = 560
	plotBarHeight = 9
	plotRowGap    = 14
	plotTop       = 70
	plotTick      = 14
)

// maxPlotRequests is the right end of the logarithmic axis.
const maxPlotRequests = 10_000

var plotColours = []string{"#999999", "#d9822b", "#3b7dd8", "#1a7f37"}

// writePlot draws the median and worst detection time, in requests of the server,
// for each fault and policy as an SVG file.
func writePlot(path string, result *Result) error {
	if path == "" {
		return nil
	}
	err := os.WriteFile(path, []byte(plot(result)), outputMode)
	return errors.Wrapf(err, "write %s; name a writable plot_file", path)
}

func plot(result *Result) string {
	policies := len(detectionPolicies)
	groups := len(result.Detection) / policies
	height := plotTop + groups*(policies*plotBarHeight+plotRowGap) + 2*plotTick
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotLeft+plotWidth+plotTick, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="%d" fill="#ffffff"/>`+"\n", height)
	text(&b, plotTick, plotTick+4, "start", "Requests of the server until detection: bar to the median (none: most runs found nothing), line to the worst (dashed: some found nothing)")
	for i, policy := range detectionPolicies {
		x := plotTick + i*210
		rect(&b, float64(x), 26, 10, plotColours[i])
		text(&b, x+14, 35, "start", string(policy))
	}
	for requests := 1; requests <= maxPlotRequests; requests *= 10 {
		x := plotLeft + int(scaled(float64(requests)))
		fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#dddddd"/>`+"\n", x, plotTop-8, x, height-plotTick)
		text(&b, x, plotTop-12, "middle", fmt.Sprint(requests))
	}
	y := plotTop
	for group := range groups {
		rows := result.Detection[group*policies : (group+1)*policies]
		text(&b, plotLeft-8, y+policies*plotBarHeight/2+4, "end", rows[0].Service+": "+rows[0].Fault)
		for i := range rows {
			plotRow(&b, &rows[i], y, plotColours[i])
			y += plotBarHeight
		}
		y += plotRowGap
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func plotRow(b *strings.Builder, row *DetectionRow, y int, colour string) {
	median, worst := scaled(row.RequestsP50), scaled(row.RequestsWorst)
	dash := ""
	if 2*row.Found > row.Runs {
		rect(b, plotLeft, y, median, colour)
	} else {
		median = 0
	}
	if row.Found < row.Runs {
		dash = ` stroke-dasharray="2 3"`
	}
	middle := y + plotBarHeight/2
	fmt.Fprintf(b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="%s" stroke-width="2"%s/>`+"\n",
		plotLeft+median, middle, plotLeft+worst, middle, colour, dash)
}

// scaled returns the place of a number of requests on the logarithmic axis.
func scaled(requests float64) float64 {
	share := math.Log10(max(1, requests)) / math.Log10(maxPlotRequests)
	return plotWidth * min(1, share)
}

func rect(b *strings.Builder, x float64, y int, width float64, colour string) {
	fmt.Fprintf(b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", x, y, width, plotBarHeight-1, colour)
}

func text(b *strings.Builder, x, y int, anchor, content string) {
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="%s">%s</text>`+"\n", x, y, anchor, html.EscapeString(content))
}
