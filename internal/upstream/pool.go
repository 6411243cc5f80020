package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/membudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/numeric"
	"cherrygap/internal/routing"
)

// maxIdleRatio is the fraction of the app servers' idle timeout after which the node closes an idle connection. If a server
// closes the connection first, during a request, it may have executed the request.
const maxIdleRatio = 0.8

// ReuseDelay is the minimum time between a response and the connection's next use. A duplicate response that arrives in
// between is detected, so it can't be read as the next request's response. Trade-off: a server needs one more connection for
// each attempt that it gets within this time.
const ReuseDelay = 30 * time.Millisecond

// reducedIdleLimitDuration is the time for which the limit set by Pool.reduceIdleLimit applies.
const reducedIdleLimitDuration = 10 * time.Second

// expiryPassDivisor is the divisor of the idle limit that gives the minimum time between two calls of closeExpired.
const expiryPassDivisor = 8

// Pool manages the connections to app servers, with a stack of idle connections for each server. The stacks are keyed by
// server, not by address. A new server may have the address of a removed server whose connections are still open. A Pool is
// safe for concurrent use.
type Pool struct {
	limits   netio.Limits
	memory   *membudget.Budget // counts responses; nil for no limit
	log      *zerolog.Logger
	counters *Counters

	controlSocket func(network, address string, conn syscall.RawConn) error // sets the receive buffer of a connection; may be nil

	awaitNews func(until time.Time) // waits for news of the servers; nil to wait for none

	lastConnected atomic.Pointer[time.Time] // time of the last successful dial to any server; nil before the first

	mu       sync.Mutex                        // guards all fields below
	idle     map[*routing.Server][]*serverConn // idle connections by server, the most recently used last
	total    int                               // number of connections that are idle, in use or being dialled
	timer    *time.Timer                       // calls closeExpired
	timerSet bool                              // true from a put that sets the timer until closeExpired finds no idle connection

	inService func(*routing.Server) bool // argument of the last KeepOnly; nil before the first

	reducedIdleLimitUntil time.Time     // end of the time for which reducedIdleLimit applies
	reducedIdleLimit      time.Duration // idle time from which a connection is not used
}

// NewPool returns an empty pool. The attempts over its connections count the memory of responses against the budget, which may be nil.
func NewPool(limits netio.Limits, memory *membudget.Budget, log *zerolog.Logger, counters *Counters) *Pool {
	p := &Pool{
		limits: limits, memory: memory, log: log, counters: counters, idle: map[*routing.Server][]*serverConn{},
		controlSocket: netio.ReceiveBufferControl(limits.ReceiveBuffer()),
	}
	p.timer = time.AfterFunc(time.Hour, p.closeExpired) // If the servers have an idle timeout, the first put resets it to the idle limit.
	return p
}

// OnSend sets a function that is called before a server is checked for the last time before an attempt. It may wait until the given
// time for news of the server. OnSend must be called before the first attempt.
func (p *Pool) OnSend(awaitNews func(until time.Time)) { p.awaitNews = awaitNews }

// idleLimit returns the maximum idle time of a connection, 0 if the servers have no idle timeout.
func (p *Pool) idleLimit() time.Duration {
	return numeric.Truncate[time.Duration](float64(p.limits.ServerIdleTimeout) * maxIdleRatio)
}

// get takes the most recently used idle connection to a server, or returns nil if there is none. It skips connections that
// were used within ReuseDelay, and closes expired and unusable ones.
func (p *Pool) get(server *routing.Server) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for stack := p.idle[server]; len(stack) > 0; stack = p.idle[server] {
		i := len(stack) - 1
		for i >= 0 && time.Since(stack[i].idleSince) < ReuseDelay {
			i--
		}
		if i < 0 {
			return nil
		}
		conn := stack[i]
		p.idle[server] = slices.Delete(stack, i, i+1)
		switch {
		case p.tooOldLocked(time.Since(conn.idleSince)):
			p.closeLocked(conn, netio.ReasonIdle)
		case !conn.usable():
			p.closeLocked(conn, netio.ReasonServerClosed)
		default:
			conn.allocateBuffers(p.limits.BufferSize())
			return conn
		}
	}
	return nil
}

// tooOldLocked reports whether a connection was idle for too long to be used. The caller holds mu.
func (p *Pool) tooOldLocked(idle time.Duration) bool {
	expired := p.limits.ServerIdleTimeout > 0 && idle >= p.idleLimit()
	return expired || idle >= p.reducedIdleLimit && time.Now().Before(p.reducedIdleLimitUntil)
}

// reduceIdleLimit records that a connection broke at its first use after an idle time. For reducedIdleLimitDuration the pool
// uses no connection that was idle for half that time or longer. This protects against servers and middleboxes that drop idle
// connections long before the configured timeout. A request on such a connection can fail after its last byte. Trade-off:
// where connections break at any age, the servers have to accept more new ones.
func (p *Pool) reduceIdleLimit(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Before(p.reducedIdleLimitUntil) {
		p.reducedIdleLimit = min(p.reducedIdleLimit, idle/2)
	} else {
		p.reducedIdleLimit = idle / 2
	}
	p.reducedIdleLimitUntil = time.Now().Add(reducedIdleLimitDuration)
}

// put returns a connection to the pool. If the connection carried no request since get, its idle time continues, as it does
// at the server. If its server went out of service meanwhile, put closes the connection, because KeepOnly may already
// have run.
func (p *Pool) put(conn *serverConn) {
	if conn.requestCount > conn.requestCountAtPut {
		conn.idleSince, conn.requestCountAtPut = time.Now(), conn.requestCount
	}
	conn.freeBuffers()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inService != nil && !p.inService(conn.server) {
		p.closeLocked(conn, netio.ReasonServerUnlisted)
		return
	}
	p.idle[conn.server] = append(p.idle[conn.server], conn)
	if p.limits.ServerIdleTimeout > 0 && !p.timerSet {
		p.timerSet = true
		p.timer.Reset(p.idleLimit())
	}
}

// close closes a connection in use. After a cancellation or timeout it resets the connection if the server's machine has not
// acknowledged the whole request. Otherwise the kernel would deliver the rest, and the request might run without a client.
func (p *Pool) close(conn *serverConn, reason netio.CloseReason) {
	abandoned := reason == netio.ReasonAttemptCancelled || reason == netio.ReasonServerTimeout
	if abandoned && conn.reader.HasUnacknowledged() {
		_ = conn.conn.SetLinger(0) // This fails only for a closed connection.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(conn, reason)
}

// closeLocked closes a connection, subtracts it from total and logs the reason. The caller holds mu.
func (p *Pool) closeLocked(conn *serverConn, reason netio.CloseReason) {
	p.total--
	netio.CloseConn(conn.conn)
	netio.LogClose(p.log, netio.SideServer, conn.server.Addr.String(), reason, conn.openedAt, conn.requestCount)
}

// evictLocked closes the connection with the longest idle time, and reports whether there was one. The caller holds mu.
func (p *Pool) evictLocked() bool {
	var oldest *serverConn
	for _, stack := range p.idle {
		if len(stack) > 0 && (oldest == nil || stack[0].idleSince.Before(oldest.idleSince)) {
			oldest = stack[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.server] = p.idle[oldest.server][1:]
	p.closeLocked(oldest, netio.ReasonEvicted)
	return true
}

// closeExpired closes expired connections and those that their server closed. The timer calls it on a separate goroutine. It
// sets the timer again while any connection is idle.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	nextExpiry := time.Duration(-1) // time until the next expiry; negative if no connection is idle
	for server, stack := range p.idle {
		kept := p.closeExpiredInStack(stack)
		for _, conn := range kept {
			left := p.idleLimit() - time.Since(conn.idleSince)
			if nextExpiry < 0 || left < nextExpiry {
				nextExpiry = max(left, 0)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = kept
		}
	}
	if p.timerSet = nextExpiry >= 0; p.timerSet {
		p.timer.Reset(max(nextExpiry, p.idleLimit()/expiryPassDivisor))
	}
}

// closeExpiredInStack closes the expired and unusable connections of a stack. It returns the others, in the same array. The
// caller holds mu.
func (p *Pool) closeExpiredInStack(stack []*serverConn) []*serverConn {
	kept := stack[:0]
	for _, conn := range stack {
		switch {
		case time.Since(conn.idleSince) >= p.idleLimit():
			p.closeLocked(conn, netio.ReasonIdle)
		case !conn.usable():
			p.closeLocked(conn, netio.ReasonServerClosed)
		default:
			kept = append(kept, conn)
		}
	}
	clear(stack[len(kept):])
	return kept
}

// KeepOnly closes the idle connections to servers for which inService returns false. When a connection in use is
// put back, the pool closes it if inService returns false for its server then.
func (p *Pool) KeepOnly(inService func(*routing.Server) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inService = inService
	for server, stack := range p.idle {
		if !inService(server) {
			for _, conn := range stack {
				p.closeLocked(conn, netio.ReasonServerUnlisted)
			}
			delete(p.idle, server)
		}
	}
}

// Close closes the idle connections. Connections in use are closed when they are put back.
func (p *Pool) Close() {
	p.KeepOnly(func(*routing.Server) bool { return false })
	p.timer.Stop()
}
