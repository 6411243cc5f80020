package decision

import "math"

// outlierDetector takes servers out of the rotation (ejects them) that fail or keep silent, for each class
// alone: a server may fail one and serve the others. It knows of them by how this node's attempts end, by
// what is in flight with no answer, and by peers' suspicions. An ejection lasts an objective and each further
// one twice as long; past it a server gets one trial at a time, and those that failed longer or of which only
// peers reported get trials by a budget.
//
// It guards against servers that fail, cut links and processes that hang; it covers a lost zone too. It could
// harm where errors come from the requests themselves: then servers are ejected for an objective by turns,
// and selection falls back on all when none is left.
type outlierDetector struct {
	config  *config
	classes []classOutliers
}

// attemptStarted notes an attempt, which is a trial where the server failed before.
func (d *outlierDetector) attemptStarted(s *outlierState, class ClassID, now Time) {
	c := &d.classes[class]
	c.trials = min(c.trials+trialEarned, maxTrials)
	if now < s.ejectedUntil || s.failures > 0 {
		s.trialInFlight = true
		if d.needsTrial(s) {
			c.trials = max(0, c.trials-1)
		}
	}
}

// attemptEnded learns from an attempt's end; the states are the server's, by class.
func (d *outlierDetector) attemptEnded(states []outlierState, class ClassID, o Outcome, now Time) {
	s := &states[class]
	trial := s.trialInFlight
	s.inFlight--
	s.lost, s.trialInFlight = min(s.lost, s.inFlight), false
	switch o {
	case Succeeded:
		*s = outlierState{
			inFlight: s.inFlight, answeredAt: now, lost: s.lost, countedFrom: s.countedFrom, suspicions: s.suspicions,
		}
	case Failed: // rare where all is well, so that one tells enough
		s.answeredAt = now
		s.failures++
		d.eject(s, now)
	case ConnectFailed:
		for k := range states {
			states[k].failures++
			d.eject(&states[k], now)
		}
	case Overloaded, TimedOut, MalformedResponse, ConnectionReset: // one alone, of any server, tells little
		if s.failures++; trial || s.failures >= maxFailures {
			d.eject(s, now)
		}
	}
}

// eject takes a server out of a class's rotation, each time for twice as long.
func (d *outlierDetector) eject(s *outlierState, now Time) {
	least := d.config.shortestObjective
	s.ejectedFor = min(max(2*s.ejectedFor, least), maxEjection*least)
	s.ejectedUntil, s.fromPeer = now+s.ejectedFor, false
}

// ejected tells whether a server is out of a class's rotation.
func (d *outlierDetector) ejected(s *outlierState, class ClassID, now Time) bool {
	return now < s.ejectedUntil || s.trialInFlight || d.classes[class].trials < 1 && d.needsTrial(s)
}

// needsTrial tells whether attempts at a server whose ejection has passed come from the budget of trials.
func (d *outlierDetector) needsTrial(s *outlierState) bool {
	return s.ejectedFor > d.config.shortestObjective || s.fromPeer
}

// checkSilence notes how long an attempt in flight has waited, in usual latencies of its class.
func (d *outlierDetector) checkSilence(s *outlierState, sent Time, usual float64, now Time) {
	s.waited += float64(now-max(sent, s.answeredAt, s.countedFrom)) / usual
	if d.lost(now-sent, usual) {
		s.lost++
	}
}

// lost tells whether an attempt took so long that its answer must have been lost.
func (d *outlierDetector) lost(took Time, usual float64) bool {
	return float64(took) > silentLatencies*usual
}

// ejectSilent ejects a server where all that is in flight has together waited for so many usual latencies
// with nothing coming back, that chance hardly explains it. It guards against servers that stand still or
// hang without an error and against cut links. It could harm where requests differ far more than usual;
// others then take its turn.
func (d *outlierDetector) ejectSilent(s *outlierState, now Time) {
	if s.waited > silentLatencies && now >= s.ejectedUntil {
		s.failures++
		s.countedFrom, s.trialInFlight = now, false
		d.eject(s, now)
	}
}

// receive takes in what a peer suspects. Of many nodes each sees a server seldom and would spend one attempt
// on each that fails. What it saw answer lately it goes on using. It covers dead servers still listed; it
// could harm where one node's links alone are cut: servers are then ejected until that has run out.
func (d *outlierDetector) receive(s *outlierState, reported suspicion, ready int, now Time) {
	c, least := &d.classes[reported.class], d.config.shortestObjective
	s.suspicions.add(1, now, suspicionMemory)
	c.suspicions.add(1, now, suspicionMemory)
	if s.failures > 0 && !s.fromPeer && now < s.ejectedUntil || now-s.answeredAt < least && s.answeredAt > 0 {
		return
	}
	if reported.ejectedFor > 0 || d.suspectedByPeers(s, reported.class, ready, now) {
		s.failures, s.fromPeer = max(s.failures, 1), true
		s.ejectedUntil = max(s.ejectedUntil, now+min(max(reported.ejectedFor, least), maxEjection*least))
	}
}

// suspectedByPeers tells whether peers reported clearly more failures of a server than of one on average:
// what a whole fleet fails for want of room falls on all alike. Such a server gets trials by the budget only.
func (d *outlierDetector) suspectedByPeers(s *outlierState, class ClassID, ready int, now Time) bool {
	if s.suspicions.count == 0 {
		return false
	}
	all := &d.classes[class].suspicions
	s.suspicions.decayTo(now, suspicionMemory)
	all.decayTo(now, suspicionMemory)
	mean := all.count / float64(max(1, ready))
	return s.suspicions.count >= minSuspicion+mean+suspicionRoots*math.Sqrt(mean)
}

// tells tells whether a server is one to name to peers: found at fault here, and ejected yet or, where nodes
// are many, not seen to answer since.
func (d *outlierDetector) tells(s *outlierState, now Time) bool {
	return s.failures > 0 && !s.fromPeer && (d.config.owners || now < s.ejectedUntil)
}

// drawMessage draws whether this node tells all others now: together all nodes fill a part of what each takes
// in.
func (d *outlierDetector) drawMessage(rng *random) bool {
	return rng.unit() < reportShare*d.config.peerRate/float64(d.config.nodes)
}
