package upstream

import "time"

// What the platform allows an attempt, and how soon the node gives one up that is held up on its way.
const (
	toldTimeSlack = 150 * time.Millisecond // that a server may be told on top of the time that is left to the client
	maxHeldUp     = 100 * time.Millisecond // between the time told and the last byte
	clientLeftFor = 100 * time.Millisecond // after which nothing may begin for a client that left
	leastGrace    = 250 * time.Millisecond // within which a server that drains may get something new
)

// sendGuard watches over one attempt's way to its server: what was looked at when, against what was written when.
type sendGuard struct {
	clientDeadline time.Time     // when the client gives up
	finishBy       time.Time     // when a repeat has to be whole; zero: no bound
	serverSeenAt   time.Time     // in service
	toldAt         time.Time     // when the time left was written into the head,
	told           time.Duration // as this
	firstByteAt    time.Time     // when the first bytes were written
}

// mayFinish reports whether the last byte may be written: the time told is still right, the client still waits, and a
// repeat is within its window.
func (g *sendGuard) mayFinish(now time.Time) bool {
	inWindow := g.finishBy.IsZero() || now.Before(g.finishBy)
	return now.Sub(g.toldAt) <= maxHeldUp && now.Before(g.clientDeadline) && inWindow
}

// sendFault is what an attempt that was written broke.
type sendFault string

const (
	sendFaultNone   sendFault = ""
	sendFaultTold   sendFault = "more time told than was left"
	sendFaultServer sendFault = "server out of service"
	sendFaultClient sendFault = "client had left"
	sendFaultLate   sendFault = "past its time"
	sendFaultWindow sendFault = "past the window for repeats"
)

// check returns what an attempt broke whose last byte was written by now. clientSeenAt is when its client was there last;
// clientLeft says whether it has left by now.
func (g *sendGuard) check(now, clientSeenAt time.Time, clientLeft bool) sendFault {
	switch {
	case now.After(g.clientDeadline):
		return sendFaultLate
	case !g.finishBy.IsZero() && now.After(g.finishBy):
		return sendFaultWindow
	case g.told-g.clientDeadline.Sub(now) > toldTimeSlack:
		return sendFaultTold
	case g.firstByteAt.Sub(g.serverSeenAt) > leastGrace:
		return sendFaultServer
	case clientLeft && now.Sub(clientSeenAt) > clientLeftFor:
		return sendFaultClient
	}
	return sendFaultNone
}
