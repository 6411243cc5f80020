package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/routing"
)

// Server takes in clients.
type Server struct {
	router *routing.Router
	pool   *Pool
	limits Limits
	check  Authorizer
	log    *zerolog.Logger
	count  *Counters

	ln       *net.TCPListener
	ids      *ids
	slots    chan struct{} // one for each connection there may be, beside one that waits
	draining atomic.Bool   // answers close their connections
	closing  atomic.Bool   // idle connections are closed
	shut     chan struct{} // accept has taken in all that had come
	crowded  atomic.Bool   // accept waits for a connection to end
	open     sync.WaitGroup
	mu       sync.Mutex
	clients  map[*client]struct{}
	evicted  bool // one is being evicted
}

// Listen starts to take in clients. Their tickets are checked by check, if there is one.
func Listen(addr string, router *routing.Router, pool *Pool, limits Limits, check Authorizer, log *zerolog.Logger,
	count *Counters,
) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &Server{
		router: router, pool: pool, limits: limits, check: check, log: log, count: count, ln: ln.(*net.TCPListener),
		ids: newIDs(), slots: make(chan struct{}, limits.clients()), clients: map[*client]struct{}{},
		shut: make(chan struct{}),
	}
	f.open.Add(1)
	go f.accept()
	return f, nil
}

// accept takes one connection after another. At the limit a new one waits while the client that has been idle
// longest makes room, which may ask again on a new connection; the rest wait in the kernel.
func (f *Server) accept() {
	defer f.open.Done()
	defer close(f.shut)
	var last time.Time // the door closes: nobody is taken in from then on
	for looks := 0; ; {
		// What stands before the door when it closes would be reset, so it is taken in first. Past its deadline a
		// listener is not even asked, so each look has a short one of its own, until two find nobody.
		if !last.IsZero() {
			f.ln.SetDeadline(earlier(last, time.Now().Add(lastLook)))
		}
		conn, err := f.ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if timedOut(err) {
			if last.IsZero() {
				last = time.Now().Add(askWithin)
			} else if looks++; looks > 1 {
				f.ln.Close()
				return
			}
			continue
		}
		looks = 0
		if err != nil { // none of our own making; never a reason to stop
			f.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(againSoon)
			continue
		}
		came, waited := time.Now(), false
		select {
		case f.slots <- struct{}{}:
		default:
			f.crowded.Store(true) // whoever falls idle from now on makes room too
			f.evict()
			f.slots <- struct{}{}
			f.crowded.Store(false)
			waited = true
		}
		f.count.Connections.Add(1)
		c := newClient(f, conn)
		if waited {
			c.held = came
		}
		f.mu.Lock()
		f.clients[c] = struct{}{}
		f.mu.Unlock()
		f.open.Add(1)
		go c.read()
	}
}

// evict closes the connection that has been idle longest, if one is idle and none is being evicted; those that
// never sent a whole request go first, or a crowd of them would push out the clients that ask.
func (f *Server) evict() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evicted {
		return
	}
	var oldest *client
	for c := range f.clients {
		if c.idle.Load() && (oldest == nil || c.before(oldest)) {
			oldest = c
		}
	}
	if oldest != nil && oldest.idle.CompareAndSwap(true, false) {
		f.evicted, oldest.leaves = true, true
		oldest.end(evicted)
	}
}

// before tells which of two idle connections is closed first: one that had its time to ask and did not, then the
// one that has been idle longest, and last one that has only come, whose request may be on its way.
func (c *client) before(o *client) bool {
	if a, b := c.standing(), o.standing(); a != b {
		return a < b
	}
	return c.idleAt.Load() < o.idleAt.Load()
}

func (c *client) standing() int {
	switch {
	case c.asked.Load():
		return 1
	case time.Since(c.began) >= askWithin:
		return 0
	}
	return 2
}

// tight tells whether so many connections are open that each answer is to be its connection's last: among clients
// that ask once and stay, one that may go again keeps nobody out. Calm days are far below it.
func (f *Server) tight() bool { return 2*len(f.slots) > cap(f.slots) }

// Drain answers what comes with a close, goes on accepting for a while, takes in what stands before the door, then
// closes what is idle, and returns once every client has its answer.
func (f *Server) Drain(accept time.Duration) {
	f.draining.Store(true)
	f.ln.SetDeadline(time.Now().Add(accept))
	select {
	case <-f.shut:
	case <-time.After(accept + 2*askWithin): // it waits for a slot
		f.ln.Close()
	}
	empty := make(chan struct{})
	go func() { f.open.Wait(); close(empty) }()
	for f.closing.Store(true); ; {
		f.letGo()
		select {
		case <-empty:
			return
		case <-time.After(askWithin / 10):
		}
	}
}

// letGo closes the connections that are idle, but for those with a request on the way: one that has only come has its
// time to ask, one whose first request has begun may finish it, and where bytes wait unread they are read first.
func (f *Server) letGo() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if !c.idle.Load() || !c.asked.Load() && time.Since(c.began) < askWithin || unread(c.conn) {
			continue
		}
		// What came before that look is there no more because it has been read: then its reader is at it, or has said so.
		if !c.sock.taking.Load() && (c.asked.Load() || !c.half.Load()) && c.idle.CompareAndSwap(true, false) {
			c.end(nodeDrains)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (f *Server) gone(c *client) {
	f.mu.Lock()
	delete(f.clients, c)
	f.evicted = f.evicted && !c.leaves
	f.mu.Unlock()
	<-f.slots
	f.open.Done()
}
