package membership

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a simulated fleet, whose network delivers each message without delay.
type fleet struct {
	nodes          []*Protocol                // nodes by number; nil for a node that is down
	now            time.Duration              // virtual time
	reaches        func(from, to NodeID) bool // whether a message is delivered
	receivedEvents map[NodeID][]Event         // new events by the node that received them
}

// newFleet returns a fleet whose nodes all reach each other. sendRate is Config.SendRate.
func newFleet(nodes int, sendRate float64) *fleet {
	f := &fleet{reaches: func(_, _ NodeID) bool { return true }, receivedEvents: map[NodeID][]Event{}}
	for i := range nodes {
		cfg := Config{Self: NodeID(i), Nodes: nodes, Seed: 5, ReceiveRate: 40, SendRate: sendRate, EventKinds: 3}
		f.nodes = append(f.nodes, New(cfg, 0))
	}
	return f
}

// run runs all nodes until a time, in steps of 50 ms.
func (f *fleet) run(until time.Duration) {
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

// deliver passes a message to its receiver, and records the events that are new there.
func (f *fleet) deliver(from NodeID, m Message) {
	_ = f.nodes[m.To].Receive(f.now, from, slices.Clone(m.Payload), func(e Event) bool {
		isNew := !slices.ContainsFunc(f.receivedEvents[m.To], func(known Event) bool { return known.Kind == e.Kind && known.ID == e.ID })
		if isNew {
			f.receivedEvents[m.To] = append(f.receivedEvents[m.To], e)
		}
		return isNew
	})
}

// ignoreEvents reports that no event is new.
func ignoreEvents(Event) bool { return false }

// TestStoppedMemberDiesAndRejoins guards against failures and restarts that nodes do not detect. A node that stops becomes
// dead at all others, and alive again after its restart.
func TestStoppedMemberDiesAndRejoins(t *testing.T) {
	f := newFleet(9, 0)
	f.run(10 * time.Second)
	f.nodes[3] = nil
	f.run(40 * time.Second)
	for i, node := range f.nodes {
		if i != 3 && (node.State(3) != Dead || node.DeadCount() != 1 || node.Counters().Died != 1) {
			t.Errorf("node %d after the stop of node 3: state of node 3 = %d, %d nodes dead, counters %+v; want %d (Dead), 1 and Died 1",
				i, node.State(3), node.DeadCount(), node.Counters(), Dead)
		}
	}
	f.nodes[3] = New(Config{Self: 3, Nodes: 9, Seed: 6, ReceiveRate: 40, EventKinds: 3}, f.now)
	restartedAt := f.now
	f.run(f.now + 20*time.Second)
	for i, node := range f.nodes {
		if i == 3 {
			continue
		}
		if node.State(3) != Alive || node.Counters().Rejoined != 1 {
			t.Errorf("node %d after the restart of node 3: state of node 3 = %d, counters %+v; want %d (Alive) and Rejoined 1", i, node.State(3), node.Counters(), Alive)
		}
		if node.AliveFor(3, f.now-restartedAt+time.Second) || !node.AliveFor(3, 0) || !node.AliveFor(4, time.Hour) {
			t.Errorf("node %d: AliveFor(3) = %v for 1s more than the time since the restart of node 3, %v for 0s, AliveFor(4) = %v for 1h; want false, true, true",
				i, node.AliveFor(3, f.now-restartedAt+time.Second), node.AliveFor(3, 0), node.AliveFor(4, time.Hour))
		}
	}
}

// TestIndirectPingsBypassBrokenLinks guards against the death of a live node because of broken links. A node that two others
// cannot reach stays alive, because the rest ping it on their behalf.
func TestIndirectPingsBypassBrokenLinks(t *testing.T) {
	f := newFleet(9, 0)
	f.reaches = func(from, to NodeID) bool { return (from >= 2 || to != 5) && (from != 5 || to >= 2) }
	f.run(90 * time.Second)
	for i, node := range f.nodes {
		if node.DeadCount() > 0 || node.Counters().Died > 0 {
			t.Errorf("node %d: %d nodes dead, counter Died %d; want 0 and 0", i, node.DeadCount(), node.Counters().Died)
		}
	}
}

// TestLivingMemberRefutesItsDeath guards against a live node that stays dead elsewhere. A live node that others consider
// dead refutes that, and becomes alive there.
func TestLivingMemberRefutesItsDeath(t *testing.T) {
	f := newFleet(5, 0)
	for i := range 4 {
		f.nodes[i].apply(memberUpdate{id: 4, state: Suspect})
		f.nodes[i].apply(memberUpdate{id: 4, state: Dead})
	}
	f.run(20 * time.Second)
	for i := range 4 {
		if f.nodes[i].DeadCount() > 0 || f.nodes[i].members[4].incarnation == 0 {
			t.Errorf("node %d: %d nodes dead, node 4 has incarnation %d; want 0 dead and an incarnation above 0",
				i, f.nodes[i].DeadCount(), f.nodes[i].members[4].incarnation)
		}
	}
	if f.nodes[4].Counters().Refuted == 0 {
		t.Error("node 4 refuted no update, want at least one")
	}
}

// TestFleetConvergesAfterPartition guards against a partition that never ends. After a partition both halves agree on the
// members again, and an event of one half reaches the other half.
func TestFleetConvergesAfterPartition(t *testing.T) {
	f := newFleet(8, 0)
	f.reaches = func(from, to NodeID) bool { return (from < 4) == (to < 4) }
	f.run(60 * time.Second)
	if dead := f.nodes[0].DeadCount(); dead != 4 {
		t.Fatalf("node 0 considers %d nodes dead during the partition, want 4", dead)
	}
	f.reaches = func(_, _ NodeID) bool { return true }
	f.run(100 * time.Second)
	f.nodes[1].Publish(Event{Kind: 2, ID: 77, OK: true, At: f.now})
	publishedAt := f.now
	f.run(f.now + 20*time.Second)
	for i, node := range f.nodes {
		if node.DeadCount() > 0 {
			t.Errorf("node %d considers %d nodes dead after the partition, want 0", i, node.DeadCount())
		}
		if i == 1 {
			continue
		}
		if got := f.receivedEvents[NodeID(i)]; len(got) != 1 || got[0].Kind != 2 || got[0].ID != 77 || !got[0].OK ||
			got[0].At < publishedAt-50*time.Millisecond || got[0].At > publishedAt+50*time.Millisecond {
			t.Errorf("node %d received the events %+v, want one of kind 2 with id 77, OK, within 50ms of %v", i, got, publishedAt)
		}
	}
}

// TestSendRateBoundsBytes guards against more bytes than SendRate. A node that receives many pings sends acks within
// SendRate, and counts the messages that it withholds.
func TestSendRateBoundsBytes(t *testing.T) {
	f := newFleet(2, 600)
	node := f.nodes[0]
	pingPayload := f.nodes[1].encode(outgoing{to: 0, kind: ping, sequence: 1})
	for f.now = 0; f.now < 20*time.Second; f.now += time.Millisecond {
		if err := node.Receive(f.now, 1, pingPayload, ignoreEvents); err != nil {
			t.Fatal("receiving a ping:", err)
		}
		for sent := true; sent; {
			_, sent = node.Next(f.now)
		}
	}
	if c := node.Counters(); c.SentBytes > 21*600 || c.Withheld == 0 || c.Sent == 0 {
		t.Errorf("counters = %+v, want SentBytes at most %d, and Withheld and Sent above 0", c, 21*600)
	}
}

// validMessage returns a message of node 1 of 20 with a bitmap, an update and an event.
func validMessage() []byte {
	sender := New(Config{Self: 1, Nodes: 20, Seed: 5, ReceiveRate: 40, EventKinds: 3}, 0)
	sender.apply(memberUpdate{id: 7, state: Dead})
	sender.Publish(Event{Kind: 1, ID: 1, OK: true})
	return sender.encode(outgoing{to: 0, kind: ack, sequence: 3, withBitmap: true})
}

// TestMalformedMessagesChangeNothing guards against a malformed message that changes the state of a node. Such a message
// changes only the counter of malformed messages and the clock.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	node, valid := newFleet(20, 0).nodes[0], validMessage()
	for size := 1; size < len(valid); size++ { // truncated at any byte
		if m, err := decode(valid[:size], 20, 3); err == nil && len(m.parts) > 3 || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("decode of the first %d of %d bytes = %+v, %v; want at most 3 parts, or an error that wraps ErrMalformed", size, len(valid), m, err)
		}
	}
	for _, malformed := range [][]byte{
		nil,
		{MagicByte},
		{MagicByte, 9, 1, 0, 0, 0, 0},
		{MagicByte, 3, 1, 0, 0, 0, 0, 200},
		make([]byte, 300),
		append(slices.Clone(valid), 77),
		{MagicByte, 1, 1, 0, 0, 0, 0, byte(bitmapPart), 0, 255, 255, 3},
	} {
		if err := node.Receive(0, 1, malformed, ignoreEvents); !errors.Is(err, ErrMalformed) {
			t.Errorf("Receive(%x): error %v, want one that wraps ErrMalformed", malformed, err)
		}
	}
	for _, from := range []NodeID{0, 20, -1} {
		if err := node.Receive(0, from, valid, ignoreEvents); !errors.Is(err, ErrMalformed) || node.DeadCount() > 0 {
			t.Errorf("Receive from node %d: error %v, %d nodes dead; want an error that wraps ErrMalformed and 0 dead", from, err, node.DeadCount())
		}
	}
	if c := node.Counters(); c.Malformed != 10 || c.Received != 0 {
		t.Errorf("counters = %+v, want Malformed 10 and Received 0", c)
	}
}

// TestNodeSurvivesRandomMessages guards against a panic or a stuck node. After many messages with random bytes the node
// still sends and receives.
func TestNodeSurvivesRandomMessages(t *testing.T) {
	node, valid := newFleet(20, 0).nodes[0], validMessage()
	random, now := rand.New(rand.NewPCG(1, 2)), time.Duration(0)
	for range 20000 {
		mutated := slices.Clone(valid)
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
		t.Errorf("WakeAt() at %v = %v, want a later time", now-time.Millisecond, node.WakeAt())
	}
	if err := node.Receive(now, 1, valid, ignoreEvents); err != nil {
		t.Errorf("Receive of a valid message: error %v, want none", err)
	}
}
