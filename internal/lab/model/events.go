package model

import (
	"container/heap"
	"time"

	"cherrygap/internal/protocol"
)

// eventKind is what an event is of.
type eventKind uint8

const (
	eventArrival       eventKind = iota // the next request of the stream comes
	eventRetry                          // a client whose request was rejected comes again
	eventClientTimeout                  // a client stops waiting
	eventTimer                          // a node's timer fires
	eventWorkDone                       // a server ends its work on an attempt
	eventTimeout                        // a node stops waiting for an attempt
	eventResult                         // an attempt's result reaches its node
	eventSample                         // a second of the series ends
	eventRestart                        // a server goes down, or comes back
	eventDrain                          // a server begins to drain
	eventDrainNotified                  // the nodes are notified of a drain
)

// event is one event of a run. Which fields it has depends on its kind.
type event struct {
	at           time.Duration
	seq          uint64 // order of scheduling, which decides at the same time
	kind         eventKind
	node         *node            // eventTimer
	timerSetting uint64           // eventTimer: the setting of the timer that it is of
	attempt      *attempt         // eventWorkDone, eventTimeout, eventResult
	outcome      protocol.Outcome // eventResult
	request      *request         // eventRetry, eventClientTimeout
	server       int              // eventRestart, eventDrain, eventDrainNotified: -1 for all
	down         bool             // eventRestart
}

// eventQueue is a heap of events by time, and by order of scheduling at the same time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop is for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule adds an event at its time.
func (s *Sim) schedule(e *event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// handle plays one event.
func (s *Sim) handle(e *event) {
	switch e.kind {
	case eventArrival:
		s.arrive()
	case eventRetry:
		s.addRequest(e.request.class, e.request.tenant, true)
	case eventClientTimeout:
		s.clientTimeout(e.request)
	case eventTimer:
		if e.timerSetting == e.node.timerSettings {
			e.node.router.TimerFired()
			s.takeDecisions(e.node)
		}
	case eventWorkDone:
		s.workDone(e.attempt)
	case eventTimeout:
		s.attemptTimeout(e.attempt)
	case eventResult:
		e.attempt.outcome = e.outcome
		s.report(e.attempt)
	case eventSample:
		s.sample()
		s.schedule(&event{at: s.now + time.Second, kind: eventSample})
	case eventRestart:
		s.restart(e.server, e.down)
	case eventDrain:
		s.drain(e.server)
	case eventDrainNotified:
		s.notifyDrain(e.server)
	}
}
