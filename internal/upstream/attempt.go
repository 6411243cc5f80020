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

// clientCheckAge is how old the last look at a client may be where something is sent on for it: a tenth of the 0.1 s
// after its disconnecting in which something may begin yet.
const clientCheckAge = 10 * time.Millisecond

// staleResetWithin is how soon after a request was written a reset shows that the connection was stale before.
const staleResetWithin = 10 * time.Millisecond

// maxNewConns is how many new connections one attempt may use, as it has not begun before its last byte.
const maxNewConns = 2

// noAttempt is the number of no attempt.
const noAttempt = -1

// AttemptRunner runs the attempts of one client connection's requests, one at a time, on the goroutine of the
// RequestHandler's caller. Others may call Cancel (the Router, under its lock) and stop, which both wake it.
type AttemptRunner struct {
	pool       *Pool
	router     *routing.Router
	peerClosed func() bool // looks whether the client has disconnected by now; does not block
	body       []byte      // of the last response, kept for the next
	requestID  string      // of the open request
	guard      sendGuard   // of the attempt under way

	mu           sync.Mutex         // guards all below
	current      int                // the attempt under way, or noAttempt
	cancelled    int                // the last that was cancelled, or noAttempt
	clientLeft   bool               // the request's client disconnected: nothing more begins
	conn         *upstreamConn      // what the attempt waits on, or
	cancelDial   context.CancelFunc // its dial
	written      bool               // its request's last byte was written
	clientSeenAt time.Time          // when the client was still there, last
}

// NewAttemptRunner makes the runner of one client connection. peerClosed reports whether the client has disconnected by
// now; it must not block.
func NewAttemptRunner(pool *Pool, router *routing.Router, peerClosed func() bool) *AttemptRunner {
	return &AttemptRunner{pool: pool, router: router, peerClosed: peerClosed}
}

// Reset readies the runner for a request whose client was there at a time, and gives up at another.
func (r *AttemptRunner) Reset(request *protocol.Request, seenAt time.Time) {
	r.mu.Lock()
	r.current, r.cancelled, r.clientLeft, r.clientSeenAt = noAttempt, noAttempt, false, seenAt
	r.mu.Unlock()
	r.body = netio.TrimBuffer(r.body)
	r.requestID = request.ID
	r.guard = sendGuard{clientDeadline: seenAt.Add(request.Timeout)}
}

// ClientGone reports whether the client has disconnected, by a look of its own where the last is old. It guards against
// a close that has come but that the connection's reader has not been at yet, as when the node was paused: what then
// makes the request go on, a response or a timer, may have its turn first.
func (r *AttemptRunner) ClientGone() bool {
	r.mu.Lock()
	left, seenAt := r.clientLeft, r.clientSeenAt
	r.mu.Unlock()
	if left || time.Since(seenAt) < clientCheckAge {
		return left
	}
	now := time.Now()
	if r.peerClosed() {
		r.Stop()
		return true
	}
	r.mu.Lock()
	r.clientSeenAt = now
	r.mu.Unlock()
	return false
}

// Cancel ends an attempt by its number: its wait is cut short, and its connection closed by who waits. It does not block.
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

// Stop lets nothing more begin: the request's client disconnected. What has begun is the Router's to cancel, where that
// is allowed; a dial or a request that is not written whole is given up in any case, as it has not run.
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

// begin notes what an attempt waits on, and returns false if it was cancelled or its client disconnected.
func (r *AttemptRunner) begin(attempt int, conn *upstreamConn, cancelDial context.CancelFunc) bool {
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

// end reports whether the attempt was cancelled, or its client disconnected; from here on it can't be.
func (r *AttemptRunner) end() (cancelled, clientLeft bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn, r.cancelDial = nil, nil
	return r.cancelled == r.current, r.clientLeft
}

// Run carries out the attempt that the Router decided on. The response's body is good until the next attempt.
func (r *AttemptRunner) Run(decision routing.Decision, request *protocol.Request) (protocol.ServerResponse, routing.AttemptResult) {
	startedAt := time.Now()
	r.guard.finishBy = decision.FinishBy
	response := r.attempt(decision, request, netio.Earlier(startedAt.Add(decision.Timeout), r.guard.clientDeadline))
	r.pool.counters.AttemptOutcomes[response.Outcome].Add(1)
	took := time.Since(startedAt)
	r.logEnd(decision, response.Outcome, took)
	return response, routing.AttemptResult{Outcome: response.Outcome, Duration: took, Units: response.Units}
}

// logEnd writes an attempt's line, where the log's level has it.
func (r *AttemptRunner) logEnd(decision routing.Decision, outcome protocol.Outcome, took time.Duration) {
	event := r.pool.log.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", r.requestID).Int("attempt", decision.Attempt).Stringer("server", decision.Server.Addr).
		Stringer("outcome", outcome).Dur("told_ms", r.guard.told).Dur("timeout_ms", decision.Timeout).Dur("took_ms", took).
		Msg("attempt ended")
}

func (r *AttemptRunner) attempt(decision routing.Decision, request *protocol.Request, deadline time.Time) protocol.ServerResponse {
	conn, outcome := r.send(decision, request, deadline)
	if conn == nil {
		return protocol.ServerResponse{Outcome: outcome}
	}
	r.pool.counters.Attempts.Add(1)
	conn.requests++
	return r.receive(conn)
}

// send writes the request to the decision's server, over another connection where one breaks before the last byte, and
// returns the connection that it was written to whole; or none, and how the attempt ended.
func (r *AttemptRunner) send(decision routing.Decision, request *protocol.Request, deadline time.Time) (*upstreamConn, protocol.Outcome) {
	connectBy := netio.Earlier(deadline, time.Now().Add(r.pool.limits.ConnectTimeout))
	for newConns := 0; ; {
		conn, outcome := r.connect(decision, deadline, connectBy)
		if conn == nil {
			return nil, outcome
		}
		if conn.requests == 0 {
			newConns++
		}
		r.guard.toldAt = time.Now()
		r.guard.told = deadline.Sub(r.guard.toldAt)
		conn.out.Appended(protocol.AppendAttempt(conn.out.Space(), request, r.guard.told))
		conn.out.Write(request.Body)
		fault := r.writeRequest(conn, deadline)
		if fault == writtenWhole {
			r.checkSent(decision)
			return conn, protocol.Completed
		}
		if outcome, again := r.giveUp(conn, fault, newConns); !again {
			return nil, outcome
		}
	}
}

// connect finds a connection to the decision's server, idle or new; without one it returns how the attempt ended.
// All dials of an attempt end by connectBy: what retries a keyed request has to be whole within a window, and the
// decision leaves the time of one dial for that.
func (r *AttemptRunner) connect(decision routing.Decision, deadline, connectBy time.Time) (*upstreamConn, protocol.Outcome) {
	conn := r.pool.get(decision.Server)
	if conn == nil {
		ctx, cancel := context.WithDeadline(context.Background(), connectBy)
		defer cancel()
		if !r.begin(decision.Attempt, nil, cancel) {
			return nil, protocol.NotSent
		}
		var err error
		conn, err = r.pool.dial(ctx, decision.Server)
		cancelled, clientLeft := r.end()
		// What this node lacks says nothing of the server, which would be ejected for it.
		if err != nil && (cancelled || clientLeft || errors.Is(err, errShortage)) {
			return nil, protocol.NotSent
		}
		if err != nil {
			return nil, protocol.ConnectFailed
		}
	}
	netio.SetDeadline(conn.conn, deadline)
	// A dial takes time, in which the server may have begun to drain, or the attempt been cancelled, or its client left.
	r.guard.serverSeenAt = time.Now()
	if !r.router.InService(decision.Server) || !r.begin(decision.Attempt, conn, nil) {
		r.pool.put(conn)
		return nil, protocol.NotSent
	}
	return conn, protocol.Completed
}

// writeFault is why a request was not written whole, so that it never ran.
type writeFault int

const (
	writtenWhole writeFault = iota
	writeBroke              // the connection ended, or the attempt was stopped
	writeEarly              // bytes came that belong to an earlier response
	writeHeldUp             // it took so long that the time told is not right any more
)

// writeRequest writes a request, its last byte by itself: what breaks before that has never run, and a connection that
// a server has given up breaks as soon as the rest comes. Written at once, it would break after the last byte and so
// may have run, which costs an unsafe request. Bytes that come before the last is written are of an earlier request's
// response, or of a second one to it, where the connection has carried any, and would pass for this request's. On a new
// one they are left to receive.
func (r *AttemptRunner) writeRequest(conn *upstreamConn, deadline time.Time) writeFault {
	if r.ClientGone() || conn.out.FlushExcept(1) != nil { // nothing comes between a look and the write behind it
		return writeBroke
	}
	r.guard.firstByteAt = time.Now()
	netio.SetReadDeadline(conn.conn, r.guard.firstByteAt.Add(conn.resetWait))
	readable, ended := conn.reader.WaitReadable()
	r.mu.Lock()
	stopped := r.cancelled == r.current || r.clientLeft
	if !stopped { // else the deadline is past, and stays so
		netio.SetDeadline(conn.conn, deadline)
	}
	r.mu.Unlock()
	switch {
	case readable && conn.requests > 0:
		return writeEarly
	case ended || stopped || r.ClientGone():
		return writeBroke
	case !r.guard.mayFinish(time.Now()):
		return writeHeldUp
	case conn.out.Flush() != nil:
		return writeBroke
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written = true; r.clientLeft && r.cancelled != r.current { // the client left just now: this has begun
		netio.SetDeadline(conn.conn, deadline)
	}
	return writtenWhole
}

// checkSent counts what an attempt that was written broke all the same.
func (r *AttemptRunner) checkSent(decision routing.Decision) {
	now := time.Now()
	r.mu.Lock()
	left, seenAt := r.clientLeft, r.clientSeenAt
	r.mu.Unlock()
	fault := r.guard.check(now, seenAt, left)
	if fault == sendFaultNone {
		return
	}
	invariant.Violated(&r.pool.counters.SendViolations, r.pool.log, invariant.Sending).Str("fault", string(fault)).Str("request", r.requestID).
		Int("attempt", decision.Attempt).Stringer("server", decision.Server.Addr).Dur("told_ms", r.guard.told).
		Dur("left_ms", r.guard.clientDeadline.Sub(now)).Dur("client_seen_ms", now.Sub(seenAt)).
		Dur("server_seen_ms", now.Sub(r.guard.serverSeenAt)).Msg(invariant.ViolatedMessage)
}

// giveUp closes a connection that a request was not written to whole, so that it never ran, and reports whether to try
// another; if not, how the attempt ended.
func (r *AttemptRunner) giveUp(conn *upstreamConn, fault writeFault, newConns int) (outcome protocol.Outcome, again bool) {
	switch cancelled, clientLeft := r.end(); {
	case cancelled || clientLeft:
		r.pool.close(conn, netio.ReasonAttemptCancelled)
		return protocol.NotSent, false
	case fault == writeHeldUp: // by the node itself, or by a server that takes nothing in
		r.pool.close(conn, netio.ReasonHeldUp)
		return protocol.NotSent, false
	case conn.requests > 0: // it was stale since its last response, and says nothing of the server
		if fault != writeEarly {
			r.pool.distrust(time.Since(conn.idleSince))
		}
		r.pool.close(conn, netio.ReasonServerStale)
		return protocol.NotSent, true
	}
	// One that breaks at once may be chance; where servers do it, two seldom are.
	r.pool.close(conn, netio.ReasonServerReset)
	return protocol.ConnectFailed, newConns < maxNewConns
}

// receive reads the response to a request that was written whole, and puts the connection back or closes it.
func (r *AttemptRunner) receive(conn *upstreamConn) protocol.ServerResponse {
	sentAt, receivedBefore := time.Now(), conn.in.Filled
	response, err := conn.readResponse(r.body)
	if response.Body != nil {
		r.body = response.Body
	}
	cancelled, _ := r.end()
	switch {
	case err == nil && (response.Close || !conn.in.Empty()):
		r.pool.close(conn, netio.ReasonServerRequestedClose)
	case err == nil:
		r.pool.put(conn)
	case cancelled:
		response = protocol.ServerResponse{Outcome: protocol.Cancelled}
		r.pool.close(conn, netio.ReasonAttemptCancelled)
	case conn.in.Err == nil:
		response = protocol.ServerResponse{Outcome: protocol.MalformedResponse}
		r.pool.close(conn, netio.ReasonServerMalformed)
	case netio.TimedOut(conn.in.Err):
		response = protocol.ServerResponse{Outcome: protocol.TimedOut}
		r.pool.close(conn, netio.ReasonServerTimeout)
	default:
		if age := time.Since(sentAt); conn.requests > 1 && conn.in.Filled == receivedBefore && age < staleResetWithin {
			r.pool.distrust(sentAt.Sub(conn.idleSince))
		}
		response = protocol.ServerResponse{Outcome: protocol.ConnectionReset}
		r.pool.close(conn, netio.ReasonServerReset)
	}
	return response
}
