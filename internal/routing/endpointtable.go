package routing

import (
	"hash/fnv"
	"net/netip"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
)

// ServerNumber identifies a server in messages between nodes. All nodes give a server the same number, unless the hashes
// of two uids collide.
type ServerNumber uint32

// Server is an app server at one address. A server whose address changes becomes another Server with the same number.
type Server struct {
	// Immutable.
	Addr   netip.AddrPort
	number ServerNumber

	// Guarded by Router.mu.
	state protocol.EndpointState
	zone  string
	cell  int
}

// Number returns the server's number.
func (s *Server) Number() ServerNumber { return s.number }

// endpointTable holds the node's endpoint list, and maps uids, zones and models to the engine's numbers. Numbers of zones
// and models are local to the node and never freed. Router.mu guards the table.
type endpointTable struct {
	servers map[ServerNumber]*Server
	numbers map[string]ServerNumber // server numbers by uid
	uids    map[ServerNumber]string
	zones   map[string]uint8    // zone numbers by name
	models  map[string]uint16   // model numbers by name
	list    []decision.Endpoint // result of the last update, whose memory the next one reuses
}

// newEndpointTable returns an empty table.
func newEndpointTable() endpointTable {
	return endpointTable{
		servers: map[ServerNumber]*Server{},
		numbers: map[string]ServerNumber{},
		uids:    map[ServerNumber]string{},
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
	if n, ok := t.numbers[uid]; ok && t.servers[n].state == protocol.Terminated {
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
func (t *endpointTable) update(list *protocol.EndpointList) []decision.Endpoint {
	if list.Full {
		for _, s := range t.servers {
			s.state = protocol.Terminated
		}
	}
	t.list = t.list[:0]
	for _, e := range list.Endpoints {
		t.list = append(t.list, t.updateServer(&e))
	}
	if list.Full {
		for uid := range t.numbers {
			t.removeTerminated(uid)
		}
		return t.list
	}
	for _, e := range list.Endpoints {
		t.removeTerminated(e.UID)
	}
	return t.list
}

// updateServer applies one endpoint and returns it in the engine's form. An endpoint without an address, such as
// that of a terminated server, keeps the known address.
func (t *endpointTable) updateServer(e *protocol.Endpoint) decision.Endpoint {
	n := t.number(e.UID)
	s := t.servers[n]
	moved := s != nil && e.Addr.IsValid() && s.Addr != e.Addr
	if s == nil || moved {
		s = &Server{number: n, Addr: e.Addr}
		t.servers[n] = s
	}
	s.state, s.zone, s.cell = e.State, e.Zone, e.Cell
	return decision.Endpoint{
		Server:  decision.ServerID(n),
		Zone:    nameNumber(t.zones, e.Zone),
		Model:   nameNumber(t.models, e.Model),
		Cell:    uint16(e.Cell),
		State:   endpointStates[e.State],
		Weight:  e.Weight,
		Started: decision.Time(e.BootMs) * decision.Second / 1000,
	}
}
