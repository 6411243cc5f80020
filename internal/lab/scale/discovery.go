package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// stateNames are the endpoint states as discovery's agent writes them.
var stateNames = map[protocol.EndpointState]string{
	protocol.InService:   "in_service",
	protocol.Terminating: "terminating",
	protocol.Terminated:  "terminated",
}

// agentEndpoint is a server as discovery's agent writes it.
type agentEndpoint struct {
	UID    string         `json:"uid"`
	Addr   netip.AddrPort `json:"endpoint"`
	Zone   string         `json:"az"`
	Model  string         `json:"model"`
	Cell   int            `json:"pod_group"`
	State  string         `json:"state"`
	Weight float64        `json:"capacity_hint"`
	BootMs int64          `json:"boot_ms"`

	listed   bool
	revision uint64 // of its last change
}

// agentList is the body of an answer.
type agentList struct {
	Revision uint64          `json:"rev"`
	Full     bool            `json:"all"`
	Targets  []agentEndpoint `json:"targets"`
}

// discoveryAgent stands in for discovery's agent: one endpoint list and its changes, served over HTTP to each node at an
// address of the node's own, as on a node's machine.
type discoveryAgent struct {
	watches []*agentWatch // set by startAgent alone

	mu             sync.Mutex // guards what follows, and the counts of all watches
	servers        []agentEndpoint
	revision       uint64
	oldestRevision uint64        // a call from before it gets the full list
	fullBody       []byte        // the full list as of revision; nil: to be encoded
	changed        chan struct{} // closed, and replaced, at each change
	disconnected   bool          // connections are closed as they come
}

// agentWatch is what the agent knows of one node's watch. All but addr and server are guarded by the agent's lock; bytes
// are of bodies.
type agentWatch struct {
	addr         string
	server       *http.Server
	conns        map[net.Conn]struct{}
	fullLists    int64
	fullBytes    int64
	deltaBytes   int64 // of answers with changes, or with nothing
	acknowledged []acknowledgement
}

// acknowledgement is a call that counts from a revision: a node takes a list over before it calls again, so that the
// revision is applied there.
type acknowledgement struct {
	revision uint64
	at       time.Time
}

// startAgent starts the agent with a listener for each of so many watches. Each has a goroutine of its own, which ends
// with close.
func startAgent(servers []agentEndpoint, watches int) (*discoveryAgent, error) {
	a := &discoveryAgent{servers: servers, revision: 1, oldestRevision: 1, changed: make(chan struct{})}
	for range watches {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.close()
			return nil, fmt.Errorf("discovery's agent: %w", err)
		}
		watch := &agentWatch{addr: listener.Addr().String(), conns: map[net.Conn]struct{}{}}
		watch.server = &http.Server{
			Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serveCall(watch, w, r) }),
			ConnState: func(c net.Conn, s http.ConnState) { a.trackConn(watch, c, s) },
		}
		a.watches = append(a.watches, watch)
		go func() { _ = watch.server.Serve(listener) }() // it returns an error always: that of close
	}
	return a, nil
}

// close ends all watches.
func (a *discoveryAgent) close() {
	for _, watch := range a.watches {
		_ = watch.server.Close()
	}
}

func (a *discoveryAgent) trackConn(watch *agentWatch, conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateNew:
		watch.conns[conn] = struct{}{}
		if a.disconnected {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(watch.conns, conn)
	}
}

// serveCall answers one call: with the full list, or with what changed since a revision as soon as anything has, or with
// no change once the time that the call allows is over.
func (a *discoveryAgent) serveCall(watch *agentWatch, w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	full := err != nil
	holdMs, _ := strconv.Atoi(query.Get("hold_ms")) // 0 where it is missing
	if !full {
		a.mu.Lock()
		watch.acknowledged = append(watch.acknowledged, acknowledgement{from, arrived})
		a.mu.Unlock()
	}
	hold := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer hold.Stop()
	for over := false; ; {
		body, changed := a.answer(watch, from, full, over)
		if body != nil {
			writeBody(w, body)
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// answer gives the body that a call is to be answered with now, or nil and the channel that is closed at the next change.
// It breaks the connection, by a panic as net/http has it, while watches are disconnected.
func (a *discoveryAgent) answer(watch *agentWatch, from uint64, full, over bool) ([]byte, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disconnected {
		panic(http.ErrAbortHandler)
	}
	if full || from < a.oldestRevision || from > a.revision {
		body := a.fullList()
		watch.fullLists++
		watch.fullBytes += int64(len(body))
		return body, nil
	}
	if from < a.revision || over {
		body := a.changesSince(from)
		watch.deltaBytes += int64(len(body))
		return body, nil
	}
	return nil, a.changed
}

// writeBody leaves it to the client to notice an answer that is cut off.
func writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// fullList is the full list's body. The caller holds the lock.
func (a *discoveryAgent) fullList() []byte {
	if a.fullBody == nil {
		list := agentList{Revision: a.revision, Full: true, Targets: make([]agentEndpoint, 0, len(a.servers))}
		for _, e := range a.servers {
			if e.listed && e.State != stateNames[protocol.Terminated] {
				list.Targets = append(list.Targets, e)
			}
		}
		a.fullBody = encodeList(list)
	}
	return a.fullBody
}

// changesSince is the body with what changed after a revision. The caller holds the lock.
func (a *discoveryAgent) changesSince(from uint64) []byte {
	list := agentList{Revision: a.revision, Targets: []agentEndpoint{}}
	for _, e := range a.servers {
		if e.listed && e.revision > from {
			list.Targets = append(list.Targets, e)
		}
	}
	return encodeList(list)
}

func encodeList(list agentList) []byte {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // of strings and finite numbers
	}
	return body
}

// snapshot is the full list as of now, as a node's configuration has it.
func (a *discoveryAgent) snapshot() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// publish changes servers, which makes one revision, and sends it to all that wait.
func (a *discoveryAgent) publish(change func(*agentEndpoint), servers ...int) (revision uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	for _, i := range servers {
		e := &a.servers[i]
		change(e)
		e.listed, e.revision = true, a.revision
	}
	a.fullBody = nil
	at = time.Now()
	a.wakeCalls()
	return a.revision, at
}

// disconnectAll ends all watches and accepts none until reconnect. From then on every node gets the full list.
func (a *discoveryAgent) disconnectAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disconnected = true
	a.revision++
	a.oldestRevision, a.fullBody = a.revision, nil
	for _, watch := range a.watches {
		for conn := range watch.conns {
			_ = conn.Close()
		}
	}
	a.wakeCalls()
}

// wakeCalls has the calls that wait look again. The caller holds the lock.
func (a *discoveryAgent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *discoveryAgent) reconnect() {
	a.mu.Lock()
	a.disconnected = false
	a.mu.Unlock()
}

// appliedAt is when a watch first acknowledged a revision or a later one, since a moment; the zero time if it has not.
func (a *discoveryAgent) appliedAt(watch int, revision uint64, since time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ack := range a.watches[watch].acknowledged {
		if ack.revision >= revision && !ack.at.Before(since) {
			return ack.at
		}
	}
	return time.Time{}
}
