package transport

import (
	"context"
	"sync"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// Authorizer asks an outside authoriser about tickets. Check returns once it is final, or ctx has ended: the client left.
type Authorizer interface {
	Check(ctx context.Context, q *protocol.Request, left time.Duration) (authz.Verdict, time.Duration)
}

// RequestHandler takes one caller's tickets, one at a time, through check and executions to their answers. Every front's go
// this way, whatever their protocol.
type RequestHandler struct {
	front  *Server
	work   attemptRunner
	ticket *routing.Request

	mu     sync.Mutex
	left   bool // the client went
	cancel context.CancelFunc
}

// NewRequestHandler makes room for one caller. Away looks whether it has gone by now; it must not block.
func (f *Server) NewRequestHandler(away func() bool) *RequestHandler {
	p := &RequestHandler{front: f, work: attemptRunner{pool: f.pool, router: f.router, away: away}}
	p.ticket = f.router.NewRequest(&p.work)
	return p
}

// Release gives the room back; no ticket may be under way.
func (p *RequestHandler) Release() { p.ticket.Release() }

// Begin readies for the next ticket, before Through and any Gone of it.
func (p *RequestHandler) Begin() {
	p.mu.Lock()
	p.left = false
	p.mu.Unlock()
}

// ClientGone tells that the client left: a check is given up, what is out is withdrawn.
func (p *RequestHandler) ClientGone() {
	p.mu.Lock()
	p.left = true
	if p.cancel != nil {
		p.cancel()
	}
	p.mu.Unlock()
	p.work.leave()
	p.ticket.ClientGone()
}

func (p *RequestHandler) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}

// Handle takes a ticket that came at a time to its answer; it tells false once its client has gone, who is owed none.
func (p *RequestHandler) Handle(q *protocol.Request, came time.Time) (a protocol.ClientResponse, stays bool) {
	count := p.front.count
	count.Requests.Add(1)
	if answer, pass := p.checked(q, came); !pass {
		if p.gone() {
			count.ClientsGone.Add(1)
			return a, false
		}
		return answer, true
	}
	p.work.fresh(came)
	p.ticket.Start(q, q.Timeout-time.Since(came))
	if p.gone() { // before the module knew of the ticket
		p.work.leave()
		p.ticket.ClientGone()
	}
	for {
		switch next := p.ticket.Next(); next.Action {
		case routing.Forward:
			reply, end := p.work.run(next, q)
			if end.Outcome == protocol.NotSent && p.work.gone() { // as it may have seen before who is to tell
				p.ClientGone()
			}
			p.ticket.Report(end)
			if end.Outcome == protocol.Completed {
				count.Completed.Add(1)
				return protocol.ClientResponse{Status: protocol.StatusCompleted, ContentType: reply.ContentType, Body: reply.Body}, true
			}
		case routing.Reject:
			count.Rejected.Add(1)
			return protocol.ClientResponse{Status: protocol.StatusRejected, RetryAfter: next.RetryAfter}, true
		case routing.Fail:
			count.Failed.Add(1)
			return protocol.ClientResponse{Status: protocol.StatusFailed}, true
		default:
			count.ClientsGone.Add(1)
			return a, false
		}
	}
}

// checked tells whether a ticket may be executed, or else its answer.
func (p *RequestHandler) checked(q *protocol.Request, came time.Time) (a protocol.ClientResponse, pass bool) {
	if p.front.check == nil {
		return a, true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.mu.Lock()
	p.cancel = cancel
	if p.left {
		cancel()
	}
	p.mu.Unlock()
	verdict, advice := p.front.check.Check(ctx, q, q.Timeout-time.Since(came))
	p.mu.Lock()
	p.cancel = nil
	p.mu.Unlock()
	switch verdict {
	case authz.Allow:
		return a, !p.gone()
	case authz.Deny:
		p.front.count.Denied.Add(1)
		return protocol.ClientResponse{Status: protocol.StatusDenied}, false
	}
	if !p.gone() {
		p.front.count.Rejected.Add(1)
	}
	return protocol.ClientResponse{Status: protocol.StatusRejected, RetryAfter: advice}, false
}

// Known, Fits, Claim and Release are what a front of another protocol needs of this one: whether a ticket can be taken,
// and that no two under one id are open or were lately answered.
func (f *Server) KnowsClassAndPlan(q *protocol.Request) bool { return f.router.KnowsClassAndPlan(q) }

// WithinLimits tells whether a ticket's figures are such as the settings allow.
func (f *Server) WithinLimits(q *protocol.Request) bool { return f.router.WithinLimits(q) }

// ClaimRequestID notes the id of a ticket, unless it is known.
func (f *Server) ClaimRequestID(id string) bool { return f.ids.take(id) }

// ReleaseRequestID notes that its answer is out.
func (f *Server) ReleaseRequestID(id string) { f.ids.answered(id) }
