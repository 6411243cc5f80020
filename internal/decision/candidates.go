package decision

// candidates are the servers considered for a request's next attempt. Servers that may not take it have rotation weight
// 0.
type candidates struct {
	slots     []serverSlot
	weightSum float64 // sum of the rotation weights
	inFlight  float64 // attempts in flight at the servers with a rotation weight above 0
}

// weighAll sets the rotation weights of the servers for a request, and returns the servers as its candidates.
func (e *Engine) weighAll(r *request, slots []serverSlot) candidates {
	c, set := candidates{slots: slots}, &e.endpoints
	meanPace := e.selection.meanPace(e.now)
	for _, i := range slots {
		s := &set.servers[i]
		set.outlierStates(i, len(e.classes))
		s.rotationWeight = 0
		if !e.eligible(r, s) {
			continue
		}
		s.rotationWeight = e.selection.weigh(s, meanPace, e.now)
		c.weightSum += s.rotationWeight
		c.inFlight += float64(s.inFlight)
	}
	return c
}

// eligible reports whether a server may take a request's next attempt at all.
func (e *Engine) eligible(r *request, s *server) bool {
	if !s.usable() || e.config.classes[r.class].keyExcludes(r, s, e.endpoints.servers) {
		return false
	}
	return e.slowStart.hasCapacity(s, e.now, e.subsets.ratio)
}

// beyondSubset returns the servers to consider when the subset can't take a request: the tracked ones. For a keyed request
// that may have run in a cell, these are all servers of that cell instead, since few of them may be tracked.
func (e *Engine) beyondSubset(r *request) []serverSlot {
	c := &e.config.classes[r.class]
	if c.retrySafety != retryKeyed || c.keyGroup != groupCell {
		return e.endpoints.tracked
	}
	for _, a := range r.attempts {
		if a.mayHaveRun {
			return e.endpoints.order.cells[e.endpoints.servers[a.server].Cell]
		}
	}
	return e.endpoints.tracked
}
