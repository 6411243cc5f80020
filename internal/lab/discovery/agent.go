// Package discovery is the laboratory's stand-in for discovery's agent: one endpoint list and its changes, served over HTTP
// to each node at an address of the node's own, as on a node's machine. Faults can be played on each address.
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
	Listed   bool   // whether the list contains the server; Publish sets it
	revision uint64 // of the last change
}

// Agent stands in for discovery's agent: one endpoint list and its changes, served over HTTP to each node at an
// address of the node's own, as on a node's machine.
type Agent struct {
	watches []*watch // set by Start alone

	mu             sync.Mutex // guards what follows, and the counts of all watches
	servers        []Endpoint
	revision       uint64
	oldestRevision uint64        // a call from before it gets the full list
	fullBody       []byte        // the full list as of revision; nil: to be encoded
	changed        chan struct{} // closed, and replaced, at each change
	disconnected   bool          // connections are closed as they come
	silent         bool          // no call is answered
	generation     int           // of connections: calls on those of earlier ones are not answered
}

// watch is what the agent knows of one node's watch. All but addr and server are guarded by the agent's lock; bytes
// are of bodies.
type watch struct {
	addr         string
	server       *http.Server
	conns        map[net.Conn]struct{}
	clockAhead   time.Duration // by which the node's clock is ahead of all others
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

// Start starts the agent with a listener for each of so many watches. Each has a goroutine of its own, which ends
// with Close.
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
		go func() { _ = watch.server.Serve(listener) }() // it returns an error always: that of Close
	}
	return a, nil
}

// generationKey is the context's key of a connection's generation.
type generationKey struct{}

func (a *Agent) currentGeneration() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generation
}

// Addr is where a watch's node finds the agent.
func (a *Agent) Addr(watch int) string { return a.watches[watch].addr }

// Close ends all watches.
func (a *Agent) Close() {
	for _, w := range a.watches {
		_ = w.server.Close()
	}
}

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

// serveCall answers one call: with the full list, or with what changed since a revision as soon as anything has, or with
// no change once the time that the call allows is over.
func (a *Agent) serveCall(watch *watch, w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path != protocol.EndpointsPath {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get(protocol.QueryRevision), 10, 64)
	full := err != nil
	holdMs, _ := strconv.Atoi(query.Get(protocol.QueryHoldMs)) // 0 if it is missing
	if !full {
		a.mu.Lock()
		watch.acknowledged = append(watch.acknowledged, acknowledgement{from, arrived})
		a.mu.Unlock()
	}
	generation, _ := r.Context().Value(generationKey{}).(int)
	hold := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer hold.Stop()
	for over := false; ; {
		body, changed := a.answer(watch, generation, from, full, over)
		if body != nil {
			w.Header().Set("Date", time.Now().Add(-watch.clockAhead).UTC().Format(http.TimeFormat))
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
func (a *Agent) answer(watch *watch, generation int, from uint64, full, over bool) ([]byte, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disconnected {
		panic(http.ErrAbortHandler)
	}
	if a.silent || generation < a.generation {
		return nil, a.changed
	}
	if full || from < a.oldestRevision || from > a.revision {
		body := a.fullListFor(watch)
		watch.fullLists++
		watch.fullBytes += int64(len(body))
		return body, nil
	}
	if from < a.revision || over {
		body := a.changesSince(watch, from)
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

// fullListFor is the full list's body as a watch's node has to see it. The caller holds the lock.
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

// seen is an entry with its time of start as it looks to a node whose clock is ahead.
func (w *watch) seen(e protocol.Endpoint) protocol.Endpoint {
	if e.BootMs > 0 {
		e.BootMs -= w.clockAhead.Milliseconds()
	}
	return e
}

// changesSince is the body with what changed after a revision. The caller holds the lock.
func (a *Agent) changesSince(w *watch, from uint64) []byte {
	list := protocol.EndpointList{Revision: a.revision, Endpoints: []protocol.Endpoint{}}
	for _, e := range a.servers {
		if e.Listed && e.revision > from {
			list.Endpoints = append(list.Endpoints, w.seen(e.Endpoint))
		}
	}
	return encodeList(list)
}

func encodeList(list protocol.EndpointList) []byte {
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // of strings and finite numbers
	}
	return body
}

// Snapshot is the full list as of now, as the configuration of a watch's node has it.
func (a *Agent) Snapshot(watch int) json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullListFor(a.watches[watch])
}

// Publish changes servers, which makes one revision, and sends it to all that wait.
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

// DisconnectAll ends all watches and accepts none until Reconnect. From then on every node gets the full list.
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

// SetSilent ends or begins that no call is answered, on connections of now or later: as while discovery is down.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.wakeCalls()
}

// SilenceOpen leaves all calls on connections of before now without an answer; those on new ones are answered.
func (a *Agent) SilenceOpen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation++
}

// SetClockAhead plays that the clock of a watch's node is ahead of all others: to it they are behind. It is to be called
// before the node's start.
func (a *Agent) SetClockAhead(watch int, ahead time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watches[watch].clockAhead = ahead
}

// Traffic is what the agent sent on a watch: full lists and their bytes, and the bytes of answers with changes or nothing.
func (a *Agent) Traffic(watch int) (fullLists, fullBytes, changeBytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.watches[watch]
	return w.fullLists, w.fullBytes, w.deltaBytes
}

// wakeCalls has the calls that wait look again. The caller holds the lock.
func (a *Agent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Reconnect ends what DisconnectAll began.
func (a *Agent) Reconnect() {
	a.mu.Lock()
	a.disconnected = false
	a.mu.Unlock()
}

// AppliedAt is when a watch first acknowledged a revision or a later one, since a moment; the zero time if it has not.
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
