package frontend

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
	"cherrygap/internal/routing"
	"cherrygap/internal/upstream"
)

// Times of clients' connections.
const (
	firstByteTimeout = 100 * time.Millisecond // of a new connection, before others' needs go first
	finalAcceptWait  = 2 * time.Millisecond   // for connections that wait in the listener's queue when it is to close
	finalAccepts     = 2                      // so many of these waits have to find nobody
)

// Server accepts clients' HTTP connections and serves them.
type Server struct {
	router     *routing.Router
	pool       *upstream.Pool
	limits     netio.Limits
	authorizer Authorizer // nil where no request is checked
	log        *zerolog.Logger
	counters   *Counters
	listener   *net.TCPListener
	requestIDs *requestIDs

	slots       chan struct{}  // holds one for each open connection, but for one that waits
	acceptDone  chan struct{}  // closed once acceptLoop has returned
	conns       sync.WaitGroup // acceptLoop and each connection
	draining    atomic.Bool    // responses close their connections
	closingIdle atomic.Bool    // idle connections are closed
	atLimit     atomic.Bool    // acceptLoop waits for a slot

	mu       sync.Mutex // guards all below, and clientConn.evicted
	clients  map[*clientConn]struct{}
	evicting bool // one of them is being evicted
}

// Listen starts to serve clients on an address. Their requests are checked by authorizer, if there is one. Drain ends it.
func Listen(addr string, router *routing.Router, pool *upstream.Pool, limits netio.Limits, authorizer Authorizer, log *zerolog.Logger,
	counters *Counters,
) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err // which names the address
	}
	s := &Server{
		router: router, pool: pool, limits: limits, authorizer: authorizer, log: log, counters: counters,
		listener: listener.(*net.TCPListener), requestIDs: newRequestIDs(),
		slots:      make(chan struct{}, limits.HTTPConnections()),
		acceptDone: make(chan struct{}),
		clients:    map[*clientConn]struct{}{},
	}
	s.conns.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// acceptLoop accepts one connection after another until Drain has closed the listener, on a goroutine that Listen starts.
func (s *Server) acceptLoop() {
	defer s.conns.Done()
	defer close(s.acceptDone)
	var acceptUntil time.Time // set once the listener is to close
	for emptyAccepts := 0; ; {
		// Connections that wait in the listener's queue when it closes would be reset, so they are accepted first. Past its
		// deadline a listener's queue is not even looked at, so each look has a short deadline of its own.
		if !acceptUntil.IsZero() {
			netio.SetAcceptDeadline(s.listener, netio.Earlier(acceptUntil, time.Now().Add(finalAcceptWait)))
		}
		conn, err := s.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if netio.TimedOut(err) {
			if acceptUntil.IsZero() {
				acceptUntil = time.Now().Add(firstByteTimeout)
			} else if emptyAccepts++; emptyAccepts >= finalAccepts {
				netio.CloseConn(s.listener)
				return
			}
			continue
		}
		emptyAccepts = 0
		if err != nil { // none of the node's own making; never a reason to stop
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(netio.ErrorPause)
			continue
		}
		s.add(conn)
	}
}

// add starts to serve an accepted connection. At the limit it waits for a slot while the client that has been idle
// longest is closed, which may come again on a new connection; further ones wait in the kernel meanwhile.
func (s *Server) add(conn *net.TCPConn) {
	acceptedAt, waited := time.Now(), false
	select {
	case s.slots <- struct{}{}:
	default:
		s.atLimit.Store(true) // who falls idle from now on makes room too
		s.evict()
		s.slots <- struct{}{}
		s.atLimit.Store(false)
		waited = true
	}
	s.counters.Connections.Add(1)
	client := newClientConn(s, conn)
	if waited {
		client.waitedSince = acceptedAt
	}
	s.mu.Lock()
	s.clients[client] = struct{}{}
	s.mu.Unlock()
	s.conns.Add(1)
	go client.serve()
}

// remove forgets a connection that was closed.
func (s *Server) remove(client *clientConn) {
	s.mu.Lock()
	delete(s.clients, client)
	s.evicting = s.evicting && !client.evicted
	s.mu.Unlock()
	<-s.slots
	s.conns.Done()
}

// evict closes the connection that has been idle longest, if one is idle and none is being evicted; those that
// never sent a whole request go first, or a crowd of them would push out the clients that do.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evicting {
		return
	}
	var passedOver map[*clientConn]bool // bytes are on their way there: made only where there is such a one
	for first := s.firstToEvict(nil); first != nil; first = s.firstToEvict(passedOver) {
		if !first.mustStayOpen() && first.guard.tryClose(!first.hasRequested.Load()) {
			s.evicting, first.evicted = true, true
			first.close(netio.ReasonEvicted)
			return
		}
		if passedOver == nil {
			passedOver = map[*clientConn]bool{}
		}
		passedOver[first] = true
	}
}

// firstToEvict is the connection to be evicted before all others, but for those passed over; nil where none is idle.
func (s *Server) firstToEvict(passedOver map[*clientConn]bool) *clientConn {
	var first *clientConn
	for client := range s.clients {
		if !passedOver[client] && client.evictable() && (first == nil || client.evictedBefore(first)) {
			first = client
		}
	}
	return first
}

// evictionRank orders connections by what they did since they came. The lowest is evicted first.
type evictionRank int

const (
	rankNeverRequested evictionRank = iota // though it had the time to
	rankRequested
	rankNew // its request may be on its way
)

func (c *clientConn) evictionRank() evictionRank {
	switch {
	case c.hasRequested.Load():
		return rankRequested
	case time.Since(c.acceptedAt) >= firstByteTimeout:
		return rankNeverRequested
	}
	return rankNew
}

// evictedBefore reports which of two idle connections is closed first: by rank, then the one that has been idle longer.
func (c *clientConn) evictedBefore(other *clientConn) bool {
	if mine, others := c.evictionRank(), other.evictionRank(); mine != others {
		return mine < others
	}
	return c.idleSinceTime().Before(other.idleSinceTime())
}

// nearLimit reports whether so many connections are open that each response is to be its connection's last: among
// clients that ask once and stay, one that may go again keeps nobody out. Usual loads are far below it.
func (s *Server) nearLimit() bool { return 2*len(s.slots) > cap(s.slots) }

// wantsClose reports whether responses are to be their connections' last.
func (s *Server) wantsClose() bool { return s.draining.Load() || s.nearLimit() }

// Drain shuts the server down. It answers what comes with a close, goes on accepting for a while, accepts what waits
// in the listener's queue, then closes what is idle, and returns once every client has its response.
func (s *Server) Drain(accept time.Duration) {
	s.draining.Store(true)
	netio.SetAcceptDeadline(s.listener, time.Now().Add(accept))
	select {
	case <-s.acceptDone:
	case <-time.After(accept + 2*firstByteTimeout): // it waits for a slot
		netio.CloseConn(s.listener)
	}
	empty := make(chan struct{})
	go func() { // ends once the last connection is closed, which the loop below waits for
		s.conns.Wait()
		close(empty)
	}()
	for s.closingIdle.Store(true); ; {
		s.closeIdle()
		select {
		case <-empty:
			return
		case <-time.After(firstByteTimeout / 10):
		}
	}
}

// closeIdle closes the connections that are idle, but for those with a request on the way: one that has only come has
// its time to send one, one whose request has begun may finish it, and where bytes wait unread they are read first.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for client := range s.clients {
		if !client.mayStillSend() && !client.mustStayOpen() && client.guard.tryClose(false) {
			client.close(netio.ReasonNodeDraining)
		}
	}
}

// mayStillSend reports whether a connection has only come, and has its time to send a first request.
func (c *clientConn) mayStillSend() bool {
	return !c.hasRequested.Load() && time.Since(c.acceptedAt) < firstByteTimeout
}
