package decision

import (
	"fmt"
	"math"
	"slices"
)

// admit is the ordinary path: λ first, then the customer's bucket, then a ceiling.
func (n *Engine) admit(t *request) (bool, Time) {
	if t.askedOwnerAt == 0 {
		if why := n.admissionLimit(t); why < rejectReasons {
			return n.countRejection(why, 0)
		}
	}
	c := &n.customers[t.customer]
	if ok, advice := n.inQuota(c, t); !ok && n.waitsForOwner(t) {
		return false, 0
	} else if !ok {
		return n.countRejection(rejectQuota, advice)
	}
	if t.verdict != verdictGranted && !n.ceilingAllows(c, t) {
		return n.countRejection(rejectCeiling, 0)
	}
	return true, 0
}

// admissionLimit is why a ticket can't pass the limits on the back end, or byKinds.
func (n *Engine) admissionLimit(t *request) int {
	// A ticket whose client leaves before an execution usually ends would be waste, and asked for again.
	// Guards against crowds of the impatient; could harm a client that is often served quicker.
	b := &n.classes[t.class]
	if left := float64(t.deadline - n.now); left < minUsualLatencies*n.usualLatency(b) ||
		n.pauseEndedAt == n.now && float64(t.arrived+b.latencyObjective-n.now) < minUsualLatencies*n.usualLatency(b) {
		return rejectTooLate
	}
	if n.admissionRate == 0 { // fresh: a few executions a ready server
		if n.inFlightAtHealthy() >= n.evenShare(coldStartAttempts) {
			return rejectColdStart
		}
	} else {
		burst := burstShare * seconds(interval)
		if n.pauseEndedAt == n.now { // nothing passed meanwhile
			burst = max(burst, seconds(n.pause))
		}
		most := n.admissionRate*burst + 1
		if n.ownersEnabled {
			most += chanceMargin * math.Sqrt(n.admissionRate)
		}
		n.tokens = min(n.tokens+n.admissionRate*seconds(n.now-n.tokensAt), most)
		n.tokensAt = n.now
		if n.tokens < 1 {
			return rejectAdmissionRate
		}
		if n.inFlightAtHealthy() >= n.concurrencyLimit() {
			return rejectConcurrency
		}
	}
	return rejectReasons
}

// countRejection counts a first execution refused on the ordinary path, by its reason, for the interval's note.
func (n *Engine) countRejection(why int, advice Time) (bool, Time) {
	n.rejected[why]++
	return false, advice
}

// evenShare is this node's even share of so many executions a ready server, and a chance swing on top.
func (n *Engine) evenShare(each float64) float64 {
	share := each * float64(n.ready) / float64(n.nodes)
	return max(1, share+chanceMargin*math.Sqrt(share))
}

// concurrencyLimit is how much may be out: wide while latency is quiet, since a node may have to take over the
// load of others that died within a second.
func (n *Engine) concurrencyLimit() float64 {
	least := n.evenShare(minInFlight)
	if n.quiet {
		least *= quietAllowance + quietNodeFactor*math.Sqrt(float64(n.nodes))
	}
	most := limitOverTime * n.canFinish(Time(max(n.executionTime, minLatencyShare*float64(n.shortestObjective))))
	if n.ownersEnabled {
		most += chanceMargin * math.Sqrt(most)
	}
	return max(least, most)
}

// inFlightAtHealthy is what is out at servers in good standing: the in-flight that tells of the back end's queue.
// Left out is what hangs on a suspected server, or waited so long that its answer must be lost, as where a
// link swallows some; in a true jam the usual latency rises too, and they count. When over two thirds are
// suspected the back end itself stands still: then all counts, or a node would fill what it can't see.
func (n *Engine) inFlightAtHealthy() float64 {
	sound, all, suspects := 0, 0, 0
	for _, i := range n.view {
		s := &n.servers[i]
		all += s.inFlight
		for k := range s.byClass {
			if at := &s.byClass[k]; n.ejected(k, at) {
				suspects++
			} else {
				sound += at.inFlight - at.lost
			}
		}
	}
	if 3*suspects > 2*n.usable*len(n.classes) {
		return float64(all)
	}
	return float64(sound)
}

// closeInterval closes an interval and sets λ = a/T.
func (n *Engine) closeInterval() {
	span, lat := seconds(n.now-n.intervalStart), 0.0
	if lack := float64(max(0, enoughEnds-n.ends)); n.ends > 0 { // few ends say little alone: the last
		lat = (n.latencySum + lack*n.lastLatency) / (float64(n.ends) + lack) // latency stands for those that lack
		n.lastLatency = lat
	} else if n.requestsInFlight > 0 {
		lat = 1 // nothing came back at all: a contract time at least
	}
	// T takes enough ends, gathered over intervals if need be. The first few to come back are the short
	// ones: a fresh or idle node that went by them would take every later latency for a jam.
	if n.latencyCount >= enoughForTime && n.latencyCount >= n.requestsInFlight {
		n.intervalLatencies = appendRecent(n.intervalLatencies, n.latencyTotal/float64(n.latencyCount), recentIntervals)
		n.latencyTotal, n.latencyCount = 0, 0
	}
	n.completedRates = appendRecent(n.completedRates, float64(n.completed)/span, bestRateIntervals)
	// What a warm server lately completed at best: by what it does now a fleet that is mostly cold stays so.
	warm, each := n.warmServers(), 0.0
	n.warmServerRates = appendRecent(n.warmServerRates, float64(n.completed)/span/max(1, warm, n.lastWarmServers), 4)
	n.lastWarmServers = warm
	for k, r := range n.warmServerRates {
		each += min(n.completedRates[len(n.completedRates)-len(n.warmServerRates)+k]/max(1, warm), maxRateRatio*r) / 4
	}
	n.warmServerRate = max(n.warmServerRate*(1-featureDecay/10), each)
	admitted := float64(n.admitted) / span
	if len(n.intervalLatencies) > 0 {
		n.executionTime = slices.Min(n.intervalLatencies) // T
		least := min(max(n.executionTime/float64(n.shortestObjective), minLatencyShare), 1/(1+latencySpan))
		best := slices.Max(n.completedRates)
		x := [4]float64{
			n.inFlightAtHealthy() / max(n.evenShare(minInFlight), n.canFinish(n.shortestObjective)), n.features[1],
			(lat/least - 1) / latencySpan, n.features[3],
		}
		x[1] += featureDecay * (x[0] - x[1])
		x[3] += featureDecay * (x[2] - x[3])
		n.features = x
		n.quiet = x[2] < quietLatency
		a := max(minAction, policy.evaluate(x)) * max(best*seconds(Time(n.executionTime)), n.evenShare(minInFlight))
		if n.quiet { // as for a fresh node, and not below what was let in
			a = max(a, n.evenShare(coldStartAttempts), admitted*seconds(Time(n.executionTime)))
		}
		n.action = a
		if n.admissionRate == 0 {
			n.tokens, n.tokensAt = 1, n.now
		}
		n.admissionRate = max(a/seconds(Time(n.executionTime)), 1)
	}
	slices.Sort(n.latencies)
	tail := 0.0
	if k := len(n.latencies); k > 0 {
		tail = n.latencies[k*95/100]
	}
	n.scratch = fmt.Appendf(n.scratch[:0], "interval inflight=%d avg=%.3f lat=%.3f avg=%.3f lambda=%.1f a=%.2f"+
		" admitted=%.1f completed=%.1f tail=%.3f scale=%d refused=%v", n.requestsInFlight, n.features[1], n.features[2], n.features[3],
		n.admissionRate, n.action, admitted, float64(n.completed)/span, tail, int(n.executionTime), n.rejected)
	n.rejected = [rejectReasons]int{}
	n.summaryDue = true
	n.admitted, n.completed, n.ends, n.latencySum, n.latencies = 0, 0, 0, 0, n.latencies[:0]
	n.intervalStart, n.intervalEnd = n.now, n.now+interval
	n.forgetIdleCustomers()
	n.forgetDeparted()
	n.chooseSubset()
}

// policy is the two-layer map: hidden units over {in-flight, its average, latency, its average}, bias
// last, then one output. In-flight is over what completes in a contract time, latency runs from 0 (as
// low as seen lately) to 1 (latSpan times that on top). Hand-set until fitted: flat
// while quiet, falling as either rises.
var policy = network{
	hidden: [4][5]float64{
		{0, 0, 1, 0, -quietLatency},
		{0, 0, 0, 1, -quietLatency},
		{1, 0, 0, 0, -quietLatency},
		{0, 1, 0, 0, -quietLatency},
	},
	out: [5]float64{-0.4, -0.4, -0.4, -0.4, 1.2},
}
