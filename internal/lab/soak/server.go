package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/protocol"
)

// statusCompleted is the status of a completed request.
const statusCompleted = http.StatusOK

// responseBody returns the body of the response to a request.
func responseBody(id string) string { return "done " + id }

// behaviour is a server's way to treat its requests.
type behaviour int32

const (
	behaveWell   behaviour = iota
	behaveHang             // reads requests and never responds
	behaveReset            // reads complete requests and resets the connection
	behaveCut              // resets the connection after half a response
	behaveReject           // rejects requests without executing them
	behaveFail             // responds with an error
	behaveStall            // reads nothing
	behaviours             // the number of behaviours
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

	behaves    atomic.Int32
	closesIdle atomic.Bool
	notifiedAt func(node int, published time.Time) time.Time
	busy       sync.Mutex // held by a fault that stops, starts or changes the server

	mu               sync.Mutex // guards the fields below
	addr             string     // with the port that the first listen got
	listener         net.Listener
	conns            map[net.Conn]struct{}
	processStartedAt time.Time          // of the present process, if it started during the run
	slowStarts       []slowStartAttempt // of the present process
	listedAt         time.Time          // when discovery published the present process
	drainingSince    time.Time          // when discovery published the drain; zero: in service
}

func newAppServer(number int, c *checker, notifiedAt func(node int, published time.Time) time.Time) (*appServer, error) {
	s := &appServer{number: number, checker: c, notifiedAt: notifiedAt, addr: loopbackAddress(serverBlock, number), conns: map[net.Conn]struct{}{}}
	return s, s.start()
}

// start begins to listen and to serve. The accepting goroutine ends with the listener, the others with their connections.
func (s *appServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("server %d: %w", s.number, err)
	}
	if err := stampListener(listener); err != nil {
		return fmt.Errorf("server %d: %w", s.number, err)
	}
	s.listener, s.addr = listener, listener.Addr().String()
	go s.accept(listener)
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
func (s *appServer) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range s.conns {
		resetConn(conn)
	}
}

// resetConn closes a connection by a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails for a closed connection only
	}
	_ = conn.Close()
}

func (s *appServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *appServer) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
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
	parsed, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, parsed.Body); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	timeoutMs, _ := strconv.Atoi(parsed.Header.Get(protocol.HeaderTimeout))
	a := &attempt{server: s.number, firstByte: conn.first, begunAt: conn.last, timeout: time.Duration(timeoutMs) * time.Millisecond}
	how := behaviour(s.behaves.Load())
	a.notExecuted, a.readLate = how == behaveReject, stalled || time.Since(a.begunAt) > readLateThreshold
	id := parsed.Header.Get(protocol.HeaderRequestID)
	s.checker.begun(id, a)
	s.recordSlowStart(id, a.begunAt)
	s.checkDrain(id, a)
	defer s.checker.ended(a)
	return s.respond(conn, reader, how, id)
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
		resetConn(conn)
		return false
	case behaveCut:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		resetConn(conn)
		return false
	case behaveReject:
		return respond(conn, "503 Service Unavailable\r\n"+protocol.HeaderRejected+": "+protocol.RejectedValue, "full")
	case behaveFail:
		return respond(conn, "500 Internal Server Error", "failed")
	}
	return respond(conn, "200 OK", body)
}

func respond(conn net.Conn, status, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

// connClosed waits for a time, and reports whether the connection was closed meanwhile.
func connClosed(conn net.Conn, reader *bufio.Reader, within time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}
