package routing

import (
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
	"cherrygap/rules"
)

// Do is what is to be done with a ticket.
type Do uint8

// What a Choice asks for.
const (
	Execute  Do = iota + 1 // at Server, giving up after Wait
	Bounce                 // trying again is harmless, best after Advice
	BreakOff               // nothing is promised
	Nothing                // the client has gone
)

// Choice is the next step of a ticket.
type Choice struct {
	Do     Do
	Nth    int // number of the execution of its ticket, from 0
	Server *Server
	Wait   time.Duration
	Advice time.Duration
}

// Worker runs a ticket's executions.
type Worker interface {
	// Withdraw ends the nth execution, if it has not ended; it must not block or call the Router.
	Withdraw(nth int)
}

// End is how an execution ended.
type End struct {
	Outcome protocol.Outcome
	Took    time.Duration
	Units   float64
}

// Ticket is one ticket at a time of one connection.
type Ticket struct {
	r      *Router
	work   Worker
	slot   uint32
	id     uint32
	nth    int // number of the last execution, from 0
	server *Server
	choice Choice
	wake   chan struct{} // a choice is there
	gone   bool

	whose quota.Customer // and what it takes of the quota, where that is leased
	units float64
}

const slots = 1 << 16 // the low part of a ticket's number; the rest counts its uses

// NewTicket makes room for the tickets of one connection. One execution of a ticket is out at a time.
func (r *Router) NewTicket(w Worker) *Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &Ticket{r: r, work: w, wake: make(chan struct{}, 1)}
	if k := len(r.free); k > 0 {
		t.slot, r.free = r.free[k-1], r.free[:k-1]
		t.id = r.tickets[t.slot].id
	} else {
		t.slot = uint32(len(r.tickets))
		t.id = t.slot
		r.tickets = append(r.tickets, nil)
	}
	r.tickets[t.slot] = t
	return t
}

// Free gives the room back; no ticket may be open.
func (t *Ticket) Free() {
	t.r.mu.Lock()
	t.r.free = append(t.r.free, t.slot)
	t.r.mu.Unlock()
}

// ticket is the open ticket of that number.
func (r *Router) ticket(id uint32) *Ticket {
	if t := r.tickets[id%slots]; t.id == id {
		return t
	}
	return nil
}

// Known tells whether a request's band and plan are in the settings.
func (r *Router) Known(q *protocol.Request) bool {
	_, band := r.bands[q.Band]
	_, plan := r.plans[q.Plan]
	return band && plan
}

// Fits tells whether a request's figures are such as the settings allow. It guards a customer's bucket and set
// against whoever writes odd figures under its name. A setting that is missing allows anything.
func (r *Router) Fits(q *protocol.Request) bool {
	return (r.largest <= 0 || q.Units <= r.largest) && q.Spread <= r.nodes && q.First < r.nodes
}

// Take hands a new ticket to the module, for whose answer its client waits until so much later.
func (t *Ticket) Take(q *protocol.Request, left time.Duration) {
	r := t.r
	r.enter()
	t.id += slots
	t.nth, t.gone, t.choice = -1, false, Choice{}
	select {
	case <-t.wake:
	default:
	}
	if plan := r.plans[q.Plan]; r.cfg.Quota != nil && plan < len(r.quotas) && r.quotas[plan].Rate > 0 {
		t.whose, t.units = r.quotas[plan], q.Units
		t.whose.Key, t.whose.First, t.whose.Spread = q.Customer, q.First, q.Spread
		r.cfg.Quota.Ask(t.whose, q.Units)
		r.node.Allowed(q.Customer, plan, q.Spread, q.First, r.cfg.Quota.Room(t.whose))
	} else {
		t.whose, t.units = quota.Customer{}, 0
	}
	r.node.Take(rules.Arrival{ID: t.id, Band: r.bands[q.Band], Plan: r.plans[q.Plan], Customer: q.Customer,
		Left: rules.Time(left / tenth), Units: q.Units, Spread: q.Spread, First: q.First})
	r.leave()
}

// settle passes a choice to who waits for it.
func (t *Ticket) settle(c Choice) {
	t.choice = c
	select {
	case t.wake <- struct{}{}:
		if t.r.cfg.Ready != nil {
			t.r.cfg.Ready(t)
		}
	default:
	}
}

// Pick waits for the next step.
func (t *Ticket) Pick() Choice {
	<-t.wake
	return t.picked()
}

// Poll gives the next step if the module has made it, without waiting: for callers that drive the Router
// from one event loop, as the lab's fleet model does.
func (t *Ticket) Poll() (Choice, bool) {
	select {
	case <-t.wake:
		return t.picked(), true
	default:
		return Choice{}, false
	}
}

func (t *Ticket) picked() Choice {
	t.r.mu.Lock()
	c, gone := t.choice, t.gone
	t.choice, t.server = Choice{}, c.Server
	t.r.mu.Unlock()
	if gone && c.Do == Execute { // it left between the choice and now: the module must not wait for an end
		t.Report(End{Outcome: protocol.Unsent})
	}
	if gone {
		return Choice{Do: Nothing}
	}
	return c
}

var outcomes = [...]rules.Outcome{
	protocol.Completed: rules.OK, protocol.Errored: rules.Failed, protocol.TurnedAway: rules.Full,
	protocol.TimedOut: rules.TimedOut, protocol.Unconnected: rules.Unreached, protocol.Broken: rules.Reset,
	protocol.Withdrawn: rules.Withdrawn, protocol.Unsent: rules.Moot,
	protocol.Spoilt: rules.Spoilt,
}

// Report tells how the ticket's execution ended. One that completed is the ticket's answer.
func (t *Ticket) Report(e End) {
	r := t.r
	r.enter()
	r.node.Ended(rules.Result{Ticket: t.id, Nth: t.nth, Server: t.server.id, Outcome: outcomes[e.Outcome],
		Took: rules.Time(e.Took / tenth), Settled: e.Outcome == protocol.Completed, Units: e.Units})
	r.leave()
}

// Gone tells that the client left: what is out is withdrawn, and nothing is owed.
func (t *Ticket) Gone() {
	r := t.r
	r.enter()
	t.gone = true
	t.settle(t.choice)
	r.node.Lapsed(t.id)
	r.leave()
}
