package authz

import (
	"testing"
	"time"
)

// TestBreakerOpensAtFifthFailure checks that the breaker stays closed for four consecutive failures and opens at the fifth.
// The test has the numbers written out, so that a change of maxFailures is noticed.
func TestBreakerOpensAtFifthFailure(t *testing.T) {
	var b breaker
	for range 4 {
		b.failed(0, time.Second)
	}
	if !b.allows(0) {
		t.Error("breaker is open after four failures, want closed")
	}
	if b.failed(0, time.Second); b.allows(0) {
		t.Error("breaker is closed after five failures, want open")
	}
}

// TestBreakerOpensAndCloses checks that the breaker opens after maxFailures consecutive failures, doubles its open time
// with each failed trial, and closes with an answer. A shorter open time would overload an authorizer that recovers. A
// breaker that stays open would leave requests unchecked.
func TestBreakerOpensAndCloses(t *testing.T) {
	const objective = 800 * time.Millisecond // A check times out after a quarter of the objective.
	var b breaker
	for failure := 1; failure < maxFailures; failure++ {
		if opened := b.failed(0, objective); opened || !b.allows(0) {
			t.Fatalf("failure %d: failed() = %v, allows() = %v; want false, true up to failure %d", failure, opened, b.allows(0), maxFailures-1)
		}
	}
	if opened := b.failed(0, objective); !opened || b.allows(0) {
		t.Fatalf("failure %d: failed() = %v, allows() = %v; want true, false", maxFailures, opened, b.allows(0))
	}
	for range 3 { // These are failures of checks that were in flight when the breaker opened.
		if opened := b.failed(0, objective); opened || b.consecutiveFailures != maxFailures {
			t.Fatalf("failure while the breaker is open: failed() = %v, %d consecutive failures; want false (no new opening), %d",
				opened, b.consecutiveFailures, maxFailures)
		}
	}
	now := time.Duration(0)
	for trial, openTime := range []time.Duration{400, 800, 1600, 3200, 5000, 5000} { // The times are in milliseconds.
		openTime *= time.Millisecond
		if b.allows(now+openTime-1) || !b.allows(now+openTime) {
			t.Fatalf("trial %d: allows() = %v just before %v, %v at %v, open for %v; want false, then true",
				trial, b.allows(now+openTime-1), openTime, b.allows(now+openTime), openTime, b.openUntil-now)
		}
		now += openTime
		b.begin()
		if b.allows(now) {
			t.Fatalf("second check is allowed while trial %d is in flight, want one trial at a time", trial)
		}
		b.ended()
		if !b.failed(now, objective) {
			t.Fatalf("failed trial %d did not open the breaker, want open", trial)
		}
	}
	b.succeeded()
	if !b.allows(now) {
		t.Error("breaker is open after an answer, want closed")
	}
}
