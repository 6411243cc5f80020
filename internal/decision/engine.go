package decision

import "cherrygap/internal/settings"

// Engine decides for one node: it holds all that the node knows.
type Engine struct {
	config      *config
	now         Time
	random      random
	shadow      *shadow // nil: off
	classes     []classState
	endpoints   endpointSet
	requests    requestTable
	followsList bool // a list has come from discovery: what is new in the next ones is new
	customers   customerTable
	outbox      outbox
	scratch     []byte // of the last payload

	admission admissionLimit
	quota     tenantQuota
	owner     quotaOwner
	reports   usageReports
	outliers  outlierDetector
	slowStart slowStart
	subsets   subsetChooser
	selection selection
	retries   retryBudget
	timers    timers
	pause     pause

	interval   intervalStats
	summaryDue bool // scratch holds an interval's summary
}

// classState is what was seen of a request class.
type classState struct {
	latency decayingMean // of completed attempts
}

// New makes an engine that knows its settings only. Engines with the same seed and input decide the same.
func New(seed uint64, set *settings.Settings, now Time) *Engine {
	e := &Engine{
		now:       now,
		random:    newRandom(seed),
		endpoints: endpointSet{slots: newSlotIndex[ServerID, serverSlot]()},
		requests:  requestTable{slots: newSlotIndex[RequestID, requestSlot]()},
		customers: customerTable{slots: newSlotIndex[CustomerID, customerSlot]()},
		admission: newAdmissionLimit(now),
		quota:     tenantQuota{peerHeardAt: now - peerSilence},
		subsets:   subsetChooser{startedAt: now, ratio: 1},
		interval:  intervalStats{startedAt: now},
	}
	e.configure(newConfig(set))
	e.timers = newTimers(now, e.config.pollEndpoints)
	return e
}

// configure hands the settings to each mechanism; what is known of classes begins anew.
func (e *Engine) configure(c *config) {
	e.config = c
	e.admission.config, e.quota.config, e.owner.config, e.reports.config = c, c, c, c
	e.slowStart.config, e.subsets.config, e.selection.config, e.retries.config = c, c, c, c
	e.outliers = outlierDetector{config: c, classes: make([]classOutliers, len(c.classes))}
	e.classes = make([]classState, len(c.classes))
}

// SetTime sets the time, which must not go back.
func (e *Engine) SetTime(now Time) {
	if e.timers.hostAt > 0 {
		e.pause.observe(e.now, now, e.config.shortestObjective)
	}
	e.now = now
}

// TimerFired notes that the host's timer went off; the time is all it tells.
func (e *Engine) TimerFired() {}

// UpdateEndpoints takes in a message of discovery.
func (e *Engine) UpdateEndpoints(kind EndpointListKind, list []Endpoint) {
	if kind == PollFailed {
		e.timers.pollFailed(e.now, e.config.pollWithin, &e.random)
		return
	}
	set := &e.endpoints
	if kind != ListUpdate {
		for i := range set.servers {
			set.remove(serverSlot(i))
		}
	}
	for _, endpoint := range list {
		i := e.updateServer(endpoint, max(len(list), set.ready))
		if s := &set.servers[i]; s.knownAt == e.now && s.Started > 0 && s.usable() && e.followsList {
			e.slowStart.observeClock(s.Started, e.now)
		}
		if kind == ListUpdate {
			set.order.place(&set.servers[i], i)
		}
		if e.slowStart.weight(&set.servers[i], e.now) < 1 {
			set.noteWarming(i)
		}
	}
	set.countReady(kind != ListUpdate)
	e.followsList = e.followsList || kind != CachedList
	e.chooseSubset()
}

// ObserveServerClock notes a time that the servers' clock said a moment ago: that of their times of start.
func (e *Engine) ObserveServerClock(at Time) { e.slowStart.observeClock(at, e.now) }

// updateServer takes in one entry of a list of so many servers.
func (e *Engine) updateServer(endpoint Endpoint, servers int) serverSlot {
	i := e.endpoints.slots.find(endpoint.Server)
	if i < 0 {
		s := server{Endpoint: endpoint, knownAt: e.now}
		e.slowStart.started(&s, &e.random)
		e.selection.join(&s, servers, &e.random)
		i = e.endpoints.add(s)
	}
	s := &e.endpoints.servers[i]
	if s.Started != endpoint.Started { // a new process: what the old one did says nothing
		s.pace, s.knownAt = decayingMean{}, e.now
		e.slowStart.started(s, &e.random)
		for k := range s.byClass {
			s.byClass[k] = outlierState{inFlight: s.byClass[k].inFlight}
		}
	}
	if s.Endpoint, s.listed = endpoint, true; s.State == Gone {
		e.endpoints.remove(i)
	}
	return i
}

// chooseSubset brings up to date which servers this node uses.
func (e *Engine) chooseSubset() {
	e.endpoints.setView(e.subsets.choose(e.now, e.endpoints.ready), len(e.classes))
}

// forgetServers frees what is kept of servers that are gone, out of view or warm.
func (e *Engine) forgetServers() {
	e.endpoints.forgetDeparted(e.requests.all)
	e.endpoints.forgetOutOfView(func(s outlierState) bool { return s.informative(e.now) })
	e.endpoints.forgetWarm(func(s *server) bool { return e.slowStart.weight(s, e.now) >= 1 })
}

// HealthChecked notes the answer of a health check. One that failed changes nothing: attempts tell more.
func (e *Engine) HealthChecked(id ServerID, o Outcome, _ []float64) {
	if i := e.endpoints.slots.find(id); i >= 0 && o == Succeeded {
		states := e.endpoints.servers[i].byClass
		for k := range states {
			states[k].answeredAt = e.now
		}
	}
}

// AddRequest notes a request that came in.
func (e *Engine) AddRequest(a Request) {
	r := request{
		id: a.ID, live: true, class: min(a.Class, ClassID(len(e.classes)-1)),
		plan: min(a.Plan, PlanID(len(e.config.plans)-1)), arrived: e.now, deadline: e.now + a.Timeout,
		units: a.Units, bucketPart: 1,
	}
	r.customer = e.customers.slot(e.config, e.now, a.Customer, r.plan, a.Spread, a.FirstNode)
	c := &e.customers.all[r.customer]
	c.lastRequest = e.now
	c.demand.add(a.Units, e.now, demandMemory)
	if e.now == e.pause.endedAt {
		e.pause.arrived++
	}
	if !e.config.owners {
		e.reportUse(c, r.customer, a.Units, 0)
	}
	e.requests.enqueue(e.requests.add(r))
}

// SetLease notes what of a customer's quota this node may use now, by whoever leases it from the whole: its bucket from
// then on, until the next call. It neither refills by itself nor is it divided by this node's part, and no owner is asked.
func (e *Engine) SetLease(id CustomerID, plan PlanID, spread int, first NodeID, units float64) {
	plan = min(max(plan, 0), PlanID(len(e.config.plans)-1))
	c := &e.customers.all[e.customers.slot(e.config, e.now, id, plan, spread, first)]
	c.leased, c.bucket = true, tokenBucket{units, e.now}
}

// ResponseStarted notes that a response has begun: the client owns the attempt now.
func (e *Engine) ResponseStarted(id RequestID) {
	if i := e.requests.slots.find(id); i >= 0 {
		e.requests.all[i].streaming = true
	}
}

// ClientGone notes that the client has gone.
func (e *Engine) ClientGone(id RequestID) {
	if i := e.requests.slots.find(id); i >= 0 {
		e.closeRequest(i)
	}
}

// AttemptEnded notes how an attempt ended. One that is not in flight is passed over.
func (e *Engine) AttemptEnded(result AttemptResult) {
	i := e.requests.slots.find(result.Request)
	if i < 0 || result.Attempt >= len(e.requests.all[i].attempts) || !e.requests.all[i].attempts[result.Attempt].inFlight {
		return
	}
	r := &e.requests.all[i]
	s := &e.endpoints.servers[r.attempts[result.Attempt].server]
	usual := e.usualLatency(r.class)
	seen, part, tells := e.judgeEnd(result, r.class, &s.byClass[r.class])
	e.requests.attemptEnded(r, result.Attempt, result.Outcome)
	e.customers.all[r.customer].inFlight--
	s.inFlight--
	e.outliers.attemptEnded(s.byClass, r.class, seen, e.now)
	e.selection.attemptEnded(s, seen, float64(result.Duration)/usual, e.now)
	if tells {
		e.interval.attemptEnded(part)
	}
	if result.Outcome == Succeeded {
		e.attemptCompleted(r, s, result)
	}
	if result.Final {
		e.closeRequest(i)
	}
	switch {
	case !r.closed:
		e.requests.enqueue(i)
	case r.inFlight == 0:
		e.freeRequest(i)
	}
}

// attemptCompleted counts a completed attempt, and what its request took of the quota in truth.
func (e *Engine) attemptCompleted(r *request, s *server, result AttemptResult) {
	e.interval.completed++
	e.admission.throughput.completed(result.Duration)
	e.slowStart.completed(s, e.now)
	e.classes[r.class].latency.add(float64(result.Duration), e.now, paceMemory)
	if result.Units > 0 {
		e.settle(r, result.Units-r.units)
	}
}

// settle takes so many units more than expected off the quota: its bucket may go below 0.
func (e *Engine) settle(r *request, more float64) {
	c := &e.customers.all[r.customer]
	if !e.owner.owned(c) || e.owner.isOwner(c) {
		c.bucket.level -= more / r.bucketPart
		e.chargeShadowUse(c, more/r.bucketPart, false)
	}
	if e.config.owners {
		e.reportUse(c, r.customer, 0, more)
	}
}

// startAttempt counts an attempt that goes to a server now.
func (e *Engine) startAttempt(r *request, to serverSlot) {
	s := &e.endpoints.servers[to]
	state := &s.byClass[r.class]
	s.inFlight++
	state.inFlight++
	e.endpoints.addToView(to)
	e.slowStart.attemptSent(s, e.now, e.subsets.ratio)
	e.outliers.attemptStarted(state, r.class, e.now)
	e.subsets.attemptSent(e.now)
	e.requests.attemptStarted(r, to, e.now)
	e.customers.all[r.customer].inFlight++
}

// closeRequest closes a request and cancels the attempts that are in flight for it.
func (e *Engine) closeRequest(i requestSlot) {
	r := &e.requests.all[i]
	if r.closed {
		return
	}
	r.closed = true
	for k := range r.attempts {
		e.cancelAttempt(r, k)
	}
	if r.inFlight == 0 {
		e.freeRequest(i)
	}
}

// cancelAttempt cancels an attempt, where the settings allow that.
func (e *Engine) cancelAttempt(r *request, k int) {
	if e.config.cancel {
		e.requests.cancel(r, k)
	}
}

// freeRequest gives a request's slot back.
func (e *Engine) freeRequest(i requestSlot) {
	if r := &e.requests.all[i]; r.live {
		e.releaseReservation(r)
		e.requests.release(r)
	}
}

// summarise writes the summary of an interval of so many seconds.
func (e *Engine) summarise(span float64) {
	l, seen := &e.admission, &e.interval
	summary := intervalSummary{
		inFlight: e.requests.inFlight, inFlightAverage: l.features[1], latency: l.features[2], latencyAverage: l.features[3],
		admissionRate: l.rate, action: l.action, admitted: float64(seen.admitted) / span,
		completed: float64(seen.completed) / span, tail: seen.tail(), executionTime: Time(l.throughput.executionTime),
		rejected: seen.rejected,
	}
	e.scratch, e.summaryDue = summary.appendText(e.scratch[:0]), true
}
