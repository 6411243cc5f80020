package netio

import (
	"testing"
	"time"
)

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
		timer.Set(time.Hour) // the last call counts
		timer.Set(after)
		if took := (<-expirations).Sub(startedAt); took < after || took > after+time.Second {
			t.Errorf("set to %v, expired after %v", after, took)
		}
	}
	time.Sleep(20 * time.Millisecond)
	timer.Close()
	<-done
	if len(expirations) != 0 {
		t.Error("expired again")
	}
}
