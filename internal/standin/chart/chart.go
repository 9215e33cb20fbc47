// Package chart plots the latencies and the throughput of a run over time.
package chart

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"sassafrastray/internal/standin/report"
	"sassafrastray/internal/standin/tally"
)

const (
	width   = 24 * vg.Centimeter
	height  = 30 * vg.Centimeter
	padding = 4 * vg.Millimeter
	// minLatencyMs is the smallest latency on the logarithmic axis, which
	// cannot show 0. Shorter latencies are drawn at this value.
	minLatencyMs = 0.1
	brightness   = 0.8
	// xAxisFactor is the length of the x axis relative to the length of the
	// run. The legend takes the space to the right of the lines.
	xAxisFactor = 1.25
)

// metric is a count of requests that is plotted as a line.
type metric struct {
	name  string
	value func(tally.Point) float64
}

// Write plots the report to a file. The extension of its name, .svg or .png,
// selects the format. The panels show, from top to bottom, the median latency of
// each team, its 99th percentile, and the throughput of all teams together.
func Write(r *report.Report, file string) error {
	panels := [][]*plot.Plot{
		{latencyPanel(r, "p50, ms", func(p tally.Point) time.Duration { return p.P50 })},
		{latencyPanel(r, "p99, ms", func(p tally.Point) time.Duration { return p.P99 })},
		{throughputPanel(r)},
	}
	panels[0][0].Title.Text = r.Case + ", " + string(r.Path)
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write chart")
	}
	defer f.Close()
	switch ext := filepath.Ext(file); ext {
	case ".svg":
		c := vgsvg.New(width, height)
		render(panels, draw.New(c))
		_, err = c.WriteTo(f)
	case ".png":
		c := vgimg.New(width, height)
		render(panels, draw.New(c))
		_, err = vgimg.PngCanvas{Canvas: c}.WriteTo(f)
	default:
		err = errors.Newf("%q is neither .svg nor .png", ext)
	}
	if err == nil {
		err = f.Close()
	}
	return errors.Wrap(err, "write chart")
}

// render draws the panels below each other, with their axes aligned.
func render(panels [][]*plot.Plot, c draw.Canvas) {
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: padding, PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding}
	for i, row := range plot.Align(panels, tiles, c) {
		panels[i][0].Draw(row[0])
	}
}

// latencyPanel plots a percentile of the latency with a line for each team. It
// leaves out steps without successful requests.
func latencyPanel(r *report.Report, title string, percentile func(tally.Point) time.Duration) *plot.Plot {
	p := newPanel(title)
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	colors := palette.Rainbow(len(r.Series), palette.Blue, palette.Red, 1, brightness, 1).Colors()
	for i, s := range r.Series {
		var points plotter.XYs
		for n, pt := range s.Points {
			if pt.OK > 0 {
				ms := float64(percentile(pt)) / float64(time.Millisecond)
				points = append(points, plotter.XY{X: midpoint(s, n), Y: max(ms, minLatencyMs)})
			}
		}
		addLine(p, colors[i], string(s.Team), points)
	}
	roundToDecades(&p.Y)
	scaleX(p, r)
	return p
}

// throughputPanel plots the rates of requests that were sent, that succeeded and
// that were refused, summed over the teams.
func throughputPanel(r *report.Report) *plot.Plot {
	p := newPanel("requests a second")
	p.X.Label.Text = "seconds"
	for i, m := range []metric{
		{"sent", func(p tally.Point) float64 { return float64(p.Sent) }},
		{"ok", func(p tally.Point) float64 { return float64(p.OK) }},
		{"refused", func(p tally.Point) float64 { return float64(p.Refused) }},
	} {
		var points plotter.XYs
		for _, s := range r.Series {
			for n, pt := range s.Points {
				for len(points) <= n {
					points = append(points, plotter.XY{X: midpoint(s, len(points))})
				}
				points[n].Y += m.value(pt) / s.Step.Seconds()
			}
		}
		addLine(p, plotutil.Color(i), m.name, points)
	}
	scaleX(p, r)
	return p
}

// scaleX sets the range of the x axis, with space for the legend.
func scaleX(p *plot.Plot, r *report.Report) {
	p.X.Min, p.X.Max = 0, xAxisFactor*r.Length.Seconds()
}

// roundToDecades extends the range of a logarithmic axis to whole decades. An
// axis without data gets one decade.
func roundToDecades(a *plot.Axis) {
	if a.Min > a.Max {
		a.Min, a.Max = minLatencyMs, 10*minLatencyMs
		return
	}
	a.Min = math.Pow10(int(math.Floor(math.Log10(a.Min))))
	a.Max = math.Pow10(int(math.Floor(math.Log10(a.Max))) + 1)
}

// newPanel returns an empty plot with a grid and the title on its y axis.
func newPanel(title string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = title
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a line and its legend entry, unless it has no points.
func addLine(p *plot.Plot, c color.Color, name string, points plotter.XYs) {
	if len(points) == 0 {
		return
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		panic("chart: " + err.Error())
	}
	l.Color = c
	p.Add(l)
	p.Legend.Add(name, l)
}

// midpoint returns the middle of step n in seconds since the start of the run.
func midpoint(s tally.Series, n int) float64 { return (float64(n) + 0.5) * s.Step.Seconds() }
