package model

import (
	"container/heap"
	"time"

	"cherrygap/internal/lab/load"
	"cherrygap/internal/protocol"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventArrival        eventKind = iota // the stream's next request arrives
	eventRetry                           // a client retries a rejected request
	eventClientTimeout                   // a client's timeout passes
	eventTimer                           // a node's timer fires
	eventExecutionEnd                    // a server ends the execution of an attempt
	eventAttemptTimeout                  // an attempt's timeout passes at its node
	eventResult                          // an attempt's result reaches its node
	eventSample                          // a second of the series ends
	eventServerDown                      // a server stops
	eventServerUp                        // a server starts again
	eventDrain                           // a server begins to drain
	eventDrainNotified                   // the nodes are notified of a drain
)

// event is an event of a run. The comment of a field that not all events use begins with the kinds that use it.
type event struct {
	at              time.Duration // virtual time
	seq             uint64        // sequence number by scheduling, which orders events of the same time
	kind            eventKind
	node            *node            // eventTimer: node of the timer
	timerGeneration uint64           // eventTimer: value of the node's timerGeneration when the timer was set
	attempt         *attempt         // eventExecutionEnd, eventAttemptTimeout, eventResult: the attempt
	outcome         protocol.Outcome // eventResult: result of the attempt
	request         *request         // eventRetry: the rejected request; eventClientTimeout: the request
	server          int              // events of servers and drains: number of the server, or emulator.EveryServer
}

// eventQueue is a heap of events, ordered by time and then by sequence number. It implements heap.Interface.
type eventQueue []*event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule adds an event to the queue and sets its sequence number.
func (s *Simulation) schedule(e *event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// handle executes an event.
func (s *Simulation) handle(e *event) {
	switch e.kind {
	case eventArrival:
		s.handleArrival()
	case eventRetry:
		s.addRequest(load.Arrival{Class: e.request.class, Customer: uint64(e.request.tenant), ClientRetry: true})
	case eventClientTimeout:
		s.handleClientTimeout(e.request)
	case eventTimer:
		if e.timerGeneration == e.node.timerGeneration {
			e.node.router.TimerFired()
			s.executeDecisions(e.node)
		}
	case eventExecutionEnd:
		s.endExecution(e.attempt)
	case eventAttemptTimeout:
		s.handleAttemptTimeout(e.attempt)
	case eventResult:
		e.attempt.outcome = e.outcome
		s.reportResult(e.attempt)
	case eventSample:
		s.sample()
		s.schedule(&event{at: s.now + time.Second, kind: eventSample})
	case eventServerDown:
		s.stopServers(e.server)
	case eventServerUp:
		s.startServers(e.server)
	case eventDrain:
		s.drain(e.server)
	case eventDrainNotified:
		s.notifyDrain(e.server)
	}
}
