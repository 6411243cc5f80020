package scale

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/protocol"
)

func TestFiguresThatCantBePlayed(t *testing.T) {
	for want, spoil := range map[string]func(*Config){
		"no program":     func(c *Config) { c.Program = "" },
		`trouble "rain"`: func(c *Config) { c.Troubles = []string{"rain"} },
		"real:":          func(c *Config) { c.Real = 0 },
		"nodes:":         func(c *Config) { c.Hollow = 900 },
		"servers:":       func(c *Config) { c.Servers = 0 },
		"tenants:":       func(c *Config) { c.Tenants = 0 },
		"rate:":          func(c *Config) { c.Rate = 0 },
		"for:":           func(c *Config) { c.For = 0 },
		"sockets:":       func(c *Config) { c.Sockets = 3 },
	} {
		c := Default()
		c.Program = "cherrygap"
		spoil(&c)
		if err := c.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	c := Default()
	c.Program = "cherrygap"
	if err := c.Check(); err != nil || c.Hollow != 827 || c.Hard <= c.For {
		t.Errorf("%v, %+v", err, c)
	}
}

// Every tenant comes in by the nodes of its set alone, which the settings number as the lab does, and the same seed deals
// out the same tenants whoever asks.
func TestTenantsComeInByTheirSets(t *testing.T) {
	for _, c := range []Config{
		{Nodes: 830, Real: 3, Hollow: 827, Tenants: 43000, Rate: 85, Seed: 7},
		{Nodes: 830, Real: 2, Hollow: 10, Tenants: 300, Rate: 85, Seed: 7},
		{Nodes: 5, Real: 2, Hollow: 3, Tenants: 2, Rate: 85, Seed: 7},
	} {
		all := crowds(c, func(int) bool { return true })
		some := crowds(c, func(n int) bool { return n == 1 })
		live := c.Real + c.Hollow
		if len(all) != live || !slices.Equal(all[1].tenants, some[1].tenants) || !slices.Equal(all[1].upTo, some[1].upTo) {
			t.Fatal("dealt out otherwise")
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for n := range all {
			for range 20 {
				x := all[n].draw(rng)
				if at := (n - x.first + c.Nodes) % c.Nodes; at >= x.spread || x.first >= live || x.spread > live ||
					live < c.Nodes && x.first+x.spread > live {
					t.Fatalf("node %d takes in %+v", n, x)
				}
			}
		}
	}
}

// call makes one call to the agent over a connection of its own, as a node's watch would.
func call(t *testing.T, addr string, whole bool, rev uint64, hold time.Duration) (protocol.EndpointList, error) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	conn.Write(protocol.AppendDiscoveryCall(nil, addr, whole, rev, hold))
	l, _, err := protocol.ReadEndpointList(bufio.NewReader(conn))
	return l, err
}

// The agent tells everything, changes as they come, nothing when a call's time is over, and after a break everything.
func TestAgentTells(t *testing.T) {
	list := make([]entry, 4)
	for i := range list {
		list[i] = entry{
			UID: fmt.Sprint("s", i), Endpoint: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+1)),
			State: "in_service", listed: i < 3,
		}
	}
	a, err := newAgent(list, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	addr := a.nodes[1].addr
	if l, err := call(t, addr, true, 0, 0); err != nil || !l.Full || len(l.Endpoints) != 3 || l.Revision != 1 {
		t.Errorf("at first %+v, %v", l, err)
	}
	if l, err := call(t, addr, false, 1, time.Millisecond); err != nil || l.Full || len(l.Endpoints) != 0 || l.Revision != 1 {
		t.Errorf("nothing new: %+v, %v", l, err)
	}
	type got struct {
		l   protocol.EndpointList
		err error
	}
	waits := make(chan got, 1)
	go func() {
		l, err := call(t, addr, false, 1, 3*time.Second)
		waits <- got{l, err}
	}()
	rev, at := a.publish(func(e *entry) { e.State = "terminating" }, 2)
	if w := <-waits; w.err != nil || w.l.Full || len(w.l.Endpoints) != 1 || w.l.Endpoints[0].State != protocol.Terminating || w.l.Revision != rev {
		t.Errorf("a change: %+v", w)
	}
	if !a.inForce(1, rev, at).IsZero() || !a.inForce(0, rev, at).IsZero() {
		t.Error("in force before the node calls again")
	}
	a.publish(func(e *entry) {}, 3)
	if l, err := call(t, addr, false, rev, 0); err != nil || len(l.Endpoints) != 1 || l.Endpoints[0].UID != "s3" {
		t.Errorf("one that comes: %+v, %v", l, err)
	}
	if a.inForce(1, rev, at).IsZero() || !a.inForce(0, rev, at).IsZero() {
		t.Error("in force once the node calls again, and at no other node")
	}
	a.breakAll()
	if l, err := call(t, addr, false, 2, 0); err == nil {
		t.Errorf("told while broken: %+v", l)
	}
	a.mend()
	if l, err := call(t, addr, false, 3, 0); err != nil || !l.Full || len(l.Endpoints) != 4 {
		t.Errorf("after the break %+v, %v", l, err)
	}
}

// A hollow node may begin nothing at a server once it has taken in that it drains, and again once it is back.
func TestHollowNodesTakeListsIn(t *testing.T) {
	c := Config{Nodes: 2, Real: 1, Hollow: 1, Servers: 2, Tenants: 1, Rate: 1, Take: 10, Seed: 1}
	h := &hollow{
		cfg: HollowConfig{Config: c, Servers: []string{"127.0.0.1:1", "127.0.0.1:2"}}, number: map[netip.AddrPort]int{},
		ready: make(chan struct{}), took: newHist(), tookAll: newHist(), lag: newHist(), tickLag: newHist(),
	}
	if _, err := h.open(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		for _, c := range []*net.UDPConn{h.nodes[0].conn, h.proxies[0], h.all} {
			c.Close()
		}
	}()
	n := h.nodes[0]
	n.life.Store(n.begin(1, protocol.NewPeerTable(nil, netip.AddrPort{})))
	defer n.life.Load().timer.Stop()
	target := func(i int, s protocol.EndpointState) protocol.Endpoint {
		return protocol.Endpoint{UID: fmt.Sprint(i), Addr: netip.MustParseAddrPort(h.cfg.Servers[i]), State: s, Weight: 1}
	}
	h.listed(&protocol.EndpointList{Revision: 1, Full: true, Endpoints: []protocol.Endpoint{target(0, protocol.InService), target(1, protocol.InService)}})
	r := n.life.Load().router
	one := r.Servers()[0]
	i := h.number[one.Addr]
	h.listed(&protocol.EndpointList{Revision: 2, Endpoints: []protocol.Endpoint{target(i, protocol.Terminating)}})
	if r.InService(one) || len(n.life.Load().drained) != 1 {
		t.Error("it would send to a server that drains")
	}
	n.away.Store(true)
	h.listed(&protocol.EndpointList{Revision: 3, Endpoints: []protocol.Endpoint{target(i, protocol.InService)}})
	if r.InService(one) {
		t.Error("it heard while it was away")
	}
	h.roll([]int{0}, 0)
	if l := n.life.Load(); n.away.Load() || len(l.router.Servers()) != 2 || len(l.drained) != 0 || l.router == r {
		t.Error("it came back without the list")
	}
	if len(h.lists) != 3 || h.lists[0].At[0] == 0 || h.lists[2].At[0] != 0 {
		t.Errorf("noted %+v", h.lists)
	}
}
