package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulator is a small simulator for the adapter. It draws clients' requests and app servers' responses from a seed, and
// carries out the actions of the adapter's replies. It uses bytes only, not simproto.
type simulator struct {
	rng      *rand.Rand
	now      uint64 // µs
	servers  []simulatedServer
	list     uint32 // revision of the last list
	inst     map[uint16]*simulatedInstance
	order    []uint16
	requests map[uint32]*simulatedRequest
	nextID   uint32
	due      []futureEvent // future events, by time and then by the order in which they were drawn
	drawn    int
	actions  map[byte]int
	events   map[byte]int
	notes    []byte // texts of log lines
	rest     []byte // all other bytes of the replies
}

type simulatedInstance struct {
	settings string
	asks     bool // whether the instance gets lists only after it asks for them
	number   uint32
}

type simulatedServer struct {
	id      uint32
	zone    byte
	state   byte
	started uint64
	takes   uint64 // mean service time, µs
	down    bool
}

type simulatedRequest struct {
	inst   uint16
	until  uint64
	sends  int
	closed bool
	stream bool
}

type futureEvent struct {
	at    uint64 // µs
	drawn int
	inst  uint16
	do    func() [][]byte // returns the event's records
}

func (sim *simulator) later(at uint64, inst uint16, do func() [][]byte) {
	sim.drawn++
	e := futureEvent{at, sim.drawn, inst, do}
	i, _ := slices.BinarySearchFunc(sim.due, e, func(a, b futureEvent) int {
		if a.at != b.at {
			return int(int64(a.at) - int64(b.at))
		}
		return a.drawn - b.drawn
	})
	sim.due = slices.Insert(sim.due, i, e)
}

func (sim *simulator) event(code byte, fields ...any) []byte {
	sim.events[code]++
	return record(code, fields...)
}

func (sim *simulator) listRecord(inst uint16, how byte, servers ...simulatedServer) []byte {
	sim.list++
	fields := []any{inst, sim.list, how, uint32(len(servers))}
	for _, s := range servers {
		fields = append(fields, s.id, s.zone, uint16(s.id%3), uint16(s.id%5), s.state, float32(1+float32(s.id%2)), s.started)
	}
	return sim.event(codeEndpointList, fields...)
}

func (sim *simulator) beginRecords(inst uint16) [][]byte {
	in := sim.inst[inst]
	return [][]byte{
		sim.event(codeInstanceStarted, inst, sim.rng.Uint64(), uint32(len(in.settings)), in.settings),
		sim.listRecord(inst, 1, sim.servers...),
	}
}

func (sim *simulator) requestRecord(inst uint16) []byte {
	sim.nextID++
	id, left := sim.nextID, uint32(100000+sim.rng.IntN(500000))
	class := byte(sim.rng.IntN(3))
	sim.requests[id] = &simulatedRequest{inst: inst, until: sim.now + uint64(left), stream: class == 2}
	customer := uint64(1 + sim.rng.IntN(12))
	if sim.rng.IntN(12) == 0 { // the client disconnects early
		sim.later(sim.now+uint64(left)/3, inst, func() [][]byte {
			if sim.requests[id].closed {
				return nil
			}
			sim.requests[id].closed = true
			return [][]byte{sim.event(codeClientGone, inst, id)}
		})
	}
	return sim.event(codeRequest, inst, id, class, uint32(customer%3), customer, left, float32(1+customer%2),
		float32(2), float32(0), byte(2*sim.rng.IntN(2)))
}

// forward carries out an attempt.
func (sim *simulator) forward(inst uint16, id, within, server uint32) {
	q := sim.requests[id]
	hop := byte(q.sends)
	q.sends++
	i := slices.IndexFunc(sim.servers, func(s simulatedServer) bool { return s.id == server })
	s := sim.servers[i]
	took := s.takes/2 + sim.rng.Uint64N(s.takes)
	reason, load := uint16(0), []float32{float32(q.sends), 0.5}
	switch draw := sim.rng.IntN(40); {
	case s.down:
		reason, took, load = 252, 2000, nil
	case draw == 0:
		reason = 255
	case draw == 1:
		reason, took = 254, 1500
	case draw == 2:
		reason, load = 251, nil
	case draw < 6:
		took += 250000
	}
	if within > 0 && took > uint64(within) {
		reason, took, load = 253, uint64(within), nil
	}
	if reason == 0 && q.stream {
		sim.later(sim.now+took/2, inst, func() [][]byte {
			if q.closed {
				return nil
			}
			return [][]byte{sim.event(codeResponseStarted, inst, id, hop, server, uint32(took/2))}
		})
	}
	sent := sim.now
	sim.later(sim.now+took, inst, func() [][]byte {
		if reason == 0 {
			q.closed = true
		}
		settled := byte(0)
		if q.closed {
			settled = 1
		}
		units := uint16(0)
		if reason == 0 {
			units = uint16(1 + hop)
		}
		return [][]byte{sim.event(codeAttemptEnded, inst, id, hop, server, reason, uint32(sim.now-sent), settled, uint16(0), units,
			byte(len(load)), load)}
	})
}

// act carries out the actions of a reply.
func (sim *simulator) act(t *testing.T, reply []byte) {
	t.Helper()
	le := binary.LittleEndian
	count := int(le.Uint32(reply[4:]))
	b := reply[8:]
	sim.rest = append(sim.rest, reply[4:8]...)
	for ; len(b) > 0; count-- {
		code, size := b[0], int(le.Uint32(b[1:]))
		f := b[5 : 5+size]
		if code == codeLog {
			sim.notes = append(append(sim.notes, f[4:]...), '\n')
			sim.rest = append(sim.rest, code)
		} else {
			sim.rest = append(sim.rest, b[:5+size]...)
		}
		b = b[5+size:]
		sim.actions[code]++
		inst := le.Uint16(f)
		switch code {
		case codeForward:
			sim.forward(inst, le.Uint32(f[2:]), le.Uint32(f[6:]), le.Uint32(f[10:]))
		case codeReject, codeFail:
			sim.requests[le.Uint32(f[2:])].closed = true
		case codeSendPeerMessage:
			from, text := sim.inst[inst].number, slices.Clone(f[8:])
			to := le.Uint32(f[2:])
			for _, k := range sim.order {
				if in := sim.inst[k]; k != inst && (to == 1<<32-1 || to == in.number) {
					sim.later(sim.now+3000, k, func() [][]byte {
						return [][]byte{sim.event(codePeerMessage, k, from, uint16(len(text)), text)}
					})
				}
			}
		case codeWatchEndpoints:
			failed := sim.rng.IntN(2) == 0
			sim.later(sim.now+5000, inst, func() [][]byte {
				if failed {
					return [][]byte{sim.listRecord(inst, 2)}
				}
				return [][]byte{sim.listRecord(inst, 0, sim.servers...)}
			})
		case codeFault:
			t.Fatalf("fault: %s", f[4:])
		}
	}
	if count != 0 {
		t.Fatalf("%d records are missing in the reply", count)
	}
}

// change changes a server, and sends the change to the instances that watch discovery.
func (sim *simulator) change(i int, f func(*simulatedServer)) {
	f(&sim.servers[i])
	for _, k := range sim.order {
		if !sim.inst[k].asks {
			sim.later(sim.now+10000, k, func() [][]byte { return [][]byte{sim.listRecord(k, 3, sim.servers[i])} })
		}
	}
}

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

func newSimulator() *simulator {
	sim := &simulator{
		rng: rand.New(rand.NewPCG(37, 1)), now: 7_000_000_000, inst: map[uint16]*simulatedInstance{},
		requests: map[uint32]*simulatedRequest{}, actions: map[byte]int{}, events: map[byte]int{}, order: []uint16{3, 5, 9},
	}
	for i, k := range sim.order {
		mode := "automatic"
		if k == 9 {
			mode = "subscribe"
		}
		sim.inst[k] = &simulatedInstance{
			number: uint32(i), asks: k == 9,
			settings: fmt.Sprintf("%sreplicas_of_me=3\nslot_no=%d\nregistry_mode=%s\n", simulatorSettings, i, mode),
		}
	}
	for i := range 8 {
		sim.servers = append(sim.servers, simulatedServer{id: uint32(1000 + 37*i), zone: byte(i % 3), state: 1, takes: 20000 + 5000*uint64(i)})
	}
	return sim
}

// step returns the records of the next 4 ms. k is the number of the step.
func (sim *simulator) step(k int) (body []byte) {
	add := func(records ...[]byte) {
		for _, r := range records {
			body = append(body, r...)
		}
	}
	sim.now += 4000
	if k == 0 {
		for _, inst := range sim.order {
			add(sim.beginRecords(inst)...)
		}
	}
	for len(sim.due) > 0 && sim.due[0].at <= sim.now {
		e := sim.due[0]
		sim.due = sim.due[1:]
		add(e.do()...)
	}
	sim.disturb(k)
	add(sim.restart(k)...)
	add(sim.unasked(k)...)
	add(sim.traffic(k)...)
	return body
}

// disturb changes the fleet at some steps.
func (sim *simulator) disturb(k int) {
	switch k {
	case 300:
		sim.change(1, func(s *simulatedServer) { s.down = true })
	case 500:
		sim.change(2, func(s *simulatedServer) { s.state = 0 })
	case 650:
		sim.change(1, func(s *simulatedServer) { s.down, s.started = false, sim.now })
	case 800:
		sim.change(2, func(s *simulatedServer) { s.state = 3 })
	}
}

// restart kills an instance and starts it again. Its future events are dropped.
func (sim *simulator) restart(k int) [][]byte {
	if k != 900 {
		return nil
	}
	killed := sim.event(codeInstanceKilled, uint16(5))
	sim.due = slices.DeleteFunc(sim.due, func(e futureEvent) bool { return e.inst == 5 })
	return append([][]byte{killed}, sim.beginRecords(5)...)
}

// unasked returns results of actions that the adapter does not send: counts and health checks.
func (sim *simulator) unasked(k int) (records [][]byte) {
	if k != 1000 {
		return nil
	}
	for _, inst := range sim.order {
		records = append(records, sim.event(codeCountAdded, inst, uint64(77), uint16(0), float32(4), uint32(9)),
			sim.event(codeHealthChecked, inst, sim.servers[0].id, uint16(0), uint32(900), byte(2), float32(1), float32(0.25)),
			sim.event(codeHealthChecked, inst, sim.servers[1].id, uint16(252), uint32(900), byte(0)))
	}
	return records
}

// traffic returns clients' requests, with an overload between two steps, and expired timers.
func (sim *simulator) traffic(k int) (records [][]byte) {
	rate := 0.6
	if k >= 700 && k < 1100 {
		rate = 5
	}
	for _, inst := range sim.order {
		for n := rate + sim.rng.Float64(); n >= 1; n-- {
			records = append(records, sim.requestRecord(inst))
		}
		if k%3 == int(inst)%3 {
			records = append(records, sim.event(codeTimerFired, inst, uint32(0)))
		}
	}
	return records
}
