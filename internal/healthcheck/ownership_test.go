package healthcheck

import (
	"encoding/hex"
	"slices"
	"testing"
	"time"
)

// TestRankingIsEven checks that a ranking contains each node once, and each node is the first one for an even share of the
// checks. With an uneven hash, some nodes would own most checks.
func TestRankingIsEven(t *testing.T) {
	const nodes, checkCount = 20, 4000
	first := make([]int, nodes)
	for id := range CheckID(checkCount) {
		order := Check{CheckServer, id}.rank(nodes)
		first[order[0]]++
		slices.Sort(order)
		for i, node := range order {
			if int(node) != i {
				t.Fatalf("sorted ranking of check %d = %v, want each node from 0 to %d once", id, order, nodes-1)
			}
		}
	}
	for node, count := range first {
		if count < 140 || count > 260 { // The mean is 200.
			t.Errorf("node %d is first in the ranking of %d of %d checks, want 140 to 260", node, count, checkCount)
		}
	}
	if a, b := (Check{CheckServer, 7}).rank(nodes), (Check{CheckList, 7}).rank(nodes); slices.Equal(a, b) {
		t.Errorf("ranking of CheckServer 7 = ranking of CheckList 7 = %v, want different rankings", a)
	}
}

// TestRankingKeepsOrderWithoutANode checks that the ranking of the other nodes does not change if a node leaves. Otherwise
// checks of other nodes would change their owner.
func TestRankingKeepsOrderWithoutANode(t *testing.T) {
	for id := range CheckID(200) {
		small, large := Check{CheckServer, id}.rank(9), Check{CheckServer, id}.rank(10)
		large = slices.DeleteFunc(large, func(node uint16) bool { return node == 9 })
		if !slices.Equal(small, large) {
			t.Errorf("check %d: ranking of 9 nodes = %v, ranking of 10 nodes without node 9 = %v, want the same", id, small, large)
		}
	}
}

// TestOwnership checks that the ownership of node 0 depends on the states of the members that precede it in the ranking.
// With a wrong role, no node would run a check while a member fails or rejoins, or two nodes would run it for longer than
// the handover time.
func TestOwnership(t *testing.T) {
	const suspected, died, rejoined = "011100", "011200", "011001" // encoded updates about node 4
	for _, c := range []struct {
		name    string
		order   ranking
		updates []string      // updates that node 1 sends, each in its own message
		elapsed time.Duration // time since the last message
		want    Ownership
	}{
		{"first", ranking{0, 4, 1}, nil, 0, PrimaryOwner},
		{"second", ranking{4, 0, 1}, nil, 0, NotOwner},
		{"after a suspect", ranking{4, 0, 1}, []string{suspected}, 0, PrimaryOwner},
		{"after a suspect and another", ranking{4, 1, 0}, []string{suspected}, 0, NotOwner},
		{"after a dead one", ranking{4, 0, 1}, []string{died}, 0, PrimaryOwner},
		{"after one that rejoined", ranking{4, 0, 1}, []string{died, rejoined}, 0, BackupOwner},
		{"after one that rejoined long ago", ranking{4, 0, 1}, []string{died, rejoined}, time.Minute, NotOwner},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Config{Self: 0, Nodes: 5, ReceiveRate: 40, Interval: time.Second}, 0)
			for _, update := range c.updates {
				payload, err := hex.DecodeString("d0020000000000" + update)
				if err != nil {
					t.Fatalf("decode update %q: %v", update, err)
				}
				if err := s.ReceivePeerMessage(0, 1, payload); err != nil {
					t.Fatalf("ReceivePeerMessage(%x) failed: %v, want no error", payload, err)
				}
			}
			s.advance(c.elapsed)
			if got := s.ownershipOf(c.order); got != c.want {
				t.Errorf("ownershipOf(%v) = %d, want %d (0 is NotOwner, 1 BackupOwner, 2 PrimaryOwner)", c.order, got, c.want)
			}
		})
	}
}
