package membership

import (
	"testing"
	"time"
)

// TestUpdatesOverrideByIncarnation guards against outdated updates that change a state. An update overrides the known state
// by its incarnation, then by its state. An update that changes the state is gossiped.
func TestUpdatesOverrideByIncarnation(t *testing.T) {
	for _, c := range []struct {
		name      string
		have, in  memberUpdate
		want      memberUpdate
		gossiped  bool
		suspected int64
		died      int64
		rejoined  int64
	}{
		{name: "suspicion", in: memberUpdate{state: Suspect}, want: memberUpdate{state: Suspect}, gossiped: true, suspected: 1},
		{name: "death at once", in: memberUpdate{state: Dead}, want: memberUpdate{state: Dead}, gossiped: true, died: 1},
		{name: "already known", have: memberUpdate{state: Suspect}, in: memberUpdate{state: Suspect}, want: memberUpdate{state: Suspect}},
		{
			name: "alive does not refute at the same incarnation", have: memberUpdate{state: Suspect}, in: memberUpdate{state: Alive},
			want: memberUpdate{state: Suspect},
		},
		{
			name: "alive refutes at a higher incarnation", have: memberUpdate{state: Suspect, incarnation: 4}, in: memberUpdate{state: Alive, incarnation: 5},
			want: memberUpdate{state: Alive, incarnation: 5}, gossiped: true,
		},
		{
			name: "alive at a higher incarnation than the death", have: memberUpdate{state: Dead, incarnation: 4}, in: memberUpdate{state: Alive, incarnation: 5},
			want: memberUpdate{state: Alive, incarnation: 5}, gossiped: true, rejoined: 1,
		},
		{
			name: "out of date", have: memberUpdate{state: Alive, incarnation: 6}, in: memberUpdate{state: Dead, incarnation: 5},
			want: memberUpdate{state: Alive, incarnation: 6},
		},
		{
			name: "same state at a higher incarnation", have: memberUpdate{state: Alive, incarnation: 6}, in: memberUpdate{state: Alive, incarnation: 9},
			want: memberUpdate{state: Alive, incarnation: 9},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(Config{Self: 0, Nodes: 4}, 0)
			m := &p.members[2]
			m.state, m.incarnation = c.have.state, c.have.incarnation
			version, hash := p.Version(), p.deadHash
			c.in.id = 2
			p.apply(c.in)
			if m.state != c.want.state || m.incarnation != c.want.incarnation || p.State(2) != c.want.state {
				t.Errorf("after the update: state %d, incarnation %d, State(2) = %d; want state %d, incarnation %d (0 is Alive, 1 Suspect, 2 Dead)",
					m.state, m.incarnation, p.State(2), c.want.state, c.want.incarnation)
			}
			if gossiped := len(p.gossip.updates) == 1; gossiped != c.gossiped || (p.Version() != version) != c.gossiped {
				t.Errorf("after the update: gossiped = %v, version changed = %v (from %d to %d); want both %v",
					gossiped, p.Version() != version, version, p.Version(), c.gossiped)
			}
			if isDead := c.want.state == Dead; (p.deadHash != hash) != isDead {
				t.Errorf("hash of the dead members changed = %v (from %x to %x), want %v", p.deadHash != hash, hash, p.deadHash, isDead)
			}
			if n := p.Counters(); n.Suspected != c.suspected || n.Died != c.died || n.Rejoined != c.rejoined {
				t.Errorf("counters = %+v, want Suspected %d, Died %d and Rejoined %d", n, c.suspected, c.died, c.rejoined)
			}
		})
	}
}

// TestRefuteRaisesTheIncarnation guards against a live node that stays suspect, and against an endless series of
// refutations. A node refutes each suspicion of itself once, with a higher incarnation.
func TestRefuteRaisesTheIncarnation(t *testing.T) {
	p := New(Config{Self: 1, Nodes: 4}, 0)
	for _, c := range []struct {
		in      memberUpdate
		want    incarnation
		refuted int64
	}{
		{memberUpdate{id: 1, state: Alive, incarnation: 7}, 0, 0},
		{memberUpdate{id: 1, state: Suspect, incarnation: 7}, 8, 1},
		{memberUpdate{id: 1, state: Dead, incarnation: 7}, 8, 1},
		{memberUpdate{id: 1, state: Dead, incarnation: 8}, 9, 2},
	} {
		p.apply(c.in)
		if p.members[1].incarnation != c.want || p.Counters().Refuted != c.refuted || p.members[1].state != Alive {
			t.Errorf("after the update %+v: own record %+v, Refuted %d; want state %d (Alive), incarnation %d and Refuted %d",
				c.in, p.members[1], p.Counters().Refuted, Alive, c.want, c.refuted)
		}
	}
}

// TestCompareDeadReturnsMembersNotDeadHere guards against sets of dead members that stay different. compareDead returns the
// members that are dead at the peer and not here, and refutes this node's own death.
func TestCompareDeadReturnsMembersNotDeadHere(t *testing.T) {
	p := New(Config{Self: 1, Nodes: 11}, 0)
	p.apply(memberUpdate{id: 9, state: Dead})
	if bitmap := p.deadBitmap(0, 11); len(bitmap) != 2 || bitmap[0] != 0 || bitmap[1] != 1<<1 {
		t.Errorf("deadBitmap(0, 11) = %x, want 0002", bitmap)
	}
	if bitmap := p.deadBitmap(8, 3); len(bitmap) != 1 || bitmap[0] != 1<<1 {
		t.Errorf("deadBitmap(8, 3) = %x, want 02", bitmap)
	}
	alive := map[NodeID]bool{}
	for _, id := range p.compareDead(0, []byte{1<<1 | 1<<4, 1<<0 | 1<<1 | 1<<7}) { // 1, 4, 8, 9, and 15, which is beyond the last member
		alive[id] = true
	}
	if len(alive) != 2 || !alive[4] || !alive[8] || p.Counters().Refuted != 1 || p.members[1].incarnation != 1 {
		t.Errorf("compareDead: members %v not dead here, counters %+v, own record %+v; want members 4 and 8, Refuted 1 and incarnation 1",
			alive, p.Counters(), p.members[1])
	}
}

// TestAliveForCountsFromRejoin guards against trust in a member that has just rejoined. AliveFor counts from the last time
// that the member rejoined, and is true for a member that was never dead.
func TestAliveForCountsFromRejoin(t *testing.T) {
	p := New(Config{Self: 0, Nodes: 3}, 5*time.Second)
	p.apply(memberUpdate{id: 2, state: Dead})
	p.Advance(6 * time.Second)
	p.apply(memberUpdate{id: 2, state: Alive, incarnation: 1})
	p.Advance(8 * time.Second)
	p.Advance(7 * time.Second) // an earlier time is ignored
	if !p.AliveFor(1, time.Hour) || !p.AliveFor(2, 2*time.Second) || p.AliveFor(2, 2*time.Second+1) {
		t.Errorf("AliveFor of a member never dead: %v for 1h; of one that rejoined 2s ago: %v for 2s, %v for 2s and 1ns; want true, true, false",
			p.AliveFor(1, time.Hour), p.AliveFor(2, 2*time.Second), p.AliveFor(2, 2*time.Second+1))
	}
}
