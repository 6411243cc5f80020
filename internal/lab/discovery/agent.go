// Package discovery is the laboratory's stand-in for discovery's agent. It serves one endpoint list and its changes over
// HTTP, to each node at a separate address, as the agent on the node's machine does. The methods of Agent inject faults.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// Endpoint is a server of the agent's list.
type Endpoint struct {
	protocol.Endpoint
	Listed   bool   // the list contains the server; Publish sets it
	revision uint64 // of the last change
}

// Agent stands in for discovery's agent. Its methods may be called from several goroutines.
type Agent struct {
	watches []*watch // not changed after Start

	mu             sync.Mutex // guards the fields below, and all watches except for their addr and server
	servers        []Endpoint
	revision       uint64
	oldestRevision uint64        // a call with an older revision gets the full list
	fullBody       []byte        // the full list at revision; nil: not encoded yet
	changed        chan struct{} // closed and replaced at each change
	disconnected   bool          // new connections are closed
	silent         bool          // calls are not answered
	generation     int           // calls on connections of an earlier generation are not answered
}

// watch is the agent's state of one node's watch.
type watch struct {
	addr         string // host:port
	server       *http.Server
	conns        map[net.Conn]struct{} // open ones
	clockAhead   time.Duration         // of the node's clock, against all others
	traffic      Traffic
	acknowledged []acknowledgement // by time
}

// Traffic counts the agent's responses on one watch. Bytes are those of bodies.
type Traffic struct {
	FullLists   int64
	FullBytes   int64 // of full lists
	ChangeBytes int64 // of responses with changes or without any
}

// acknowledgement is a call for the changes since a revision. A node applies a list before its next call, so the node has
// applied the revision by then.
type acknowledgement struct {
	revision uint64
	at       time.Time
}

// Start starts the agent with a listener for each watch. Each listener has a goroutine, which ends with Close.
func Start(servers []Endpoint, watches int) (*Agent, error) {
	a := &Agent{servers: servers, revision: 1, oldestRevision: 1, changed: make(chan struct{})}
	for range watches {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.Close()
			return nil, fmt.Errorf("discovery's agent: %w", err)
		}
		watch := &watch{addr: listener.Addr().String(), conns: map[net.Conn]struct{}{}}
		watch.server = &http.Server{
			Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serveCall(watch, w, r) }),
			ConnState: func(c net.Conn, s http.ConnState) { a.trackConn(watch, c, s) },
			ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
				return context.WithValue(ctx, generationKey{}, a.currentGeneration())
			},
		}
		a.watches = append(a.watches, watch)
		go func() { _ = watch.server.Serve(listener) }() // returns http.ErrServerClosed after Close
	}
	return a, nil
}

// generationKey is the context key of a connection's generation, an int.
type generationKey struct{}

// currentGeneration returns the generation of connections that open now.
func (a *Agent) currentGeneration() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generation
}

// Addr returns the agent's address for a watch, host:port.
func (a *Agent) Addr(watch int) string { return a.watches[watch].addr }

// Close closes all listeners and connections.
func (a *Agent) Close() {
	for _, w := range a.watches {
		_ = w.server.Close()
	}
}

// trackConn adds a new connection to the watch or removes a closed one.
func (a *Agent) trackConn(watch *watch, conn net.Conn, state http.ConnState) {
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

// serveCall answers one call. A call without a revision gets the full list. Any other call waits for changes since its
// revision, at most for the hold time that it states.
func (a *Agent) serveCall(watch *watch, w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path != protocol.EndpointsPath {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get(protocol.QueryRevision), 10, 64)
	full := err != nil
	holdMs, _ := strconv.Atoi(query.Get(protocol.QueryHoldMs)) // 0 if missing
	if !full {
		a.mu.Lock()
		watch.acknowledged = append(watch.acknowledged, acknowledgement{from, arrived})
		a.mu.Unlock()
	}
	generation, _ := r.Context().Value(generationKey{}).(int)
	hold := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer hold.Stop()
	call := listCall{generation: generation, revision: from, wantsFullList: full}
	for {
		body, changed := a.answer(watch, call)
		if body != nil {
			w.Header().Set("Date", time.Now().Add(-watch.clockAhead).UTC().Format(http.TimeFormat))
			writeBody(w, body)
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			call.holdOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// listCall is a call in progress.
type listCall struct {
	generation    int    // of its connection
	revision      uint64 // that the node has; not used if wantsFullList
	wantsFullList bool
	holdOver      bool // the hold time has passed
}

// answer returns the body of the response, or nil and the channel that is closed at the next change. While watches are
// disconnected, it closes the connection by the panic that net/http defines for that.
func (a *Agent) answer(watch *watch, call listCall) (body []byte, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disconnected {
		panic(http.ErrAbortHandler)
	}
	if a.silent || call.generation < a.generation {
		return nil, a.changed
	}
	if call.wantsFullList || call.revision < a.oldestRevision || call.revision > a.revision {
		body := a.fullListFor(watch)
		watch.traffic.FullLists++
		watch.traffic.FullBytes += int64(len(body))
		return body, nil
	}
	if call.revision < a.revision || call.holdOver {
		body := a.changesSince(watch, call.revision)
		watch.traffic.ChangeBytes += int64(len(body))
		return body, nil
	}
	return nil, a.changed
}

// writeBody writes a response. The client notices an incomplete body by its length.
func writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// fullList returns the body of the full list. The caller holds mu.
func (a *Agent) fullList() []byte {
	if a.fullBody == nil {
		list := protocol.EndpointList{Revision: a.revision, Full: true, Endpoints: make([]protocol.Endpoint, 0, len(a.servers))}
		for _, e := range a.servers {
			if e.Listed && e.State != protocol.Terminated {
				list.Endpoints = append(list.Endpoints, e.Endpoint)
			}
		}
		a.fullBody = encodeList(list)
	}
	return a.fullBody
}

// fullListFor returns the body of the full list for a watch. The caller holds mu.
func (a *Agent) fullListFor(w *watch) []byte {
	if w.clockAhead == 0 {
		return a.fullList()
	}
	list := protocol.EndpointList{Revision: a.revision, Full: true, Endpoints: []protocol.Endpoint{}}
	for _, e := range a.servers {
		if e.Listed && e.State != protocol.Terminated {
			list.Endpoints = append(list.Endpoints, w.seen(e.Endpoint))
		}
	}
	return encodeList(list)
}

// seen returns an endpoint with its start time shifted by clockAhead.
func (w *watch) seen(e protocol.Endpoint) protocol.Endpoint {
	if e.BootMs > 0 {
		e.BootMs -= w.clockAhead.Milliseconds()
	}
	return e
}

// changesSince returns the body with the endpoints that changed after a revision. The caller holds mu.
func (a *Agent) changesSince(w *watch, from uint64) []byte {
	list := protocol.EndpointList{Revision: a.revision, Endpoints: []protocol.Endpoint{}}
	for _, e := range a.servers {
		if e.Listed && e.revision > from {
			list.Endpoints = append(list.Endpoints, w.seen(e.Endpoint))
		}
	}
	return encodeList(list)
}

// encodeList returns the JSON of a list.
func encodeList(list protocol.EndpointList) []byte {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // a list contains only strings and finite numbers
	}
	return body
}

// Snapshot returns the present full list in the form of a node's configuration.
func (a *Agent) Snapshot(watch int) json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullListFor(a.watches[watch])
}

// Publish calls change for each of the servers, which makes one revision, and lists them. It returns the revision and the
// time of its publication to waiting calls.
func (a *Agent) Publish(change func(*Endpoint), servers ...int) (revision uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	for _, i := range servers {
		e := &a.servers[i]
		change(e)
		e.Listed, e.revision = true, a.revision
	}
	a.fullBody = nil
	at = time.Now()
	a.wakeCalls()
	return a.revision, at
}

// DisconnectAll closes all connections and those that open until Reconnect. Each node's next call gets the full list.
func (a *Agent) DisconnectAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disconnected = true
	a.revision++
	a.oldestRevision, a.fullBody = a.revision, nil
	for _, w := range a.watches {
		for conn := range w.conns {
			_ = conn.Close()
		}
	}
	a.wakeCalls()
}

// SetSilent sets whether calls stay without a response, as they do while discovery is down.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.wakeCalls()
}

// SilenceOpen leaves all calls on the open connections without a response. Calls on new connections are answered.
func (a *Agent) SilenceOpen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
}

// SetClockAhead simulates that the clock of a watch's node is ahead of all others: the node gets times that are earlier by
// ahead. The caller calls it before the node's start.
func (a *Agent) SetClockAhead(watch int, ahead time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watches[watch].clockAhead = ahead
}

// Traffic returns the counts of a watch so far.
func (a *Agent) Traffic(watch int) Traffic {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watches[watch].traffic
}

// wakeCalls makes the waiting calls try again. The caller holds mu.
func (a *Agent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Reconnect ends the effect of DisconnectAll on new connections.
func (a *Agent) Reconnect() {
	a.mu.Lock()
	a.disconnected = false
	a.mu.Unlock()
}

// AppliedAt returns the first time since a moment at which a watch acknowledged a revision or a later one; the zero time if
// it has not.
func (a *Agent) AppliedAt(watch int, revision uint64, since time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ack := range a.watches[watch].acknowledged {
		if ack.revision >= revision && !ack.at.Before(since) {
			return ack.at
		}
	}
	return time.Time{}
}
