package routing_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	slopesTo     = flag.String("slopes", "", "play TestSlopes and write FILE.jsonl and FILE.md")
	slopesPlays  = flag.Int("slopes.plays", 5, "plays of each size")
	slopesWithin = flag.Duration("slopes.within", 100*time.Second, "no further play begins after so long")
	slopesSweeps = flag.String("slopes.sweeps", "", "only these sweeps, by commas")
)

// sweep is one matter's sizes, all else held.
type sweep struct {
	name  string
	x     []float64 // the varied figure
	sizes []fleetSize
	warm  time.Duration // of virtual time, before the measurement
	span  time.Duration // of the measurement
}

// sweepOf varies one matter from a base.
func sweepOf(name string, base fleetSize, span time.Duration, x []float64, set func(*fleetSize, float64)) sweep {
	s := sweep{name: name, x: x, warm: 5 * time.Second, span: span}
	for _, v := range x {
		size := base
		set(&size, v)
		s.sizes = append(s.sizes, size)
	}
	return s
}

// sweeps are what is played. The base is 2,000 servers, so that all plays fit into the time; target is the target size
// with the platform's wide sets, as one size without a fit.
func sweeps() []sweep {
	base := fleetSize{Servers: 2000, Nodes: 830, Spread: 3, Tenants: 1000, Rate: 85, FailedShare: 0.01}
	const span, long = 3 * time.Second, time.Minute // suspicions are sent by chance, seldom
	few := base
	few.Servers = 1000
	return []sweep{
		sweepOf("servers", base, span, []float64{200, 500, 1000, 2000, 5000, 13000}, func(s *fleetSize, v float64) { s.Servers = int(v) }),
		sweepOf("nodes", base, span, []float64{4, 50, 300, 830}, func(s *fleetSize, v float64) { s.Nodes = int(v) }),
		sweepOf("tenants", base, span, []float64{100, 1000, 10000, 43000}, func(s *fleetSize, v float64) { s.Tenants = int(v) }),
		sweepOf("rate", base, span, []float64{85, 170, 340, 680}, func(s *fleetSize, v float64) { s.Rate = v }),
		sweepOf("spread", base, span, []float64{3, 50, 415, 830}, func(s *fleetSize, v float64) { s.Spread = int(v) }),
		sweepOf("faults", few, long, []float64{0.005, 0.01, 0.05}, func(s *fleetSize, v float64) { s.FailedShare = v }),
		sweepOf("target", fleetSize{Nodes: 830, Spread: 830, Tenants: 43000, Rate: 85, FailedShare: 0.01}, span, []float64{13000},
			func(s *fleetSize, v float64) { s.Servers = int(v) }),
	}
}

// TestSlopes plays all sweeps, some minutes of CPU time, and writes what it found. It judges nothing, and is left out
// unless asked for with -slopes, as its figures are worth something only where the machine is alone.
func TestSlopes(t *testing.T) {
	if *slopesTo == "" {
		t.Skip("asked for with -slopes FILE; TestScaleHarness plays the same at two small sizes")
	}
	began := time.Now()
	results := chosenSweeps()
	plays := 0
	for plays < *slopesPlays && playAll(results, plays, began.Add(*slopesWithin)) {
		plays++
		t.Logf("play %d done after %v", plays, time.Since(began).Round(time.Second))
	}
	if plays == 0 {
		t.Fatalf("not one play was whole within %v", *slopesWithin)
	}
	var lines, table bytes.Buffer
	fmt.Fprintf(&table, "# Slopes\n\n%d whole plays in %v; %s, %d CPUs.\n", plays, time.Since(began).Round(time.Second),
		runtime.Version(), runtime.NumCPU())
	for _, r := range results {
		r.cut(plays)
		if err := r.writeLines(&lines); err != nil {
			t.Fatal(err)
		}
		r.writeTable(&table)
	}
	if err := os.WriteFile(*slopesTo+".jsonl", lines.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*slopesTo+".md", table.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// chosenSweeps are those that -slopes.sweeps names, or all.
func chosenSweeps() (chosen []*sweepResult) {
	for _, s := range sweeps() {
		if *slopesSweeps == "" || slices.Contains(strings.Split(*slopesSweeps, ","), s.name) {
			chosen = append(chosen, &sweepResult{s, map[string][][]float64{}})
		}
	}
	return chosen
}

// playAll makes the play with that number at all sizes of all sweeps, and returns whether it was whole by the deadline.
func playAll(results []*sweepResult, play int, deadline time.Time) bool {
	for _, r := range results {
		for i, size := range r.sizes {
			if !time.Now().Before(deadline) {
				return false
			}
			r.add(play, i, playScale(size, uint64(play+1), r.warm, r.span))
		}
	}
	return true
}
