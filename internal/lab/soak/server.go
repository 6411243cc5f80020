package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/lab/appserver"
	"cherrygap/internal/protocol"
)

// statusCompleted is the HTTP status of the response to an executed request.
const statusCompleted = http.StatusOK

// responseBody returns the body of the response to the request with an ID.
func responseBody(id string) string { return "done " + id }

// behaviour is the way in which a server handles its requests.
type behaviour int32

const (
	behaveNormally  behaviour = iota
	behaveHang                // The server reads requests, and responds only after a minute.
	behaveReset               // The server reads complete requests and resets the connection.
	behaveTruncate            // The server resets the connection after half a response.
	behaveReject              // The server rejects requests without executing them.
	behaveFail                // The server responds with status 500.
	behaveStall               // The server does not begin to read requests, and hangs on one for which it was already waiting.
	behaveInterim             // The server sends an interim response before the service time of each request.
	behaveAmbiguous           // The server executes requests, and its responses end at different bytes for different recipients.
	behaviourCount            // number of behaviours, itself not a behaviour
)

// earlyIdleTimeout is the idle timeout of a server that closes idle connections early.
const earlyIdleTimeout = 60 * time.Millisecond

// Bounds of the service times of requests.
const (
	minServiceTime = 2 * time.Millisecond
	maxServiceTime = 30 * time.Millisecond
)

// appServer is one app server, across its restarts. It records each attempt in the checker.
type appServer struct {
	number  int
	checker *checker
	server  *appserver.Server

	behaviour       atomic.Int32 // current behaviour
	closesIdleEarly atomic.Bool  // whether the server closes idle connections after earlyIdleTimeout
	notifiedAt      func(node int, published time.Time) time.Time
	faultMu         sync.Mutex // lock of a fault that stops, starts or changes the server; guards no field

	mu                sync.Mutex         // guards the fields below
	processStartedAt  time.Time          // start of the current process; zero if it started before the run
	slowStartAttempts []slowStartAttempt // attempts at the current process during its slow start
	publishedAt       time.Time          // time at which discovery published the current process; zero before
	drainingSince     time.Time          // time at which discovery published the drain; zero if the server is in service
}

// newAppServer starts a server. notifiedAt returns the time from which a node counts as notified of a change that discovery
// published at a moment.
func newAppServer(number int, c *checker, notifiedAt func(node int, published time.Time) time.Time) (*appServer, error) {
	s := &appServer{number: number, checker: c, notifiedAt: notifiedAt}
	s.server = appserver.New(loopbackAddress(serverBlock, number), s.serve)
	return s, s.start()
}

// start starts to listen and to serve connections. Its goroutines end after kill.
func (s *appServer) start() error {
	if err := s.server.Listen(enableTimestamps); err != nil {
		return fmt.Errorf("start app server %d: %w", s.number, err)
	}
	return nil
}

// restartProcess starts the server as a new process, whose slow start begins now.
func (s *appServer) restartProcess() error {
	s.mu.Lock()
	s.processStartedAt, s.slowStartAttempts, s.publishedAt = time.Now(), nil, time.Time{}
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
	s.drainingSince, s.publishedAt = time.Time{}, at
}

// checkDrain records a violation if the first byte of an attempt arrived after drainGrace and its tolerance. The grace begins
// when the attempt's node is notified of the drain.
func (s *appServer) checkDrain(id string, a *attempt) {
	s.mu.Lock()
	drainingSince := s.drainingSince
	s.mu.Unlock()
	node := s.checker.nodeOf(id)
	if drainingSince.IsZero() || node < 0 {
		return
	}
	late := a.firstByteAt.Sub(s.notifiedAt(node, drainingSince)) - drainGrace - graceTolerance - harnessTolerance -
		s.checker.lag.maxAround(a.receivedAt)
	if late > 0 {
		s.checker.recordViolation(ruleDraining, node, id,
			"draining server %d received an attempt %v after the drain grace and its tolerance", s.number, late)
	}
}

// kill closes the listener and resets all connections.
func (s *appServer) kill() { s.server.Kill() }

// serve serves the requests of a connection until the connection ends.
func (s *appServer) serve(conn net.Conn) {
	timestamped, err := newStampedConn(conn.(*net.TCPConn))
	if err != nil {
		return
	}
	reader := bufio.NewReader(timestamped)
	for s.serveRequest(timestamped, reader) {
	}
}

// serveRequest serves one request, and reports whether the connection stays open.
func (s *appServer) serveRequest(conn *stampedConn, reader *bufio.Reader) bool {
	stalled := behaviour(s.behaviour.Load()) == behaveStall
	for behaviour(s.behaviour.Load()) == behaveStall && time.Since(s.checker.startedAt) < s.checker.runDuration {
		time.Sleep(maxServiceTime)
	}
	if s.closesIdleEarly.Load() {
		_ = conn.SetReadDeadline(time.Now().Add(earlyIdleTimeout))
	} else {
		_ = conn.SetReadDeadline(time.Time{})
	}
	conn.beginMessage()
	request, err := appserver.ReadRequest(reader)
	if err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	if isFromCrowd(request.ID) {
		s.recordSlowStart(request.ID, conn.lastByteAt)
		return appserver.WriteResponse(conn, statusCompleted, strings.Repeat("c", crowdResponseBytes)) == nil
	}
	a := &attempt{server: s.number, firstByteAt: conn.firstByteAt, receivedAt: conn.lastByteAt, timeout: request.Timeout}
	current := behaviour(s.behaviour.Load())
	a.notExecuted = current == behaveReject
	a.readLate = stalled || time.Since(a.receivedAt) > readLateThreshold
	s.checker.recordAttempt(request.ID, a)
	s.recordSlowStart(request.ID, a.receivedAt)
	s.checkDrain(request.ID, a)
	defer s.checker.recordAttemptEnd(a)
	return s.respond(conn, reader, current, request.ID)
}

// respond waits for the service time and responds, unless the client closes the connection first. It reports whether the
// connection stays open.
func (s *appServer) respond(conn net.Conn, reader *bufio.Reader, current behaviour, id string) bool {
	serviceTime := time.Duration(0)
	switch current {
	case behaveReject:
	case behaveHang, behaveStall:
		serviceTime = time.Minute
	default:
		serviceTime = minServiceTime + time.Duration(rand.Int64N(int64(maxServiceTime-minServiceTime)))
	}
	if current == behaveInterim && writeInterim(conn) != nil {
		return false
	}
	if serviceTime > 0 && connClosed(conn, reader, serviceTime) {
		return false
	}
	body := responseBody(id)
	switch current {
	case behaveReset:
		appserver.ResetConn(conn)
		return false
	case behaveTruncate:
		_ = appserver.WriteHalfResponse(conn, body) // The write fails if the node has closed the connection.
		appserver.ResetConn(conn)
		return false
	case behaveReject:
		rejected := protocol.HeaderRejected + ": " + protocol.RejectedValue
		return appserver.WriteResponse(conn, http.StatusServiceUnavailable, "full", rejected) == nil
	case behaveAmbiguous:
		return writeAmbiguous(conn) == nil
	case behaveFail:
		return appserver.WriteResponse(conn, http.StatusInternalServerError, "failed") == nil
	}
	return appserver.WriteResponse(conn, statusCompleted, body) == nil
}

// connClosed reports whether the connection is closed within a duration. It returns early if a byte arrives.
func connClosed(conn net.Conn, reader *bufio.Reader, within time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}
