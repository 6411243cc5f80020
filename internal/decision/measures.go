package decision

// The measures of servers that weights and budgets rest on.

// meanPace is the mean pace of the usable servers in view.
func (l *selection) meanPace(now Time) float64 {
	l.paces.decayTo(now, paceMemory)
	if l.paces.count < 1 || l.paces.sum <= 0 {
		return 1
	}
	return l.paces.sum / l.paces.count
}

// sumPaces adds up the paces of the usable servers in view.
func (l *selection) sumPaces(e *endpointSet, now Time) {
	l.paces = decayingMean{at: now}
	for _, i := range e.view {
		if s := &e.servers[i]; s.usable() {
			s.pace.decayTo(now, paceMemory)
			l.paces.sum, l.paces.count = l.paces.sum+s.pace.sum, l.paces.count+s.pace.count
		}
	}
}

// completed notes that a server completed an attempt.
func (l *slowStart) completed(s *server, now Time) { l.completedSizes.add(s.size(), now, sizeMemory) }

// relativeSize is a server's listed size, over the mean of those that lately completed this node's attempts.
func (l *slowStart) relativeSize(s *server) float64 {
	if l.completedSizes.count < 1 {
		return 1
	}
	return s.size() / (l.completedSizes.sum / l.completedSizes.count)
}

// warmServers is how many warm servers the ready ones are worth.
func (l *slowStart) warmServers(e *endpointSet, now Time) float64 {
	sum := float64(e.ready)
	for _, i := range e.warming {
		if s := &e.servers[i]; s.warming && s.usable() {
			sum -= 1 - l.weight(s, now)
		}
	}
	return sum
}

// usualLatency is a class's usual latency of completed attempts, before any a part of its objective.
func (e *Engine) usualLatency(class ClassID) float64 {
	c := &e.classes[class]
	if c.latency.count < 1 {
		return float64(e.config.classes[class].latencyObjective) / firstLatencyPart
	}
	return c.latency.sum / c.latency.count
}

// drain lets what counts as sent drain, at the budget a span. A new process starts at what started drew, and
// a pause counts for a span at most: many nodes that were idle would else all send together.
func (l *slowStart) drain(s *server, now Time, subsetRatio float64) {
	st := &s.slowStart
	if span := l.config.recoverySpan; span > 0 && st.at >= l.startedAt(s) {
		st.sent = max(0, st.sent-l.budget(s, now, subsetRatio)*float64(min(now-st.at, span))/float64(span))
	}
	st.at = now
}

// attemptSent counts an attempt against the budget of a server that is not warm yet.
func (l *slowStart) attemptSent(s *server, now Time, subsetRatio float64) {
	if l.weight(s, now) < 1 {
		l.drain(s, now, subsetRatio)
		s.slowStart.sent++
	}
}

// attemptSent counts an attempt, by which the subset is sized.
func (c *subsetChooser) attemptSent(now Time) { c.attemptsSent.add(1, now, paceMemory) }
