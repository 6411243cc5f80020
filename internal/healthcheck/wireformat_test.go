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
// bytes, and every step with its expected time and order.

// receivedMessage is a peer message that a node receives, with its time and sender.
type receivedMessage struct {
	at         time.Duration
	from       NodeID
	hexPayload string
}

// sentMessages returns the messages that a node sends at a time. Each has the form "receiver:payload", with the payload in
// hexadecimal.
func sentMessages(node *Scheduler, at time.Duration) (list []string) {
	for step, ok := node.Next(at); ok; step, ok = node.Next(at) {
		if step.Kind == Send {
			list = append(list, fmt.Sprintf("%d:%x", step.To, step.Payload))
		}
	}
	return list
}

// These are the configurations in wireFormatCases.
var (
	threeNodes = Config{Self: 0, Nodes: 3, Seed: 1, ReceiveRate: 40, Interval: 5 * time.Second}
	nineNodes  = Config{Self: 4, Nodes: 9, Seed: 2, ReceiveRate: 40, SendRate: 4096, Interval: 5 * time.Second}
	largeFleet = Config{Self: 7, Nodes: 2500, Seed: 3, ReceiveRate: 400, Interval: 5 * time.Second}
)

// wireFormatCases are the expected messages of a node after the messages that it received.
var wireFormatCases = []struct {
	name      string
	cfg       Config
	checks    []Check
	received  []receivedMessage
	nextTimes []time.Duration // times at which Next is called, after all received messages
	want      []string
}{
	{name: "first pings", cfg: threeNodes, nextTimes: []time.Duration{0, 400 * time.Millisecond}, want: []string{
		"1:d00101db052768",
		"2:d00102db052768",
		"1:d00103db052768",
	}},
	{
		name: "a ping with the same hash of dead members gets an ack", cfg: threeNodes, received: []receivedMessage{{0, 1, "d00105db052768"}},
		nextTimes: []time.Duration{0}, want: []string{
			"1:d00205db052768",
		},
	},
	{
		name: "a ping with another hash gets an ack with the dead members", cfg: threeNodes,
		received: []receivedMessage{{0, 1, "d001ac0200000000" + "010a03"}}, nextTimes: []time.Duration{0}, want: []string{
			"1:d002ac02d69d673203000104010a03",
		},
	},
	{
		name: "suspicions are gossiped, the one about the receiver first", cfg: nineNodes,
		received: []receivedMessage{{0, 1, "d0010700000000" + "010900" + "010502"}}, nextTimes: []time.Duration{0}, want: []string{
			"1:d00100fa2da101010502010900010502",
			"1:d00207fa2da1010105020300020000010900010502",
		},
	},
	{
		name: "an update about this node's own death is refuted", cfg: nineNodes,
		received: []receivedMessage{{0, 1, "d0010900000000" + "011205"}}, nextTimes: []time.Duration{0}, want: []string{
			"1:d00209fa2da1010300020000011006",
		},
	},
	{
		name: "an indirect ping", cfg: nineNodes,
		received:  []receivedMessage{{0, 1, "d003ff010000000008"}, {time.Millisecond, 8, "d0020100000000"}},
		nextTimes: []time.Duration{time.Millisecond}, want: []string{
			"8:d00101fa2da101",
			"1:d002ff01fa2da101",
		},
	},
	{
		name: "a bitmap with live members is corrected", cfg: nineNodes, received: []receivedMessage{{0, 1, "d0020000000000" + "0300027001"}},
		nextTimes: []time.Duration{0}, want: []string{
			"1:d00400fa2da101012000011800011400011001",
		},
	},
	{
		name: "a correction is disputed", cfg: nineNodes,
		received:  []receivedMessage{{0, 1, "d0020000000000" + "010a00"}, {0, 2, "d0040000000000" + "010800" + "010d8080808001"}},
		nextTimes: []time.Duration{0}, want: []string{
			"2:d005007d984a54010a00010900010a00010d8080808001",
		},
	},
	{
		name: "results of runs are gossiped with their age", cfg: nineNodes, checks: []Check{{CheckServer, 99}, {CheckList, 1 << 40}, {CheckCounter, 7}},
		received:  []receivedMessage{{30 * time.Second, 1, "d0010100000000" + "02036364" + "02048080808080208020" + "020707e807"}},
		nextTimes: []time.Duration{30 * time.Second}, want: []string{
			"1:d00201fa2da10103000200000203636402048080808080208020020707e807",
			"0:d00101fa2da1010203636402048080808080208020020707e807",
		},
	},
	{
		name: "a large fleet's bitmap is sent in sections", cfg: largeFleet,
		received:  []receivedMessage{{0, 1, "d0010100000000" + "01a61f00" + "01e64c07"}, {0, 2, "d0010200000000"}, {0, 3, "d0010300000000"}},
		nextTimes: []time.Duration{0}, want: []string{
			"1:d00201338f6d5703008001000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000002000001a61f0001e64c07",
			"2:d00202338f6d5703008001000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000002000001a61f0001e64c07",
			"3:d00203338f6d570380088001000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000001a61f0001e64c07",
		},
	},
}

// TestPeerMessageWireFormat checks that each kind of message, with each kind of part, has the expected bytes. Nodes of
// another version could not decode a message with a changed format.
func TestPeerMessageWireFormat(t *testing.T) {
	for _, c := range wireFormatCases {
		t.Run(c.name, func(t *testing.T) {
			node := New(c.cfg, 0)
			node.SetChecks(0, c.checks)
			for _, message := range c.received {
				payload, err := hex.DecodeString(message.hexPayload)
				if err != nil {
					t.Fatalf("decode the payload %q: %v", message.hexPayload, err)
				}
				if err := node.ReceivePeerMessage(message.at, message.from, payload); err != nil {
					t.Errorf("ReceivePeerMessage(%s) from node %d failed: %v, want no error", message.hexPayload, message.from, err)
				}
			}
			got := []string{}
			for _, at := range c.nextTimes {
				got = append(got, sentMessages(node, at)...)
			}
			if strings.Join(got, "\n") != strings.Join(c.want, "\n") {
				t.Errorf("the node sent\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// fleetTranscript simulates nodes and a network with losses, duplicates and delays, all drawn from a seed. It records every
// step of the nodes, and once per second their state.
type fleetTranscript struct {
	cfg         Config
	nodes       []*Scheduler // schedulers by node number; nil for a node that is down
	now         time.Duration
	random      *rand.Rand
	scheduled   map[time.Duration][]func() // functions to call, by time
	lossRate    float64                    // probability that a message is lost
	partitioned bool                       // whether the network drops messages between the lower and the upper half of the nodes
	stuckNode   int                        // number of a node whose runs never end; -1 for none
	lines       []string
}

// timeStep is the time between two calls of Next in a simulation.
const timeStep = 20 * time.Millisecond

// newFleetTranscript starts all nodes of a fleet with the given checks.
func newFleetTranscript(cfg Config, checks []Check) *fleetTranscript {
	p := &fleetTranscript{
		cfg: cfg, nodes: make([]*Scheduler, cfg.Nodes), random: rand.New(rand.NewPCG(cfg.Seed, 99)),
		scheduled: map[time.Duration][]func(){}, stuckNode: -1,
	}
	for k := range p.nodes {
		p.startNode(k, checks)
	}
	return p
}

// startNode starts a node with the given checks, or replaces it as after a restart.
func (p *fleetTranscript) startNode(k int, checks []Check) {
	cfg := p.cfg
	cfg.Self, cfg.Seed = NodeID(k), cfg.Seed+uint64(p.now/time.Second)
	p.nodes[k] = New(cfg, p.now)
	p.nodes[k].SetChecks(p.now, checks)
}

// schedule calls f after a delay.
func (p *fleetTranscript) schedule(delay time.Duration, f func()) {
	p.scheduled[p.now+delay] = append(p.scheduled[p.now+delay], f)
}

// record adds a line with the current time to the transcript. The wording is part of the digests.
func (p *fleetTranscript) record(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf("%.2f ", p.now.Seconds())+fmt.Sprintf(format, args...))
}

// send sends a message over the simulated network.
func (p *fleetTranscript) send(from, to int, payload []byte) {
	p.record("%d>%d %x", from, to, payload)
	half := len(p.nodes) / 2
	if p.random.Float64() < p.lossRate || p.partitioned && (from < half) != (to < half) {
		return
	}
	for range 1 + p.random.IntN(50)/49 {
		p.schedule(timeStep*time.Duration(1+p.random.IntN(3)), func() {
			if n := p.nodes[to]; n != nil && n.ReceivePeerMessage(p.now, NodeID(from), payload) != nil {
				p.record("%d did not read it", to)
			}
		})
	}
}

// runUntil runs the simulation until a time.
func (p *fleetTranscript) runUntil(until time.Duration) {
	for ; p.now < until; p.now += timeStep {
		for _, f := range p.scheduled[p.now] {
			f()
		}
		delete(p.scheduled, p.now)
		for i, node := range p.nodes {
			if node == nil {
				continue
			}
			for step, ok := node.Next(p.now); ok; step, ok = node.Next(p.now) {
				switch step.Kind {
				case Send:
					p.send(i, int(step.To), append([]byte(nil), step.Payload...))
				case Run:
					p.record("%d runs %d/%d within %v", i, step.Check.Kind, step.Check.ID, step.Timeout)
					if i != p.stuckNode {
						p.schedule(timeStep, func() { node.CheckEnded(p.now, step.Check, step.Check.ID%2 > 0) })
					}
				case Ended:
					p.record("%d hears of %d/%d %v", i, step.Check.Kind, step.Check.ID, step.OK)
				}
			}
			if p.now%time.Second == 0 {
				counters := node.Counters()
				p.record("%d: %v %v %v, %d owned, %d dead, %v", i, node.Period(), node.Interval(), node.WakeAfter(p.now), node.OwnedCount(p.now), node.DeadCount(),
					[]int64{
						counters.Sent, counters.SentBytes, counters.Withheld, counters.Received, counters.Malformed, counters.Checks, counters.BackupChecks,
						counters.Suspected, counters.Died, counters.Rejoined, counters.Refuted,
					})
			}
		}
	}
}

// transcriptCases are fleets with and without faults, and their expected transcripts.
var transcriptCases = []struct {
	name     string
	cfg      Config
	simulate func(p *fleetTranscript)
	lines    int      // number of lines
	digest   string   // SHA-256 of all lines
	first    []string // lines of the first four messages
}{
	{
		name: "two nodes", cfg: Config{Nodes: 2, Seed: 11, ReceiveRate: 40, Interval: 2 * time.Second},
		simulate: func(p *fleetTranscript) { p.runUntil(20 * time.Second) }, lines: 190, digest: "295d7a00564149d3a2c1f4fa022cc6e5ede31de5d2e9ab2980b3676037e9c15d", first: []string{
			"0.08 0>1 d00101db052768",
			"0.08 0>1 d00102db052768",
			"0.08 0>1 d00103db052768",
			"0.10 1>0 d00201db05276802020200",
		},
	},
	{
		name: "three nodes, one killed and started again", cfg: Config{Nodes: 3, Seed: 12, ReceiveRate: 40, Interval: 2 * time.Second},
		simulate: func(p *fleetTranscript) {
			p.runUntil(10 * time.Second)
			p.nodes[1] = nil
			p.runUntil(40 * time.Second)
			p.startNode(1, checks)
			p.runUntil(80 * time.Second)
		}, lines: 1168, digest: "f03e59598b940533a2b907aeb4f59dff834e1098e47a665df5d075746bcaa571", first: []string{
			"0.06 2>1 d00101db052768",
			"0.06 2>0 d00102db052768",
			"0.06 2>0 d00103db052768",
			"0.08 0>2 d00202db052768",
		},
	},
	{
		name: "nine nodes, partitioned, with lost messages and a low send rate", cfg: Config{Nodes: 9, Seed: 13, ReceiveRate: 80, SendRate: 400, Interval: time.Second},
		simulate: func(p *fleetTranscript) {
			p.lossRate = 0.2
			p.runUntil(15 * time.Second)
			p.partitioned = true
			p.runUntil(60 * time.Second)
			p.partitioned = false
			for k, n := range p.nodes {
				n.SetChecks(p.now, append(checks[1:], Check{CheckServer, CheckID(1000 + k/5)}))
			}
			p.runUntil(120 * time.Second)
		}, lines: 25041, digest: "73f9442e3b256d244fc396c9011a2297770394ab8988421c74332b0c4c78ce2a", first: []string{
			"0.02 1>5 d00101fa2da101",
			"0.02 1>0 d00102fa2da101",
			"0.02 1>2 d00103fa2da101",
			"0.02 4>7 d00101fa2da101",
		},
	},
	{
		name: "1,100 nodes, twelve of them up", cfg: Config{Nodes: 1100, Seed: 14, ReceiveRate: 4000, Interval: time.Second},
		simulate: func(p *fleetTranscript) {
			for k := range p.nodes {
				if k%100 > 0 && k != 1099 {
					p.nodes[k] = nil
				}
			}
			p.runUntil(8 * time.Second)
			p.nodes[300] = nil
			p.startNode(777, checks)
			p.runUntil(20 * time.Second)
		}, lines: 13296, digest: "611f584044feaf0761b6aa03f4253becab7442d881e9ab27b1ccd733ac8321eb", first: []string{
			"0.02 100>776 d001010414188b",
			"0.02 100>415 d001020414188b",
			"0.02 100>656 d001030414188b",
			"0.02 300>142 d001010414188b",
		},
	},
	{
		name: "a rejoined node whose runs never end, and more updates than the queue holds", cfg: Config{Nodes: 4, Seed: 16, ReceiveRate: 20, Interval: 9 * time.Second},
		simulate: func(p *fleetTranscript) {
			manyChecks := make([]Check, 1500)
			for k := range manyChecks {
				manyChecks[k] = Check{CheckServer, CheckID(k)}
			}
			p.runUntil(time.Second)
			p.nodes[2] = nil
			for _, k := range []int{0, 1, 3} {
				p.nodes[k].SetChecks(p.now, manyChecks)
			}
			p.runUntil(45 * time.Second)
			p.startNode(2, manyChecks)
			p.stuckNode = 2
			p.runUntil(75 * time.Second)
			for _, n := range p.nodes {
				n.CheckEnded(p.now, Check{CheckList, 5}, true)
			}
			p.runUntil(80 * time.Second)
		}, lines: 18771, digest: "720163bc2cc35ad8b9fd9e97dcdf5cfb604208a02e9eedd46750152fddd45e38", first: []string{
			"0.04 3>1 d00101db052768",
			"0.04 3>2 d00102db052768",
			"0.04 3>0 d00103db052768",
			"0.08 0>3 d00203db052768",
		},
	},
	{
		name: "one node", cfg: Config{Nodes: 1, Seed: 15, Interval: time.Second},
		simulate: func(p *fleetTranscript) { p.runUntil(6 * time.Second) }, lines: 36, digest: "d83b4fbbab643fd42ad01acdd65aeac1bb3541d8081db9b2df4a41eb7fdef710", first: []string{},
	},
}

// TestFleetTranscripts checks that all messages and steps of a fleet are the expected ones. A change of the protocol or of
// the schedule changes the digest, and so does a change of the transcript's wording.
func TestFleetTranscripts(t *testing.T) {
	for _, c := range transcriptCases {
		t.Run(c.name, func(t *testing.T) {
			p := newFleetTranscript(c.cfg, checks)
			c.simulate(p)
			var first []string
			for _, line := range p.lines {
				if strings.Contains(line, ">") && len(first) < 4 {
					first = append(first, line)
				}
			}
			digest := fmt.Sprintf("%x", sha256.Sum256([]byte(strings.Join(p.lines, "\n"))))
			if len(p.lines) != c.lines || digest != c.digest || strings.Join(first, "\n") != strings.Join(c.first, "\n") {
				t.Errorf("transcript has %d lines, digest %s, first messages\n%s\nwant %d lines, digest %s, first messages\n%s",
					len(p.lines), digest, strings.Join(first, "\n"), c.lines, c.digest, strings.Join(c.first, "\n"))
			}
		})
	}
}

// TestMalformedPeerMessages checks that ReceivePeerMessage rejects a malformed message as a whole, up to the exact limits
// of each field. A decoder that accepts more would use wrong node numbers, or states that do not exist.
func TestMalformedPeerMessages(t *testing.T) {
	for _, c := range []struct {
		hexPayload string
		valid      bool
	}{
		{"", false},
		{"d0", false},
		{"d000", false},
		{"d00101fa2da1", false},                                  // The hash of the dead members has too few bytes.
		{"d10101fa2da101", false},                                // The magic byte is wrong.
		{"d00001fa2da101", false},                                // Kind 0 is unknown.
		{"d00601fa2da101", false},                                // Kind 6 is unknown.
		{"d00101fa2da101", true},                                 // This is a valid ping.
		{"d001808080808080808040fa2da101", false},                // The sequence number is 2^62.
		{"d001ffffffffffffffff3ffa2da101", true},                 // The sequence number is 2^62 - 1.
		{"d001ffffffffffffffffffff01fa2da101", false},            // The encoding of the number is too long.
		{"d00301fa2da101", false},                                // The target of the indirect ping is missing.
		{"d00301fa2da10109", false},                              // The target does not exist.
		{"d00301fa2da10108", true},                               // The target is the last member.
		{"d00101fa2da101012200", true},                           // The update is about the last member.
		{"d00101fa2da101012300", false},                          // The state does not exist.
		{"d00101fa2da101012400", false},                          // The member does not exist.
		{"d00101fa2da1010122", false},                            // The incarnation is missing.
		{"d00101fa2da10102020107", true},                         // This is the valid end of a run.
		{"d00101fa2da10102010107", false},                        // The kind of check 0 does not exist.
		{"d00101fa2da10102080107", false},                        // The kind of check 4 does not exist.
		{"d00101fa2da101020201e0d403", true},                     // The run was a minute ago.
		{"d00101fa2da101020201e1d403", false},                    // The run was more than a minute ago.
		{"d00101fa2da101020202", false},                          // The age is missing.
		{"d00101fa2da101030801ff", true},                         // The bitmap begins at the last member.
		{"d00101fa2da101030901ff", false},                        // The bitmap begins beyond the last member.
		{"d00101fa2da101030002ff", false},                        // The bitmap has too few bytes.
		{"d00101fa2da1010300810100", false},                      // The bitmap is too long.
		{"d00101fa2da10104", false},                              // Part 4 is unknown.
		{"d00101fa2da10100", false},                              // Part 0 is unknown.
		{"d00101fa2da101" + strings.Repeat("011400", 83), true},  // The payload has 256 bytes, the maximum.
		{"d00101fa2da101" + strings.Repeat("011400", 84), false}, // The payload has 259 bytes.
	} {
		payload, err := hex.DecodeString(c.hexPayload)
		if err != nil {
			t.Fatalf("decode the payload %q: %v", c.hexPayload, err)
		}
		node := New(Config{Nodes: 9, Seed: 2, ReceiveRate: 40}, 0)
		err = node.ReceivePeerMessage(0, 1, payload)
		valid := err == nil
		if valid != c.valid || !valid && !errors.Is(err, ErrMalformed) || node.Counters().Malformed != map[bool]int64{false: 1}[valid] {
			t.Errorf("ReceivePeerMessage(%s) = %v, counted as malformed: %d; want valid = %v, else ErrMalformed and a count of 1",
				c.hexPayload, err, node.Counters().Malformed, c.valid)
		}
	}
}
