package healthcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Nodes of different versions share a fleet. Therefore the tests of this file compare every peer message with its expected
// bytes, and every decision with its expected time and order.

// input is a peer message that a node receives.
type input struct {
	at   time.Duration
	from NodeID
	text string // hexadecimal
}

// sends returns the messages that a node sends at a time, each as "receiver:hexadecimal".
func sends(node *Scheduler, at time.Duration) (list []string) {
	for decision, ok := node.Next(at); ok; decision, ok = node.Next(at) {
		if decision.Kind == Send {
			list = append(list, fmt.Sprintf("%d:%x", decision.To, decision.Payload))
		}
	}
	return list
}

var (
	three = Config{Self: 0, Nodes: 3, Seed: 1, ReceiveRate: 40, Interval: 5 * time.Second}
	nine  = Config{Self: 4, Nodes: 9, Seed: 2, ReceiveRate: 40, SendRate: 4096, Interval: 5 * time.Second}
	large = Config{Self: 7, Nodes: 2500, Seed: 3, ReceiveRate: 400, Interval: 5 * time.Second}
)

// wireFormatCases are the messages that a node sends, by the messages that it has received.
var wireFormatCases = []struct {
	name   string
	cfg    Config
	checks []Check
	in     []input
	pulls  []time.Duration // times at which Next is called, after all of in
	want   []string
}{
	{name: "first pings", cfg: three, pulls: []time.Duration{0, 400 * time.Millisecond}, want: []string{
		"1:d00101db052768",
		"2:d00102db052768",
		"1:d00103db052768",
	}},
	{
		name: "a ping of the same view is answered", cfg: three, in: []input{{0, 1, "d00105db052768"}},
		pulls: []time.Duration{0}, want: []string{
			"1:d00205db052768",
		},
	},
	{
		name: "a ping of another view is answered with who is dead", cfg: three,
		in: []input{{0, 1, "d001ac0200000000" + "010a03"}}, pulls: []time.Duration{0}, want: []string{
			"1:d002ac02d69d673203000104010a03",
		},
	},
	{
		name: "suspicions are passed on, the sender's first", cfg: nine,
		in: []input{{0, 1, "d0010700000000" + "010900" + "010502"}}, pulls: []time.Duration{0}, want: []string{
			"1:d00100fa2da101010502010900010502",
			"1:d00207fa2da1010105020300020000010900010502",
		},
	},
	{
		name: "an update of this node's own death is refuted", cfg: nine,
		in: []input{{0, 1, "d0010900000000" + "011205"}}, pulls: []time.Duration{0}, want: []string{
			"1:d00209fa2da1010300020000011006",
		},
	},
	{
		name: "a ping in another's place", cfg: nine,
		in:    []input{{0, 1, "d003ff010000000008"}, {time.Millisecond, 8, "d0020100000000"}},
		pulls: []time.Duration{time.Millisecond}, want: []string{
			"8:d00101fa2da101",
			"1:d002ff01fa2da101",
		},
	},
	{
		name: "a bitmap of living members is corrected", cfg: nine, in: []input{{0, 1, "d0020000000000" + "0300027001"}},
		pulls: []time.Duration{0}, want: []string{
			"1:d00400fa2da101012000011800011400011001",
		},
	},
	{
		name: "a correction is objected to", cfg: nine,
		in:    []input{{0, 1, "d0020000000000" + "010a00"}, {0, 2, "d0040000000000" + "010800" + "010d8080808001"}},
		pulls: []time.Duration{0}, want: []string{
			"2:d005007d984a54010a00010900010a00010d8080808001",
		},
	},
	{
		name: "ends of runs are passed on with their age", cfg: nine, checks: []Check{{CheckServer, 99}, {CheckList, 1 << 40}, {CheckCounter, 7}},
		in:    []input{{30 * time.Second, 1, "d0010100000000" + "02036364" + "02048080808080208020" + "020707e807"}},
		pulls: []time.Duration{30 * time.Second}, want: []string{
			"1:d00201fa2da10103000200000203636402048080808080208020020707e807",
			"0:d00101fa2da1010203636402048080808080208020020707e807",
		},
	},
	{
		name: "a large fleet's bitmap goes in parts", cfg: large,
		in:    []input{{0, 1, "d0010100000000" + "01a61f00" + "01e64c07"}, {0, 2, "d0010200000000"}, {0, 3, "d0010300000000"}},
		pulls: []time.Duration{0}, want: []string{
			"1:d00201338f6d5703008001000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000002000001a61f0001e64c07",
			"2:d00202338f6d5703008001000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000002000001a61f0001e64c07",
			"3:d00203338f6d570380088001000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000001a61f0001e64c07",
		},
	},
}

// Each kind of message, with each kind of part, has the expected bytes.
func TestPeerMessageWireFormat(t *testing.T) {
	for _, c := range wireFormatCases {
		t.Run(c.name, func(t *testing.T) {
			n := New(c.cfg, 0)
			n.SetChecks(0, c.checks)
			for _, in := range c.in {
				text, err := hex.DecodeString(in.text)
				if err != nil {
					t.Fatal(err)
				}
				if err := n.ReceivePeerMessage(in.at, in.from, text); err != nil {
					t.Errorf("%s from %d: %v", in.text, in.from, err)
				}
			}
			got := []string{}
			for _, at := range c.pulls {
				got = append(got, sends(n, at)...)
			}
			if strings.Join(got, "\n") != strings.Join(c.want, "\n") {
				t.Errorf("sent\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// transcript runs nodes over a network with losses, duplicates and delays, all drawn from a seed. It records every decision
// of the nodes, and each second their state.
type transcript struct {
	cfg    Config
	nodes  []*Scheduler // nil for one that is down
	now    time.Duration
	random *rand.Rand
	later  map[time.Duration][]func()
	loss   float64
	cut    bool // between the lower and the upper half
	idle   int  // a node whose runs never end; -1 for none
	lines  []string
}

const step = 20 * time.Millisecond

func newTranscript(cfg Config, checks []Check) *transcript {
	p := &transcript{
		cfg: cfg, nodes: make([]*Scheduler, cfg.Nodes), random: rand.New(rand.NewPCG(cfg.Seed, 99)),
		later: map[time.Duration][]func(){}, idle: -1,
	}
	for k := range p.nodes {
		p.start(k, checks)
	}
	return p
}

func (p *transcript) start(k int, checks []Check) {
	cfg := p.cfg
	cfg.Self, cfg.Seed = NodeID(k), cfg.Seed+uint64(p.now/time.Second)
	p.nodes[k] = New(cfg, p.now)
	p.nodes[k].SetChecks(p.now, checks)
}

func (p *transcript) after(delay time.Duration, f func()) {
	p.later[p.now+delay] = append(p.later[p.now+delay], f)
}

func (p *transcript) write(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf("%.2f ", p.now.Seconds())+fmt.Sprintf(format, args...))
}

// send sends a message over the network.
func (p *transcript) send(from, to int, text []byte) {
	p.write("%d>%d %x", from, to, text)
	half := len(p.nodes) / 2
	if p.random.Float64() < p.loss || p.cut && (from < half) != (to < half) {
		return
	}
	for range 1 + p.random.IntN(50)/49 {
		p.after(step*time.Duration(1+p.random.IntN(3)), func() {
			if n := p.nodes[to]; n != nil && n.ReceivePeerMessage(p.now, NodeID(from), text) != nil {
				p.write("%d did not read it", to)
			}
		})
	}
}

func (p *transcript) play(until time.Duration) {
	for ; p.now < until; p.now += step {
		for _, f := range p.later[p.now] {
			f()
		}
		delete(p.later, p.now)
		for i, node := range p.nodes {
			if node == nil {
				continue
			}
			for decision, ok := node.Next(p.now); ok; decision, ok = node.Next(p.now) {
				switch decision.Kind {
				case Send:
					p.send(i, int(decision.To), append([]byte(nil), decision.Payload...))
				case Run:
					p.write("%d runs %d/%d within %v", i, decision.Check.Kind, decision.Check.ID, decision.Timeout)
					if i != p.idle {
						p.after(step, func() { node.CheckEnded(p.now, decision.Check, decision.Check.ID%2 > 0) })
					}
				case Ended:
					p.write("%d hears of %d/%d %v", i, decision.Check.Kind, decision.Check.ID, decision.OK)
				}
			}
			if p.now%time.Second == 0 {
				counters := node.Counters()
				p.write("%d: %v %v %v, %d owned, %d dead, %v", i, node.Period(), node.Interval(), node.Wake(p.now), node.OwnedCount(p.now), node.DeadCount(),
					[]int64{
						counters.Sent, counters.SentBytes, counters.Withheld, counters.Received, counters.Malformed, counters.Checks, counters.BackupChecks,
						counters.Suspected, counters.Died, counters.Rejoined, counters.Refuted,
					})
			}
		}
	}
}

// transcripts are fleets with and without faults, with the expected transcripts.
var transcripts = []struct {
	name   string
	cfg    Config
	play   func(p *transcript)
	lines  int
	digest string   // SHA-256 of all lines
	first  []string // the first messages
}{
	{
		name: "two nodes", cfg: Config{Nodes: 2, Seed: 11, ReceiveRate: 40, Interval: 2 * time.Second},
		play: func(p *transcript) { p.play(20 * time.Second) }, lines: 190, digest: "295d7a00564149d3a2c1f4fa022cc6e5ede31de5d2e9ab2980b3676037e9c15d", first: []string{
			"0.08 0>1 d00101db052768",
			"0.08 0>1 d00102db052768",
			"0.08 0>1 d00103db052768",
			"0.10 1>0 d00201db05276802020200",
		},
	},
	{
		name: "three nodes, one killed and started again", cfg: Config{Nodes: 3, Seed: 12, ReceiveRate: 40, Interval: 2 * time.Second},
		play: func(p *transcript) {
			p.play(10 * time.Second)
			p.nodes[1] = nil
			p.play(40 * time.Second)
			p.start(1, checks)
			p.play(80 * time.Second)
		}, lines: 1168, digest: "f03e59598b940533a2b907aeb4f59dff834e1098e47a665df5d075746bcaa571", first: []string{
			"0.06 2>1 d00101db052768",
			"0.06 2>0 d00102db052768",
			"0.06 2>0 d00103db052768",
			"0.08 0>2 d00202db052768",
		},
	},
	{
		name: "nine nodes, cut in two, lossy, with few bytes", cfg: Config{Nodes: 9, Seed: 13, ReceiveRate: 80, SendRate: 400, Interval: time.Second},
		play: func(p *transcript) {
			p.loss = 0.2
			p.play(15 * time.Second)
			p.cut = true
			p.play(60 * time.Second)
			p.cut = false
			for k, n := range p.nodes {
				n.SetChecks(p.now, append(checks[1:], Check{CheckServer, CheckID(1000 + k/5)}))
			}
			p.play(120 * time.Second)
		}, lines: 25041, digest: "73f9442e3b256d244fc396c9011a2297770394ab8988421c74332b0c4c78ce2a", first: []string{
			"0.02 1>5 d00101fa2da101",
			"0.02 1>0 d00102fa2da101",
			"0.02 1>2 d00103fa2da101",
			"0.02 4>7 d00101fa2da101",
		},
	},
	{
		name: "1,100 nodes, twelve of them up", cfg: Config{Nodes: 1100, Seed: 14, ReceiveRate: 4000, Interval: time.Second},
		play: func(p *transcript) {
			for k := range p.nodes {
				if k%100 > 0 && k != 1099 {
					p.nodes[k] = nil
				}
			}
			p.play(8 * time.Second)
			p.nodes[300] = nil
			p.start(777, checks)
			p.play(20 * time.Second)
		}, lines: 13296, digest: "611f584044feaf0761b6aa03f4253becab7442d881e9ab27b1ccd733ac8321eb", first: []string{
			"0.02 100>776 d001010414188b",
			"0.02 100>415 d001020414188b",
			"0.02 100>656 d001030414188b",
			"0.02 300>142 d001010414188b",
		},
	},
	{
		name: "a rejoined node whose runs never end, and more updates than the queue holds", cfg: Config{Nodes: 4, Seed: 16, ReceiveRate: 20, Interval: 9 * time.Second},
		play: func(p *transcript) {
			many := make([]Check, 1500)
			for k := range many {
				many[k] = Check{CheckServer, CheckID(k)}
			}
			p.play(time.Second)
			p.nodes[2] = nil
			for _, k := range []int{0, 1, 3} {
				p.nodes[k].SetChecks(p.now, many)
			}
			p.play(45 * time.Second)
			p.start(2, many)
			p.idle = 2
			p.play(75 * time.Second)
			for _, n := range p.nodes {
				n.CheckEnded(p.now, Check{CheckList, 5}, true)
			}
			p.play(80 * time.Second)
		}, lines: 18771, digest: "720163bc2cc35ad8b9fd9e97dcdf5cfb604208a02e9eedd46750152fddd45e38", first: []string{
			"0.04 3>1 d00101db052768",
			"0.04 3>2 d00102db052768",
			"0.04 3>0 d00103db052768",
			"0.08 0>3 d00203db052768",
		},
	},
	{
		name: "one node", cfg: Config{Nodes: 1, Seed: 15, Interval: time.Second},
		play: func(p *transcript) { p.play(6 * time.Second) }, lines: 36, digest: "d83b4fbbab643fd42ad01acdd65aeac1bb3541d8081db9b2df4a41eb7fdef710", first: []string{},
	},
}

// All messages and decisions of a fleet are the expected ones. The transcript's wording is part of its digest.
func TestFleetTranscripts(t *testing.T) {
	for _, c := range transcripts {
		t.Run(c.name, func(t *testing.T) {
			p := newTranscript(c.cfg, checks)
			c.play(p)
			var first []string
			for _, line := range p.lines {
				if strings.Contains(line, ">") && len(first) < 4 {
					first = append(first, line)
				}
			}
			digest := fmt.Sprintf("%x", sha256.Sum256([]byte(strings.Join(p.lines, "\n"))))
			if len(p.lines) != c.lines || digest != c.digest || strings.Join(first, "\n") != strings.Join(c.first, "\n") {
				t.Errorf("%d lines, %s\n%s\nwant %d, %s\n%s", len(p.lines), digest, strings.Join(first, "\n"), c.lines, c.digest,
					strings.Join(c.first, "\n"))
			}
		})
	}
}

// A malformed message is rejected as a whole, up to the exact limits of each field.
func TestMalformedPeerMessages(t *testing.T) {
	for _, c := range []struct {
		text string // hexadecimal
		read bool
	}{
		{"", false},
		{"d0", false},
		{"d000", false},
		{"d00101fa2da1", false},                                  // the view is short
		{"d10101fa2da101", false},                                // another mark
		{"d00001fa2da101", false},                                // no such kind
		{"d00601fa2da101", false},                                // nor this
		{"d00101fa2da101", true},                                 // a ping
		{"d001808080808080808040fa2da101", false},                // a number of 2^62
		{"d001ffffffffffffffff3ffa2da101", true},                 // and one below
		{"d001ffffffffffffffffffff01fa2da101", false},            // one that is too long
		{"d00301fa2da101", false},                                // a ping for nobody
		{"d00301fa2da10109", false},                              // for a member beyond the last
		{"d00301fa2da10108", true},                               // for the last
		{"d00101fa2da101012200", true},                           // the last member is dead
		{"d00101fa2da101012300", false},                          // a state beyond dead
		{"d00101fa2da101012400", false},                          // a member beyond the last
		{"d00101fa2da1010122", false},                            // no count
		{"d00101fa2da10102020107", true},                         // a run
		{"d00101fa2da10102010107", false},                        // of no kind
		{"d00101fa2da10102080107", false},                        // of an unknown kind
		{"d00101fa2da101020201e0d403", true},                     // a minute ago
		{"d00101fa2da101020201e1d403", false},                    // longer ago
		{"d00101fa2da101020202", false},                          // no age
		{"d00101fa2da101030801ff", true},                         // a bitmap from the last member on
		{"d00101fa2da101030901ff", false},                        // from beyond
		{"d00101fa2da101030002ff", false},                        // a short bitmap
		{"d00101fa2da1010300810100", false},                      // one too long
		{"d00101fa2da10104", false},                              // an unknown part
		{"d00101fa2da10100", false},                              // nor this
		{"d00101fa2da101" + strings.Repeat("011400", 83), true},  // 256 bytes
		{"d00101fa2da101" + strings.Repeat("011400", 84), false}, // more
	} {
		text, err := hex.DecodeString(c.text)
		if err != nil {
			t.Fatal(err)
		}
		n := New(Config{Nodes: 9, Seed: 2, ReceiveRate: 40}, 0)
		err = n.ReceivePeerMessage(0, 1, text)
		read := err == nil
		if read != c.read || !read && !errors.Is(err, ErrMalformed) || n.Counters().Malformed != map[bool]int64{false: 1}[read] {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}
