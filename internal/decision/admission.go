package decision

import (
	"math"

	"cherrygap/internal/numeric"
)

// admissionLimit limits the load that this node sends to the back end, for all customers together.
//
//   - Inputs: completed attempts, their latencies, and the attempts in flight, by interval.
//   - State: the base latency T, the target concurrency a, the admission rate λ with its token bucket.
//   - Rule: each admitted request takes a token, and the attempts in flight stay below a concurrency limit. Each interval sets a
//     to the output of loadPolicy times the attempts that complete within T. By Little's law, λ is a/T.
//   - Protects against: a back end that receives more than it completes, whose queues last longer than clients wait.
//   - Trade-off: a few long requests look like a queue. Therefore a has a lower bound. While latency is low, the limit
//     does not fall below the rate admitted before.
type admissionLimit struct {
	config            *config
	rate              float64 // admission rate λ, in requests a second; 0 while T is unknown
	tokens            tokenBucket
	latencyLow        bool    // normalized latency of the last interval was below lowNormalizedLatency; true at the start
	targetConcurrency float64 // a, the target number of requests in flight
	features          loadFeatures
	lastLatency       float64 // mean latency of the last interval with samples, in latency objectives
	throughput        throughput
}

const (
	controlInterval = Second // time between two updates of the admission rate and the subset

	burstIntervals          = 0.15 // capacity of the token bucket, in control intervals of the admission rate
	randomMarginSquareRoots = 0.3  // margin on a limit for random arrivals, in square roots of the limit

	coldStartAttemptsPerServer         = 3.0   // limit on the fleet's attempts in flight per ready server while T is unknown
	minInFlightPerServer               = 1.1   // least concurrency limit of the whole fleet, in attempts per ready server
	lowLatencyLimitFactor              = 1.4   // factor on the least concurrency limit while latency is low
	lowLatencyLimitFactorPerSquareRoot = 0.6   // added to lowLatencyLimitFactor, times the square root of the number of nodes
	maxInFlightBaseLatencies           = 1.5   // concurrency limit, as a multiple of the attempts that complete within T
	minLatencyObjectives               = 0.125 // latency that always counts as low, in latency objectives

	normalizedLatencySpan = 4.0 // rise of latency that is normalized to 1, as a multiple of the lowest recent latency
	lowNormalizedLatency  = 0.2 // normalized latency below which latency counts as low
	featureSmoothing      = 0.3 // weight of an interval's value in the features' moving averages
	minLatencySamples     = 10  // least samples in an interval's mean latency; the previous mean replaces missing ones
	minConcurrencyRatio   = 0.3 // least target concurrency, as a share of the best recent completions within T
	minTimeLeftLatencies  = 1.0 // least time left before a request's deadline, in usual latencies

	// The back end counts as stopped if more than this fraction of the servers is ejected.
	stoppedNumerator   = 2
	stoppedDenominator = 3
)

// loadFeatures is the input of the load policy. Concurrency is relative to the attempts that complete within a latency
// objective. Latency is normalized: 0 at the lowest recent latency, 1 at (1 + normalizedLatencySpan) times that latency.
type loadFeatures struct {
	concurrency        float64
	concurrencyAverage float64 // moving average of concurrency
	latency            float64
	latencyAverage     float64 // moving average of latency
}

// loadPolicy maps load features to the target concurrency, relative to the best recent throughput. The output is 1.2
// while latency and concurrency are low, and falls as either rises.
var loadPolicy = neuralNetwork{
	hidden: [4][5]float64{
		{0, 0, 1, 0, -lowNormalizedLatency},
		{0, 0, 0, 1, -lowNormalizedLatency},
		{1, 0, 0, 0, -lowNormalizedLatency},
		{0, 1, 0, 0, -lowNormalizedLatency},
	},
	output: [5]float64{-0.4, -0.4, -0.4, -0.4, 1.2},
}

// newAdmissionLimit returns a limit that has seen no attempt. Its config must be set before use.
func newAdmissionLimit(now Time) admissionLimit {
	return admissionLimit{latencyLow: true, lastLatency: minLatencyObjectives, tokens: tokenBucket{at: now}}
}

// hasToken refills the token bucket and reports whether it holds a token. Directly after a scheduling pause, the
// bucket has room for the tokens of the whole pause.
func (l *admissionLimit) hasToken(now Time, p *pause) bool {
	burstSeconds := burstIntervals * seconds(controlInterval)
	if p.endedAt == now {
		burstSeconds = max(burstSeconds, seconds(p.length))
	}
	burst := l.rate*burstSeconds + 1
	if l.config.usesOwners {
		burst += randomMarginSquareRoots * math.Sqrt(l.rate)
	}
	l.tokens.refill(now, l.rate, burst)
	return l.tokens.level >= 1
}

// evenShare returns this node's share of a fleet-wide number of attempts per ready server. The share includes a
// margin for random arrivals and is at least 1.
func (l *admissionLimit) evenShare(attemptsPerServer float64, ready int) float64 {
	share := attemptsPerServer * float64(ready) / float64(l.config.nodes)
	return max(1, share+randomMarginSquareRoots*math.Sqrt(share))
}

// concurrencyLimit returns the number of attempts that this node may have in flight. Low latency raises the lower bound of
// the limit: the node may have to take over the load of failed nodes within a second.
func (l *admissionLimit) concurrencyLimit(ready int) float64 {
	lower := l.evenShare(minInFlightPerServer, ready)
	if l.latencyLow {
		lower *= lowLatencyLimitFactor + lowLatencyLimitFactorPerSquareRoot*math.Sqrt(float64(l.config.nodes))
	}
	span := max(l.throughput.baseLatency, minLatencyObjectives*float64(l.config.shortestObjective))
	limit := maxInFlightBaseLatencies * l.throughput.completionsIn(numeric.Truncate[Time](span))
	if l.config.usesOwners {
		limit += randomMarginSquareRoots * math.Sqrt(limit)
	}
	return max(lower, limit)
}

// closeInterval updates the admission rate from an interval that lasted spanSeconds. The rate stays 0 while T is unknown.
func (l *admissionLimit) closeInterval(now Time, spanSeconds float64, stats *intervalStats, load intervalLoad) {
	latency := l.intervalLatency(stats, load.requestsInFlight)
	l.throughput.closeInterval(float64(stats.completed)/spanSeconds, load.requestsInFlight)
	if !l.throughput.known() {
		return
	}
	l.updateFeatures(load.inFlightAtHealthy, latency, load.readyServers)
	baseLatencySeconds := seconds(numeric.Truncate[Time](l.throughput.baseLatency))
	best := max(l.throughput.bestRate()*baseLatencySeconds, l.evenShare(minInFlightPerServer, load.readyServers))
	l.targetConcurrency = max(minConcurrencyRatio, loadPolicy.evaluate(l.features.vector())) * best
	if l.latencyLow {
		admitted := float64(stats.admitted) / spanSeconds * baseLatencySeconds
		l.targetConcurrency = max(l.targetConcurrency, l.evenShare(coldStartAttemptsPerServer, load.readyServers), admitted)
	}
	if l.rate == 0 {
		l.tokens = tokenBucket{1, now}
	}
	l.rate = max(l.targetConcurrency/baseLatencySeconds, 1)
}

// intervalLatency returns the mean latency of an interval in latency objectives. The previous interval's mean
// replaces samples that are missing. Without any sample, the result is 1 if requests are in flight, else 0.
func (l *admissionLimit) intervalLatency(stats *intervalStats, requests int) float64 {
	if stats.samples > 0 {
		missing := float64(max(0, minLatencySamples-stats.samples))
		l.lastLatency = (stats.latencySum + missing*l.lastLatency) / (float64(stats.samples) + missing)
		return l.lastLatency
	}
	if requests > 0 {
		return 1
	}
	return 0
}

// updateFeatures sets the features from the attempts in flight at healthy servers and the mean latency in latency
// objectives.
func (l *admissionLimit) updateFeatures(healthy, latency float64, ready int) {
	objective := float64(l.config.shortestObjective)
	lowest := max(l.throughput.baseLatency/objective, minLatencyObjectives)
	lowest = min(lowest, 1/(1+normalizedLatencySpan))
	completions := l.throughput.completionsIn(l.config.shortestObjective)
	f := &l.features
	f.concurrency = healthy / max(l.evenShare(minInFlightPerServer, ready), completions)
	f.latency = (latency/lowest - 1) / normalizedLatencySpan
	f.concurrencyAverage += featureSmoothing * (f.concurrency - f.concurrencyAverage)
	f.latencyAverage += featureSmoothing * (f.latency - f.latencyAverage)
	l.latencyLow = f.latency < lowNormalizedLatency
}

// vector returns the features in the order of the policy's weights.
func (f loadFeatures) vector() [4]float64 {
	return [4]float64{f.concurrency, f.concurrencyAverage, f.latency, f.latencyAverage}
}

// tooLate reports whether a request's deadline is likely to pass before an attempt ends. Directly after a scheduling
// pause, a request that can't meet its latency objective is too late as well.
//
// Protects against: work for clients that have disconnected and repeat their requests.
// Trade-off: a client that is often served faster than usual is rejected too.
func (e *Engine) tooLate(r *request) bool {
	least := minTimeLeftLatencies * e.usualLatency(r.class)
	if float64(r.deadline-e.now) < least {
		return true
	}
	objective := e.config.classes[r.class].latencyObjective
	return e.pause.endedAt == e.now && float64(r.arrivedAt+objective-e.now) < least
}

// checkAdmission returns the reason for which the admission limit rejects a request, or ReasonNone if it admits it.
func (e *Engine) checkAdmission(r *request) Reason {
	ready := e.endpoints.ready
	switch {
	case e.tooLate(r):
		return ReasonTooLate
	case e.admission.rate == 0:
		if e.inFlightAtHealthy() >= e.admission.evenShare(coldStartAttemptsPerServer, ready) {
			return ReasonColdStart
		}
	case !e.admission.hasToken(e.now, &e.pause):
		return ReasonAdmissionRate
	case e.inFlightAtHealthy() >= e.admission.concurrencyLimit(ready):
		return ReasonConcurrency
	}
	return ReasonNone
}

// inFlightAtHealthy returns the number of attempts in flight that indicate the back end's queue. Attempts at ejected
// servers don't count, nor attempts that have waited so long that their response is presumed lost. If more than two
// thirds of the servers are ejected, the back end itself counts as stopped, and all attempts count.
func (e *Engine) inFlightAtHealthy() float64 {
	healthy, all, ejected := 0, 0, 0
	for _, i := range e.endpoints.tracked {
		s := &e.endpoints.servers[i]
		all += s.inFlight
		for k := range s.byClass {
			state := &s.byClass[k]
			if e.outliers.ejected(state, ClassID(k), e.now) {
				ejected++
			} else {
				healthy += state.inFlight - state.lost
			}
		}
	}
	if stoppedDenominator*ejected > stoppedNumerator*e.endpoints.usableTracked*len(e.classes) {
		return float64(all)
	}
	return float64(healthy)
}
