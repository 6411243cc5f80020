package upstream

import (
	"context"
	"errors"
	"time"

	"cherrygap/internal/invariant"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// maxNewConns bounds the new connections of one attempt. A connection that breaks before the last byte leaves the attempt
// unexecuted, so that another may be used.
const maxNewConns = 2

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
		r.sendCheck.timeoutSetAt = time.Now()
		r.sendCheck.attemptTimeout = deadline.Sub(r.sendCheck.timeoutSetAt)
		conn.out.Commit(protocol.AppendAttempt(conn.out.AvailableBuffer(), request, r.sendCheck.attemptTimeout))
		conn.out.Append(request.Body)
		result := r.writeRequest(conn, deadline)
		if result == writeComplete {
			r.checkSent(decision)
			return connected
		}
		if abandoned := r.abandon(conn, result, newConns); !abandoned.reconnect {
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
	r.sendCheck.serverCheckedAt = time.Now()
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
	interrupted := r.detach().any()
	switch {
	case err == nil:
		return sendResult{conn: conn}
	case interrupted || errors.Is(err, errResourceExhaustion):
		return sendResult{outcome: protocol.NotSent}
	}
	return sendResult{outcome: protocol.ConnectFailed}
}

// writeResult is why a request was not written completely. Its server has not executed it.
type writeResult int

const (
	writeComplete   writeResult = iota
	writeFailed                 // the connection ended, or the attempt was cancelled
	writeStaleInput             // bytes of an earlier response came first
	writeDelayed                // sendCheck.mayWriteLastByte forbade the last byte
)

// writeRequest writes a request and holds back its last byte until the connection has proven usable. A connection that the
// server has closed breaks before the last byte, which proves that the server did not execute the request. Without the
// wait it would break later, and an unsafe request could not be retried.
//
// On a connection that was used before, bytes that arrive before the last byte belong to an earlier response and would be
// read as this one's. On a new connection they are left to receive.
func (r *AttemptRunner) writeRequest(conn *serverConn, deadline time.Time) writeResult {
	// The client is checked immediately before each write.
	if r.CheckClient() == ClientDisconnected || conn.out.FlushExcept(1) != nil {
		return writeFailed
	}
	r.sendCheck.firstByteAt = time.Now()
	netio.SetReadDeadline(conn.conn, r.sendCheck.firstByteAt.Add(conn.resetWait))
	readiness := conn.reader.WaitReadable()
	interrupted := r.restoreDeadline(conn, deadline)
	switch {
	case readiness == netio.Readable && conn.requests > 0:
		return writeStaleInput
	case readiness == netio.Ended || interrupted || r.CheckClient() == ClientDisconnected:
		return writeFailed
	case !r.sendCheck.mayWriteLastByte(time.Now()):
		return writeDelayed
	case conn.out.Flush() != nil:
		return writeFailed
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

// noteWritten notes that the request was written completely. If the client disconnected during the write, ClientGone has set
// a past deadline. The attempt has started and goes on, so noteWritten restores the deadline.
func (r *AttemptRunner) noteWritten(conn *serverConn, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = true
	if r.disconnected && r.cancelled != r.current {
		netio.SetDeadline(conn.conn, deadline)
	}
}

// checkSent counts and logs a violation of invariant.Sending by the attempt that was just written.
func (r *AttemptRunner) checkSent(decision routing.Decision) {
	now := time.Now()
	client := r.lastClientCheck()
	fault := r.sendCheck.faultAt(now, client)
	if fault == sendFaultNone {
		return
	}
	invariant.Violated(&r.pool.counters.SendViolations, r.pool.log, invariant.Sending).Str("fault", string(fault)).
		Str("request", r.requestID).Int("attempt", decision.Attempt).Stringer("server", decision.Server.Addr).
		Dur("attempt_timeout_ms", r.sendCheck.attemptTimeout).Dur("left_ms", r.sendCheck.clientDeadline.Sub(now)).
		Dur("client_checked_ms", now.Sub(client.checkedAt)).Dur("server_checked_ms", now.Sub(r.sendCheck.serverCheckedAt)).
		Msg(invariant.ViolatedMessage)
}

// abandonResult is the next step of an attempt whose connection was closed before the last byte.
type abandonResult struct {
	reconnect bool             // use another connection
	outcome   protocol.Outcome // of the attempt; used only if it ends here
}

// abandon closes a connection to which a request was not written completely. newConns is how many new connections the
// attempt has used.
func (r *AttemptRunner) abandon(conn *serverConn, result writeResult, newConns int) abandonResult {
	switch interrupted := r.detach().any(); {
	case interrupted:
		r.pool.close(conn, netio.ReasonAttemptCancelled)
		return abandonResult{outcome: protocol.NotSent}
	case result == writeDelayed: // by this process, or by a server that does not read
		r.pool.close(conn, netio.ReasonWriteDelayed)
		return abandonResult{outcome: protocol.NotSent}
	case conn.requests > 0: // it was stale, which says nothing about the server
		if result != writeStaleInput {
			r.pool.reduceIdleLimit(time.Since(conn.idleSince))
		}
		r.pool.close(conn, netio.ReasonServerStale)
		return abandonResult{reconnect: true}
	}
	// One new connection may break by chance; a second one points to the server.
	r.pool.close(conn, netio.ReasonServerReset)
	return abandonResult{reconnect: newConns < maxNewConns, outcome: protocol.ConnectFailed}
}
