// Package report turns the lab's series (JSON lines, one a second, from `lab model` or `lab load`) into PNG
// plots with gonum.org/v1/plot and a Markdown table, comparing as many runs as are given. The same series
// give the same files, byte for byte: runs are taken in the order given and nothing depends on map order.
package report

import (
	"bufio"
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sample is one second of a series: the fields both the model and the load tool write, and the model's load.
type Sample struct {
	Second   int              `json:"t"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50Ms    float64          `json:"p50_ms"`
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LoadMean *float64         `json:"load_mean"`
	LoadMax  *float64         `json:"load_max"`
}

// Run is one series with its name.
type Run struct {
	Name    string
	Samples []Sample
}

// Read reads a series file; a line that is no JSON is an error naming file and line.
func Read(path string) (Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return Run{}, err
	}
	defer f.Close()
	r := Run{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	sc := bufio.NewScanner(f)
	sc.Buffer(make([]byte, 1<<16), 1<<20)
	for n := 1; sc.Scan(); n++ {
		if strings.TrimSpace(sc.Text()) == "" {
			continue
		}
		var l Sample
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return Run{}, fmt.Errorf("%s: line %d: %w", path, n, err)
		}
		r.Samples = append(r.Samples, l)
	}
	if err := sc.Err(); err != nil {
		return Run{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(r.Samples) == 0 {
		return Run{}, fmt.Errorf("%s: no lines", path)
	}
	return r, nil
}

// Write makes dir/goodput.png, latency.png, outcomes.png, load.png (when the runs carry load) and report.md,
// and gives the files' names.
func Write(dir, title string, runs []Run) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	var files []string
	add := func(name string, p *plot.Plot) error {
		path := filepath.Join(dir, name)
		if err := p.Save(8*vg.Inch, 4*vg.Inch, path); err != nil {
			return err
		}
		files = append(files, path)
		return nil
	}
	series := func(ylabel, what string, y func(Sample) (float64, bool)) *plot.Plot {
		p := plot.New()
		p.Title.Text = title + ": " + what
		p.X.Label.Text, p.Y.Label.Text = "seconds", ylabel
		p.Legend.Top = true
		for i, r := range runs {
			pts := plotter.XYs{}
			for _, l := range r.Samples {
				if v, ok := y(l); ok {
					pts = append(pts, plotter.XY{X: float64(l.Second), Y: v})
				}
			}
			if len(pts) == 0 {
				continue
			}
			ln, err := plotter.NewLine(pts)
			if err != nil {
				continue
			}
			ln.Color = palette[i%len(palette)]
			ln.Width = vg.Points(1.2)
			p.Add(ln)
			p.Legend.Add(r.Name, ln)
		}
		return p
	}
	steps := []struct {
		name string
		p    *plot.Plot
	}{
		{"goodput.png", series("completed / s", "completed tickets a second", func(l Sample) (float64, bool) {
			return float64(l.Outcomes["completed"]), true
		})},
		{"latency.png", series("ms", "p99 latency of completed tickets", func(l Sample) (float64, bool) {
			return l.P99Ms, l.Outcomes["completed"] > 0
		})},
		{"outcomes.png", series("bounced + broken + gave up / s", "tickets not completed a second",
			func(l Sample) (float64, bool) {
				return float64(l.Outcomes["bounced"] + l.Outcomes["broken"] + l.Outcomes["gave_up"]), true
			})},
	}
	hasLoad := false
	for _, r := range runs {
		hasLoad = hasLoad || r.Samples[0].LoadMax != nil
	}
	if hasLoad {
		steps = append(steps, struct {
			name string
			p    *plot.Plot
		}{"load.png", series("work in hand / concurrency", "load of the busiest server", func(l Sample) (float64, bool) {
			if l.LoadMax == nil {
				return 0, false
			}
			return *l.LoadMax, true
		})})
	}
	for _, s := range steps {
		if err := add(s.name, s.p); err != nil {
			return nil, err
		}
	}
	md := filepath.Join(dir, "report.md")
	f, err := os.Create(md)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := WriteTable(f, title, runs); err != nil {
		return nil, err
	}
	return append(files, md), nil
}

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
}

// WriteTable writes the runs' totals as Markdown: counts of each outcome, the completed share, and the worst
// second's p99.
func WriteTable(w io.Writer, title string, runs []Run) error {
	kinds := map[string]bool{}
	for _, r := range runs {
		for _, l := range r.Samples {
			for k := range l.Outcomes {
				kinds[k] = true
			}
		}
	}
	names := make([]string, 0, len(kinds))
	for k := range kinds {
		names = append(names, k)
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n| run | seconds | %s | completed share | worst p99 ms |\n|---|---|%s---|---|\n",
		title, strings.Join(names, " | "), strings.Repeat("---|", len(names)))
	for _, r := range runs {
		sum := map[string]int64{}
		var total int64
		worst := 0.0
		for _, l := range r.Samples {
			for k, v := range l.Outcomes {
				sum[k] += v
				total += v
			}
			worst = max(worst, l.P99Ms)
		}
		cells := make([]string, len(names))
		for i, k := range names {
			cells[i] = fmt.Sprint(sum[k])
		}
		share := 0.0
		if total > 0 {
			share = float64(sum["completed"]) / float64(total)
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %.3f | %.1f |\n", r.Name, len(r.Samples), strings.Join(cells, " | "), share, worst)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
