package scale

import "testing"

// Cancel keeps an attempt from beginning and ends the attempt in flight. It does not affect attempts of other numbers.
func TestAttemptHandleCancels(t *testing.T) {
	h := newAttemptHandle()
	first, ok := h.begin(0)
	if !ok {
		t.Fatal("the first attempt doesn't begin")
	}
	h.Cancel(1) // not begun yet
	select {
	case <-first:
		t.Error("another attempt's cancel ended it")
	default:
	}
	if _, ok := h.begin(1); ok {
		t.Error("a cancelled attempt begins")
	}
	second, ok := h.begin(2)
	if !ok {
		t.Fatal("the next attempt doesn't begin")
	}
	h.Cancel(2)
	h.Cancel(2) // a second Cancel does nothing
	select {
	case <-second:
	default:
		t.Error("a cancelled attempt goes on")
	}
}
