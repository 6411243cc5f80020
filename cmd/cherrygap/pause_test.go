package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/nettest"
	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/protocol"
)

// erraticServers are app servers that answer at random, most often with a rejection, and record when bytes arrived.
type erraticServers struct {
	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	arrivals map[string][]time.Time // times by request id: two for each attempt, when its head and when its body was read
}

func newErraticServers() *erraticServers {
	return &erraticServers{random: rand.New(rand.NewSource(41)), arrivals: map[string][]time.Time{}}
}

// randomBelow returns a random number from 0 to n-1.
func (s *erraticServers) randomBelow(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(n)
}

// recordArrival records that bytes of a request have just arrived.
func (s *erraticServers) recordArrival(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id] = append(s.arrivals[id], time.Now())
}

// serve accepts connections until the listener is closed.
func (s *erraticServers) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn) // The goroutine ends with the connection.
	}
}

// serveConn answers the requests on one connection.
func (s *erraticServers) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.recordArrival(request.Header.Get(protocol.HeaderRequestID))
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.recordArrival(request.Header.Get(protocol.HeaderRequestID))
		time.Sleep(time.Duration(s.randomBelow(8000)) * time.Microsecond)
		response := ""
		switch draw := s.randomBelow(10); {
		case draw < 6:
			response = "HTTP/1.1 503 Busy\r\n" + protocol.HeaderRejected + ": " + protocol.RejectedValue + "\r\nContent-Length: 0\r\n\r\n"
		case draw < 8:
			response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		case draw < 9:
			response = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
		default:
			_ = conn.(*net.TCPConn).SetLinger(0) // The deferred Close then resets the connection.
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return // The node has closed the connection.
		}
	}
}

// countAttempts returns two counts over the given requests: repeated attempts, and requests of which bytes arrived after a given
// time.
func (s *erraticServers) countAttempts(ids map[string]bool, after time.Time) (repeated, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range ids {
		repeated += max(0, len(s.arrivals[id])/2-1)
		for _, arrivedAt := range s.arrivals[id] {
			if arrivedAt.After(after) {
				late++
				break
			}
		}
	}
	return repeated, late
}

// A node must not send an attempt for a client that has left. Here clients leave while the node's process is stopped, at random
// moments of their requests: unread, before an attempt, partly written, in flight, rejected. When the process continues, it
// finds both the closed connection and a reason to send, in either order. No first or last byte of an attempt may then arrive.
//
// No process can notice a stop between its liveness check and its write, a few microseconds of a request's milliseconds. The
// test therefore allows one late request for each hundred clients that left.
//
// On a busy machine, more clients have their response before the process is stopped. The test therefore adds rounds until
// enough clients have left without a response for that ratio.
func TestClientsLeaveWhileNodeIsPaused(t *testing.T) {
	const minRounds, maxRounds, clients, pauseTime = 25, 100, 8, 120 * time.Millisecond
	const minLeft = 100
	app := newErraticServers()
	var listeners []net.Listener
	for range 8 {
		ln := nettest.Listen(t)
		listeners = append(listeners, ln)
		go app.serve(ln)
	}
	node := startNodeProcess(t, nodetest.FreeAddress(t), 1024, listeners...)
	left, repeated, late := 0, 0, 0
	for round := 0; round < minRounds || left < minLeft && round < maxRounds; round++ {
		conns := openClients(t, node.address, clients)
		time.Sleep(5 * time.Millisecond)
		for k, conn := range conns {
			text := nodetest.RequestText(clientRequestID(round, k), 3*time.Second) + strings.Repeat("more ", k%2*100)
			if _, err := io.WriteString(conn, text); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Duration(app.randomBelow(22000)) * time.Microsecond)
		node.pause(t)
		unanswered := closeUnanswered(t, round, conns)
		time.Sleep(pauseTime)
		resumedAt := time.Now()
		node.resume(t)
		time.Sleep(50 * time.Millisecond)
		left += len(unanswered)
		roundRepeated, roundLate := app.countAttempts(unanswered, resumedAt)
		repeated, late = repeated+roundRepeated, late+roundLate
	}
	if late > left/100 || left < minLeft || repeated == 0 {
		t.Errorf("%d clients left without a response, want at least %d; app servers received bytes of %d of their requests after the pause, "+
			"want at most %d; these requests had %d repeated attempts, want at least 1", left, minLeft, late, left/100, repeated)
	}
	t.Logf("%d clients left while the node was paused, after %d repeated attempts; %d requests had bytes arrive after the pause",
		left, repeated, late)
}

// clientRequestID returns the request id of one client in one round.
func clientRequestID(round, client int) string { return fmt.Sprint(round, "-", client) }

// openClients opens n connections to an address.
func openClients(t *testing.T, address string, n int) []*net.TCPConn {
	t.Helper()
	conns := make([]*net.TCPConn, n)
	for k := range conns {
		conns[k] = nodetest.Dial(t, address).(*net.TCPConn)
	}
	return conns
}

// closeUnanswered closes all connections, some by a reset. It returns the ids of the requests that had no response yet.
func closeUnanswered(t *testing.T, round int, conns []*net.TCPConn) map[string]bool {
	t.Helper()
	unanswered := map[string]bool{}
	for k, conn := range conns {
		if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
			t.Fatalf("set the read deadline of client %d's connection: %v", k, err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil { // The response has begun.
			nodetest.CloseNow(t, conn)
			continue
		}
		if k%4 < 2 {
			if err := conn.SetLinger(0); err != nil {
				t.Fatalf("set client %d's connection to be closed by a reset: %v", k, err)
			}
		}
		nodetest.CloseNow(t, conn)
		unanswered[clientRequestID(round, k)] = true
	}
	return unanswered
}
