package transport

import (
	"bufio"
	"context"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// probe asks a server whether it is ready. Nothing is sent to one that is not in service any more.
func (h *HealthChecker) probe(server *routing.Server, deadline time.Time) bool {
	conn := h.pool.take(server)
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
	conn.conn.SetDeadline(deadline)
	conn.out.took(protocol.AppendHealthCheck(conn.out.room(), server.Addr.String()))
	if conn.out.Flush() != nil {
		h.pool.end(conn, serverBroken)
		return false
	}
	conn.used++
	br := parsers.Get().(*bufio.Reader)
	br.Reset(&conn.in)
	conn.in.Allow(protocol.MaxHead + 4*protocol.MaxBody)
	conn.in.patient = true // the probe's own time guards it
	reply, err := protocol.ReadServerResponse(br, nil)
	conn.in.patient = false
	conn.in.done(br)
	br.Reset(nil)
	parsers.Put(br)
	switch {
	case err == nil && !reply.Close && conn.in.r == conn.in.w:
		h.pool.put(conn)
	case err == nil:
		h.pool.end(conn, serverLast)
	case timedOut(conn.in.err):
		h.pool.end(conn, serverLate)
	case conn.in.err == nil:
		h.pool.end(conn, serverBad)
	default:
		h.pool.end(conn, serverBroken)
	}
	return err == nil && reply.Outcome == protocol.Completed
}
