package decision

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// intervalSummaries returns the first interval summaries of the scenario with the name.
func intervalSummaries(t *testing.T, name string, count int) []string {
	t.Helper()
	for seed, c := range fleetScenarios {
		if c.name == name {
			p := newFleetSimulation(int64(seed+41), c.scenario)
			for len(p.summaries) < count {
				p.step()
			}
			return p.summaries[:count]
		}
	}
	t.Fatalf("fleetScenarios contains no scenario with the name %q", name)
	return nil
}

// TestIntervalSummaryFormat compares the exact text of interval summaries with the expected one. The scenarios cover a new
// node, rejections by each limit, and intervals without requests. It guards against unintended changes of the logged text.
func TestIntervalSummaryFormat(t *testing.T) {
	for _, name := range []string{
		"four nodes that all report to all", "quota owners in a large fleet",
		"a node without peer messages", "few requests at a slow server",
	} {
		for i, line := range intervalSummaries(t, name, 14) {
			compareExpected(t, fmt.Sprintf("%s, line %d", name, i), line)
		}
	}
}

// TestPollTimes compares the times of polls after failed ones with the expected times, for several settings. It guards
// against a changed delay, and against a second poll when a failure is reported twice.
func TestPollTimes(t *testing.T) {
	for _, within := range []string{"", "0", "15000", "100000", "-7", "9999999"} {
		var polls []string
		for seed := range uint64(2) {
			engine := New(seed*7919+3, Settings{
				"nodes": "3", "class.0.latency_objective": "6000", "endpoint_list": "poll", "poll_within": within,
			}.parse(), Second)
			for now := Second; now < 20*Second; now += 10 {
				engine.SetTime(now)
				if pollsDiscovery(engine) {
					polls = append(polls, strconv.Itoa(int(now)))
					if len(polls)%3 == 0 {
						engine.UpdateEndpoints(PollFailed, nil)
					}
					engine.UpdateEndpoints(PollFailed, nil)
					if len(polls)%3 == 1 {
						engine.UpdateEndpoints(PollFailed, nil) // a second report of the same failure has no effect
					}
				}
			}
		}
		compareExpected(t, "polls within "+within, strings.Join(polls, " "))
	}
}

// TestFirstFleetDecisions compares the first decisions and messages of a scenario with the expected ones. Unlike a digest,
// they show which field has changed.
func TestFirstFleetDecisions(t *testing.T) {
	p := newFleetSimulation(42, fleetScenarios[1].scenario)
	p.run()
	kinds := map[string]int{}
	for _, line := range p.firstDecisions {
		kind := strings.Fields(line)[2]
		if i := strings.Index(line, "payload="); len(line) > i+10 {
			kind = line[i : i+10]
		}
		if kinds[kind]++; kinds[kind] <= 5 {
			compareExpected(t, fmt.Sprintf("decision %s %d", kind, kinds[kind]), line)
		}
	}
}

// subsetDigest returns the number of servers in a node's subset, the number of tracked servers, and a hash of both sets.
func subsetDigest(engine *Engine) string {
	h := uint32(len(engine.endpoints.subset))
	for _, i := range engine.endpoints.subset {
		h = hashPair(h, uint32(engine.endpoints.servers[i].Server))
	}
	h = hashPair(h, uint32(len(engine.endpoints.tracked)))
	for _, i := range engine.endpoints.tracked {
		h = hashPair(h, uint32(engine.endpoints.servers[i].Server))
	}
	return fmt.Sprintf("%d/%d:%08x", len(engine.endpoints.subset), len(engine.endpoints.tracked), h)
}

// TestFleetSubsets compares the subsets of several nodes with the expected ones, in fleets of many sizes. It does so after a
// complete list without traffic, and after changes with traffic. It guards against changes that move a fleet's subsets.
func TestFleetSubsets(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, zones int
	}{
		{1, 5, 1},
		{3, 300, 3},
		{12, 255, 3},
		{12, 257, 3},
		{60, 8, 2},
		{90, 20, 3},
		{300, 200, 3},
		{420, 330, 12},
		{500, 1000, 5},
		{830, 3000, 12},
		{40, 3500, 4},
	} {
		got := []string{}
		members := []int{0, 1, 7, 8, 9, c.nodes / 2, c.nodes - 1}
		for k, node := range members {
			if node >= c.nodes || slices.Contains(members[:k], node) {
				continue
			}
			engine := New(uint64(node), Settings{
				"nodes": strconv.Itoa(c.nodes), "node": strconv.Itoa(node), "peers": "true", "peer_messages_per_s": "40",
				"tick": "10", "class.0.latency_objective": "6000", "idle_timeout": "300000",
			}.parse(), Second)
			list := []Endpoint{}
			for i := range c.servers {
				list = append(list, Endpoint{
					Server: ServerID(i) * 7919, Zone: uint8(i * i % c.zones), Cell: uint16(i / 40),
					State: Ready, Weight: 1,
				})
			}
			engine.UpdateEndpoints(FullList, list)
			withoutTraffic := subsetDigest(engine)
			changes := []Endpoint{}
			for i, endpoint := range list {
				if i%9 == 0 {
					endpoint.State = Gone
					changes = append(changes, endpoint)
				}
			}
			engine.UpdateEndpoints(ListUpdate, changes)
			engine.subsets.attemptsSent.add(0, engine.now, paceTimeConstant)
			engine.subsets.attemptsSent.count = float64(400 * (k + 1))
			engine.SetTime(2 * Second)
			pollsDiscovery(engine)
			got = append(got, withoutTraffic+" "+subsetDigest(engine))
		}
		compareExpected(t, fmt.Sprintf("subsets of %d nodes, %d servers, %d zones", c.nodes, c.servers, c.zones), strings.Join(got, ", "))
	}
}
