package membership

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet carries messages between nodes without delay, where reaches lets them.
type fleet struct {
	nodes   []*Protocol
	now     time.Duration
	reaches func(from, to NodeID) bool
	got     map[NodeID][]Event // news, by the node that had it
}

func newFleet(nodes int, sendRate float64) *fleet {
	f := &fleet{reaches: func(_, _ NodeID) bool { return true }, got: map[NodeID][]Event{}}
	for i := range nodes {
		cfg := Config{Self: NodeID(i), Nodes: nodes, Seed: 5, ReceiveRate: 40, SendRate: sendRate, EventKinds: 3}
		f.nodes = append(f.nodes, New(cfg, 0))
	}
	return f
}

// play runs all nodes until a time. A nil node is down.
func (f *fleet) play(until time.Duration) {
	for ; f.now < until; f.now += 50 * time.Millisecond {
		for i, node := range f.nodes {
			if node == nil {
				continue
			}
			for m, ok := node.Next(f.now); ok; m, ok = node.Next(f.now) {
				if f.nodes[m.To] != nil && f.reaches(NodeID(i), m.To) {
					f.deliver(NodeID(i), m)
				}
			}
		}
	}
}

func (f *fleet) deliver(from NodeID, m Message) {
	_ = f.nodes[m.To].Receive(f.now, from, slices.Clone(m.Text), func(e Event) bool {
		isNews := !slices.ContainsFunc(f.got[m.To], func(known Event) bool { return known.Kind == e.Kind && known.ID == e.ID })
		if isNews {
			f.got[m.To] = append(f.got[m.To], e)
		}
		return isNews
	})
}

func ignoreEvents(Event) bool { return false }

// A node that vanishes is taken for dead by all others, and for alive again once it is back.
func TestVanishedMemberDiesAndRejoins(t *testing.T) {
	f := newFleet(9, 0)
	f.play(10 * time.Second)
	f.nodes[3] = nil
	f.play(40 * time.Second)
	for i, node := range f.nodes {
		if i != 3 && (node.State(3) != Dead || node.DeadCount() != 1 || node.Counters().Died != 1) {
			t.Errorf("%d: state %v, %d dead, %+v", i, node.State(3), node.DeadCount(), node.Counters())
		}
	}
	f.nodes[3] = New(Config{Self: 3, Nodes: 9, Seed: 6, ReceiveRate: 40, EventKinds: 3}, f.now)
	back := f.now
	f.play(f.now + 20*time.Second)
	for i, node := range f.nodes {
		if i == 3 {
			continue
		}
		if node.State(3) != Alive || node.Counters().Rejoined != 1 {
			t.Errorf("%d: state %v, %+v", i, node.State(3), node.Counters())
		}
		if node.AliveFor(3, f.now-back+time.Second) || !node.AliveFor(3, 0) || !node.AliveFor(4, time.Hour) {
			t.Errorf("%d does not know who was away for how long", i)
		}
	}
}

// A node that two others can't reach, but the rest can, is pinged by those and stays.
func TestOneBadLinkKillsNobody(t *testing.T) {
	f := newFleet(9, 0)
	f.reaches = func(from, to NodeID) bool { return (from >= 2 || to != 5) && (from != 5 || to >= 2) }
	f.play(90 * time.Second)
	for i, node := range f.nodes {
		if node.DeadCount() > 0 || node.Counters().Died > 0 {
			t.Errorf("%d takes %d for dead, %d died", i, node.DeadCount(), node.Counters().Died)
		}
	}
}

// Who is said to be dead refutes it, and whoever said so takes it back.
func TestLivingMemberRefutesItsDeath(t *testing.T) {
	f := newFleet(5, 0)
	for i := range 4 {
		f.nodes[i].apply(memberUpdate{id: 4, state: Suspect})
		f.nodes[i].apply(memberUpdate{id: 4, state: Dead})
	}
	f.play(20 * time.Second)
	for i := range 4 {
		if f.nodes[i].DeadCount() > 0 || f.nodes[i].members[4].incarnation == 0 {
			t.Errorf("%d goes on taking it for dead", i)
		}
	}
	if f.nodes[4].Counters().Refuted == 0 {
		t.Error("it never refuted it")
	}
}

// Halves that could not hear each other agree again, and an event of one half reaches the other.
func TestHalvesFindEachOtherAgain(t *testing.T) {
	f := newFleet(8, 0)
	f.reaches = func(from, to NodeID) bool { return (from < 4) == (to < 4) }
	f.play(60 * time.Second)
	if dead := f.nodes[0].DeadCount(); dead != 4 {
		t.Fatalf("%d dead while cut in two", dead)
	}
	f.reaches = func(_, _ NodeID) bool { return true }
	f.play(100 * time.Second)
	f.nodes[1].Publish(Event{Kind: 2, ID: 77, OK: true, At: f.now})
	published := f.now
	f.play(f.now + 20*time.Second)
	for i, node := range f.nodes {
		if node.DeadCount() > 0 {
			t.Errorf("%d takes %d for dead", i, node.DeadCount())
		}
		if i == 1 {
			continue
		}
		if got := f.got[NodeID(i)]; len(got) != 1 || got[0].Kind != 2 || got[0].ID != 77 || !got[0].OK ||
			got[0].At < published-50*time.Millisecond || got[0].At > published+50*time.Millisecond {
			t.Errorf("%d has the news %+v", i, got)
		}
	}
}

// What a node sends is bounded whatever comes in; what is withheld counts as lost.
func TestBytesAreBounded(t *testing.T) {
	f := newFleet(2, 600)
	node := f.nodes[0]
	request := f.nodes[1].encode(outgoing{to: 0, kind: ping, sequence: 1})
	for f.now = 0; f.now < 20*time.Second; f.now += time.Millisecond {
		if err := node.Receive(f.now, 1, request, ignoreEvents); err != nil {
			t.Fatal(err)
		}
		for sent := true; sent; {
			_, sent = node.Next(f.now)
		}
	}
	if c := node.Counters(); c.SentBytes > 21*600 || c.Withheld == 0 || c.Sent == 0 {
		t.Errorf("%+v", c)
	}
}

// goodMessage is one with a bitmap, an update and an event, from node 1 of 20.
func goodMessage() []byte {
	sender := New(Config{Self: 1, Nodes: 20, Seed: 5, ReceiveRate: 40, EventKinds: 3}, 0)
	sender.apply(memberUpdate{id: 7, state: Dead})
	sender.Publish(Event{Kind: 1, ID: 1, OK: true})
	return sender.encode(outgoing{to: 0, kind: ack, sequence: 3, withBitmap: true})
}

// Whatever arrives is taken whole or not at all.
func TestBadMessagesChangeNothing(t *testing.T) {
	node, good := newFleet(20, 0).nodes[0], goodMessage()
	for size := 1; size < len(good); size++ { // cut anywhere
		if m, err := decode(good[:size], 20, 3); err == nil && len(m.parts) > 3 || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%d of %d bytes: %+v, %v", size, len(good), m, err)
		}
	}
	for _, bad := range [][]byte{
		nil,
		{MessageMark},
		{MessageMark, 9, 1, 0, 0, 0, 0},
		{MessageMark, 3, 1, 0, 0, 0, 0, 200},
		make([]byte, 300),
		append(slices.Clone(good), 77),
		{MessageMark, 1, 1, 0, 0, 0, 0, bitmapPart, 0, 255, 255, 3},
	} {
		if err := node.Receive(0, 1, bad, ignoreEvents); !errors.Is(err, ErrMalformed) {
			t.Errorf("%v: %v", bad, err)
		}
	}
	for _, from := range []NodeID{0, 20, -1} {
		if err := node.Receive(0, from, good, ignoreEvents); !errors.Is(err, ErrMalformed) || node.DeadCount() > 0 {
			t.Errorf("from %d: %v, %d dead", from, err, node.DeadCount())
		}
	}
	if c := node.Counters(); c.Malformed != 10 || c.Received != 0 {
		t.Errorf("%+v", c)
	}
}

// Whatever arrives leaves a node that goes on.
func TestBadMessagesLeaveANodeThatGoesOn(t *testing.T) {
	node, good := newFleet(20, 0).nodes[0], goodMessage()
	random, now := rand.New(rand.NewPCG(1, 2)), time.Duration(0)
	for range 20000 {
		mutated := slices.Clone(good)
		for range 1 + random.IntN(4) {
			mutated[1+random.IntN(len(mutated)-1)] = byte(random.IntN(256))
		}
		_ = node.Receive(now, NodeID(1+random.IntN(19)), mutated, ignoreEvents)
		for sent := true; sent; {
			_, sent = node.Next(now)
		}
		now += time.Millisecond
	}
	if node.WakeAt() <= now-time.Millisecond {
		t.Errorf("at %v it is to wake at %v", now, node.WakeAt())
	}
	if err := node.Receive(now, 1, good, ignoreEvents); err != nil {
		t.Errorf("it does not go on: %v", err)
	}
}
