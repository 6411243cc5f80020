package healthlab

import (
	"container/heap"
	"time"

	"cherrygap/internal/healthcheck"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	wakeNode   eventKind = iota // a node's timer
	receive                     // a datagram arrives
	endCheck                    // a node's health check of a server ends
	moveFault                   // the scenario's fault begins, ends or, in flap, moves on
	sampleView                  // a sample of the nodes' views of the members, each second after the fault
)

// event happens to a node at a time, or to the whole fleet for moveFault and sampleView.
type event struct {
	at       time.Duration
	sequence int // events at the same time happen in the order in which they were scheduled
	kind     eventKind
	node     int
	life     int // of the node: timers and checks of a former life are dropped
	from     int
	text     []byte
	check    healthcheck.Check
}

// eventQueue is a priority queue of the events to come; it implements heap.Interface.
type eventQueue struct {
	events       []event
	lastSequence int
}

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface; use schedule.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface; use next.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

func (q *eventQueue) schedule(e event) {
	q.lastSequence++
	e.sequence = q.lastSequence
	heap.Push(q, e)
}

// next removes and returns the first event; there must be one.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }
