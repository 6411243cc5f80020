package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulator is a small simulator for the adapter. It draws clients' requests and app servers' responses from a
// seeded random generator, and carries out the actions of the adapter's replies. It encodes and decodes bytes itself,
// without simproto, so that a fault of simproto does not hide.
type simulator struct {
	rng           *rand.Rand
	now           uint64 // simulated time, µs
	servers       []simulatedServer
	listRevision  uint32 // revision of the last endpoint list
	instances     map[uint16]*simulatedInstance
	instanceOrder []uint16 // instances in the order of their events
	requests      map[uint32]*simulatedRequest
	lastRequestID uint32
	pending       []futureEvent // future events, ordered by time and then by sequence number
	scheduled     int           // number of events scheduled so far
	actionCounts  map[byte]int  // number of actions by code
	eventCounts   map[byte]int  // number of events by code
	logText       []byte        // texts of the log lines
	otherBytes    []byte        // bytes of the replies without the log lines' texts
}

// simulatedInstance is a simulated node.
type simulatedInstance struct {
	settings        string
	mustRequestList bool // true if the instance gets endpoint lists only after it requests them
	nodeNumber      uint32
}

// simulatedServer is a simulated app server.
type simulatedServer struct {
	id                uint32
	zone              byte
	state             byte   // code of the endpoint state
	started           uint64 // simulated time of the last start, µs; 0 for a start before the simulation
	meanServiceMicros uint64
	down              bool // true if connects fail
}

// simulatedRequest is a client's request.
type simulatedRequest struct {
	instance  uint16
	deadline  uint64 // simulated time, µs
	attempts  int    // number of attempts so far
	closed    bool   // true after the final response or a disconnect of the client
	streaming bool   // true if an attempt reports the start of its response
}

// futureEvent is a scheduled event of one instance.
type futureEvent struct {
	at       uint64 // simulated time, µs
	sequence int
	instance uint16
	records  func() [][]byte // returns the event's records when it is due
}

// schedule adds a future event of an instance at a simulated time in µs.
func (sim *simulator) schedule(at uint64, instance uint16, records func() [][]byte) {
	sim.scheduled++
	e := futureEvent{at, sim.scheduled, instance, records}
	i, _ := slices.BinarySearchFunc(sim.pending, e, func(a, b futureEvent) int {
		if a.at != b.at {
			return int(int64(a.at) - int64(b.at))
		}
		return a.sequence - b.sequence
	})
	sim.pending = slices.Insert(sim.pending, i, e)
}

// event returns an event record and counts it.
func (sim *simulator) event(code byte, fields ...any) []byte {
	sim.eventCounts[code]++
	return record(code, fields...)
}

// listRecord returns an endpoint list of a kind with the given servers.
func (sim *simulator) listRecord(instance uint16, kind byte, servers ...simulatedServer) []byte {
	sim.listRevision++
	fields := []any{instance, sim.listRevision, kind, uint32(len(servers))}
	for _, s := range servers {
		fields = append(fields, s.id, s.zone, uint16(s.id%3), uint16(s.id%5), s.state, float32(1+float32(s.id%2)), s.started)
	}
	return sim.event(codeEndpointList, fields...)
}

// startRecords returns the start of an instance and its cached endpoint list.
func (sim *simulator) startRecords(instance uint16) [][]byte {
	in := sim.instances[instance]
	return [][]byte{
		sim.event(codeInstanceStarted, instance, sim.rng.Uint64(), uint32(len(in.settings)), in.settings),
		sim.listRecord(instance, 1, sim.servers...),
	}
}

// requestRecord returns a request of a random class and customer. Some clients disconnect early.
func (sim *simulator) requestRecord(instance uint16) []byte {
	sim.lastRequestID++
	id, timeout := sim.lastRequestID, uint32(100000+sim.rng.IntN(500000))
	class := byte(sim.rng.IntN(3))
	sim.requests[id] = &simulatedRequest{instance: instance, deadline: sim.now + uint64(timeout), streaming: class == 2}
	customer := uint64(1 + sim.rng.IntN(12))
	if sim.rng.IntN(12) == 0 { // the client disconnects early
		sim.schedule(sim.now+uint64(timeout)/3, instance, func() [][]byte {
			if sim.requests[id].closed {
				return nil
			}
			sim.requests[id].closed = true
			return [][]byte{sim.event(codeClientGone, instance, id)}
		})
	}
	return sim.event(codeRequest, instance, id, class, uint32(customer%3), customer, timeout, float32(1+customer%2),
		float32(2), float32(0), byte(2*sim.rng.IntN(2)))
}

// forward carries out an attempt at a server, with a timeout in µs. The attempt succeeds, fails or is slow at random.
func (sim *simulator) forward(instance uint16, id, timeout, server uint32) {
	request := sim.requests[id]
	attempt := byte(request.attempts)
	request.attempts++
	i := slices.IndexFunc(sim.servers, func(s simulatedServer) bool { return s.id == server })
	s := sim.servers[i]
	took := s.meanServiceMicros/2 + sim.rng.Uint64N(s.meanServiceMicros)
	outcome, load := uint16(0), []float32{float32(request.attempts), 0.5}
	switch draw := sim.rng.IntN(40); {
	case s.down:
		outcome, took, load = 252, 2000, nil
	case draw == 0:
		outcome = 255
	case draw == 1:
		outcome, took = 254, 1500
	case draw == 2:
		outcome, load = 251, nil
	case draw < 6:
		took += 250000
	}
	if timeout > 0 && took > uint64(timeout) {
		outcome, took, load = 253, uint64(timeout), nil
	}
	if outcome == 0 && request.streaming {
		sim.schedule(sim.now+took/2, instance, func() [][]byte {
			if request.closed {
				return nil
			}
			return [][]byte{sim.event(codeResponseStarted, instance, id, attempt, server, uint32(took/2))}
		})
	}
	sent := sim.now
	sim.schedule(sim.now+took, instance, func() [][]byte {
		if outcome == 0 {
			request.closed = true
		}
		final := byte(0)
		if request.closed {
			final = 1
		}
		units := uint16(0)
		if outcome == 0 {
			units = uint16(1 + attempt)
		}
		return [][]byte{sim.event(codeAttemptEnded, instance, id, attempt, server, outcome, uint32(sim.now-sent), final, uint16(0), units,
			byte(len(load)), load)}
	})
}

// applyReply carries out the actions of a reply.
func (sim *simulator) applyReply(t *testing.T, reply []byte) {
	t.Helper()
	le := binary.LittleEndian
	count := int(le.Uint32(reply[4:]))
	b := reply[8:]
	sim.otherBytes = append(sim.otherBytes, reply[4:8]...)
	for ; len(b) > 0; count-- {
		code, size := b[0], int(le.Uint32(b[1:]))
		f := b[5 : 5+size]
		if code == codeLog {
			sim.logText = append(append(sim.logText, f[4:]...), '\n')
			sim.otherBytes = append(sim.otherBytes, code)
		} else {
			sim.otherBytes = append(sim.otherBytes, b[:5+size]...)
		}
		b = b[5+size:]
		sim.actionCounts[code]++
		instance := le.Uint16(f)
		switch code {
		case codeForward:
			sim.forward(instance, le.Uint32(f[2:]), le.Uint32(f[6:]), le.Uint32(f[10:]))
		case codeReject, codeFail:
			sim.requests[le.Uint32(f[2:])].closed = true
		case codeSendPeerMessage:
			from, text := sim.instances[instance].nodeNumber, slices.Clone(f[8:])
			to := le.Uint32(f[2:])
			for _, receiver := range sim.instanceOrder {
				if in := sim.instances[receiver]; receiver != instance && (to == 1<<32-1 || to == in.nodeNumber) {
					sim.schedule(sim.now+3000, receiver, func() [][]byte {
						return [][]byte{sim.event(codePeerMessage, receiver, from, uint16(len(text)), text)}
					})
				}
			}
		case codeWatchEndpoints:
			failed := sim.rng.IntN(2) == 0
			sim.schedule(sim.now+5000, instance, func() [][]byte {
				if failed {
					return [][]byte{sim.listRecord(instance, 2)}
				}
				return [][]byte{sim.listRecord(instance, 0, sim.servers...)}
			})
		case codeFault:
			t.Fatalf("the adapter reported the fault %q, want none", f[4:])
		}
	}
	if count != 0 {
		t.Fatalf("the reply has %d fewer actions than its header states, want 0", count)
	}
}

// changeServer changes a server and sends the change to the instances that do not have to request lists.
func (sim *simulator) changeServer(i int, f func(*simulatedServer)) {
	f(&sim.servers[i])
	for _, instance := range sim.instanceOrder {
		if !sim.instances[instance].mustRequestList {
			sim.schedule(sim.now+10000, instance, func() [][]byte { return [][]byte{sim.listRecord(instance, 3, sim.servers[i])} })
		}
	}
}

// simulatorSettings are the settings that all instances share: three classes and three plans.
const simulatorSettings = "services.count=3\nservices.0.slo=200000\nservices.0.semantics=idempotent\nservices.0.group=all\n" +
	"services.0.window=900000\nservices.1.slo=300000\nservices.1.semantics=deduplicated\nservices.1.group=all\n" +
	"services.1.window=500000\nservices.2.slo=400000\nservices.2.semantics=at_most_once\nservices.2.stream=true\n" +
	"tiers_of_service.count=3\ntiers_of_service.0.units_per_s=20\ntiers_of_service.0.depth=30\n" +
	"tiers_of_service.1.max_out=4\ntiers_of_service.2.units_per_s=40\ntiers_of_service.2.depth=60\n" +
	"tiers_of_service.2.hard_rate=15\ntiers_of_service.2.never_over_depth=40\n" +
	"tick=4000\nlimits.attempts_cap=3\nlimits.second_copies=true\nlimits.cancel=true\nlimits.probes=true\n" +
	"limits.peers=true\nlimits.retry_after=true\nlimits.max_retry_after=2000000\nlimits.conn_idle=15000000\n" +
	"limits.connect_timeout=20000\nsafety.cold=4000000\nsafety.cold_from=0.25\nsafety.fall_multiple=3\n" +
	"safety.tip_after=1000000\nsafety.drain_grace=250000\nsafety.ask_within=2000000\nspecifics.peer_in_per_s=40\n" +
	"specifics.largest=2\nspecifics.trued_up=true\nfeedback.columns=rif,busy\n"

// newSimulator returns a simulator with three instances and eight servers.
func newSimulator() *simulator {
	sim := &simulator{
		rng: rand.New(rand.NewPCG(37, 1)), now: 7_000_000_000, instances: map[uint16]*simulatedInstance{},
		requests: map[uint32]*simulatedRequest{}, actionCounts: map[byte]int{}, eventCounts: map[byte]int{}, instanceOrder: []uint16{3, 5, 9},
	}
	for i, instance := range sim.instanceOrder {
		mode := "automatic"
		if instance == 9 {
			mode = "subscribe"
		}
		sim.instances[instance] = &simulatedInstance{
			nodeNumber: uint32(i), mustRequestList: instance == 9,
			settings: fmt.Sprintf("%sreplicas_of_me=3\nslot_no=%d\nregistry_mode=%s\n", simulatorSettings, i, mode),
		}
	}
	for i := range 8 {
		sim.servers = append(sim.servers, simulatedServer{id: uint32(1000 + 37*i), zone: byte(i % 3), state: 1, meanServiceMicros: 20000 + 5000*uint64(i)})
	}
	return sim
}

// step returns the event records of the next 4 ms. k is the number of the step.
func (sim *simulator) step(k int) (body []byte) {
	add := func(records ...[]byte) {
		for _, r := range records {
			body = append(body, r...)
		}
	}
	sim.now += 4000
	if k == 0 {
		for _, instance := range sim.instanceOrder {
			add(sim.startRecords(instance)...)
		}
	}
	for len(sim.pending) > 0 && sim.pending[0].at <= sim.now {
		e := sim.pending[0]
		sim.pending = sim.pending[1:]
		add(e.records()...)
	}
	sim.changeFleet(k)
	add(sim.restartInstance(k)...)
	add(sim.unsolicitedResults(k)...)
	add(sim.trafficRecords(k)...)
	return body
}

// changeFleet makes servers fail, drain, restart and terminate at fixed steps.
func (sim *simulator) changeFleet(k int) {
	switch k {
	case 300:
		sim.changeServer(1, func(s *simulatedServer) { s.down = true })
	case 500:
		sim.changeServer(2, func(s *simulatedServer) { s.state = 0 })
	case 650:
		sim.changeServer(1, func(s *simulatedServer) { s.down, s.started = false, sim.now })
	case 800:
		sim.changeServer(2, func(s *simulatedServer) { s.state = 3 })
	}
}

// restartInstance kills an instance at a fixed step and starts it again. It drops the instance's future events.
func (sim *simulator) restartInstance(k int) [][]byte {
	if k != 900 {
		return nil
	}
	killed := sim.event(codeInstanceKilled, uint16(5))
	sim.pending = slices.DeleteFunc(sim.pending, func(e futureEvent) bool { return e.instance == 5 })
	return append([][]byte{killed}, sim.startRecords(5)...)
}

// unsolicitedResults returns results of actions that the adapter did not send: counts and health checks.
func (sim *simulator) unsolicitedResults(k int) (records [][]byte) {
	if k != 1000 {
		return nil
	}
	for _, instance := range sim.instanceOrder {
		records = append(records, sim.event(codeCountAdded, instance, uint64(77), uint16(0), float32(4), uint32(9)),
			sim.event(codeHealthChecked, instance, sim.servers[0].id, uint16(0), uint32(900), byte(2), float32(1), float32(0.25)),
			sim.event(codeHealthChecked, instance, sim.servers[1].id, uint16(252), uint32(900), byte(0)))
	}
	return records
}

// trafficRecords returns clients' requests and timer events. Each instance gets 0.6 requests per step on average, or 5 in
// steps 700 to 1099, and a timer event at every third step.
func (sim *simulator) trafficRecords(k int) (records [][]byte) {
	rate := 0.6
	if k >= 700 && k < 1100 {
		rate = 5
	}
	for _, instance := range sim.instanceOrder {
		for n := rate + sim.rng.Float64(); n >= 1; n-- {
			records = append(records, sim.requestRecord(instance))
		}
		if k%3 == int(instance)%3 {
			records = append(records, sim.event(codeTimerFired, instance, uint32(0)))
		}
	}
	return records
}
