package routing

import (
	"hash/fnv"
	"net/netip"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
)

// Server is an app server at one address.
type Server struct {
	Addr  netip.AddrPort
	id    uint32
	state protocol.EndpointState
}

// Number is the server's number, the same at all nodes.
func (s *Server) Number() uint32 { return s.id }

// endpointTable maps app servers to the module's numbers.
type endpointTable struct {
	servers map[uint32]*Server
	ids     map[string]uint32
	taken   map[uint32]string
	zones   map[string]uint8
	models  map[string]uint16
	list    []decision.Endpoint
}

func newEndpointTable() endpointTable {
	return endpointTable{
		servers: map[uint32]*Server{}, ids: map[string]uint32{}, taken: map[uint32]string{},
		zones: map[string]uint8{}, models: map[string]uint16{},
	}
}

// id is a server's number: its uid hashed, so that nodes which write to each other of a server mean the
// same one. Two uids that hash alike get numbers one after the other.
func (f *endpointTable) id(uid string) uint32 {
	if id, ok := f.ids[uid]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	id := h.Sum32()
	for _, used := f.taken[id]; used; _, used = f.taken[id] {
		id++
	}
	f.ids[uid], f.taken[id] = id, uid
	return id
}

// forget drops a server that is gone, which else would pile up: what is still out at one holds it itself.
func (f *endpointTable) forget(uid string) {
	if id, ok := f.ids[uid]; ok && f.servers[id].state == protocol.Terminated {
		delete(f.servers, id)
		delete(f.ids, uid)
		delete(f.taken, id)
	}
}

// number is the number of a name, by order of first sight.
func number[N uint8 | uint16](m map[string]N, name string) N {
	n, ok := m[name]
	if !ok {
		n = N(len(m))
		m[name] = n
	}
	return n
}

var states = [...]decision.EndpointState{
	protocol.InService: decision.Ready, protocol.Terminating: decision.Draining,
	protocol.Terminated: decision.Gone,
}

// take notes a message of discovery and turns it into the module's form. Only a whole list costs a look at each server
// that is known.
func (f *endpointTable) take(l *protocol.EndpointList) []decision.Endpoint {
	if l.Full {
		for _, s := range f.servers {
			s.state = protocol.Terminated
		}
	}
	f.list = f.list[:0]
	for _, t := range l.Endpoints {
		id := f.id(t.UID)
		s := f.servers[id]
		if s == nil || t.Addr.IsValid() && s.Addr != t.Addr {
			s = &Server{id: id, Addr: t.Addr}
			f.servers[id] = s
		}
		s.state = t.State
		f.list = append(f.list, decision.Endpoint{
			Server: id, Zone: number(f.zones, t.Zone),
			Kind: number(f.models, t.Model), Cell: uint16(t.Cell), State: states[t.State], Weight: t.Weight,
			Started: decision.Time(t.BootMs) * decision.Second / 1000,
		})
	}
	if l.Full {
		for uid := range f.ids {
			f.forget(uid)
		}
	} else {
		for _, t := range l.Endpoints {
			f.forget(t.UID)
		}
	}
	return f.list
}
