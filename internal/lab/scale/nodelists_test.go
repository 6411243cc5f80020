package scale

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"cherrygap/internal/protocol"
)

// testFleet returns a fleet of one simulated node, configured beside one real node that does not run, and the simulated node.
// The simulated node has a list of two servers.
func testFleet(t *testing.T) (*nodeFleet, *simulatedNode) {
	t.Helper()
	f := newNodeFleet()
	f.cfg = nodesConfig{
		Config:  Config{Nodes: 2, Real: 1, Simulated: 1, Servers: 2, Tenants: 1, Rate: 1, PeerRate: 10, Seed: 1},
		Servers: []string{"127.0.0.1:1", "127.0.0.1:2"},
	}
	if _, err := f.open(); err != nil {
		t.Fatalf("cannot open the sockets of the fleet: %v", err)
	}
	n := f.nodes[0]
	t.Cleanup(func() {
		for _, conn := range []*net.UDPConn{n.conn, f.proxies[0], f.broadcastConn} {
			_ = conn.Close()
		}
	})
	f.peerTable = protocol.NewPeerTable(nil, netip.AddrPort{})
	n.current.Store(n.newIncarnation(1))
	t.Cleanup(func() { n.current.Load().timer.Stop() })
	f.applyList(&protocol.EndpointList{Revision: 1, Full: true, Endpoints: []protocol.Endpoint{
		testEndpoint(f, 0, protocol.InService), testEndpoint(f, 1, protocol.InService),
	}})
	return f, n
}

// testEndpoint returns the endpoint of a server of the fleet, by server number, in a state.
func testEndpoint(f *nodeFleet, server int, state protocol.EndpointState) protocol.Endpoint {
	return protocol.Endpoint{
		UID: fmt.Sprint(server), Addr: netip.MustParseAddrPort(f.cfg.Servers[server]), State: state, Weight: 1,
	}
}

// TestSimulatedNodeAppliesLists guards against nodes that route by an outdated list. A node must not use a server after it has
// applied the server's drain. A node that is down applies no list; after its restart it has the latest one.
func TestSimulatedNodeAppliesLists(t *testing.T) {
	f, n := testFleet(t)
	router := n.current.Load().router
	server := router.Servers()[0]
	i := f.serverNumbers[server.Addr]
	f.applyList(&protocol.EndpointList{Revision: 2, Endpoints: []protocol.Endpoint{testEndpoint(f, i, protocol.Terminating)}})
	if router.InService(server) || len(n.current.Load().drained) != 1 {
		t.Errorf("after a list that drains server %d: InService = %v, servers out of service %v; want false, one server",
			i, router.InService(server), n.current.Load().drained)
	}
	n.down.Store(true)
	f.applyList(&protocol.EndpointList{Revision: 3, Endpoints: []protocol.Endpoint{testEndpoint(f, i, protocol.InService)}})
	if router.InService(server) {
		t.Errorf("a list sets server %d in service while the node is down: InService = true at the node, want false", i)
	}
	f.restart([]int{0}, 0)
	if inc := n.current.Load(); n.down.Load() || len(inc.router.Servers()) != 2 || len(inc.drained) != 0 || inc.router == router {
		t.Errorf("restarted node: down %v, %d servers, %d out of service, router replaced %v; want false, 2, 0, true",
			n.down.Load(), len(inc.router.Servers()), len(inc.drained), inc.router != router)
	}
	if len(f.applied) != 3 || f.applied[0].At[0] == 0 || f.applied[2].At[0] != 0 {
		t.Errorf("times (µs, 0 for never) at which nodes applied lists are %+v; want 3 lists, with node 0 above 0 for the first and 0 for the last",
			f.applied)
	}
}
