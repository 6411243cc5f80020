package upstream

import (
	"context"
	"time"

	"cherrygap/internal/netio"
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
	netio.SetDeadline(conn.conn, deadline)
	conn.out.Appended(protocol.AppendHealthCheck(conn.out.Space(), server.Addr.String()))
	if conn.out.Flush() != nil {
		h.pool.close(conn, netio.ReasonServerReset)
		return false
	}
	conn.requests++
	response, err := conn.readResponse(nil)
	switch {
	case err == nil && !response.Close && conn.in.Empty():
		h.pool.put(conn)
	case err == nil:
		h.pool.close(conn, netio.ReasonServerRequestedClose)
	case netio.TimedOut(conn.in.Err):
		h.pool.close(conn, netio.ReasonServerTimeout)
	case conn.in.Err == nil:
		h.pool.close(conn, netio.ReasonServerMalformed)
	default:
		h.pool.close(conn, netio.ReasonServerReset)
	}
	return err == nil && response.Outcome == protocol.Completed
}
