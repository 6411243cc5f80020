package histogram

import (
	"testing"
	"time"
)

// Times are recorded to three digits and clamped to the histogram's range. An empty histogram has quantiles of 0.
func TestRecordClampsToRange(t *testing.T) {
	h := New()
	if got := QuantileMs(h, 99); got != 0 {
		t.Errorf("empty: %v", got)
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
			t.Errorf("%v: %v ms, want %v", c.recorded, got, c.wantMs)
		}
	}
	if h.TotalCount() != 1 {
		t.Errorf("%d recorded", h.TotalCount())
	}
}
