package decision

import (
	"math"
	"math/rand"
	"slices"
	"strconv"
	"testing"
)

// The order is the same however it came about: by changes, or built at once; a walk from any place visits each usable
// server once, and any stretch of it holds each zone's part, to one server.
func TestOrderIsTheSameByChangesAndAtOnce(t *testing.T) {
	r := rand.New(rand.NewSource(34))
	for range 30 {
		zones := 1 + r.Intn(12)
		var kept endpointOrder
		kept.build(nil, 3, true)
		servers := make([]server, 20+r.Intn(200))
		for range 5 * len(servers) {
			k := r.Intn(len(servers))
			s := &servers[k]
			s.Endpoint = Endpoint{Server: ServerID(k * 7919), Zone: uint8(r.Intn(zones)), Cell: uint16(r.Intn(9)), State: EndpointState(r.Intn(2))}
			s.listed = r.Intn(4) > 0
			kept.place(s, serverSlot(k))
		}
		var built endpointOrder
		other := slices.Clone(servers)
		built.build(other, 3, true)
		usable, ofZone := 0, make([]int, zones)
		for _, s := range servers {
			if s.usable() {
				usable++
				ofZone[s.Zone]++
			}
		}
		if len(kept.cells) != len(built.cells) {
			t.Fatalf("%d cells by changes, %d at once", len(kept.cells), len(built.cells))
		}
		for cell, slots := range built.cells {
			if !slices.Equal(kept.cells[cell], slots) {
				t.Fatalf("cell %d: %v by changes, %v at once", cell, kept.cells[cell], slots)
			}
		}
		for zone := range kept.zones {
			if !slices.Equal(kept.zones[zone].keys, built.zones[zone].keys) {
				t.Fatalf("zone %d: %d servers by changes, %d at once", zone, len(kept.zones[zone].keys), len(built.zones[zone].keys))
			}
		}
		if kept.count != usable || built.count != usable {
			t.Fatalf("%d and %d of %d servers", kept.count, built.count, usable)
		}
		from, seen, count := r.Float64(), map[serverSlot]int{}, make([]int, zones)
		kept.walk(from, len(servers)+1, func(slot serverSlot) {
			seen[slot]++
			count[servers[slot].Zone]++
			for zone, k := range count {
				part := float64(ofZone[zone]) * float64(len(seen)) / float64(usable)
				if math.Abs(float64(k)-part) > 1.5 {
					t.Fatalf("after %d of %d servers, %d of zone %d, its part is %.1f", len(seen), usable, k, zone, part)
				}
			}
		})
		if len(seen) != usable {
			t.Fatalf("a walk visits %d of %d servers", len(seen), usable)
		}
		for slot, k := range seen {
			if k != 1 || !servers[slot].usable() {
				t.Fatalf("server %d was visited %d times", slot, k)
			}
		}
	}
}

// fleetOf is the 77th node's module over many servers in zones, which each call of choose may take for another node's.
func fleetOf(nodes, servers, zones int) *Engine {
	n := New(7, Settings{
		"nodes": strconv.Itoa(nodes), "node": "77", "peers": "true", "peers.take": "40", "tick": "10",
		"band.count": "2", "band.0.contract": "6000", "band.1.contract": "6000", "band.0.repeats": "replayable",
		"plan.count": "1", "idle": "300000",
	}, Second)
	list := []Endpoint{}
	for i := range servers {
		list = append(list, Endpoint{Server: ServerID(i) * 7919, Zone: uint8(i % zones), Cell: uint16(i / 40), State: Ready, Weight: 1})
	}
	n.UpdateEndpoints(FullList, list)
	return n
}

// spreadOf is how many nodes use a server, over the mean: the most, and the 99th percentile.
func spreadOf(n *Engine, traffic func(node int) float64) (most, p99, least float64) {
	load := make([]float64, len(n.endpoints.servers))
	all := 0.0
	for me := range n.config.nodes {
		n.config.self, n.subsets.attemptsSent = NodeID(me), decayingMean{at: n.now}
		n.subsets.attemptsSent.count = traffic(me) * seconds(interval)
		n.chooseSubset()
		for _, i := range n.endpoints.subset {
			load[i] += traffic(me) / float64(len(n.endpoints.subset))
		}
		all += traffic(me)
	}
	slices.Sort(load)
	mean := all / float64(len(load))
	return load[len(load)-1] / mean, load[len(load)*99/100] / mean, load[0] / mean
}

// At any size each server is used by some nodes, and none by far more than its part: the 99th percentile is as even as
// at 300 nodes and 200 servers, where nodes' traffic differs too. A shuffle that was dealt from more places than there are
// nodes left four fifths of 13,000 servers without one at 830 nodes, nine tenths at 300, and others with 7 and 20 times their part.
func TestLargeFleetsUseAllServersAlike(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, zones int
		rate                  float64 // requests a second at a node on average
	}{{300, 200, 3, 5}, {830, 13000, 12, 85}, {300, 13000, 12, 85}, {830, 2000, 12, 85}, {830, 830, 1, 85}, {200, 5000, 5, 85}} {
		n, seeds := fleetOf(c.nodes, c.servers, c.zones), 5
		most, p99, least := 0.0, 0.0, 1.0
		for seed := range uint32(seeds) {
			a, b, l := spreadOf(n, func(me int) float64 {
				return c.rate * []float64{0.3, 0.3, 0.5, 0.7, 1, 1, 1.5, 3}[mix(uint32(me), seed)%8]
			})
			most, p99, least = most+a/float64(seeds), p99+b/float64(seeds), min(least, l)
		}
		t.Logf("%d nodes, %d servers: max/mean %.2f, p99 %.2f, least %.2f", c.nodes, c.servers, most, p99, least)
		if least < 0.2 || most > 2.4 || p99 > 1.9 { // 1.99 and 1.89 at 300 nodes and 200 servers before there was an order
			t.Errorf("%d nodes, %d servers: max/mean %.2f, p99 %.2f, least %.2f", c.nodes, c.servers, most, p99, least)
		}
	}
}

// Whatever fails at once, be it a zone, a region of six of twelve zones or every rack of a few, each node has
// servers of all other zones left to use.
func TestNoFailureLeavesANodeWithoutServers(t *testing.T) {
	n := fleetOf(830, 13000, 12)
	for name, lost := range map[string]func(s *server) bool{
		"a zone":   func(s *server) bool { return s.Zone == 3 },
		"a region": func(s *server) bool { return s.Zone%2 == 0 },
		"racks":    func(s *server) bool { return s.Cell%3 == 1 },
	} {
		for me := range n.config.nodes {
			n.config.self, n.subsets.attemptsSent = NodeID(me), decayingMean{at: n.now}
			n.chooseSubset()
			for what, set := range map[string][]serverSlot{"own": n.endpoints.subset, "view": n.endpoints.view} {
				left, zones := 0, map[uint8]int{}
				for _, i := range set {
					if s := &n.endpoints.servers[i]; !lost(s) {
						left++
						zones[s.Zone]++
					}
				}
				if left < len(set)*2/5 || len(zones) < 6 {
					t.Fatalf("%s lost: node %d has %d of %d servers left in its %s, in %d zones", name, me, left, len(set), what, len(zones))
				}
				for zone, k := range zones {
					if k > len(set)/4 {
						t.Fatalf("%s lost: %d of node %d's %d servers are in zone %d", name, k, me, len(set), zone)
					}
				}
			}
		}
	}
}

// The first list gives the servers that a node goes on with: dealt for another number of servers, it would drop its
// connections again a second later.
func TestTheFirstListDealsForGood(t *testing.T) {
	for _, servers := range []int{60, 200, 13000} {
		n := fleetOf(300, servers, 3)
		first := slices.Clone(n.endpoints.subset)
		n.SetTime(n.now + interval)
		pull(n, Forward)
		if moved := diff(n.endpoints.subset, first); moved > 0 || len(first) == 0 {
			t.Errorf("%d of %d servers: %d of the %d first ones replaced after an interval", len(first), servers, moved, len(n.endpoints.subset))
		}
		n.UpdateEndpoints(ListUpdate, []Endpoint{{Server: 1 << 30, State: Ready, Weight: 1}})
		if n.endpoints.ready != servers+1 || n.endpoints.order.count != n.endpoints.ready {
			t.Errorf("%d servers and one more: %d ready, %d in the order", servers, n.endpoints.ready, n.endpoints.order.count)
		}
	}
}

// A change of a server that a node does not use leaves what it uses as it was; one of its own that drains is gone from
// view at once, its place is taken, and what is still out at it counts until it has ended.
func TestChangesTouchOnlyWhatANodeUses(t *testing.T) {
	n := fleetOf(830, 13000, 12)
	own, view := slices.Clone(n.endpoints.subset), slices.Clone(n.endpoints.view)
	if len(own) < 13000/830*nodesPerShuffle || len(view) < minView || len(view) > max(minView, viewRatio*len(own)) {
		t.Fatalf("%d own, %d in view", len(own), len(view))
	}
	far := n.endpoints.servers[slices.IndexFunc(n.endpoints.servers, func(s server) bool { return !slices.Contains(view, n.endpoints.slots.find(s.Server)) })]
	last := far.Endpoint
	last.State = Draining
	n.UpdateEndpoints(ListUpdate, []Endpoint{last})
	if moved := diff(n.endpoints.subset, own); moved > 1 {
		t.Errorf("%d of the node's servers changed with one that it does not use", moved)
	}
	n.AddRequest(Request{ID: 1, Customer: 5, Timeout: 4 * Second, Units: 1, Spread: 1})
	sends := pull(n, Forward)
	if len(sends) != 1 {
		t.Fatalf("%d attempts", len(sends))
	}
	s := &n.endpoints.servers[n.endpoints.slots.find(sends[0].Server)]
	before := n.inFlightAtHealthy()
	drained := s.Endpoint
	drained.State = Draining
	n.UpdateEndpoints(ListUpdate, []Endpoint{drained})
	i := n.endpoints.slots.find(drained.Server)
	if s = &n.endpoints.servers[i]; s.inSubset || slices.Contains(n.endpoints.subset, i) || !slices.Contains(n.endpoints.view, i) || n.inFlightAtHealthy() != before {
		t.Errorf("a server that drains: own %v, in view %v; pressing %v of %v", s.inSubset, slices.Contains(n.endpoints.view, i), n.inFlightAtHealthy(), before)
	}
	for id := range RequestID(300) {
		n.AddRequest(Request{ID: 10 + id, Customer: CustomerID(id), Timeout: 4 * Second, Units: 1, Spread: 1})
		for _, d := range pull(n, Forward) {
			if d.Server == drained.Server {
				t.Fatal("an attempt began at a server that drains")
			}
		}
	}
	n.AttemptEnded(AttemptResult{Request: 1, Server: drained.Server, Duration: Second / 10, Final: true})
	drained.State = Gone
	n.UpdateEndpoints(ListUpdate, []Endpoint{drained})
	n.SetTime(n.now + interval)
	if pull(n, Forward); slices.Contains(n.endpoints.view, i) || n.endpoints.slots.find(drained.Server) >= 0 {
		t.Error("a server that is gone stays in view with nothing out at it")
	}
}

// A keyed request whose first attempt may have run may go on in its cell only, of which few servers are in view: the
// others there are found all the same, and what goes out at them counts.
func TestKeyedRequestsFindTheirCell(t *testing.T) {
	n := fleetOf(830, 13000, 12)
	n.config.classes[0].retrySafety, n.config.classes[0].keyGroup, n.config.classes[0].keyWindow = retryKeyed, groupCell, 60*Second
	n.config.maxAttempts = 3
	n.retries.left = 99
	again := 0
	for id := range RequestID(60) {
		n.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: 4 * Second, Units: 1, Spread: 1})
		first := pull(n, Forward)
		if len(first) != 1 {
			t.Fatalf("%d attempts", len(first))
		}
		n.AttemptEnded(AttemptResult{Request: id, Server: first[0].Server, Outcome: ConnectionReset, Duration: Second / 50})
		if next := pull(n, Forward); len(next) == 1 {
			a, b := n.endpoints.slots.find(first[0].Server), n.endpoints.slots.find(next[0].Server)
			if again++; a == b || n.endpoints.servers[a].Cell != n.endpoints.servers[b].Cell || !slices.Contains(n.endpoints.view, b) || n.endpoints.servers[b].inFlight != 1 {
				t.Fatalf("a keyed request of cell %d went on in %d", n.endpoints.servers[a].Cell, n.endpoints.servers[b].Cell)
			}
			n.AttemptEnded(AttemptResult{Request: id, Attempt: 1, Server: next[0].Server, Duration: Second / 50, Final: true})
		}
	}
	if again < 50 {
		t.Errorf("%d of 60 keyed requests found a second server in their cell", again)
	}
}

func diff(a, b []serverSlot) (n int) {
	for _, x := range a {
		if !slices.Contains(b, x) {
			n++
		}
	}
	return n
}

// Of tens of thousands of customers that asked once, those long idle are forgotten, some at a time: no interval looks at all.
func TestManyIdleCustomersAgeOut(t *testing.T) {
	n := plain(3, nil)
	const many = 5 * idleScanCount
	for k := range CustomerID(many) {
		n.customers.all[n.customers.slot(n.config, n.now, k, 0, 1, 0)].lastRequest = n.now
	}
	now := n.now
	for k := range 80 {
		now += interval
		n.SetTime(now)
		pull(n, Forward)
		if left := len(n.customers.slots.slots); k < 59 && left < many || k > 59 && left < many-(k-58)*idleScanCount {
			t.Fatalf("%d of %d customers left after %d intervals", left, many, k)
		}
	}
	if left := len(n.customers.slots.slots); left > 0 {
		t.Errorf("%d of %d idle customers left", left, many)
	}
}
