package routing

import (
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
)

// Action is what is to be done with a request.
type Action uint8

// The actions of a Decision. All but Forward are final.
const (
	Forward Action = iota + 1 // make an attempt at Server
	Reject                    // the request never ran: a retry by the client is harmless
	Fail                      // the request may have run, or may yet
	Abandon                   // the client has gone: nobody waits for an answer
)

// Decision is the next step of a request.
type Decision struct {
	Action     Action
	Attempt    int           // Forward: number of the attempt in its request, from 0
	Server     *Server       // Forward: where to
	Timeout    time.Duration // Forward: of the attempt
	RetryAfter time.Duration // Reject: the advice to the client, 0 for none
	Reason     string        // Reject, Fail: why, for the log
	FinishBy   time.Time     // Forward: when the request has to be whole at the server; zero: no bound

	withheld bool // Forward: it would break the promise on repeats
}

// Canceller runs the attempts of one request at a time.
type Canceller interface {
	// Cancel ends the attempt with that number if it has not ended. It is called under the Router's lock, and must
	// neither block nor call the Router; the attempt's result is reported as any other.
	Cancel(attempt int)
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome  protocol.Outcome
	Duration time.Duration
	Units    float64 // the request's true units, where the app server names them; else 0
}

// Request is one request at a time of one client connection. Start opens a request; it is closed by a Decision other than
// Forward, or by the report of an attempt that completed. At most one attempt of it is in flight.
//
// Start, Next, TryNext and Report are for one goroutine at a time; ClientGone may be called from another.
type Request struct {
	router    *Router
	canceller Canceller
	decided   chan struct{} // holds a token while decision is not taken yet
	slot      requestSlot

	// Guarded by the Router's lock.
	number     requestNumber // of the request that is open, or that was open last
	attempt    int           // number of the last attempt decided on; -1 before the first
	decision   Decision      // the last one, until it is taken
	server     *Server       // of the decision taken last
	clientGone bool
	class      decision.ClassID
	repeats    repeatGuard
	tenant     quota.Customer // zero where its quota is not leased
	units      float64        // to be charged to tenant
}

// Start hands a new request to the engine. Its client waits for the answer for the time given by timeout.
func (req *Request) Start(in *protocol.Request, timeout time.Duration) {
	r := req.router
	r.enter()
	req.number = req.number.next()
	req.attempt, req.clientGone, req.decision = -1, false, Decision{}
	select {
	case <-req.decided: // of the request before
	default:
	}
	plan := r.settings.plans[in.Plan]
	req.class = r.settings.classes[in.Class]
	req.repeats.reset(r.settings.repeats[req.class])
	req.lease(plan, in)
	r.engine.AddRequest(decision.Request{
		ID:        decision.RequestID(req.number),
		Class:     req.class,
		Plan:      plan,
		Customer:  decision.CustomerID(in.Customer),
		Timeout:   ticks(timeout),
		Units:     in.Units,
		Spread:    in.Spread,
		FirstNode: decision.NodeID(in.FirstNode),
	})
	r.leave()
}

// lease tells the engine what the tenant's lease allows, where its plan's quota is leased. The lock is held.
func (req *Request) lease(plan decision.PlanID, in *protocol.Request) {
	r := req.router
	req.tenant, req.units = quota.Customer{}, 0
	if r.cfg.Quota == nil {
		return
	}
	tenant, ok := r.settings.leased(plan, in)
	if !ok {
		return
	}
	req.tenant, req.units = tenant, in.Units
	r.cfg.Quota.RecordDemand(tenant, in.Units)
	available := r.cfg.Quota.Available(tenant)
	r.engine.SetLease(decision.CustomerID(in.Customer), plan, in.Spread, decision.NodeID(in.FirstNode), available)
}

// decide passes a decision to whoever waits for it. The lock is held.
func (req *Request) decide(d Decision) {
	req.decision = d
	select {
	case req.decided <- struct{}{}:
		if onDecision := req.router.cfg.OnDecision; onDecision != nil {
			onDecision(req)
		}
	default: // an earlier one was not taken yet: this one replaces it
	}
}

// Next waits for the next decision and takes it.
func (req *Request) Next() Decision {
	for {
		<-req.decided
		if d, ok := req.take(); ok {
			return d
		}
	}
}

// TryNext takes the next decision if there is one, without waiting: for callers that drive the Router from one event
// loop, as the laboratory's fleet model does.
func (req *Request) TryNext() (Decision, bool) {
	select {
	case <-req.decided:
		return req.take()
	default:
		return Decision{}, false
	}
}

// take takes the decision that was made. It reports false where that is held back: the engine then decides anew.
func (req *Request) take() (Decision, bool) {
	r := req.router
	r.mu.Lock()
	d, gone := req.decision, req.clientGone
	req.decision, req.server = Decision{}, d.Server
	r.mu.Unlock()
	if d.Action == Forward && (gone || d.withheld) { // the engine must not wait for the attempt's result
		req.Report(AttemptResult{Outcome: protocol.NotSent})
	}
	if gone {
		return Decision{Action: Abandon}, true
	}
	return d, !d.withheld
}

// outcomes maps the protocol's outcomes to the engine's.
var outcomes = [...]decision.Outcome{
	protocol.Completed:         decision.Succeeded,
	protocol.Errored:           decision.Failed,
	protocol.Overloaded:        decision.Overloaded,
	protocol.TimedOut:          decision.TimedOut,
	protocol.ConnectFailed:     decision.ConnectFailed,
	protocol.ConnectionReset:   decision.ConnectionReset,
	protocol.Cancelled:         decision.Cancelled,
	protocol.NotSent:           decision.NotSent,
	protocol.MalformedResponse: decision.MalformedResponse,
}

// Report hands the result of the request's last attempt to the engine. An attempt that completed closes the request.
func (req *Request) Report(result AttemptResult) {
	r := req.router
	r.enter()
	req.repeats.end(result.Outcome)
	r.engine.AttemptEnded(decision.AttemptResult{
		Request:  decision.RequestID(req.number),
		Attempt:  req.attempt,
		Server:   decision.ServerID(req.server.number),
		Outcome:  outcomes[result.Outcome],
		Duration: ticks(result.Duration),
		Final:    result.Outcome == protocol.Completed,
		Units:    result.Units,
	})
	r.leave()
}

// ClientGone notes that the client left: the attempt in flight is cancelled, and the next decision is Abandon.
func (req *Request) ClientGone() {
	r := req.router
	r.enter()
	req.clientGone = true
	req.decide(req.decision) // wakes whoever waits in Next
	r.engine.ClientGone(decision.RequestID(req.number))
	r.leave()
}
