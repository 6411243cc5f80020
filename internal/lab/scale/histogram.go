package scale

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros = 600e6 // ten minutes
	significantDigits = 3
)

func newHistogram() *hdr.Histogram { return hdr.New(1, maxRecordedMicros, significantDigits) }

// recordMicros records a time in µs, 1 at least. What is longer than the histogram takes is left out.
func recordMicros(h *hdr.Histogram, d time.Duration) { _ = h.RecordValue(max(1, d.Microseconds())) }

// quantileMs is a quantile (percent) of µs, in ms; 0 where nothing was recorded.
func quantileMs(h *hdr.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e3
}

// medianAndMax sorts v; both are 0 where it is empty.
func medianAndMax(v []float64) (median, most float64) {
	if len(v) == 0 {
		return 0, 0
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}
