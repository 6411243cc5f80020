package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"cherrygap/internal/invariant"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// maxClientCheckAge is the maximum age of the client's liveness check where bytes are sent for the client. It is a tenth of
// maxStartAfterDisconnect.
const maxClientCheckAge = 10 * time.Millisecond

// staleResetTimeout is how soon after a complete request a reset shows that the connection was stale before.
const staleResetTimeout = 10 * time.Millisecond

// maxNewConns bounds the new connections of one attempt. A connection that breaks before the last byte leaves the attempt
// unexecuted, so that another may be used.
const maxNewConns = 2

// noAttempt is the number of no attempt.
const noAttempt = -1

// AttemptRunner runs the attempts of the requests of one client connection, one at a time.
//
// Reset and Run belong to one goroutine. ClientGone may be called between attempts. Cancel, which the Router calls under its
// lock, and Stop may be called by any goroutine; both wake Run.
type AttemptRunner struct {
	pool       *Pool
	router     *routing.Router
	peerClosed func() bool // reports whether the client has disconnected by now
	body       []byte      // buffer of the last response's body, reused for the next
	requestID  string      // of the open request
	check      sendCheck   // of the current attempt

	mu              sync.Mutex         // guards all below
	current         int                // number of the current attempt, or noAttempt
	cancelled       int                // number of the last cancelled attempt, or noAttempt
	clientLeft      bool               // the client disconnected: no attempt may start
	conn            *serverConn        // that the attempt writes to or reads from; nil while it dials
	cancelDial      context.CancelFunc // cancels the attempt's dial; nil without one
	written         bool               // the last byte of the attempt's request was written
	clientCheckedAt time.Time          // when the client was last known to be connected
}

// NewAttemptRunner makes the runner of one client connection. peerClosed reports whether the client has disconnected by
// now; it must not block.
func NewAttemptRunner(pool *Pool, router *routing.Router, peerClosed func() bool) *AttemptRunner {
	return &AttemptRunner{pool: pool, router: router, peerClosed: peerClosed}
}

// Reset prepares for the attempts of a request that was received at a time.
func (r *AttemptRunner) Reset(request *protocol.Request, receivedAt time.Time) {
	r.mu.Lock()
	r.current, r.cancelled, r.clientLeft, r.clientCheckedAt = noAttempt, noAttempt, false, receivedAt
	r.mu.Unlock()
	r.body = netio.TrimBuffer(r.body)
	r.requestID = request.ID
	r.check = sendCheck{clientDeadline: receivedAt.Add(request.Timeout)}
}

// ClientGone reports whether the client has disconnected. It checks the connection itself if the last check is older than
// maxClientCheckAge: after a pause of the process a response or timer may wake the attempt before the connection's reader
// has seen the close.
func (r *AttemptRunner) ClientGone() bool {
	client := r.lastClientCheck()
	if client.disconnected || time.Since(client.checkedAt) < maxClientCheckAge {
		return client.disconnected
	}
	now := time.Now()
	if r.peerClosed() {
		r.Stop()
		return true
	}
	r.mu.Lock()
	r.clientCheckedAt = now
	r.mu.Unlock()
	return false
}

func (r *AttemptRunner) lastClientCheck() clientLiveness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clientLiveness{checkedAt: r.clientCheckedAt, disconnected: r.clientLeft}
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

// Stop notes that the client disconnected. No further attempt starts. An attempt that dials or writes ends, as the server
// has not executed it. One that is written goes on until the Router cancels it, where the settings allow that.
func (r *AttemptRunner) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clientLeft = true
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
	if r.ClientGone() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled == attempt || r.clientLeft {
		return false
	}
	r.current, r.conn, r.cancelDial, r.written = attempt, conn, cancelDial, false
	return true
}

// interruption says why an attempt may have ended early.
type interruption struct {
	cancelled  bool // by the Router
	clientLeft bool // the client disconnected
}

func (i interruption) any() bool { return i.cancelled || i.clientLeft }

// end detaches the current attempt from its connection or dial, so that neither Cancel nor Stop affects them any more.
func (r *AttemptRunner) end() interruption {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn, r.cancelDial = nil, nil
	return r.interruptionLocked()
}

func (r *AttemptRunner) interruptionLocked() interruption {
	return interruption{cancelled: r.cancelled == r.current, clientLeft: r.clientLeft}
}

// Run runs the attempt that the Router decided on. The response's body is valid until the next Run.
func (r *AttemptRunner) Run(decision routing.Decision, request *protocol.Request) (protocol.ServerResponse, routing.AttemptResult) {
	startedAt := time.Now()
	r.check.finishBy = decision.FinishBy
	response := r.attempt(decision, request, netio.Earlier(startedAt.Add(decision.Timeout), r.check.clientDeadline))
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
		Stringer("outcome", outcome).Dur("attempt_timeout_ms", r.check.attemptTimeout).Dur("timeout_ms", decision.Timeout).
		Dur("took_ms", took).Msg("attempt ended")
}

func (r *AttemptRunner) attempt(decision routing.Decision, request *protocol.Request, deadline time.Time) protocol.ServerResponse {
	sent := r.send(decision, request, deadline)
	if sent.conn == nil {
		return protocol.ServerResponse{Outcome: sent.outcome}
	}
	r.pool.counters.Attempts.Add(1)
	sent.conn.requests++
	return r.receive(sent.conn)
}

// sendResult is the result of connecting to a server or of sending a request.
type sendResult struct {
	conn    *serverConn      // nil if the attempt ended
	outcome protocol.Outcome // of an attempt that ended
}

// send writes the request to the decision's server. If a connection breaks before the last byte it uses another one.
func (r *AttemptRunner) send(decision routing.Decision, request *protocol.Request, deadline time.Time) sendResult {
	connectBy := netio.Earlier(deadline, time.Now().Add(r.pool.limits.ConnectTimeout))
	for newConns := 0; ; {
		connected := r.connect(decision, deadline, connectBy)
		conn := connected.conn
		if conn == nil {
			return connected
		}
		if conn.requests == 0 {
			newConns++
		}
		r.check.timeoutSetAt = time.Now()
		r.check.attemptTimeout = deadline.Sub(r.check.timeoutSetAt)
		conn.out.Commit(protocol.AppendAttempt(conn.out.AvailableBuffer(), request, r.check.attemptTimeout))
		conn.out.Append(request.Body)
		fault := r.writeRequest(conn, deadline)
		if fault == writeComplete {
			r.checkSent(decision)
			return connected
		}
		if abandoned := r.abandon(conn, fault, newConns); !abandoned.reconnect {
			return sendResult{outcome: abandoned.outcome}
		}
	}
}

// connect returns a connection to the decision's server, idle or new. All dials of an attempt end by connectBy: a retry of
// a keyed request has to finish within a window, and the decision reserves the time of one dial for that.
func (r *AttemptRunner) connect(decision routing.Decision, deadline, connectBy time.Time) sendResult {
	conn := r.pool.get(decision.Server)
	if conn == nil {
		dialled := r.dial(decision, connectBy)
		if dialled.conn == nil {
			return dialled
		}
		conn = dialled.conn
	}
	netio.SetDeadline(conn.conn, deadline)
	// During a dial the server may have begun to drain, the attempt been cancelled or the client disconnected.
	r.check.serverCheckedAt = time.Now()
	if !r.router.InService(decision.Server) || !r.begin(decision.Attempt, conn, nil) {
		r.pool.put(conn)
		return sendResult{outcome: protocol.NotSent}
	}
	return sendResult{conn: conn}
}

// dial makes a new connection to the decision's server. Resource exhaustion of this machine gives NotSent: reported as
// ConnectFailed it would eject the server.
func (r *AttemptRunner) dial(decision routing.Decision, connectBy time.Time) sendResult {
	ctx, cancel := context.WithDeadline(context.Background(), connectBy)
	defer cancel()
	if !r.begin(decision.Attempt, nil, cancel) {
		return sendResult{outcome: protocol.NotSent}
	}
	conn, err := r.pool.dial(ctx, decision.Server)
	interrupted := r.end().any()
	switch {
	case err == nil:
		return sendResult{conn: conn}
	case interrupted || errors.Is(err, errResourceExhaustion):
		return sendResult{outcome: protocol.NotSent}
	}
	return sendResult{outcome: protocol.ConnectFailed}
}

// writeFault is why a request was not written completely. Its server has not executed it.
type writeFault int

const (
	writeComplete writeFault = iota
	writeBroken              // the connection ended, or the attempt was cancelled
	writeEarly               // bytes of an earlier response came first
	writeDelayed             // sendCheck.mayFinish forbade the last byte
)

// writeRequest writes a request and holds back its last byte until the connection has proven usable. A connection that the
// server has closed breaks before the last byte, which proves that the server did not execute the request. Without the
// wait it would break later, and an unsafe request could not be retried.
//
// On a connection that was used before, bytes that arrive before the last byte belong to an earlier response and would be
// read as this one's. On a new connection they are left to receive.
func (r *AttemptRunner) writeRequest(conn *serverConn, deadline time.Time) writeFault {
	if r.ClientGone() || conn.out.FlushExcept(1) != nil { // no step between the check and the write
		return writeBroken
	}
	r.check.firstByteAt = time.Now()
	netio.SetReadDeadline(conn.conn, r.check.firstByteAt.Add(conn.resetWait))
	readiness := conn.reader.WaitReadable()
	interrupted := r.restoreDeadline(conn, deadline)
	switch {
	case readiness == netio.Readable && conn.requests > 0:
		return writeEarly
	case readiness == netio.Ended || interrupted || r.ClientGone():
		return writeBroken
	case !r.check.mayFinish(time.Now()):
		return writeDelayed
	case conn.out.Flush() != nil:
		return writeBroken
	}
	r.noteWritten(conn, deadline)
	return writeComplete
}

// restoreDeadline sets a connection's deadline after a wait, and reports whether the attempt was interrupted meanwhile: then
// the deadline stays past.
func (r *AttemptRunner) restoreDeadline(conn *serverConn, deadline time.Time) (interrupted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interruptionLocked().any() {
		return true
	}
	netio.SetDeadline(conn.conn, deadline)
	return false
}

// noteWritten notes that the request was written completely. If the client disconnected during the write, Stop has let the
// deadline pass; the attempt has started, so it goes on.
func (r *AttemptRunner) noteWritten(conn *serverConn, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = true
	if r.clientLeft && r.cancelled != r.current {
		netio.SetDeadline(conn.conn, deadline)
	}
}

// checkSent counts and logs a violation of invariant.Sending by the attempt that was just written.
func (r *AttemptRunner) checkSent(decision routing.Decision) {
	now := time.Now()
	client := r.lastClientCheck()
	fault := r.check.check(now, client)
	if fault == sendFaultNone {
		return
	}
	invariant.Violated(&r.pool.counters.SendViolations, r.pool.log, invariant.Sending).Str("fault", string(fault)).
		Str("request", r.requestID).Int("attempt", decision.Attempt).Stringer("server", decision.Server.Addr).
		Dur("attempt_timeout_ms", r.check.attemptTimeout).Dur("left_ms", r.check.clientDeadline.Sub(now)).
		Dur("client_checked_ms", now.Sub(client.checkedAt)).Dur("server_checked_ms", now.Sub(r.check.serverCheckedAt)).
		Msg(invariant.ViolatedMessage)
}

// abandoned says how an attempt goes on whose connection was closed before the last byte.
type abandoned struct {
	reconnect bool             // use another connection
	outcome   protocol.Outcome // of the attempt, if it ends
}

// abandon closes a connection to which a request was not written completely. newConns is how many new connections the
// attempt has used.
func (r *AttemptRunner) abandon(conn *serverConn, fault writeFault, newConns int) abandoned {
	switch interrupted := r.end().any(); {
	case interrupted:
		r.pool.close(conn, netio.ReasonAttemptCancelled)
		return abandoned{outcome: protocol.NotSent}
	case fault == writeDelayed: // by this process, or by a server that does not read
		r.pool.close(conn, netio.ReasonWriteDelayed)
		return abandoned{outcome: protocol.NotSent}
	case conn.requests > 0: // it was stale, which says nothing about the server
		if fault != writeEarly {
			r.pool.distrust(time.Since(conn.idleSince))
		}
		r.pool.close(conn, netio.ReasonServerStale)
		return abandoned{reconnect: true, outcome: protocol.NotSent}
	}
	// One new connection may break by chance; a second one points to the server.
	r.pool.close(conn, netio.ReasonServerReset)
	return abandoned{reconnect: newConns < maxNewConns, outcome: protocol.ConnectFailed}
}

// receive reads the response to a request that was written completely, and puts the connection back or closes it.
func (r *AttemptRunner) receive(conn *serverConn) protocol.ServerResponse {
	sentAt, filledBefore := time.Now(), conn.in.Filled()
	response, err := conn.readResponse(r.body)
	if response.Body != nil {
		r.body = response.Body
	}
	cancelled := r.end().cancelled
	switch {
	case err == nil && (response.Close || !conn.in.Empty()):
		r.pool.close(conn, netio.ReasonServerRequestedClose)
	case err == nil:
		r.pool.put(conn)
	case cancelled:
		response = protocol.ServerResponse{Outcome: protocol.Cancelled}
		r.pool.close(conn, netio.ReasonAttemptCancelled)
	case conn.in.Err() == nil:
		response = protocol.ServerResponse{Outcome: protocol.MalformedResponse}
		r.pool.close(conn, netio.ReasonServerMalformed)
	case netio.TimedOut(conn.in.Err()):
		response = protocol.ServerResponse{Outcome: protocol.TimedOut}
		r.pool.close(conn, netio.ReasonServerTimeout)
	default:
		if conn.requests > 1 && conn.in.Filled() == filledBefore && time.Since(sentAt) < staleResetTimeout {
			r.pool.distrust(sentAt.Sub(conn.idleSince))
		}
		response = protocol.ServerResponse{Outcome: protocol.ConnectionReset}
		r.pool.close(conn, netio.ReasonServerReset)
	}
	return response
}
