package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// agent is discovery's agent: up or down, it answers with a list of its version.
type agent struct {
	mu    sync.Mutex
	up    bool
	rev   int
	conns map[net.Conn]struct{}
	calls atomic.Int64
}

// serve answers calls, on connections of which the first may be taken and never answered; a call that comes while the
// agent is down never is.
func (a *agent) serve(ln net.Listener, mute int, late time.Duration) {
	for k := 0; ; k++ {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[conn] = struct{}{}
		a.mu.Unlock()
		go func() {
			defer conn.Close()
			br := bufio.NewReader(conn)
			for {
				q, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				a.calls.Add(1)
				for from := q.FormValue("from"); ; time.Sleep(time.Millisecond) {
					a.mu.Lock()
					up, rev := a.up, a.rev
					a.mu.Unlock()
					if !up || k < mute {
						conn.Read(make([]byte, 1)) // until the node gives it up
						return
					}
					if hold := q.FormValue("hold_ms"); from == "" || from != fmt.Sprint(rev) || hold == "1" {
						break
					}
				}
				time.Sleep(late)
				a.mu.Lock()
				text := fmt.Sprintf(`{"rev":%d,"all":true,"targets":[]}`, a.rev)
				a.mu.Unlock()
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
		}()
	}
}

func (a *agent) set(up bool, rev int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.up, a.rev = up, rev
}

// told is the smallest grace of a drain that any settings name: what the agent has must be known well before.
const told = 200 * time.Millisecond

// What discovery's agent has counts as told, whether or not a call is open. The watch hears of it in good time, whatever
// became of its calls before: never answered, refused, without a connection, or reset.
func TestWatchHearsInTimeOfWhatTheAgentHas(t *testing.T) {
	for name, c := range map[string]struct {
		mute    int                                 // connections at the start that are never answered
		late    time.Duration                       // of every answer
		trouble func(*agent, *net.Listener, string) // brings on the trouble, and ends it
	}{
		"calls made while it is down are never answered": {trouble: func(a *agent, _ *net.Listener, _ string) {
			a.set(false, 1)
			a.reset()
			time.Sleep(1500 * time.Millisecond)
		}},
		"refused": {trouble: func(a *agent, ln *net.Listener, addr string) {
			(*ln).Close()
			a.reset()
			time.Sleep(2500 * time.Millisecond)
			*ln, _ = net.Listen("tcp", addr)
		}},
		"reset":                         {trouble: func(a *agent, _ *net.Listener, _ string) { a.reset() }},
		"its first call is lost":        {mute: 1, trouble: func(*agent, *net.Listener, string) {}},
		"its first four calls are lost": {mute: 4, trouble: func(*agent, *net.Listener, string) {}},
		"slow, but not down":            {late: 500 * time.Millisecond, trouble: func(*agent, *net.Listener, string) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr := ln.Addr().String()
			a := &agent{up: true, rev: 1, conns: map[net.Conn]struct{}{}}
			go a.serve(ln, c.mute, c.late)
			log, revs := zerolog.Nop(), make(chan uint64, 99)
			w := &DiscoveryClient{
				Addr: addr, Full: true, Limits: roomy, Log: &log, Counters: &Counters{},
				OnList: func(l *protocol.EndpointList) { revs <- l.Revision }, OnFailure: func() {},
			}
			go w.Run()
			defer w.Stop()
			heard := func(rev uint64, since time.Time, within time.Duration) {
				t.Helper()
				for end := time.After(5 * time.Second); ; {
					select {
					case got := <-revs:
						if got < rev {
							continue
						}
						if took := time.Since(since); took > within {
							t.Errorf("version %d heard after %v", rev, took)
						}
						return
					case <-end:
						t.Fatalf("version %d never heard", rev)
					}
				}
			}
			heard(1, time.Now(), told+c.late+time.Duration(c.mute)*lookEvery)
			old := ln
			c.trouble(a, &ln, addr)
			if ln == nil {
				t.Fatal("no listener")
			}
			if ln != old {
				go a.serve(ln, 0, c.late)
			}
			defer func() { ln.Close() }()
			a.set(true, 2)
			heard(2, time.Now(), told+2*c.late)
			if n := a.calls.Load(); n > 60 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// A version that goes back is of a discovery that counts anew: the watch asks it for the whole list, or it would wait for a
// version that is far off while servers drain.
func TestWatchAsksForAllWhereVersionsGoBack(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	calls := make(chan string, 99)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		calls <- q.RequestURI
		switch q.FormValue("from") {
		case "":
			fmt.Fprint(w, `{"rev":3,"all":true,"targets":[]}`)
		case "90":
			fmt.Fprint(w, `{"rev":2,"all":false,"targets":[]}`)
		default:
			<-q.Context().Done()
		}
	}))
	log := zerolog.Nop()
	w := &DiscoveryClient{
		Addr: ln.Addr().String(), Revision: 90, Limits: roomy, Log: &log, Counters: &Counters{},
		OnList: func(*protocol.EndpointList) {}, OnFailure: func() {},
	}
	go w.Run()
	defer w.Stop()
	for _, want := range []string{"/v1/servers?from=90&hold_ms=1", "/v1/servers", "/v1/servers?from=3&hold_ms=1000"} {
		select {
		case got := <-calls:
			if got != want {
				t.Errorf("call %s, want %s", got, want)
			}
		case <-time.After(3 * time.Second):
			t.Fatal("no call for " + want)
		}
	}
}

// reset ends all connections.
func (a *agent) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	clear(a.conns)
}

// An agent whose connections don't come up, and then do.
func TestWatchHearsOfAnAgentThatComesUp(t *testing.T) {
	addr, empty := full(t)
	log, listed := zerolog.Nop(), make(chan time.Time, 99)
	w := &DiscoveryClient{
		Addr: addr.String(), Full: true, Limits: roomy, Log: &log, Counters: &Counters{},
		OnList: func(*protocol.EndpointList) { listed <- time.Now() }, OnFailure: func() {},
	}
	go w.Run()
	defer w.Stop()
	time.Sleep(300 * time.Millisecond)
	a := &agent{up: true, rev: 1, conns: map[net.Conn]struct{}{}}
	ln := empty()
	for range 2 { // those that filled its queue
		if conn, err := ln.Accept(); err == nil {
			conn.Close()
		}
	}
	up := time.Now()
	go a.serve(ln, 0, 0)
	if took := (<-listed).Sub(up); took > told {
		t.Errorf("heard after %v", took)
	}
}

// A list that takes a second to come in is taken in once, and not on a dozen connections beside each other, which on one
// core would all be late; one that stops half-way is left to another connection within the time that the agent's word has.
func TestALongListIsTakenInOnce(t *testing.T) {
	for name, stops := range map[string]bool{"slow": false, "stops half-way": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			var conns atomic.Int64
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					first := conns.Add(1) == 1
					go func() {
						defer conn.Close()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						text := `{"rev":1,"all":true,"targets":[` + strings.Repeat(" ", 2<<20) + `]}`
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
						for i := 0; i < len(text); i += len(text) / 50 {
							if stops && first && i > len(text)/2 {
								conn.Read(make([]byte, 1))
								return
							}
							if _, err := io.WriteString(conn, text[i:min(len(text), i+len(text)/50)]); err != nil {
								return
							}
							if !stops || first {
								time.Sleep(20 * time.Millisecond)
							}
						}
						conn.Read(make([]byte, 1))
					}()
				}
			}()
			log, listed := zerolog.Nop(), make(chan struct{}, 99)
			w := &DiscoveryClient{
				Addr: ln.Addr().String(), Full: true, Limits: roomy, Log: &log, Counters: &Counters{},
				OnList: func(*protocol.EndpointList) { listed <- struct{}{} }, OnFailure: func() {},
			}
			began := time.Now()
			go w.Run()
			defer w.Stop()
			select {
			case <-listed:
			case <-time.After(5 * time.Second):
				t.Fatal("never heard")
			}
			took, n := time.Since(began), conns.Load()
			if t.Logf("heard after %v, %d connections", took, n); took > 1900*time.Millisecond || n > 4 {
				t.Errorf("heard after %v, %d connections", took, n)
			}
		})
	}
}
