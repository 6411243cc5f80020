package scale

import "testing"

// TestAttemptHandleCancels guards against a cancellation that is lost or that ends the wrong attempt. Cancel ends the attempt
// in flight, or prevents the attempt from beginning. It does not affect attempts with other numbers.
func TestAttemptHandleCancels(t *testing.T) {
	h := newAttemptHandle()
	first, ok := h.begin(0)
	if !ok {
		t.Fatal("begin(0) = false before any Cancel, want true")
	}
	h.Cancel(1) // attempt 1 has not begun yet
	select {
	case <-first:
		t.Error("Cancel(1) ended attempt 0, want no effect")
	default:
	}
	if _, ok := h.begin(1); ok {
		t.Error("begin(1) = true after Cancel(1), want false")
	}
	second, ok := h.begin(2)
	if !ok {
		t.Fatal("begin(2) = false after Cancel(1), want true")
	}
	h.Cancel(2)
	h.Cancel(2) // a repeated Cancel has no effect
	select {
	case <-second:
	default:
		t.Error("Cancel(2) did not end attempt 2 in flight, want its channel closed")
	}
}
