package routing

import (
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
)

// Action is what is to be done with a ticket.
type Action uint8

// What a Choice asks for.
const (
	Forward Action = iota + 1 // at Server, giving up after Wait
	Reject                    // trying again is harmless, best after Advice
	Fail                      // nothing is promised
	Abandon                   // the client has gone
)

// Decision is the next step of a ticket.
type Decision struct {
	Action     Action
	Attempt    int // number of the execution of its ticket, from 0
	Server     *Server
	Timeout    time.Duration
	RetryAfter time.Duration
}

// Canceller runs a ticket's executions.
type Canceller interface {
	// Cancel ends the nth execution, if it has not ended; it must not block or call the Router.
	Cancel(nth int)
}

// AttemptResult is how an execution ended.
type AttemptResult struct {
	Outcome  protocol.Outcome
	Duration time.Duration
	Units    float64
}

// Request is one ticket at a time of one connection.
type Request struct {
	r      *Router
	work   Canceller
	slot   uint32
	id     uint32
	nth    int // number of the last execution, from 0
	server *Server
	choice Decision
	wake   chan struct{} // a choice is there
	gone   bool

	whose quota.Customer // and what it takes of the quota, where that is leased
	units float64
}

const slots = 1 << 16 // the low part of a ticket's number; the rest counts its uses

// NewRequest makes room for the tickets of one connection. One execution of a ticket is out at a time.
func (r *Router) NewRequest(w Canceller) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &Request{r: r, work: w, wake: make(chan struct{}, 1)}
	if k := len(r.free); k > 0 {
		t.slot, r.free = r.free[k-1], r.free[:k-1]
		t.id = r.requests[t.slot].id
	} else {
		t.slot = uint32(len(r.requests))
		t.id = t.slot
		r.requests = append(r.requests, nil)
	}
	r.requests[t.slot] = t
	return t
}

// Release gives the room back; no ticket may be open.
func (t *Request) Release() {
	t.r.mu.Lock()
	t.r.free = append(t.r.free, t.slot)
	t.r.mu.Unlock()
}

// request is the open ticket of that number.
func (r *Router) request(id uint32) *Request {
	if t := r.requests[id%slots]; t.id == id {
		return t
	}
	return nil
}

// KnowsClassAndPlan tells whether a request's band and plan are in the settings.
func (r *Router) KnowsClassAndPlan(q *protocol.Request) bool {
	_, band := r.classes[q.Class]
	_, plan := r.plans[q.Plan]
	return band && plan
}

// WithinLimits tells whether a request's figures are such as the settings allow. It guards a customer's bucket and set
// against whoever writes odd figures under its name. A setting that is missing allows anything.
func (r *Router) WithinLimits(q *protocol.Request) bool {
	return (r.largest <= 0 || q.Units <= r.largest) && q.Spread <= r.nodes && q.FirstNode < r.nodes
}

// Start hands a new ticket to the module, for whose answer its client waits until so much later.
func (t *Request) Start(q *protocol.Request, left time.Duration) {
	r := t.r
	r.enter()
	t.id += slots
	t.nth, t.gone, t.choice = -1, false, Decision{}
	select {
	case <-t.wake:
	default:
	}
	if plan := r.plans[q.Plan]; r.cfg.Quota != nil && plan < len(r.quotas) && r.quotas[plan].Rate > 0 {
		t.whose, t.units = r.quotas[plan], q.Units
		t.whose.Key, t.whose.FirstNode, t.whose.Spread = q.Customer, q.FirstNode, q.Spread
		r.cfg.Quota.RecordDemand(t.whose, q.Units)
		r.node.SetLease(q.Customer, plan, q.Spread, q.FirstNode, r.cfg.Quota.Available(t.whose))
	} else {
		t.whose, t.units = quota.Customer{}, 0
	}
	r.node.AddRequest(decision.Request{
		ID: t.id, Class: r.classes[q.Class], Plan: r.plans[q.Plan], Customer: q.Customer,
		Timeout: decision.Time(left / tenth), Units: q.Units, Spread: q.Spread, FirstNode: q.FirstNode,
	})
	r.leave()
}

// decide passes a choice to who waits for it.
func (t *Request) decide(c Decision) {
	t.choice = c
	select {
	case t.wake <- struct{}{}:
		if t.r.cfg.OnDecision != nil {
			t.r.cfg.OnDecision(t)
		}
	default:
	}
}

// Next waits for the next step.
func (t *Request) Next() Decision {
	<-t.wake
	return t.taken()
}

// TryNext gives the next step if the module has made it, without waiting: for callers that drive the Router
// from one event loop, as the lab's fleet model does.
func (t *Request) TryNext() (Decision, bool) {
	select {
	case <-t.wake:
		return t.taken(), true
	default:
		return Decision{}, false
	}
}

func (t *Request) taken() Decision {
	t.r.mu.Lock()
	c, gone := t.choice, t.gone
	t.choice, t.server = Decision{}, c.Server
	t.r.mu.Unlock()
	if gone && c.Action == Forward { // it left between the choice and now: the module must not wait for an end
		t.Report(AttemptResult{Outcome: protocol.NotSent})
	}
	if gone {
		return Decision{Action: Abandon}
	}
	return c
}

var outcomes = [...]decision.Outcome{
	protocol.Completed: decision.Succeeded, protocol.Errored: decision.Failed, protocol.Overloaded: decision.Overloaded,
	protocol.TimedOut: decision.TimedOut, protocol.ConnectFailed: decision.ConnectFailed, protocol.ConnectionReset: decision.ConnectionReset,
	protocol.Cancelled: decision.Cancelled, protocol.NotSent: decision.NotSent,
	protocol.MalformedResponse: decision.MalformedResponse,
}

// Report tells how the ticket's execution ended. One that completed is the ticket's answer.
func (t *Request) Report(e AttemptResult) {
	r := t.r
	r.enter()
	r.node.AttemptEnded(decision.AttemptResult{
		Request: t.id, Attempt: t.nth, Server: t.server.id, Outcome: outcomes[e.Outcome],
		Duration: decision.Time(e.Duration / tenth), Final: e.Outcome == protocol.Completed, Units: e.Units,
	})
	r.leave()
}

// ClientGone tells that the client left: what is out is withdrawn, and nothing is owed.
func (t *Request) ClientGone() {
	r := t.r
	r.enter()
	t.gone = true
	t.decide(t.choice)
	r.node.ClientGone(t.id)
	r.leave()
}
