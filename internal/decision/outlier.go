package decision

import (
	"math"
)

// recordOutcome learns of a server from one end, for each band alone: a server may fail one and serve the others.
// It guards against servers that fail, cut links and processes that hang; it covers a lost zone too. It
// could harm where errors come from the tickets themselves: then servers rest for a contract time by
// turns, and pick falls back on all when none is left.
func (n *Engine) recordOutcome(s *server, band int, o Outcome, took Time) {
	b, at := &n.classes[band], &s.byClass[band]
	trial := at.trialInFlight
	s.inFlight--
	at.inFlight--
	at.lost, at.trialInFlight = min(at.lost, at.inFlight), false
	switch o {
	case Succeeded:
		*at = outlierState{inFlight: at.inFlight, answeredAt: n.now, lost: at.lost, countedFrom: at.countedFrom, peerSuspicion: at.peerSuspicion}
		n.recordPace(s, float64(took)/n.usualLatency(b))
	case Failed: // rare where all is well, so that one tells enough
		at.answeredAt = n.now
		at.consecutiveFailures++
		n.eject(at)
	case ConnectFailed:
		for k := range s.byClass {
			s.byClass[k].consecutiveFailures++
			n.eject(&s.byClass[k])
		}
	case Overloaded, TimedOut, MalformedResponse, ConnectionReset: // each may come of any server now and then: one alone tells little
		if at.consecutiveFailures++; trial || at.consecutiveFailures >= maxFailures {
			n.eject(at)
		}
	}
	if slow := float64(took) / n.usualLatency(b); o == Cancelled && slow > 1 || o == TimedOut || o == ConnectFailed ||
		o == ConnectionReset { // at least that slow
		n.recordPace(s, max(1, slow))
	}
}

// receiveSuspicions takes in what a peer suspects. Of many nodes each sees a server seldom and would spend one execution
// on each that fails. What it saw answer lately it goes on using. It covers dead servers still listed; it
// could harm where one node's links alone are cut: servers then rest until its word runs out.
func (n *Engine) receiveSuspicions(list []suspicion) {
	for _, d := range list {
		i := n.serverSlots.find(d.server)
		if i < 0 || d.class >= len(n.classes) {
			continue
		}
		at := &n.outlierStates(i)[d.class]
		ill := &n.classes[d.class].peerSuspicion
		at.peerSuspicion.add(1, n.now, suspicionMemory)
		ill.add(1, n.now, suspicionMemory)
		if at.consecutiveFailures > 0 && !at.fromPeer && n.now < at.ejectedUntil || n.now-at.answeredAt < n.shortestObjective && at.answeredAt > 0 {
			continue
		}
		if d.ejectedFor > 0 || n.suspectedByPeers(d.class, at) {
			at.consecutiveFailures, at.fromPeer = max(at.consecutiveFailures, 1), true
			at.ejectedUntil = max(at.ejectedUntil, n.now+min(max(d.ejectedFor, n.shortestObjective), maxEjection*n.shortestObjective))
		}
	}
}

// eject takes a server out of a band's rotation, each time for twice as long.
func (n *Engine) eject(at *outlierState) {
	at.ejectionTime = min(max(2*at.ejectionTime, n.shortestObjective), maxEjection*n.shortestObjective)
	at.ejectedUntil, at.fromPeer = n.now+at.ejectionTime, false
}

// ejected tells whether a server is out of the rotation; past its rest it gets one trial at a time.
func (n *Engine) ejected(band int, at *outlierState) bool {
	return n.now < at.ejectedUntil || at.trialInFlight || n.classes[band].trialBudget < 1 && (at.ejectionTime > n.shortestObjective || at.fromPeer)
}

// suspectedByPeers tells whether peers told of clearly more misses of a server in a band than of one on average: what a
// whole fleet misses for want of room falls on all alike. Such a server gets trials by the band's budget
// only.
func (n *Engine) suspectedByPeers(band int, at *outlierState) bool {
	if at.peerSuspicion.count == 0 {
		return false
	}
	all := &n.classes[band].peerSuspicion
	at.peerSuspicion.decayTo(n.now, suspicionMemory)
	all.decayTo(n.now, suspicionMemory)
	mean := all.count / float64(max(1, n.ready))
	return at.peerSuspicion.count >= minSuspicion+mean+suspicionRoots*math.Sqrt(mean)
}
