package upstream

import (
	"testing"
	"time"
)

// What an attempt that was written broke, and what holds one back before its last byte.
func TestSendGuard(t *testing.T) {
	now := time.Now()
	good := sendGuard{
		clientDeadline: now.Add(time.Second), serverSeenAt: now, toldAt: now, told: time.Second, firstByteAt: now,
	}
	for _, c := range []struct {
		name         string
		change       func(*sendGuard)
		clientSeen   time.Duration // ago
		clientLeft   bool
		want         sendFault
		mayNotFinish bool
	}{
		{name: "good", change: func(*sendGuard) {}},
		{
			name: "held up, as far as the slack", change: func(g *sendGuard) { g.toldAt, g.told = now.Add(-maxHeldUp), time.Second+maxHeldUp },
		},
		{
			name: "held up", change: func(g *sendGuard) { g.toldAt, g.told = now.Add(-maxHeldUp-1), time.Second+toldTimeSlack+1 },
			want: sendFaultTold, mayNotFinish: true,
		},
		{name: "past its time", change: func(g *sendGuard) { g.clientDeadline = now.Add(-1) }, want: sendFaultLate, mayNotFinish: true},
		{name: "past the window", change: func(g *sendGuard) { g.finishBy = now.Add(-1) }, want: sendFaultWindow, mayNotFinish: true},
		{name: "in the window", change: func(g *sendGuard) { g.finishBy = now.Add(1) }},
		{name: "server", change: func(g *sendGuard) { g.serverSeenAt = now.Add(-leastGrace - 1) }, want: sendFaultServer},
		{name: "client", change: func(*sendGuard) {}, clientSeen: clientLeftFor + 1, clientLeft: true, want: sendFaultClient},
		{name: "client that left just now", change: func(*sendGuard) {}, clientSeen: clientLeftFor, clientLeft: true},
		{name: "client that stays", change: func(*sendGuard) {}, clientSeen: time.Minute},
	} {
		g := good
		c.change(&g)
		if fault := g.check(now, now.Add(-c.clientSeen), c.clientLeft); fault != c.want {
			t.Errorf("%s: %q, not %q", c.name, fault, c.want)
		}
		if may := g.mayFinish(now); may == c.mayNotFinish {
			t.Errorf("%s: may finish %v", c.name, may)
		}
	}
}
