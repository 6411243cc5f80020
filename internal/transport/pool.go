package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// retireAt is the part of the app servers' idle time after which the node closes a connection itself, so
// that no execution is written to one that its server closes at that moment and so may have run.
const retireAt = 0.8

// link is one connection to an app server.
type link struct {
	conn    *net.TCPConn
	sock    *socket
	addr    netip.AddrPort
	in, out ring
	began   time.Time
	idleAt  time.Time
	used    int
}

// Pool keeps the connections to app servers, for each a stack of idle ones.
type Pool struct {
	limits Limits
	log    *zerolog.Logger
	count  *Counters

	mu    sync.Mutex
	idle  map[netip.AddrPort][]*link
	total int // idle, in use and being dialled
	timer *time.Timer
	armed bool
}

// NewPool makes an empty pool.
func NewPool(limits Limits, log *zerolog.Logger, count *Counters) *Pool {
	p := &Pool{limits: limits, log: log, count: count, idle: map[netip.AddrPort][]*link{}}
	p.timer = time.AfterFunc(time.Hour, p.retire)
	return p
}

func (p *Pool) retirement() time.Duration { return time.Duration(float64(p.limits.Idle) * retireAt) }

// errFull is that no descriptor is left for one more connection.
var errFull = errors.New("no descriptor left")

// take is the idle connection to a server that was last used, or nil.
func (p *Pool) take(addr netip.AddrPort) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		stack := p.idle[addr]
		if len(stack) == 0 {
			return nil
		}
		l := stack[len(stack)-1]
		p.idle[addr] = stack[:len(stack)-1]
		if p.limits.Idle > 0 && time.Since(l.idleAt) >= p.retirement() {
			p.drop(l, idled)
		} else if !l.sound() {
			p.drop(l, serverClosed)
		} else {
			return l
		}
	}
}

// dial makes a new connection.
func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*link, error) {
	p.mu.Lock()
	if p.total >= p.limits.side() && !p.evict() {
		p.mu.Unlock()
		return nil, errFull
	}
	p.total++
	p.mu.Unlock()
	p.count.Dialled.Add(1)
	d := net.Dialer{Timeout: p.limits.Connect, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		p.mu.Lock()
		p.total--
		p.mu.Unlock()
		return nil, err
	}
	conn := c.(*net.TCPConn)
	size, sock := p.limits.ring(), newSocket(conn)
	return &link{conn: conn, sock: sock, addr: addr, in: newRing(conn, sock, size),
		out: newRing(conn, newSocket(conn), size), began: time.Now()}, nil
}

// sound tells whether an idle connection can be used. It guards against servers that closed it, where an
// execution would end as one that may have run.
func (l *link) sound() bool {
	l.conn.SetDeadline(time.Time{})
	return l.in.r == l.in.w && l.sock.silent()
}

// put takes a connection back.
func (p *Pool) put(l *link) {
	l.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[l.addr] = append(p.idle[l.addr], l)
	if p.limits.Idle > 0 && !p.armed {
		p.armed = true
		p.timer.Reset(p.retirement())
	}
}

// end closes a connection that is not idle.
func (p *Pool) end(l *link, why reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(l, why)
}

func (p *Pool) drop(l *link, why reason) {
	p.total--
	l.conn.Close()
	logEnd(p.log, "server", l.addr.String(), why, l.began, l.used)
}

// evict closes the connection that has been idle longest.
func (p *Pool) evict() bool {
	var oldest *link
	for _, stack := range p.idle {
		if len(stack) > 0 && (oldest == nil || stack[0].idleAt.Before(oldest.idleAt)) {
			oldest = stack[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	p.drop(oldest, evicted)
	return true
}

// retire closes what has been idle for too long, and what its server closed.
func (p *Pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := time.Duration(-1)
	for addr, stack := range p.idle {
		kept := stack[:0]
		for _, l := range stack {
			age := time.Since(l.idleAt)
			switch {
			case age >= p.retirement():
				p.drop(l, idled)
				continue
			case !l.sound():
				p.drop(l, serverClosed)
				continue
			}
			if left := p.retirement() - age; next < 0 || left < next {
				next = left
			}
			kept = append(kept, l)
		}
		if clear(stack[len(kept):]); len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	if p.armed = next >= 0; p.armed {
		p.timer.Reset(max(next, p.retirement()/8))
	}
}

// Keep closes what is idle to servers that are not in service any more.
func (p *Pool) Keep(inService func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, stack := range p.idle {
		if !inService(addr) {
			for _, l := range stack {
				p.drop(l, serverDropped)
			}
			delete(p.idle, addr)
		}
	}
}
