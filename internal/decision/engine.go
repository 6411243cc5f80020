// Package decision decides for one edge node. A host makes a Node with New, sets the time with Clock,
// reports what came in (Roster, Take, Ended, Started, Lapsed, Probed, Heard, Elapsed), which only
// updates what is known, and then calls Next again and again until it says that there is no more.
// The interface, the state types and the bookkeeping of messages stand in types.go, the watch in watch.go;
// every decision and tuned value stands here.
//
// The design: each second a limit λ = a/T, a from a two-layer map of in-flight, latency and their
// averages (limit, policy); then the customer's bucket, its quota times this node's part of its
// demand (part, inQuota, byHome). Past either a ticket is bounced at once. Beside the design stand six:
//  1. weighted rotation with warm-up (pick, weigh)
//  2. the cold budget (coldRoom)
//  3. suspicion of failing or silent servers, by band, own and told (judge, rest, beat, doubt, ill)
//  4. budgeted further executions, time-outs, calls back from suspected servers (further, decide, beat)
//  5. caps and ceilings (openCap, the soft cap of pick, allow, ceilingRoom)
//  6. one home for a customer's bucket where not all nodes can hear all (byHome, allow, regrant)
package decision

import (
	"slices"
)

// New makes a node that knows its settings only.
func New(seed uint64, set Settings, now Time) *Engine {
	n := &Engine{
		now: now, intervalStart: now, startedAt: now, subsetRatio: 1, intervalEnd: now + interval,
		reportAt: now + reportEvery, checkAt: now, lastLatency: minLatencyShare, suspicionAt: now + reportEvery, tokensAt: now,
		quiet:       true,
		peerHeardAt: now - peerSilence,
		serverSlots: newSlotIndex[uint32](), requestSlots: newSlotIndex[uint32](), customerSlots: newSlotIndex[uint64](),
	}
	n.random = mwc{uint32(seed) | 1, uint32(seed>>32)%4294957664 + 1}
	n.applySettings(set)
	if set["roster"] == "ask" {
		n.pollAt = now
	}
	return n
}

// applySettings takes in the settings.
func (n *Engine) applySettings(set Settings) {
	n.settings = set
	n.self, n.nodes = int(set.Number("node")), max(1, int(set.Number("nodes")))
	n.tick, n.connectTimeout = set.Duration("tick"), set.Duration("connect")
	n.slowStartSpan, n.slowStartShare = set.Duration("cold.span"), set.Number("cold.from")
	n.ownersEnabled = float64(n.nodes-1) > ownersAtShare*set.Number("peers.take")*seconds(reportEvery)
	n.classes, n.plans = readClasses(set), readPlans(set)
	n.shortestObjective = slices.MinFunc(n.classes, func(a, b requestClass) int { return int(a.latencyObjective - b.latencyObjective) }).latencyObjective
	n.ownerTimeout = Time(ownerWaitShare * float64(n.shortestObjective))
}

// UpdateEndpoints takes in a message of the server roster.
func (n *Engine) UpdateEndpoints(kind EndpointListKind, list []Endpoint) {
	if kind == PollFailed {
		// Ask again at a chance time within a span, or nodes that start together ask in step and keep discovery
		// full of calls no one waits for. It does not grow: a change is told 6 s after discovery can be reached.
		if n.polling {
			span := min(pollSpan*float64(interval), max(float64(interval), n.settings.Number("ask.within")))
			n.polling, n.pollAt = false, n.now+Time(span*(pollFromShare+(1-pollFromShare)*n.random.unit()))
		}
		return
	}
	if kind != ListUpdate {
		for i := range n.servers {
			n.removeFromList(int32(i))
		}
	}
	for _, l := range list {
		i := n.serverSlots.find(l.Server)
		if i < 0 {
			// Nodes that start alike must not all begin at the same servers.
			i = n.addServer(server{
				Endpoint: l, slowStartSent: n.random.unit(),
				rotationCredit: (n.random.unit() - 0.5) * l.Weight * float64(min(max(len(list), n.ready), minView)),
			})
		}
		s := &n.servers[i]
		if s.Started != l.Started { // a new process: what the old one did says nothing
			s.pace, s.slowStartSent = decayingMean{}, n.random.unit()
			for k := range s.byClass {
				s.byClass[k] = outlierState{inFlight: s.byClass[k].inFlight}
			}
		}
		if s.Endpoint, s.listed = l, true; l.State == Gone {
			n.removeFromList(i)
		}
		if kind == ListUpdate {
			n.order.place(s, i)
		}
		if n.slowStartWeight(s) < 1 && !s.warming {
			s.warming, n.warming = true, append(n.warming, i)
		}
	}
	n.countReady(kind != ListUpdate)
	n.chooseSubset()
}

// AttemptEnded notes how an execution ended.
func (n *Engine) AttemptEnded(r AttemptResult) {
	i := n.requestSlots.find(r.Request)
	if i < 0 || r.Attempt >= len(n.requests[i].attempts) || !n.requests[i].attempts[r.Attempt].inFlight {
		return
	}
	t := &n.requests[i]
	x, b, c := &t.attempts[r.Attempt], &n.classes[t.class], &n.customers[t.customer]
	x.inFlight = false
	x.mayHaveRun = r.Outcome != Overloaded && r.Outcome != ConnectFailed && r.Outcome != NotSent
	t.inFlight--
	c.inFlight--
	if t.inFlight == 0 {
		n.requestsInFlight--
	}
	s := &n.servers[x.server]
	lone := n.now < s.byClass[t.class].ejectedUntil // its ends tell of that server, not of pressure
	// A time-out that left the execution little time, as an impatient client's, says next to nothing: it
	// is neither pressure nor a miss. Covers any short outer limit; could hide a server that hangs while
	// all clients are impatient, which its silence then tells.
	hasty := r.Outcome == TimedOut && r.Duration < b.latencyObjective/2
	seen := r.Outcome
	if hasty {
		seen = NotSent
	}
	n.recordOutcome(s, t.class, seen, r.Duration)
	lost := r.Outcome == TimedOut && float64(r.Duration) > silentLatencies*n.usualLatency(b) // see pressing
	if seen == Succeeded || !lone && !lost && (seen == Overloaded || seen == TimedOut) {     // a break tells of no queue
		part := float64(r.Duration) / float64(b.latencyObjective)
		if r.Outcome != Succeeded {
			part = 1 // no answer: as much as a whole contract time, whatever time it took
		}
		n.ends++
		n.latencySum += part
		n.latencies = append(n.latencies, part)
	}
	if r.Outcome == Succeeded {
		n.recordCompletion(s, r.Duration)
		b.latency.add(float64(r.Duration), n.now, paceMemory)
		if r.Units > 0 { // settled afterwards: the bucket may go below nothing
			if !n.hasOwner(c) || n.ownerOf(c) == n.self {
				c.level -= (r.Units - t.units) / t.bucketPart
				n.chargeShadowUse(c, (r.Units-t.units)/t.bucketPart, false)
			}
			n.recordUse(true, t.customer, 0, r.Units-t.units)
		}
	}
	if r.Final {
		n.closeRequest(i)
	}
	switch {
	case !t.closed:
		n.enqueue(i)
	case t.inFlight == 0:
		n.freeRequest(i)
	}
}

// Next is the next decision, or false when there is none for now.
func (n *Engine) Next() (Decision, bool) {
	if n.now >= n.checkAt {
		n.checkAttempts()
	}
	if n.arrivedInPause > 0 {
		n.reorderAfterPause()
	}
	for {
		if k := len(n.cancellations); k > 0 {
			d := n.cancellations[k-1]
			n.cancellations = n.cancellations[:k-1]
			return d, true
		}
		if len(n.pending) == 0 {
			break
		}
		i := n.pending[0]
		n.pending = n.pending[1:]
		t := &n.requests[i]
		t.queued = false
		if !t.live {
			n.requestSlots.drop(t.id)
		} else if d, ok := n.decideWithShadow(i); ok {
			return d, true
		}
	}
	n.pending = n.pending[:0]
	if n.summaryDue {
		n.summaryDue = false
		return Decision{Action: LogSummary, Payload: n.scratch}, true
	}
	if n.nodes > 1 && n.settings.Enabled("peers") && (n.now >= n.reportAt || n.ownersEnabled && n.now > n.reportAt-reportEvery) {
		n.reportAt = n.now + reportEvery
		n.reportToPeers()
	}
	if n.now >= n.suspicionAt && n.settings.Enabled("peers") && n.nodes > 1 {
		n.suspicionAt = n.now + interval
		text, often := n.suspicionMessage(), reportShare*n.settings.Number("peers.take")/float64(n.nodes)
		if len(text) > 1 && n.random.unit() < often {
			return Decision{Action: SendPeerMessage, Payload: text, Peer: AllPeers}, true
		}
	}
	if k := len(n.outbox); k > 0 {
		m := n.outbox[k-1]
		n.outbox = n.outbox[:k-1]
		return Decision{Action: SendPeerMessage, Payload: m.payload, Peer: m.to}, true
	}
	if n.pollAt > 0 && n.now >= n.pollAt && !n.polling {
		n.polling = true
		return Decision{Action: PollEndpoints}, true
	}
	if n.timerAt <= n.now {
		n.timerAt = n.checkAt
		return Decision{Action: SetTimer, Duration: n.checkAt - n.now}, true
	}
	return Decision{}, false
}

// reorderAfterPause puts what came while this node stood still in order: the last first, since those are in time
// yet, each with the time that it has waited by its place, as they came over the whole stall.
func (n *Engine) reorderAfterPause() {
	late := n.pending[max(0, len(n.pending)-n.arrivedInPause):]
	for k, i := range late {
		if t := &n.requests[i]; t.arrived == n.now {
			t.arrived -= n.pause * Time(2*(len(late)-k)-1) / Time(2*len(late))
		}
	}
	slices.Reverse(late)
	n.arrivedInPause = 0
}

// decide settles what happens with a ticket now; nothing may be the answer while a copy is out.
func (n *Engine) decide(i int32) (Decision, bool) {
	t := &n.requests[i]
	left := t.deadline - n.now - n.answerMargin()
	if t.closed || t.streaming || t.inFlight > 0 {
		return Decision{}, false
	}
	ok, advice := left > 0, Time(0)
	if first := len(t.attempts) == 0; ok && first {
		if ok, advice = n.admit(t); !ok && n.waitsForOwner(t) {
			return Decision{}, false
		}
	} else if ok {
		ok = n.mayRetry(t)
	}
	s := int32(-1)
	if ok {
		s = n.pick(t)
	}
	if s < 0 {
		if ok {
			n.rejected[rejectNoServer]++
		}
		return n.rejectOrFail(i, advice), true
	}
	if len(t.attempts) == 0 {
		n.charge(t)
		n.admitted++
		n.retryBudget = min(n.retryBudget+retryEarned, 2*float64(n.usable))
	} else {
		n.retryBudget--
	}
	srv := &n.servers[s]
	at := &srv.byClass[t.class]
	srv.inFlight++
	at.inFlight++
	n.addToView(s)
	if n.slowStartWeight(srv) < 1 {
		n.drainSlowStart(srv)
		srv.slowStartSent++
	}
	b := &n.classes[t.class]
	b.trialBudget = min(b.trialBudget+trialEarned, 2)
	if n.now < at.ejectedUntil || at.consecutiveFailures > 0 {
		at.trialInFlight = true
		if at.ejectionTime > n.shortestObjective || at.fromPeer {
			b.trialBudget = max(0, b.trialBudget-1)
		}
	}
	n.attemptsSent.add(1, n.now, paceMemory)
	t.attempts = append(t.attempts, attempt{server: s, sent: n.now, inFlight: true, mayHaveRun: true})
	if t.inFlight++; t.inFlight == 1 {
		n.requestsInFlight++
	}
	n.customers[t.customer].inFlight++
	return Decision{Action: Forward, Request: t.id, Server: srv.Server, Duration: left}, true
}
