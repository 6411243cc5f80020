package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
	"cherrygap/internal/routing"
)

// idleTimeoutShare is the part of the app servers' idle timeout after which the node closes a connection itself, so
// that no attempt is written to one that its server closes at that moment and so may have run.
const idleTimeoutShare = 0.8

// SettleTime is how long a connection stays out of use after a response, so that a second one is seen before it would
// pass for the next request's: six times as long as any was seen to take. It costs a connection for each attempt that a
// server gets within that time, which is few: a node sends a server some ten a second.
const SettleTime = 30 * time.Millisecond

// distrustFor is how long a stale connection makes others suspect.
const distrustFor = 10 * time.Second

// How long to wait for the reset of a stale connection, once most of a request was written to it.
const (
	resetWaitRoundTrips = 3                      // of the connection's own, as its dial took: a reset takes one
	minResetWait        = 300 * time.Microsecond // for machines that are late
	maxResetWait        = 3 * time.Millisecond
)

// errShortage is that this machine lacked what a connection takes, which says nothing of the server.
var errShortage = errors.New("this machine lacks what a connection takes")

// errNoDescriptors is the errShortage of a pool that is full with connections in use.
var errNoDescriptors = fmt.Errorf("%w: no descriptor left", errShortage)

// Pool keeps the connections to app servers, for each a stack of idle ones. They are of a server, not of an
// address: one that is new may have the address of one that has gone, whose connections stand open and silent.
type Pool struct {
	limits   netio.Limits
	log      *zerolog.Logger
	counters *Counters

	lastConnected atomic.Pointer[time.Time] // when a connection to any server came up

	mu       sync.Mutex                          // guards all below
	idle     map[*routing.Server][]*upstreamConn // the last used is last
	total    int                                 // idle, in use and being dialled
	timer    *time.Timer                         // calls closeExpired
	timerSet bool

	inService func(*routing.Server) bool // as of the last list; nil before any

	distrustUntil  time.Time     // a stale connection was met: until then
	maxTrustedIdle time.Duration // what has been idle for so long is not used
}

// NewPool makes an empty pool.
func NewPool(limits netio.Limits, log *zerolog.Logger, counters *Counters) *Pool {
	p := &Pool{limits: limits, log: log, counters: counters, idle: map[*routing.Server][]*upstreamConn{}}
	p.timer = time.AfterFunc(time.Hour, p.closeExpired)
	return p
}

// idleLimit is how long a connection may be idle.
func (p *Pool) idleLimit() time.Duration {
	return time.Duration(float64(p.limits.ServerIdleTimeout) * idleTimeoutShare)
}

// get takes the idle connection to a server that was last used, or nil. It passes over those that were put back only
// just: bytes that a server sends right behind a response must be seen before the next attempt, whose response they would
// pass for.
func (p *Pool) get(server *routing.Server) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for stack := p.idle[server]; len(stack) > 0; stack = p.idle[server] {
		i := len(stack) - 1
		for i >= 0 && time.Since(stack[i].idleSince) < SettleTime {
			i--
		}
		if i < 0 {
			return nil
		}
		conn := stack[i]
		p.idle[server] = slices.Delete(stack, i, i+1)
		age := time.Since(conn.idleSince)
		switch {
		case p.limits.ServerIdleTimeout > 0 && age >= p.idleLimit(),
			age >= p.maxTrustedIdle && time.Now().Before(p.distrustUntil):
			p.closeLocked(conn, netio.ReasonIdle)
		case !conn.usable():
			p.closeLocked(conn, netio.ReasonServerClosed)
		default:
			return conn
		}
	}
	return nil
}

// distrust notes that a connection was stale, as it broke at once when used after it had been idle for so long: for a
// while none that has been idle for half of that is used. It guards against servers, or what lies between, that give up
// idle connections without a word long before the timeout in the settings; an attempt on one may have run. It could harm
// where connections break whatever their age: then new ones are made, which cost their servers a little.
func (p *Pool) distrust(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Before(p.distrustUntil) {
		p.maxTrustedIdle = min(p.maxTrustedIdle, idle/2)
	} else {
		p.maxTrustedIdle = idle / 2
	}
	p.distrustUntil = time.Now().Add(distrustFor)
}

// dial makes a new connection. The error is errShortage where this machine lacked what it takes.
func (p *Pool) dial(ctx context.Context, server *routing.Server) (*upstreamConn, error) {
	p.mu.Lock()
	if p.total >= p.limits.PerSide() && !p.evict() {
		p.mu.Unlock()
		return nil, errNoDescriptors
	}
	p.total++
	p.mu.Unlock()
	conn, roundTrip, err := p.connect(ctx, server)
	if err != nil {
		p.mu.Lock()
		p.total--
		p.mu.Unlock()
		return nil, err
	}
	return p.newConn(server, conn, roundTrip), nil
}

// connect connects to a server, again and again for half of ctx's time while this machine lacks what it takes: such a lack
// passes, often in a moment, and no attempt at another server would fare better. The error is then errShortage, unless
// other servers could be reached meanwhile and it was this one's address that the machine had no way to.
func (p *Pool) connect(ctx context.Context, server *routing.Server) (conn *net.TCPConn, roundTrip time.Duration, err error) {
	startedAt := time.Now()
	deadline, _ := ctx.Deadline() // both callers set one
	giveUpAt := startedAt.Add(deadline.Sub(startedAt) / 2)
	for {
		p.counters.Dials.Add(1)
		dialer, dialledAt := net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1}, time.Now()
		dialled, err := dialer.DialContext(ctx, "tcp", server.Addr.String())
		if err == nil {
			connectedAt := time.Now()
			p.lastConnected.Store(&connectedAt)
			return dialled.(*net.TCPConn), connectedAt.Sub(dialledAt), nil
		}
		if !netio.LacksResources(err) && !netio.LacksRoute(err) {
			return nil, 0, err
		}
		p.counters.Shortages.Add(1)
		if last := p.lastConnected.Load(); netio.LacksRoute(err) && last != nil && last.After(startedAt) {
			return nil, 0, err
		}
		if time.Now().After(giveUpAt) {
			return nil, 0, fmt.Errorf("%w: %w", errShortage, err)
		}
		select {
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: %w", errShortage, err)
		case <-time.After(netio.ShortagePause):
		}
	}
}

// newConn makes a connection that is up the Pool's.
func (p *Pool) newConn(server *routing.Server, conn *net.TCPConn, roundTrip time.Duration) *upstreamConn {
	size, reader, now := p.limits.BufferSize(), netio.NewSocket(conn), time.Now()
	return &upstreamConn{
		conn: conn, reader: reader, server: server,
		in: netio.NewRingBuffer(conn, reader, size), out: netio.NewRingBuffer(conn, netio.NewSocket(conn), size),
		openedAt: now, idleSince: now,
		resetWait: min(max(resetWaitRoundTrips*roundTrip, minResetWait), maxResetWait),
	}
}

// put takes a connection back. One that carried nothing since get has been idle all along: its server's clock has run on.
// One whose server went out of service meanwhile is closed: no later sweep would find its stack.
func (p *Pool) put(conn *upstreamConn) {
	if conn.requests > conn.requestsAtPut {
		conn.idleSince, conn.requestsAtPut = time.Now(), conn.requests
	}
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

// close closes a connection that is not idle. One that is given up takes along what its server's machine has not
// acknowledged yet, which else would come there later, behind the node's back, and might run for nobody.
func (p *Pool) close(conn *upstreamConn, reason netio.CloseReason) {
	if (reason == netio.ReasonAttemptCancelled || reason == netio.ReasonServerTimeout) && conn.reader.HasUnacknowledged() {
		_ = conn.conn.SetLinger(0) // a reset; fails for a connection that is closed already
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(conn, reason)
}

func (p *Pool) closeLocked(conn *upstreamConn, reason netio.CloseReason) {
	p.total--
	netio.CloseConn(conn.conn)
	netio.LogClose(p.log, netio.SideServer, conn.server.Addr.String(), reason, conn.openedAt, conn.requests)
}

// evict closes the connection that has been idle longest, and reports whether there was one. p.mu is held.
func (p *Pool) evict() bool {
	var oldest *upstreamConn
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

// closeExpired closes what has been idle for too long, and what its server closed. The timer calls it on a goroutine of
// its own, and is set again as long as any connection is idle.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := time.Duration(-1) // until the next one expires
	for server, stack := range p.idle {
		kept := stack[:0]
		for _, conn := range stack {
			age := time.Since(conn.idleSince)
			switch {
			case age >= p.idleLimit():
				p.closeLocked(conn, netio.ReasonIdle)
				continue
			case !conn.usable():
				p.closeLocked(conn, netio.ReasonServerClosed)
				continue
			}
			if left := p.idleLimit() - age; next < 0 || left < next {
				next = left
			}
			kept = append(kept, conn)
		}
		if clear(stack[len(kept):]); len(kept) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = kept
		}
	}
	if p.timerSet = next >= 0; p.timerSet {
		p.timer.Reset(max(next, p.idleLimit()/8))
	}
}

// KeepOnly closes what is idle to servers that are not in service any more, from now on as it is put back.
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
