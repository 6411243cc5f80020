package decision

import (
	"math"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"testing/quick"
)

// TestFreshNodeBoundsWhatIsOut sends a crowd at a node that has seen nothing yet.
func TestFreshNodeBoundsWhatIsOut(t *testing.T) {
	n := New(7, Settings{
		"nodes": "1", "tick": "10", "band.count": "1", "band.0.contract": "6000",
		"band.0.repeats": "replayable", "plan.count": "1", "plan.0.rate": "1000", "plan.0.depth": "1000",
		"executions": "3",
	}, Second)
	n.UpdateEndpoints(CachedList, []Endpoint{{Server: 5, State: Ready, Weight: 1}, {Server: 9, State: Ready, Weight: 1}})
	for id := range RequestID(50) {
		n.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: Second, Units: 1, Spread: 1})
	}
	sent, bounced := 0, 0
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		switch d.Action {
		case Forward:
			sent++
		case Reject:
			bounced++
		}
	}
	if sent < 2*coldStartAttempts || sent > 4*coldStartAttempts || sent+bounced != 50 {
		t.Fatalf("sent %d, bounced %d of 50", sent, bounced)
	}
}

// TestRulesHoldOnRandomRuns plays random days over settings of every kind and checks the rules on each
// decision.
func TestRulesHoldOnRandomRuns(t *testing.T) {
	sent, complete, bounced := 0, 0, 0
	run := func(seed int64) bool {
		h := newHost(seed)
		for range 1500 {
			if h.step(); h.err != nil {
				t.Logf("seed %d, settings %v: %v", seed, h.set, h.err)
				return false
			}
		}
		for h.idle = true; len(h.order) > 0; {
			if h.step(); h.err != nil {
				t.Logf("seed %d, settings %v: %v", seed, h.set, h.err)
				return false
			}
		}
		sent, complete, bounced = sent+h.sent, complete+h.complete, bounced+h.bounced
		return true
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
	if complete == 0 || bounced == 0 || sent < complete {
		t.Fatalf("the runs show nothing: sent %d, completed %d, given up %d", sent, complete, bounced)
	}
}

// plain is a node of one replayable band and one plan, with some servers, and what a test adds.
func plain(servers int, more Settings) *Engine {
	n := New(7, plainSettings(more), Second)
	list := []Endpoint{}
	for i := range servers {
		list = append(list, Endpoint{Server: ServerID(i), State: Ready, Weight: 1})
	}
	n.UpdateEndpoints(CachedList, list)
	return n
}

func plainSettings(more Settings) Settings {
	set := Settings{
		"nodes": "3", "tick": "10", "band.count": "1", "band.0.contract": "6000",
		"band.0.repeats": "replayable", "plan.count": "1", "plan.0.rate": "1000", "plan.0.depth": "1000",
		"executions": "3", "withdraw": "true",
	}
	for k, v := range more {
		set[k] = v
	}
	return set
}

// pull gathers the decisions of one verb.
func pull(n *Engine, v Action) (out []Decision) {
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		if d.Action == v {
			d.Payload = append([]byte(nil), d.Payload...)
			out = append(out, d)
		}
	}
	return out
}

// Without a tick and with a very short contract time the next look must lie ahead, or decisions never end.
func TestDecisionsEndWhateverTheSettings(t *testing.T) {
	for _, set := range []Settings{{"tick": "0", "band.0.contract": "10"}, {"tick": "-5"}, {"tick": "0", "band.0.contract": "0"}} {
		n := plain(2, set)
		for now := Second; now < Second+50; now++ {
			n.SetTime(now)
			k := 0
			for _, ok := n.Next(); ok; _, ok = n.Next() {
				if k++; k > 100 {
					t.Fatalf("decisions without end with %v", set)
				}
			}
		}
	}
}

// A restarted node sees the shortest answers first; by them every later latency is a jam.
func TestFirstShortAnswersDoNotSetT(t *testing.T) {
	n := plain(10, nil)
	for id := range RequestID(4) {
		n.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	for _, d := range pull(n, Forward)[:2] {
		n.SetTime(Second + 100)
		n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 100, Final: true})
	}
	n.SetTime(2*Second + 10)
	pull(n, LogSummary)
	if n.admission.throughput.executionTime != 0 || n.admission.rate != 0 {
		t.Fatalf("T is %.0f after two ends", n.admission.throughput.executionTime)
	}
}

// Where copies are barred a ticket that hangs on a silent server is called back, and sent elsewhere only
// once that execution has ended.
func TestHungExecutionIsCalledBackThenSentElsewhere(t *testing.T) {
	n := plain(4, nil)
	n.retries.left = 5
	n.classes[0].latency = decayingMean{sum: 30000, count: 100, at: Second}
	n.AddRequest(Request{ID: 1, Timeout: 2 * Second, Units: 1, Spread: 1})
	first := pull(n, Forward)
	n.SetTime(Second + 4000)
	if d := pull(n, CancelAttempt); len(d) != 1 || d[0].Request != 1 {
		t.Fatalf("not called back: %v", d)
	}
	n.SetTime(Second + 4010)
	n.AttemptEnded(AttemptResult{Request: 1, Server: first[0].Server, Outcome: Cancelled, Duration: 4010})
	again := pull(n, Forward)
	if len(again) != 1 || again[0].Server == first[0].Server {
		t.Fatalf("sent again to %v after %v", again, first)
	}
	if !n.outliers.ejected(&n.endpoints.servers[first[0].Server].byClass[0], 0, n.now) {
		t.Fatal("the silent server is in good standing")
	}
}

// A large fleet's customers do not fit into one message: the next follows soon and names the others.
func TestFullMessageIsFollowedByAnother(t *testing.T) {
	n := plain(4, Settings{"peers": "true", "peers.take": "100", "plan.0.rate": "1"})
	for id := range RequestID(100) {
		n.AddRequest(Request{ID: id, Customer: 1<<32 + CustomerID(id), Timeout: Second, Units: 3, Spread: 3})
	}
	pull(n, Forward)
	peer := plain(4, Settings{"peers": "true", "peers.take": "100", "node": "1"})
	for now := Second; now < 2*Second; now += 100 {
		n.SetTime(now)
		peer.SetTime(now)
		for _, d := range pull(n, SendPeerMessage) {
			peer.ReceivePeerMessage(0, d.Payload)
		}
	}
	if len(peer.customers.all) != 100 {
		t.Fatalf("%d customers of 100 were named", len(peer.customers.all))
	}
	peer.ReceivePeerMessage(0, []byte{kindUse, 0x80})
	peer.ReceivePeerMessage(9, []byte{kindUse})
	peer.ReceivePeerMessage(0, []byte("other"))
}

// Hundreds of nodes that start alike must not all send their first tickets to the same servers, nor, hearing
// of a start together, each its one execution to the cold server at once.
func TestManyNodesSpreadFirstSends(t *testing.T) {
	const nodes, span = 300, 20000
	first := map[ServerID]bool{}
	cold := 0
	for k := range nodes {
		n := New(uint64(k)<<32|uint64(k*7919), Settings{
			"nodes": "300", "tick": "40", "band.count": "1",
			"band.0.contract": "6000", "band.0.repeats": "replayable", "plan.count": "1", "cold.span": "180000",
			"cold.from": "0.25", "fall.multiple": "4", "fall.span": "20000",
		}, Second)
		list := []Endpoint{{Server: 99, State: Ready, Weight: 1, Started: Second - 1}}
		for s := range ServerID(20) {
			list = append(list, Endpoint{Server: s, State: Ready, Weight: 1})
		}
		n.UpdateEndpoints(CachedList, list)
		for i := range RequestID(60) {
			now := Second + Time(i)*span/60
			n.SetTime(now)
			n.AddRequest(Request{ID: i, Customer: CustomerID(i), Timeout: Second, Units: 1, Spread: 1})
			for _, d := range pull(n, Forward) {
				if i == 0 {
					first[d.Server] = true
				}
				if d.Server == 99 {
					cold++
				}
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 800, Final: true})
			}
		}
	}
	// 30 tickets a second a node over 21 servers, all of which a warm one completes
	if most := 4 * 0.25 * (30.0 * nodes / 21) * 2; len(first) < 10 || float64(cold) > most || cold == 0 {
		t.Fatalf("first sends to %d servers; %d to the cold one, %.0f allowed", len(first), cold, most)
	}
}

// A server that fails one band serves the others: its answers there must not clear what failed.
func TestServerFailingOneBandRestsForThatBand(t *testing.T) {
	n := plain(2, Settings{
		"nodes": "40", "peers": "true", "peers.take": "40", "band.count": "2",
		"band.1.contract": "6000", "band.1.repeats": "single-use",
	})
	n.AddRequest(Request{ID: 1, Class: 1, Timeout: Second, Units: 1, Spread: 1})
	bad := pull(n, Forward)[0].Server
	n.AttemptEnded(AttemptResult{Request: 1, Server: bad, Outcome: Failed, Duration: 100})
	at := n.endpoints.slots.find(bad)
	if s := n.endpoints.servers[at].byClass; !n.outliers.ejected(&s[1], 1, n.now) || n.outliers.ejected(&s[0], 0, n.now) {
		t.Fatal("the wrong band rests")
	}
	n.SetTime(Second + interval/2)
	told := pull(n, SendPeerMessage)
	other := plain(2, Settings{"nodes": "40", "node": "3", "peers": "true", "band.count": "2", "band.1.contract": "6000"})
	other.SetTime(Second + interval/2)
	other.ReceivePeerMessage(0, append(slices.Clone(told[0].Payload), 0x80)) // cut short: passed over whole
	if other.outliers.ejected(&other.endpoints.servers[at].byClass[1], 1, other.now) {
		t.Fatal("malformed message counted")
	}
	other.ReceivePeerMessage(0, told[0].Payload)
	if s := other.endpoints.servers[at].byClass; told[0].Peer != AllPeers || !other.outliers.ejected(&s[1], 1, other.now) || other.outliers.ejected(&s[0], 0, other.now) {
		t.Fatal("the peer did not take in the doubt")
	}
}

// fleet is a set of 40 nodes of 60, from number 10, that hear each other at once.
type fleet struct {
	nodes     []*Engine
	sets      []Settings
	sent, out int
	most      int // out at once
	lost      func(from int, to NodeID, text []byte) bool
	t         *testing.T
	ends      map[Time][]func()
}

func newFleet(t *testing.T, more Settings) *fleet {
	f := &fleet{t: t, ends: map[Time][]func(){}, nodes: make([]*Engine, 60)}
	set := Settings{"nodes": "60", "peers": "true", "peers.take": "40", "plan.0.rate": "2", "plan.0.depth": "6"}
	for k, v := range more {
		set[k] = v
	}
	for k := range f.nodes {
		set["node"] = strconv.Itoa(k)
		f.nodes[k] = plain(4, set)
		f.sets = append(f.sets, plainSettings(set))
		f.nodes[k].random = random{uint32(k) | 1, 77}
	}
	return f
}

// settle carries out what all nodes want now; executions take so long.
func (f *fleet) settle(now, took Time) {
	for _, end := range f.ends[now] {
		end()
	}
	for again := true; again; {
		again = false
		for k, n := range f.nodes {
			n.SetTime(now)
			for d, ok := n.Next(); ok; d, ok = n.Next() {
				switch d.Action {
				case Forward:
					f.sent++
					f.out++
					f.most = max(f.most, f.out)
					f.ends[now+took] = append(f.ends[now+took], func() {
						f.out--
						n.SetTime(now + took)
						n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: took, Final: true})
					})
				case SendPeerMessage:
					if d.Peer < 10 || d.Peer >= 50 {
						f.t.Fatalf("told %d, outside the set", d.Peer)
					}
					if f.lost == nil || !f.lost(k, d.Peer, d.Payload) {
						f.nodes[d.Peer].ReceivePeerMessage(NodeID(k), slices.Clone(d.Payload))
						again = true
					}
				}
			}
		}
	}
}

// ask lets a customer ask by all its nodes in turn, so many units a second of one unit each.
func (f *fleet) ask(customer CustomerID, rate int, from, until Time) {
	id := RequestID(customer) * 100000
	for now := from; now < until; now += 50 {
		if gap := Second / Time(rate); (now-from)%gap < 50 {
			id++
			n := f.nodes[10+int(id)*7%40]
			n.SetTime(now)
			n.AddRequest(Request{ID: id, Customer: customer, Timeout: Second, Units: 1, Spread: 40, FirstNode: 10})
		}
		f.settle(now, 500)
	}
}

// A customer over its quota that comes in by many nodes, at each of which it is rare: its home holds the quota
// ticket by ticket, and nobody else's word counts.
func TestHomeHoldsQuotaOfManyNodes(t *testing.T) {
	f := newFleet(t, nil)
	f.ask(5, 30, Second, 11*Second)
	if f.sent < 20 || f.sent > 30 { // 26 are inside the quota, 300 were asked
		t.Fatalf("%d sent", f.sent)
	}
	n := f.nodes[11]
	before := n.customers.all[0].admitPart
	n.ReceivePeerMessage(9, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 40, firstNode: 10}))
	n.ReceivePeerMessage(12, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 40, firstNode: 10}))
	n.ReceivePeerMessage(15, appendReport([]byte{kindGrant}, customerReport{customer: 5, demand: 1, spread: 400, firstNode: 10}))
	n.AddRequest(Request{ID: 1000, Customer: 8, Timeout: Second, Units: 1, Spread: 0, FirstNode: -3})
	n.AddRequest(Request{ID: 1001, Customer: 9, Timeout: Second, Units: 1, Spread: 1 << 20, FirstNode: 1 << 20})
	pull(n, Forward)
	if n.customers.all[0].admitPart != before || before >= 1 {
		t.Fatalf("grant %.2f became %.2f by another's word", before, n.customers.all[0].admitPart)
	}
}

// A cap on open executions beside a rate, over many nodes: held by each node alone, 40 nodes let out twice 40.
// An end that is told late, after its hold has run out, must not free another's.
func TestHomeHoldsCapOfManyNodes(t *testing.T) {
	f := newFleet(t, Settings{"plan.0.rate": "1000", "plan.0.depth": "1000", "plan.0.open": "2"})
	f.ask(5, 200, Second, 4*Second)
	if f.most > 2 || f.sent < 60 {
		t.Fatalf("%d out at once, %d sent", f.most, f.sent)
	}
	home := f.nodes[f.nodes[10].owner.of(&f.nodes[10].customers.all[0])]
	c := &home.customers.all[home.customers.slots.find(5)]
	c.reservations = []reservation{{11, 7, 9 * Second}}
	home.ReceivePeerMessage(12, appendReport([]byte{kindUse}, customerReport{customer: 5, spread: 40, firstNode: 10, request: 7, ended: 1}))
	if len(c.reservations) != 1 {
		t.Fatal("another node's end freed a hold")
	}
	home.ReceivePeerMessage(11, appendReport([]byte{kindUse}, customerReport{customer: 5, spread: 40, firstNode: 10, request: 7, ended: 1}))
	if len(c.reservations) != 0 {
		t.Fatal("an end freed no hold")
	}
}

// While a home is silent a rare customer's tickets still pass, after a short wait, and one that asks far more than
// its slice is held to about that.
func TestSilentHomeLeavesTheSlice(t *testing.T) {
	for rate, most := range map[int]int{2: 40, 400: 130} { // 20 s
		f := newFleet(t, nil)
		f.lost = func(from int, to NodeID, text []byte) bool { return true }
		f.ask(5, rate, Second, 21*Second)
		if f.sent < 20 || f.sent > most {
			t.Errorf("%d of %d sent", f.sent, rate*20)
		}
	}
}

// A hard ceiling of many nodes: home and set together stay under it from the first second on, after restarts too.
func TestHomeAndSetKeepTheCeiling(t *testing.T) {
	f := newFleet(t, Settings{
		"plan.0.rate": "1000", "plan.0.depth": "1000", "plan.0.ceiling.rate": "20",
		"plan.0.ceiling.depth": "80",
	})
	r := rand.New(rand.NewSource(3))
	f.lost = func(from int, to NodeID, text []byte) bool { return r.Intn(4) == 0 }
	for k := range Time(4) {
		f.ask(5, 200, (1+2*k)*Second, (3+2*k)*Second)
		sent := f.sent
		fresh := newFleet(t, Settings{
			"plan.0.rate": "1000", "plan.0.depth": "1000", "plan.0.ceiling.rate": "20",
			"plan.0.ceiling.depth": "80",
		})
		fresh.lost, fresh.sent = f.lost, sent
		f = fresh // all restart
		for _, n := range f.nodes {
			n.now, n.timers.intervalAt, n.timers.checkAt = (3+2*k)*Second, (4+2*k)*Second, (3+2*k)*Second
		}
	}
	if f.sent > 8*20 || f.sent < 60 {
		t.Fatalf("%d units in 8 s of 20 a second, all stores empty at the start", f.sent)
	}
	n := f.nodes[11] // all stores full hold the ceiling's and no more
	c := &n.customers.all[n.customers.slot(n.config, n.now, 5, 0, 40, 10)]
	n.SetTime(99 * Second)
	n.quota.ceilingAllows(c, 1, n.owner.owned(c), n.now)
	if all := 40*c.ceiling.level + ownerCeilingPart*80; all > 80.01 || all < 79.99 {
		t.Fatalf("the stores hold %.2f of 80", all)
	}
}

// After a stall what came last is in time yet and goes first; what waited past its contract time is answered at
// once, and the limit's tokens cover the time that nothing passed.
func TestAfterAStallTheLastComeFirst(t *testing.T) {
	n := plain(10, nil)
	n.admission.rate, n.admission.throughput.executionTime, n.timers.intervalAt = 40, 500, 9*Second
	n.admission.throughput.times, n.admission.throughput.rates = []float64{500}, []float64{40}
	n.AddRequest(Request{ID: 1000, Timeout: Second, Units: 1, Spread: 1})
	pull(n, Forward)
	n.SetTime(Second + Second) // 1 s without a turn; the contract time is 0.6 s
	for id := range RequestID(20) {
		n.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	var first, bounced []RequestID
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		if d.Action == Forward {
			first = append(first, d.Request)
		} else if d.Action == Reject {
			bounced = append(bounced, d.Request)
		}
	}
	if len(first) < 9 || first[0] != 19 || slices.Contains(first, 0) || !slices.Contains(bounced, 0) ||
		len(first)+len(bounced) != 20 {
		t.Fatalf("sent %v, bounced %v", first, bounced)
	}
}

// A ticket that waited past its contract time is bounced at once though limit and quota have room for it, since its
// client has no use for a late answer and the server's time is another's.
func TestLateAfterAStallIsBouncedWithRoomLeft(t *testing.T) {
	n := plain(10, nil)
	n.admission.rate, n.admission.throughput.executionTime, n.timers.intervalAt = 4000, 500, 9*Second
	n.admission.throughput.times, n.admission.throughput.rates = []float64{500}, []float64{4000}
	n.AddRequest(Request{ID: 1000, Timeout: Second, Units: 1, Spread: 1})
	pull(n, Forward)
	n.SetTime(2 * Second)
	for id := range RequestID(20) {
		n.AddRequest(Request{ID: id, Timeout: Second, Units: 1, Spread: 1})
	}
	bounced := 0
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		if d.Action == Reject {
			if bounced++; d.Request > 12 {
				t.Errorf("ticket %d of 20, which is in time yet, was bounced", d.Request)
			}
		}
	}
	if bounced < 8 {
		t.Fatalf("%d of 20 bounced, of which half waited past the contract time", bounced)
	}
}

// A node that uses few servers takes the one with the least out for its weight: by its turn alone it would add to a
// larger server's queue, under that one's cap yet, while a smaller one stands idle.
func TestOwnServerWithTheLeastOutComesFirst(t *testing.T) {
	n := plain(2, Settings{"nodes": "60", "peers": "true", "peers.take": "40"})
	n.endpoints.servers[1].Weight, n.endpoints.servers[1].inFlight, n.endpoints.servers[1].rotationCredit = 4, 1, 100
	n.AddRequest(Request{ID: 1, Timeout: Second, Units: 1, Spread: 1})
	if got := n.pick(&n.requests.all[0]); got != 0 {
		t.Fatalf("server %d was taken, with one out and the other idle", got)
	}
}

// Peers' words of one miss each add up: a server of which they tell clearly more than of others is suspected, and
// gets trials by budget; where all servers miss alike, as for want of room, none is.
func TestMissesToldByPeersAddUp(t *testing.T) {
	set := Settings{"nodes": "60", "peers": "true", "peers.take": "40"}
	n, alike := plain(20, set), plain(20, set)
	for k := range 8 {
		n.ReceivePeerMessage(NodeID(20+k), appendSuspicion([]byte{kindSuspicion}, suspicion{3, 0, 0}))
		for s := range ServerID(20) {
			alike.ReceivePeerMessage(NodeID(20+k), appendSuspicion([]byte{kindSuspicion}, suspicion{s, 0, 0}))
		}
	}
	n.SetTime(3 * Second)
	n.outliers.classes[0].trials = 0
	if !n.outliers.ejected(&n.endpoints.servers[3].byClass[0], 0, n.now) || n.outliers.ejected(&n.endpoints.servers[4].byClass[0], 0, n.now) {
		t.Fatal("the words of peers did not tell the server that fails")
	}
	for i := range alike.endpoints.servers {
		if alike.outliers.ejected(&alike.endpoints.servers[i].byClass[0], 0, alike.now) {
			t.Fatal("suspected where all miss alike")
		}
	}
	trials := 0
	for id := range RequestID(100) { // a twentieth of the band's executions may try it
		n.SetTime(3*Second + Time(id)*500)
		n.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: Second, Units: 1, Spread: 1})
		for _, d := range pull(n, Forward) {
			o := Succeeded
			if d.Server == 3 {
				trials, o = trials+1, TimedOut
			}
			n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: o, Duration: 5000, Final: true})
		}
	}
	if trials > 7 {
		t.Fatalf("%d trials in 100 executions", trials)
	}
}

// When every server stands still, what hangs there must go on to count, or the node fills them up.
func TestStandstillOfAllServersBoundsWhatIsOut(t *testing.T) {
	n := plain(6, nil)
	now, id, out := Second, RequestID(0), 0
	var sent []Decision
	for ; now < 12*Second; now += 100 {
		n.SetTime(now)
		for range 2 {
			id++
			n.AddRequest(Request{ID: id, Timeout: 8 * Second, Units: 1, Spread: 1})
		}
		if now < 4*Second { // every execution takes 20 ms until all stand still
			for _, d := range sent {
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: Succeeded, Duration: 200, Final: true})
			}
			sent = sent[:0]
		}
		sent = append(sent, pull(n, Forward)...)
		out = max(out, len(sent))
	}
	if out > 36 { // six a server; without the guard it is hundreds
		t.Fatalf("%d out at six servers that stand still", out)
	}
}

// An impatient client's time-out says nothing of its server, nor of the back end's latency.
func TestShortTimeOutIsNoMiss(t *testing.T) {
	n := plain(2, nil)
	for id := range RequestID(4) {
		n.AddRequest(Request{ID: id, Timeout: 2 * Second, Units: 1, Spread: 1})
	}
	for _, d := range pull(n, Forward) {
		n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: TimedOut, Duration: 500})
	}
	if n.endpoints.servers[0].byClass[0].failures+n.endpoints.servers[1].byClass[0].failures+n.interval.ends != 0 {
		t.Fatalf("%d misses, %d ends counted", n.endpoints.servers[0].byClass[0].failures+n.endpoints.servers[1].byClass[0].failures, n.interval.ends)
	}
}

// Where any server's answers are spoilt or broken off now and then, one says little of it: it stays in the rotation,
// and its time is no sign of pressure. Two in a row tell, of that band.
func TestOneBadAnswerRestsNoServer(t *testing.T) {
	n := plain(1, Settings{"band.count": "2", "band.1.contract": "6000", "executions": "1"})
	for id, o := range []Outcome{MalformedResponse, Succeeded, ConnectionReset, Succeeded, MalformedResponse, ConnectionReset} {
		n.AddRequest(Request{ID: RequestID(id), Timeout: 2 * Second, Units: 1, Spread: 1})
		d := pull(n, Forward)[0]
		n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: o, Duration: 500, Final: o == Succeeded})
		if got := n.outliers.ejected(&n.endpoints.servers[0].byClass[0], 0, n.now); got != (id == 5) || n.outliers.ejected(&n.endpoints.servers[0].byClass[1], 1, n.now) || n.interval.ends > 2 {
			t.Fatalf("after end %d the server rests: %v", id, got)
		}
		if o != Succeeded && pull(n, Reject) == nil {
			t.Fatal("no answer at once")
		}
	}
}

// New servers replace old ones all day: what is gone, with no ticket open that knows it, leaves no slot behind.
func TestServersThatAreGoneLeaveNothing(t *testing.T) {
	n := plain(0, nil)
	now := Second
	for k := range ServerID(300) {
		now += interval / 3
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
		t.Errorf("%d servers, %d tickets", len(n.endpoints.servers), len(n.requests.all))
	}
}

// A server that turns away all, as one that drains before the roster says so, is quick at it and would draw ever
// more tickets; each counts as pressure, and the limit falls. Two in a row rest it, as time-outs do.
func TestServerThatTurnsAwayRests(t *testing.T) {
	n := plain(4, nil)
	now, sent := Second, 0
	for id := range RequestID(400) {
		now += Second / 40
		n.SetTime(now)
		n.AddRequest(Request{ID: id, Timeout: 2 * Second, Units: 1, Spread: 1})
		for d := pull(n, Forward); len(d) > 0; d = pull(n, Forward) {
			if d[0].Server == 2 {
				sent++
				n.AttemptEnded(AttemptResult{Request: id, Attempt: len(n.requests.all[n.requests.slots.find(id)].attempts) - 1, Server: 2, Outcome: Overloaded, Duration: 10})
				continue
			}
			n.AttemptEnded(AttemptResult{
				Request: id, Attempt: len(n.requests.all[n.requests.slots.find(id)].attempts) - 1, Server: d[0].Server, Outcome: Succeeded, Duration: 800,
				Final: true,
			})
		}
	}
	if sent > 40 || sent == 0 {
		t.Errorf("%d of 400 tickets went to a server that turns them away", sent)
	}
}

// Nodes that discovery turned away together must not ask again together, nor ever faster than the span allows.
func TestFailedCallsToDiscoverySpread(t *testing.T) {
	span := 10 * Second
	var first []Time
	r := rand.New(rand.NewSource(1))
	set := Settings{
		"nodes": "80", "tick": "10", "band.count": "1", "band.0.contract": "6000", "roster": "ask",
		"plan.count": "1", "ask.within": strconv.Itoa(int(span)),
	}
	for range 80 {
		n := New(r.Uint64(), set, Second)
		for k, now := 0, Second; k < 6; k++ {
			asked := now
			for !watches(n) {
				now += Second / 50
				n.SetTime(now)
			}
			if wait := now - asked; k > 0 && (wait < Second || wait > span+Second) {
				t.Fatalf("asked again after %d", wait)
			}
			if k == 1 {
				first = append(first, now)
			}
			n.UpdateEndpoints(PollFailed, nil)
		}
	}
	slices.Sort(first)
	for i := range len(first) - 20 {
		if first[i+20]-first[i] < Second/4 {
			t.Fatalf("20 of 80 nodes ask again within %d", first[i+20]-first[i])
		}
	}
}

// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before: however
// many failed, the next comes within 3 s, since a call without hope may take 2 s before it and its own answer 1 s; not
// sooner than 1 s, as discovery may have too much to do. 200 nodes whose calls failed together ask again in no step.
func TestDiscoveryIsAskedAgainWithinTheTerm(t *testing.T) {
	const tick, nodes = Second / 50, 200
	for seed := range 1000 {
		set := Settings{
			"nodes": "200", "tick": "10", "band.count": "1", "band.0.contract": "6000", "roster": "ask",
			"plan.count": "1", "ask.within": []string{"100000", "600000", "30000"}[seed%3],
		}
		n, now := New(uint64(seed)*7919, set, Second), Second
		for k := range 15 {
			asked := now
			for !watches(n) {
				now += tick
				n.SetTime(now)
			}
			if wait := now - asked; k > 0 && (wait < Second || wait > 3*Second+tick) {
				t.Fatalf("seed %d: asked again %d after the %d. failure", seed, wait, k)
			}
			for range 1 + seed%2 { // a failure told twice is one
				n.UpdateEndpoints(PollFailed, nil)
			}
		}
	}
	for seed := range 20 {
		var again []Time
		for i := range nodes {
			n := New(uint64(seed*nodes+i)*7919+1, Settings{
				"nodes": "200", "band.count": "1", "band.0.contract": "6000",
				"roster": "ask", "plan.count": "1", "ask.within": "100000",
			}, Second)
			now := Second
			watches(n)
			for n.UpdateEndpoints(PollFailed, nil); !watches(n); now += tick {
				n.SetTime(now)
			}
			again = append(again, now)
		}
		slices.Sort(again)
		for i := range nodes - 50 { // an even spread has 25 in a quarter of a second, with a chance swing of 5
			if again[i+50]-again[i] < Second/4 {
				t.Fatalf("seed %d: 50 of 200 nodes ask again within %d", seed, again[i+50]-again[i])
			}
		}
	}
}

func watches(n *Engine) (asked bool) {
	for d, ok := n.Next(); ok; d, ok = n.Next() {
		asked = asked || d.Action == PollEndpoints
	}
	return asked
}

// Where each of many nodes meets a cold server seldom, all of them together must still give it most of what the
// budget lets them, and no more: half of the servers replaced at once would else stand idle while the rest drown.
func TestColdServersOfAWideFleetAreUsed(t *testing.T) {
	const warm, cold, nodes = 10, 10, 60
	r, sent, allowed := rand.New(rand.NewSource(3)), 0, 0.0
	for range nodes {
		n := New(r.Uint64(), Settings{
			"nodes": "80", "tick": "10", "band.count": "1", "band.0.contract": "15000",
			"plan.count": "1", "cold.span": "170000", "cold.from": "0.2", "fall.multiple": "3", "fall.span": "20000",
			"band.0.repeats": "replayable",
		}, Second)
		list := []Endpoint{}
		for i := range ServerID(warm) {
			list = append(list, Endpoint{Server: i, State: Ready, Weight: 1})
		}
		n.UpdateEndpoints(FullList, list)
		for k := range RequestID(28 * 5) { // five tickets a second, 20 s before the change and 8 s after
			now := Second + Time(k)*Second/5
			n.SetTime(now)
			if now >= 21*Second && n.endpoints.ready == warm {
				for i := range ServerID(cold) {
					list = append(list, Endpoint{Server: 100 + i, State: Ready, Weight: 1, Started: now})
				}
				n.UpdateEndpoints(FullList, list)
			}
			n.AddRequest(Request{ID: k, Customer: CustomerID(k), Timeout: 4 * Second, Units: 1, Spread: 1})
			for _, d := range pull(n, Forward) {
				if d.Server >= 100 {
					sent++
				}
				n.SetTime(now + Second/10)
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: Second / 10})
			}
			if now >= 21*Second {
				allowed += n.slowStart.budget(&n.endpoints.servers[warm], n.now, n.subsets.ratio) * cold / (2 * 5)
			}
		}
	}
	if got := float64(sent) / allowed; got < 0.6 || got > 1.2 {
		t.Fatalf("%d executions to cold servers, %.0f allowed", sent, allowed)
	}
}

// Of many nodes each uses a part of the servers, sized by its traffic; all servers get about alike, and one that
// goes changes no more than one of a node's servers, or connections and what is known of servers would be lost.
func TestWideFleetUsesSubsets(t *testing.T) {
	const servers, nodes = 60, 80
	r, load, kept, sent := rand.New(rand.NewSource(5)), map[ServerID]int{}, 0, 0
	for me := range nodes {
		n := New(r.Uint64(), Settings{
			"nodes": strconv.Itoa(nodes), "node": strconv.Itoa(me), "tick": "10",
			"band.count": "1", "band.0.contract": "15000", "plan.count": "1", "idle": "150000",
			"band.0.repeats": "replayable",
		}, Second)
		list := []Endpoint{}
		for i := range ServerID(servers) {
			list = append(list, Endpoint{Server: i * 7919, State: Ready, Weight: 1})
		}
		n.UpdateEndpoints(FullList, list)
		met, last := map[ServerID]bool{}, Second
		for k := range RequestID(20 * 5) { // five tickets a second
			last += Second / 5
			n.SetTime(last)
			n.AddRequest(Request{ID: k, Customer: CustomerID(k), Timeout: 4 * Second, Units: 1, Spread: 1})
			for _, d := range pull(n, Forward) {
				met[d.Server] = true
				load[d.Server]++
				sent++
				n.SetTime(last + Second/10)
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: Second / 10})
			}
		}
		if len(met) < minSubset || len(met) > 20 {
			t.Fatalf("node %d met %d servers", me, len(met))
		}
		before := map[ServerID]bool{}
		for _, s := range n.endpoints.servers {
			before[s.Server] = s.inSubset
		}
		list[r.Intn(servers)].State = Draining
		n.UpdateEndpoints(FullList, list)
		for _, s := range n.endpoints.servers {
			if s.inSubset && !before[s.Server] {
				kept++
			}
		}
	}
	for s, k := range load {
		if mean := sent / servers; k > mean*8/5 || k < mean/2 {
			t.Errorf("server %d got %d of %d", s, k, sent)
		}
	}
	if len(load) != servers || kept > nodes/2 {
		t.Errorf("%d servers used, %d new ones after one left each node's list", len(load), kept)
	}
}

// Nodes that stood idle must not all have one execution to spare for a cold server: not at its second start under
// the same uid, and not after a pause within its cold span. The bound is N + 2√N + 2, N by the least that is assumed.
func TestIdleNodesHoldNoCreditForColdServers(t *testing.T) {
	const nodes = 30
	sent := map[Time]int{}
	for k := range nodes {
		n := New(uint64(k)<<32|uint64(k*7919), Settings{
			"nodes": strconv.Itoa(nodes), "peers.take": "100", "tick": "40",
			"band.count": "1", "band.0.contract": "6000", "band.0.repeats": "replayable", "plan.count": "1",
			"cold.span": "180000", "cold.from": "0.25", "fall.multiple": "4", "fall.span": "20000",
		}, Second)
		for i, step := range []struct{ at, started Time }{
			{Second, Second - 1},
			{61 * Second, 61*Second - 1},
			{71 * Second, 61*Second - 1},
		} {
			n.SetTime(step.at - 500) // a turn before, or the pause would pass for a stall
			pull(n, Forward)
			n.SetTime(step.at)
			list := []Endpoint{{Server: 99, State: Ready, Weight: 1, Started: step.started}}
			for s := range ServerID(3) {
				list = append(list, Endpoint{Server: s, State: Ready, Weight: 1})
			}
			n.UpdateEndpoints(FullList, list)
			n.AddRequest(Request{ID: RequestID(i), Customer: 1, Timeout: Second, Units: 1, Spread: 1})
			for _, d := range pull(n, Forward) {
				if d.Server == 99 {
					sent[step.at]++
				}
				n.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Duration: 800, Final: true})
			}
		}
	}
	for at, share := range map[Time]float64{Second: 0.25, 61 * Second: 0.25, 71 * Second: 0.25 + 0.75*10/18} {
		if most := 4 * share * 2 / 0.6; float64(sent[at]) > most+2*math.Sqrt(most)+2 {
			t.Errorf("%d executions at once at %d, where N is %.1f", sent[at], at, most)
		}
	}
}
