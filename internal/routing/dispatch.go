package routing

import (
	"fmt"

	"cherrygap/internal/decision"
)

// carryOut passes one decision of the engine to whom it concerns. The lock is held. It panics on an action that it does
// not know: the engine has learned to do more than this node can, and its decisions must not get lost in silence.
func (r *Router) carryOut(d decision.Decision) {
	switch d.Action {
	case decision.Forward:
		r.forward(d)
	case decision.Reject:
		if req := r.requests.find(requestNumber(d.Request)); req != nil {
			r.reject(req, d)
		}
	case decision.Fail:
		if req := r.requests.find(requestNumber(d.Request)); req != nil {
			req.decide(Decision{Action: Fail, Reason: d.Reason.String()})
		}
	case decision.CancelAttempt:
		if req := r.requests.find(requestNumber(d.Request)); req != nil && d.Attempt == req.attempt {
			req.canceller.Cancel(d.Attempt)
		}
	case decision.SetTimer:
		r.cfg.SetTimer(duration(d.Duration))
	case decision.PollEndpoints:
		r.cfg.PollEndpoints()
	case decision.SendPeerMessage:
		r.outbox.addMessage(int(d.Peer), d.Payload)
	case decision.LogSummary:
		r.outbox.setSummary(d.Payload)
	default:
		panic(fmt.Sprintf("routing: the engine decided on action %d, which the node can't carry out", d.Action))
	}
}

// reject decides that a request is rejected; one that may have run has failed instead.
func (r *Router) reject(req *Request, d decision.Decision) {
	if fault := req.repeats.checkRejection(); fault != RepeatFaultNone {
		r.reportRepeatFault(fault, req)
		req.decide(Decision{Action: Fail, Reason: d.Reason.String()})
		return
	}
	req.decide(Decision{Action: Reject, RetryAfter: duration(d.Duration), Reason: d.Reason.String()})
}

func (r *Router) reportRepeatFault(fault RepeatFault, req *Request) {
	if r.cfg.OnRepeatFault != nil {
		r.cfg.OnRepeatFault(fault, int(req.class), req.attempt)
	}
}

// forward decides on the next attempt of a request. The first one is charged to the tenant's lease.
func (r *Router) forward(d decision.Decision) {
	req := r.requests.find(requestNumber(d.Request))
	if req == nil {
		return
	}
	req.attempt++
	if req.attempt == 0 && r.cfg.Quota != nil {
		r.cfg.Quota.RecordUse(req.tenant, req.units)
	}
	to, now := r.endpoints.find(ServerNumber(d.Server)), r.cfg.Clock()
	next := Decision{Action: Forward, Attempt: req.attempt, Server: to, Timeout: duration(d.Duration), FinishBy: req.repeats.finishBy()}
	if fault := req.repeats.check(to, now); fault != RepeatFaultNone {
		next.withheld = true
		r.reportRepeatFault(fault, req)
	} else {
		req.repeats.begin(to, now)
	}
	req.decide(next)
}
