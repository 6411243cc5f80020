package routing

import (
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
)

// Action is the next step of a request.
type Action uint8

// The actions. All but Forward are final.
const (
	Forward Action = iota + 1 // make an attempt
	Reject                    // respond that a retry by the client is harmless
	Fail                      // respond that the request failed; it may have run, or may still run
	Abandon                   // the client has disconnected: no response is needed
)

// Decision is the next step of a request, with the fields that its action needs.
type Decision struct {
	Action Action

	// Fields of Forward.
	Attempt  int           // number of the attempt in its request, from 0
	Server   *Server       // server that receives the attempt
	Timeout  time.Duration // timeout of the attempt
	FinishBy time.Time     // time by which the server must have received the whole request; the zero Time for no limit

	RetryAfter time.Duration // Reject: time after which the client may retry; 0 for no advice
	Reason     string        // Reject and Fail: reason for the log

	withheld bool // Forward: whether the repeat check forbids the attempt
}

// Canceller runs the attempts of a request, one at a time.
type Canceller interface {
	// Cancel cancels the attempt with the given number, unless that attempt has ended. The caller must still report the
	// result of a cancelled attempt.
	// The Router calls Cancel under its lock. Cancel must neither block nor call the Router.
	Cancel(attempt int)
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Outcome  protocol.Outcome
	Duration time.Duration
	Units    float64 // actual units of the request, from the server's response; 0 if the response gives none
}

// Request is a handle for the requests of one client connection, of which one is open at a time. Start opens a request. A
// Decision other than Forward, or the report of a completed attempt, closes it. At most one attempt is in flight.
//
// Start, Next, TryNext and Report must be called by one goroutine at a time. ClientGone may be called from another.
type Request struct {
	router    *Router
	canceller Canceller
	decided   chan struct{} // holds a token while a decision waits to be taken
	slot      requestSlot

	// Guarded by Router.mu.
	number     requestNumber    // number of the open request, or of the last one if none is open
	attempt    int              // number of the last attempt; -1 before the first
	decision   Decision         // latest decision; zero once it is taken
	server     *Server          // server of the decision taken last
	clientGone bool             // whether the client has disconnected
	class      decision.ClassID // class of the request
	repeats    repeatCheck
	tenant     quota.Customer // tenant whose quota is leased; zero if the plan has no leased quota
	units      float64        // units of the tenant's lease that the first attempt uses
}

// Start opens a request and passes it to the engine. The client waits for a response until timeout has passed.
func (req *Request) Start(in *protocol.Request, timeout time.Duration) {
	r := req.router
	r.enter()
	req.number = req.number.next()
	req.attempt, req.clientGone, req.decision = -1, false, Decision{}
	select {
	case <-req.decided: // Drop the token of the previous request.
	default:
	}
	plan := r.settings.plans[in.Plan]
	req.class = r.settings.classes[in.Class]
	req.repeats.reset(r.settings.repeats[req.class])
	req.updateLease(plan, in)
	r.engine.AddRequest(decision.Request{
		ID:        decision.RequestID(req.number),
		Class:     req.class,
		Plan:      plan,
		Customer:  decision.CustomerID(in.Customer),
		Timeout:   engineTime(timeout),
		Units:     in.Units,
		Spread:    in.Spread,
		FirstNode: decision.NodeID(in.FirstNode),
	})
	r.leave()
}

// updateLease records the request's demand and passes the tenant's available units to the engine, if the plan's quota is
// leased. The lock must be held.
func (req *Request) updateLease(plan decision.PlanID, in *protocol.Request) {
	r := req.router
	req.tenant, req.units = quota.Customer{}, 0
	if r.cfg.Quota == nil {
		return
	}
	tenant, ok := r.settings.leaseCustomer(plan, in)
	if !ok {
		return
	}
	req.tenant, req.units = tenant, in.Units
	r.cfg.Quota.RecordDemand(tenant, in.Units)
	available := r.cfg.Quota.Available(tenant)
	r.engine.SetLease(decision.CustomerID(in.Customer), plan, in.Spread, decision.NodeID(in.FirstNode), available)
}

// decide makes a decision ready for Next and TryNext. It replaces a decision that was not taken. The lock must be held.
func (req *Request) decide(d Decision) {
	req.decision = d
	select {
	case req.decided <- struct{}{}:
		if onDecision := req.router.cfg.OnDecision; onDecision != nil {
			onDecision(req)
		}
	default: // The token of the replaced decision now stands for this one.
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

// TryNext takes the next decision without waiting, and reports whether there was one. Callers with a single event loop use
// TryNext in place of Next.
func (req *Request) TryNext() (Decision, bool) {
	select {
	case <-req.decided:
		return req.take()
	default:
		return Decision{}, false
	}
}

// take returns the latest decision and clears it. If the client has disconnected, take returns Abandon instead. Otherwise it
// returns false for a withheld decision, after which the engine decides again.
func (req *Request) take() (Decision, bool) {
	r := req.router
	r.mu.Lock()
	d, disconnected := req.decision, req.clientGone
	req.decision, req.server = Decision{}, d.Server
	r.mu.Unlock()
	if d.Action == Forward && (disconnected || d.withheld) { // The engine waits for the result of each attempt.
		req.Report(AttemptResult{Outcome: protocol.NotSent})
	}
	if disconnected {
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

// Report passes the result of the request's last attempt to the engine. The result of a completed attempt closes the
// request.
func (req *Request) Report(result AttemptResult) {
	r := req.router
	r.enter()
	req.repeats.end(result.Outcome)
	r.engine.AttemptEnded(decision.AttemptResult{
		Request:  decision.RequestID(req.number),
		Attempt:  req.attempt,
		Server:   decision.ServerID(req.server.number),
		Outcome:  outcomes[result.Outcome],
		Duration: engineTime(result.Duration),
		Final:    result.Outcome == protocol.Completed,
		Units:    result.Units,
	})
	r.leave()
}

// ClientGone records that the client has disconnected. The attempt in flight is cancelled, and the next decision is Abandon.
func (req *Request) ClientGone() {
	r := req.router
	r.enter()
	req.clientGone = true
	req.decide(req.decision) // Wake a goroutine that waits in Next.
	r.engine.ClientGone(decision.RequestID(req.number))
	r.leave()
}
