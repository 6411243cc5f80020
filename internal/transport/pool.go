package transport

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/routing"
)

// retireAt is the part of the app servers' idle time after which the node closes a connection itself, so
// that no execution is written to one that its server closes at that moment and so may have run.
const retireAt = 0.8

// settleFor is how long a connection stays out of use after an answer, so that a second one is seen before it would pass
// for the next ticket's: six times as long as any was seen to take. It costs a connection for each execution that a
// server gets within that time, which is few: a node sends a server some ten a second.
const settleFor = 30 * time.Millisecond

// A connection that breaks so soon after a request was written had died before; it is remembered for a while.
const (
	diedWithin = 10 * time.Millisecond
	waryFor    = 10 * time.Second
	mostFresh  = 2 // new connections for one execution, which has not begun before its last byte
)

// link is one connection to an app server.
type link struct {
	conn    *net.TCPConn
	sock    *socket
	server  *routing.Server
	in, out ring
	began   time.Time
	shows   time.Duration // a connection that has died shows it so soon, once written to
	idleAt  time.Time     // since when it carries nothing, as its server's clock has it
	used    int
	rested  int // its uses when it was last put back
}

// Pool keeps the connections to app servers, for each a stack of idle ones. They are of a server, not of an
// address: one that is new may have the address of one that has gone, whose connections stand open and silent.
type Pool struct {
	limits Limits
	log    *zerolog.Logger
	count  *Counters

	mu    sync.Mutex
	idle  map[*routing.Server][]*link
	total int // idle, in use and being dialled
	timer *time.Timer
	armed bool

	serves func(*routing.Server) bool // as of the last list; nil before any

	wary  time.Time     // until then
	trust time.Duration // what has been idle for so long is not used
}

// NewPool makes an empty pool.
func NewPool(limits Limits, log *zerolog.Logger, count *Counters) *Pool {
	p := &Pool{limits: limits, log: log, count: count, idle: map[*routing.Server][]*link{}}
	p.timer = time.AfterFunc(time.Hour, p.retire)
	return p
}

func (p *Pool) retirement() time.Duration {
	return time.Duration(float64(p.limits.ServerIdleTimeout) * retireAt)
}

// errFull is that no descriptor is left for one more connection.
var errFull = errors.New("no descriptor left")

// take is the idle connection to a server that was last used, but for those that came back only just: bytes that
// a server sends right behind an answer must be seen before the next execution, whose answer they would pass for.
func (p *Pool) take(s *routing.Server) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for stack := p.idle[s]; len(stack) > 0; stack = p.idle[s] {
		i := len(stack) - 1
		for i >= 0 && time.Since(stack[i].idleAt) < settleFor {
			i--
		}
		if i < 0 {
			return nil
		}
		l := stack[i]
		p.idle[s] = slices.Delete(stack, i, i+1)
		if age := time.Since(l.idleAt); p.limits.ServerIdleTimeout > 0 && age >= p.retirement() ||
			age >= p.trust && time.Now().Before(p.wary) {
			p.drop(l, idled)
		} else if !l.sound() {
			p.drop(l, serverClosed)
		} else {
			return l
		}
	}
	return nil
}

// distrust notes that a connection broke as soon as it was used after it had been idle for so long: for a while
// none that has been idle for half of that is used. It guards against servers, or what lies between, that give up
// idle connections without a word long before the time in the settings; an execution on one may have run. It could
// harm where connections break whatever their age: then new ones are made, which cost their servers a little.
func (p *Pool) distrust(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Before(p.wary) {
		p.trust = min(p.trust, idle/2)
	} else {
		p.trust = idle / 2
	}
	p.wary = time.Now().Add(waryFor)
}

// dial makes a new connection.
func (p *Pool) dial(ctx context.Context, s *routing.Server) (*link, error) {
	p.mu.Lock()
	if p.total >= p.limits.side() && !p.evict() {
		p.mu.Unlock()
		return nil, errFull
	}
	p.total++
	p.mu.Unlock()
	p.count.Dials.Add(1)
	d, asked := net.Dialer{Timeout: p.limits.ConnectTimeout, KeepAlive: -1}, time.Now()
	c, err := d.DialContext(ctx, "tcp", s.Addr.String())
	if err != nil {
		p.mu.Lock()
		p.total--
		p.mu.Unlock()
		return nil, err
	}
	conn := c.(*net.TCPConn)
	size, sock, now := p.limits.ring(), newSocket(conn), time.Now()
	return &link{
		conn: conn, sock: sock, server: s, in: newRing(conn, sock, size),
		out: newRing(conn, newSocket(conn), size), began: now, idleAt: now,
		shows: min(max(breakTrips*now.Sub(asked), breakLeast), breakWithin),
	}, nil
}

// sound tells whether an idle connection can be used. It guards against servers that closed it, where an
// execution would end as one that may have run.
func (l *link) sound() bool {
	l.conn.SetDeadline(time.Time{})
	return l.in.r == l.in.w && l.sock.silent()
}

// put takes a connection back. One that carried nothing since it was taken has been idle all along: its server's clock
// has run on. One whose server went out of service meanwhile is closed: no later sweep would find its stack.
func (p *Pool) put(l *link) {
	if l.used > l.rested {
		l.idleAt, l.rested = time.Now(), l.used
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serves != nil && !p.serves(l.server) {
		p.drop(l, serverDropped)
		return
	}
	p.idle[l.server] = append(p.idle[l.server], l)
	if p.limits.ServerIdleTimeout > 0 && !p.armed {
		p.armed = true
		p.timer.Reset(p.retirement())
	}
}

// end closes a connection that is not idle. One that is given up takes along what its server's machine has not taken yet,
// which else would come there later, behind the node's back, and might run for nobody.
func (p *Pool) end(l *link, why reason) {
	if (why == withdrawn || why == serverLate) && l.sock.untaken() {
		l.conn.SetLinger(0)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(l, why)
}

func (p *Pool) drop(l *link, why reason) {
	p.total--
	l.conn.Close()
	logEnd(p.log, "server", l.server.Addr.String(), why, l.began, l.used)
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
	p.idle[oldest.server] = p.idle[oldest.server][1:]
	p.drop(oldest, evicted)
	return true
}

// retire closes what has been idle for too long, and what its server closed.
func (p *Pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := time.Duration(-1)
	for s, stack := range p.idle {
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
			delete(p.idle, s)
		} else {
			p.idle[s] = kept
		}
	}
	if p.armed = next >= 0; p.armed {
		p.timer.Reset(max(next, p.retirement()/8))
	}
}

// KeepOnly closes what is idle to servers that are not in service any more, from now on as it comes back.
func (p *Pool) KeepOnly(inService func(*routing.Server) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serves = inService
	for s, stack := range p.idle {
		if !inService(s) {
			for _, l := range stack {
				p.drop(l, serverDropped)
			}
			delete(p.idle, s)
		}
	}
}
