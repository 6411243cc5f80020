package upstream

import (
	"context"
	"net/http"
	"time"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// requestHealth sends a health check over an idle or new connection. It reports whether the server answered as healthy before
// the deadline. It sends nothing to a server that is out of service.
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
	conn.writeBuffer.Commit(protocol.AppendHealthCheck(conn.writeBuffer.AvailableBuffer(), server.Addr.String()))
	if conn.writeBuffer.Flush() != nil {
		h.pool.close(conn, netio.ReasonServerReset)
		return false
	}
	conn.requestCount++
	response, err := conn.readResponse(http.MethodGet, nil, nil)
	if reason := conn.closeReason(response, err); reason == reusable {
		h.pool.put(conn)
	} else {
		h.pool.close(conn, reason)
	}
	return err == nil && response.Outcome == protocol.Completed
}
