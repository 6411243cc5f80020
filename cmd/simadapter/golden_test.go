package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cherrygap/internal/decision"
	"cherrygap/internal/simproto"
)

// The codes of the protocol page, written out: a renumbered constant must show.
const (
	codeRequest, codeFleet, codePeer, codeLapsed, codeTallied, codeStarted = 1, 2, 3, 4, 5, 6
	codeEnded, codeKill, codeEcho, codeElapsed, codeBegin                  = 7, 8, 9, 10, 11

	codeRefuse, codeRecall, codeWritePeer, codeNoteDown, codeStream = 1, 2, 3, 4, 6
	codeFault, codeSurrender, codePassOn, codeSample, codeWakeAt    = 8, 9, 10, 12, 13
)

// fromHex reads hex digits; blanks between them are for the eye.
func fromHex(t *testing.T, s string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// One batch that holds every event code as bytes, and the bytes of the replies: those of the commit that this was
// written on.
func TestEveryEventCode(t *testing.T) {
	const setup = "services.count=1\nservices.0.slo=600000\nservices.0.semantics=idempotent\n" +
		"services.0.stream=true\ntiers_of_service.count=1\ntiers_of_service.0.units_per_s=5\n" +
		"tiers_of_service.0.depth=10\nreplicas_of_me=1\ntick=4000\nlimits.attempts_cap=2\nregistry_mode=subscribe\n"
	begin := hex.EncodeToString(record(codeBegin, uint16(3), uint64(9), uint32(len(setup)), setup))
	batches := []string{
		"", // empty
		begin +
			// two servers ready, one drains
			"02 4d000000 0300 01000000 01 03000000" +
			"4d000000 00 0000 0000 01 0000803f 0000000000000000" +
			"4e000000 01 0100 0200 01 00000040 00ca9a3b00000000" +
			"4f000000 02 0200 0300 00 0000803f 0000000000000000",
		"01 24000000 0300 f4010000 00 00000000 0300000000000000 a0bb0d00 0000803f 0000803f 00000000 00" +
			"01 24000000 0300 f5010000 00 00000000 0300000000000000 a0bb0d00 0000803f 0000803f 00000000 02" +
			"01 24000000 0300 f6010000 00 00000000 0400000000000000 a0bb0d00 0000803f 0000803f 00000000 04" +
			"0a 06000000 0300 00000000",
		"06 0f000000 0300 f4010000 00 4d000000 22240000" + // started
			"07 1f000000 0300 f5010000 00 4e000000 ff00 44480000 00 0000 0000 02 0000803f 00000040" + // an error
			"07 17000000 0300 f6010000 00 4d000000 0000 44480000 01 5600 0300 00", // done, with the true units
		"04 06000000 0300 f5010000" + // lapsed
			"03 0a000000 0300 01000000 0200 c800" + // a peer's message
			"05 14000000 0300 90f6890000000000 0000 00001842 66080000" + // tallied
			"09 11000000 0300 4d000000 0000 66080000 01 0000803f" + // echo
			"02 0b000000 0300 02000000 02 00000000" + // discovery failed
			"0a 06000000 0300 00000000",
		"02 21000000 0300 02000000 03 01000000 4e000000 01 0100 0200 03 00000040 0000000000000000" + // one is gone
			"02 0b000000 0300 03000000 00 00000000" + // and now all
			"01 24000000 0300 f7010000 00 00000000 0400000000000000 a0bb0d00 0000803f 0000803f 00000000 00",
		"08 02000000 0300",
	}
	var in bytes.Buffer
	for i, b := range batches {
		in.Write(frame(1000000000+uint64(i)*4000, fromHex(t, b)))
	}
	var out bytes.Buffer
	if err := run(&in, &out); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"00000000 00000000",
		"17000000 02000000  06 03000000 0300 01  0d 0a000000 0300 204e0000 00000000",
		"39000000 03000000  0a 0e000000 0300 f4010000 f0840d00 4e000000" +
			"0a 0e000000 0300 f5010000 f0840d00 4e000000  0a 0e000000 0300 f6010000 f0840d00 4d000000",
		"0f000000 01000000  01 0a000000 0300 f5010000 00000000",
		"00000000 00000000",
		"0f000000 01000000  01 0a000000 0300 f7010000 00000000",
		"00000000 00000000",
	}
	compareReplies(t, out.Bytes(), want)
}

// compareReplies cuts a stream of replies and compares each with hex digits.
func compareReplies(t *testing.T, out []byte, want []string) {
	t.Helper()
	var got []string
	for len(out) >= 8 {
		size := int(binary.LittleEndian.Uint32(out))
		got = append(got, hex.EncodeToString(out[:8+size]))
		out = out[8+size:]
	}
	for i, w := range want {
		want[i] = strings.Join(strings.Fields(w), "")
	}
	if len(out) != 0 || !slices.Equal(got, want) {
		t.Errorf("%d bytes too many, replies:\n%s", len(out), strings.Join(got, "\n"))
	}
}

// Each decision that the module can ask for, as the bytes of its action.
func TestEveryActionCode(t *testing.T) {
	for _, c := range []struct {
		name     string
		decision decision.Decision
		want     string
	}{
		{"pass_on", decision.Decision{Action: decision.Forward, Request: 0x5d3a91c4, Duration: 800, Server: 0x03124a07}, "0a 0e000000 0300 c4913a5d 80380100 074a1203"},
		{"pass_on, no time left", decision.Decision{Action: decision.Forward, Request: 1, Duration: -1, Server: 2}, "0a 0e000000 0300 01000000 9cffffff 02000000"},
		{"refuse", decision.Decision{Action: decision.Reject, Request: 0x0e6f2b19, Duration: 2500}, "01 0a000000 0300 192b6f0e 90d00300"},
		{"refuse, no advice", decision.Decision{Action: decision.Reject, Request: 0x0e6f2b19}, "01 0a000000 0300 192b6f0e 00000000"},
		{"surrender", decision.Decision{Action: decision.Fail, Request: 0x0e6f2b19, Duration: 7}, "09 06000000 0300 192b6f0e"},
		{"recall", decision.Decision{Action: decision.CancelAttempt, Request: 0x5d3a91c4, Attempt: 3}, "02 07000000 0300 c4913a5d 03"},
		{"wake_at", decision.Decision{Action: decision.SetTimer, Duration: 5000}, "0d 0a000000 0300 20a10700 00000000"},
		{"sample", decision.Decision{Action: decision.HealthCheck, Server: 0x03124a07}, "0c 06000000 0300 074a1203"},
		{"write_peer", decision.Decision{Action: decision.SendPeerMessage, Peer: 4, Payload: []byte("hi 7")}, "03 0c000000 0300 04000000 0400 68692037"},
		{"write_peer, all", decision.Decision{Action: decision.SendPeerMessage, Peer: decision.AllPeers, Payload: []byte("hi 7")}, "03 0c000000 0300 ffffffff 0400 68692037"},
		{"stream_changes", decision.Decision{Action: decision.PollEndpoints}, "06 03000000 0300 01"},
		{"note_down", decision.Decision{Action: decision.LogSummary, Payload: []byte("two servers unknown")}, "04 17000000 0300 1300 74776f207365727665727320756e6b6e6f776e"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d adapter
			d.reply.Reset()
			d.write(3, c.decision)
			want := fromHex(t, c.want)
			want = append(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, uint32(len(want))), 1), want...)
			if got := d.reply.Finish(); !bytes.Equal(got, want) {
				t.Errorf("got %x, want %x", got, want)
			}
		})
	}
}

// A panic of the module is the instance's fault, in words, and the batch goes on.
func TestFaultAction(t *testing.T) {
	var d adapter
	d.reply.Reset()
	d.guard(3, func() { panic("index out of range") })
	want := fromHex(t, "1b000000 01000000 08 16000000 0300 1200 696e646578206f7574206f662072616e6765")
	if got := d.reply.Finish(); !bytes.Equal(got, want) {
		t.Errorf("got %x, want %x", got, want)
	}
}

// The numbers of the page, all of them, those that this adapter sends nothing of too.
func TestCodesOfThePage(t *testing.T) {
	for name, c := range map[string]struct{ got, want int }{
		"request": {simproto.EvRequest, 1}, "fleet": {simproto.EvFleet, 2}, "peer": {simproto.EvPeer, 3}, "lapsed": {simproto.EvLapsed, 4},
		"tallied": {simproto.EvTallied, 5}, "started": {simproto.EvStarted, 6}, "ended": {simproto.EvEnded, 7}, "kill": {simproto.EvKill, 8},
		"echo": {simproto.EvEcho, 9}, "elapsed": {simproto.EvElapsed, 10}, "begin": {simproto.EvBegin, 11},

		"refuse": {simproto.ActRefuse, 1}, "recall": {simproto.ActRecall, 2}, "write_peer": {simproto.ActWritePeer, 3},
		"note_down": {simproto.ActNoteDown, 4}, "reload": {simproto.ActReload, 5}, "stream_changes": {simproto.ActStream, 6},
		"release": {simproto.ActRelease, 7}, "fault": {simproto.ActFault, 8}, "surrender": {simproto.ActSurrender, 9},
		"pass_on": {simproto.ActPassOn, 10}, "post_amount": {simproto.ActPost, 11}, "sample": {simproto.ActSample, 12},
		"wake_at": {simproto.ActWakeAt, 13},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
}

// Outcomes and states as the page numbers them; a code that it doesn't name is an error.
func TestOutcomesAndStates(t *testing.T) {
	for code, want := range map[uint16]decision.Outcome{
		0: decision.Succeeded, 255: decision.Failed, 254: decision.Overloaded, 253: decision.TimedOut,
		252: decision.ConnectFailed, 251: decision.ConnectionReset, 250: decision.Cancelled, 249: decision.NotSent,
	} {
		if got, ok := outcomes[code]; !ok || got != want {
			t.Errorf("outcome %d: %d, %v", code, got, ok)
		}
	}
	for code, want := range map[byte]decision.EndpointState{0: decision.Draining, 1: decision.Ready, 3: decision.Gone} {
		if got, ok := states[code]; !ok || got != want {
			t.Errorf("state %d: %d, %v", code, got, ok)
		}
	}
	for code, want := range map[byte]decision.EndpointListKind{0: decision.FullList, 1: decision.CachedList, 2: decision.PollFailed, 3: decision.ListUpdate} {
		if got, ok := rosterKinds[code]; !ok || got != want {
			t.Errorf("kind of list %d: %d, %v", code, got, ok)
		}
	}
	if len(outcomes) != 8 || len(states) != 3 || len(rosterKinds) != 4 {
		t.Errorf("%d outcomes, %d states, %d kinds of list", len(outcomes), len(states), len(rosterKinds))
	}
}

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
	switch k {
	case 300:
		p.change(1, func(s *playServer) { s.down = true })
	case 500:
		p.change(2, func(s *playServer) { s.state = 0 })
	case 650:
		p.change(1, func(s *playServer) { s.down, s.started = false, p.now })
	case 800:
		p.change(2, func(s *playServer) { s.state = 3 })
	case 900: // one instance ends and comes back: what is out is void
		add(p.event(codeKill, uint16(5)))
		p.due = slices.DeleteFunc(p.due, func(e playEvent) bool { return e.inst == 5 })
		add(p.beginRecords(5)...)
	case 1000:
		for _, inst := range p.order {
			add(p.event(codeTallied, inst, uint64(77), uint16(0), float32(4), uint32(9)))
			add(p.event(codeEcho, inst, p.servers[0].id, uint16(0), uint32(900), byte(2), float32(1), float32(0.25)))
			add(p.event(codeEcho, inst, p.servers[1].id, uint16(252), uint32(900), byte(0)))
		}
	}
	rate := 0.6
	if k >= 700 && k < 1100 {
		rate = 5
	}
	for _, inst := range p.order {
		for n := rate + p.rng.Float64(); n >= 1; n-- {
			add(p.requestRecord(inst))
		}
		if k%3 == int(inst)%3 {
			add(p.event(codeElapsed, inst, uint32(0)))
		}
	}
	return body
}

// A seeded play of three instances over six seconds, with every event code, against a digest of all bytes written.
// The texts of note_down have one of their own: they are a log, whose words may change, and nothing else may.
func TestPlayBytes(t *testing.T) {
	p := newPlay()
	fromTest, toAdapter := io.Pipe()
	fromAdapter, toTest := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := run(fromTest, toTest)
		toTest.CloseWithError(errors.Join(err, io.EOF))
		done <- err
	}()
	for k := range 1500 {
		if _, err := toAdapter.Write(frame(p.now+4000, p.step(k))); err != nil {
			t.Fatal(err)
		}
		head := make([]byte, 8)
		if _, err := io.ReadFull(fromAdapter, head); err != nil {
			t.Fatal(err)
		}
		reply := append(head, make([]byte, binary.LittleEndian.Uint32(head))...)
		if _, err := io.ReadFull(fromAdapter, reply[8:]); err != nil {
			t.Fatal(err)
		}
		p.act(t, reply)
	}
	toAdapter.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for code := byte(1); code <= 11; code++ {
		if p.events[code] == 0 {
			t.Errorf("no event %d was played", code)
		}
	}
	got := fmt.Sprintf("events %v\nactions %v\nbytes %d %x\nnotes %d %x\n", p.events, p.actions, len(p.rest),
		sha256.Sum256(p.rest), len(p.notes), sha256.Sum256(p.notes))
	const want = "events map[1:7982 2:14 3:130 4:20 5:3 6:726 7:2327 8:1 9:6 10:1500 11:4]\n" +
		"actions map[1:5815 2:28 3:65 4:15 6:2 9:57 10:2355 13:2113]\n" +
		"bytes 177446 9848cf58a93e67c576cddc5d41423dfcfcac6771b709e281ffa0dd8f0b9ac724\n" +
		"notes 2231 33b1c25f43e99a4feb7c12c8ea955ba55ed1baedc1c34e2c88437bdd0f693dcd\n"
	if got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
