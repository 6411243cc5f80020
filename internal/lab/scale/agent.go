package scale

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"cherrygap/internal/protocol"
)

// stateNames are the states on the wire.
var stateNames = map[protocol.EndpointState]string{
	protocol.InService: "in_service", protocol.Terminating: "terminating",
	protocol.Terminated: "terminated",
}

// entry is a server as discovery's agent tells it.
type entry struct {
	UID      string         `json:"uid"`
	Endpoint netip.AddrPort `json:"endpoint"`
	Zone     string         `json:"az"`
	Model    string         `json:"model"`
	Cell     int            `json:"pod_group"`
	State    string         `json:"state"`
	Weight   float64        `json:"capacity_hint"`
	BootMs   int64          `json:"boot_ms"`

	listed bool
	rev    uint64 // of its last change
}

type message struct {
	Rev     uint64  `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// agent stands in for discovery's agent: one list of servers and its changes, told over HTTP to each node at an address of
// the node's own, as on a node's machine. Bytes are of bodies.
type agent struct {
	mu      sync.Mutex
	servers []entry
	rev     uint64
	oldest  uint64 // calls from before it get the whole list
	whole   []byte // as of rev; nil: to be written
	changed chan struct{}
	broken  bool // connections are closed as they come

	nodes []*told
}

// told is what the agent knows of one watch.
type told struct {
	addr   string
	srv    *http.Server
	conns  map[net.Conn]struct{}
	wholes int64 // whole lists told, their bytes,
	bytes  int64
	parts  int64 // answers with changes or nothing,
	small  int64 // and their bytes
	seen   []seen
}

// seen is that a call came which counts from rev: what it names is in force at the node, which takes a list over before it
// calls again.
type seen struct {
	rev uint64
	at  time.Time
}

// newAgent starts the agent with a listener for each of so many watches.
func newAgent(servers []entry, watches int) (*agent, error) {
	a := &agent{servers: servers, rev: 1, oldest: 1, changed: make(chan struct{})}
	for range watches {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.close()
			return nil, err
		}
		t := &told{addr: ln.Addr().String(), conns: map[net.Conn]struct{}{}}
		t.srv = &http.Server{
			Handler:   http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { a.answer(t, w, q) }),
			ConnState: func(c net.Conn, s http.ConnState) { a.conn(t, c, s) },
		}
		a.nodes = append(a.nodes, t)
		go t.srv.Serve(ln)
	}
	return a, nil
}

func (a *agent) close() {
	for _, t := range a.nodes {
		t.srv.Close()
	}
}

func (a *agent) conn(t *told, c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns[c] = struct{}{}
		if a.broken {
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// answer tells the whole list, or what changed since a revision, as soon as anything has.
func (a *agent) answer(t *told, w http.ResponseWriter, q *http.Request) {
	came := time.Now()
	if q.URL.Path != "/v1/servers" {
		http.NotFound(w, q)
		return
	}
	from, err := strconv.ParseUint(q.URL.Query().Get("from"), 10, 64)
	whole := err != nil
	hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
	if !whole {
		a.mu.Lock()
		t.seen = append(t.seen, seen{from, came})
		a.mu.Unlock()
	}
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		a.mu.Lock()
		if a.broken {
			a.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		changed := a.changed
		if whole || from < a.oldest || from > a.rev {
			raw := a.all()
			t.wholes++
			t.bytes += int64(len(raw))
			a.mu.Unlock()
			a.write(w, raw)
			return
		}
		if from < a.rev || over {
			raw := a.since(from)
			t.parts++
			t.small += int64(len(raw))
			a.mu.Unlock()
			a.write(w, raw)
			return
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-q.Context().Done():
			return
		}
	}
}

func (a *agent) write(w http.ResponseWriter, raw []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

// all is the whole list; under the lock.
func (a *agent) all() []byte {
	if a.whole == nil {
		m := message{Rev: a.rev, All: true, Targets: make([]entry, 0, len(a.servers))}
		for _, e := range a.servers {
			if e.listed && e.State != stateNames[protocol.Terminated] {
				m.Targets = append(m.Targets, e)
			}
		}
		a.whole, _ = json.Marshal(m)
	}
	return a.whole
}

// since is what changed; under the lock.
func (a *agent) since(from uint64) []byte {
	m := message{Rev: a.rev, Targets: []entry{}}
	for _, e := range a.servers {
		if e.listed && e.rev > from {
			m.Targets = append(m.Targets, e)
		}
	}
	raw, _ := json.Marshal(m)
	return raw
}

// known is the whole list as of now, as a node's configuration has it.
func (a *agent) known() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all()
}

// publish changes servers, which makes one revision, and tells it.
func (a *agent) publish(change func(e *entry), servers ...int) (rev uint64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	for _, i := range servers {
		e := &a.servers[i]
		change(e)
		e.listed, e.rev = true, a.rev
	}
	a.whole = nil
	at = time.Now()
	close(a.changed)
	a.changed = make(chan struct{})
	return a.rev, at
}

// breakAll ends all watches, lets none in until mend, and has then nothing but the whole list to tell.
func (a *agent) breakAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broken = true
	a.rev++
	a.oldest, a.whole = a.rev, nil
	for _, t := range a.nodes {
		for c := range t.conns {
			c.Close()
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) mend() {
	a.mu.Lock()
	a.broken = false
	a.mu.Unlock()
}

// inForce is when a watch first counted from a revision or a later one; the zero time if it has not.
func (a *agent) inForce(watch int, rev uint64, since time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.nodes[watch].seen {
		if s.rev >= rev && !s.at.Before(since) {
			return s.at
		}
	}
	return time.Time{}
}
