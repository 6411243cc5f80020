package frontend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/invariant"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/upstream"
)

// Authorizer asks an outside authorizer about requests.
type Authorizer interface {
	// Check returns once the verdict is final, or ctx has ended as the client disconnected. left is how long the client
	// still waits. The duration is the Retry-After of a request that is rejected, 0 for none.
	Check(ctx context.Context, request *protocol.Request, left time.Duration) (authz.Verdict, time.Duration)
}

// RequestHandler takes one caller's requests, one at a time, through the authorizer and attempts to their responses,
// whatever protocol they came by. ClientGone may be called by any goroutine; all else belongs to the caller's.
type RequestHandler struct {
	server   *Server
	attempts *upstream.AttemptRunner
	request  *routing.Request
	open     atomic.Bool // a request is being handled

	mu          sync.Mutex         // guards both below
	clientLeft  bool               // the client disconnected
	cancelCheck context.CancelFunc // of the authorizer's check under way, or nil
}

// NewRequestHandler makes a handler for one caller, which Release is to end. peerClosed looks whether the caller has
// disconnected by now; it must not block.
func (s *Server) NewRequestHandler(peerClosed func() bool) *RequestHandler {
	h := &RequestHandler{server: s, attempts: upstream.NewAttemptRunner(s.pool, s.router, peerClosed)}
	h.request = s.router.NewRequest(h.attempts)
	return h
}

// Release gives up what the handler holds of the Router; no request may be open.
func (h *RequestHandler) Release() { h.request.Release() }

// Begin readies for the next request, before Handle and any ClientGone of it.
func (h *RequestHandler) Begin() {
	h.mu.Lock()
	h.clientLeft = false
	h.mu.Unlock()
}

// ClientGone tells that the client disconnected: a check is given up, an attempt cancelled.
func (h *RequestHandler) ClientGone() {
	h.mu.Lock()
	h.clientLeft = true
	if h.cancelCheck != nil {
		h.cancelCheck()
	}
	h.mu.Unlock()
	h.attempts.Stop()
	h.request.ClientGone()
}

func (h *RequestHandler) clientGone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clientLeft
}

// Handle takes a request that came at a time to its response; owed is false once the client has disconnected: it gets none.
func (h *RequestHandler) Handle(request *protocol.Request, receivedAt time.Time) (response protocol.ClientResponse, owed bool) {
	counters := h.server.counters
	counters.Requests.Add(1)
	if !h.open.CompareAndSwap(false, true) {
		h.violated(request, "begun while another was open")
	}
	defer h.open.Store(false)
	if refusal, passes := h.authorize(request, receivedAt); !passes {
		if h.clientGone() {
			counters.ClientsGone.Add(1)
			return response, false
		}
		return refusal, true
	}
	h.attempts.Reset(request, receivedAt)
	h.request.Start(request, request.Timeout-time.Since(receivedAt))
	if h.clientGone() { // before the Router knew of the request
		h.attempts.Stop()
		h.request.ClientGone()
	}
	response, end := h.attemptUntilEnd(request)
	h.logEnd(request, end, receivedAt)
	return response, end.outcome != endClientGone
}

// endOutcome is what became of a request.
type endOutcome string

const (
	endCompleted  endOutcome = "completed"
	endRejected   endOutcome = "rejected"
	endFailed     endOutcome = "failed"
	endClientGone endOutcome = "client-gone"
)

// requestEnd is how a request ended, and why it was not completed where the engine says so.
type requestEnd struct {
	outcome  endOutcome
	reason   string
	attempts int // that were decided on
}

// attemptUntilEnd carries out what the Router decides until the request's end.
func (h *RequestHandler) attemptUntilEnd(request *protocol.Request) (response protocol.ClientResponse, end requestEnd) {
	counters := h.server.counters
	for {
		decision := h.request.Next()
		end.reason = decision.Reason
		switch decision.Action {
		case routing.Forward:
			end.attempts++
			reply, result := h.attempts.Run(decision, request)
			if result.Outcome == protocol.NotSent && h.attempts.ClientGone() { // it may have seen so before serve has
				h.ClientGone()
			}
			h.request.Report(result)
			if result.Outcome == protocol.Completed {
				counters.Completed.Add(1)
				end.outcome = endCompleted
				return protocol.ClientResponse{Status: protocol.StatusCompleted, ContentType: reply.ContentType, Body: reply.Body}, end
			}
		case routing.Reject:
			counters.Rejected.Add(1)
			end.outcome = endRejected
			return protocol.ClientResponse{Status: protocol.StatusRejected, RetryAfter: decision.RetryAfter}, end
		case routing.Fail:
			counters.Failed.Add(1)
			end.outcome = endFailed
			return protocol.ClientResponse{Status: protocol.StatusFailed}, end
		default:
			counters.ClientsGone.Add(1)
			if !h.clientGone() {
				h.violated(request, "ended without an answer")
			}
			end.outcome = endClientGone
			return response, end
		}
	}
}

// logEnd writes a request's line, where the log's level has it.
func (h *RequestHandler) logEnd(request *protocol.Request, end requestEnd, receivedAt time.Time) {
	event := h.server.log.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", request.ID).Str("class", request.Class).Str("end", string(end.outcome)).Str("reason", end.reason).
		Int("attempts", end.attempts).Dur("timeout_ms", request.Timeout).Dur("took_ms", time.Since(receivedAt)).Msg("request ended")
}

// violated counts a promise on a request's start and end that was broken.
func (h *RequestHandler) violated(request *protocol.Request, fault string) {
	invariant.Violated(&h.server.counters.StartViolations, h.server.log, invariant.Starting).Str("fault", fault).Str("request", request.ID).Msg(invariant.ViolatedMessage)
}

// authorize reports whether a request may be forwarded, or else returns its response.
func (h *RequestHandler) authorize(request *protocol.Request, receivedAt time.Time) (refusal protocol.ClientResponse, passes bool) {
	if h.server.authorizer == nil {
		return refusal, true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.mu.Lock()
	h.cancelCheck = cancel
	if h.clientLeft {
		cancel()
	}
	h.mu.Unlock()
	verdict, retryAfter := h.server.authorizer.Check(ctx, request, request.Timeout-time.Since(receivedAt))
	h.mu.Lock()
	h.cancelCheck = nil
	h.mu.Unlock()
	switch verdict {
	case authz.Allow:
		return refusal, !h.clientGone()
	case authz.Deny:
		h.server.counters.Denied.Add(1)
		return protocol.ClientResponse{Status: protocol.StatusDenied}, false
	}
	if !h.clientGone() {
		h.server.counters.Rejected.Add(1)
	}
	return protocol.ClientResponse{Status: protocol.StatusRejected, RetryAfter: retryAfter}, false
}

// A front end of another protocol needs what follows: whether a request can be taken, and that no two under one id are
// open or were lately answered.

// KnowsClassAndPlan reports whether a request's class and plan are in the settings.
func (s *Server) KnowsClassAndPlan(request *protocol.Request) bool {
	return s.router.KnowsClassAndPlan(request)
}

// WithinLimits reports whether a request's figures are such as the settings allow.
func (s *Server) WithinLimits(request *protocol.Request) bool { return s.router.WithinLimits(request) }

// ClaimRequestID notes the id of a request as open and reports whether it was unknown.
func (s *Server) ClaimRequestID(id string) bool { return s.requestIDs.claim(id) }

// ReleaseRequestID notes that a request was answered.
func (s *Server) ReleaseRequestID(id string) { s.requestIDs.release(id) }
