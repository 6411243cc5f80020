package healthlab

import (
	"container/heap"
	"time"

	"cherrygap/internal/healthcheck"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	// eventTimer is the expiry of a node's timer.
	eventTimer eventKind = iota
	// eventDatagram is the arrival of a datagram.
	eventDatagram
	// eventCheckEnd is the end of a node's health check of a server.
	eventCheckEnd
	// eventFault is the beginning or the end of the scenario's fault, or its next step in the scenario flap.
	eventFault
	// eventSample counts the dead members at all nodes. It happens each second after the fault.
	eventSample
)

// event is a future event. The kinds eventFault and eventSample use only the fields at, sequence and kind.
type event struct {
	at          time.Duration // virtual time
	sequence    int           // order of scheduling, by which events of the same time are ordered
	kind        eventKind
	node        int               // node at which the event happens
	incarnation int               // eventTimer, eventCheckEnd: incarnation of the node; events of earlier incarnations are dropped
	sender      int               // eventDatagram: sender of the datagram
	payload     []byte            // eventDatagram: content of the datagram
	check       healthcheck.Check // eventCheckEnd: check that has ended
}

// eventQueue is a priority queue of future events. It implements heap.Interface.
type eventQueue struct {
	events       []event
	lastSequence int
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface. Other callers use schedule.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface. Other callers use next.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

// schedule adds an event to the queue.
func (q *eventQueue) schedule(e event) {
	q.lastSequence++
	e.sequence = q.lastSequence
	heap.Push(q, e)
}

// next removes and returns the first event. The queue must not be empty.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }
