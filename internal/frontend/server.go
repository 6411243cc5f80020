package frontend

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/membudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/routing"
	"cherrygap/internal/upstream"
)

const (
	// firstRequestGrace is the age below which a connection without a request counts as new: its first request may be in
	// transit. Drain keeps new connections open, and evictions close them last.
	firstRequestGrace = 100 * time.Millisecond
	// finalAcceptTimeout is the timeout of one Accept call while the listener drains.
	finalAcceptTimeout = 2 * time.Millisecond
	// maxEmptyAccepts is the number of consecutive Accept timeouts after which acceptLoop closes a draining listener.
	maxEmptyAccepts = 2
)

// Server accepts client HTTP connections and serves them. It is safe for concurrent use.
type Server struct {
	router     *routing.Router
	pool       *upstream.Pool
	limits     netio.Limits
	memory     *membudget.Budget // counts requests; nil for no limit
	authorizer Authorizer        // nil admits all requests
	log        *zerolog.Logger
	counters   *Counters
	listener   *net.TCPListener
	drainLimit time.Duration // longest time of Drain; 0 for no limit

	earliestSignal func(now time.Time) time.Time // Config.EarliestSignal

	requestIDs *requestIDs
	overhead   *overheadPacer

	slots       chan struct{}  // semaphore that holds one element for each open connection
	acceptDone  chan struct{}  // closed when acceptLoop returns
	conns       sync.WaitGroup // counts acceptLoop and each connection
	draining    atomic.Bool    // set by Drain; makes wantsClose true
	closingIdle atomic.Bool    // set once Drain begins to close idle connections
	atLimit     atomic.Bool    // set while acceptLoop waits for a slot
	idle        atomic.Int64   // number of connections that have had a response and send nothing
	discarding  atomic.Int64   // number of connections whose input is discarded
	deferred    atomic.Int64   // number of connections in awaitTurn

	drainDeadline atomic.Int64 // end of the drain, in nanoseconds after startedAt; 0 before Drain and without a limit
	startedAt     time.Time    // time of Listen

	mu         sync.Mutex // guards the fields below and clientConn.evicted
	clients    map[*clientConn]struct{}
	evicting   int       // number of evicted connections that have not released their slots yet
	relievedAt time.Time // time of the last pass of relieveMemory

	shortageLoggedAt time.Time // time of the last log line about missing memory
}

// Config is the configuration of a Server. All fields are required except Memory,
// Authorizer, DrainLimit, EarliestSignal and Processors.
type Config struct {
	Addr       string // address and port to listen on
	Router     *routing.Router
	Pool       *upstream.Pool
	Limits     netio.Limits
	Memory     *membudget.Budget // counts large requests, and those in flight; nil for no limit
	Authorizer Authorizer        // checks each request; nil admits all requests
	DrainLimit time.Duration     // time from Drain's call until each request has its response; 0 for no limit
	// EarliestSignal returns the earliest time at which a signal that is not handled yet may have been sent; nil for the time itself.
	EarliestSignal func(now time.Time) time.Time

	Processors float64 // number of processors that the node may use; 0 for those of the Go scheduler
	Log        *zerolog.Logger
	Counters   *Counters
}

// processors returns the number of processors that the node may use.
func (cfg Config) processors() float64 {
	if scheduled := float64(runtime.GOMAXPROCS(0)); cfg.Processors <= 0 || cfg.Processors > scheduled {
		return scheduled
	}
	return cfg.Processors
}

// Listen starts a server. Drain shuts it down.
func Listen(cfg Config) (*Server, error) {
	listening := net.ListenConfig{KeepAlive: -1, Control: netio.ListenerControl(cfg.Limits.ReceiveBuffer())}
	listener, err := listening.Listen(context.Background(), "tcp", cfg.Addr)
	if err != nil {
		return nil, err // the error names the address
	}
	s := &Server{
		router:     cfg.Router,
		pool:       cfg.Pool,
		limits:     cfg.Limits,
		memory:     cfg.Memory,
		authorizer: cfg.Authorizer,
		log:        cfg.Log,
		counters:   cfg.Counters,
		listener:   listener.(*net.TCPListener),
		drainLimit: cfg.DrainLimit,
		startedAt:  time.Now(),
		requestIDs: newRequestIDs(recentIDs(cfg.Limits), time.Now),
		overhead:   newOverheadPacer(cfg.processors(), cfg.Counters),
		slots:      make(chan struct{}, cfg.Limits.HTTPConnections()),
		acceptDone: make(chan struct{}),
		clients:    map[*clientConn]struct{}{},

		earliestSignal: cfg.EarliestSignal,
	}
	if s.earliestSignal == nil {
		s.earliestSignal = func(now time.Time) time.Time { return now }
	}
	s.memory.OnShortage(s.relieveMemory)
	s.conns.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// acceptLoop accepts connections until the listener is closed. It runs on its own goroutine.
//
// Drain sets a deadline on the listener. After that deadline the listener drains for at most firstRequestGrace: acceptLoop
// accepts the connections in the listener's queue, which a close would reset, and then closes the listener.
func (s *Server) acceptLoop() {
	defer s.conns.Done()
	defer close(s.acceptDone)
	var drainUntil time.Time // end of the listener's drain; zero until the drain begins
	for emptyAccepts := 0; ; {
		if !drainUntil.IsZero() { // after its deadline Accept ignores the queue, so each call gets a new deadline
			netio.SetAcceptDeadline(s.listener, netio.Earlier(drainUntil, time.Now().Add(finalAcceptTimeout)))
		}
		s.awaitAccept()
		calledAt := time.Now()
		conn, err := s.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if netio.TimedOut(err) {
			if drainUntil.IsZero() {
				drainUntil = time.Now().Add(firstRequestGrace)
			} else if emptyAccepts++; emptyAccepts >= maxEmptyAccepts {
				netio.CloseConn(s.listener)
				return
			}
			continue
		}
		emptyAccepts = 0
		if err != nil { // the error is transient, so the listener stays usable
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(netio.ErrorRetryDelay)
			continue
		}
		if s.dropEnded(conn, calledAt) {
			continue
		}
		s.add(conn, acceptCost(calledAt))
	}
}

// acceptCost returns the processor time of an accept that began at the given time.
func acceptCost(calledAt time.Time) time.Duration { return min(time.Since(calledAt), maxAcceptCost) }

// add starts to serve an accepted connection, unless dropLongHead closes it. At the limit it first evicts an idle connection and waits for a slot.
// Meanwhile further connections wait in the kernel's queue. acceptCost is the time that the accept took.
func (s *Server) add(conn *net.TCPConn, acceptCost time.Duration) {
	acceptedAt, waited := time.Now(), false
	select {
	case s.slots <- struct{}{}:
	default:
		if s.dropLongHead(conn, acceptedAt.Add(-acceptCost)) {
			return
		}
		s.atLimit.Store(true) // from now on markIdle also calls evict
		s.awaitSlot()
		s.atLimit.Store(false)
		waited = true
	}
	s.counters.Connections.Add(1)
	slotAt := time.Now()
	s.overhead.budget.ObserveSlots(slotAt, waited)
	client := newClientConn(s, conn)
	if waited {
		client.queuedSince = acceptedAt
	}
	s.mu.Lock()
	s.clients[client] = struct{}{}
	s.mu.Unlock()
	s.conns.Add(1)
	client.setupTime = acceptCost + time.Since(slotAt)
	s.overhead.measure(client.setupTime)
	client.reserved = s.overhead.budget.Reserve(slotAt, cpubudget.Connection)
	go client.serve()
}

// evictInterval is the time between two evictions while a connection waits for a slot. Clients may halt meanwhile, which no event
// reports.
const evictInterval = 10 * time.Millisecond

// awaitSlot evicts connections until a slot is free, and takes it.
func (s *Server) awaitSlot() {
	for {
		s.evict()
		select {
		case s.slots <- struct{}{}:
			return
		case <-time.After(evictInterval):
		}
	}
}

// remove removes a closed connection and releases its slot.
func (s *Server) remove(client *clientConn) {
	s.mu.Lock()
	delete(s.clients, client)
	if client.evicted {
		s.evicting--
	}
	s.mu.Unlock()
	<-s.slots
	s.conns.Done()
}

// nearLimit reports whether more than half of the slots are in use by connections that have had a response and send nothing. Each
// response then closes its connection unless pipelined bytes were read, counting that connection too. Otherwise clients that send one request and stay connected
// would use up the slots. Where others use them up, clients that send requests keep their connections, so they don't have to wait for
// slots.
func (s *Server) nearLimit() bool { return 2*(s.idle.Load()+1) > int64(cap(s.slots)) }

// wantsClose reports whether each response should close its connection.
func (s *Server) wantsClose() bool { return s.draining.Load() || s.nearLimit() }

// needsSlots reports whether connections have to end now, even if their clients have sent further requests: a new connection waits for
// a slot, or the drain no longer accepts connections.
func (s *Server) needsSlots() bool { return s.atLimit.Load() || s.closingIdle.Load() }
