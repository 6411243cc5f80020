package decision

import (
	"slices"
)

// addServer gives a server that was not known a slot.
func (n *Engine) addServer(s server) int32 {
	i := n.serverSlots.add(s.Server)
	if int(i) == len(n.servers) {
		n.servers = append(n.servers, server{})
	}
	n.servers[i], n.servers[i].live = s, true
	return i
}

// removeFromList notes that the roster names a server no more.
func (n *Engine) removeFromList(i int32) {
	s := &n.servers[i]
	if s.listed = false; s.live && !s.departed {
		s.departed = true
		n.departed = append(n.departed, i)
	}
}

// forgetDeparted frees the slots of servers that the roster names no more, once no open request does, and drops from the cold
// ones those that are warm by now. It guards against days on which new servers replace old ones all the time.
func (n *Engine) forgetDeparted() {
	name := func(named bool) {
		for i := range n.requests {
			for _, x := range n.requests[i].attempts {
				if n.requests[i].live {
					n.servers[x.server].referenced = named
				}
			}
		}
	}
	if len(n.departed) > 0 {
		name(true)
		n.departed = slices.DeleteFunc(n.departed, func(i int32) bool {
			s := &n.servers[i]
			s.departed = !s.listed && s.referenced
			if !s.listed && !s.referenced {
				n.serverSlots.drop(s.Server)
				*s = server{}
			}
			return !s.departed
		})
		name(false)
	}
	n.outOfView = slices.DeleteFunc(n.outOfView, func(i int32) bool {
		s := &n.servers[i]
		if !s.inView && !slices.ContainsFunc(s.byClass, n.informative) {
			s.byClass = nil
		}
		return s.inView || s.byClass == nil
	})
	n.warming = slices.DeleteFunc(n.warming, func(i int32) bool {
		s := &n.servers[i]
		s.warming = s.warming && n.slowStartWeight(s) < 1
		return !s.warming
	})
}

// outlierStates is what is known of a server, by class; room is made for it.
func (n *Engine) outlierStates(i int32) []outlierState {
	s := &n.servers[i]
	if s.byClass == nil {
		s.byClass = make([]outlierState, len(n.classes))
		n.outOfView = append(n.outOfView, i)
	}
	return s.byClass
}

// informative tells whether a standing says anything yet: what it does not is not worth its room, of thousands of servers.
func (n *Engine) informative(at outlierState) bool {
	at.peerSuspicion.decayTo(n.now, suspicionMemory)
	return at.inFlight > 0 || at.consecutiveFailures > 0 || n.now < at.ejectedUntil || at.peerSuspicion.count > minReports
}

// countReady brings the number of usable servers up to date; after a whole list the order has to be built anew.
func (n *Engine) countReady(whole bool) {
	if n.ready = n.order.count; whole {
		n.ready, n.order.group = 0, 0
		for i := range n.servers {
			if n.servers[i].usable() {
				n.ready++
			}
		}
	}
}

// arrangeOrder brings the order up to date: for a group of nodes' shuffle, from 0, zones kept apart or not.
func (n *Engine) arrangeOrder(group int, apart bool) {
	if n.order.group != group+1 || n.order.byZone != apart {
		n.order.build(n.servers, group+1, apart)
	}
}

// setView takes so many servers into view, from a place in the order's round on, and the first few as the node's own. Those that
// something is out at stay in view until it has ended, and those that drain or are gone until they are forgotten: where most
// that a node uses fail just then, that tells of a standstill (pressing).
func (n *Engine) setView(from float64, most, view int) {
	for _, i := range n.subset {
		n.servers[i].inSubset = false
	}
	for _, i := range n.view {
		n.servers[i].inView = false
	}
	old := n.view
	n.subset, n.view, n.usable = n.subset[:0], n.spareView[:0], 0
	n.order.walk(from, view, func(i int32) {
		s := &n.servers[i]
		if n.usable++; n.usable <= most {
			s.inSubset = true
			n.subset = append(n.subset, i)
		}
		s.inView = true
		n.outlierStates(i)
		n.view = append(n.view, i)
	})
	for _, i := range old {
		if s := &n.servers[i]; !s.inView && s.live && (s.inFlight > 0 || !s.usable()) {
			s.inView = true
			n.view = append(n.view, i)
		} else if !s.inView && s.byClass != nil {
			n.outOfView = append(n.outOfView, i)
		}
	}
	n.spareView = old
	slices.Sort(n.subset)
	slices.Sort(n.view)
}

// addToView takes a server into view that something goes out at.
func (n *Engine) addToView(i int32) {
	if s := &n.servers[i]; !s.inView {
		s.inView = true
		k, _ := slices.BinarySearch(n.view, i)
		n.view = slices.Insert(n.view, k, i)
	}
}

// candidatesBeyondSubset is which servers a request may go to past the node's own: those in view; or, where an attempt of a keyed one may
// have run and binds it to its cell, that cell's, of which few may be in view.
func (n *Engine) candidatesBeyondSubset(t *request, b *requestClass) []int32 {
	for _, x := range t.attempts {
		if s := &n.servers[x.server]; b.retrySafety == retryKeyed && b.keyGroup == "cell" && x.mayHaveRun {
			return n.order.cells[s.Cell]
		}
	}
	return n.view
}

// weighAll weighs those of some servers that may have a request, the others by 0, and tells the sum, and what is out
// at them.
func (n *Engine) weighAll(t *request, b *requestClass, set []int32) (total, open float64) {
	mean := n.meanPace()
	for _, i := range set {
		s := &n.servers[i]
		n.outlierStates(i)
		if s.weight = 0; s.usable() && n.inKeyGroup(t, b, s) && n.slowStartCapacity(s) {
			s.weight = n.weigh(s, mean)
			total, open = total+s.weight, open+float64(s.inFlight)
		}
	}
	return total, open
}

// warmServers is how many warm servers the usable ones are worth.
func (n *Engine) warmServers() float64 {
	sum := float64(n.ready)
	for _, i := range n.warming {
		if s := &n.servers[i]; s.warming && s.usable() {
			sum -= 1 - n.slowStartWeight(s)
		}
	}
	return sum
}

// meanPace is the mean pace of the usable servers in view.
func (n *Engine) meanPace() float64 {
	n.paces.decayTo(n.now, paceMemory)
	if n.paces.count < 1 || n.paces.sum <= 0 {
		return 1
	}
	return n.paces.sum / n.paces.count
}

// sumPaces adds up the paces of the usable servers in view.
func (n *Engine) sumPaces() {
	n.paces = decayingMean{at: n.now}
	for _, i := range n.view {
		if s := &n.servers[i]; s.usable() {
			s.pace.decayTo(n.now, paceMemory)
			n.paces.sum, n.paces.count = n.paces.sum+s.pace.sum, n.paces.count+s.pace.count
		}
	}
}

// recordPace notes how long an attempt took at a server, over its class's usual latency.
func (n *Engine) recordPace(s *server, slow float64) {
	s.pace.add(slow, n.now, paceMemory)
	if s.usable() {
		n.paces.add(slow, n.now, paceMemory)
	}
}

// drainSlowStart lets what counts as sent to a cold server drain, at the budget a span. A new process starts at what
// Roster set, and a pause counts for a span at most: many nodes that were idle would else all send together.
func (n *Engine) drainSlowStart(s *server) {
	if span := n.settings.Duration("fall.span"); span > 0 && s.slowStartAt >= s.Started {
		s.slowStartSent = max(0, s.slowStartSent-n.slowStartBudget(s)*float64(min(n.now-s.slowStartAt, span))/float64(span))
	}
	s.slowStartAt = n.now
}

// recordCompletion counts an execution that a server completed.
func (n *Engine) recordCompletion(s *server, took Time) {
	n.completed++
	n.latencyCount++
	n.latencyTotal += float64(took)
	n.completedSizes.add(s.listedSize(), n.now, sizeMemory)
}

// relativeSize is a server's listed size, over the mean of those that lately completed this node's executions.
func (n *Engine) relativeSize(s *server) float64 {
	if n.completedSizes.count < 1 {
		return 1
	}
	return s.listedSize() / (n.completedSizes.sum / n.completedSizes.count)
}

func (s *server) usable() bool { return s.listed && s.State == Ready }

func tried(t *request, s int32) bool {
	return slices.ContainsFunc(t.attempts, func(x attempt) bool { return x.server == s })
}

// listedSize is a server's size by the roster, 1 where that names none.
func (s *server) listedSize() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}
