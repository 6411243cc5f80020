// Package histogram records the laboratory's latencies in HDR histograms (HdrHistogram/hdrhistogram-go), in microseconds.
package histogram

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros         = 10 * 60 * 1e6 // ten minutes
	significantDigits = 3
)

// New returns an empty histogram of times up to ten minutes.
func New() *hdr.Histogram { return hdr.New(1, maxMicros, significantDigits) }

// Record records a time in microseconds, clamped to the range of 1 to ten minutes.
func Record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // can't fail for a value in the range
}

// QuantileMs returns a quantile, given in percent, in milliseconds. It returns 0 for an empty histogram.
func QuantileMs(h *hdr.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e3
}
