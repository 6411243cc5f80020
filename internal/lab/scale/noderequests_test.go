package scale

import "testing"

// An attempt that was cancelled before it began doesn't begin, and one in flight ends; other numbers touch neither.
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
	h.Cancel(2) // once more is nothing
	select {
	case <-second:
	default:
		t.Error("it goes on")
	}
}
