// Package discovery is the laboratory's fake of discovery's agent. It serves one endpoint list and its changes over HTTP, in
// the platform's protocol. Each node gets its own address, because in production an agent runs on each node's machine. A
// test can disconnect all watches, leave calls without a response, or set a node's clock ahead.
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

// Endpoint is a server that the agent knows.
type Endpoint struct {
	protocol.Endpoint
	Listed   bool   // whether the endpoint list contains the server; Publish sets it
	revision uint64 // revision of the server's last change, or 0 if it never changed
}

// Agent serves one endpoint list over HTTP, at a separate address for each watch. Its methods are safe for concurrent use.
type Agent struct {
	watches []*watch // immutable after Start

	// mu guards the fields below, and those fields of the watches whose comments name Agent.mu.
	mu             sync.Mutex
	servers        []Endpoint    // all servers, listed or not
	revision       uint64        // revision of the list; the first is 1
	oldestRevision uint64        // oldest revision that changes can start from; for an older one the agent sends the full list
	fullBody       []byte        // encoded full list without a clock offset; nil if it must be encoded anew
	changed        chan struct{} // channel that is closed and replaced whenever waiting calls must check for changes
	disconnected   bool          // whether the agent closes all connections
	silent         bool          // whether all calls wait without a response
	generation     int           // generation of new connections; calls on older ones get no response
}

// watch is the address and the state of one node's watch.
type watch struct {
	addr   string       // immutable
	server *http.Server // immutable

	conns        map[net.Conn]struct{} // open connections; guarded by Agent.mu
	clockAhead   time.Duration         // lead of the node's clock over all other clocks; guarded by Agent.mu
	traffic      Traffic               // counts of the responses; guarded by Agent.mu
	acknowledged []acknowledgement     // calls for changes, oldest first; guarded by Agent.mu
}

// Traffic counts the responses of a watch.
type Traffic struct {
	FullLists   int64 // responses with the full list
	FullBytes   int64 // size of the bodies with the full list, in bytes
	ChangeBytes int64 // size of the bodies of all other responses, in bytes
}

// acknowledgement is a call for the changes since a revision. A node applies a list before its next call, so the call proves
// that the node has applied the revision.
type acknowledgement struct {
	revision uint64
	at       time.Time // arrival of the call
}

// Start starts an agent with the given number of watches. Each watch has a listener on loopback, and all serve the same list.
// The caller must call Close, which ends the agent's goroutines.
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
		go func() { _ = watch.server.Serve(listener) }() // Serve returns http.ErrServerClosed after Close.
	}
	return a, nil
}

// generationKey is the context key of a connection's generation.
type generationKey struct{}

// currentGeneration returns the generation of a new connection.
func (a *Agent) currentGeneration() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generation
}

// Addr returns the "host:port" of the watch with the given number, from 0.
func (a *Agent) Addr(watch int) string { return a.watches[watch].addr }

// Close closes all listeners and connections.
func (a *Agent) Close() {
	for _, w := range a.watches {
		_ = w.server.Close()
	}
}

// trackConn records the open connections of a watch. It closes new connections while the watches are disconnected.
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

// serveCall responds to a call with the full list, or with the changes since a revision. If there are no changes, it waits for
// one. At the end of the call's hold time it responds with an empty list of changes.
func (a *Agent) serveCall(watch *watch, w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path != protocol.EndpointsPath {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get(protocol.QueryRevision), 10, 64)
	full := err != nil
	holdMs, _ := strconv.Atoi(query.Get(protocol.QueryHoldMs)) // 0 if the parameter is missing or invalid
	if !full {
		a.mu.Lock()
		watch.acknowledged = append(watch.acknowledged, acknowledgement{from, arrived})
		a.mu.Unlock()
	}
	generation, _ := r.Context().Value(generationKey{}).(int)
	hold := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer hold.Stop()
	for holdEnded := false; ; {
		body, changed := a.response(watch, request{generation: generation, full: full, from: from, holdEnded: holdEnded})
		if body != nil {
			w.Header().Set("Date", time.Now().Add(-watch.clockAhead).UTC().Format(http.TimeFormat))
			writeBody(w, body)
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			holdEnded = true
		case <-r.Context().Done():
			return
		}
	}
}

// request is a call to the agent.
type request struct {
	generation int    // generation of the call's connection
	full       bool   // whether the call asks for the full list
	from       uint64 // revision that the node has; the call asks for later changes
	holdEnded  bool   // whether the call's hold time has ended
}

// response returns the body of the response to a call. If the call must wait, it returns nil and a channel that is closed
// when the call must check again. While the watches are disconnected it panics with http.ErrAbortHandler, so that net/http
// closes the connection.
func (a *Agent) response(watch *watch, r request) ([]byte, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disconnected {
		panic(http.ErrAbortHandler)
	}
	if a.silent || r.generation < a.generation {
		return nil, a.changed
	}
	if r.full || r.from < a.oldestRevision || r.from > a.revision {
		body := a.fullList(watch)
		watch.traffic.FullLists++
		watch.traffic.FullBytes += int64(len(body))
		return body, nil
	}
	if r.from < a.revision || r.holdEnded {
		body := a.changesSince(watch, r.from)
		watch.traffic.ChangeBytes += int64(len(body))
		return body, nil
	}
	return nil, a.changed
}

// writeBody writes a response. It ignores a write error, because the client sees the closed connection.
func writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// fullList returns the body with the full list for a watch. The caller holds a.mu.
func (a *Agent) fullList(w *watch) []byte {
	if w.clockAhead != 0 {
		return a.encodeFullList(w)
	}
	if a.fullBody == nil {
		a.fullBody = a.encodeFullList(w)
	}
	return a.fullBody
}

// encodeFullList encodes the full list for a watch. The caller holds a.mu.
func (a *Agent) encodeFullList(w *watch) []byte {
	list := protocol.EndpointList{Revision: a.revision, Full: true, Endpoints: make([]protocol.Endpoint, 0, len(a.servers))}
	for _, e := range a.servers {
		if e.Listed && e.State != protocol.Terminated {
			list.Endpoints = append(list.Endpoints, w.onNodeClock(e.Endpoint))
		}
	}
	return encodeList(list)
}

// onNodeClock returns an endpoint with the boot time that the watch's node gets. The boot time is earlier by clockAhead, because
// the server's clock is that far behind the node's clock.
func (w *watch) onNodeClock(e protocol.Endpoint) protocol.Endpoint {
	if e.BootMs > 0 {
		e.BootMs -= w.clockAhead.Milliseconds()
	}
	return e
}

// changesSince returns the body with the changes after a revision for a watch. The caller holds a.mu.
func (a *Agent) changesSince(w *watch, from uint64) []byte {
	list := protocol.EndpointList{Revision: a.revision, Endpoints: []protocol.Endpoint{}}
	for _, e := range a.servers {
		if e.Listed && e.revision > from {
			list.Endpoints = append(list.Endpoints, w.onNodeClock(e.Endpoint))
		}
	}
	return encodeList(list)
}

// encodeList returns a list as JSON.
func encodeList(list protocol.EndpointList) []byte {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // Strings and finite numbers always encode.
	}
	return body
}

// Snapshot returns the current full list for a watch. A run puts it into the configuration of the watch's node.
func (a *Agent) Snapshot(watch int) json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList(a.watches[watch])
}

// Publish changes the servers with the given numbers as one revision, and marks them as listed. The change goes to all waiting
// calls. Publish returns the revision and the time of the change.
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

// DisconnectAll closes all connections, and new ones until Reconnect is called. After that, calls for the changes since an
// earlier revision get the full list.
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

// SetSilent sets whether all calls wait without a response, as they would while discovery is down.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.wakeCalls()
}

// SilenceOpenConns leaves all calls on the currently open connections without a response. Calls on new connections get one.
func (a *Agent) SilenceOpenConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
}

// SetClockAhead sets how far the clock of a watch's node is ahead of all other clocks. It must be called before the node
// starts.
func (a *Agent) SetClockAhead(watch int, ahead time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watches[watch].clockAhead = ahead
}

// Traffic returns the counts of a watch since Start.
func (a *Agent) Traffic(watch int) Traffic {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watches[watch].traffic
}

// wakeCalls makes all waiting calls check for changes. The caller holds a.mu.
func (a *Agent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Reconnect accepts connections again after DisconnectAll.
func (a *Agent) Reconnect() {
	a.mu.Lock()
	a.disconnected = false
	a.mu.Unlock()
}

// AppliedAt returns the first time, not before since, at which a watch acknowledged a revision or a later one. It returns the
// zero time if there is none.
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
