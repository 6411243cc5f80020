package decision

import "slices"

// serverSlot is an index into endpointSet.servers.
type serverSlot int32

// server is the state of one app server. It exists while the endpoint list or an attempt refers to the server.
type server struct {
	Endpoint
	listed          bool           // the endpoint list names the server
	processListedAt Time           // time at which the list first named the server's current process
	live            bool           // the slot is in use
	inSubset        bool           // the server is in endpointSet.subset
	tracked         bool           // the server is in endpointSet.tracked
	departed        bool           // the server is in endpointSet.departed
	warming         bool           // the server is in endpointSet.warming
	ordered         bool           // the server is in endpointSet.order
	orderZone       uint8          // zone under which the order holds the server
	orderCell       uint16         // cell under which the order holds the server
	inUse           bool           // an open request refers to the server; set only within forgetDeparted
	inFlight        int            // number of attempts in flight
	pace            decayingMean   // decaying mean of the durations of attempts, in usual latencies of their class
	rotationCredit  float64        // credit in the weighted rotation, see selection
	rotationWeight  float64        // weight in the current selection; 0 if the server is not eligible
	byClass         []outlierState // states by request class; nil if the server has none
	slowStart       slowStartState
}

// usable reports whether attempts may go to the server.
func (s *server) usable() bool { return s.listed && s.State == Ready }

// size returns the server's listed weight, or 1 if the list gives none.
func (s *server) size() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// outlierStates returns the server's states by class, and creates them if they are missing.
func (s *server) outlierStates(classes int) []outlierState {
	if s.byClass == nil {
		s.byClass = make([]outlierState, classes)
	}
	return s.byClass
}

// endpointSet holds the app servers and the selection of them that this node uses.
//
// The subset holds the servers that requests go to first. The tracked servers are the subset, the servers that requests
// go to next, and any others with attempts in flight. Every tracked server has outlier states. An untracked one has them
// only while they carry information, such as a peer's suspicion.
type endpointSet struct {
	servers       []server
	slots         slotIndex[ServerID, serverSlot]
	ready         int           // number of servers that the list names as ready
	usableTracked int           // number of tracked servers of the last subsetChoice
	order         endpointOrder // order of the usable servers
	subset        []serverSlot  // servers of the subset, ascending
	tracked       []serverSlot  // tracked servers, ascending
	trackedBuffer []serverSlot  // buffer for the next tracked servers
	warming       []serverSlot  // servers that started recently, in no order
	untracked     []serverSlot  // servers with outlier states that are not tracked, in no order
	departed      []serverSlot  // servers that the list no longer names, in no order
}

// add adds a server that has no slot yet, and returns its slot.
func (e *endpointSet) add(s server) serverSlot {
	i := e.slots.add(s.Server)
	if int(i) == len(e.servers) {
		e.servers = append(e.servers, server{})
	}
	e.servers[i] = s
	e.servers[i].live = true
	return i
}

// remove records that the list no longer names a server. The server keeps its slot until forgetDeparted drops it.
func (e *endpointSet) remove(i serverSlot) {
	s := &e.servers[i]
	s.listed = false
	if s.live && !s.departed {
		s.departed = true
		e.departed = append(e.departed, i)
	}
}

// outlierStates returns a server's states by class. If the states are missing, it creates them and adds the server to
// untracked, from which forgetUntracked removes it.
func (e *endpointSet) outlierStates(i serverSlot, classes int) []outlierState {
	s := &e.servers[i]
	if s.byClass == nil {
		e.untracked = append(e.untracked, i)
	}
	return s.outlierStates(classes)
}

// recountReady counts the ready servers after a complete list. It also marks the order as outdated, so that track builds
// it again.
func (e *endpointSet) recountReady() {
	e.order.built = false
	e.ready = 0
	for i := range e.servers {
		if e.servers[i].usable() {
			e.ready++
		}
	}
}

// track sets the subset and the tracked servers to a choice. A server outside the choice remains tracked while it has
// attempts in flight. A draining or removed server remains tracked until its slot is released. Engine.inFlightAtHealthy
// counts the ejections of all tracked servers.
func (e *endpointSet) track(choice subsetChoice, classes int) {
	if !e.order.built || e.order.group != choice.group || e.order.zoneLayout != choice.zones {
		e.order.build(e.servers, choice.group, choice.zones)
	}
	for _, i := range e.subset {
		e.servers[i].inSubset = false
	}
	for _, i := range e.tracked {
		e.servers[i].tracked = false
	}
	before := e.tracked
	e.subset, e.tracked, e.usableTracked = e.subset[:0], e.trackedBuffer[:0], 0
	e.order.walk(choice.start, choice.tracked, func(i serverSlot) {
		e.usableTracked++
		if e.usableTracked <= choice.size {
			e.servers[i].inSubset = true
			e.subset = append(e.subset, i)
		}
		e.servers[i].tracked = true
		e.outlierStates(i, classes)
		e.tracked = append(e.tracked, i)
	})
	for _, i := range before {
		e.keepTracked(i)
	}
	e.trackedBuffer = before
	slices.Sort(e.subset)
	slices.Sort(e.tracked)
}

// keepTracked keeps a server tracked that the new choice leaves out, while the rules of track require it. Otherwise the
// server is added to untracked, if it has outlier states.
func (e *endpointSet) keepTracked(i serverSlot) {
	s := &e.servers[i]
	switch {
	case s.tracked:
	case s.live && (s.inFlight > 0 || !s.usable()):
		s.tracked = true
		e.tracked = append(e.tracked, i)
	case s.byClass != nil:
		e.untracked = append(e.untracked, i)
	}
}

// trackServer adds the target of an attempt to the tracked servers, unless it is tracked already.
func (e *endpointSet) trackServer(i serverSlot) {
	s := &e.servers[i]
	if s.tracked {
		return
	}
	s.tracked = true
	k, _ := slices.BinarySearch(e.tracked, i)
	e.tracked = slices.Insert(e.tracked, k, i)
}

// forgetDeparted releases the slots of servers that neither the list nor an open request refers to. Without this,
// memory would grow with each server that replaces another.
func (e *endpointSet) forgetDeparted(requests []request) {
	if len(e.departed) == 0 {
		return
	}
	e.forEachServerInUse(requests, func(s *server) { s.inUse = true })
	e.departed = slices.DeleteFunc(e.departed, func(i serverSlot) bool {
		s := &e.servers[i]
		s.departed = !s.listed && s.inUse
		if !s.listed && !s.inUse {
			e.slots.drop(s.Server)
			*s = server{}
		}
		return !s.departed
	})
	e.forEachServerInUse(requests, func(s *server) { s.inUse = false })
}

// forEachServerInUse calls visit for the server of each attempt of an open request.
func (e *endpointSet) forEachServerInUse(requests []request, visit func(s *server)) {
	for i := range requests {
		if !requests[i].live {
			continue
		}
		for _, a := range requests[i].attempts {
			visit(&e.servers[a.server])
		}
	}
}

// forgetUntracked drops a server's states unless the server is tracked or a state is informative. It then removes from
// untracked the servers that are tracked now or have no states.
func (e *endpointSet) forgetUntracked(informative func(outlierState) bool) {
	e.untracked = slices.DeleteFunc(e.untracked, func(i serverSlot) bool {
		s := &e.servers[i]
		if !s.tracked && !slices.ContainsFunc(s.byClass, informative) {
			s.byClass = nil
		}
		return s.tracked || s.byClass == nil
	})
}

// forgetWarm removes the servers that are warm now from warming.
func (e *endpointSet) forgetWarm(isWarm func(*server) bool) {
	e.warming = slices.DeleteFunc(e.warming, func(i serverSlot) bool {
		s := &e.servers[i]
		s.warming = s.warming && !isWarm(s)
		return !s.warming
	})
}

// addWarming adds a server to warming, unless it is there already.
func (e *endpointSet) addWarming(i serverSlot) {
	s := &e.servers[i]
	if s.warming {
		return
	}
	s.warming = true
	e.warming = append(e.warming, i)
}
