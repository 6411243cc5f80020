package decision

import (
	"slices"
	"testing"

	"cherrygap/internal/settings"
)

// A server may fail one class and serve the others. A failure ejects the server for the failed class only, here and at
// peers that receive the suspicion.
func TestServerFailingOneClassIsEjectedForThatClass(t *testing.T) {
	engine := newTestEngine(2, Settings{
		settings.Nodes: "40", settings.Peers: settings.On, settings.PeerRate: "40", settings.ClassCount: "2",
		settings.ClassKey(1, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(1, settings.ClassRetrySafety):      settings.RetryUnsafe,
	})
	engine.AddRequest(Request{ID: 1, Class: 1, Timeout: Second, Units: 1, Spread: 1})
	failed := takeDecisions(engine, Forward)[0].Server
	engine.AttemptEnded(AttemptResult{Request: 1, Server: failed, Outcome: Failed, Duration: 100})
	slot := engine.endpoints.slots.find(failed)
	if s := engine.endpoints.servers[slot].byClass; !engine.outliers.ejected(&s[1], 1, engine.now) || engine.outliers.ejected(&s[0], 0, engine.now) {
		t.Fatalf("server %d is ejected for class 0: %v, for class 1: %v after a failed attempt of class 1, want false and true",
			failed, engine.outliers.ejected(&s[0], 0, engine.now), engine.outliers.ejected(&s[1], 1, engine.now))
	}
	engine.SetTime(Second + controlInterval/2)
	sent := takeDecisions(engine, SendPeerMessage)
	peer := newTestEngine(2, Settings{
		settings.Nodes: "40", settings.Node: "3", settings.Peers: settings.On, settings.ClassCount: "2",
		settings.ClassKey(1, settings.ClassLatencyObjective): "6000",
	})
	peer.SetTime(Second + controlInterval/2)
	peer.ReceivePeerMessage(0, append(slices.Clone(sent[0].Payload), 0x80)) // a truncated message has no effect
	if peer.outliers.ejected(&peer.endpoints.servers[slot].byClass[1], 1, peer.now) {
		t.Fatalf("server %d is ejected for class 1 at node 3 after a truncated peer message, want no effect", failed)
	}
	peer.ReceivePeerMessage(0, sent[0].Payload)
	if s := peer.endpoints.servers[slot].byClass; sent[0].Peer != AllPeers || !peer.outliers.ejected(&s[1], 1, peer.now) || peer.outliers.ejected(&s[0], 0, peer.now) {
		t.Fatalf("suspicion was sent to node %d, want %d for all peers; node 3 then ejects server %d for class 0: %v, for class 1: %v, want false and true",
			sent[0].Peer, AllPeers, failed, peer.outliers.ejected(&s[0], 0, peer.now), peer.outliers.ejected(&s[1], 1, peer.now))
	}
}

// Suspicions of peers add up. A server with clearly more suspicions than the mean is ejected, and its trials come from
// the trial budget. If peers suspect all servers alike, none is ejected: overload of a fleet must not eject every server.
func TestSuspicionsOfPeersAddUp(t *testing.T) {
	values := Settings{settings.Nodes: "60", settings.Peers: settings.On, settings.PeerRate: "40"}
	engine, alike := newTestEngine(20, values), newTestEngine(20, values)
	for k := range 8 {
		engine.ReceivePeerMessage(NodeID(20+k), appendSuspicion([]byte{kindSuspicion}, suspicion{3, 0, 0}))
		for s := range ServerID(20) {
			alike.ReceivePeerMessage(NodeID(20+k), appendSuspicion([]byte{kindSuspicion}, suspicion{s, 0, 0}))
		}
	}
	engine.SetTime(3 * Second)
	engine.outliers.classes[0].trials = 0
	if !engine.outliers.ejected(&engine.endpoints.servers[3].byClass[0], 0, engine.now) || engine.outliers.ejected(&engine.endpoints.servers[4].byClass[0], 0, engine.now) {
		t.Fatalf("after 8 suspicions of server 3, server 3 is ejected: %v, server 4: %v, want true and false",
			engine.outliers.ejected(&engine.endpoints.servers[3].byClass[0], 0, engine.now),
			engine.outliers.ejected(&engine.endpoints.servers[4].byClass[0], 0, engine.now))
	}
	for i := range alike.endpoints.servers {
		if alike.outliers.ejected(&alike.endpoints.servers[i].byClass[0], 0, alike.now) {
			t.Fatalf("server in slot %d is ejected after 8 suspicions of every server, want none ejected", i)
		}
	}
	trials := 0
	for id := range RequestID(100) { // trials may be a twentieth of the class's attempts
		engine.SetTime(3*Second + Time(id)*500)
		engine.AddRequest(Request{ID: id, Customer: CustomerID(id), Timeout: Second, Units: 1, Spread: 1})
		for _, d := range takeDecisions(engine, Forward) {
			outcome := Succeeded
			if d.Server == 3 {
				trials, outcome = trials+1, TimedOut
			}
			engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: outcome, Duration: 5000, Final: true})
		}
	}
	if trials > 7 {
		t.Fatalf("server 3 got %d trials in 100 requests, want at most 7", trials)
	}
}

// A client may set a timeout far below the latency objective. Such a timeout is neither a failure of the server nor a
// latency sample. Otherwise such clients would eject healthy servers.
func TestShortTimeoutIsNoFailure(t *testing.T) {
	engine := newTestEngine(2, nil)
	for id := range RequestID(4) {
		engine.AddRequest(Request{ID: id, Timeout: 2 * Second, Units: 1, Spread: 1})
	}
	for _, d := range takeDecisions(engine, Forward) {
		engine.AttemptEnded(AttemptResult{Request: d.Request, Server: d.Server, Outcome: TimedOut, Duration: 500})
	}
	if engine.endpoints.servers[0].byClass[0].failures+engine.endpoints.servers[1].byClass[0].failures+engine.interval.samples != 0 {
		t.Fatalf("timeouts before the objective counted as %d failures and %d latency samples, want 0 and 0",
			engine.endpoints.servers[0].byClass[0].failures+engine.endpoints.servers[1].byClass[0].failures, engine.interval.samples)
	}
}

// One malformed or broken response does not eject a server and is no latency sample. Two in a row eject the server for
// the class. Otherwise one request that causes such responses would eject each server that receives it.
func TestOneBadResponseEjectsNoServer(t *testing.T) {
	engine := newTestEngine(1, Settings{
		settings.ClassCount: "2", settings.ClassKey(1, settings.ClassLatencyObjective): "6000",
		settings.MaxAttempts: "1",
	})
	for id, outcome := range []Outcome{MalformedResponse, Succeeded, ConnectionReset, Succeeded, MalformedResponse, ConnectionReset} {
		engine.AddRequest(Request{ID: RequestID(id), Timeout: 2 * Second, Units: 1, Spread: 1})
		decision := takeDecisions(engine, Forward)[0]
		engine.AttemptEnded(AttemptResult{Request: decision.Request, Server: decision.Server, Outcome: outcome, Duration: 500, Final: outcome == Succeeded})
		if got := engine.outliers.ejected(&engine.endpoints.servers[0].byClass[0], 0, engine.now); got != (id == 5) || engine.outliers.ejected(&engine.endpoints.servers[0].byClass[1], 1, engine.now) || engine.interval.samples > 2 {
			t.Fatalf("after the attempt of request %d with outcome %s: ejected for class 0: %v, for class 1: %v, %d latency samples; want %v, false, at most 2",
				id, outcomeNames[outcome], got, engine.outliers.ejected(&engine.endpoints.servers[0].byClass[1], 1, engine.now), engine.interval.samples, id == 5)
		}
		if outcome != Succeeded && takeDecisions(engine, Reject) == nil {
			t.Fatalf("request %d was not rejected right after its only attempt ended with outcome %s, want a rejection", id, outcomeNames[outcome])
		}
	}
}

// A server that drains rejects every request before the list says so. Its fast responses would attract requests. Each
// rejection counts as a latency sample of one objective, and two in a row eject the server.
func TestServerThatRejectsIsEjected(t *testing.T) {
	engine := newTestEngine(4, nil)
	now, sent := Second, 0
	for id := range RequestID(400) {
		now += Second / 40
		engine.SetTime(now)
		engine.AddRequest(Request{ID: id, Timeout: 2 * Second, Units: 1, Spread: 1})
		for decisions := takeDecisions(engine, Forward); len(decisions) > 0; decisions = takeDecisions(engine, Forward) {
			if decisions[0].Server == 2 {
				sent++
				engine.AttemptEnded(AttemptResult{Request: id, Attempt: len(engine.requests.all[engine.requests.slots.find(id)].attempts) - 1, Server: 2, Outcome: Overloaded, Duration: 10})
				continue
			}
			engine.AttemptEnded(AttemptResult{
				Request: id, Attempt: len(engine.requests.all[engine.requests.slots.find(id)].attempts) - 1, Server: decisions[0].Server, Outcome: Succeeded, Duration: 800,
				Final: true,
			})
		}
	}
	if sent > 40 || sent == 0 {
		t.Errorf("server 2, which rejects every request, got %d of 400 requests, want 1 to 40", sent)
	}
}

// testDetector returns a detector of two classes, each with a trial budget of 1, with the settings of testConfig.
func testDetector() *outlierDetector {
	return &outlierDetector{config: testConfig(), classes: []classOutliers{{trials: 1}, {trials: 1}}}
}

// Each further ejection lasts twice as long, up to eight objectives. A success resets the length. Without the doubling, a
// stopped server would receive a trial attempt in each objective.
func TestEjectionTimes(t *testing.T) {
	detector, states, now := testDetector(), make([]outlierState, 2), 10*Second
	for k, want := range []Time{6000, 12000, 24000, 48000, 48000} {
		states[0].inFlight = 1
		detector.attemptEnded(states, 0, Failed, now)
		if states[0].ejectedUntil != now+want || !detector.ejected(&states[0], 0, now+want-1) || detector.ejected(&states[1], 1, now) {
			t.Fatalf("ejection %d of class 0 lasts %d, want %d (units of 0.1 ms); ejected one unit before that end: %v, want true; class 1 ejected: %v, want false",
				k, states[0].ejectedUntil-now, want, detector.ejected(&states[0], 0, now+want-1), detector.ejected(&states[1], 1, now))
		}
	}
	detector.classes[0].trials = 0
	if !detector.ejected(&states[0], 0, now+48000) {
		t.Error("after its ejection, a server is not ejected with an empty trial budget, want it ejected")
	}
	detector.classes[0].trials = 1
	if detector.ejected(&states[0], 0, now+48000) {
		t.Error("ejected() = true at the end of the ejection time with a trial budget of 1, want false")
	}
	states[0].inFlight = 1
	if detector.attemptStarted(&states[0], 0, now+48000); detector.classes[0].trials > trialsPerAttempt+1e-9 || !detector.ejected(&states[0], 0, now+48000) {
		t.Errorf("with a trial in flight, the trial budget is %v and the server is ejected: %v, want at most %v and true",
			detector.classes[0].trials, detector.ejected(&states[0], 0, now+48000), trialsPerAttempt+1e-9)
	}
	detector.attemptEnded(states, 0, Succeeded, now+49000)
	if states[0] != (outlierState{lastResponseAt: now + 49000}) {
		t.Errorf("state after a success = %+v, want only lastResponseAt %d", states[0], now+49000)
	}
}

// TestOutcomesThatEject checks the effect of each outcome on the server's ejection. A wrong effect would eject healthy
// servers, or leave failed ones in the rotation.
func TestOutcomesThatEject(t *testing.T) {
	for _, c := range []struct {
		outcome              Outcome
		before               outlierState
		wantClass, wantOther bool // the server is ejected for the class, and for the other one
	}{
		{Succeeded, outlierState{failures: 1}, false, false},
		{Failed, outlierState{}, true, false},
		{ConnectFailed, outlierState{}, true, true},
		{Overloaded, outlierState{}, false, false},
		{Overloaded, outlierState{failures: 1}, true, false},
		{TimedOut, outlierState{}, false, false},
		{TimedOut, outlierState{trialInFlight: true}, true, false},
		{ConnectionReset, outlierState{failures: 1}, true, false},
		{MalformedResponse, outlierState{failures: 1}, true, false},
		{Cancelled, outlierState{failures: 1}, false, false},
		{NotSent, outlierState{failures: 1}, false, false},
	} {
		detector, states := testDetector(), []outlierState{c.before, {}}
		states[0].inFlight = 1
		detector.attemptEnded(states, 0, c.outcome, Second)
		if detector.ejected(&states[0], 0, Second) != c.wantClass || detector.ejected(&states[1], 1, Second) != c.wantOther || states[0].inFlight != 0 {
			t.Errorf("outcome %s after %+v: ejected for the class: %v, for the other class: %v, %d attempts in flight; want %v, %v, 0",
				outcomeNames[c.outcome], c.before, detector.ejected(&states[0], 0, Second), detector.ejected(&states[1], 1, Second),
				states[0].inFlight, c.wantClass, c.wantOther)
		}
	}
}

// Silence is the sum of the waits of all attempts in flight since the last response. Without an ejection for silence, a
// server that hangs would receive attempts until some of them time out.
func TestSilence(t *testing.T) {
	detector, state, now := testDetector(), &outlierState{lastResponseAt: 2 * Second}, 3*Second
	detector.addWait(state, Second, 2000, now)   // 5 usual latencies since the last response
	detector.addWait(state, now-2000, 2000, now) // 1 usual latency
	if detector.ejectSilent(state, now); detector.ejected(state, 0, now) || state.waitedLatencies != 6 || state.lost != 0 {
		t.Errorf("after 6 usual latencies of silence: %+v, ejected: %v, want waitedLatencies 6, lost 0, not ejected",
			state, detector.ejected(state, 0, now))
	}
	detector.addWait(state, Second, 500, now) // 20 usual latencies
	if detector.ejectSilent(state, now); !detector.ejected(state, 0, now) || state.waitCountedFrom != now || state.lost != 1 {
		t.Errorf("after 26 usual latencies of silence: %+v, ejected: %v, want waitCountedFrom %d, lost 1, ejected",
			state, detector.ejected(state, 0, now), now)
	}
}

// A peer's suspicion ejects a server for the time that it names, within the limits of an ejection. It has no effect if
// the server has just responded here or is already ejected here. Otherwise a cut link of one peer would eject the server at
// all nodes.
func TestPeersSuspicions(t *testing.T) {
	const now = 20 * Second
	for _, c := range []struct {
		name         string
		before       outlierState
		reported     Time // ejection that the suspicion names
		wantUntil    Time // expected end of the ejection
		wantFromPeer bool // expected fromPeer
	}{
		{"ejected at the peer", outlierState{}, 9000, now + 9000, true},
		{"ejected at the peer for less than an objective", outlierState{}, 1, now + 6000, true},
		{"ejected at the peer for longer than the maximum", outlierState{}, 99 * Second, now + 48000, true},
		{"just responded here", outlierState{lastResponseAt: now - 5999}, 9000, 0, false},
		{"responded long ago", outlierState{lastResponseAt: now - 6000}, 9000, now + 9000, true},
		{"ejected here", outlierState{failures: 1, ejectedUntil: now + 5}, 9000, now + 5, false},
		{"one suspicion without an ejection", outlierState{}, 0, 0, false},
		{"many suspicions", outlierState{suspicions: decayingMean{count: 40, at: now}}, 0, now + 6000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			detector, state := testDetector(), c.before
			detector.classes[0].suspicions = decayingMean{count: 40, at: now}
			if detector.receiveSuspicion(&state, suspicion{ejectedFor: c.reported}, 10, now); state.ejectedUntil != c.wantUntil || state.fromPeer != c.wantFromPeer {
				t.Errorf("server is ejected until %d (0 for never ejected), fromPeer %v; want until %d, fromPeer %v", state.ejectedUntil, state.fromPeer, c.wantUntil, c.wantFromPeer)
			}
		})
	}
}
