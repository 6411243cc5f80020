package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// agent is a fake of discovery's local agent, which is up or down. It answers calls with an empty list of its revision.
type agent struct {
	unansweredConns int           // number of connections, from the first on, whose calls are never answered
	responseDelay   time.Duration // delay of each response
	calls           atomic.Int64

	mu       sync.Mutex // guards the fields below
	up       bool
	revision int
	conns    map[net.Conn]struct{}
}

// newAgent returns an agent that is up and has revision 1.
func newAgent(unansweredConns int, responseDelay time.Duration) *agent {
	return &agent{unansweredConns: unansweredConns, responseDelay: responseDelay, up: true, revision: 1, conns: map[net.Conn]struct{}{}}
}

// serve answers calls on a listener until the listener is closed.
func (a *agent) serve(listener net.Listener) {
	for accepted := 0; ; accepted++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[conn] = struct{}{}
		a.mu.Unlock()
		go a.serveConn(conn, accepted < a.unansweredConns)
	}
}

// serveConn answers the calls of one connection. It never answers a call that arrives while the agent is down.
func (a *agent) serveConn(conn net.Conn, unanswered bool) {
	defer nettest.Close(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		a.calls.Add(1)
		for from := request.FormValue(protocol.QueryRevision); ; time.Sleep(time.Millisecond) {
			a.mu.Lock()
			up, revision := a.up, a.revision
			a.mu.Unlock()
			if !up || unanswered {
				nettest.WaitForClose(conn) // until the client times out
				return
			}
			if hold := request.FormValue(protocol.QueryHoldMs); from == "" || from != fmt.Sprint(revision) || hold == "1" {
				break
			}
		}
		time.Sleep(a.responseDelay)
		a.mu.Lock()
		text := fmt.Sprintf(`{"rev":%d,"all":true,"targets":[]}`, a.revision)
		a.mu.Unlock()
		nettest.WriteString(conn, listResponse(text))
	}
}

// setState sets whether the agent is up, and its revision.
func (a *agent) setState(up bool, revision int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.up, a.revision = up, revision
}

// reset closes all connections.
func (a *agent) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		nettest.ResetOnClose(conn)
		nettest.Close(conn)
	}
	clear(a.conns)
}

// maxChangeDelay is the maximum time from a change at the agent until the client has the change. It is below the
// shortest drain grace period, 250 ms.
const maxChangeDelay = 200 * time.Millisecond

// While the agent's listen queue is full, connects wait for retransmissions of the kernel, whose pauses grow. The client must
// receive the list soon after the agent accepts connections again.
func TestDiscoveryClientReceivesListOnceAgentIsUp(t *testing.T) {
	addr, startAccepting := nettest.FullServer(t)
	listed := make(chan time.Time, 99)
	startDiscoveryClient(t, &Client{
		Addr: addr.String(), NeedsFullList: true,
		OnList: func(*protocol.EndpointList) { listed <- time.Now() }, OnFailure: func() {},
	})
	time.Sleep(300 * time.Millisecond)
	listener := startAccepting()
	for range 2 { // Accept the connections that filled the queue.
		if conn, err := listener.Accept(); err == nil {
			nettest.Close(conn)
		}
	}
	upAt := time.Now()
	go newAgent(0, 0).serve(listener)
	if took := (<-listed).Sub(upAt); took > maxChangeDelay {
		t.Errorf("the client received the list %v after the agent was up, want at most %v", took, maxChangeDelay)
	}
}

// In watch mode the platform assumes that the node has a change as soon as the agent has it, whether or not a call is open.
// The client must receive the change in time, even if its earlier calls were lost, refused, reset or slow.
func TestDiscoveryClientReceivesChangesInTime(t *testing.T) {
	for name, test := range map[string]struct {
		unansweredConns int
		responseDelay   time.Duration
		fault           func(*agent, net.Listener) net.Listener // starts and ends the fault, and returns the current listener
	}{
		"calls while the agent is down are never answered": {fault: func(a *agent, listener net.Listener) net.Listener {
			a.setState(false, 1)
			a.reset()
			time.Sleep(1500 * time.Millisecond)
			return listener
		}},
		"connects are refused": {fault: func(a *agent, listener net.Listener) net.Listener {
			nettest.Close(listener)
			a.reset()
			time.Sleep(2500 * time.Millisecond)
			reopened, _ := net.Listen("tcp", listener.Addr().String())
			return reopened
		}},
		"connection is reset":       {fault: func(a *agent, listener net.Listener) net.Listener { a.reset(); return listener }},
		"first call is lost":        {unansweredConns: 1},
		"first four calls are lost": {unansweredConns: 4},
		"responses are slow":        {responseDelay: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, agent := nettest.Listen(t), newAgent(test.unansweredConns, test.responseDelay)
			go agent.serve(listener)
			revisions := make(chan uint64, 99)
			startDiscoveryClient(t, &Client{
				Addr: listener.Addr().String(), NeedsFullList: true,
				OnList: func(list *protocol.EndpointList) { revisions <- list.Revision }, OnFailure: func() {},
			})
			awaitRevision(t, revisions, 1, maxChangeDelay+test.responseDelay+time.Duration(test.unansweredConns)*raceInterval)
			if test.fault != nil {
				current := test.fault(agent, listener)
				if current == nil {
					t.Fatal("net.Listen on the agent's address failed after the fault, want a listener")
				}
				if current != listener {
					defer nettest.Close(current)
					go agent.serve(current)
				}
			}
			agent.setState(true, 2)
			awaitRevision(t, revisions, 2, maxChangeDelay+2*test.responseDelay)
			if calls := agent.calls.Load(); calls > 60 {
				t.Errorf("the client made %d calls, want at most 60", calls)
			}
		})
	}
}

// awaitRevision waits until the client has a revision or a later one. It fails the test if that takes longer than limit.
func awaitRevision(t *testing.T, revisions <-chan uint64, want uint64, limit time.Duration) {
	t.Helper()
	since := time.Now()
	for end := time.After(5 * time.Second); ; {
		select {
		case got := <-revisions:
			if got < want {
				continue
			}
			if took := time.Since(since); took > limit {
				t.Errorf("the client received revision %d after %v, want at most %v", want, took, limit)
			}
			return
		case <-end:
			t.Fatalf("the client did not receive revision %d within 5 s, want at most %v", want, limit)
		}
	}
}
