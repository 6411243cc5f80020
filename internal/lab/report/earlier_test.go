package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readEarlierSeries reads the series that the commands `lab model --series` and `lab load --series` of an earlier version wrote
// (testdata/earlier-*.jsonl).
func readEarlierSeries(t *testing.T) []Run {
	t.Helper()
	var runs []Run
	for _, name := range []string{"earlier-model", "earlier-load"} {
		r, err := Read(filepath.Join("testdata", name+".jsonl"))
		if err != nil {
			t.Fatalf("Read of the series %s: %v", name, err)
		}
		if r.Name != name {
			t.Errorf("the run of the series %s has the name %q, want the name of the file", name, r.Name)
		}
		runs = append(runs, r)
	}
	return runs
}

// expectedSample contains the expected values of a sample.
type expectedSample struct {
	second                           int
	p50, p95, p99, loadMean, loadMax float64
}

const noLoad = -1 // stands for a missing load; the series of `lab load` do not contain the servers' load

// expectedSamples are the samples of the series of readEarlierSeries, in their order.
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

// Read still reads the series of an earlier version, with every value that a report uses. A renamed JSON key would read as 0.
func TestEarlierSeriesStayReadable(t *testing.T) {
	for i, run := range readEarlierSeries(t) {
		t.Run(run.Name, func(t *testing.T) {
			want := expectedSamples[i]
			if len(run.Samples) != len(want) {
				t.Fatalf("the run %s has %d samples, want %d", run.Name, len(run.Samples), len(want))
			}
			for k, sample := range run.Samples {
				got := expectedSample{sample.Second, sample.P50Ms, sample.P95Ms, sample.P99Ms, noLoad, noLoad}
				if sample.LoadMean != nil && sample.LoadMax != nil {
					got.loadMean, got.loadMax = *sample.LoadMean, *sample.LoadMax
				}
				if got != want[k] {
					t.Errorf("the sample %d is %+v, want %+v", k, got, want[k])
				}
			}
		})
	}
}

// The report of the series of an earlier version has the same table and the same files as in that version. A changed column or
// file name would make reports of two versions incomparable.
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
		t.Fatalf("WriteTable: %v", err)
	}
	if b.String() != table {
		t.Errorf("the table is\n%s\nwant\n%s", b.String(), table)
	}
	files, err := Write(t.TempDir(), "runs", runs)
	if err != nil {
		t.Fatalf("Write: %v", err)
	}
	var names []string
	for _, f := range files {
		if info, err := os.Stat(f); err != nil || info.Size() == 0 {
			t.Errorf("Stat of the file %s returned the error %v and the info %+v, want a file that is not empty", f, err, info)
		}
		names = append(names, filepath.Base(f))
	}
	if got := strings.Join(names, " "); got != "goodput.png latency.png outcomes.png load.png report.md" {
		t.Errorf("Write returned the files %s, want goodput.png latency.png outcomes.png load.png report.md", got)
	}
}
