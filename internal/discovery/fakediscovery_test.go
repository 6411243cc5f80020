package discovery

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
)

// fault is how discovery mishandles a call. A call that arrived during a fault keeps it after the fault has ended.
type fault func(conn net.Conn, answer string)

// faults are the faults of single calls by name.
var faults = map[string]fault{
	"never answered": func(conn net.Conn, _ string) { nettest.DiscardAll(conn) },
	"closed":         func(net.Conn, string) {},
	"reset":          func(conn net.Conn, _ string) { nettest.ResetOnClose(conn) },
	"503 at once": func(conn net.Conn, _ string) {
		nettest.WriteString(conn, unavailable)
		nettest.DiscardAll(conn)
	},
	"503 after 2 s": func(conn net.Conn, _ string) {
		time.Sleep(2 * time.Second)
		nettest.WriteString(conn, unavailable)
	},
	"reset half-way": func(conn net.Conn, answer string) {
		nettest.WriteString(conn, answer[:len(answer)/2])
		time.Sleep(10 * time.Millisecond)
		nettest.ResetOnClose(conn)
	},
	"silent half-way": func(conn net.Conn, answer string) {
		nettest.WriteString(conn, answer[:len(answer)/2])
		nettest.DiscardAll(conn)
	},
	"malformed": func(conn net.Conn, _ string) {
		nettest.WriteString(conn, listResponse(`{"rev":9,"all":true,"targets":[{"uid":"a","state":"later"}]}`))
		nettest.DiscardAll(conn)
	},
	"not HTTP": func(conn net.Conn, _ string) {
		nettest.WriteString(conn, "+PONG\r\n")
		nettest.DiscardAll(conn)
	},
	"a trickle": func(conn net.Conn, answer string) {
		for i := range answer {
			if _, err := io.WriteString(conn, answer[i:i+1]); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	},
	"answered and closed": func(conn net.Conn, answer string) {
		nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+answer[len("HTTP/1.1 200 OK\r\n"):])
	},
}

const unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// listResponse is a response with a list.
func listResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// fakeDiscovery lists two app servers. The first one drains after a change.
type fakeDiscovery struct {
	listener net.Listener
	addr     string
	rand     *rand.Rand
	strict   bool // refuses calls with an unknown revision

	mu          sync.Mutex // guards all below
	fault       fault      // nil: none
	revision    uint64
	drains      bool
	changed     chan struct{} // closed at each change of the fields above
	faultyCalls chan struct{} // has an element after a call during a fault
	conns       map[net.Conn]struct{}
	open        int // calls in flight
	mostOpen    int
	faulty      int // calls during a fault
}

// set changes the list or the fault.
func (d *fakeDiscovery) set(fault fault, revision uint64, drains bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.revision, d.drains = fault, revision, drains
	close(d.changed)
	d.changed = make(chan struct{})
}

// reset closes all connections.
func (d *fakeDiscovery) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		nettest.ResetOnClose(conn)
		nettest.Close(conn)
	}
	clear(d.conns)
}

// openCalls returns the number of calls in flight.
func (d *fakeDiscovery) openCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

func (d *fakeDiscovery) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[conn] = struct{}{}
		d.mu.Unlock()
		go func() {
			nettest.ServeRequests(conn, d.answer)
			nettest.Close(conn)
			d.mu.Lock()
			delete(d.conns, conn)
			d.mu.Unlock()
		}()
	}
}

// list returns the response body for a caller that knows a revision.
func (d *fakeDiscovery) list(full bool, from uint64) string {
	state := "in_service"
	if d.drains {
		state = "terminating"
	}
	first := fmt.Sprintf(`{"uid":"a","endpoint":"127.0.0.1:1","state":%q,"capacity_hint":1}`, state)
	const second = `{"uid":"b","endpoint":"127.0.0.1:2","state":"in_service","capacity_hint":1}`
	switch {
	case full:
		return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s,%s]}`, d.revision, first, second)
	case from < d.revision:
		return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, d.revision, first)
	}
	return fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, d.revision)
}

// answer answers one call and reports whether the connection stays open.
func (d *fakeDiscovery) answer(conn net.Conn, request *http.Request) bool {
	full := request.FormValue(protocol.QueryRevision) == ""
	from, _ := strconv.ParseUint(request.FormValue(protocol.QueryRevision), 10, 64)
	held, _ := strconv.Atoi(request.FormValue(protocol.QueryHoldMs))
	over := time.NewTimer(time.Duration(held) * time.Millisecond)
	defer over.Stop()
	d.mu.Lock()
	d.open++
	d.mostOpen = max(d.mostOpen, d.open)
	for ended := false; ; {
		fault, text := d.fault, listResponse(d.list(full, from))
		switch {
		case fault != nil:
			d.faulty++
			d.mu.Unlock()
			d.notifyFaulty()
			fault(conn, text)
			d.mu.Lock()
			d.open--
			d.mu.Unlock()
			return false
		case d.strict && !full && from > d.revision:
			d.open--
			d.mu.Unlock()
			nettest.WriteString(conn, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
			return true
		case full || from < d.revision || ended:
			d.open--
			d.mu.Unlock()
			nettest.WriteString(conn, text)
			return true
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-over.C:
			ended = true
		}
		d.mu.Lock()
	}
}

func (d *fakeDiscovery) notifyFaulty() {
	select {
	case d.faultyCalls <- struct{}{}:
	default:
	}
}
