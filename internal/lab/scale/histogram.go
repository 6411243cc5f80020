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

// recordMicros records a time, in µs, as at least 1. Times beyond the histogram's range are dropped.
func recordMicros(h *hdr.Histogram, d time.Duration) { _ = h.RecordValue(max(1, d.Microseconds())) }

// quantileMs returns a percentile of recorded µs, in ms; 0 if nothing was recorded.
func quantileMs(h *hdr.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e3
}

// medianAndMax returns the median and the maximum of v, which it sorts; 0 if v is empty.
func medianAndMax(v []float64) (median, most float64) {
	if len(v) == 0 {
		return 0, 0
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}
