package decision

// slowStart keeps what this node sends to servers that started lately to their share of what a warm server
// completes, by the platform's budget: over recoverySpan all nodes together may send recoveryMultiple times
// what the server can do. Of that, slowStartMargin is used at once, and as much again over the span. It
// guards against a fleet that pushes a cold server, or one that comes back, into failing again. It could harm
// where most of a fleet restarts at once: then servers stand idle while the warm ones drown, so that the rate
// of a warm server is remembered from better times.
type slowStart struct {
	config          *config
	warmRate        float64      // completed a second by a warm server for this node, at best of late
	rates           []float64    // recent rates by a warm server, of those that there were then,
	lastWarmServers float64      // or as of the interval before
	completedSizes  decayingMean // listed sizes of the servers that completed attempts
	clockBound      Time         // this node's clock is ahead of the servers' by that at most, as far as was seen,
	clockSeen       bool         // if anything was
}

// observeClock notes that the servers' clock said a time, or one before that, when this node's says now. Of a server that
// starts under this node's eyes the start is such a time.
func (l *slowStart) observeClock(at, now Time) {
	if ahead := now - at; !l.clockSeen || ahead < l.clockBound {
		l.clockBound, l.clockSeen = ahead, true
	}
}

// startedAt is when a server started, by this node's clock; 0: long ago. The list has it by the servers' clock. Where this
// node's is ahead, as one that was stepped, by more than a list takes to come, the latest sign of the servers' clock counts;
// where it is behind, a server has run since the list named it, whatever the time of its start says.
func (l *slowStart) startedAt(s *server) Time {
	if s.Started <= 0 {
		return 0
	}
	at := s.Started
	if l.clockSeen && l.clockBound > Time(clockTolerance*float64(l.config.recoverySpan)) {
		at += l.clockBound
	}
	if s.knownAt > 0 {
		at = min(at, s.knownAt)
	}
	return at
}

// weight is the least share of its capacity that a server has by now; 1: it is warm.
func (l *slowStart) weight(s *server, now Time) float64 {
	span, least := l.config.slowStartSpan, l.config.slowStartShare
	startedAt := l.startedAt(s)
	if startedAt <= 0 || span <= 0 || now >= startedAt+span {
		return 1
	}
	return least + (1-least)*max(0, float64(now-startedAt)/float64(span))
}

// hasRoom keeps the budget alone: this node's share, and few in flight at once. A share below one is a rate:
// what counts as sent starts at a chance part of one, so that many nodes spread their first ones.
func (l *slowStart) hasRoom(s *server, now Time, subsetRatio float64) bool {
	weight := l.weight(s, now)
	if weight >= 1 {
		return true
	}
	l.drain(s, now, subsetRatio)
	budget := max(1, l.budget(s, now, subsetRatio))
	return s.inSubset && s.inFlight < 1+int(weight*2) && s.slowStart.sent+1 <= budget
}

// budget is how many attempts a server may get from this node in a span. Of the nodes, one in subsetRatio
// uses it.
func (l *slowStart) budget(s *server, now Time, subsetRatio float64) float64 {
	c := l.config
	least := 1 / (float64(c.nodes) * seconds(c.shortestObjective)) // so that an all cold fleet warms
	warm := l.relativeSize(s) * max(l.warmRate, least)
	share := slowStartMargin * l.weight(s, now) * subsetRatio
	return share * c.recoveryMultiple * warm * seconds(c.recoverySpan)
}

// started begins what counts against the budget of a new process.
func (l *slowStart) started(s *server, rng *random) { s.slowStart.sent = rng.unit() }

// closeInterval learns what a warm server completes at best, from the completed rates of the last intervals:
// by what it does now, a fleet that is mostly cold would stay so.
func (l *slowStart) closeInterval(warm float64, completedRates []float64) {
	last := completedRates[len(completedRates)-1]
	l.rates = appendRecent(l.rates, last/max(1, warm, l.lastWarmServers), warmRateIntervals)
	l.lastWarmServers = warm
	rate, recent := 0.0, completedRates[len(completedRates)-len(l.rates):]
	for k, r := range l.rates {
		rate += min(recent[k]/max(1, warm), maxRateRatio*r) / warmRateIntervals
	}
	l.warmRate = max(l.warmRate*(1-warmRateDecay), rate)
}
