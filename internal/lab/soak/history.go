package soak

import (
	"fmt"
	"time"
)

// request is the history of one client's request.
type request struct {
	id             string
	node           int
	nodes          int // of the fleet
	class          *requestClass
	cappedCustomer int       // number of its customer under the capped plan; -1: under the other plan
	sentAt         time.Time // when the last byte was written
	timeout        time.Duration
	clientClosedAt time.Time // when the client closed its connection without a response; zero: it did not
	answered       bool
	status         int
	waiver         string // why no response is due, as its node was killed; empty: one is due
	attempts       []*attempt
}

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

// describe returns the history for a violation's detail, with times since the request was sent. -1ns is no time.
func (r *request) describe() string {
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -1
		}
		return at.Sub(r.sentAt).Round(time.Millisecond)
	}
	text := fmt.Sprintf("status %d, client closed %v;", r.status, since(r.clientClosedAt))
	for _, a := range r.attempts {
		text += fmt.Sprintf(" server %d from %v to %v, timeout %v, not executed %v;",
			a.server, since(a.begunAt), since(a.endedAt), a.timeout, a.notExecuted)
	}
	return text
}

// attempt is one request that a server has read completely.
type attempt struct {
	server      int
	firstByte   time.Time     // when its first byte arrived
	begunAt     time.Time     // when its last byte arrived
	timeout     time.Duration // in its header
	endedAt     time.Time     // when its response was written or its connection ended; zero: not yet
	notExecuted bool          // the server rejected it
	readLate    bool          // the server read it long after its arrival: the times are not exact
}
