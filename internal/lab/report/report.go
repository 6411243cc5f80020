// Package report compares runs of `lab model` and `lab load`. It reads their series, JSON lines with one line per second, and
// writes PNG plots (gonum.org/v1/plot) and a Markdown table. The same series yield the same bytes.
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

// Sizes of the plots.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	lineWidth  = 1.2 // points
)

// Write writes goodput.png, latency.png, outcomes.png, load.png and report.md to the directory dir, and returns their paths in
// this order. It writes load.png only if a run contains the servers' load. It creates a missing directory.
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

// chart describes a plot of a value over time, with a line for each run.
type chart struct {
	file  string                                // name of the file
	axis  string                                // label of the y axis
	title string                                // title of the plot, after the title of the report
	value func(Sample) (value float64, ok bool) // value of a sample; ok is false if the sample does not have it
}

// charts returns the charts to draw. The chart of the servers' load is among them if the first sample of a run has the load.
func charts(runs []Run) []chart {
	list := []chart{
		{"goodput.png", "completed / s", "completed requests a second", completedRequests},
		{"latency.png", "ms", "p99 latency of completed requests", p99Latency},
		{"outcomes.png", "rejected + failed + timed out / s", "requests not completed a second", uncompletedRequests},
	}
	for _, run := range runs {
		if run.Samples[0].LoadMax != nil {
			return append(list, chart{"load.png", "attempts / concurrency", "load of the busiest server", busiestServerLoad})
		}
	}
	return list
}

// completedRequests returns the number of completed requests.
func completedRequests(s Sample) (float64, bool) { return float64(s.Outcomes[outcomeCompleted]), true }

// p99Latency returns the 99th percentile of the latency, in milliseconds. A sample without completed requests does not have it.
func p99Latency(s Sample) (float64, bool) { return s.P99Ms, s.Outcomes[outcomeCompleted] > 0 }

// uncompletedRequests returns the number of rejected, failed and timed-out requests.
func uncompletedRequests(s Sample) (float64, bool) {
	return float64(s.Outcomes[outcomeRejected] + s.Outcomes[outcomeFailed] + s.Outcomes[outcomeTimedOut]), true
}

// busiestServerLoad returns the load of the busiest server.
func busiestServerLoad(s Sample) (float64, bool) {
	if s.LoadMax == nil {
		return 0, false
	}
	return *s.LoadMax, true
}

// draw draws the chart. A run without valid values has no line.
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
		line.Width = vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(run.Name, line)
	}
	return p
}

// points returns the points of a run's line.
func (c chart) points(run Run) plotter.XYs {
	points := plotter.XYs{}
	for _, s := range run.Samples {
		if value, ok := c.value(s); ok {
			points = append(points, plotter.XY{X: float64(s.Second), Y: value})
		}
	}
	return points
}

// palette contains the colors of the runs, in their order. If there are more runs than colors, the colors repeat.
var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
}
