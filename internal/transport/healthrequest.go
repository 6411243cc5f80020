package transport

import (
	"context"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// requestHealth asks a server whether it is ready, over an idle connection or a new one, and reports whether it said so before the
// deadline. Nothing is sent to a server that is not in service any more.
func (h *HealthChecker) requestHealth(server *routing.Server, deadline time.Time) bool {
	conn := h.pool.get(server)
	if conn == nil {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		var err error
		if conn, err = h.pool.dial(ctx, server); err != nil {
			return false
		}
	}
	if !h.router.InService(server) {
		h.pool.put(conn)
		return false
	}
	setDeadline(conn.conn, deadline)
	conn.out.appended(protocol.AppendHealthCheck(conn.out.space(), server.Addr.String()))
	if conn.out.flush() != nil {
		h.pool.close(conn, reasonServerReset)
		return false
	}
	conn.requests++
	response, err := conn.readResponse(nil)
	switch {
	case err == nil && !response.Close && conn.in.empty():
		h.pool.put(conn)
	case err == nil:
		h.pool.close(conn, reasonServerRequestedClose)
	case timedOut(conn.in.err):
		h.pool.close(conn, reasonServerTimeout)
	case conn.in.err == nil:
		h.pool.close(conn, reasonServerMalformed)
	default:
		h.pool.close(conn, reasonServerReset)
	}
	return err == nil && response.Outcome == protocol.Completed
}
