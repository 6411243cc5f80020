package decision

import "slices"

// serverSlot is where a server is kept.
type serverSlot int32

// server lives as long as the endpoint list, or an attempt, names it.
type server struct {
	Endpoint
	listed         bool
	knownAt        Time   // when the list first named this process of it
	live           bool   // the slot is in use
	inSubset       bool   // among those that this node uses first
	inView         bool   // among those that it may send to
	departed       bool   // in endpointSet.departed
	warming        bool   // in endpointSet.warming
	ordered        bool   // in the order,
	orderZone      uint8  // in this zone's, and
	orderCell      uint16 // this cell's
	referenced     bool   // by an open request, as of this sweep
	inFlight       int
	pace           decayingMean // attempts' durations over their class's usual latency
	rotationCredit float64
	weight         float64        // as of this selection; 0: no candidate
	byClass        []outlierState // nil while nothing is known, out of view
	slowStart      slowStartState
}

// usable tells whether attempts may go to the server.
func (s *server) usable() bool { return s.listed && s.State == Ready }

// size is the server's size by the endpoint list, 1 where that names none.
func (s *server) size() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// outlierStates is what is known of the server, by class; room is made for it.
func (s *server) outlierStates(classes int) []outlierState {
	if s.byClass == nil {
		s.byClass = make([]outlierState, classes)
	}
	return s.byClass
}

// endpointSet keeps the servers, and which of them this node uses.
type endpointSet struct {
	servers   []server
	slots     slotIndex[ServerID, serverSlot]
	ready     int           // servers listed as ready
	usable    int           // servers in view that may be sent to
	order     endpointOrder // of the usable servers
	subset    []serverSlot  // that this node uses first, rising
	view      []serverSlot  // that it may send to, and those with attempts in flight, rising
	spareView []serverSlot  // room for the next view
	warming   []serverSlot  // that started lately
	outOfView []serverSlot  // of which something is known yet, as by peers' suspicions
	departed  []serverSlot  // that the list named no more, when last looked at
}

// add gives a server that was not known a slot.
func (e *endpointSet) add(s server) serverSlot {
	i := e.slots.add(s.Server)
	if int(i) == len(e.servers) {
		e.servers = append(e.servers, server{})
	}
	e.servers[i], e.servers[i].live = s, true
	return i
}

// remove notes that the list names a server no more.
func (e *endpointSet) remove(i serverSlot) {
	s := &e.servers[i]
	if s.listed = false; s.live && !s.departed {
		s.departed = true
		e.departed = append(e.departed, i)
	}
}

// outlierStates is what is known of a server, by class; one out of view is noted to be looked over later.
func (e *endpointSet) outlierStates(i serverSlot, classes int) []outlierState {
	s := &e.servers[i]
	if s.byClass == nil {
		e.outOfView = append(e.outOfView, i)
	}
	return s.outlierStates(classes)
}

// countReady brings the number of usable servers up to date; after a full list the order has to be built anew.
func (e *endpointSet) countReady(full bool) {
	if e.ready = e.order.count; full {
		e.ready, e.order.group = 0, 0
		for i := range e.servers {
			if e.servers[i].usable() {
				e.ready++
			}
		}
	}
}

// setView takes the servers of a choice into view, and the first few as the subset. Those with attempts in flight stay
// in view until these have ended, and those that drain or are gone until they are forgotten: where most that a node
// uses fail just then, that tells of a standstill (see inFlightAtHealthy).
func (e *endpointSet) setView(choice subsetChoice, classes int) {
	if e.order.group != choice.group+1 || e.order.byZone != choice.byZone {
		e.order.build(e.servers, choice.group+1, choice.byZone)
	}
	for _, i := range e.subset {
		e.servers[i].inSubset = false
	}
	for _, i := range e.view {
		e.servers[i].inView = false
	}
	old := e.view
	e.subset, e.view, e.usable = e.subset[:0], e.spareView[:0], 0
	e.order.walk(choice.from, choice.view, func(i serverSlot) {
		s := &e.servers[i]
		if e.usable++; e.usable <= choice.size {
			s.inSubset = true
			e.subset = append(e.subset, i)
		}
		s.inView = true
		e.outlierStates(i, classes)
		e.view = append(e.view, i)
	})
	for _, i := range old {
		if s := &e.servers[i]; !s.inView && s.live && (s.inFlight > 0 || !s.usable()) {
			s.inView = true
			e.view = append(e.view, i)
		} else if !s.inView && s.byClass != nil {
			e.outOfView = append(e.outOfView, i)
		}
	}
	e.spareView = old
	slices.Sort(e.subset)
	slices.Sort(e.view)
}

// addToView takes a server into view that an attempt goes to.
func (e *endpointSet) addToView(i serverSlot) {
	if s := &e.servers[i]; !s.inView {
		s.inView = true
		k, _ := slices.BinarySearch(e.view, i)
		e.view = slices.Insert(e.view, k, i)
	}
}

// forgetDeparted frees the slots of servers that the list names no more, once no open request does. It guards against
// days on which new servers replace old ones all the time.
func (e *endpointSet) forgetDeparted(requests []request) {
	if len(e.departed) == 0 {
		return
	}
	e.markReferenced(requests, true)
	e.departed = slices.DeleteFunc(e.departed, func(i serverSlot) bool {
		s := &e.servers[i]
		s.departed = !s.listed && s.referenced
		if !s.listed && !s.referenced {
			e.slots.drop(s.Server)
			*s = server{}
		}
		return !s.departed
	})
	e.markReferenced(requests, false)
}

func (e *endpointSet) markReferenced(requests []request, referenced bool) {
	for i := range requests {
		if !requests[i].live {
			continue
		}
		for _, a := range requests[i].attempts {
			e.servers[a.server].referenced = referenced
		}
	}
}

// forgetOutOfView drops what is known of servers out of view, where it is not worth its room any more.
func (e *endpointSet) forgetOutOfView(worthKeeping func(outlierState) bool) {
	e.outOfView = slices.DeleteFunc(e.outOfView, func(i serverSlot) bool {
		s := &e.servers[i]
		if !s.inView && !slices.ContainsFunc(s.byClass, worthKeeping) {
			s.byClass = nil
		}
		return s.inView || s.byClass == nil
	})
}

// forgetWarm drops from the warming servers those that are warm by now.
func (e *endpointSet) forgetWarm(isWarm func(*server) bool) {
	e.warming = slices.DeleteFunc(e.warming, func(i serverSlot) bool {
		s := &e.servers[i]
		s.warming = s.warming && !isWarm(s)
		return !s.warming
	})
}

// noteWarming keeps a server among the warming ones.
func (e *endpointSet) noteWarming(i serverSlot) {
	if s := &e.servers[i]; !s.warming {
		s.warming, e.warming = true, append(e.warming, i)
	}
}

// outlierState is what is known of how a server serves one class.
type outlierState struct {
	inFlight      int
	lost          int // in flight for so long that no answer is expected, as of the last check
	failures      int // consecutive ends without an answer
	ejectedUntil  Time
	ejectedFor    Time         // how long the last ejection lasts
	suspicions    decayingMean // peers' suspicions
	fromPeer      bool         // ejected by a peer's suspicion, not found here
	trialInFlight bool         // one trial attempt is in flight after an ejection
	answeredAt    Time         // last answer of any kind
	countedFrom   Time         // what waited before has been counted
	waited        float64      // usual latencies that what is in flight has waited since the last answer
}

// classOutliers is what is known of all servers, for one class.
type classOutliers struct {
	suspicions decayingMean // peers' suspicions
	trials     float64      // at ejected servers that the class may spend
}

// slowStartState is what counts against one server's budget.
type slowStartState struct {
	sent float64 // attempts, as of
	at   Time
}

// subsetChoice is which servers of which shuffle a node uses.
type subsetChoice struct {
	group      int     // of nodes that share the shuffle, from 0
	byZone     bool    // zones come by turns
	from       float64 // place in the round, in [0, 1)
	size, view int     // servers from there on in the subset and in view
}

// informative tells whether a state says anything yet: what it does not is not worth its room, of thousands of
// servers. It looks at a copy, since decaying in steps rounds otherwise than at once.
func (s outlierState) informative(now Time) bool {
	s.suspicions.decayTo(now, suspicionMemory)
	return s.inFlight > 0 || s.failures > 0 || now < s.ejectedUntil || s.suspicions.count > minReports
}
