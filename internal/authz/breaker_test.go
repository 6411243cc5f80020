package authz

import (
	"testing"
	"time"
)

// The breaker is closed for four consecutive failures and open after the fifth.
func TestBreakerOpensAtFifthFailure(t *testing.T) {
	var b breaker
	for range 4 {
		b.failed(0, time.Second)
	}
	if !b.allows(0) {
		t.Error("open after four failures")
	}
	if b.failed(0, time.Second); b.allows(0) {
		t.Error("closed after five failures")
	}
}

// The breaker opens after maxFailures consecutive failures, doubles its open time with each failed trial, and closes with an
// answer.
func TestBreakerOpensAndCloses(t *testing.T) {
	const objective = 800 * time.Millisecond // a check times out after a quarter of it
	var b breaker
	for failure := 1; failure < maxFailures; failure++ {
		if b.failed(0, objective) || !b.allows(0) {
			t.Fatalf("open after %d failures", failure)
		}
	}
	if !b.failed(0, objective) || b.allows(0) {
		t.Fatal("still closed after the last failure")
	}
	for range 3 { // of checks that were in flight when the breaker opened
		if b.failed(0, objective) || b.consecutiveFailures != maxFailures {
			t.Fatalf("%d consecutive failures, want %d", b.consecutiveFailures, maxFailures)
		}
	}
	now := time.Duration(0)
	for trial, open := range []time.Duration{400, 800, 1600, 3200, 5000, 5000} { // ms
		open *= time.Millisecond
		if b.allows(now+open-1) || !b.allows(now+open) {
			t.Fatalf("trial %d is allowed after %v, want %v", trial, b.openUntil-now, open)
		}
		now += open
		b.begin()
		if b.allows(now) {
			t.Fatal("a second trial while the first is in flight")
		}
		b.ended()
		if !b.failed(now, objective) {
			t.Fatalf("failed trial %d does not open the breaker", trial)
		}
	}
	b.succeeded()
	if !b.allows(now) {
		t.Error("the breaker is open after an answer")
	}
}
