package decision

import "cherrygap/internal/numeric"

// slowStart limits the attempts that this node sends to servers that started recently.
//
//   - Inputs: the servers' start times, completed attempts, the platform's slow-start settings.
//   - State: the rate of a warm server, and the attempts counted against each warming server. An upper bound of the lead
//     of this node's clock over the servers' clock.
//   - Rule: over overloadSpan all nodes together may send a server overloadMultiple times its capacity. This node may send
//     slowStartBudgetRatio of its share at once. Over each span, the budget refills by the same amount.
//   - Protects against: a fleet that overloads a cold or recovering server, which then fails again.
//   - Trade-off: if most servers restart at once, the others are overloaded while the cold ones have capacity left.
//     Therefore the rate of a warm server is the best one of recent times.
type slowStart struct {
	config          *config
	warmRate        float64      // attempts a second that a warm server completes for this node; decays slowly
	rates           []float64    // completed attempts a second for each warm server, in recent intervals
	lastWarmServers float64      // capacity of the ready servers in the last interval, in warm servers
	completedSizes  decayingMean // listed sizes of the servers that completed attempts
	maxClockLead    Time         // upper bound of the lead of this node's clock over the servers' clock; valid if clockSeen
	clockSeen       bool         // the servers' clock has been observed
}

const (
	slowStartBudgetRatio       = 0.4                  // share of the load limit that is usable at once, and that refills in each overload span
	extraInFlightAtFullWeight  = 2                    // attempts in flight beyond the first, at a weight of 1
	warmRateIntervals          = 4                    // intervals in the mean rate of a warm server
	maxWarmRateRatio           = 1.6                  // largest rate of a warm server, over that of an earlier interval
	warmRateDecay              = 0.03                 // share of the best warm rate that is lost in an interval
	clockToleranceSpans        = 1.0                  // clock difference that a list's delay explains, in overload spans
	completedSizesTimeConstant = 33 * controlInterval // time constant of the mean size of completing servers
)

// slowStartState holds the attempts that count against a server's budget.
type slowStartState struct {
	sent float64 // attempts that counted against the budget at the time of the last update
	at   Time    // time of the last update
}

// observeClock records that the servers' clock has reached a time, where now is the time by this node's clock. The start
// time of a server that starts while this node runs is such a time.
func (l *slowStart) observeClock(at, now Time) {
	lead := now - at
	if !l.clockSeen || lead < l.maxClockLead {
		l.maxClockLead, l.clockSeen = lead, true
	}
}

// startedAt returns a server's start time by this node's clock; 0 stands for long ago. The list gives the time by the
// servers' clock. If this node's clock is ahead by more than a list's delay, maxClockLead corrects the time. If it is
// behind, the time at which the list first named the process is an upper bound.
func (l *slowStart) startedAt(s *server) Time {
	if s.Started <= 0 {
		return 0
	}
	at := s.Started
	tolerance := numeric.Truncate[Time](clockToleranceSpans * float64(l.config.overloadSpan))
	if l.clockSeen && l.maxClockLead > tolerance {
		at += l.maxClockLead
	}
	if s.processListedAt > 0 {
		at = min(at, s.processListedAt)
	}
	return at
}

// weight returns a lower bound of the share of its capacity that a server has now. It is 1 for a warm server.
func (l *slowStart) weight(s *server, now Time) float64 {
	span, least := l.config.slowStartSpan, l.config.slowStartShare
	startedAt := l.startedAt(s)
	if startedAt <= 0 || span <= 0 || now >= startedAt+span {
		return 1
	}
	return least + (1-least)*max(0, float64(now-startedAt)/float64(span))
}

// hasCapacity reports whether a server may get an attempt now. A warming server needs budget left, a place in the
// subset, and few attempts in flight. A budget below one attempt acts as a rate: the count starts at a random
// fraction, so that the first attempts of many nodes spread over time.
func (l *slowStart) hasCapacity(s *server, now Time, subsetRatio float64) bool {
	weight := l.weight(s, now)
	if weight >= 1 {
		return true
	}
	l.leak(s, now, subsetRatio)
	budget := max(1, l.budget(s, now, subsetRatio))
	maxInFlight := 1 + numeric.Truncate[int](weight*extraInFlightAtFullWeight)
	return s.inSubset && s.inFlight < maxInFlight && s.slowStart.sent+1 <= budget
}

// budget returns the number of attempts that a server may get from this node in an overload span. One node in
// subsetRatio uses the server.
func (l *slowStart) budget(s *server, now Time, subsetRatio float64) float64 {
	c := l.config
	// With a least rate, a fleet without any warm server warms up as well.
	leastRate := 1 / (float64(c.nodes) * seconds(c.shortestObjective))
	warmRate := l.relativeSize(s) * max(l.warmRate, leastRate)
	share := slowStartBudgetRatio * l.weight(s, now) * subsetRatio
	return share * c.overloadMultiple * warmRate * seconds(c.overloadSpan)
}

// processStarted resets the count of a server whose process is new to a random fraction of an attempt.
func (l *slowStart) processStarted(s *server, rng *random) { s.slowStart.sent = rng.unit() }

// attemptSent counts an attempt against the budget of a warming server.
func (l *slowStart) attemptSent(s *server, now Time, subsetRatio float64) {
	if l.weight(s, now) < 1 {
		l.leak(s, now, subsetRatio)
		s.slowStart.sent++
	}
}

// leak reduces the count of a warming server by its budget in each overload span, as a leaky bucket. An idle time counts
// for one span at most: otherwise many idle nodes would all send at the same moment. A count that was last updated before
// the process started is not reduced.
func (l *slowStart) leak(s *server, now Time, subsetRatio float64) {
	state := &s.slowStart
	if span := l.config.overloadSpan; span > 0 && state.at >= l.startedAt(s) {
		elapsed := float64(min(now-state.at, span))
		state.sent = max(0, state.sent-l.budget(s, now, subsetRatio)*elapsed/float64(span))
	}
	state.at = now
}

// attemptCompleted records that a server completed an attempt.
func (l *slowStart) attemptCompleted(s *server, now Time) {
	l.completedSizes.add(s.size(), now, completedSizesTimeConstant)
}

// relativeSize returns a server's listed size over the mean size of the servers that completed attempts recently.
func (l *slowStart) relativeSize(s *server) float64 {
	if l.completedSizes.count < 1 {
		return 1
	}
	return s.size() / (l.completedSizes.sum / l.completedSizes.count)
}

// warmServers returns the capacity of the ready servers, in warm servers.
func (l *slowStart) warmServers(e *endpointSet, now Time) float64 {
	sum := float64(e.ready)
	for _, i := range e.warming {
		if s := &e.servers[i]; s.warming && s.usable() {
			sum -= 1 - l.weight(s, now)
		}
	}
	return sum
}

// closeInterval updates the rate of a warm server from the completed rates of the recent intervals, oldest first. The
// rate decays slowly, so that a mostly cold fleet keeps its budgets.
func (l *slowStart) closeInterval(warmServers float64, completedRates []float64) {
	last := completedRates[len(completedRates)-1]
	l.rates = appendRecent(l.rates, last/max(1, warmServers, l.lastWarmServers), warmRateIntervals)
	l.lastWarmServers = warmServers
	recent := completedRates[len(completedRates)-len(l.rates):]
	mean := 0.0
	for k, rate := range l.rates {
		mean += min(recent[k]/max(1, warmServers), maxWarmRateRatio*rate) / warmRateIntervals
	}
	l.warmRate = max(l.warmRate*(1-warmRateDecay), mean)
}
