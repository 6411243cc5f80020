package decision

import (
	"math"
	"slices"
)

// admissionLimit limits what all clients together may send to the back end: each interval it sets an
// admission rate λ = a/T and refills a token bucket by it, and it limits what is in flight. T is the lowest
// recent latency of an interval, a the network's output for in-flight, latency and their averages, times what
// the back end completes in T. It guards against a back end that is sent more than it completes: queues there
// outlast the clients. It could harm where requests differ by far, so that a few long ones look like a queue;
// a never falls below a share of the best recent rate, nor, while latency is quiet, below what was admitted.
type admissionLimit struct {
	config      *config
	rate        float64 // λ, requests a second; 0 while too little was seen
	tokens      tokenBucket
	quiet       bool       // latency is low
	action      float64    // a
	features    [4]float64 // the network's input
	lastLatency float64    // of the last interval, over the objective
	throughput  throughput
}

func newAdmissionLimit(now Time) admissionLimit {
	return admissionLimit{quiet: true, lastLatency: minLatencyShare, tokens: tokenBucket{at: now}}
}

// policy is the network that gives a. Its hidden units are over {in-flight, its average, latency, its
// average}, bias last. In-flight is over what completes in an objective, latency runs from 0 (as low as seen
// lately) to 1 (latencySpan times that on top). Hand-set until fitted: flat while quiet, falling as either
// rises.
var policy = network{
	hidden: [4][5]float64{
		{0, 0, 1, 0, -quietLatency},
		{0, 0, 0, 1, -quietLatency},
		{1, 0, 0, 0, -quietLatency},
		{0, 1, 0, 0, -quietLatency},
	},
	out: [5]float64{-0.4, -0.4, -0.4, -0.4, 1.2},
}

// hasToken tells whether a request may pass by the rate alone. After a pause the bucket holds what would have
// passed meanwhile.
func (l *admissionLimit) hasToken(now Time, p *pause) bool {
	over := burstShare * seconds(interval)
	if p.endedAt == now {
		over = max(over, seconds(p.length))
	}
	burst := l.rate*over + 1
	if l.config.owners {
		burst += chanceMargin * math.Sqrt(l.rate)
	}
	l.tokens.refill(now, l.rate, burst)
	return l.tokens.level >= 1
}

// evenShare is this node's even share of so many attempts a ready server, and a chance margin on top.
func (l *admissionLimit) evenShare(each float64, ready int) float64 {
	share := each * float64(ready) / float64(l.config.nodes)
	return max(1, share+chanceMargin*math.Sqrt(share))
}

// concurrencyLimit is how much may be in flight: much while latency is quiet, since a node may have to take
// over the load of others that died within a second.
func (l *admissionLimit) concurrencyLimit(ready int) float64 {
	least := l.evenShare(minInFlight, ready)
	if l.quiet {
		least *= quietAllowance + quietNodeFactor*math.Sqrt(float64(l.config.nodes))
	}
	over := max(l.throughput.executionTime, minLatencyShare*float64(l.config.shortestObjective))
	most := limitOverTime * l.throughput.canFinish(Time(over))
	if l.config.owners {
		most += chanceMargin * math.Sqrt(most)
	}
	return max(least, most)
}

// closeInterval learns from an interval of so many seconds, and sets λ.
func (l *admissionLimit) closeInterval(now Time, span float64, seen *intervalStats, load intervalLoad) {
	latency := l.intervalLatency(seen, load.requests)
	l.throughput.closeInterval(float64(seen.completed)/span, load.requests)
	if !l.throughput.known() {
		return
	}
	l.observe(load.healthy, latency, load.ready)
	over := seconds(Time(l.throughput.executionTime)) // T
	best := max(l.throughput.bestRate()*over, l.evenShare(minInFlight, load.ready))
	l.action = max(minAction, policy.evaluate(l.features)) * best
	if l.quiet { // as for a fresh node, and not below what was admitted
		l.action = max(l.action, l.evenShare(coldStartAttempts, load.ready), float64(seen.admitted)/span*over)
	}
	if l.rate == 0 {
		l.tokens = tokenBucket{1, now}
	}
	l.rate = max(l.action/over, 1)
}

// closeInterval takes in an interval's completed rate, with so many requests in flight. T takes enough ends,
// of more intervals if need be: by the first ones, which are short, a fresh node would see a jam later.
func (t *throughput) closeInterval(rate float64, requests int) {
	if t.timeCount >= enoughForTime && t.timeCount >= requests {
		t.times = appendRecent(t.times, t.timeSum/float64(t.timeCount), recentIntervals)
		t.timeSum, t.timeCount = 0, 0
	}
	t.rates = appendRecent(t.rates, rate, bestRateIntervals)
	if t.known() {
		t.executionTime = slices.Min(t.times)
	}
}

// intervalLatency is the mean latency over the objective. Few ends say little alone: the last latency stands
// for those that lack. Where nothing came back at all it is an objective at least.
func (l *admissionLimit) intervalLatency(seen *intervalStats, requests int) float64 {
	if seen.ends > 0 {
		lack := float64(max(0, enoughEnds-seen.ends))
		l.lastLatency = (seen.latencySum + lack*l.lastLatency) / (float64(seen.ends) + lack)
		return l.lastLatency
	}
	if requests > 0 {
		return 1
	}
	return 0
}

// observe brings the network's input up to date.
func (l *admissionLimit) observe(healthy, latency float64, ready int) {
	objective := float64(l.config.shortestObjective)
	least := min(max(l.throughput.executionTime/objective, minLatencyShare), 1/(1+latencySpan))
	f := &l.features
	f[0] = healthy / max(l.evenShare(minInFlight, ready), l.throughput.canFinish(l.config.shortestObjective))
	f[2] = (latency/least - 1) / latencySpan
	f[1] += featureDecay * (f[0] - f[1])
	f[3] += featureDecay * (f[2] - f[3])
	l.quiet = f[2] < quietLatency
}

// tooLate tells whether a request's client leaves before an attempt usually ends: it would be waste, and
// asked for again. It guards against crowds of the impatient; it could harm a client that is often served
// quicker.
func (e *Engine) tooLate(r *request) bool {
	least := minUsualLatencies * e.usualLatency(r.class)
	objective := e.config.classes[r.class].latencyObjective
	return float64(r.deadline-e.now) < least ||
		e.pause.endedAt == e.now && float64(r.arrived+objective-e.now) < least
}

// checkAdmission is why the limits on the back end reject a request, or notRejected.
func (e *Engine) checkAdmission(r *request) rejectReason {
	ready := e.endpoints.ready
	switch {
	case e.tooLate(r):
		return rejectTooLate
	case e.admission.rate == 0:
		if e.inFlightAtHealthy() >= e.admission.evenShare(coldStartAttempts, ready) {
			return rejectColdStart
		}
	case !e.admission.hasToken(e.now, &e.pause):
		return rejectAdmissionRate
	case e.inFlightAtHealthy() >= e.admission.concurrencyLimit(ready):
		return rejectConcurrency
	}
	return notRejected
}

// inFlightAtHealthy is what is in flight at servers in good standing: that tells of the back end's queue.
// Left out is what hangs on an ejected server, or waited so long that its answer must be lost, as where a
// link swallows some; in a true jam the usual latency rises too, and they count. When over two thirds are
// ejected the back end itself stands still: then all counts, or a node would fill what it can't see.
func (e *Engine) inFlightAtHealthy() float64 {
	healthy, all, ejected := 0, 0, 0
	for _, i := range e.endpoints.view {
		s := &e.endpoints.servers[i]
		all += s.inFlight
		for k := range s.byClass {
			if state := &s.byClass[k]; e.outliers.ejected(state, ClassID(k), e.now) {
				ejected++
			} else {
				healthy += state.inFlight - state.lost
			}
		}
	}
	if 3*ejected > 2*e.endpoints.usable*len(e.classes) {
		return float64(all)
	}
	return float64(healthy)
}
