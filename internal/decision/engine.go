package decision

import "cherrygap/internal/settings"

// Engine makes the decisions of one node and holds its state. It is not safe for concurrent use.
type Engine struct {
	config       *config
	now          Time
	random       random
	shadow       *shadow // nil while shadow evaluation is off
	classes      []classState
	endpoints    endpointSet
	requests     requestTable
	listReceived bool // discovery has sent a list other than CachedList; servers that later lists add have just started
	customers    customerTable
	outbox       outbox
	scratch      []byte // buffer for the payloads of summaries and suspicions

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
	summaryDue bool // scratch holds an interval summary that Next has not returned yet
}

// New returns an engine with the settings and no other state. Engines with the same seed and inputs make the same
// decisions.
func New(seed uint64, set *settings.Settings, now Time) *Engine {
	e := &Engine{
		now:       now,
		random:    newRandom(seed),
		endpoints: endpointSet{slots: newSlotIndex[ServerID, serverSlot]()},
		requests:  requestTable{slots: newSlotIndex[RequestID, requestSlot]()},
		customers: customerTable{slots: newSlotIndex[CustomerID, customerSlot]()},
		admission: newAdmissionLimit(now),
		quota:     tenantQuota{lastPeerMessageAt: now - peerSilenceTimeout},
		subsets:   subsetChooser{startedAt: now, ratio: 1},
		interval:  intervalStats{startedAt: now},
	}
	e.configure(newConfig(set))
	e.timers = newTimers(now, e.config)
	return e
}

// configure passes the settings to each mechanism and resets the state of the request classes.
func (e *Engine) configure(c *config) {
	e.config = c
	e.customers.config, e.admission.config, e.quota.config, e.owner.config, e.reports.config = c, c, c, c, c
	e.slowStart.config, e.subsets.config, e.selection.config, e.retries.config = c, c, c, c
	e.outliers = outlierDetector{config: c, classes: make([]classOutliers, len(c.classes))}
	e.classes = make([]classState, len(c.classes))
}

// SetTime sets the engine's time, which must not go back.
func (e *Engine) SetTime(now Time) {
	if e.timers.hostAt > 0 {
		e.pause.observe(e.now, now, e.config.shortestObjective)
	}
	e.now = now
}

// TimerFired notifies the engine that the host's timer has fired. The call has no effect of its own: the engine acts on
// the time that SetTime has set.
func (e *Engine) TimerFired() {}

// UpdateEndpoints applies an endpoint list of discovery, or records that a poll failed.
func (e *Engine) UpdateEndpoints(kind EndpointListKind, list []Endpoint) {
	if kind == PollFailed {
		e.timers.pollFailed(e.now, e.config.pollWithin, &e.random)
		return
	}
	set := &e.endpoints
	updatesOrder := kind == ListUpdate && set.order.built // the first list may be an update
	if kind != ListUpdate {
		for i := range set.servers {
			set.remove(serverSlot(i))
		}
	}
	for _, endpoint := range list {
		i := e.updateServer(endpoint, max(len(list), set.ready))
		s := &set.servers[i]
		if s.processListedAt == e.now && s.Started > 0 && s.usable() && e.listReceived {
			e.slowStart.observeClock(s.Started, e.now)
		}
		if updatesOrder {
			set.order.place(s, i)
		}
		if e.slowStart.weight(s, e.now) < 1 {
			set.addWarming(i)
		}
	}
	if updatesOrder {
		set.ready = set.order.count
	} else {
		set.recountReady()
	}
	e.listReceived = e.listReceived || kind != CachedList
	e.chooseSubset()
}

// ObserveServerClock records a time that the servers' clock showed a moment ago. Endpoint.Started refers to that clock.
func (e *Engine) ObserveServerClock(at Time) { e.slowStart.observeClock(at, e.now) }

// updateServer applies one entry of an endpoint list and returns the server's slot. The argument listed is the larger of
// the list's length and the number of ready servers.
func (e *Engine) updateServer(endpoint Endpoint, listed int) serverSlot {
	i := e.endpoints.slots.find(endpoint.Server)
	if i < 0 {
		s := server{Endpoint: endpoint, processListedAt: e.now}
		e.slowStart.processStarted(&s, &e.random)
		e.selection.serverAdded(&s, listed, &e.random)
		i = e.endpoints.add(s)
	}
	s := &e.endpoints.servers[i]
	if s.Started != endpoint.Started {
		e.resetServer(s)
	}
	s.Endpoint, s.listed = endpoint, true
	if s.State == Gone {
		e.endpoints.remove(i)
	}
	return i
}

// resetServer drops the measurements of a server whose process is new. Attempts in flight still count.
func (e *Engine) resetServer(s *server) {
	s.pace = decayingMean{}
	s.processListedAt = e.now
	e.slowStart.processStarted(s, &e.random)
	for k := range s.byClass {
		s.byClass[k] = outlierState{inFlight: s.byClass[k].inFlight}
	}
}

// chooseSubset updates the subset and the tracked servers.
func (e *Engine) chooseSubset() {
	e.endpoints.track(e.subsets.choose(e.now, e.endpoints.ready), len(e.classes))
}

// forgetServers drops the servers that neither the endpoint list nor an open request refers to. It also drops uninformative
// outlier states of untracked servers, and the warming marks of warm servers.
func (e *Engine) forgetServers() {
	e.endpoints.forgetDeparted(e.requests.all)
	e.endpoints.forgetUntracked(func(s outlierState) bool { return s.informative(e.now) })
	e.endpoints.forgetWarm(func(s *server) bool { return e.slowStart.weight(s, e.now) >= 1 })
}

// HealthChecked records a successful health check. A failed one has no effect, since attempts carry more information.
func (e *Engine) HealthChecked(id ServerID, outcome Outcome, _ []float64) {
	if i := e.endpoints.slots.find(id); i >= 0 && outcome == Succeeded {
		states := e.endpoints.servers[i].byClass
		for k := range states {
			states[k].lastResponseAt = e.now
		}
	}
}

// AddRequest adds a new request, on which Next then decides.
func (e *Engine) AddRequest(in Request) {
	r := request{
		id:          in.ID,
		live:        true,
		class:       min(in.Class, ClassID(len(e.classes)-1)),
		plan:        min(in.Plan, PlanID(len(e.config.plans)-1)),
		arrivedAt:   e.now,
		deadline:    e.now + in.Timeout,
		units:       in.Units,
		demandShare: 1,
	}
	ref := customerRef{id: in.Customer, plan: r.plan, spread: in.Spread, firstNode: in.FirstNode}
	r.customer = e.customers.findOrAdd(ref, e.now)
	c := &e.customers.all[r.customer]
	c.lastActiveAt = e.now
	c.demand.add(in.Units, e.now, demandTimeConstant)
	if e.now == e.pause.endedAt {
		e.pause.arrived++
	}
	if !e.config.usesOwners {
		e.reportUse(c, r.customer, in.Units, 0)
	}
	c.openRequests++
	e.requests.enqueue(e.requests.add(r))
}

// LimitCustomers sets the largest number of customers whose state the engine keeps, besides those in use. By default there is no limit.
func (e *Engine) LimitCustomers(limit int) { e.customers.limit = limit }

// SetLease sets the level of a customer's bucket to the units of its quota that a lease grants to this node. A leased
// bucket does not refill, belongs to this node alone, and has no quota owner. The bucket remains leased from then on.
func (e *Engine) SetLease(id CustomerID, plan PlanID, spread int, first NodeID, units float64) {
	plan = min(max(plan, 0), PlanID(len(e.config.plans)-1))
	ref := customerRef{id: id, plan: plan, spread: spread, firstNode: first}
	c := &e.customers.all[e.customers.findOrAdd(ref, e.now)]
	c.leased = true
	c.bucket = tokenBucket{units, e.now}
}

// ResponseStarted records that the response to the client has begun. From then on, the engine neither starts nor cancels
// an attempt of the request.
func (e *Engine) ResponseStarted(id RequestID) {
	if i := e.requests.slots.find(id); i >= 0 {
		e.requests.all[i].streaming = true
	}
}

// ClientGone closes a request whose client has disconnected.
func (e *Engine) ClientGone(id RequestID) {
	if i := e.requests.slots.find(id); i >= 0 {
		e.closeRequest(i)
	}
}

// AttemptEnded records the end of an attempt. The call has no effect if the attempt is not in flight.
func (e *Engine) AttemptEnded(result AttemptResult) {
	i := e.requests.slots.find(result.Request)
	if i < 0 || !e.requests.all[i].attemptInFlight(result.Attempt) {
		return
	}
	r := &e.requests.all[i]
	s := &e.endpoints.servers[r.attempts[result.Attempt].server]
	usualLatency := e.usualLatency(r.class)
	assessment := e.assessAttempt(result, r.class, &s.byClass[r.class])
	e.requests.attemptEnded(r, result.Attempt, result.Outcome)
	e.customers.all[r.customer].inFlight--
	s.inFlight--
	e.outliers.attemptEnded(s.byClass, r.class, assessment.outcome, e.now)
	e.selection.attemptEnded(s, assessment.outcome, float64(result.Duration)/usualLatency, e.now)
	if assessment.isLatencySample {
		e.interval.addLatency(assessment.latency)
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

// attemptCompleted updates the measurements from a successful attempt, and settles the request's quota.
func (e *Engine) attemptCompleted(r *request, s *server, result AttemptResult) {
	e.interval.completed++
	e.admission.throughput.recordCompletion(result.Duration)
	e.slowStart.attemptCompleted(s, e.now)
	e.classes[r.class].recordCompletion(result.Duration, e.now)
	if result.Units > 0 {
		e.settle(r, result.Units-r.units)
	}
}

// settle charges the units that a request used beyond the expected ones. The bucket's level may fall below 0.
func (e *Engine) settle(r *request, excess float64) {
	c := &e.customers.all[r.customer]
	if !e.owner.owned(c) || e.owner.isOwner(c) {
		c.bucket.level -= excess / r.demandShare
		e.chargeShadowUse(c, excess/r.demandShare)
	}
	if e.config.usesOwners {
		e.reportUse(c, r.customer, 0, excess)
	}
}

// startAttempt records that an attempt is sent to a server now.
func (e *Engine) startAttempt(r *request, to serverSlot) {
	s := &e.endpoints.servers[to]
	state := &s.byClass[r.class]
	s.inFlight++
	state.inFlight++
	e.endpoints.trackServer(to)
	e.slowStart.attemptSent(s, e.now, e.subsets.ratio)
	e.outliers.attemptStarted(state, r.class, e.now)
	e.subsets.attemptSent(e.now)
	e.requests.attemptStarted(r, to, e.now)
	e.customers.all[r.customer].inFlight++
}

// closeRequest closes a request and cancels its attempts in flight, if the settings allow cancellation.
func (e *Engine) closeRequest(i requestSlot) {
	r := &e.requests.all[i]
	if r.closed {
		return
	}
	r.closed = true
	for number := range r.attempts {
		e.cancelAttempt(r, number)
	}
	if r.inFlight == 0 {
		e.freeRequest(i)
	}
}

// cancelAttempt cancels an attempt, if the settings allow cancellation.
func (e *Engine) cancelAttempt(r *request, number int) {
	if e.config.cancelAllowed {
		e.requests.cancel(r, number)
	}
}

// freeRequest releases a request's slot and its reservation at the quota owner.
func (e *Engine) freeRequest(i requestSlot) {
	if r := &e.requests.all[i]; r.live {
		e.releaseReservation(r)
		e.customers.all[r.customer].openRequests--
		e.requests.release(r)
	}
}
