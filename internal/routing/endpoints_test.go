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

func TestNoAttemptStartsAtADrainingServer(t *testing.T) {
	r, req, _ := startRouter(t, settings.RetrySafe, 1)
	req.Start(&seatRequest, 2*time.Second)
	d := req.Next()
	r.UpdateEndpoints(listOf(1, protocol.Terminating), FromDiscovery)
	if r.InService(d.Server) {
		t.Error("an attempt may start at a draining server")
	}
	req.Report(AttemptResult{Outcome: protocol.NotSent})
	if d := req.Next(); d.Action != Reject {
		t.Errorf("%+v", d)
	}
	r.UpdateEndpoints(listOf(1, protocol.InService), FromDiscovery)
	moved := listOf(1, protocol.InService)
	moved.Full = false
	moved.Endpoints[0].Addr = netip.MustParseAddrPort("127.0.0.1:9555")
	r.UpdateEndpoints(moved, FromDiscovery)
	req.Start(&seatRequest, 2*time.Second)
	if next := req.Next(); r.InService(d.Server) || next.Server.Addr != moved.Endpoints[0].Addr {
		t.Error("a server that moved is still at its old address")
	}
}

func TestServerNumbersDoNotDependOnTheListsOrder(t *testing.T) {
	here, there := newEndpointTable(), newEndpointTable()
	list := listOf(40, protocol.InService)
	one := here.update(list)
	slices.Reverse(list.Endpoints)
	for i, e := range there.update(list) {
		if e.Server != one[len(one)-1-i].Server {
			t.Fatalf("%s is %d here and %d there", list.Endpoints[i].UID, e.Server, one[len(one)-1-i].Server)
		}
	}
	here.uids[1], here.uids[2] = "x", "y"
	if here.uids[here.number("s0")] != "s0" {
		t.Error("two servers share a number")
	}
}

// The table does not grow while new servers replace old ones. A new server at the address of an old one is another Server.
func TestTerminatedServersAreRemoved(t *testing.T) {
	table := newEndpointTable()
	list := listOf(3, protocol.InService)
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
		t.Errorf("%d servers, %d numbers, %d uids", len(table.servers), len(table.numbers), len(table.uids))
	}
	table.update(&protocol.EndpointList{Full: true})
	if len(table.servers)+len(table.numbers)+len(table.uids) != 0 {
		t.Error("a complete list without endpoints leaves servers")
	}
}

// Servers returns those in service; HasServers counts any that is listed.
func TestServersInService(t *testing.T) {
	r, _, _ := startRouter(t, settings.RetrySafe, 0)
	if r.HasServers() {
		t.Error("has servers without a list")
	}
	for _, c := range []struct {
		state     protocol.EndpointState
		inService int
		known     bool
	}{{protocol.InService, 2, true}, {protocol.Terminating, 0, true}, {protocol.Terminated, 0, false}} {
		r.UpdateEndpoints(listOf(2, c.state), FromDiscovery)
		if got := r.Servers(); len(got) != c.inService || r.HasServers() != c.known {
			t.Errorf("state %d: %d servers, any known: %t", c.state, len(got), r.HasServers())
		}
	}
}
