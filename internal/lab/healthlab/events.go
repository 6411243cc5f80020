package healthlab

import (
	"container/heap"
	"time"

	"cherrygap/internal/healthcheck"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	wakeNode      eventKind = iota // a node's timer fires
	receive                        // a datagram arrives
	endCheck                       // a node's health check of a server ends
	moveFault                      // the scenario's fault begins, ends or, in flap, continues
	sampleMembers                  // the nodes' lists of dead members are counted, each second after the fault
)

// event is an event of a node, or of the whole fleet for moveFault and sampleMembers.
type event struct {
	at          time.Duration // virtual time
	sequence    int           // number of the event by scheduling, which orders events of the same time
	kind        eventKind
	node        int
	incarnation int               // of the node; timers and checks of an earlier incarnation are dropped
	from        int               // receive: the sending node
	text        []byte            // receive: the datagram
	check       healthcheck.Check // endCheck
}

// eventQueue is a priority queue of events. It implements heap.Interface.
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

// Push implements heap.Interface. Callers use schedule.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface. Callers use next.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events = q.events[:last]
	return e
}

// schedule adds an event and sets its number.
func (q *eventQueue) schedule(e event) {
	q.lastSequence++
	e.sequence = q.lastSequence
	heap.Push(q, e)
}

// next removes and returns the first event. The queue must not be empty.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }
