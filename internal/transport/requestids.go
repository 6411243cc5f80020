package transport

import (
	"sync"
	"time"
)

const (
	idsFor  = 8 * time.Second // an answered ticket's id is kept at least so long,
	mostIDs = 4 << 10         // unless more come than this
)

// ids are those of the tickets that are open or were lately answered. A stranger may send one that it has seen;
// an execution under it would count as a second of the ticket's own.
type ids struct {
	mu       sync.Mutex
	open     map[string]struct{}
	now, old map[string]struct{} // answered
	turned   time.Time
}

func newIDs() *ids {
	return &ids{open: map[string]struct{}{}, now: map[string]struct{}{}, turned: time.Now()}
}

// take notes an id, unless it is known.
func (s *ids) take(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range [...]map[string]struct{}{s.open, s.now, s.old} {
		if _, known := m[id]; known {
			return false
		}
	}
	s.open[id] = struct{}{}
	return true
}

// answered notes that a ticket is open no more.
func (s *ids) answered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
	if len(s.now) >= mostIDs || time.Since(s.turned) >= idsFor {
		s.old, s.now, s.turned = s.now, make(map[string]struct{}, len(s.now)), time.Now()
	}
	s.now[id] = struct{}{}
}
