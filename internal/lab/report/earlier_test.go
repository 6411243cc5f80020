package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readEarlierSeries reads the series that the commands of an earlier version wrote (testdata/earlier-*.jsonl, by
// `lab model --series` and `lab load --series`).
func readEarlierSeries(t *testing.T) []Run {
	t.Helper()
	var runs []Run
	for _, name := range []string{"earlier-model", "earlier-load"} {
		r, err := Read(filepath.Join("testdata", name+".jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		if r.Name != name {
			t.Errorf("the run of %s is called %q", name, r.Name)
		}
		runs = append(runs, r)
	}
	return runs
}

// expectedSample is a second of a series, as it is read.
type expectedSample struct {
	second                           int
	p50, p95, p99, loadMean, loadMax float64
}

const noLoad = -1 // a load tool's series carries no servers' load

var expectedSamples = [][]expectedSample{
	{
		{0, 22.783, 70.079, 121.599, 0.34375, 0.5},
		{1, 23.935, 77.503, 109.951, 0.3125, 0.375},
		{2, 22.703, 81.279, 108.415, 0.21875, 0.375},
		{3, 24.783, 82.815, 116.351, 0.5, 0.75},
		{4, 50.879, 294.655, 341.503, 0, 0},
	},
	{
		{0, 69.823, 262.911, 469.247, noLoad, noLoad},
		{1, 83.711, 315.391, 399.103, noLoad, noLoad},
		{2, 73.983, 190.719, 333.567, noLoad, noLoad},
	},
}

// Series of an earlier version stay readable: every figure that a report takes from them.
func TestEarlierSeriesStayReadable(t *testing.T) {
	for i, run := range readEarlierSeries(t) {
		t.Run(run.Name, func(t *testing.T) {
			want := expectedSamples[i]
			if len(run.Samples) != len(want) {
				t.Fatalf("%d seconds, not %d", len(run.Samples), len(want))
			}
			for k, sample := range run.Samples {
				got := expectedSample{sample.Second, sample.P50Ms, sample.P95Ms, sample.P99Ms, noLoad, noLoad}
				if sample.LoadMean != nil && sample.LoadMax != nil {
					got.loadMean, got.loadMax = *sample.LoadMean, *sample.LoadMax
				}
				if got != want[k] {
					t.Errorf("second %d is %+v, not %+v", k, got, want[k])
				}
			}
		})
	}
}

// The table and the files of earlier series are as they were.
func TestEarlierSeriesGiveTheSameReport(t *testing.T) {
	runs := readEarlierSeries(t)
	const table = `# runs

| run | seconds | bounced | broken | completed | gave_up | completed share | worst p99 ms |
|---|---|---|---|---|---|---|---|
| earlier-model | 5 | 258 | 19 | 1497 | 0 | 0.844 | 341.5 |
| earlier-load | 3 | 0 | 0 | 137 | 0 | 1.000 | 469.2 |
`
	var b strings.Builder
	if err := WriteTable(&b, "runs", runs); err != nil {
		t.Fatal(err)
	}
	if b.String() != table {
		t.Errorf("the table is\n%s\nnot\n%s", b.String(), table)
	}
	files, err := Write(t.TempDir(), "runs", runs)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range files {
		if info, err := os.Stat(f); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", f, err)
		}
		names = append(names, filepath.Base(f))
	}
	if got := strings.Join(names, " "); got != "goodput.png latency.png outcomes.png load.png report.md" {
		t.Errorf("files %s", got)
	}
}
