package healthcheck

import (
	"encoding/hex"
	"slices"
	"testing"
	"time"
)

// A ranking contains each node once. Rankings spread the first places evenly over the nodes.
func TestRankingIsEven(t *testing.T) {
	const nodes, checkCount = 20, 4000
	first := make([]int, nodes)
	for id := range CheckID(checkCount) {
		order := Check{CheckServer, id}.rank(nodes)
		first[order[0]]++
		slices.Sort(order)
		for i, node := range order {
			if int(node) != i {
				t.Fatalf("check %d: %v", id, order)
			}
		}
	}
	for node, count := range first {
		if count < 140 || count > 260 { // 200 on average
			t.Errorf("node %d is first for %d of %d checks", node, count, checkCount)
		}
	}
	if a, b := (Check{CheckServer, 7}).rank(nodes), (Check{CheckList, 7}).rank(nodes); slices.Equal(a, b) {
		t.Error("checks of different kinds have the same ranking")
	}
}

// Without one node, the others keep their order.
func TestRankingKeepsOrderWithoutANode(t *testing.T) {
	for id := range CheckID(200) {
		small, large := Check{CheckServer, id}.rank(9), Check{CheckServer, id}.rank(10)
		large = slices.DeleteFunc(large, func(node uint16) bool { return node == 9 })
		if !slices.Equal(small, large) {
			t.Errorf("check %d: %v and %v", id, small, large)
		}
	}
}

// The ownership of node 0 depends on the states of the members that precede it in the ranking.
func TestOwnership(t *testing.T) {
	const suspected, died, rejoined = "011100", "011200", "011001" // updates about node 4
	for _, c := range []struct {
		name  string
		order ranking
		parts []string      // of messages of node 1, one each
		after time.Duration // from the last one
		want  Ownership
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
			for _, part := range c.parts {
				text, err := hex.DecodeString("d0020000000000" + part)
				if err != nil {
					t.Fatal(err)
				}
				if err := s.ReceivePeerMessage(0, 1, text); err != nil {
					t.Fatal(err)
				}
			}
			s.advance(c.after)
			if got := s.ownershipOf(c.order); got != c.want {
				t.Errorf("ownership %d, want %d", got, c.want)
			}
		})
	}
}
