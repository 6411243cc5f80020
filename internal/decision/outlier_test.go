package decision

import (
	"slices"
	"testing"
)

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
