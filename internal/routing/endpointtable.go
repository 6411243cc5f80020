package routing

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
)

// ServerNumber identifies a server in messages between nodes. All nodes give a server the same number, unless the hashes
// of two uids collide.
type ServerNumber uint32

// Server is one process of an app server at one address. If the address or the process changes, another Server has the same number.
type Server struct {
	// Immutable.
	Addr   netip.AddrPort
	number ServerNumber
	bootMs int64  // Unix time of the process's start, in milliseconds; 0 if that was long ago
	order  uint64 // position in the order in which this node learned of the processes

	// Guarded by Router.mu.
	state  protocol.EndpointState // listed state, or Terminated while a newer process has the address
	listed decision.Endpoint      // entry of the endpoint list
	zone   string
	cell   int
}

// Number returns the server's number.
func (s *Server) Number() ServerNumber { return s.number }

// endpointTable holds the node's endpoint list, and maps uids, zones and models to the engine's numbers. Numbers of zones
// and models are local to the node and never freed. Router.mu guards the table.
type endpointTable struct {
	servers map[ServerNumber]*Server
	numbers map[string]ServerNumber // server numbers by uid
	uids    map[ServerNumber]string
	byAddr  map[netip.AddrPort][]*Server // servers that the list has at an address and not as terminated
	learned uint64                       // number of processes that this node has learned of
	zones   map[string]uint8             // zone numbers by name
	models  map[string]uint16            // model numbers by name
	list    []decision.Endpoint          // result of the last update, whose memory the next one reuses
}

// newEndpointTable returns an empty table.
func newEndpointTable() endpointTable {
	return endpointTable{
		servers: map[ServerNumber]*Server{},
		numbers: map[string]ServerNumber{},
		uids:    map[ServerNumber]string{},
		byAddr:  map[netip.AddrPort][]*Server{},
		zones:   map[string]uint8{},
		models:  map[string]uint16{},
	}
}

// number returns the number of a uid: its FNV-1a hash, so that all nodes agree without a message. If two hashes collide,
// the uid that this node receives later gets the next free number.
func (t *endpointTable) number(uid string) ServerNumber {
	if n, ok := t.numbers[uid]; ok {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	n := ServerNumber(h.Sum32())
	for _, used := t.uids[n]; used; _, used = t.uids[n] {
		n++
	}
	t.numbers[uid], t.uids[n] = n, uid
	return n
}

// find returns the server with the number n. For an unknown number it returns a terminated Server without an address.
func (t *endpointTable) find(n ServerNumber) *Server {
	if s := t.servers[n]; s != nil {
		return s
	}
	return &Server{number: n, state: protocol.Terminated}
}

// removeTerminated removes the server with the uid if it has terminated. An attempt in flight keeps its pointer to the
// Server.
func (t *endpointTable) removeTerminated(uid string) {
	if n, ok := t.numbers[uid]; ok && t.servers[n].listed.State == decision.Gone {
		delete(t.servers, n)
		delete(t.numbers, uid)
		delete(t.uids, n)
	}
}

// nameNumber returns the number of a name. It gives a new name the next number.
func nameNumber[N uint8 | uint16](numbers map[string]N, name string) N {
	n, ok := numbers[name]
	if !ok {
		n = N(len(numbers))
		numbers[name] = n
	}
	return n
}

// endpointStates maps the states of the discovery service to the engine's.
var endpointStates = [...]decision.EndpointState{
	protocol.InService:   decision.Ready,
	protocol.Terminating: decision.Draining,
	protocol.Terminated:  decision.Gone,
}

// update applies an endpoint list and returns it in the engine's form. The list is complete if list.Full is set, else an
// update of single endpoints. The result is valid until the next call. An update takes time in proportion to its own
// endpoints, not to the size of the table.
//
// Two servers may be listed at one address, because the list tells of a new process there before it tells of the old one's end.
// Only the newest process is there, and update gives the others the state Gone.
func (t *endpointTable) update(list *protocol.EndpointList) []decision.Endpoint {
	if list.Full {
		for _, s := range t.servers {
			s.state, s.listed.State = protocol.Terminated, decision.Gone
		}
		clear(t.byAddr)
	}
	t.list = t.list[:0]
	changed := make([]netip.AddrPort, 0, len(list.Endpoints)) // addresses whose servers may have changed
	for i := range list.Endpoints {
		changed = append(changed, t.updateServer(&list.Endpoints[i])...)
	}
	var others []*Server // servers whose states change besides those of the list
	for _, addr := range changed {
		others = append(others, t.resolveAddr(addr)...)
	}
	for i := range list.Endpoints {
		t.list = append(t.list, t.servers[t.numbers[list.Endpoints[i].UID]].effective())
	}
	for _, s := range others {
		t.list = append(t.list, s.effective())
	}
	t.removeUnlisted(list)
	return t.list
}

// removeUnlisted removes the servers that the list has ended.
func (t *endpointTable) removeUnlisted(list *protocol.EndpointList) {
	if !list.Full {
		for _, e := range list.Endpoints {
			t.removeTerminated(e.UID)
		}
		return
	}
	for uid := range t.numbers {
		t.removeTerminated(uid)
	}
}

// updateServer applies one endpoint, and returns the addresses whose servers may have changed. An endpoint without an address, such as
// that of a terminated server, keeps the known address.
func (t *endpointTable) updateServer(e *protocol.Endpoint) []netip.AddrPort {
	n := t.number(e.UID)
	before := t.servers[n]
	s := before
	if s == nil || e.Addr.IsValid() && s.Addr != e.Addr || e.State != protocol.Terminated && s.bootMs != e.BootMs {
		s = t.newServer(n, before, e)
		t.servers[n] = s
	}
	s.zone, s.cell = e.Zone, e.Cell
	s.state = e.State
	s.listed = decision.Endpoint{
		Server:  decision.ServerID(n),
		Zone:    nameNumber(t.zones, e.Zone),
		Model:   nameNumber(t.models, e.Model),
		Cell:    uint16(e.Cell),
		State:   endpointStates[e.State],
		Weight:  e.Weight,
		Started: decision.Time(e.BootMs) * decision.Second / 1000,
	}
	changed := []netip.AddrPort{s.Addr}
	if before != nil && before != s {
		t.leaveAddr(before)
		changed = append(changed, before.Addr)
	}
	t.leaveAddr(s)
	if e.State != protocol.Terminated {
		t.byAddr[s.Addr] = append(t.byAddr[s.Addr], s)
	}
	return changed
}

// newServer returns the Server of a process that this node learns of. before is the server's last one, or nil.
func (t *endpointTable) newServer(n ServerNumber, before *Server, e *protocol.Endpoint) *Server {
	t.learned++
	s := &Server{number: n, Addr: e.Addr, bootMs: e.BootMs, order: t.learned}
	if before != nil && !e.Addr.IsValid() {
		s.Addr = before.Addr
	}
	return s
}

// leaveAddr removes a server from the servers at its address.
func (t *endpointTable) leaveAddr(s *Server) {
	others := slices.DeleteFunc(t.byAddr[s.Addr], func(at *Server) bool { return at == s })
	if len(others) == 0 {
		delete(t.byAddr, s.Addr)
	} else {
		t.byAddr[s.Addr] = others
	}
}

// newerThan reports whether s is a newer process than other at the same address: by the start times where they differ, and else by
// the order in which this node learned of them.
func (s *Server) newerThan(other *Server) bool {
	if s.bootMs != other.bootMs {
		return s.bootMs > other.bootMs
	}
	return s.order > other.order
}

// resolveAddr gives the newest server at an address its listed state, and the others Terminated. It returns the servers whose state
// changes.
func (t *endpointTable) resolveAddr(addr netip.AddrPort) []*Server {
	servers := t.byAddr[addr]
	if len(servers) == 0 {
		return nil
	}
	var changed []*Server
	newest := servers[0]
	for _, s := range servers[1:] {
		if s.newerThan(newest) {
			newest = s
		}
	}
	for _, s := range servers {
		state := protocol.Terminated
		if s == newest {
			state = listedStates[s.listed.State]
		}
		if state != s.state {
			s.state = state
			changed = append(changed, s)
		}
	}
	return changed
}

// listedStates maps the engine's states to those of the discovery service.
var listedStates = [...]protocol.EndpointState{
	decision.Ready:    protocol.InService,
	decision.Draining: protocol.Terminating,
	decision.Gone:     protocol.Terminated,
}

// effective returns the server's entry with the state that it has for attempts.
func (s *Server) effective() decision.Endpoint {
	endpoint := s.listed
	endpoint.State = endpointStates[s.state]
	return endpoint
}
