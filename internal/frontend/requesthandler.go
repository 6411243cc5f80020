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

// Authorization is the result of an authorizer's check of one request.
type Authorization struct {
	Verdict    authz.Verdict // Allow, Deny or Reject
	RetryAfter time.Duration // client's wait before a retry of a rejected request; 0 means no advice
}

// Authorizer checks requests. It is safe for concurrent use.
type Authorizer interface {
	// Check returns the result for the request. left is the time to the client's deadline. ctx is cancelled if the client
	// disconnects; the result is then not used.
	Check(ctx context.Context, request *protocol.Request, left time.Duration) Authorization
}

// RequestHandler handles the requests of one caller, one at a time. It checks each request with the authorizer, executes the
// attempts and returns the response. A caller is an HTTP connection or a call of another protocol. Any goroutine may call
// ClientGone. Only one goroutine at a time may call the other methods.
type RequestHandler struct {
	server    *Server
	attempts  *upstream.AttemptRunner
	request   *routing.Request
	inFlight  atomic.Bool // set while a request is in flight
	attempted bool        // set once an app server may have seen the current request

	mu           sync.Mutex         // guards the fields below
	disconnected bool               // set by ClientGone, cleared by Begin
	cancelCheck  context.CancelFunc // cancels the authorizer's check; nil while no check runs
}

// NewRequestHandler returns a handler for one caller, which must call Release in the end. hasClientClosed reports whether the
// caller's client has disconnected; it must not block.
func (s *Server) NewRequestHandler(hasClientClosed func() bool) *RequestHandler {
	h := &RequestHandler{server: s, attempts: upstream.NewAttemptRunner(s.pool, s.router, hasClientClosed)}
	h.request = s.router.NewRequest(h.attempts)
	return h
}

// Release releases the handler's resources in the Router. No request may be in flight.
func (h *RequestHandler) Release() { h.request.Release() }

// HeldMemory returns the bytes that the last response holds of the memory budget. Any goroutine may call it.
func (h *RequestHandler) HeldMemory() int64 { return h.attempts.HeldMemory() }

// ReleaseResponse frees the last response's body, once it was written.
func (h *RequestHandler) ReleaseResponse() { h.attempts.ReleaseResponse() }

// Begin prepares the handler for the next request. The caller calls Begin before Handle and before any ClientGone for that
// request.
func (h *RequestHandler) Begin() {
	h.attempted = false
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disconnected = false
}

// Forwarded reports whether an app server may have seen a part of the last request. It must not be called during Handle.
func (h *RequestHandler) Forwarded() bool { return h.attempted }

// ClientGone reports to the handler that the client of the request in flight has disconnected. It cancels the authorizer's
// check, reports the disconnect to the AttemptRunner and withdraws the request from the Router.
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

// Handle handles a request and returns the response. receivedAt is the time at which the request arrived. ok is false if
// the client disconnected, in which case there is no response. During a drain, Handle shortens the request's timeout to the drain's.
func (h *RequestHandler) Handle(request *protocol.Request, receivedAt time.Time) (response protocol.ClientResponse, ok bool) {
	counters := h.server.counters
	counters.Requests.Add(1)
	request.Timeout = min(request.Timeout, h.server.drainTimeLeft(receivedAt))
	if !h.inFlight.CompareAndSwap(false, true) {
		h.reportViolation(request, faultConcurrent)
	}
	defer h.inFlight.Store(false)
	if authorization := h.authorize(request, receivedAt); !authorization.passed {
		if h.isDisconnected() {
			counters.ClientsGone.Add(1)
			return protocol.ClientResponse{}, false
		}
		return authorization.response, true
	}
	h.attempts.Reset(request, receivedAt)
	h.request.Start(request, request.Timeout-time.Since(receivedAt))
	if h.isDisconnected() { // ClientGone may have been called before the Router knew of the request
		h.attempts.ClientGone()
		h.request.ClientGone()
	}
	response, end := h.executeDecisions(request)
	h.logEnd(request, end, receivedAt)
	return response, end.outcome != endClientGone
}

// endOutcome is the logged result of a request.
type endOutcome string

const (
	endCompleted  endOutcome = "completed"
	endRejected   endOutcome = "rejected"
	endFailed     endOutcome = "failed"
	endClientGone endOutcome = "client-gone"
)

// requestEnd describes the end of a request for the log.
type requestEnd struct {
	outcome  endOutcome
	reason   string // reason of the last decision; empty for Forward
	attempts int    // number of Forward decisions
}

// executeDecisions executes the Router's decisions until the request ends.
func (h *RequestHandler) executeDecisions(request *protocol.Request) (protocol.ClientResponse, requestEnd) {
	counters := h.server.counters
	var end requestEnd
	for {
		decision := h.request.Next()
		end.reason = decision.Reason
		switch decision.Action {
		case routing.Forward:
			end.attempts++
			h.attempted = true
			response, result := h.attempts.Run(decision, request)
			if result.Outcome == protocol.NotSent && h.attempts.CheckClient() == upstream.ClientDisconnected {
				// The attempt may detect the disconnect before the front end does.
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
				h.reportViolation(request, faultNoResponse)
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

// requestFault is the kind of violation of invariant.Starting. Its text is logged.
type requestFault string

const (
	faultConcurrent   requestFault = "another request in flight"
	faultNoResponse   requestFault = "ended without a response"
	faultLateResponse requestFault = "response past the deadline"
)

// reportViolation counts and logs a violation of invariant.Starting.
func (h *RequestHandler) reportViolation(request *protocol.Request, fault requestFault) {
	invariant.Violated(&h.server.counters.StartViolations, h.server.log, invariant.Starting).Str("fault", string(fault)).
		Str("request", request.ID).Msg(invariant.ViolatedMessage)
}

// authorizationResult is the result of authorize.
type authorizationResult struct {
	passed   bool                    // set if the request may be forwarded
	response protocol.ClientResponse // response to a request that did not pass; unused if the client disconnected
}

// authorize checks a request with the authorizer. Without an authorizer each request passes.
func (h *RequestHandler) authorize(request *protocol.Request, receivedAt time.Time) authorizationResult {
	if h.server.authorizer == nil {
		return authorizationResult{passed: true}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.setCancelCheck(cancel)
	authorization := h.server.authorizer.Check(ctx, request, request.Timeout-time.Since(receivedAt))
	h.setCancelCheck(nil)
	switch authorization.Verdict {
	case authz.Allow:
		return authorizationResult{passed: !h.isDisconnected()}
	case authz.Deny:
		h.server.counters.Denied.Add(1)
		return authorizationResult{response: protocol.ClientResponse{Status: protocol.StatusDenied}}
	}
	if !h.isDisconnected() {
		h.server.counters.Rejected.Add(1)
	}
	return authorizationResult{response: protocol.ClientResponse{Status: protocol.StatusRejected, RetryAfter: authorization.RetryAfter}}
}

// setCancelCheck sets the function with which ClientGone cancels the authorizer's check; nil removes it. If the client has
// already disconnected, setCancelCheck calls the function at once.
func (h *RequestHandler) setCancelCheck(cancel context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelCheck = cancel
	if cancel != nil && h.disconnected {
		cancel()
	}
}

// Front ends of other protocols check requests with the methods below, as clientConn.checkRequest does.

// KnowsClassAndPlan reports whether a request's class and plan are in the settings.
func (s *Server) KnowsClassAndPlan(request *protocol.Request) bool {
	return s.router.KnowsClassAndPlan(request)
}

// WithinLimits reports whether a request's units and node set are within the limits of the settings.
func (s *Server) WithinLimits(request *protocol.Request) bool { return s.router.WithinLimits(request) }

// IDClaim is the result of ClaimRequestID.
type IDClaim int

// The results of ClaimRequestID.
const (
	IDClaimed IDClaim = iota // the id is in flight now
	IDKnown                  // the id is in flight already, or its request was forwarded recently
	IDsFull                  // the node can't keep a further id for now; the client may retry
)

// ClaimRequestID marks a request's id as in flight, unless it is known or the node can't keep it. The caller releases a claimed id with
// ReleaseRequestID.
func (s *Server) ClaimRequestID(id string) IDClaim { return s.requestIDs.claim(id) }

// ReleaseRequestID ends a request that claimed its id. handler is the request's handler.
func (s *Server) ReleaseRequestID(id string, handler *RequestHandler) {
	s.requestIDs.release(id, handler.Forwarded())
}
