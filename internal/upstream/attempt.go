package upstream

import (
	"context"
	"sync"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// maxClientCheckAge is the maximum age of the last liveness check of a client when an attempt writes bytes for that client.
const maxClientCheckAge = maxStartAfterDisconnect / 10

// staleResetTimeout is the time after the last byte of a request within which a reset counts as that of a connection that
// was stale before the request.
const staleResetTimeout = 10 * time.Millisecond

// noAttempt is the number of no attempt.
const noAttempt = -1

// AttemptRunner runs the attempts of the requests of one client connection, one at a time.
//
// Reset, Run and CheckClient belong to one goroutine. Cancel, which the Router calls under its lock, and ClientGone may be
// called by any goroutine; both wake Run.
type AttemptRunner struct {
	pool         *Pool
	router       *routing.Router
	clientClosed func() bool // reports whether the client has disconnected by now
	body         []byte      // buffer of the last response's body, reused for the next
	requestID    string      // of the open request
	sendCheck    sendCheck   // of the current attempt

	mu              sync.Mutex         // guards all below
	current         int                // number of the current attempt, or noAttempt
	cancelled       int                // number of the last cancelled attempt, or noAttempt
	disconnected    bool               // the client disconnected: no attempt may start
	conn            *serverConn        // that the attempt writes to or reads from; nil while it dials
	cancelDial      context.CancelFunc // cancels the attempt's dial; nil without one
	written         bool               // the last byte of the attempt's request was written
	clientCheckedAt time.Time          // when the client was last known to be connected
}

// NewAttemptRunner makes the runner of one client connection. clientClosed reports whether the client has disconnected by
// now; it must not block.
func NewAttemptRunner(pool *Pool, router *routing.Router, clientClosed func() bool) *AttemptRunner {
	return &AttemptRunner{pool: pool, router: router, clientClosed: clientClosed}
}

// Reset prepares for the attempts of a request that was received at a time.
func (r *AttemptRunner) Reset(request *protocol.Request, receivedAt time.Time) {
	r.mu.Lock()
	r.current, r.cancelled, r.disconnected, r.clientCheckedAt = noAttempt, noAttempt, false, receivedAt
	r.mu.Unlock()
	r.body = netio.TrimBuffer(r.body)
	r.requestID = request.ID
	r.sendCheck = sendCheck{clientDeadline: receivedAt.Add(request.Timeout)}
}

// ClientState is the result of CheckClient.
type ClientState int

// The states.
const (
	ClientConnected ClientState = iota
	ClientDisconnected
)

// CheckClient returns whether the client is still connected. It checks the connection itself if the last check is older than
// maxClientCheckAge: after a pause of the process a response or timer may wake the attempt before the connection's reader
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
	if r.clientClosed() {
		r.ClientGone()
		return ClientDisconnected
	}
	r.mu.Lock()
	r.clientCheckedAt = now
	r.mu.Unlock()
	return ClientConnected
}

func (r *AttemptRunner) lastClientCheck() clientLiveness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clientLiveness{checkedAt: r.clientCheckedAt, disconnected: r.disconnected}
}

// Cancel cancels an attempt by its number. It does not block: it ends the attempt's wait, and Run closes the connection.
func (r *AttemptRunner) Cancel(attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = attempt
	if attempt != r.current {
		return
	}
	if r.cancelDial != nil {
		r.cancelDial()
	}
	if r.conn != nil {
		netio.SetDeadline(r.conn.conn, netio.PastDeadline)
	}
}

// ClientGone reports to the runner that the client disconnected. No further attempt starts. An attempt that dials or writes
// ends, because the server has not executed it. A completely written attempt goes on, unless the Router cancels it.
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

// begin makes an attempt the current one, on a connection or with a dial. It returns false if the attempt was cancelled or
// its client disconnected.
func (r *AttemptRunner) begin(attempt int, conn *serverConn, cancelDial context.CancelFunc) bool {
	if r.CheckClient() == ClientDisconnected {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled == attempt || r.disconnected {
		return false
	}
	r.current, r.conn, r.cancelDial, r.written = attempt, conn, cancelDial, false
	return true
}

// interruption says why an attempt may have ended early.
type interruption struct {
	cancelled    bool // by the Router
	disconnected bool // the client disconnected
}

func (i interruption) any() bool { return i.cancelled || i.disconnected }

// end detaches the current attempt from its connection or dial, so that neither Cancel nor ClientGone affects them any more.
func (r *AttemptRunner) detach() interruption {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn, r.cancelDial = nil, nil
	return r.interruptionLocked()
}

// interruptionLocked returns the interruption of the current attempt. There must be one.
func (r *AttemptRunner) interruptionLocked() interruption {
	return interruption{cancelled: r.cancelled == r.current, disconnected: r.disconnected}
}

// Run runs the attempt that the Router decided on. The response's body is valid until the next Run.
func (r *AttemptRunner) Run(decision routing.Decision, request *protocol.Request) (protocol.ServerResponse, routing.AttemptResult) {
	startedAt := time.Now()
	r.sendCheck.finishBy = decision.FinishBy
	response := r.sendAndReceive(decision, request, netio.Earlier(startedAt.Add(decision.Timeout), r.sendCheck.clientDeadline))
	r.pool.counters.AttemptOutcomes[response.Outcome].Add(1)
	took := time.Since(startedAt)
	r.logEnd(decision, response.Outcome, took)
	return response, routing.AttemptResult{Outcome: response.Outcome, Duration: took, Units: response.Units}
}

// logEnd logs the end of an attempt, at level debug.
func (r *AttemptRunner) logEnd(decision routing.Decision, outcome protocol.Outcome, took time.Duration) {
	event := r.pool.log.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", r.requestID).Int("attempt", decision.Attempt).Stringer("server", decision.Server.Addr).
		Stringer("outcome", outcome).Dur("attempt_timeout_ms", r.sendCheck.attemptTimeout).Dur("timeout_ms", decision.Timeout).
		Dur("took_ms", took).Msg("attempt ended")
}

func (r *AttemptRunner) sendAndReceive(decision routing.Decision, request *protocol.Request, deadline time.Time) protocol.ServerResponse {
	sent := r.send(decision, request, deadline)
	if sent.conn == nil {
		return protocol.ServerResponse{Outcome: sent.outcome}
	}
	r.pool.counters.Attempts.Add(1)
	sent.conn.requests++
	return r.receive(sent.conn)
}

// failedOutcomes are the outcomes of attempts whose response could not be read, by the reason of the connection's close.
var failedOutcomes = map[netio.CloseReason]protocol.Outcome{
	netio.ReasonServerMalformed: protocol.MalformedResponse,
	netio.ReasonServerTimeout:   protocol.TimedOut,
	netio.ReasonServerReset:     protocol.ConnectionReset,
}

// receive reads the response to a request that was written completely, and puts the connection back or closes it.
func (r *AttemptRunner) receive(conn *serverConn) protocol.ServerResponse {
	sentAt, filledBefore := time.Now(), conn.in.Filled()
	response, err := conn.readResponse(r.body)
	if response.Body != nil {
		r.body = response.Body
	}
	cancelled := r.detach().cancelled
	reason := conn.closeReason(response, err)
	switch {
	case reason == reusable:
		r.pool.put(conn)
		return response
	case err == nil: // complete, but the connection's last
	case cancelled:
		reason = netio.ReasonAttemptCancelled
		response = protocol.ServerResponse{Outcome: protocol.Cancelled}
	default:
		response = protocol.ServerResponse{Outcome: failedOutcomes[reason]}
		stale := reason == netio.ReasonServerReset && conn.requests > 1 && conn.in.Filled() == filledBefore
		if stale && time.Since(sentAt) < staleResetTimeout {
			r.pool.reduceIdleLimit(sentAt.Sub(conn.idleSince))
		}
	}
	r.pool.close(conn, reason)
	return response
}
