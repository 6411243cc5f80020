package model

import (
	"container/heap"
	"time"

	"cherrygap/internal/protocol"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	// eventArrival is the next arrival of the stream.
	eventArrival eventKind = iota
	// eventRetry is a client's retry of a rejected request.
	eventRetry
	// eventClientTimeout is the deadline of a request.
	eventClientTimeout
	// eventTimer is the expiry of a node's timer.
	eventTimer
	// eventExecuted is the end of the execution of an attempt.
	eventExecuted
	// eventTimeout is the timeout of an attempt.
	eventTimeout
	// eventResult is the arrival of an attempt's result at its node.
	eventResult
	// eventSample is the end of a second of the series.
	eventSample
	// eventRestart is the stop or the start of servers.
	eventRestart
	// eventDrain is the begin of a drain.
	eventDrain
	// eventDrainNotified is the notification of the nodes about a drain.
	eventDrainNotified
)

// event is an event of a run. Its kind determines which fields are set.
type event struct {
	at           time.Duration
	seq          uint64 // orders events at the same time, as they were scheduled
	kind         eventKind
	node         *node            // eventTimer
	timerSetting uint64           // eventTimer: number of the timer's setting
	attempt      *attempt         // eventExecuted, eventTimeout, eventResult
	outcome      protocol.Outcome // eventResult
	request      *request         // eventRetry, eventClientTimeout
	server       int              // eventRestart, eventDrain, eventDrainNotified: number of the server, or -1 for all
	down         bool             // eventRestart: whether the servers stop
}

// eventQueue is a heap of events by time and then by seq. It implements heap.Interface.
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

// schedule adds an event to the queue.
func (s *Sim) schedule(e *event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// handle processes an event.
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
	case eventExecuted:
		s.executed(e.attempt)
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
