package model

import (
	"container/heap"
	"slices"
	"testing"
	"time"
)

// Events are ordered by time, and events of the same time by scheduling. Another order among them would make runs of the same
// seed differ.
func TestEventQueue(t *testing.T) {
	s := &Simulation{}
	for _, at := range []time.Duration{5, 3, 5, 1, 3, 1} {
		s.schedule(&event{at: at})
	}
	var order []uint64
	for s.queue.Len() > 0 {
		order = append(order, heap.Pop(&s.queue).(*event).seq)
	}
	if want := []uint64{4, 6, 2, 5, 1, 3}; !slices.Equal(order, want) {
		t.Errorf("the queue returned the events in the order %v, want %v", order, want)
	}
}
