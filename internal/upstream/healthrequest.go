package upstream

import (
	"context"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// requestHealth sends a health check over an idle or new connection and reports whether the server answered before the
// deadline that it is healthy. It sends nothing to a server that is out of service.
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
	conn.out.Commit(protocol.AppendHealthCheck(conn.out.AvailableBuffer(), server.Addr.String()))
	if conn.out.Flush() != nil {
		h.pool.close(conn, netio.ReasonServerReset)
		return false
	}
	conn.requests++
	response, err := conn.readResponse(nil)
	h.releaseChecked(conn, response, err)
	return err == nil && response.Outcome == protocol.Completed
}

// releaseChecked puts back a connection after a health check, or closes it for the reason that response and err give.
func (h *HealthChecker) releaseChecked(conn *serverConn, response protocol.ServerResponse, err error) {
	switch {
	case err == nil && !response.Close && conn.in.Empty():
		h.pool.put(conn)
	case err == nil:
		h.pool.close(conn, netio.ReasonServerRequestedClose)
	case netio.TimedOut(conn.in.Err()):
		h.pool.close(conn, netio.ReasonServerTimeout)
	case conn.in.Err() == nil:
		h.pool.close(conn, netio.ReasonServerMalformed)
	default:
		h.pool.close(conn, netio.ReasonServerReset)
	}
}
