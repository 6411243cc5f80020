package histogram

import (
	"testing"
	"time"
)

// Times are recorded to three digits and clamped to the histogram's range. Without the clamping, the histogram would drop times
// outside the range. An empty histogram has quantiles of 0.
func TestRecordClampsToRange(t *testing.T) {
	h := New()
	if got := QuantileMs(h, 99); got != 0 {
		t.Errorf("QuantileMs(99) of an empty histogram = %v ms, want 0", got)
	}
	for _, c := range []struct {
		recorded time.Duration
		wantMs   float64
	}{
		{-time.Second, 0.001},
		{0, 0.001},
		{1500 * time.Microsecond, 1.5},
		{time.Hour, 600_000},
	} {
		h.Reset()
		Record(h, c.recorded)
		if got := QuantileMs(h, 50); got < c.wantMs || got > c.wantMs*1.001 {
			t.Errorf("QuantileMs(50) after Record(%v) = %v ms, want %v to %v ms", c.recorded, got, c.wantMs, c.wantMs*1.001)
		}
	}
	if h.TotalCount() != 1 {
		t.Errorf("the histogram has %d values after one call of Record, want 1", h.TotalCount())
	}
}
