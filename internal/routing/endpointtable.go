package routing

import (
	"hash/fnv"
	"net/netip"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
)

// ServerNumber is an app server's number, the same at all nodes while no two uids hash alike: nodes name servers to each
// other by it.
type ServerNumber uint32

// Server is an app server at one address. One that moves to another address is another Server with the same number.
type Server struct {
	Addr   netip.AddrPort
	number ServerNumber
	state  protocol.EndpointState // guarded by the Router's lock, as both below
	zone   string
	cell   int
}

// Number returns the server's number.
func (s *Server) Number() ServerNumber { return s.number }

// endpointTable is the node's endpoint list, and maps its uids and names to the engine's numbers.
type endpointTable struct {
	servers map[ServerNumber]*Server
	numbers map[string]ServerNumber // by uid
	uids    map[ServerNumber]string
	zones   map[string]uint8    // by name, in order of first sight
	models  map[string]uint16   // likewise
	list    []decision.Endpoint // update's result; its memory is used again
}

func newEndpointTable() endpointTable {
	return endpointTable{
		servers: map[ServerNumber]*Server{},
		numbers: map[string]ServerNumber{},
		uids:    map[ServerNumber]string{},
		zones:   map[string]uint8{},
		models:  map[string]uint16{},
	}
}

// number returns the number of a uid: its hash, so that all nodes come to the same one without asking each other. Of uids
// that hash alike the later ones get the next number that is free.
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

// find returns the server with a number. One that the table does not hold is terminated: nothing is sent there.
func (t *endpointTable) find(n ServerNumber) *Server {
	if s := t.servers[n]; s != nil {
		return s
	}
	return &Server{number: n, state: protocol.Terminated}
}

// removeTerminated forgets a server that has terminated, or they would pile up. An attempt that is in flight at one holds
// its Server itself.
func (t *endpointTable) removeTerminated(uid string) {
	if n, ok := t.numbers[uid]; ok && t.servers[n].state == protocol.Terminated {
		delete(t.servers, n)
		delete(t.numbers, uid)
		delete(t.uids, n)
	}
}

// numberOf returns the number of a name: how many other names were seen before it.
func numberOf[N uint8 | uint16](numbers map[string]N, name string) N {
	n, ok := numbers[name]
	if !ok {
		n = N(len(numbers))
		numbers[name] = n
	}
	return n
}

// endpointStates maps discovery's states to the engine's.
var endpointStates = [...]decision.EndpointState{
	protocol.InService:   decision.Ready,
	protocol.Terminating: decision.Draining,
	protocol.Terminated:  decision.Gone,
}

// update takes in an endpoint list or a change of it, and returns it in the engine's form, good until the next call.
// A change costs no look at the endpoints that it does not name.
func (t *endpointTable) update(list *protocol.EndpointList) []decision.Endpoint {
	if list.Full {
		for _, s := range t.servers {
			s.state = protocol.Terminated
		}
	}
	t.list = t.list[:0]
	for _, e := range list.Endpoints {
		t.list = append(t.list, t.updateOne(&e))
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

// updateOne takes in one endpoint. An address that is missing, as of a server that has terminated, changes nothing.
func (t *endpointTable) updateOne(e *protocol.Endpoint) decision.Endpoint {
	n := t.number(e.UID)
	s := t.servers[n]
	if s == nil || e.Addr.IsValid() && s.Addr != e.Addr {
		s = &Server{number: n, Addr: e.Addr}
		t.servers[n] = s
	}
	s.state, s.zone, s.cell = e.State, e.Zone, e.Cell
	return decision.Endpoint{
		Server:  decision.ServerID(n),
		Zone:    numberOf(t.zones, e.Zone),
		Kind:    numberOf(t.models, e.Model),
		Cell:    uint16(e.Cell),
		State:   endpointStates[e.State],
		Weight:  e.Weight,
		Started: decision.Time(e.BootMs) * decision.Second / 1000,
	}
}
