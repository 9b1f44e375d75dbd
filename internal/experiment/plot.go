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
	plotMargin    = 14
)

// maxPlotRequests is the largest value on the logarithmic axis.
const maxPlotRequests = 10_000

var plotColors = []string{"#999999", "#d9822b", "#3b7dd8", "#1a7f37"}

// writePlot writes an SVG file that shows the median and the maximum detection time for
// each fault and policy, in requests to the server.
func writePlot(path string, result *Result) error {
	if path == "" {
		return nil
	}
	err := os.WriteFile(path, []byte(plot(result)), outputFileMode)
	return errors.Wrapf(err, "write %s; set plot_file to a writable path", path)
}

func plot(result *Result) string {
	policies := len(detectionPolicies)
	groups := len(result.Detection) / policies
	height := plotTop + groups*(policies*plotBarHeight+plotRowGap) + 2*plotMargin
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotLeft+plotWidth+plotMargin, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="%d" fill="#ffffff"/>`+"\n", height)
	writeText(&b, plotMargin, plotMargin+4, "start", "Requests to the server until detection: bar = median (no bar: not detected in most runs), line = maximum (dashed: not detected in some runs)")
	for i, policy := range detectionPolicies {
		x := plotMargin + i*210
		writeRect(&b, float64(x), 26, 10, plotColors[i])
		writeText(&b, x+14, 35, "start", string(policy))
	}
	for requests := 1; requests <= maxPlotRequests; requests *= 10 {
		x := plotLeft + int(axisPosition(float64(requests)))
		fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#dddddd"/>`+"\n", x, plotTop-8, x, height-plotMargin)
		writeText(&b, x, plotTop-12, "middle", fmt.Sprint(requests))
	}
	y := plotTop
	for group := range groups {
		rows := result.Detection[group*policies : (group+1)*policies]
		writeText(&b, plotLeft-8, y+policies*plotBarHeight/2+4, "end", rows[0].Service+": "+rows[0].Fault)
		for i := range rows {
			plotRow(&b, &rows[i], y, plotColors[i])
			y += plotBarHeight
		}
		y += plotRowGap
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func plotRow(b *strings.Builder, row *DetectionRow, y int, color string) {
	median, largest := axisPosition(row.RequestsP50), axisPosition(row.RequestsMax)
	dash := ""
	if 2*row.Detected > row.Runs {
		writeRect(b, plotLeft, y, median, color)
	} else {
		median = 0
	}
	if row.Detected < row.Runs {
		dash = ` stroke-dasharray="2 3"`
	}
	middle := y + plotBarHeight/2
	fmt.Fprintf(b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="%s" stroke-width="2"%s/>`+"\n",
		plotLeft+median, middle, plotLeft+largest, middle, color, dash)
}

// axisPosition returns the position of a number of requests on the logarithmic axis, in
// pixels from its left end.
func axisPosition(requests float64) float64 {
	position := math.Log10(max(1, requests)) / math.Log10(maxPlotRequests)
	return plotWidth * min(1, position)
}

func writeRect(b *strings.Builder, x float64, y int, width float64, color string) {
	fmt.Fprintf(b, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", x, y, width, plotBarHeight-1, color)
}

func writeText(b *strings.Builder, x, y int, anchor, content string) {
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="%s">%s</text>`+"\n", x, y, anchor, html.EscapeString(content))
}
