package authz

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	const objective = 800 * time.Millisecond // an answer is awaited for a quarter of it
	var b breaker
	for failure := 1; failure < maxFailures; failure++ {
		if b.failed(0, objective) || !b.allows(0) {
			t.Fatalf("open after %d failures", failure)
		}
	}
	if !b.failed(0, objective) || b.allows(0) {
		t.Fatal("still closed after the last failure")
	}
	for range 3 { // in flight together with the one that opened it
		if b.failed(0, objective) || b.consecutiveFailures != maxFailures {
			t.Fatalf("a failure in flight counts: %d", b.consecutiveFailures)
		}
	}
	now := time.Duration(0)
	for trial, open := range []time.Duration{400, 800, 1600, 3200, 5000, 5000} { // ms; it doubles up to a limit
		open *= time.Millisecond
		if b.allows(now+open-1) || !b.allows(now+open) {
			t.Fatalf("trial %d is let pass after %v, want %v", trial, b.openUntil-now, open)
		}
		now += open
		b.begin()
		if b.allows(now) {
			t.Fatal("a second trial beside the first")
		}
		b.ended()
		if !b.failed(now, objective) {
			t.Fatalf("trial %d failed and leaves it closed", trial)
		}
	}
	b.succeeded()
	if !b.allows(now) {
		t.Error("open after an answer")
	}
}
