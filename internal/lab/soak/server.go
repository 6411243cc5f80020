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

const statusServed = http.StatusOK

// servedBody is the body that an app server answers a request with.
func servedBody(id string) string { return "done " + id }

// behaviour is how a server treats its requests.
type behaviour int32

const (
	behaveWell   behaviour = iota
	behaveHang             // it takes them and never answers
	behaveReset            // it takes them whole and resets the connection
	behaveCut              // it answers half and resets
	behaveReject           // it rejects them unseen
	behaveFail             // it runs them and answers with an error
	behaveStall            // it does not read
	behaviours
)

// closingIdle is for how long a connection stays open at a server that closes idle ones early.
const closingIdle = 60 * time.Millisecond

// Work of a request at a warm server.
const (
	minWork = 2 * time.Millisecond
	maxWork = 30 * time.Millisecond
)

// appServer is one app server, over its restarts.
type appServer struct {
	number int
	ledger *ledger

	behaves    atomic.Int32
	closesIdle atomic.Bool
	noticeOf   func(node int, published time.Time) time.Time
	busy       sync.Mutex // held by the fault that stops, starts or misuses the server

	mu       sync.Mutex // guards what follows
	addr     string     // with the port that the first listen got
	listener net.Listener
	conns    map[net.Conn]struct{}
	coldFrom time.Time // of the present process, where it started during the run
	begun    []coldAttempt
	revived  time.Time // when discovery said that the present process runs
	drained  time.Time // when discovery said that it drains; zero: it is in service
}

// coldAttempt is an attempt at a cold server, and whether its node counts as notified of the server's start by then.
type coldAttempt struct {
	at       time.Time
	notified bool
}

func newAppServer(number int, l *ledger, noticeOf func(node int, published time.Time) time.Time) (*appServer, error) {
	s := &appServer{number: number, ledger: l, noticeOf: noticeOf, addr: loopbackAddress(serverBlock, number), conns: map[net.Conn]struct{}{}}
	return s, s.start()
}

// start opens the server's address. The goroutine that accepts ends with the listener, those of connections with these.
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

// startCold starts the server anew, as a process that is cold from now on.
func (s *appServer) startCold() error {
	s.mu.Lock()
	s.coldFrom, s.begun, s.revived = time.Now(), nil, time.Time{}
	s.mu.Unlock()
	return s.start()
}

// drainFrom notes that discovery said at a moment that the server drains.
func (s *appServer) drainFrom(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = at
}

// inServiceFrom notes that discovery said at a moment that the server is in service.
func (s *appServer) inServiceFrom(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained, s.revived = time.Time{}, at
}

// judgeDrain reports an attempt whose first byte came after its node had been notified of the drain, past the grace.
func (s *appServer) judgeDrain(id string, a *attempt) {
	s.mu.Lock()
	drained := s.drained
	s.mu.Unlock()
	node := s.ledger.nodeOf(id)
	if drained.IsZero() || node < 0 {
		return
	}
	late := a.firstByte.Sub(s.noticeOf(node, drained)) - drainGrace - graceSlack - harnessSlack - s.ledger.lag.around(a.begunAt)
	if late > 0 {
		s.ledger.report(ruleDrain, node, id, "server %d got it %v past the grace", s.number, late)
	}
}

// kill refuses the address and resets what is open.
func (s *appServer) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range s.conns {
		resetConn(conn)
	}
}

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

// serveRequest serves one request, and tells whether the connection goes on.
func (s *appServer) serveRequest(conn *stampedConn, reader *bufio.Reader) bool {
	stalled := behaviour(s.behaves.Load()) == behaveStall
	for behaviour(s.behaves.Load()) == behaveStall && time.Since(s.ledger.startedAt) < s.ledger.length {
		time.Sleep(maxWork)
	}
	if s.closesIdle.Load() {
		_ = conn.SetReadDeadline(time.Now().Add(closingIdle))
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
	told, _ := strconv.Atoi(parsed.Header.Get(protocol.HeaderTimeout))
	a := &attempt{server: s.number, firstByte: conn.first, begunAt: conn.last, told: time.Duration(told) * time.Millisecond}
	how := behaviour(s.behaves.Load())
	a.neverRan, a.readLate = how == behaveReject, stalled || time.Since(a.begunAt) > readLateAfter
	id := parsed.Header.Get(protocol.HeaderRequestID)
	s.ledger.begun(id, a)
	s.noteBegun(id, a.begunAt)
	s.judgeDrain(id, a)
	defer s.ledger.ended(a)
	return s.respond(conn, reader, how, id)
}

// noteBegun counts an attempt at a cold server.
func (s *appServer) noteBegun(id string, at time.Time) {
	node := s.ledger.nodeOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldFrom.IsZero() || node < 0 || at.Sub(s.coldFrom) >= coldSpan {
		return
	}
	notified := !s.revived.IsZero() && s.noticeOf(node, s.revived).Before(at)
	s.begun = append(s.begun, coldAttempt{at, notified})
}

// respond works on a request and answers it, unless its connection ends before.
func (s *appServer) respond(conn net.Conn, reader *bufio.Reader, how behaviour, id string) bool {
	work := time.Duration(0)
	switch how {
	case behaveReject:
	case behaveHang, behaveStall:
		work = time.Minute
	default:
		work = minWork + time.Duration(rand.Int64N(int64(maxWork-minWork)))
	}
	if work > 0 && connEnds(conn, reader, work) {
		return false
	}
	body := servedBody(id)
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

// connEnds waits for a time, and tells whether the connection ended meanwhile.
func connEnds(conn net.Conn, reader *bufio.Reader, within time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// judgeCold reports the worst window of a server's present process that got more than a cold one bears. capacity is what
// a warm one carries a second.
func (s *appServer) judgeCold(capacity float64) {
	s.mu.Lock()
	coldFrom, begun := s.coldFrom, s.begun
	s.mu.Unlock()
	for i, first := range begun {
		from, count, notified := first.at, 0, 0
		for _, a := range begun[i:] {
			if a.at.Sub(from) < coldWindow {
				count++
				if a.notified {
					notified++
				}
			}
		}
		middle := from.Sub(coldFrom) + coldWindow/2
		share := min(1, coldShare+(1-coldShare)*float64(middle)/float64(coldSpan))
		if most := coldBound(coldMultiple * capacity * share * coldWindow.Seconds()); float64(count) > most && 3*notified > 2*count {
			s.ledger.report(ruleCold, -1, "", "server %d got %d requests within %v, %v after its start, and bears %.0f",
				s.number, count, coldWindow, from.Sub(coldFrom), most)
			return
		}
	}
}
