package decision

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"

	"cherrygap/internal/settings"
)

// newZonedEngine returns the engine of node 77 with servers in zones. Tests change its config.self to choose as another node.
func newZonedEngine(nodes, servers, zones int) *Engine {
	engine := New(7, Settings{
		settings.Nodes: strconv.Itoa(nodes), settings.Node: "77", settings.Peers: settings.On, settings.PeerRate: "40",
		settings.Tick: "10", settings.ClassCount: "2", settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(1, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe, settings.PlanCount: "1",
		settings.IdleTimeout: "300000",
	}.parse(), Second)
	list := []Endpoint{}
	for i := range servers {
		list = append(list, Endpoint{Server: ServerID(i) * 7919, Zone: uint8(i % zones), Cell: uint16(i / 40), State: Ready, Weight: 1})
	}
	engine.UpdateEndpoints(FullList, list)
	return engine
}

// relativeLoads returns the largest load of a server, the 99th percentile, and the least load, each over the mean load.
// Each node spreads its traffic, in requests a second, evenly over its subset.
func relativeLoads(engine *Engine, traffic func(node int) float64) (largest, p99, least float64) {
	load := make([]float64, len(engine.endpoints.servers))
	total := 0.0
	for node := range engine.config.nodes {
		engine.config.self, engine.subsets.attemptsSent = NodeID(node), decayingMean{at: engine.now}
		engine.subsets.attemptsSent.count = traffic(node) * seconds(controlInterval)
		engine.chooseSubset()
		for _, i := range engine.endpoints.subset {
			load[i] += traffic(node) / float64(len(engine.endpoints.subset))
		}
		total += traffic(node)
	}
	slices.Sort(load)
	mean := total / float64(len(load))
	return load[len(load)-1] / mean, load[len(load)*99/100] / mean, load[0] / mean
}

// At any size of the fleet, several nodes use each server, and no server gets far more load than its share. The 99th
// percentile is as even as at 300 nodes and 200 servers.
func TestLargeFleetsUseAllServersAlike(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, zones int
		rate                  float64 // mean requests a second at a node
	}{{300, 200, 3, 5}, {830, 13000, 12, 85}, {300, 13000, 12, 85}, {830, 2000, 12, 85}, {830, 830, 1, 85}, {200, 5000, 5, 85}} {
		engine, seeds := newZonedEngine(c.nodes, c.servers, c.zones), 5
		largest, p99, least := 0.0, 0.0, 1.0
		for seed := range uint32(seeds) {
			runLargest, runP99, runLeast := relativeLoads(engine, func(node int) float64 {
				return c.rate * []float64{0.3, 0.3, 0.5, 0.7, 1, 1, 1.5, 3}[hashPair(uint32(node), seed)%8]
			})
			largest, p99, least = largest+runLargest/float64(seeds), p99+runP99/float64(seeds), min(least, runLeast)
		}
		t.Logf("%d nodes, %d servers: load over the mean: largest %.2f, p99 %.2f, least %.2f", c.nodes, c.servers, largest, p99, least)
		// For comparison: subsets without an order of the servers have largest 1.99 and p99 1.89 at 300 nodes and 200 servers.
		if least < 0.2 || largest > 2.4 || p99 > 1.9 {
			t.Errorf("%d nodes, %d servers: load over the mean: largest %.2f, p99 %.2f, least %.2f, want at most 2.4, at most 1.9, at least 0.2",
				c.nodes, c.servers, largest, p99, least)
		}
	}
}

// A zone, a region of six of twelve zones, or a third of the cells may fail at once. Each node must still have two fifths
// of its servers, in six zones or more. No zone may have more than a quarter of the node's servers.
func TestNoFailureLeavesANodeWithoutServers(t *testing.T) {
	engine := newZonedEngine(830, 13000, 12)
	for failure, fails := range map[string]func(s *server) bool{
		"a zone":               func(s *server) bool { return s.Zone == 3 },
		"a region":             func(s *server) bool { return s.Zone%2 == 0 },
		"a third of the cells": func(s *server) bool { return s.Cell%3 == 1 },
	} {
		for node := range engine.config.nodes {
			engine.config.self, engine.subsets.attemptsSent = NodeID(node), decayingMean{at: engine.now}
			engine.chooseSubset()
			for setName, slots := range map[string][]serverSlot{"subset": engine.endpoints.subset, "tracked": engine.endpoints.tracked} {
				left, zones := 0, map[uint8]int{}
				for _, i := range slots {
					if s := &engine.endpoints.servers[i]; !fails(s) {
						left++
						zones[s.Zone]++
					}
				}
				if left < len(slots)*2/5 || len(zones) < 6 {
					t.Fatalf("%s failed: node %d has %d of its %d %s servers left in %d zones, want at least %d in at least 6 zones",
						failure, node, left, len(slots), setName, len(zones), len(slots)*2/5)
				}
				for zone, k := range zones {
					if k > len(slots)/4 {
						t.Fatalf("%s failed: zone %d has %d of the %d %s servers of node %d, want at most %d", failure, zone, k, len(slots), setName, node, len(slots)/4)
					}
				}
			}
		}
	}
}

// The first list determines the subset. A node that chose a subset for another number of servers would replace it at the
// next interval and drop its connections.
func TestFirstListDeterminesTheSubset(t *testing.T) {
	for _, servers := range []int{60, 200, 13000} {
		engine := newZonedEngine(300, servers, 3)
		first := slices.Clone(engine.endpoints.subset)
		engine.SetTime(engine.now + controlInterval)
		takeDecisions(engine, Forward)
		if moved := countMissing(engine.endpoints.subset, first); moved > 0 || len(first) == 0 {
			t.Errorf("%d servers: the first subset has %d servers, and the subset of the next interval has %d others; want at least 1, and 0 others",
				servers, len(first), moved)
		}
		engine.UpdateEndpoints(ListUpdate, []Endpoint{{Server: 1 << 30, State: Ready, Weight: 1}})
		if engine.endpoints.ready != servers+1 || engine.endpoints.order.count != engine.endpoints.ready {
			t.Errorf("%d servers and one more: %d are ready and endpoints.order holds %d, want %d each",
				servers, engine.endpoints.ready, engine.endpoints.order.count, servers+1)
		}
	}
}

// countMissing returns the number of slots in a that are not in b.
func countMissing(a, b []serverSlot) (n int) {
	for _, x := range a {
		if !slices.Contains(b, x) {
			n++
		}
	}
	return n
}

// In a large fleet, each node uses a subset sized by its traffic, and all servers get about the same load. A server that
// leaves must change few servers of the nodes' subsets.
func TestLargeFleetUsesSubsets(t *testing.T) {
	const servers, nodes = 60, 80
	rng, load, joined, sent := rand.New(rand.NewSource(5)), map[ServerID]int{}, 0, 0
	for node := range nodes {
		engine := New(rng.Uint64(), Settings{
			settings.Nodes: strconv.Itoa(nodes), settings.Node: strconv.Itoa(node), settings.Tick: "10",
			settings.ClassCount: "1", settings.ClassKey(0, settings.ClassLatencyObjective): "15000",
			settings.PlanCount: "1", settings.IdleTimeout: "150000",
			settings.ClassKey(0, settings.ClassRetrySafety): settings.RetrySafe,
		}.parse(), Second)
		list := []Endpoint{}
		for i := range ServerID(servers) {
			list = append(list, Endpoint{Server: i * 7919, State: Ready, Weight: 1})
		}
		engine.UpdateEndpoints(FullList, list)
		attempts := sendFivePerSecond(engine, 20)
		for s, k := range attempts {
			load[s] += k
			sent += k
		}
		if len(attempts) < minSubsetServers || len(attempts) > 20 {
			t.Fatalf("node %d sent attempts to %d servers, want %d to 20", node, len(attempts), minSubsetServers)
		}
		before := map[ServerID]bool{}
		for _, s := range engine.endpoints.servers {
			before[s.Server] = s.inSubset
		}
		list[rng.Intn(servers)].State = Draining
		engine.UpdateEndpoints(FullList, list)
		for _, s := range engine.endpoints.servers {
			if s.inSubset && !before[s.Server] {
				joined++
			}
		}
	}
	for s, k := range load {
		if mean := sent / servers; k > mean*8/5 || k < mean/2 {
			t.Errorf("server %d got %d attempts of %d, want %d to %d", s, k, sent, mean/2, mean*8/5)
		}
	}
	if len(load) != servers || joined > nodes/2 {
		t.Errorf("%d servers got attempts, want %d; %d servers joined subsets after one left each node's list, want at most %d",
			len(load), servers, joined, nodes/2)
	}
}

// sendFivePerSecond adds five requests a second for a number of seconds. Each attempt takes 0.1 s. The function returns
// the number of attempts by server.
func sendFivePerSecond(engine *Engine, seconds int) map[ServerID]int {
	attempts, now := map[ServerID]int{}, Second
	for k := range RequestID(seconds * 5) {
		now += Second / 5
		engine.SetTime(now)
		engine.AddRequest(Request{ID: k, Customer: CustomerID(k), Timeout: 4 * Second, Units: 1, Spread: 1})
		for _, d := range takeDecisions(engine, Forward) {
			attempts[d.Server]++
			engine.SetTime(now + Second/10)
			engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: Second / 10})
		}
	}
	return attempts
}

// The number of ready servers and the traffic determine the sizes of a choice. The node's number determines its group and
// start. A wrong group or start would load the servers unevenly.
func TestSubsetChoice(t *testing.T) {
	for _, c := range []struct {
		name        string
		nodes, self int
		ready       int
		usesOwners  bool    // customers have quota owners
		sent        float64 // decayed number of attempts
		want        subsetChoice
	}{
		{"one node uses all servers", 1, 0, 9, false, 0, subsetChoice{0, zonesMerged, 0, 9, 256}},
		{"few nodes use all tracked servers", 4, 3, 1000, false, 0, subsetChoice{0, zonesAlternating, 0.75, 1000, 2000}},
		{"first list", 80, 9, 40, true, 0, subsetChoice{0, zonesMerged, 9.0 / 16, 4, 256}},
		{"subset sized by traffic", 80, 9, 40, true, 400, subsetChoice{0, zonesMerged, 9.0 / 16, 40, 256}},
		{"many servers", 80, 9, 4000, true, 0, subsetChoice{0, zonesAlternating, 9.0 / 80, 400, 800}},
		{"last group", 20, 17, 40, true, 0, subsetChoice{1, zonesMerged, 0.25, 16, 256}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.nodes, cfg.self, cfg.usesOwners = c.nodes, NodeID(c.self), c.usesOwners
			chooser := subsetChooser{config: cfg, attemptsSent: decayingMean{count: c.sent, at: 10 * Second}}
			if got := chooser.choose(10*Second, c.ready); got != c.want {
				t.Errorf("choose() = %+v, want %+v", got, c.want)
			}
			if want := float64(c.ready) / float64(c.want.size); !nearlyEqual(chooser.ratio, want) {
				t.Errorf("subset ratio = %v, want %v", chooser.ratio, want)
			}
		})
	}
}
