package upstream

import (
	"testing"
	"time"
)

// TestSendCheck guards against an invariant check that misses a fault or reports a correct attempt. It also guards against
// writing the last byte of an attempt that is too late. Each case is a correct attempt, most with changed times.
func TestSendCheck(t *testing.T) {
	now := time.Now()
	good := sendCheck{
		clientDeadline: now.Add(time.Second), serverCheckedAt: now, timeoutSetAt: now, attemptTimeout: time.Second, firstByteAt: now,
	}
	for _, c := range []struct {
		name             string
		change           func(*sendCheck)
		clientCheckedAgo time.Duration
		disconnected     bool
		want             sendFault
		tooLate          bool
	}{
		{name: "good", change: func(*sendCheck) {}},
		{
			name: "delayed as far as the slack", change: func(check *sendCheck) {
				check.timeoutSetAt, check.attemptTimeout = now.Add(-maxWriteDelay), time.Second+maxWriteDelay
			},
		},
		{
			name: "delayed", change: func(check *sendCheck) {
				check.timeoutSetAt, check.attemptTimeout = now.Add(-maxWriteDelay-1), time.Second+attemptTimeoutSlack+1
			},
			want: sendFaultTimeout, tooLate: true,
		},
		{name: "past the deadline", change: func(check *sendCheck) { check.clientDeadline = now.Add(-1) }, want: sendFaultDeadline, tooLate: true},
		{name: "past the retry window", change: func(check *sendCheck) { check.finishBy = now.Add(-1) }, want: sendFaultWindow, tooLate: true},
		{name: "in the retry window", change: func(check *sendCheck) { check.finishBy = now.Add(1) }},
		{name: "server checked too long ago", change: func(check *sendCheck) { check.serverCheckedAt = now.Add(-minDrainGrace - 1) }, want: sendFaultServer},
		{name: "client disconnected too long ago", change: func(*sendCheck) {}, clientCheckedAgo: maxStartAfterDisconnect + 1, disconnected: true, want: sendFaultDisconnected},
		{name: "client that disconnected just now", change: func(*sendCheck) {}, clientCheckedAgo: maxStartAfterDisconnect, disconnected: true},
		{name: "client that stays", change: func(*sendCheck) {}, clientCheckedAgo: time.Minute},
	} {
		check := good
		c.change(&check)
		if fault := check.faultAt(now, clientLiveness{now.Add(-c.clientCheckedAgo), c.disconnected}); fault != c.want {
			t.Errorf("%s: faultAt = %q, want %q", c.name, fault, c.want)
		}
		if may := check.mayWriteLastByte(now); may == c.tooLate {
			t.Errorf("%s: mayWriteLastByte = %t, want %t", c.name, may, !c.tooLate)
		}
	}
}
