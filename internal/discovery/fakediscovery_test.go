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

// fault mishandles a call to discovery, whose correct response is given. A call that arrives during a fault stays faulty
// after the end of the fault.
type fault func(conn net.Conn, response string)

// callFaults are the faults of single calls by name.
var callFaults = map[string]fault{
	"never answered": func(conn net.Conn, _ string) { nettest.DiscardAll(conn) },
	"closed":         func(net.Conn, string) {},
	"reset":          func(conn net.Conn, _ string) { nettest.ResetOnClose(conn) },
	"503 at once": func(conn net.Conn, _ string) {
		nettest.WriteString(conn, unavailableResponse)
		nettest.DiscardAll(conn)
	},
	"503 after 2 s": func(conn net.Conn, _ string) {
		time.Sleep(2 * time.Second)
		nettest.WriteString(conn, unavailableResponse)
	},
	"reset after half of the response": func(conn net.Conn, response string) {
		nettest.WriteString(conn, response[:len(response)/2])
		time.Sleep(10 * time.Millisecond)
		nettest.ResetOnClose(conn)
	},
	"silent after half of the response": func(conn net.Conn, response string) {
		nettest.WriteString(conn, response[:len(response)/2])
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
	"a byte every 50 ms": func(conn net.Conn, response string) {
		for i := range response {
			if _, err := io.WriteString(conn, response[i:i+1]); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	},
	"answered and closed": func(conn net.Conn, response string) {
		nettest.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+response[len("HTTP/1.1 200 OK\r\n"):])
	},
}

// unavailableResponse is the response of an overloaded discovery.
const unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// listResponse returns a response with the JSON text of a list.
func listResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// fakeDiscovery is a discovery that lists two app servers. After a change the first one drains.
type fakeDiscovery struct {
	listener                net.Listener
	addr                    string
	rand                    *rand.Rand
	rejectsUnknownRevisions bool // true if calls for changes since an unknown revision are rejected

	mu                sync.Mutex // guards the fields below
	fault             fault      // fault of new calls; nil if there is none
	revision          uint64
	firstDrains       bool
	changed           chan struct{} // closed and replaced at each change of the fields above
	faultyCallArrived chan struct{} // gets an element for each call that arrives during a fault
	conns             map[net.Conn]struct{}
	openCallCount     int // number of calls in flight
	maxOpenCallCount  int
	faultyCallCount   int // number of calls that arrived during a fault
}

// setState sets the fault, the revision and whether the first app server drains.
func (d *fakeDiscovery) setState(fault fault, revision uint64, drains bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.revision, d.firstDrains = fault, revision, drains
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
	return d.openCallCount
}

// serve answers calls on a listener until the listener is closed.
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

// list returns the response body: the full list, or the changes since a revision.
func (d *fakeDiscovery) list(full bool, from uint64) string {
	state := "in_service"
	if d.firstDrains {
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
	holdMs, _ := strconv.Atoi(request.FormValue(protocol.QueryHoldMs))
	holdTimer := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer holdTimer.Stop()
	d.mu.Lock()
	d.openCallCount++
	d.maxOpenCallCount = max(d.maxOpenCallCount, d.openCallCount)
	for holdEnded := false; ; {
		fault, text := d.fault, listResponse(d.list(full, from))
		switch {
		case fault != nil:
			d.faultyCallCount++
			d.mu.Unlock()
			d.notifyFaultyCall()
			fault(conn, text)
			d.mu.Lock()
			d.openCallCount--
			d.mu.Unlock()
			return false
		case d.rejectsUnknownRevisions && !full && from > d.revision:
			d.openCallCount--
			d.mu.Unlock()
			nettest.WriteString(conn, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
			return true
		case full || from < d.revision || holdEnded:
			d.openCallCount--
			d.mu.Unlock()
			nettest.WriteString(conn, text)
			return true
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-holdTimer.C:
			holdEnded = true
		}
		d.mu.Lock()
	}
}

// notifyFaultyCall records a call that arrived during a fault, unless the channel is full.
func (d *fakeDiscovery) notifyFaultyCall() {
	select {
	case d.faultyCallArrived <- struct{}{}:
	default:
	}
}
