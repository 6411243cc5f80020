// Package histogram records latencies in HDR histograms (HdrHistogram/hdrhistogram-go), in microseconds.
package histogram

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros         = 10 * 60 * 1e6 // largest time in a histogram: 10 minutes, in microseconds
	significantDigits = 3             // precision of the recorded times
)

// New returns an empty histogram of times from 1 µs to 10 minutes, with a precision of three significant digits.
func New() *hdr.Histogram { return hdr.New(1, maxMicros, significantDigits) }

// Record records a time in microseconds, clamped to the range from 1 µs to 10 minutes.
func Record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // RecordValue fails only for a value out of range.
}

// QuantileMs returns the quantile with the given percentage, in milliseconds. It returns 0 for an empty histogram.
func QuantileMs(h *hdr.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e3
}
