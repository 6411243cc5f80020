package healthcheck

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fleet carries messages between nodes at once, where hears lets them.
type fleet struct {
	nodes []*Scheduler
	now   time.Duration
	hears func(from, to int) bool
	runs  map[Check][]int // who ran it
	ran   map[Check]time.Duration
}

var checks = []Check{{CheckServer, 1}, {CheckServer, 2}, {CheckServer, 99}, {CheckList, 1}, {CheckCounter, 7}}

func newFleet(nodes int, bytes float64) *fleet {
	f := &fleet{hears: func(int, int) bool { return true }, runs: map[Check][]int{}, ran: map[Check]time.Duration{}}
	for k := range nodes {
		f.nodes = append(f.nodes, New(Config{Me: k, Nodes: nodes, Seed: 5, Take: 40, Bytes: bytes, Every: 5 * time.Second}, 0))
		f.nodes[k].SetChecks(0, checks)
	}
	return f
}

func (f *fleet) play(until time.Duration) {
	for ; f.now < until; f.now += 50 * time.Millisecond {
		for k, n := range f.nodes {
			if n == nil {
				continue
			}
			for s, ok := n.Next(f.now); ok; s, ok = n.Next(f.now) {
				switch s.Kind {
				case Send:
					if to := f.nodes[s.To]; to != nil && f.hears(k, s.To) {
						to.ReceivePeerMessage(f.now, k, append([]byte(nil), s.Text...))
					}
				case Run:
					f.runs[s.Check], f.ran[s.Check] = append(f.runs[s.Check], k), f.now
					n.CheckEnded(f.now, s.Check, true)
				}
			}
		}
	}
}

// Each duty has one owner where all is well; a dead one's is taken over, and given back once it has been up for long.
func TestDutiesHaveOneOwnerAndAreTakenOver(t *testing.T) {
	f := newFleet(9, 0)
	f.play(40 * time.Second)
	for d, by := range f.runs {
		if len(by) < 3 || len(by) > 6 {
			t.Errorf("%v was run by %v", d, by)
		}
		for _, k := range by {
			if k != by[0] {
				t.Errorf("%v was run by %v", d, by)
			}
		}
	}
	d := checks[0]
	old := f.runs[d][0]
	f.nodes[old] = nil
	f.play(80 * time.Second)
	next := f.runs[d][len(f.runs[d])-1]
	if next == old || f.now-f.ran[d] > 2*f.nodes[next].Every() {
		t.Fatalf("%v: %v, last at %v", d, f.runs[d], f.ran[d])
	}
	f.nodes[old] = New(Config{Me: old, Nodes: 9, Seed: 6, Take: 40, Every: 5 * time.Second}, f.now)
	f.nodes[old].SetChecks(f.now, checks)
	f.play(f.now + 3*time.Second)
	if owns, first := f.nodes[next].Owns(f.now, d); !owns || first {
		t.Errorf("while %d is new, %d: owns %v, as first %v", old, next, owns, first)
	}
	if owns, first := f.nodes[old].Owns(f.now, d); !owns || !first {
		t.Errorf("%d is back: owns %v, as first %v", old, owns, first)
	}
	f.play(f.now + 60*time.Second)
	if owns, _ := f.nodes[next].Owns(f.now, d); owns || f.runs[d][len(f.runs[d])-1] != old {
		t.Errorf("%d did not give %v back: %v", next, d, f.runs[d])
	}
}

// A node that two others can't reach, but the rest can, is pinged by those and stays.
func TestOneBadLinkKillsNobody(t *testing.T) {
	f := newFleet(9, 0)
	f.hears = func(from, to int) bool { return !(from < 2 && to == 5 || from == 5 && to < 2) }
	f.play(90 * time.Second)
	for k, n := range f.nodes {
		if n.Dead() > 0 || n.Count().Died > 0 {
			t.Errorf("%d takes %d for dead, %d died", k, n.Dead(), n.Count().Died)
		}
	}
}

// Who is said to be dead contradicts, and whoever said so takes it back.
func TestTheLivingContradict(t *testing.T) {
	f := newFleet(5, 0)
	for k := range 4 {
		f.nodes[k].hold(4, suspect, 0)
		f.nodes[k].hold(4, dead, 0)
	}
	f.play(20 * time.Second)
	for k := range 4 {
		if f.nodes[k].Dead() > 0 || f.nodes[k].members[4].inc == 0 {
			t.Errorf("%d goes on taking it for dead", k)
		}
	}
	if f.nodes[4].Count().Defended == 0 {
		t.Error("it never contradicted")
	}
}

// What a node sends is bounded whatever comes in; what is held back counts as lost.
func TestBytesAreBounded(t *testing.T) {
	f := newFleet(2, 600)
	n := f.nodes[0]
	ask := f.nodes[1].write(outgoing{to: 0, kind: pingMe, seq: 1})
	for ; f.now < 20*time.Second; f.now += 10 * time.Millisecond {
		n.ReceivePeerMessage(f.now, 1, ask)
		for _, ok := n.Next(f.now); ok; _, ok = n.Next(f.now) {
		}
	}
	if c := n.Count(); c.SentBytes > 21*600 || c.Held == 0 || c.Sent == 0 {
		t.Errorf("%+v", c)
	}
}

// Whatever arrives is taken whole or not at all, and leaves a node that goes on.
func TestBadMessagesChangeNothing(t *testing.T) {
	f := newFleet(20, 0)
	n, r := f.nodes[0], rand.New(rand.NewPCG(1, 2))
	f.nodes[1].hold(7, dead, 0)
	f.nodes[1].CheckEnded(0, checks[0], true)
	good := append([]byte(nil), f.nodes[1].write(outgoing{to: 0, kind: answer, seq: 3, dead: true})...)
	for k := 1; k < len(good); k++ { // cut anywhere
		if read, _, _, _, parts, ok := read(good[:k], 20); ok && len(parts) > 3 {
			t.Errorf("%d of %d bytes: %d, %v", k, len(good), read, parts)
		}
	}
	for _, bad := range [][]byte{
		nil,
		{MessageMark},
		{MessageMark, 9, 1, 0, 0, 0, 0},
		{MessageMark, 3, 1, 0, 0, 0, 0, 200},
		make([]byte, 300),
		append(append([]byte(nil), good...), 77),
		{MessageMark, 1, 1, 0, 0, 0, 0, deadPart, 0, 255, 255, 3},
	} {
		if n.ReceivePeerMessage(0, 1, bad) {
			t.Errorf("%v was taken", bad)
		}
	}
	if n.ReceivePeerMessage(0, 0, good) || n.ReceivePeerMessage(0, 20, good) || n.ReceivePeerMessage(0, -1, good) || n.Dead() > 0 {
		t.Error("a message from nowhere was taken")
	}
	for range 20000 {
		b := append([]byte(nil), good...)
		for range 1 + r.IntN(4) {
			b[1+r.IntN(len(b)-1)] = byte(r.IntN(256))
		}
		n.ReceivePeerMessage(f.now, 1+r.IntN(19), b)
		for _, ok := n.Next(f.now); ok; _, ok = n.Next(f.now) {
		}
		f.now += time.Millisecond
	}
	if n.Wake(f.now) <= 0 || !n.ReceivePeerMessage(f.now, 1, good) {
		t.Error("it does not go on")
	}
}
