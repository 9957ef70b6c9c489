package report

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	chart "github.com/wcharczuk/go-chart/v2"
	paint "github.com/wcharczuk/go-chart/v2/drawing"
)

// Sizes of the chart, in pixels except for the fonts.
const (
	chartHeight   = 480
	chartMargin   = 160 // for the axis and the workspace names
	minChartWidth = 480 // wide enough for the title
	chartPadding  = 50
	titlePoints   = 12
	labelPoints   = 9
	barWidth      = 110
	barGap        = 40
)

// Colors of the segments of a bar.
var (
	deliveredColor  = paint.ColorFromHex("2e7d32")
	failedColor     = paint.ColorFromHex("c62828")
	refusedColor    = paint.ColorFromHex("f9a825")
	unknownColor    = paint.ColorFromHex("6a1b9a")
	inProgressColor = paint.ColorFromHex("90a4ae")
)

// WriteChart writes the sums by outcome as an SVG image with one stacked bar for
// each workspace. The segments of a bar show the shares of the promised work by
// outcome, with the counts as labels. The error reports a day without work, or a
// failure to render the image or to write it to wr.
func (da Daily) WriteChart(wr io.Writer) error {
	ch := chart.StackedBarChart{
		Title:      "Work of " + da.Day + ", by outcome",
		TitleStyle: chart.Style{FontSize: titlePoints},
		Background: chart.Style{Padding: chart.Box{Top: chartPadding, Left: chartPadding, Right: chartPadding, Bottom: chartPadding}},
		Height:     chartHeight,
		BarSpacing: barGap,
		XAxis:      chart.Style{TextWrap: chart.TextWrapWord},
	}
	for _, ou := range da.Outcomes {
		if ou.Offered > 0 {
			ch.Bars = append(ch.Bars, ou.bar())
		}
	}
	if len(ch.Bars) == 0 {
		return merry.Errorf("no work of %s to draw", da.Day)
	}
	ch.Width = max(minChartWidth, chartMargin+len(ch.Bars)*(barWidth+barGap))
	return merry.Prepend(ch.Render(chart.SVG, wr), "chart")
}

// bar returns the bar of a workspace, with the segments from the bottom up.
func (ou OutcomeSums) bar() chart.StackedBar {
	parts := []struct {
		name  string
		count int64
		color paint.Color
	}{
		{"delivered", ou.Done, deliveredColor},
		{"failed", ou.Failed, failedColor},
		{"refused", ou.Refused, refusedColor},
		{"unknown", ou.Unknown, unknownColor},
		{"in progress", ou.InProgress, inProgressColor},
	}
	sb := chart.StackedBar{Name: ou.Workspace, Width: barWidth}
	for _, pa := range parts {
		if pa.count == 0 {
			continue
		}
		sb.Values = append(sb.Values, chart.Value{
			Label: fmt.Sprintf("%s %d", pa.name, pa.count), Value: float64(pa.count),
			Style: chart.Style{FillColor: pa.color, StrokeColor: pa.color, FontColor: paint.ColorWhite, FontSize: labelPoints},
		})
	}
	return sb
}
