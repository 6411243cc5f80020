// Package report compares runs of the lab. It reads their series (JSON lines, one per second, of `lab model` or `lab load`)
// and writes PNG plots, with gonum.org/v1/plot, and a Markdown table. The same series in the same order give the same
// files, byte for byte.
package report

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth       = 8 * vg.Inch
	plotHeight      = 4 * vg.Inch
	lineWidthPoints = 1.2
)

// Write writes goodput.png, latency.png, outcomes.png, load.png and report.md to dir, which it creates if necessary. It
// writes load.png only if a run has the servers' load. It returns the paths of the files, in this order.
func Write(dir, title string, runs []Run) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	var files []string
	for _, c := range charts(runs) {
		path := filepath.Join(dir, c.file)
		if err := c.draw(title, runs).Save(plotWidth, plotHeight, path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		files = append(files, path)
	}
	path := filepath.Join(dir, "report.md")
	if err := writeTableFile(path, title, runs); err != nil {
		return nil, err
	}
	return append(files, path), nil
}

// chart is a plot of a figure over the seconds, with one line for each run.
type chart struct {
	file   string // name
	axis   string // label of the y axis
	title  string
	figure func(Sample) (value float64, ok bool) // not ok: the sample does not have the figure
}

// charts returns the charts of the figures that the runs have.
func charts(runs []Run) []chart {
	list := []chart{
		{"goodput.png", "completed / s", "completed requests a second", completed},
		{"latency.png", "ms", "p99 latency of completed requests", latency},
		{"outcomes.png", "rejected + failed + gave up / s", "requests not completed a second", notCompleted},
	}
	for _, run := range runs {
		if run.Samples[0].LoadMax != nil {
			return append(list, chart{"load.png", "work in hand / concurrency", "load of the busiest server", busiest})
		}
	}
	return list
}

// completed returns the number of completed requests.
func completed(s Sample) (float64, bool) { return float64(s.Outcomes[outcomeCompleted]), true }

// latency returns the 99th percentile of the latency, ms. A sample without completed requests has none.
func latency(s Sample) (float64, bool) { return s.P99Ms, s.Outcomes[outcomeCompleted] > 0 }

// notCompleted returns the number of requests with any other outcome.
func notCompleted(s Sample) (float64, bool) {
	return float64(s.Outcomes[outcomeRejected] + s.Outcomes[outcomeFailed] + s.Outcomes[outcomeGaveUp]), true
}

// busiest returns the load of the busiest server.
func busiest(s Sample) (float64, bool) {
	if s.LoadMax == nil {
		return 0, false
	}
	return *s.LoadMax, true
}

// draw draws the chart. A run without values that can be drawn has no line.
func (c chart) draw(title string, runs []Run) *plot.Plot {
	p := plot.New()
	p.Title.Text = title + ": " + c.title
	p.X.Label.Text, p.Y.Label.Text = "seconds", c.axis
	p.Legend.Top = true
	for i, run := range runs {
		line, err := plotter.NewLine(c.points(run))
		if err != nil {
			continue
		}
		line.Color = palette[i%len(palette)]
		line.Width = vg.Points(lineWidthPoints)
		p.Add(line)
		p.Legend.Add(run.Name, line)
	}
	return p
}

// points returns a run's values of the figure.
func (c chart) points(run Run) plotter.XYs {
	points := plotter.XYs{}
	for _, s := range run.Samples {
		if value, ok := c.figure(s); ok {
			points = append(points, plotter.XY{X: float64(s.Second), Y: value})
		}
	}
	return points
}

// palette holds the colours of the runs, in their order. It repeats after the last one.
var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
}
