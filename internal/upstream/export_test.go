package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"cherrygap/internal/routing"
)

// This file exports internals of the package to its external tests.

// Limits of attempts and of the pool.
const (
	MaxNewConns  = maxNewConns
	MaxResetWait = maxResetWait
)

// Conn is one connection to an app server.
type Conn = serverConn

// Mutex returns the lock that callers of Idle, Total and SetTotal must hold.
func (p *Pool) Mutex() *sync.Mutex { return &p.mu }

// Idle returns the idle connections by server. The caller holds Mutex.
func (p *Pool) Idle() map[*routing.Server][]*Conn { return p.idle }

// Total returns the number of connections that are idle, in use or being dialled. The caller holds Mutex.
func (p *Pool) Total() int { return p.total }

// SetTotal overrides the pool's number of connections. The caller holds Mutex.
func (p *Pool) SetTotal(total int) { p.total = total }

// IdleLimit returns the maximum idle time of a connection.
func (p *Pool) IdleLimit() time.Duration { return p.idleLimit() }

// Get takes an idle connection to the server, or returns nil if none is usable.
func (p *Pool) Get(server *routing.Server) *Conn { return p.get(server) }

// Put returns a connection to the pool.
func (p *Pool) Put(conn *Conn) { p.put(conn) }

// Dial opens a new connection to the server.
func (p *Pool) Dial(ctx context.Context, server *routing.Server) (*Conn, error) {
	return p.dial(ctx, server)
}

// Usable reports whether an idle connection is open and has nothing to read.
func (c *Conn) Usable() bool { return c.usable() }

// Socket returns the underlying TCP connection.
func (c *Conn) Socket() *net.TCPConn { return c.conn }

// IdleSince returns the time of the dial or of the last response.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// SetIdleSince overrides the result of IdleSince.
func (c *Conn) SetIdleSince(at time.Time) { c.idleSince = at }

// AddRequest counts one request on the connection.
func (c *Conn) AddRequest() { c.requestCount++ }

// RequestHealth sends one health check and reports whether the server answered as healthy before the deadline.
func (h *HealthChecker) RequestHealth(server *routing.Server, deadline time.Time) bool {
	return h.requestHealth(server, deadline)
}

// Interval returns the time between two checks of a server.
func (h *HealthChecker) Interval() time.Duration { return h.scheduler.Interval() }
