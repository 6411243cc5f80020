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

// sweepResult holds a sweep's figures: by metric, by play, at each size.
type sweepResult struct {
	sweep
	figures map[string][][]float64
}

// add takes over one play's figures at the i-th size.
func (r *sweepResult) add(play, i int, f figures) {
	for m, v := range f {
		for len(r.figures[m]) <= play {
			r.figures[m] = append(r.figures[m], make([]float64, len(r.x)))
		}
		r.figures[m][play][i] = v
	}
}

// cut drops plays that the time ended in the middle.
func (r *sweepResult) cut(plays int) {
	for m, v := range r.figures {
		r.figures[m] = v[:min(len(v), plays)]
	}
}

// playsAt is a metric's plays at the i-th size.
func (r *sweepResult) playsAt(m string, i int) (out []float64) {
	for _, v := range r.figures[m] {
		out = append(out, v[i])
	}
	return out
}

// metrics are the names of the figures, in order.
func (r *sweepResult) metrics() []string { return slices.Sorted(maps.Keys(r.figures)) }

// writeLines writes a JSON line for each metric and size, and one for each fit.
func (r *sweepResult) writeLines(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, m := range r.metrics() {
		for i, x := range r.x {
			plays := r.playsAt(m, i)
			if err := encoder.Encode(map[string]any{
				"sweep": r.name, "x": x, "metric": m, "plays": plays, "spread": spreadOfPlays(plays), "scale": r.sizes[i],
			}); err != nil {
				return err
			}
		}
		if len(r.x) > 1 {
			if err := encoder.Encode(map[string]any{"sweep": r.name, "metric": m, "fit": fitPlays(r.x, r.figures[m])}); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeTable writes the sweep as Markdown: at each size the median (least to greatest), then the fit.
func (r *sweepResult) writeTable(w *bytes.Buffer) {
	fmt.Fprintf(w, "\n## %s\n\n", r.name)
	fmt.Fprintf(w, "Others: %v, spread %d, failed %v. Median of %d plays (min to max).\n\n| figure |", r.sizes[0], r.sizes[0].Spread,
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
			fmt.Fprintf(w, " %s |", spreadOfPlays(r.playsAt(m, i)))
		}
		if fitted {
			fmt.Fprintf(w, " %s |", fitPlays(r.x, r.figures[m]))
		}
		w.WriteString("\n")
	}
}
