package upstream

import "time"

// Limits that the platform sets for sending an attempt.
const (
	// attemptTimeoutSlack is the maximum by which the attempt timeout sent to a server may exceed the client's remaining time.
	attemptTimeoutSlack = 150 * time.Millisecond
	// maxStartAfterDisconnect is the maximum time after the client's disconnect at which an attempt may still start.
	maxStartAfterDisconnect = 100 * time.Millisecond
	// minDrainGrace is the shortest grace period in which a draining server may get new requests.
	minDrainGrace = 250 * time.Millisecond
)

// maxWriteDelay is the maximum time between the computation of the attempt timeout and the last byte. After that the timeout
// in the request's head is too long.
const maxWriteDelay = 100 * time.Millisecond

// sendCheck checks invariant.Sending for one attempt. It compares the times of the last client and server checks with the
// time at which the request was written. Only the attempt's goroutine uses it.
type sendCheck struct {
	clientDeadline  time.Time     // end of the client's timeout
	finishBy        time.Time     // end of a keyed retry's window; zero means no limit
	serverCheckedAt time.Time     // last time at which the server was known to be in service
	timeoutSetAt    time.Time     // time at which attemptTimeout was computed
	attemptTimeout  time.Duration // attempt timeout in the request's head
	firstByteAt     time.Time     // time at which the first bytes were written
}

// mayWriteLastByte reports whether the last byte may be written at the given time. The attempt timeout must not be outdated,
// the client's deadline must not have passed, and a keyed retry must be within its window.
func (c *sendCheck) mayWriteLastByte(now time.Time) bool {
	inWindow := c.finishBy.IsZero() || now.Before(c.finishBy)
	return now.Sub(c.timeoutSetAt) <= maxWriteDelay && now.Before(c.clientDeadline) && inWindow
}

// sendFault is the kind of violation of invariant.Sending. Its text is logged.
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
	checkedAt    time.Time // last time at which the client was known to be connected
	disconnected bool      // true if the client is known to have disconnected
}

// faultAt returns the fault of an attempt whose last byte was written at writtenAt, or sendFaultNone.
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
