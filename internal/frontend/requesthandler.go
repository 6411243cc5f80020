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

// Authorization is an authorizer's answer to one request.
type Authorization struct {
	Verdict    authz.Verdict // Allow, Deny or Reject
	RetryAfter time.Duration // of a rejected request; 0: none
}

// Authorizer checks requests. It is safe for concurrent use.
type Authorizer interface {
	// Check returns the final answer. left is the time to the client's deadline. ctx ends if the client disconnects; the
	// answer is then not used.
	Check(ctx context.Context, request *protocol.Request, left time.Duration) Authorization
}

// RequestHandler takes the requests of one caller, one at a time, through the authorizer and attempts to their responses. A
// caller is an HTTP connection or a call of another protocol. ClientGone may be called by any goroutine; the other methods
// belong to the caller's.
type RequestHandler struct {
	server   *Server
	attempts *upstream.AttemptRunner
	request  *routing.Request
	open     atomic.Bool // a request is in flight

	mu           sync.Mutex         // guards both below
	disconnected bool               // the client disconnected
	cancelCheck  context.CancelFunc // cancels the authorizer's check; nil without one
}

// NewRequestHandler makes a handler for one caller, which calls Release in the end. peerClosed reports whether the caller's
// client has disconnected by now; it must not block.
func (s *Server) NewRequestHandler(peerClosed func() bool) *RequestHandler {
	h := &RequestHandler{server: s, attempts: upstream.NewAttemptRunner(s.pool, s.router, peerClosed)}
	h.request = s.router.NewRequest(h.attempts)
	return h
}

// Release releases the handler's resources in the Router. No request may be in flight.
func (h *RequestHandler) Release() { h.request.Release() }

// Begin prepares for the next request. It comes before Handle and before any ClientGone for that request.
func (h *RequestHandler) Begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disconnected = false
}

// ClientGone reports to the handler that the client of the request in flight disconnected. It cancels the authorizer's check
// and withdraws the request from the Router.
func (h *RequestHandler) ClientGone() {
	h.setDisconnected()
	h.attempts.ClientGone()
	h.request.ClientGone()
}

func (h *RequestHandler) setDisconnected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disconnected = true
	if h.cancelCheck != nil {
		h.cancelCheck()
	}
}

// isDisconnected reports whether ClientGone was called for the request in flight.
func (h *RequestHandler) isDisconnected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disconnected
}

// Handle takes a request that was received at a time to its response. ok is false if the client disconnected: then there is
// no response.
func (h *RequestHandler) Handle(request *protocol.Request, receivedAt time.Time) (response protocol.ClientResponse, ok bool) {
	counters := h.server.counters
	counters.Requests.Add(1)
	if !h.open.CompareAndSwap(false, true) {
		h.violated(request, faultConcurrent)
	}
	defer h.open.Store(false)
	if check := h.authorize(request, receivedAt); !check.passed {
		if h.isDisconnected() {
			counters.ClientsGone.Add(1)
			return protocol.ClientResponse{}, false
		}
		return check.response, true
	}
	h.attempts.Reset(request, receivedAt)
	h.request.Start(request, request.Timeout-time.Since(receivedAt))
	if h.isDisconnected() { // ClientGone came before the Router knew of the request
		h.attempts.ClientGone()
		h.request.ClientGone()
	}
	response, end := h.attemptUntilEnd(request)
	h.logEnd(request, end, receivedAt)
	return response, end.outcome != endClientGone
}

// endOutcome is the result of a request, as it is logged.
type endOutcome string

const (
	endCompleted  endOutcome = "completed"
	endRejected   endOutcome = "rejected"
	endFailed     endOutcome = "failed"
	endClientGone endOutcome = "client-gone"
)

// requestEnd is the end of a request.
type requestEnd struct {
	outcome  endOutcome
	reason   string // of the last decision; empty for a forwarded request
	attempts int    // number of Forward decisions
}

// attemptUntilEnd executes the Router's decisions until the request ends.
func (h *RequestHandler) attemptUntilEnd(request *protocol.Request) (protocol.ClientResponse, requestEnd) {
	counters := h.server.counters
	var end requestEnd
	for {
		decision := h.request.Next()
		end.reason = decision.Reason
		switch decision.Action {
		case routing.Forward:
			end.attempts++
			response, result := h.attempts.Run(decision, request)
			if result.Outcome == protocol.NotSent && h.attempts.CheckClient() == upstream.ClientDisconnected {
				// The attempt may notice the disconnect before the front end does.
				h.ClientGone()
			}
			h.request.Report(result)
			if result.Outcome == protocol.Completed {
				counters.Completed.Add(1)
				end.outcome = endCompleted
				return protocol.ClientResponse{Status: protocol.StatusCompleted, ContentType: response.ContentType, Body: response.Body}, end
			}
		case routing.Reject:
			counters.Rejected.Add(1)
			end.outcome = endRejected
			return protocol.ClientResponse{Status: protocol.StatusRejected, RetryAfter: decision.RetryAfter}, end
		case routing.Fail:
			counters.Failed.Add(1)
			end.outcome = endFailed
			return protocol.ClientResponse{Status: protocol.StatusFailed}, end
		default: // routing.Abandon
			counters.ClientsGone.Add(1)
			if !h.isDisconnected() {
				h.violated(request, faultNoResponse)
			}
			end.outcome = endClientGone
			return protocol.ClientResponse{}, end
		}
	}
}

// logEnd logs the end of a request, at level debug.
func (h *RequestHandler) logEnd(request *protocol.Request, end requestEnd, receivedAt time.Time) {
	event := h.server.log.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", request.ID).Str("class", request.Class).Str("end", string(end.outcome)).Str("reason", end.reason).
		Int("attempts", end.attempts).Dur("timeout_ms", request.Timeout).Dur("took_ms", time.Since(receivedAt)).Msg("request ended")
}

// requestFault is the way in which a request violated invariant.Starting, as it is logged.
type requestFault string

const (
	faultConcurrent   requestFault = "another request in flight"
	faultNoResponse   requestFault = "ended without a response"
	faultLateResponse requestFault = "response past the deadline"
)

// violated counts and logs a violation of invariant.Starting.
func (h *RequestHandler) violated(request *protocol.Request, fault requestFault) {
	invariant.Violated(&h.server.counters.StartViolations, h.server.log, invariant.Starting).Str("fault", string(fault)).
		Str("request", request.ID).Msg(invariant.ViolatedMessage)
}

// authorizationCheck is the result of authorize.
type authorizationCheck struct {
	passed   bool                    // the request may be forwarded
	response protocol.ClientResponse // otherwise, unless the client disconnected
}

// authorize checks a request with the authorizer, if there is one.
func (h *RequestHandler) authorize(request *protocol.Request, receivedAt time.Time) authorizationCheck {
	if h.server.authorizer == nil {
		return authorizationCheck{passed: true}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.setCancelCheck(cancel)
	authorization := h.server.authorizer.Check(ctx, request, request.Timeout-time.Since(receivedAt))
	h.setCancelCheck(nil)
	switch authorization.Verdict {
	case authz.Allow:
		return authorizationCheck{passed: !h.isDisconnected()}
	case authz.Deny:
		h.server.counters.Denied.Add(1)
		return authorizationCheck{response: protocol.ClientResponse{Status: protocol.StatusDenied}}
	}
	if !h.isDisconnected() {
		h.server.counters.Rejected.Add(1)
	}
	return authorizationCheck{response: protocol.ClientResponse{Status: protocol.StatusRejected, RetryAfter: authorization.RetryAfter}}
}

// setCancelCheck sets the function that ClientGone calls, and calls it at once if the client has disconnected. nil: none.
func (h *RequestHandler) setCancelCheck(cancel context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelCheck = cancel
	if cancel != nil && h.disconnected {
		cancel()
	}
}

// Front ends of other protocols check requests by the methods below, as clientConn.checkRequest does.

// KnowsClassAndPlan reports whether a request's class and plan are in the settings.
func (s *Server) KnowsClassAndPlan(request *protocol.Request) bool {
	return s.router.KnowsClassAndPlan(request)
}

// WithinLimits reports whether a request's units and node set are within the limits of the settings.
func (s *Server) WithinLimits(request *protocol.Request) bool { return s.router.WithinLimits(request) }

// ClaimRequestID marks a request's id as in flight, and reports whether it was unknown. The caller releases it with
// ReleaseRequestID.
func (s *Server) ClaimRequestID(id string) bool { return s.requestIDs.claim(id) }

// ReleaseRequestID marks a request's id as answered.
func (s *Server) ReleaseRequestID(id string) { s.requestIDs.release(id) }
