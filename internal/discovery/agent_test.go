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

// agent is discovery's agent, up or down. It answers with a list of its revision.
type agent struct {
	mute  int           // number of first connections that are never answered
	late  time.Duration // delay of each response
	calls atomic.Int64

	mu       sync.Mutex // guards all below
	up       bool
	revision int
	conns    map[net.Conn]struct{}
}

func newAgent(mute int, late time.Duration) *agent {
	return &agent{mute: mute, late: late, up: true, revision: 1, conns: map[net.Conn]struct{}{}}
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
		go a.answer(conn, accepted < a.mute)
	}
}

// answer answers the calls of one connection. A call that arrives while the agent is down is never answered.
func (a *agent) answer(conn net.Conn, mute bool) {
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
			if !up || mute {
				nettest.WaitForClose(conn) // the client times out
				return
			}
			if hold := request.FormValue(protocol.QueryHoldMs); from == "" || from != fmt.Sprint(revision) || hold == "1" {
				break
			}
		}
		time.Sleep(a.late)
		a.mu.Lock()
		text := fmt.Sprintf(`{"rev":%d,"all":true,"targets":[]}`, a.revision)
		a.mu.Unlock()
		nettest.WriteString(conn, listResponse(text))
	}
}

func (a *agent) set(up bool, revision int) {
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

// agentTerm bounds the time until the client has a change. It is below the shortest drain grace period.
const agentTerm = 200 * time.Millisecond

// The client receives the list soon after an agent accepts connections again.
func TestDiscoveryClientReceivesListOnceAgentIsUp(t *testing.T) {
	addr, empty := nettest.FullServer(t)
	listed := make(chan time.Time, 99)
	startDiscoveryClient(t, &Client{
		Addr: addr.String(), NeedsFullList: true,
		OnList: func(*protocol.EndpointList) { listed <- time.Now() }, OnFailure: func() {},
	})
	time.Sleep(300 * time.Millisecond)
	listener := empty()
	for range 2 { // the connections that filled the queue
		if conn, err := listener.Accept(); err == nil {
			nettest.Close(conn)
		}
	}
	up := time.Now()
	go newAgent(0, 0).serve(listener)
	if took := (<-listed).Sub(up); took > agentTerm {
		t.Errorf("known after %v", took)
	}
}

// In watch mode the agent's change counts as known whether or not a call is open. The client receives it in time,
// whatever happened to its earlier calls.
func TestDiscoveryClientReceivesChangesInTime(t *testing.T) {
	for name, test := range map[string]struct {
		mute  int
		late  time.Duration
		fault func(*agent, net.Listener) net.Listener // starts and ends the fault; returns the current listener
	}{
		"calls made while it is down are never answered": {fault: func(a *agent, listener net.Listener) net.Listener {
			a.set(false, 1)
			a.reset()
			time.Sleep(1500 * time.Millisecond)
			return listener
		}},
		"refused": {fault: func(a *agent, listener net.Listener) net.Listener {
			nettest.Close(listener)
			a.reset()
			time.Sleep(2500 * time.Millisecond)
			again, _ := net.Listen("tcp", listener.Addr().String())
			return again
		}},
		"reset":                         {fault: func(a *agent, listener net.Listener) net.Listener { a.reset(); return listener }},
		"its first call is lost":        {mute: 1},
		"its first four calls are lost": {mute: 4},
		"slow, but not down":            {late: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, agent := nettest.Listen(t), newAgent(test.mute, test.late)
			go agent.serve(listener)
			revisions := make(chan uint64, 99)
			startDiscoveryClient(t, &Client{
				Addr: listener.Addr().String(), NeedsFullList: true,
				OnList: func(list *protocol.EndpointList) { revisions <- list.Revision }, OnFailure: func() {},
			})
			awaitRevision(t, revisions, 1, agentTerm+test.late+time.Duration(test.mute)*raceInterval)
			if test.fault != nil {
				again := test.fault(agent, listener)
				if again == nil {
					t.Fatal("no listener")
				}
				if again != listener {
					defer nettest.Close(again)
					go agent.serve(again)
				}
			}
			agent.set(true, 2)
			awaitRevision(t, revisions, 2, agentTerm+2*test.late)
			if calls := agent.calls.Load(); calls > 60 {
				t.Errorf("%d calls", calls)
			}
		})
	}
}

// awaitRevision waits until the client has a revision, and fails the test if that takes too long.
func awaitRevision(t *testing.T, revisions <-chan uint64, want uint64, within time.Duration) {
	t.Helper()
	since := time.Now()
	for end := time.After(5 * time.Second); ; {
		select {
		case got := <-revisions:
			if got < want {
				continue
			}
			if took := time.Since(since); took > within {
				t.Errorf("revision %d known after %v", want, took)
			}
			return
		case <-end:
			t.Fatalf("revision %d never known", want)
		}
	}
}
