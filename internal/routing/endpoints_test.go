package routing

import (
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// TestNoAttemptStartsAtADrainingServer guards against an attempt at a server that began to drain, or moved to another
// address, after the engine had selected it.
func TestNoAttemptStartsAtADrainingServer(t *testing.T) {
	r, req, _ := startRouter(t, settings.RetrySafe, 1)
	req.Start(&seatRequest, 2*time.Second)
	d := req.Next()
	r.UpdateEndpoints(serverList(1, protocol.Terminating), FromDiscovery)
	if r.InService(d.Server) {
		t.Errorf("InService(%v) = true after the server began to drain, want false", d.Server.Addr)
	}
	req.Report(AttemptResult{Outcome: protocol.NotSent})
	if d := req.Next(); d.Action != Reject {
		t.Errorf("Next() without a server in service = %+v, want Action %d (Reject)", d, Reject)
	}
	r.UpdateEndpoints(serverList(1, protocol.InService), FromDiscovery)
	moved := serverList(1, protocol.InService)
	moved.Full = false
	moved.Endpoints[0].Addr = netip.MustParseAddrPort("127.0.0.1:9555")
	r.UpdateEndpoints(moved, FromDiscovery)
	req.Start(&seatRequest, 2*time.Second)
	if next := req.Next(); r.InService(d.Server) || next.Server.Addr != moved.Endpoints[0].Addr {
		t.Errorf("after the move: InService of the server at the old address = %t, next server at %v; want false, %v",
			r.InService(d.Server), next.Server.Addr, moved.Endpoints[0].Addr)
	}
}

// TestServerNumbersDoNotDependOnTheListsOrder guards against two nodes that give a server different numbers, and against
// two servers with the same number. A server keeps its number when other uids are added.
func TestServerNumbersDoNotDependOnTheListsOrder(t *testing.T) {
	table, reversedTable := newEndpointTable(), newEndpointTable()
	list := serverList(40, protocol.InService)
	endpoints := table.update(list)
	slices.Reverse(list.Endpoints)
	for i, e := range reversedTable.update(list) {
		if e.Server != endpoints[len(endpoints)-1-i].Server {
			t.Fatalf("number of %s = %d from the reversed list, want %d as from the list", list.Endpoints[i].UID, e.Server,
				endpoints[len(endpoints)-1-i].Server)
		}
	}
	table.uids[1], table.uids[2] = "x", "y"
	if table.uids[table.number("s0")] != "s0" {
		t.Errorf("uid of the number of s0 after numbers 1 and 2 were given to other servers = %q, want s0: s0 must keep its own number",
			table.uids[table.number("s0")])
	}
}

// TestTerminatedServersAreRemoved guards against a table that grows while new servers replace old ones. A new server at the
// address of an old one is another Server.
func TestTerminatedServersAreRemoved(t *testing.T) {
	table := newEndpointTable()
	list := serverList(3, protocol.InService)
	table.update(list)
	old := table.servers[table.number("s0")]
	for i := range 200 {
		next := protocol.EndpointList{Endpoints: []protocol.Endpoint{list.Endpoints[i%3], list.Endpoints[i%3]}}
		next.Endpoints[0].State = protocol.Terminated
		next.Endpoints[1].UID = "t" + strconv.Itoa(i)
		table.update(&next)
		list.Endpoints[i%3] = next.Endpoints[1]
	}
	if s := table.servers[table.number("t198")]; len(table.servers) != 3 || len(table.numbers) != 3 || len(table.uids) != 3 ||
		s == old || s.Addr != old.Addr {
		t.Errorf("table has %d servers, %d numbers and %d uids, want 3 each; server t198 = %+v, same Server as s0 = %t, want a new Server at %v",
			len(table.servers), len(table.numbers), len(table.uids), s, s == old, old.Addr)
	}
	table.update(&protocol.EndpointList{Full: true})
	if len(table.servers)+len(table.numbers)+len(table.uids) != 0 {
		t.Errorf("after an empty complete list the table has %d servers, %d numbers and %d uids, want none",
			len(table.servers), len(table.numbers), len(table.uids))
	}
}

// TestServersInService checks that Servers returns only the servers in service, and that HasServers counts all listed ones.
func TestServersInService(t *testing.T) {
	r, _, _ := startRouter(t, settings.RetrySafe, 0)
	if r.HasServers() {
		t.Error("HasServers() = true before the first list, want false")
	}
	for _, c := range []struct {
		state      protocol.EndpointState
		inService  int
		hasServers bool
	}{{protocol.InService, 2, true}, {protocol.Terminating, 0, true}, {protocol.Terminated, 0, false}} {
		r.UpdateEndpoints(serverList(2, c.state), FromDiscovery)
		if got := r.Servers(); len(got) != c.inService || r.HasServers() != c.hasServers {
			t.Errorf("2 servers in state %v: len(Servers()) = %d, HasServers() = %t; want %d, %t", c.state, len(got), r.HasServers(), c.inService,
				c.hasServers)
		}
	}
}
