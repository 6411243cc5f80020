package routing_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// sweepResult holds the figures of a sweep.
type sweepResult struct {
	sweep
	figures map[string][][]float64 // by metric, by run, by size
}

// add stores the figures of one run at the i-th size.
func (r *sweepResult) add(run, i int, f figures) {
	for m, v := range f {
		for len(r.figures[m]) <= run {
			r.figures[m] = append(r.figures[m], make([]float64, len(r.x)))
		}
		r.figures[m][run][i] = v
	}
}

// keepRuns keeps only the figures of the given number of first runs, because a further run may be incomplete.
func (r *sweepResult) keepRuns(runs int) {
	for m, v := range r.figures {
		r.figures[m] = v[:min(len(v), runs)]
	}
}

// valuesAt returns the values of a metric at the i-th size, by run.
func (r *sweepResult) valuesAt(m string, i int) (out []float64) {
	for _, v := range r.figures[m] {
		out = append(out, v[i])
	}
	return out
}

// metrics returns the names of the metrics in alphabetical order.
func (r *sweepResult) metrics() []string { return slices.Sorted(maps.Keys(r.figures)) }

// writeLines writes a line of JSON for each metric at each size, and one for each fit.
func (r *sweepResult) writeLines(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, m := range r.metrics() {
		for i, x := range r.x {
			values := r.valuesAt(m, i)
			if err := encoder.Encode(map[string]any{
				"sweep": r.name, "x": x, "metric": m, "plays": values, "spread": rangeOfRuns(values), "scale": r.sizes[i],
			}); err != nil {
				return err
			}
		}
		if len(r.x) > 1 {
			if err := encoder.Encode(map[string]any{"sweep": r.name, "metric": m, "fit": fitRuns(r.x, r.figures[m])}); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeTable writes the sweep as a Markdown table: at each size the median (minimum to maximum), then the fit.
func (r *sweepResult) writeTable(w *bytes.Buffer) {
	fmt.Fprintf(w, "\n## %s\n\n", r.name)
	fmt.Fprintf(w, "Others: %v, spread %d, failed %v. Median of %d runs (min to max).\n\n| figure |", r.sizes[0], r.sizes[0].Spread,
		r.sizes[0].FailedShare, len(r.figures["list KB"]))
	for _, x := range r.x {
		fmt.Fprintf(w, " %s |", threeDigits(x))
	}
	fitted := len(r.x) > 1
	if fitted {
		w.WriteString(" a + b·x | R² | exponent |")
	}
	w.WriteString("\n|---|" + strings.Repeat("---|", len(r.x)))
	if fitted {
		w.WriteString("---|---|---|")
	}
	w.WriteString("\n")
	for _, m := range r.metrics() {
		fmt.Fprintf(w, "| %s |", m)
		for i := range r.x {
			fmt.Fprintf(w, " %s |", rangeOfRuns(r.valuesAt(m, i)))
		}
		if fitted {
			fmt.Fprintf(w, " %s |", fitRuns(r.x, r.figures[m]))
		}
		w.WriteString("\n")
	}
}
