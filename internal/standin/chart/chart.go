// Package chart draws how the teams of a run fared over time.
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
	width  = 24 * vg.Centimeter
	height = 30 * vg.Centimeter
	gap    = 4 * vg.Millimeter
	// leastLatency is the smallest latency on the logarithmic axis, in
	// milliseconds.
	leastLatency = 0.1
	brightness   = 0.8
	// legendRoom is the width of a panel relative to its lines.
	legendRoom = 1.25
)

// line is one line of a panel.
type line struct {
	name string
	of   func(tally.Point) float64
}

// Write draws the report into a file, whose name ends with .svg or .png. From
// top to bottom: the median latency of each team, its 99th percentile, and the
// requests of all teams.
func Write(r *report.Report, file string) error {
	panels := [][]*plot.Plot{
		{latencies(r, "p50, ms", func(p tally.Point) time.Duration { return p.P50 })},
		{latencies(r, "p99, ms", func(p tally.Point) time.Duration { return p.P99 })},
		{throughput(r)},
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

func render(panels [][]*plot.Plot, c draw.Canvas) {
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: gap, PadTop: gap, PadBottom: gap, PadLeft: gap, PadRight: gap}
	for i, row := range plot.Align(panels, tiles, c) {
		panels[i][0].Draw(row[0])
	}
}

// latencies has one line for each team.
func latencies(r *report.Report, title string, of func(tally.Point) time.Duration) *plot.Plot {
	p := panel(title)
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	colors := palette.Rainbow(len(r.Series), palette.Blue, palette.Red, 1, brightness, 1).Colors()
	for i, s := range r.Series {
		var points plotter.XYs
		for n, pt := range s.Points {
			if pt.OK > 0 {
				ms := float64(of(pt)) / float64(time.Millisecond)
				points = append(points, plotter.XY{X: seconds(s, n), Y: max(ms, leastLatency)})
			}
		}
		add(p, colors[i], string(s.Team), points)
	}
	decades(&p.Y)
	room(p, r)
	return p
}

// throughput has the requests of all teams by their ends.
func throughput(r *report.Report) *plot.Plot {
	p := panel("requests a second")
	p.X.Label.Text = "seconds"
	for i, l := range []line{
		{"sent", func(p tally.Point) float64 { return float64(p.Sent) }},
		{"ok", func(p tally.Point) float64 { return float64(p.OK) }},
		{"refused", func(p tally.Point) float64 { return float64(p.Refused) }},
	} {
		var points plotter.XYs
		for _, s := range r.Series {
			for n, pt := range s.Points {
				for len(points) <= n {
					points = append(points, plotter.XY{X: seconds(s, len(points))})
				}
				points[n].Y += l.of(pt) / s.Step.Seconds()
			}
		}
		add(p, plotutil.Color(i), l.name, points)
	}
	room(p, r)
	return p
}

// room leaves room for the legend beside the lines.
func room(p *plot.Plot, r *report.Report) {
	p.X.Min, p.X.Max = 0, legendRoom*r.Length.Seconds()
}

// decades makes a logarithmic axis show whole decades, and one of them if
// there is nothing to show.
func decades(a *plot.Axis) {
	if a.Min > a.Max {
		a.Min, a.Max = leastLatency, 10*leastLatency
		return
	}
	a.Min = math.Pow10(int(math.Floor(math.Log10(a.Min))))
	a.Max = math.Pow10(int(math.Floor(math.Log10(a.Max))) + 1)
}

func panel(title string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = title
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// add draws one line, unless it has no points.
func add(p *plot.Plot, c color.Color, name string, points plotter.XYs) {
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

// seconds returns the time of the middle of a step.
func seconds(s tally.Series, n int) float64 { return (float64(n) + 0.5) * s.Step.Seconds() }
