package decision

import "slices"

// serverSlot is an index into endpointSet.servers.
type serverSlot int32

// server is the state of one app server. It exists while the endpoint list or an attempt refers to the server.
type server struct {
	Endpoint
	listed         bool
	knownAt        Time         // time at which the list first named the server's current process
	live           bool         // the slot is in use
	inSubset       bool         // in endpointSet.subset
	tracked        bool         // in endpointSet.tracked
	departed       bool         // in endpointSet.departed
	warming        bool         // in endpointSet.warming
	ordered        bool         // in endpointSet.order
	orderZone      uint8        // zone under which the order holds the server
	orderCell      uint16       // cell under which the order holds the server
	inUse          bool         // an open request refers to the server; set only within forgetDeparted
	inFlight       int          // attempts in flight
	pace           decayingMean // durations of attempts, in usual latencies of their class
	rotationCredit float64
	rotationWeight float64        // weight in the current selection; 0: not eligible
	byClass        []outlierState // by request class; nil for a server without state
	slowStart      slowStartState
}

// usable reports whether attempts may go to the server.
func (s *server) usable() bool { return s.listed && s.State == Ready }

// size returns the server's listed size, or 1 if the list gives none.
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

// endpointSet holds the servers, and which of them this node uses.
//
// The subset holds the servers that requests go to first. The tracked servers are the subset, the servers that requests
// go to next, and any others with attempts in flight. Every tracked server has outlier states. An untracked one has them
// only while they carry information, such as a peer's suspicion.
type endpointSet struct {
	servers      []server
	slots        slotIndex[ServerID, serverSlot]
	ready        int           // servers that the list names as ready
	usable       int           // number of tracked servers when the subset was last chosen; all were usable
	order        endpointOrder // of the usable servers
	subset       []serverSlot  // servers of the subset, ascending
	tracked      []serverSlot  // tracked servers, ascending
	spareTracked []serverSlot  // buffer for the next tracked servers
	warming      []serverSlot  // servers that started recently
	untracked    []serverSlot  // servers with outlier states that are not tracked
	departed     []serverSlot  // servers that the list no longer names
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

// remove records that the list no longer names a server.
func (e *endpointSet) remove(i serverSlot) {
	s := &e.servers[i]
	s.listed = false
	if s.live && !s.departed {
		s.departed = true
		e.departed = append(e.departed, i)
	}
}

// outlierStates returns a server's states by class. If it creates them, the server is added to the untracked ones, from
// which forgetUntracked removes it.
func (e *endpointSet) outlierStates(i serverSlot, classes int) []outlierState {
	s := &e.servers[i]
	if s.byClass == nil {
		e.untracked = append(e.untracked, i)
	}
	return s.outlierStates(classes)
}

// recountReady counts the ready servers after a complete list. It marks the order for track to build again.
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
// attempts in flight. A draining or removed server remains tracked until it is dropped. Engine.inFlightAtHealthy counts
// the ejections of all of them.
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
	e.subset, e.tracked, e.usable = e.subset[:0], e.spareTracked[:0], 0
	e.order.walk(choice.start, choice.tracked, func(i serverSlot) {
		e.usable++
		if e.usable <= choice.size {
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
	e.spareTracked = before
	slices.Sort(e.subset)
	slices.Sort(e.tracked)
}

// keepTracked keeps a server tracked that the new choice leaves out, if it must stay so. Otherwise the server joins the
// untracked ones.
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

// trackServer tracks a server that an attempt is sent to.
func (e *endpointSet) trackServer(i serverSlot) {
	s := &e.servers[i]
	if s.tracked {
		return
	}
	s.tracked = true
	k, _ := slices.BinarySearch(e.tracked, i)
	e.tracked = slices.Insert(e.tracked, k, i)
}

// forgetDeparted releases the slots of servers that neither the list nor an open request refers to. Without it, new
// servers that replace old ones would use more and more memory.
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

// forgetUntracked drops the states of untracked servers in which no class is informative.
func (e *endpointSet) forgetUntracked(informative func(outlierState) bool) {
	e.untracked = slices.DeleteFunc(e.untracked, func(i serverSlot) bool {
		s := &e.servers[i]
		if !s.tracked && !slices.ContainsFunc(s.byClass, informative) {
			s.byClass = nil
		}
		return s.tracked || s.byClass == nil
	})
}

// forgetWarm removes the servers that are warm now from the warming ones.
func (e *endpointSet) forgetWarm(isWarm func(*server) bool) {
	e.warming = slices.DeleteFunc(e.warming, func(i serverSlot) bool {
		s := &e.servers[i]
		s.warming = s.warming && !isWarm(s)
		return !s.warming
	})
}

// addWarming adds a server to the warming ones.
func (e *endpointSet) addWarming(i serverSlot) {
	s := &e.servers[i]
	if s.warming {
		return
	}
	s.warming = true
	e.warming = append(e.warming, i)
}
