package report

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// WriteTable writes the totals of the runs as a Markdown table: the number of requests by outcome, the share of completed
// requests, and the largest 99th percentile of a second.
func WriteTable(w io.Writer, title string, runs []Run) error {
	outcomes := outcomesOf(runs)
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n| run | seconds | %s | completed share | worst p99 ms |\n|---|---|%s---|---|\n",
		title, strings.Join(outcomes, " | "), strings.Repeat("---|", len(outcomes)))
	for _, run := range runs {
		totals := totalsOf(run)
		cells := make([]string, len(outcomes))
		for i, outcome := range outcomes {
			cells[i] = fmt.Sprint(totals.outcomes[outcome])
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %.3f | %.1f |\n", run.Name, len(run.Samples), strings.Join(cells, " | "),
			totals.completedShare(), totals.worstP99Ms)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeTableFile writes the table of WriteTable to a file.
func writeTableFile(path, title string, runs []Run) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := WriteTable(f, title, runs); err != nil {
		_ = f.Close() // The error of WriteTable is the cause.
		return fmt.Errorf("%s: %w", path, err)
	}
	return f.Close()
}

// outcomesOf returns the names of all outcomes of the runs, sorted.
func outcomesOf(runs []Run) []string {
	names := map[string]bool{}
	for _, run := range runs {
		for _, s := range run.Samples {
			for name := range s.Outcomes {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// totals are the totals of a run.
type totals struct {
	outcomes   map[string]int64 // number of requests by outcome
	requests   int64            // number of requests
	worstP99Ms float64          // largest 99th percentile of a second, ms
}

// totalsOf returns the totals of a run.
func totalsOf(run Run) totals {
	t := totals{outcomes: map[string]int64{}}
	for _, s := range run.Samples {
		for name, count := range s.Outcomes {
			t.outcomes[name] += count
			t.requests += count
		}
		t.worstP99Ms = max(t.worstP99Ms, s.P99Ms)
	}
	return t
}

// completedShare returns the share of completed requests, or 0 for a run without requests.
func (t totals) completedShare() float64 {
	if t.requests <= 0 {
		return 0
	}
	return float64(t.outcomes[outcomeCompleted]) / float64(t.requests)
}
