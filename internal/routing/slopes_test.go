package routing_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
)

var (
	slopesTo     = flag.String("slopes", "", "play TestSlopes and write FILE.jsonl and FILE.md")
	slopesPlays  = flag.Int("slopes.plays", 5, "plays of each size")
	slopesWithin = flag.Duration("slopes.within", 100*time.Second, "no further play begins after so long")
	slopesSweeps = flag.String("slopes.sweeps", "", "only these sweeps, by commas")
)

// sweep is one matter's sizes, all else held.
type sweep struct {
	name       string
	x          []float64
	scales     []scale
	warm, span time.Duration
}

// sweepOf varies one matter from a base.
func sweepOf(name string, base scale, span time.Duration, x []float64, set func(*scale, float64)) sweep {
	w := sweep{name: name, x: x, warm: 5 * time.Second, span: span}
	for _, v := range x {
		s := base
		set(&s, v)
		w.scales = append(w.scales, s)
	}
	return w
}

// sweeps are what is played. The base is 2,000 servers, so that all plays fit into the time; target is the target size
// with the platform's wide sets, as one size without a fit.
func sweeps() []sweep {
	base := scale{Servers: 2000, Nodes: 830, Spread: 3, Tenants: 1000, Rate: 85, Failed: 0.01}
	const span, long = 3 * time.Second, time.Minute // doubts are told by chance, seldom
	few := base
	few.Servers = 1000
	return []sweep{
		sweepOf("servers", base, span, []float64{200, 500, 1000, 2000, 5000, 13000}, func(s *scale, v float64) { s.Servers = int(v) }),
		sweepOf("nodes", base, span, []float64{4, 50, 300, 830}, func(s *scale, v float64) { s.Nodes = int(v) }),
		sweepOf("tenants", base, span, []float64{100, 1000, 10000, 43000}, func(s *scale, v float64) { s.Tenants = int(v) }),
		sweepOf("rate", base, span, []float64{85, 170, 340, 680}, func(s *scale, v float64) { s.Rate = v }),
		sweepOf("spread", base, span, []float64{3, 50, 415, 830}, func(s *scale, v float64) { s.Spread = int(v) }),
		sweepOf("faults", few, long, []float64{0.005, 0.01, 0.05}, func(s *scale, v float64) { s.Failed = v }),
		sweepOf("target", scale{Nodes: 830, Spread: 830, Tenants: 43000, Rate: 85, Failed: 0.01}, span, []float64{13000},
			func(s *scale, v float64) { s.Servers = int(v) }),
	}
}

// spreadOf is the least, middle and greatest of the plays' figures.
type spreadOf struct {
	Min float64 `json:"min"`
	Mid float64 `json:"median"`
	Max float64 `json:"max"`
}

func spread(v []float64) spreadOf {
	v = slices.Clone(v)
	slices.Sort(v)
	if len(v) == 0 {
		return spreadOf{}
	}
	return spreadOf{v[0], stat.Quantile(0.5, stat.Empirical, v, nil), v[len(v)-1]}
}

// fit is a least-squares fit a + b*x over all plays, how much of the variance it explains, the spread of each play's
// own b, and the exponent: the slope of log y over log x, with each play's own.
type fit struct {
	A        float64  `json:"a"`
	B        float64  `json:"b"`
	R2       float64  `json:"r2"`
	Exponent float64  `json:"exponent"`
	Bs       spreadOf `json:"b_plays"`
	Exps     spreadOf `json:"exponent_plays"`
}

// fitOf fits plays of y, each at all x. There is no exponent where any y is 0 or below.
func fitOf(x []float64, plays [][]float64) fit {
	var allX, allY, bs, exps []float64
	exponent := func(x, y []float64) (float64, bool) {
		var lx, ly []float64
		for i := range x {
			if x[i] > 0 && y[i] > 0 {
				lx, ly = append(lx, math.Log(x[i])), append(ly, math.Log(y[i]))
			}
		}
		if len(lx) < len(x) {
			return 0, false
		}
		_, e := stat.LinearRegression(lx, ly, nil, false)
		return e, true
	}
	for _, y := range plays {
		_, b := stat.LinearRegression(x, y, nil, false)
		bs = append(bs, b)
		if e, ok := exponent(x, y); ok {
			exps = append(exps, e)
		}
		allX, allY = append(allX, x...), append(allY, y...)
	}
	var f fit
	f.A, f.B = stat.LinearRegression(allX, allY, nil, false)
	if stat.Variance(allY, nil) > 0 {
		f.R2 = stat.RSquared(allX, allY, nil, f.A, f.B)
	}
	f.Bs = spread(bs)
	if len(exps) == len(plays) {
		f.Exponent, _ = exponent(allX, allY)
		f.Exps = spread(exps)
	}
	return f
}

// played holds a sweep's figures: by metric, by play, at each size.
type played struct {
	sweep
	figures map[string][][]float64
}

// add takes over one play's figures at the i-th size.
func (p *played) add(play, i int, f figures) {
	for m, v := range f {
		for len(p.figures[m]) <= play {
			p.figures[m] = append(p.figures[m], make([]float64, len(p.x)))
		}
		p.figures[m][play][i] = v
	}
}

// cut drops plays that the time ended in the middle.
func (p *played) cut(plays int) {
	for m, v := range p.figures {
		p.figures[m] = v[:min(len(v), plays)]
	}
}

// at is a metric's plays at the i-th size.
func (p *played) at(m string, i int) (out []float64) {
	for _, v := range p.figures[m] {
		out = append(out, v[i])
	}
	return out
}

// lines writes a JSON line for each metric and size, and one for each fit.
func (p *played) lines(w io.Writer) error {
	e := json.NewEncoder(w)
	for _, m := range slices.Sorted(maps.Keys(p.figures)) {
		for i, x := range p.x {
			if err := e.Encode(map[string]any{
				"sweep": p.name, "x": x, "metric": m, "plays": p.at(m, i), "spread": spread(p.at(m, i)),
				"scale": p.scales[i],
			}); err != nil {
				return err
			}
		}
		if len(p.x) > 1 {
			if err := e.Encode(map[string]any{"sweep": p.name, "metric": m, "fit": fitOf(p.x, p.figures[m])}); err != nil {
				return err
			}
		}
	}
	return nil
}

// table writes the sweep as Markdown: at each size the median (least to greatest), then the fit.
func (p *played) table(w io.Writer) {
	fmt.Fprintf(w, "\n## %s\n\n", p.name)
	fmt.Fprintf(w, "Others: %v, spread %d, failed %v. Median of %d plays (min to max).\n\n| figure |", p.scales[0], p.scales[0].Spread, p.scales[0].Failed,
		len(p.figures["list KB"]))
	for _, x := range p.x {
		fmt.Fprintf(w, " %s |", short(x))
	}
	fitted := len(p.x) > 1
	if fitted {
		fmt.Fprint(w, " a + b·x | R² | exponent |")
	}
	fmt.Fprint(w, "\n|---|"+strings.Repeat("---|", len(p.x)))
	if fitted {
		fmt.Fprint(w, "---|---|---|")
	}
	fmt.Fprintln(w)
	for _, m := range slices.Sorted(maps.Keys(p.figures)) {
		fmt.Fprintf(w, "| %s |", m)
		for i := range p.x {
			s := spread(p.at(m, i))
			if s.Min == s.Max {
				fmt.Fprintf(w, " %s |", short(s.Mid))
			} else {
				fmt.Fprintf(w, " %s (%s to %s) |", short(s.Mid), short(s.Min), short(s.Max))
			}
		}
		if fitted {
			f := fitOf(p.x, p.figures[m])
			exp := "none"
			if f.Exps != (spreadOf{}) {
				exp = fmt.Sprintf("%.2f (%.2f to %.2f)", f.Exponent, f.Exps.Min, f.Exps.Max)
			}
			fmt.Fprintf(w, " %s + %s·x (%s to %s) | %.2f | %s |", short(f.A), short(f.B), short(f.Bs.Min), short(f.Bs.Max), f.R2, exp)
		}
		fmt.Fprintln(w)
	}
}

// short is a figure in three digits.
func short(v float64) string {
	if a := math.Abs(v); a >= 1000 || a == 0 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// TestSlopes plays all sweeps, some minutes of CPU time, and writes what it found. It judges nothing, and is left out unless
// asked for with -slopes, as its figures are worth something only where the machine is alone.
func TestSlopes(t *testing.T) {
	if *slopesTo == "" {
		t.Skip("asked for with -slopes FILE; TestScaleHarness plays the same at two small sizes")
	}
	began := time.Now()
	var all []*played
	for _, s := range sweeps() {
		if *slopesSweeps == "" || slices.Contains(strings.Split(*slopesSweeps, ","), s.name) {
			all = append(all, &played{s, map[string][][]float64{}})
		}
	}
	done := 0
	for ; done < *slopesPlays; done++ {
		whole := true
		for _, p := range all {
			for i, s := range p.scales {
				if whole = whole && time.Since(began) < *slopesWithin; whole {
					p.add(done, i, play(s, uint64(done+1), p.warm, p.span))
				}
			}
		}
		if !whole {
			break
		}
		t.Logf("play %d done after %v", done+1, time.Since(began).Round(time.Second))
	}
	if done == 0 {
		t.Fatalf("not one play was whole within %v", *slopesWithin)
	}
	lines, err := os.Create(*slopesTo + ".jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer lines.Close()
	table, err := os.Create(*slopesTo + ".md")
	if err != nil {
		t.Fatal(err)
	}
	defer table.Close()
	fmt.Fprintf(table, "# Slopes\n\n%d whole plays in %v; %s, %d CPUs.\n", done, time.Since(began).Round(time.Second),
		runtime.Version(), runtime.NumCPU())
	for _, p := range all {
		p.cut(done)
		if err := p.lines(lines); err != nil {
			t.Fatal(err)
		}
		p.table(table)
	}
}

// The harness plays requests that are let out and end, changes, beats and intervals at small sizes, in a fleet where all
// nodes hear all and in a wide one, and the same seed plays the same.
func TestScaleHarness(t *testing.T) {
	for _, s := range []scale{
		{Servers: 50, Nodes: 4, Spread: 3, Tenants: 40, Rate: 85, Failed: 0.03},
		{Servers: 200, Nodes: 830, Spread: 830, Tenants: 200, Rate: 85, Failed: 0.03},
	} {
		w, f := prepare(s, 3, 3*time.Second)
		w.measure()
		w.run(2 * time.Second)
		w.figures(f, 2)
		m := w.times
		for _, op := range []string{"pick", "report", "again", "heard", "change", "beat", "interval"} {
			if len(m.by[op]) == 0 {
				t.Errorf("%v: no %s was timed", s, op)
			}
		}
		if f["taken /s"] < 0.7*s.Rate || f["taken /s"] > 1.3*s.Rate || f["let out %"] < 30 || f["heap MB"] <= 0 ||
			f["list: parse ms"] <= 0 || f["core: calls %"] <= 0 {
			t.Errorf("%v: %v", s, f)
		}
		if wide := s.Nodes > 4; wide != (m.sent[askKind] > 0) || wide != (m.sent[grantKind] > 0) || wide == (m.all[useKind] > 0) ||
			m.sent[grantKind] > 0 && m.heard[askKind] == 0 {
			t.Errorf("%v: sent %v, to all %v, heard %v", s, m.sent, m.all, m.heard)
		}
		if out := m.executed + m.refused; out < m.taken-20 || out > m.taken+20 || m.failed == 0 || m.failed > m.completed/10 {
			t.Errorf("%v: %d taken, %d let out, %d refused; %d completed, %d failed", s, m.taken, m.executed, m.refused, m.completed, m.failed)
		}
		again, _ := prepare(s, 3, 3*time.Second)
		again.measure()
		again.run(2 * time.Second)
		if n := again.times; again.events != w.events || n.executed != m.executed || n.sentBytes != m.sentBytes {
			t.Errorf("%v: the same seed plays otherwise: %d events and %d, %d let out and %d", s, w.events, again.events, m.executed, n.executed)
		}
	}
}

// Fits of known lines and powers come out as they were made.
func TestFit(t *testing.T) {
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
	x := []float64{200, 500, 1000, 13000}
	line, power, none := []float64{}, []float64{}, []float64{0, 0, 0, 0}
	for _, v := range x {
		line, power = append(line, 3+0.5*v), append(power, 2*math.Pow(v, 1.5))
	}
	if f := fitOf(x, [][]float64{line, line}); !near(f.A, 3) || !near(f.B, 0.5) || !near(f.R2, 1) || !near(f.Bs.Min, 0.5) {
		t.Errorf("line: %+v", f)
	}
	if f := fitOf(x, [][]float64{power}); !near(f.Exponent, 1.5) || !near(f.Exps.Mid, 1.5) {
		t.Errorf("power: %+v", f)
	}
	if f := fitOf(x, [][]float64{none}); f.B != 0 || f.Exponent != 0 || f.Exps != (spreadOf{}) {
		t.Errorf("nothing: %+v", f)
	}
	if f := fitOf(x, [][]float64{power, none}); f.Exponent != 0 || f.Exps != (spreadOf{}) {
		t.Errorf("a play of nothing: %+v", f)
	}
	if s := spread([]float64{5, 1, 9}); s != (spreadOf{1, 5, 9}) {
		t.Errorf("spread %+v", s)
	}
}
