package soak

import (
	"fmt"
	"time"
)

// request is the history of one client's request.
type request struct {
	id             string
	node           int // number of the node to which the client sends the request
	nodeCount      int // number of nodes in the fleet
	class          *requestClass
	cappedCustomer int       // number of the customer under the capped plan; -1 under the unlimited plan
	sentAt         time.Time // time at which the client began to write the part with the last byte
	timeout        time.Duration
	clientClosedAt time.Time // time at which the client closed its connection before a response; zero if it did not
	answered       bool
	status         int    // HTTP status of the response; 0 if there is none
	waiver         string // reason for which no response is expected; empty if one is expected
	attempts       []*attempt
}

// deadline returns the end of the client's timeout.
func (r *request) deadline() time.Time { return r.sentAt.Add(r.timeout) }

// mayHaveExecuted reports whether any attempt may have been executed.
func (r *request) mayHaveExecuted() bool {
	for _, a := range r.attempts {
		if !a.notExecuted {
			return true
		}
	}
	return false
}

// describe returns the history for a violation's detail, with times since the request was sent. -1ns stands for an event that
// did not happen.
func (r *request) describe() string {
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -1
		}
		return at.Sub(r.sentAt).Round(time.Millisecond)
	}
	text := fmt.Sprintf("times since the request was sent (-1ns for never): status %d (0 for none), client closed %v;", r.status, since(r.clientClosedAt))
	for _, a := range r.attempts {
		text += fmt.Sprintf(" server %d from %v to %v, timeout %v, not executed %v;",
			a.server, since(a.receivedAt), since(a.endedAt), a.timeout, a.notExecuted)
	}
	return text
}

// attempt is one request that a server has read completely.
type attempt struct {
	server      int
	firstByteAt time.Time     // time at which the first byte arrived
	receivedAt  time.Time     // time at which the last byte arrived and the attempt began
	timeout     time.Duration // timeout that the header states
	endedAt     time.Time     // time at which the response was written or the connection ended; zero before
	notExecuted bool          // whether the server rejected the attempt without executing it
	readLate    bool          // whether the server read the attempt long after its arrival, so that the times are not exact
}
