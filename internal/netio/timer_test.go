package netio

import (
	"testing"
	"time"
)

// TestTimerExpiresOnceInTime guards against a timer that expires early, late or repeatedly, or at the time of an earlier Set.
func TestTimerExpiresOnceInTime(t *testing.T) {
	timer, err := NewTimer()
	if err != nil {
		t.Fatal(err)
	}
	expirations, done := make(chan time.Time, 9), make(chan struct{})
	go func() {
		timer.Run(func() { expirations <- time.Now() })
		close(done)
	}()
	for _, after := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
		startedAt := time.Now()
		timer.Set(time.Hour) // The next call must replace this time.
		timer.Set(after)
		if took := (<-expirations).Sub(startedAt); took < after || took > after+time.Second {
			t.Errorf("timer set to %v expired after %v, want from %v to %v", after, took, after, after+time.Second)
		}
	}
	time.Sleep(20 * time.Millisecond)
	timer.Close()
	<-done
	if len(expirations) != 0 {
		t.Errorf("timer expired %d more times after its only expiry, want 0", len(expirations))
	}
}
