package healthlab

import (
	"container/heap"
	"time"

	"cherrygap/internal/healthcheck"
)

// eventKind is what happens.
type eventKind uint8

const (
	wakeNode   eventKind = iota // a node's timer
	receive                     // a datagram arrives
	endCheck                    // a node's health check of a server ends
	moveFault                   // the scenario's fault begins, ends or, in flap, moves on
	sampleView                  // who agrees on the living; each second after the fault
)

// event is something that happens to a node at a time, or for moveFault and sampleView to the whole fleet.
type event struct {
	at       time.Duration
	sequence int // events of one time happen in the order in which they were scheduled
	kind     eventKind
	node     int
	life     int // of the node: timers and checks of an earlier one don't happen
	from     int
	text     []byte
	check    healthcheck.Check
}

// eventQueue holds the events to come, the first one first; it implements heap.Interface.
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

// next takes out the first event; there must be one.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }
