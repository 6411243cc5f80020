package upstream

import "time"

// Bounds of the platform on how an attempt is sent.
const (
	// attemptTimeoutSlack is how much the attempt timeout sent to a server may exceed the time left to the client.
	attemptTimeoutSlack = 150 * time.Millisecond
	// maxStartAfterDisconnect is how long after its client disconnected an attempt may still start.
	maxStartAfterDisconnect = 100 * time.Millisecond
	// minDrainGrace is the shortest grace period in which a draining server may get new requests.
	minDrainGrace = 250 * time.Millisecond
)

// maxWriteDelay bounds the time between the attempt timeout's computation and the last byte. Past it the timeout that the
// server was sent is too long.
const maxWriteDelay = 100 * time.Millisecond

// sendCheck is the check of invariant.Sending for one attempt: it compares when client and server were last checked with
// when the request was written. It belongs to the attempt's goroutine.
type sendCheck struct {
	clientDeadline  time.Time     // when the client's timeout ends
	finishBy        time.Time     // end of a keyed retry's window; zero: no bound
	serverCheckedAt time.Time     // when the server was last known to be in service
	timeoutSetAt    time.Time     // when attemptTimeout was computed
	attemptTimeout  time.Duration // as written into the request's head
	firstByteAt     time.Time     // when the first bytes were written
}

// mayWriteLastByte reports whether the last byte may be written: the attempt timeout is still right, the client's deadline has not
// passed, and a keyed retry is within its window.
func (c *sendCheck) mayWriteLastByte(now time.Time) bool {
	inWindow := c.finishBy.IsZero() || now.Before(c.finishBy)
	return now.Sub(c.timeoutSetAt) <= maxWriteDelay && now.Before(c.clientDeadline) && inWindow
}

// sendFault is the way in which an attempt violated invariant.Sending, as it is logged.
type sendFault string

const (
	sendFaultNone         sendFault = ""
	sendFaultTimeout      sendFault = "attempt timeout over the time left"
	sendFaultServer       sendFault = "server out of service"
	sendFaultDisconnected sendFault = "client disconnected"
	sendFaultDeadline     sendFault = "past the deadline"
	sendFaultWindow       sendFault = "past the retry window"
)

// clientLiveness is the result of the last liveness check of a client.
type clientLiveness struct {
	checkedAt    time.Time // when the client was last known to be connected
	disconnected bool      // by now
}

// faultAt returns the fault of an attempt whose last byte was written at a time, or sendFaultNone.
func (c *sendCheck) faultAt(writtenAt time.Time, client clientLiveness) sendFault {
	switch {
	case writtenAt.After(c.clientDeadline):
		return sendFaultDeadline
	case !c.finishBy.IsZero() && writtenAt.After(c.finishBy):
		return sendFaultWindow
	case c.attemptTimeout-c.clientDeadline.Sub(writtenAt) > attemptTimeoutSlack:
		return sendFaultTimeout
	case c.firstByteAt.Sub(c.serverCheckedAt) > minDrainGrace:
		return sendFaultServer
	case client.disconnected && writtenAt.Sub(client.checkedAt) > maxStartAfterDisconnect:
		return sendFaultDisconnected
	}
	return sendFaultNone
}
