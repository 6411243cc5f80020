package decision

import (
	"slices"
	"testing"
)

// A change of a server outside the subset leaves the subset as it is. A draining server of the subset is replaced at
// once, and its attempts in flight count until they end.
func TestChangesTouchOnlyWhatANodeUses(t *testing.T) {
	n := fleetOf(830, 13000, 12)
	own, view := slices.Clone(n.endpoints.subset), slices.Clone(n.endpoints.tracked)
	if len(own) < 13000/830*minNodesPerShuffle || len(view) < minTrackedServers || len(view) > max(minTrackedServers, trackedServersPerSubset*len(own)) {
		t.Fatalf("%d in the subset, %d tracked", len(own), len(view))
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
	if s = &n.endpoints.servers[i]; s.inSubset || slices.Contains(n.endpoints.subset, i) || !slices.Contains(n.endpoints.tracked, i) || n.inFlightAtHealthy() != before {
		t.Errorf("a draining server: in the subset %v, tracked %v; in flight %v of %v", s.inSubset, slices.Contains(n.endpoints.tracked, i), n.inFlightAtHealthy(), before)
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
	n.SetTime(n.now + controlInterval)
	if pull(n, Forward); slices.Contains(n.endpoints.tracked, i) || n.endpoints.slots.find(drained.Server) >= 0 {
		t.Error("a server that is gone stays tracked without attempts in flight")
	}
}

// Servers that replace others repeatedly use no more slots than the listed ones need.
func TestServersThatAreGoneLeaveNothing(t *testing.T) {
	n := plain(0, nil)
	now := Second
	for k := range ServerID(300) {
		now += controlInterval / 3
		n.SetTime(now)
		n.UpdateEndpoints(ListUpdate, []Endpoint{{Server: k, State: Ready, Weight: 1}, {Server: k - 4, State: Gone}})
		n.AddRequest(Request{ID: RequestID(k), Timeout: 4 * Second, Units: 1, Spread: 1})
		for _, d := range pull(n, Forward) {
			if d.Server+4 <= k || d.Server > k {
				t.Fatalf("sent to server %d at %d", d.Server, k)
			}
		}
		if k >= 9 { // answers come late, from servers that are gone
			n.AttemptEnded(AttemptResult{Request: RequestID(k - 9), Outcome: Succeeded, Duration: 3 * Second, Final: true})
		}
	}
	if len(n.endpoints.servers) > 30 || len(n.endpoints.slots.slots) > 30 || len(n.requests.all) > 30 {
		t.Errorf("%d servers, %d requests", len(n.endpoints.servers), len(n.requests.all))
	}
}
