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

// maxNewConns is the maximum number of new connections for one attempt. If a connection breaks before the last byte, the
// server has not executed the attempt, so the attempt may use another connection.
const maxNewConns = 2

// sendResult is the result of connecting to a server or of sending a request.
type sendResult struct {
	conn    *serverConn      // connection in use; nil if the attempt ended
	outcome protocol.Outcome // outcome of an ended attempt; valid only if conn is nil
}

// send writes the request to the decision's server. If a connection breaks before the last byte, send uses another one.
func (r *AttemptRunner) send(decision routing.Decision, request *protocol.Request, deadline time.Time) sendResult {
	connectBy := netio.Earlier(deadline, time.Now().Add(r.pool.limits.ConnectTimeout))
	for newConns := 0; ; {
		connected := r.connect(decision, deadline, connectBy)
		conn := connected.conn
		if conn == nil {
			return connected
		}
		if conn.requestCount == 0 {
			newConns++
		}
		r.sendCheck.timeoutSetAt = time.Now()
		r.sendCheck.attemptTimeout = deadline.Sub(r.sendCheck.timeoutSetAt)
		conn.writeBuffer.Commit(protocol.AppendAttempt(conn.writeBuffer.AvailableBuffer(), request, r.sendCheck.attemptTimeout))
		conn.writeBuffer.Append(request.Body)
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

// connect returns an idle or new connection to the decision's server. All dials of an attempt end by connectBy. A retry of a
// keyed request has to finish within a window, for which the decision reserves the time of one dial.
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
	if r.pool.awaitNews != nil {
		r.pool.awaitNews(deadline)
	}
	// During a dial the server may have begun to drain, the Router may have cancelled the attempt, or the client may have
	// disconnected.
	r.sendCheck.serverCheckedAt = time.Now()
	if !r.router.InService(decision.Server) || !r.begin(decision.Attempt, conn, nil) {
		r.pool.put(conn)
		return sendResult{outcome: protocol.NotSent}
	}
	return sendResult{conn: conn}
}

// dial opens a new connection to the decision's server. If this machine ran out of a resource, the outcome is NotSent:
// ConnectFailed would eject the server.
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

// writeResult is the result of writeRequest. Unless it is writeComplete, the last byte was not written and the server has not
// executed the request.
type writeResult int

const (
	writeComplete   writeResult = iota
	writeFailed                 // The connection ended or timed out, the client disconnected, or the attempt was cancelled.
	writeStaleInput             // Bytes of an earlier response arrived before the last byte.
	writeDelayed                // sendCheck.mayWriteLastByte returned false.
)

// writeRequest writes a request, but waits for a possible reset before the last byte. A connection that the server has closed
// breaks before the last byte, which proves that the server did not execute the request. Without the wait it would break
// later, and an unsafe request could not be retried.
//
// On a connection that was used before, bytes that arrive before the last byte belong to an earlier response. They would
// otherwise be read as the response to this request. On a new connection, they may be an interim response or an error
// (checkEarlyInput, checkEarlyResponse).
func (r *AttemptRunner) writeRequest(conn *serverConn, deadline time.Time) writeResult {
	// Check the client immediately before each write.
	if r.CheckClient() == ClientDisconnected || conn.writeBuffer.FlushExcept(1) != nil {
		return writeFailed
	}
	r.sendCheck.firstByteAt = time.Now()
	netio.SetReadDeadline(conn.conn, r.sendCheck.firstByteAt.Add(conn.resetWait))
	readiness := conn.reader.WaitReadable()
	interrupted := r.restoreDeadline(conn, deadline)
	if readiness == netio.Readable && conn.requestCount == 0 {
		conn.checkEarlyInput()
	}
	switch {
	case readiness == netio.Readable && conn.requestCount > 0:
		return writeStaleInput
	case readiness == netio.Ended || interrupted || r.CheckClient() == ClientDisconnected:
		return writeFailed
	case !r.sendCheck.mayWriteLastByte(time.Now()):
		return writeDelayed
	case conn.writeBuffer.Flush() != nil:
		return writeFailed
	}
	r.recordWritten(conn, deadline)
	return writeComplete
}

// restoreDeadline sets a connection's deadline after a wait. If the attempt was interrupted meanwhile, it returns true and
// leaves the past deadline in place.
func (r *AttemptRunner) restoreDeadline(conn *serverConn, deadline time.Time) (interrupted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interruptionLocked().any() {
		return true
	}
	netio.SetDeadline(conn.conn, deadline)
	return false
}

// recordWritten records that the request was written completely. If the client disconnected during the write, ClientGone has
// set a past deadline. The attempt has started and continues, so recordWritten restores the deadline.
func (r *AttemptRunner) recordWritten(conn *serverConn, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = true
	if r.disconnected && r.cancelledAttempt != r.currentAttempt {
		netio.SetDeadline(conn.conn, deadline)
	}
}

// checkSent checks the attempt that was just written. It counts and logs a violation of invariant.Sending.
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
	reconnect bool             // true if the attempt uses another connection
	outcome   protocol.Outcome // outcome of the attempt; valid only if reconnect is false
}

// abandon closes a connection to which a request was not written completely. newConns is the number of new connections that
// the attempt has used.
func (r *AttemptRunner) abandon(conn *serverConn, result writeResult, newConns int) abandonResult {
	switch interrupted := r.detach().any(); {
	case interrupted:
		r.pool.close(conn, netio.ReasonAttemptCancelled)
		return abandonResult{outcome: protocol.NotSent}
	case result == writeDelayed: // This process was paused, or the server does not read.
		r.pool.close(conn, netio.ReasonWriteDelayed)
		return abandonResult{outcome: protocol.NotSent}
	case conn.requestCount > 0: // The connection was stale, which says nothing about the server.
		if result != writeStaleInput {
			r.pool.reduceIdleLimit(time.Since(conn.idleSince))
		}
		r.pool.close(conn, netio.ReasonServerStale)
		return abandonResult{reconnect: true}
	}
	// One new connection may break by chance; a second broken one indicates a failed server.
	r.pool.close(conn, netio.ReasonServerReset)
	return abandonResult{reconnect: newConns < maxNewConns, outcome: protocol.ConnectFailed}
}
