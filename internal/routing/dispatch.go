package routing

import (
	"fmt"

	"cherrygap/internal/decision"
)

// carryOut carries out one decision of the engine. It panics on an unknown action: the engine would wait for the effect of
// that action. The lock must be held.
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
		panic(fmt.Sprintf("routing: unknown engine action %d", d.Action))
	}
}

// forward makes the next attempt of a request its decision. The decision is withheld if the repeat check forbids the
// attempt. The first attempt uses units of the tenant's lease. The lock must be held.
func (r *Router) forward(d decision.Decision) {
	req := r.requests.find(requestNumber(d.Request))
	if req == nil {
		return
	}
	req.attempt++
	if req.attempt == 0 && r.cfg.Quota != nil {
		r.cfg.Quota.RecordUse(req.tenant, req.units)
	}
	server, now := r.endpoints.find(ServerNumber(d.Server)), r.cfg.Clock()
	next := Decision{
		Action:   Forward,
		Attempt:  req.attempt,
		Server:   server,
		Timeout:  duration(d.Duration),
		FinishBy: req.repeats.finishBy(),
	}
	if violation := req.repeats.checkAttempt(server, now); violation != RepeatViolationNone {
		next.withheld = true
		r.reportRepeatViolation(violation, req)
	} else {
		req.repeats.begin(server, now)
	}
	req.decide(next)
}

// reject rejects a request. The request fails instead if the repeat check forbids the rejection. The lock must be held.
func (r *Router) reject(req *Request, d decision.Decision) {
	if violation := req.repeats.checkRejection(); violation != RepeatViolationNone {
		r.reportRepeatViolation(violation, req)
		req.decide(Decision{Action: Fail, Reason: d.Reason.String()})
		return
	}
	req.decide(Decision{Action: Reject, RetryAfter: duration(d.Duration), Reason: d.Reason.String()})
}

// reportRepeatViolation calls Config.OnRepeatViolation, if that is set. The lock must be held.
func (r *Router) reportRepeatViolation(violation RepeatViolation, req *Request) {
	if r.cfg.OnRepeatViolation != nil {
		r.cfg.OnRepeatViolation(violation, req.class, req.attempt)
	}
}
