package decision

// candidates are servers that may take a request, by weight, and sums over them.
type candidates struct {
	slots    []serverSlot
	weight   float64
	inFlight float64
}

// weighAll weighs those of some servers that may take a request, the others by 0.
func (e *Engine) weighAll(r *request, slots []serverSlot) candidates {
	c, class := candidates{slots: slots}, &e.config.classes[r.class]
	mean, set := e.selection.meanPace(e.now), &e.endpoints
	for _, i := range slots {
		s := &set.servers[i]
		set.outlierStates(i, len(e.classes))
		if s.weight = 0; s.usable() && !class.bound(r, s, set.servers) && e.slowStart.hasRoom(s, e.now, e.subsets.ratio) {
			s.weight = e.selection.weigh(s, mean, e.now)
			c.weight, c.inFlight = c.weight+s.weight, c.inFlight+float64(s.inFlight)
		}
	}
	return c
}

// beyondSubset is which servers a request may go to past the subset: those in view; or, where an attempt of a keyed
// one may have run and binds it to its cell, that cell's, of which few may be in view.
func (e *Engine) beyondSubset(r *request) []serverSlot {
	if c := &e.config.classes[r.class]; c.retrySafety == retryKeyed && c.keyGroup == groupCell {
		for _, a := range r.attempts {
			if a.mayHaveRun {
				return e.endpoints.order.cells[e.endpoints.servers[a.server].Cell]
			}
		}
	}
	return e.endpoints.view
}
