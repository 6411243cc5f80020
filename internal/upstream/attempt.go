package upstream

import (
	"context"
	"sync"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// maxClientCheckAge is the maximum age of a client's last liveness check when an attempt writes bytes for that client.
const maxClientCheckAge = maxStartAfterDisconnect / 10

// staleResetTimeout is the time after a request's last byte within which a reset means that the connection was stale before
// the request.
const staleResetTimeout = 10 * time.Millisecond

// noAttempt is the attempt number that stands for the absence of an attempt.
const noAttempt = -1

// AttemptRunner runs the attempts of the requests of one client connection, one at a time.
//
// One goroutine calls Reset, Run and CheckClient. Any goroutine may call Cancel and ClientGone; both wake Run. The Router
// calls Cancel under its lock.
type AttemptRunner struct {
	pool            *Pool
	router          *routing.Router
	hasClientClosed func() bool // reports whether the client has disconnected
	body            []byte      // buffer of the last response's body, reused for the next response
	memory          responseMemory
	requestID       string    // id of the current request
	sendCheck       sendCheck // state of the invariant check for the current attempt

	mu               sync.Mutex         // guards all fields below
	currentAttempt   int                // number of the current attempt, or noAttempt
	cancelledAttempt int                // number of the last cancelled attempt, or noAttempt
	disconnected     bool               // true once the client disconnected; no attempt may start then
	conn             *serverConn        // connection of the current attempt; nil during a dial and after detach
	cancelDial       context.CancelFunc // cancels the current attempt's dial; nil if there is no dial
	written          bool               // true once the last byte of the current attempt's request was written
	clientCheckedAt  time.Time          // last time at which the client was known to be connected
}

// NewAttemptRunner returns the runner for one client connection. hasClientClosed reports whether the client has disconnected;
// it must not block.
func NewAttemptRunner(pool *Pool, router *routing.Router, hasClientClosed func() bool) *AttemptRunner {
	r := &AttemptRunner{pool: pool, router: router, hasClientClosed: hasClientClosed}
	r.memory.open(r)
	return r
}

// Reset prepares the runner for the attempts of a request that arrived at receivedAt.
func (r *AttemptRunner) Reset(request *protocol.Request, receivedAt time.Time) {
	r.mu.Lock()
	r.currentAttempt, r.cancelledAttempt, r.disconnected, r.clientCheckedAt = noAttempt, noAttempt, false, receivedAt
	r.mu.Unlock()
	r.ReleaseResponse()
	r.requestID = request.ID
	r.sendCheck = sendCheck{clientDeadline: receivedAt.Add(request.Timeout)}
}

// ClientState is the result of CheckClient.
type ClientState int

// The possible client states.
const (
	ClientConnected ClientState = iota
	ClientDisconnected
)

// CheckClient returns whether the client is still connected. It probes the connection if the last check is older than
// maxClientCheckAge. After a pause of the process, a response or timer may wake the attempt before the connection's reader
// has seen the close.
func (r *AttemptRunner) CheckClient() ClientState {
	client := r.lastClientCheck()
	switch {
	case client.disconnected:
		return ClientDisconnected
	case time.Since(client.checkedAt) < maxClientCheckAge:
		return ClientConnected
	}
	now := time.Now()
	if r.hasClientClosed() {
		r.ClientGone()
		return ClientDisconnected
	}
	r.mu.Lock()
	r.clientCheckedAt = now
	r.mu.Unlock()
	return ClientConnected
}

// lastClientCheck returns the result of the last liveness check, without a new one.
func (r *AttemptRunner) lastClientCheck() clientLiveness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clientLiveness{checkedAt: r.clientCheckedAt, disconnected: r.disconnected}
}

// Cancel cancels the attempt with the given number. It only ends the attempt's wait and does not block; Run closes the
// connection.
func (r *AttemptRunner) Cancel(attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelledAttempt = attempt
	if attempt != r.currentAttempt {
		return
	}
	if r.cancelDial != nil {
		r.cancelDial()
	}
	if r.conn != nil {
		netio.SetDeadline(r.conn.conn, netio.PastDeadline)
	}
}

// ClientGone reports to the runner that the client disconnected. No further attempt starts. An attempt that is dialling or writing
// ends, because the server has not executed it. An attempt that was written completely continues unless the Router cancels
// it.
func (r *AttemptRunner) ClientGone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = true
	if r.cancelDial != nil {
		r.cancelDial()
	}
	if r.conn != nil && !r.written {
		netio.SetDeadline(r.conn.conn, netio.PastDeadline)
	}
}

// begin makes an attempt the current one. Exactly one of conn and cancelDial is set. It returns false if the attempt was
// cancelled or the client disconnected.
func (r *AttemptRunner) begin(attempt int, conn *serverConn, cancelDial context.CancelFunc) bool {
	if r.CheckClient() == ClientDisconnected {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelledAttempt == attempt || r.disconnected {
		return false
	}
	r.currentAttempt, r.conn, r.cancelDial, r.written = attempt, conn, cancelDial, false
	return true
}

// interruption is the reason why an attempt may have ended early.
type interruption struct {
	cancelled    bool // true if the Router cancelled the attempt
	disconnected bool // true if the client disconnected
}

func (i interruption) any() bool { return i.cancelled || i.disconnected }

// detach separates the current attempt from its connection or dial, so that Cancel and ClientGone no longer affect them. It
// returns the interruptions up to now.
func (r *AttemptRunner) detach() interruption {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn, r.cancelDial = nil, nil
	return r.interruptionLocked()
}

// interruptionLocked returns the interruption of the current attempt, which must exist. The caller holds mu.
func (r *AttemptRunner) interruptionLocked() interruption {
	return interruption{cancelled: r.cancelledAttempt == r.currentAttempt, disconnected: r.disconnected}
}

// Run executes the attempt that the Router decided on. The response's body is valid until the next call of Run.
func (r *AttemptRunner) Run(decision routing.Decision, request *protocol.Request) (protocol.ServerResponse, routing.AttemptResult) {
	startedAt := time.Now()
	r.sendCheck.finishBy = decision.FinishBy
	response := r.sendAndReceive(decision, request, netio.Earlier(startedAt.Add(decision.Timeout), r.sendCheck.clientDeadline))
	r.pool.counters.AttemptOutcomes[response.Outcome].Add(1)
	took := time.Since(startedAt)
	r.logEnd(decision, response.Outcome, took)
	return response, routing.AttemptResult{Outcome: response.Outcome, Duration: took, Units: response.Units}
}

// logEnd logs the end of an attempt at debug level.
func (r *AttemptRunner) logEnd(decision routing.Decision, outcome protocol.Outcome, took time.Duration) {
	event := r.pool.log.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", r.requestID).Int("attempt", decision.Attempt).Stringer("server", decision.Server.Addr).
		Stringer("outcome", outcome).Dur("attempt_timeout_ms", r.sendCheck.attemptTimeout).Dur("timeout_ms", decision.Timeout).
		Dur("took_ms", took).Msg("attempt ended")
}

// sendAndReceive sends the request and reads the response. It counts the attempt if the request was written completely.
func (r *AttemptRunner) sendAndReceive(decision routing.Decision, request *protocol.Request, deadline time.Time) protocol.ServerResponse {
	sent := r.send(decision, request, deadline)
	if sent.conn == nil {
		return protocol.ServerResponse{Outcome: sent.outcome}
	}
	r.pool.counters.Attempts.Add(1)
	sent.conn.requestCount++
	r.memory.deadline, r.memory.exhausted = deadline, false
	return r.receive(sent.conn, request.Method)
}

// failedOutcomes maps the close reason of a connection whose response could not be read to the attempt's outcome.
var failedOutcomes = map[netio.CloseReason]protocol.Outcome{
	netio.ReasonServerMalformed: protocol.MalformedResponse,
	netio.ReasonServerTimeout:   protocol.TimedOut,
	netio.ReasonServerReset:     protocol.ConnectionReset,
	netio.ReasonOverMemory:      protocol.TimedOut, // the memory was awaited until the attempt's deadline
}

// receive reads the response to a request with the given method that was written completely. It then returns the connection to the pool or closes
// it.
func (r *AttemptRunner) receive(conn *serverConn, method string) protocol.ServerResponse {
	sentAt, filledBefore := time.Now(), conn.readBuffer.Filled()
	response, err := conn.readResponse(method, r.body, &r.memory)
	if response.Body != nil {
		r.body = response.Body
	}
	cancelled := r.detach().cancelled
	reason := conn.closeReason(response, err)
	if err != nil && r.memory.exhausted {
		reason = netio.ReasonOverMemory
	}
	switch {
	case reason == reusable:
		r.pool.put(conn)
		return response
	case err == nil: // The response is complete, but the connection can't be reused.
	case cancelled:
		reason = netio.ReasonAttemptCancelled
		response = protocol.ServerResponse{Outcome: protocol.Cancelled}
	default:
		response = protocol.ServerResponse{Outcome: failedOutcomes[reason]}
		stale := reason == netio.ReasonServerReset && conn.requestCount > 1 && conn.readBuffer.Filled() == filledBefore
		if stale && time.Since(sentAt) < staleResetTimeout {
			r.pool.reduceIdleLimit(sentAt.Sub(conn.idleSince))
		}
	}
	r.pool.close(conn, reason)
	return response
}
