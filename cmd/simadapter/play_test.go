package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// play is a small simulator at the adapter's other side: it draws clients' requests and app servers' answers from a
// seed and plays what the adapter replies. It knows bytes only.
type play struct {
	rng      *rand.Rand
	now      uint64 // µs
	servers  []playServer
	list     uint32 // number of the last list
	inst     map[uint16]*playInst
	order    []uint16
	requests map[uint32]*playRequest
	nextID   uint32
	due      []playEvent // to come, in order of time, then of drawing
	drawn    int
	actions  map[byte]int
	events   map[byte]int
	notes    []byte // the texts of note_down: a log, whose words may change
	rest     []byte // everything else
}

type playInst struct {
	settings string
	asks     bool // is told of servers by its own asking only
	number   uint32
}

type playServer struct {
	id      uint32
	zone    byte
	state   byte
	started uint64
	takes   uint64 // µs
	down    bool
}

type playRequest struct {
	inst   uint16
	until  uint64
	sends  int
	closed bool
	stream bool
}

type playEvent struct {
	at    uint64
	drawn int
	inst  uint16
	do    func() [][]byte // its records at that time
}

func (p *play) later(at uint64, inst uint16, do func() [][]byte) {
	p.drawn++
	e := playEvent{at, p.drawn, inst, do}
	i, _ := slices.BinarySearchFunc(p.due, e, func(a, b playEvent) int {
		if a.at != b.at {
			return int(int64(a.at) - int64(b.at))
		}
		return a.drawn - b.drawn
	})
	p.due = slices.Insert(p.due, i, e)
}

func (p *play) event(code byte, fields ...any) []byte {
	p.events[code]++
	return record(code, fields...)
}

func (p *play) listRecord(inst uint16, how byte, servers ...playServer) []byte {
	p.list++
	fields := []any{inst, p.list, how, uint32(len(servers))}
	for _, s := range servers {
		fields = append(fields, s.id, s.zone, uint16(s.id%3), uint16(s.id%5), s.state, float32(1+float32(s.id%2)), s.started)
	}
	return p.event(codeFleet, fields...)
}

func (p *play) beginRecords(inst uint16) [][]byte {
	in := p.inst[inst]
	return [][]byte{
		p.event(codeBegin, inst, p.rng.Uint64(), uint32(len(in.settings)), in.settings),
		p.listRecord(inst, 1, p.servers...),
	}
}

func (p *play) requestRecord(inst uint16) []byte {
	p.nextID++
	id, left := p.nextID, uint32(100000+p.rng.IntN(500000))
	class := byte(p.rng.IntN(3))
	p.requests[id] = &playRequest{inst: inst, until: p.now + uint64(left), stream: class == 2}
	customer := uint64(1 + p.rng.IntN(12))
	if p.rng.IntN(12) == 0 { // its client leaves early
		p.later(p.now+uint64(left)/3, inst, func() [][]byte {
			if p.requests[id].closed {
				return nil
			}
			p.requests[id].closed = true
			return [][]byte{p.event(codeLapsed, inst, id)}
		})
	}
	return p.event(codeRequest, inst, id, class, uint32(customer%3), customer, left, float32(1+customer%2),
		float32(2), float32(0), byte(2*p.rng.IntN(2)))
}

// passOn plays one attempt.
func (p *play) passOn(inst uint16, id, within, server uint32) {
	q := p.requests[id]
	hop := byte(q.sends)
	q.sends++
	i := slices.IndexFunc(p.servers, func(s playServer) bool { return s.id == server })
	s := p.servers[i]
	took := s.takes/2 + p.rng.Uint64N(s.takes)
	reason, load := uint16(0), []float32{float32(q.sends), 0.5}
	switch draw := p.rng.IntN(40); {
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
		p.later(p.now+took/2, inst, func() [][]byte {
			if q.closed {
				return nil
			}
			return [][]byte{p.event(codeStarted, inst, id, hop, server, uint32(took/2))}
		})
	}
	sent := p.now
	p.later(p.now+took, inst, func() [][]byte {
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
		return [][]byte{p.event(codeEnded, inst, id, hop, server, reason, uint32(p.now-sent), settled, uint16(0), units,
			byte(len(load)), load)}
	})
}

// act plays the actions of a reply.
func (p *play) act(t *testing.T, reply []byte) {
	t.Helper()
	le := binary.LittleEndian
	count := int(le.Uint32(reply[4:]))
	b := reply[8:]
	p.rest = append(p.rest, reply[4:8]...)
	for ; len(b) > 0; count-- {
		code, size := b[0], int(le.Uint32(b[1:]))
		f := b[5 : 5+size]
		if code == codeNoteDown {
			p.notes = append(append(p.notes, f[4:]...), '\n')
			p.rest = append(p.rest, code)
		} else {
			p.rest = append(p.rest, b[:5+size]...)
		}
		b = b[5+size:]
		p.actions[code]++
		inst := le.Uint16(f)
		switch code {
		case codePassOn:
			p.passOn(inst, le.Uint32(f[2:]), le.Uint32(f[6:]), le.Uint32(f[10:]))
		case codeRefuse, codeSurrender:
			p.requests[le.Uint32(f[2:])].closed = true
		case codeWritePeer:
			from, text := p.inst[inst].number, slices.Clone(f[8:])
			to := le.Uint32(f[2:])
			for _, k := range p.order {
				if in := p.inst[k]; k != inst && (to == 1<<32-1 || to == in.number) {
					p.later(p.now+3000, k, func() [][]byte {
						return [][]byte{p.event(codePeer, k, from, uint16(len(text)), text)}
					})
				}
			}
		case codeStream:
			failed := p.rng.IntN(2) == 0
			p.later(p.now+5000, inst, func() [][]byte {
				if failed {
					return [][]byte{p.listRecord(inst, 2)}
				}
				return [][]byte{p.listRecord(inst, 0, p.servers...)}
			})
		case codeFault:
			t.Fatalf("fault: %s", f[4:])
		}
	}
	if count != 0 {
		t.Fatalf("%d records fewer than the reply's head says", count)
	}
}

// change has discovery tell of one server at the instances that are told unasked.
func (p *play) change(i int, f func(*playServer)) {
	f(&p.servers[i])
	for _, k := range p.order {
		if !p.inst[k].asks {
			p.later(p.now+10000, k, func() [][]byte { return [][]byte{p.listRecord(k, 3, p.servers[i])} })
		}
	}
}

const playSettings = "services.count=3\nservices.0.slo=200000\nservices.0.semantics=idempotent\nservices.0.group=all\n" +
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

func newPlay() *play {
	p := &play{
		rng: rand.New(rand.NewPCG(37, 1)), now: 7_000_000_000, inst: map[uint16]*playInst{},
		requests: map[uint32]*playRequest{}, actions: map[byte]int{}, events: map[byte]int{}, order: []uint16{3, 5, 9},
	}
	for i, k := range p.order {
		mode := "automatic"
		if k == 9 {
			mode = "subscribe"
		}
		p.inst[k] = &playInst{
			number: uint32(i), asks: k == 9,
			settings: fmt.Sprintf("%sreplicas_of_me=3\nslot_no=%d\nregistry_mode=%s\n", playSettings, i, mode),
		}
	}
	for i := range 8 {
		p.servers = append(p.servers, playServer{id: uint32(1000 + 37*i), zone: byte(i % 3), state: 1, takes: 20000 + 5000*uint64(i)})
	}
	return p
}

// step gives the records of the next 4 ms.
func (p *play) step(k int) (body []byte) {
	add := func(records ...[]byte) {
		for _, r := range records {
			body = append(body, r...)
		}
	}
	p.now += 4000
	if k == 0 {
		for _, inst := range p.order {
			add(p.beginRecords(inst)...)
		}
	}
	for len(p.due) > 0 && p.due[0].at <= p.now {
		e := p.due[0]
		p.due = p.due[1:]
		add(e.do()...)
	}
	p.disturb(k)
	add(p.restart(k)...)
	add(p.unasked(k)...)
	add(p.traffic(k)...)
	return body
}

// disturb changes the fleet at set steps.
func (p *play) disturb(k int) {
	switch k {
	case 300:
		p.change(1, func(s *playServer) { s.down = true })
	case 500:
		p.change(2, func(s *playServer) { s.state = 0 })
	case 650:
		p.change(1, func(s *playServer) { s.down, s.started = false, p.now })
	case 800:
		p.change(2, func(s *playServer) { s.state = 3 })
	}
}

// restart ends one instance and starts it again: what it had in flight is void.
func (p *play) restart(k int) [][]byte {
	if k != 900 {
		return nil
	}
	killed := p.event(codeKill, uint16(5))
	p.due = slices.DeleteFunc(p.due, func(e playEvent) bool { return e.inst == 5 })
	return append([][]byte{killed}, p.beginRecords(5)...)
}

// unasked are answers to what the adapter never asks for: counts and health checks.
func (p *play) unasked(k int) (records [][]byte) {
	if k != 1000 {
		return nil
	}
	for _, inst := range p.order {
		records = append(records, p.event(codeTallied, inst, uint64(77), uint16(0), float32(4), uint32(9)),
			p.event(codeEcho, inst, p.servers[0].id, uint16(0), uint32(900), byte(2), float32(1), float32(0.25)),
			p.event(codeEcho, inst, p.servers[1].id, uint16(252), uint32(900), byte(0)))
	}
	return records
}

// traffic are clients' requests, many for a while, and timers.
func (p *play) traffic(k int) (records [][]byte) {
	rate := 0.6
	if k >= 700 && k < 1100 {
		rate = 5
	}
	for _, inst := range p.order {
		for n := rate + p.rng.Float64(); n >= 1; n-- {
			records = append(records, p.requestRecord(inst))
		}
		if k%3 == int(inst)%3 {
			records = append(records, p.event(codeElapsed, inst, uint32(0)))
		}
	}
	return records
}
