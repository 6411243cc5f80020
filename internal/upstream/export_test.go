package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"cherrygap/internal/routing"
)

// Internals of the package for its external tests.

// Constants of attempts and of the pool.
const (
	MaxNewConns  = maxNewConns
	MaxResetWait = maxResetWait
)

// Conn is one connection to an app server.
type Conn = serverConn

// Mutex is the lock of Idle, Total and SetTotal.
func (p *Pool) Mutex() *sync.Mutex { return &p.mu }

// Idle are the idle connections by server. The caller holds Mutex.
func (p *Pool) Idle() map[*routing.Server][]*Conn { return p.idle }

// Total is how many connections there are. The caller holds Mutex.
func (p *Pool) Total() int { return p.total }

// SetTotal sets the number of connections that the pool believes in. The caller holds Mutex.
func (p *Pool) SetTotal(total int) { p.total = total }

// IdleLimit is how long a connection may be idle.
func (p *Pool) IdleLimit() time.Duration { return p.idleLimit() }

// Get takes an idle connection.
func (p *Pool) Get(server *routing.Server) *Conn { return p.get(server) }

// Put takes a connection back.
func (p *Pool) Put(conn *Conn) { p.put(conn) }

// Dial makes a new connection.
func (p *Pool) Dial(ctx context.Context, server *routing.Server) (*Conn, error) {
	return p.dial(ctx, server)
}

// Usable reports whether an idle connection can be used.
func (c *Conn) Usable() bool { return c.usable() }

// Socket is the connection's socket.
func (c *Conn) Socket() *net.TCPConn { return c.conn }

// IdleSince is when the connection last carried something.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// SetIdleSince sets IdleSince.
func (c *Conn) SetIdleSince(at time.Time) { c.idleSince = at }

// AddRequest notes that the connection carried a request.
func (c *Conn) AddRequest() { c.requests++ }

// RequestHealth makes one health check.
func (h *HealthChecker) RequestHealth(server *routing.Server, deadline time.Time) bool {
	return h.requestHealth(server, deadline)
}

// Interval is the time between two checks of a server.
func (h *HealthChecker) Interval() time.Duration { return h.scheduler.Interval() }
