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
	slopesPath      = flag.String("slopes", "", "run TestSlopes and write FILE.jsonl and FILE.md")
	slopesRuns      = flag.Int("slopes.plays", 5, "number of runs of each size")
	slopesTimeLimit = flag.Duration("slopes.within", 100*time.Second, "time after which no further simulation starts")
	slopesSweeps    = flag.String("slopes.sweeps", "", "comma-separated names of the sweeps to run; empty: all")
)

// sweep is a series of fleet sizes that differ in one parameter.
type sweep struct {
	name  string
	x     []float64 // values of the varied parameter
	sizes []fleetSize
	warm  time.Duration // virtual time before the measurement
	span  time.Duration // virtual time of the measurement
}

// newSweep returns a sweep that varies one parameter of the base; set sets that parameter.
func newSweep(name string, base fleetSize, span time.Duration, x []float64, set func(*fleetSize, float64)) sweep {
	s := sweep{name: name, x: x, warm: 5 * time.Second, span: span}
	for _, v := range x {
		size := base
		set(&size, v)
		s.sizes = append(s.sizes, size)
	}
	return s
}

// sweeps returns all sweeps. The base has 2,000 servers, so that all runs finish within the time limit. The sweep "target" is
// the target size of the fleet with each tenant on all nodes: one size, and thus no fit.
func sweeps() []sweep {
	base := fleetSize{Servers: 2000, Nodes: 830, Spread: 3, Tenants: 1000, Rate: 85, FailedShare: 0.01}
	const span, long = 3 * time.Second, time.Minute // long is for suspicions, which are rare
	fewServers := base
	fewServers.Servers = 1000
	return []sweep{
		newSweep("servers", base, span, []float64{200, 500, 1000, 2000, 5000, 13000}, func(s *fleetSize, v float64) { s.Servers = int(v) }),
		newSweep("nodes", base, span, []float64{4, 50, 300, 830}, func(s *fleetSize, v float64) { s.Nodes = int(v) }),
		newSweep("tenants", base, span, []float64{100, 1000, 10000, 43000}, func(s *fleetSize, v float64) { s.Tenants = int(v) }),
		newSweep("rate", base, span, []float64{85, 170, 340, 680}, func(s *fleetSize, v float64) { s.Rate = v }),
		newSweep("spread", base, span, []float64{3, 50, 415, 830}, func(s *fleetSize, v float64) { s.Spread = int(v) }),
		newSweep("faults", fewServers, long, []float64{0.005, 0.01, 0.05}, func(s *fleetSize, v float64) { s.FailedShare = v }),
		newSweep("target", fleetSize{Nodes: 830, Spread: 830, Tenants: 43000, Rate: 85, FailedShare: 0.01}, span, []float64{13000},
			func(s *fleetSize, v float64) { s.Servers = int(v) }),
	}
}

// TestSlopes runs all sweeps and writes their figures and fits. It takes some minutes of CPU time and checks no figure. It
// runs only with the flag -slopes, because its figures are meaningful only on an otherwise idle machine.
func TestSlopes(t *testing.T) {
	if *slopesPath == "" {
		t.Skip("runs only with -slopes FILE; TestScaleHarness runs the simulation at two small sizes")
	}
	start := time.Now()
	results := selectedSweeps()
	runs := 0
	for runs < *slopesRuns && runAll(results, runs, start.Add(*slopesTimeLimit)) {
		runs++
		t.Logf("run %d finished after %v", runs, time.Since(start).Round(time.Second))
	}
	if runs == 0 {
		t.Fatalf("complete runs within %v = 0, want at least 1", *slopesTimeLimit)
	}
	var lines, table bytes.Buffer
	fmt.Fprintf(&table, "# Slopes\n\n%d complete runs in %v; %s, %d CPUs.\n", runs, time.Since(start).Round(time.Second),
		runtime.Version(), runtime.NumCPU())
	for _, r := range results {
		r.keepRuns(runs)
		if err := r.writeLines(&lines); err != nil {
			t.Fatalf("writing the lines of sweep %s: %v", r.name, err)
		}
		r.writeTable(&table)
	}
	if err := os.WriteFile(*slopesPath+".jsonl", lines.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*slopesPath+".md", table.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// selectedSweeps returns the sweeps that the flag -slopes.sweeps names, or all if it is empty.
func selectedSweeps() (selected []*sweepResult) {
	for _, s := range sweeps() {
		if *slopesSweeps == "" || slices.Contains(strings.Split(*slopesSweeps, ","), s.name) {
			selected = append(selected, &sweepResult{s, map[string][][]float64{}})
		}
	}
	return selected
}

// runAll runs all sizes of all sweeps once, with the run number run, and adds their figures. It reports whether the run was
// complete by the deadline.
func runAll(results []*sweepResult, run int, deadline time.Time) bool {
	for _, r := range results {
		for i, size := range r.sizes {
			if !time.Now().Before(deadline) {
				return false
			}
			r.add(run, i, runScale(size, uint64(run+1), r.warm, r.span))
		}
	}
	return true
}
