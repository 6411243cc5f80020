package decision

import "math"

// outlierDetector ejects servers that fail or stay silent. It ejects a server for each request class separately, since a
// server may fail one class and serve the others.
//
//   - Inputs: the outcomes of this node's attempts, the waits of those in flight, and peers' suspicions.
//   - State: an outlierState for each tracked server and class, and a trial budget for each class.
//   - Rule: an ejection lasts the shortest latency objective, each further one twice as long. Then the server gets one trial
//     attempt at a time. Trials after a longer ejection, or after peers' suspicions, come from the trial budget.
//   - Protects against: failed servers, cut links, hanging processes, the loss of a zone.
//   - Trade-off: errors that are due to the requests eject healthy servers, one after the other. If all are ejected,
//     selection falls back on ejected servers.
type outlierDetector struct {
	config  *config
	classes []classOutliers
}

const (
	maxConsecutiveFailures   = 2                    // failures in a row that eject a server; some outcomes need fewer
	maxEjectionObjectives    = 8                    // longest ejection, in latency objectives
	silenceLatencies         = 10.0                 // wait without a response that ejects a server, in usual latencies
	trialsPerAttempt         = 0.05                 // trials that an attempt of the class earns
	maxTrials                = 2                    // largest trial budget of a class
	suspicionTimeConstant    = 10 * controlInterval // time constant of the decaying counts of peers' suspicions
	minExcessSuspicions      = 1.0                  // suspicions above the mean that eject a server
	suspicionDeviations      = 2.0                  // excess required beyond minExcessSuspicions, in square roots of the mean
	minInformativeSuspicions = 0.1                  // decayed suspicions below which a state carries no information
	suspicionRateRatio       = 0.5                  // share of the peer message rate that suspicions may use
)

// outlierState describes how a server serves one class. The zero value is a server without attempts.
type outlierState struct {
	inFlight        int          // attempts in flight
	lost            int          // attempts in flight whose response is presumed lost, as of the last attempt check
	failures        int          // consecutive failures
	ejectedUntil    Time         // end of the last ejection since a success; 0 without one
	ejectedFor      Time         // length of the last ejection by this node since a success; 0 without one
	suspicions      decayingMean // peers' suspicions
	fromPeer        bool         // a peer's suspicion caused the ejection
	trialInFlight   bool         // a trial attempt is in flight
	lastResponseAt  Time         // time of the last response or passed health check; 0 without any
	waitCountedFrom Time         // time from which waits count; earlier waits have already led to an ejection
	waitedLatencies float64      // sum of the waits in flight since lastResponseAt, in usual latencies
}

// classOutliers holds the detector's state of one class, for all servers together.
type classOutliers struct {
	suspicions decayingMean // peers' suspicions of all servers
	trials     float64      // trial budget, in attempts
}

// informative reports whether a state must be kept: a state with attempts in flight, failures, an ejection or recent
// suspicions. It decays a copy of the state, since a decay of the state itself would change later values by rounding.
func (s outlierState) informative(now Time) bool {
	s.suspicions.decayTo(now, suspicionTimeConstant)
	return s.inFlight > 0 || s.failures > 0 || now < s.ejectedUntil || s.suspicions.count > minInformativeSuspicions
}

// attemptStarted records an attempt. An attempt at a server that has failed since its last success is a trial.
func (d *outlierDetector) attemptStarted(state *outlierState, class ClassID, now Time) {
	c := &d.classes[class]
	c.trials = min(c.trials+trialsPerAttempt, maxTrials)
	if now >= state.ejectedUntil && state.failures == 0 {
		return
	}
	state.trialInFlight = true
	if d.needsBudget(state) {
		c.trials = max(0, c.trials-1)
	}
}

// attemptEnded updates a server's states, indexed by class, from the outcome of an attempt of the class. A failed
// connection counts for every class.
func (d *outlierDetector) attemptEnded(states []outlierState, class ClassID, outcome Outcome, now Time) {
	state := &states[class]
	trial := state.trialInFlight
	state.inFlight--
	state.lost = min(state.lost, state.inFlight)
	state.trialInFlight = false
	switch outcome {
	case Succeeded:
		state.reset(now)
	case Failed: // healthy servers rarely fail, so that one failure is enough
		state.lastResponseAt = now
		state.failures++
		d.eject(state, now)
	case ConnectFailed:
		for k := range states {
			states[k].failures++
			d.eject(&states[k], now)
		}
	case Overloaded, TimedOut, MalformedResponse, ConnectionReset:
		state.failures++
		if trial || state.failures >= maxConsecutiveFailures {
			d.eject(state, now)
		}
	}
}

// reset clears failures and ejection after a success. Counts of attempts in flight and suspicions stay.
func (s *outlierState) reset(now Time) {
	*s = outlierState{
		inFlight: s.inFlight, lost: s.lost, suspicions: s.suspicions, lastResponseAt: now, waitCountedFrom: s.waitCountedFrom,
	}
}

// eject takes a server out of a class's rotation, for twice as long as by the last ejection. An ejection lasts 1 to
// maxEjectionObjectives times the shortest latency objective.
func (d *outlierDetector) eject(state *outlierState, now Time) {
	shortest := d.config.shortestObjective
	state.ejectedFor = min(max(2*state.ejectedFor, shortest), maxEjectionObjectives*shortest)
	state.ejectedUntil = now + state.ejectedFor
	state.fromPeer = false
}

// ejected reports whether the server is out of rotation for the class. This includes a server whose trial is in
// flight, and one that waits for the trial budget.
func (d *outlierDetector) ejected(state *outlierState, class ClassID, now Time) bool {
	if now < state.ejectedUntil || state.trialInFlight {
		return true
	}
	return d.classes[class].trials < 1 && d.needsBudget(state)
}

// needsBudget reports whether trials at the server come from the trial budget.
func (d *outlierDetector) needsBudget(state *outlierState) bool {
	return state.ejectedFor > d.config.shortestObjective || state.fromPeer
}

// resetSilence prepares the state for the calls of addWait in one attempt check.
func (s *outlierState) resetSilence() { s.waitedLatencies, s.lost = 0, 0 }

// addWait adds the wait of an attempt in flight to its server's silence. The usual latency is in units of Time.
func (d *outlierDetector) addWait(state *outlierState, sent Time, usualLatency float64, now Time) {
	state.waitedLatencies += float64(now-max(sent, state.lastResponseAt, state.waitCountedFrom)) / usualLatency
	if d.presumedLost(now-sent, usualLatency) {
		state.lost++
	}
}

// presumedLost reports whether an attempt took so long that its response is presumed lost.
func (d *outlierDetector) presumedLost(duration Time, usualLatency float64) bool {
	return float64(duration) > silenceLatencies*usualLatency
}

// ejectSilent ejects a server if its attempts in flight together have waited silenceLatencies without a response.
//
// Protects against: processes that hang without an error, cut links.
// Trade-off: a server whose requests take far longer than usual is ejected, and others take its place.
func (d *outlierDetector) ejectSilent(state *outlierState, now Time) {
	silent := state.waitedLatencies > silenceLatencies
	if !silent || now < state.ejectedUntil {
		return
	}
	state.failures++
	state.waitCountedFrom = now
	state.trialInFlight = false
	d.eject(state, now)
}

// receiveSuspicion counts a peer's suspicion, where ready is the number of ready servers. It ejects the server if the
// peer's ejection has not ended, or if suspectedByPeers holds. It does not eject a server that this node ejected itself,
// or that responded to this node within the shortest latency objective.
//
// Protects against: one failed attempt for each of many nodes at each failed server.
// Trade-off: if only the peer's links are cut, the server is ejected here as well.
func (d *outlierDetector) receiveSuspicion(state *outlierState, reported suspicion, ready int, now Time) {
	shortest := d.config.shortestObjective
	state.suspicions.add(1, now, suspicionTimeConstant)
	d.classes[reported.class].suspicions.add(1, now, suspicionTimeConstant)
	ejectedHere := state.failures > 0 && !state.fromPeer && now < state.ejectedUntil
	respondedRecently := state.lastResponseAt > 0 && now-state.lastResponseAt < shortest
	if ejectedHere || respondedRecently {
		return
	}
	if reported.ejectedFor > 0 || d.suspectedByPeers(state, reported.class, ready, now) {
		ejectFor := min(max(reported.ejectedFor, shortest), maxEjectionObjectives*shortest)
		state.failures = max(state.failures, 1)
		state.fromPeer = true
		state.ejectedUntil = max(state.ejectedUntil, now+ejectFor)
	}
}

// suspectedByPeers reports whether peers suspect a server clearly more often than the mean of the ready servers.
// Overload of a whole fleet raises the mean as well, so that no single server is suspected.
func (d *outlierDetector) suspectedByPeers(state *outlierState, class ClassID, ready int, now Time) bool {
	if state.suspicions.count == 0 {
		return false
	}
	classSuspicions := &d.classes[class].suspicions
	state.suspicions.decayTo(now, suspicionTimeConstant)
	classSuspicions.decayTo(now, suspicionTimeConstant)
	mean := classSuspicions.count / float64(max(1, ready))
	return state.suspicions.count >= minExcessSuspicions+mean+suspicionDeviations*math.Sqrt(mean)
}

// reportable reports whether peers should receive a suspicion of the server. They receive it only for failures that this
// node found itself, not for those that a peer reported. Without quota owners, they receive it only while the server is
// ejected; with them, also for failures without an ejection or after its end.
func (d *outlierDetector) reportable(state *outlierState, now Time) bool {
	return state.failures > 0 && !state.fromPeer && (d.config.usesOwners || now < state.ejectedUntil)
}

// drawMessage reports whether this node sends its suspicions now. It draws at random, so that all nodes together send
// each node at most suspicionRateRatio of the peer message rate.
func (d *outlierDetector) drawMessage(rng *random) bool {
	return rng.unit() < suspicionRateRatio*d.config.peerRate/float64(d.config.nodes)
}
