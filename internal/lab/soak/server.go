package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/lab/appserver"
	"cherrygap/internal/protocol"
)

// statusCompleted is the HTTP status of a completed request.
const statusCompleted = http.StatusOK

// responseBody returns the body of the response to a request.
func responseBody(id string) string { return "done " + id }

// behaviour is the way in which a server handles its requests.
type behaviour int32

const (
	behaveWell     behaviour = iota
	behaveHang               // reads requests and never responds
	behaveReset              // reads complete requests and resets the connection
	behaveCut                // resets the connection after half a response
	behaveReject             // rejects requests without executing them
	behaveFail               // responds with an error
	behaveStall              // reads nothing
	behaviourCount           // not a behaviour
)

// earlyIdleTimeout is the idle timeout of a server that closes connections early.
const earlyIdleTimeout = 60 * time.Millisecond

// Service times of requests.
const (
	minServiceTime = 2 * time.Millisecond
	maxServiceTime = 30 * time.Millisecond
)

// appServer is one app server, over its restarts. It reports each attempt to the checker.
type appServer struct {
	number  int
	checker *checker
	server  *appserver.Server

	behaves    atomic.Int32 // a behaviour
	closesIdle atomic.Bool  // after earlyIdleTimeout
	notifiedAt func(node int, published time.Time) time.Time
	busy       sync.Mutex // held by a fault that stops, starts or changes the server; guards no field

	mu               sync.Mutex         // guards the fields below
	processStartedAt time.Time          // of the present process, if it started during the run
	slowStarts       []slowStartAttempt // of the present process
	listedAt         time.Time          // when discovery published the present process
	drainingSince    time.Time          // when discovery published the drain; zero: in service
}

// newAppServer starts a server. notifiedAt returns when a node counts as notified of a change that was published at a time.
func newAppServer(number int, c *checker, notifiedAt func(node int, published time.Time) time.Time) (*appServer, error) {
	s := &appServer{number: number, checker: c, notifiedAt: notifiedAt}
	s.server = appserver.New(loopbackAddress(serverBlock, number), s.serve)
	return s, s.start()
}

// start begins to listen and to serve. Its goroutines end after kill.
func (s *appServer) start() error {
	if err := s.server.Listen(stampListener); err != nil {
		return fmt.Errorf("server %d: %w", s.number, err)
	}
	return nil
}

// restartProcess starts the server as a new process, whose slow start begins now.
func (s *appServer) restartProcess() error {
	s.mu.Lock()
	s.processStartedAt, s.slowStarts, s.listedAt = time.Now(), nil, time.Time{}
	s.mu.Unlock()
	return s.start()
}

// setDraining records when discovery published the server's drain.
func (s *appServer) setDraining(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainingSince = at
}

// setInService records when discovery published that the server is in service.
func (s *appServer) setInService(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainingSince, s.listedAt = time.Time{}, at
}

// checkDrain reports an attempt whose first byte arrived later than drainGrace after its node was notified of the drain.
func (s *appServer) checkDrain(id string, a *attempt) {
	s.mu.Lock()
	drainingSince := s.drainingSince
	s.mu.Unlock()
	node := s.checker.nodeOf(id)
	if drainingSince.IsZero() || node < 0 {
		return
	}
	late := a.firstByte.Sub(s.notifiedAt(node, drainingSince)) - drainGrace - graceSlack - harnessSlack - s.checker.lag.around(a.begunAt)
	if late > 0 {
		s.checker.report(ruleDraining, node, id, "server %d got it %v past the grace", s.number, late)
	}
}

// kill closes the listener and resets all connections.
func (s *appServer) kill() { s.server.Kill() }

// serve serves the requests of a connection until it ends.
func (s *appServer) serve(conn net.Conn) {
	stamped, err := newStampedConn(conn.(*net.TCPConn))
	if err != nil {
		return
	}
	reader := bufio.NewReader(stamped)
	for s.serveRequest(stamped, reader) {
	}
}

// serveRequest serves one request, and reports whether the connection stays open.
func (s *appServer) serveRequest(conn *stampedConn, reader *bufio.Reader) bool {
	stalled := behaviour(s.behaves.Load()) == behaveStall
	for behaviour(s.behaves.Load()) == behaveStall && time.Since(s.checker.startedAt) < s.checker.length {
		time.Sleep(maxServiceTime)
	}
	if s.closesIdle.Load() {
		_ = conn.SetReadDeadline(time.Now().Add(earlyIdleTimeout))
	} else {
		_ = conn.SetReadDeadline(time.Time{})
	}
	conn.begin()
	request, err := appserver.ReadRequest(reader)
	if err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	a := &attempt{server: s.number, firstByte: conn.first, begunAt: conn.last, timeout: request.Timeout}
	how := behaviour(s.behaves.Load())
	a.notExecuted = how == behaveReject
	a.readLate = stalled || time.Since(a.begunAt) > readLateThreshold
	s.checker.recordAttempt(request.ID, a)
	s.recordSlowStart(request.ID, a.begunAt)
	s.checkDrain(request.ID, a)
	defer s.checker.recordAttemptEnd(a)
	return s.respond(conn, reader, how, request.ID)
}

// respond waits for the service time and responds, unless the connection is closed meanwhile. It reports whether the
// connection stays open.
func (s *appServer) respond(conn net.Conn, reader *bufio.Reader, how behaviour, id string) bool {
	serviceTime := time.Duration(0)
	switch how {
	case behaveReject:
	case behaveHang, behaveStall:
		serviceTime = time.Minute
	default:
		serviceTime = minServiceTime + time.Duration(rand.Int64N(int64(maxServiceTime-minServiceTime)))
	}
	if serviceTime > 0 && connClosed(conn, reader, serviceTime) {
		return false
	}
	body := responseBody(id)
	switch how {
	case behaveReset:
		appserver.ResetConn(conn)
		return false
	case behaveCut:
		_ = appserver.WriteHalfResponse(conn, body) // fails if the node has closed the connection
		appserver.ResetConn(conn)
		return false
	case behaveReject:
		rejected := protocol.HeaderRejected + ": " + protocol.RejectedValue
		return appserver.WriteResponse(conn, http.StatusServiceUnavailable, "full", rejected) == nil
	case behaveFail:
		return appserver.WriteResponse(conn, http.StatusInternalServerError, "failed") == nil
	}
	return appserver.WriteResponse(conn, statusCompleted, body) == nil
}

// connClosed waits for a time, and reports whether the connection was closed meanwhile.
func connClosed(conn net.Conn, reader *bufio.Reader, within time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}
