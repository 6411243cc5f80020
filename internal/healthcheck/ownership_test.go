package healthcheck

import (
	"encoding/hex"
	"slices"
	"testing"
	"time"
)

// A task's ranking is the same at all nodes, has each node once, and spreads tasks evenly.
func TestRankingIsEven(t *testing.T) {
	const nodes, tasks = 20, 4000
	first := make([]int, nodes)
	for id := range CheckID(tasks) {
		order := Check{CheckServer, id}.rank(nodes)
		first[order[0]]++
		slices.Sort(order)
		for i, node := range order {
			if int(node) != i {
				t.Fatalf("task %d: %v", id, order)
			}
		}
	}
	for node, count := range first {
		if count < 140 || count > 260 { // 200 on average
			t.Errorf("%d owns %d of %d tasks", node, count, tasks)
		}
	}
	if a, b := (Check{CheckServer, 7}).rank(nodes), (Check{CheckList, 7}).rank(nodes); slices.Equal(a, b) {
		t.Error("the kind makes no difference")
	}
}

// Of a node that goes only its own tasks move.
func TestRankingMovesLittle(t *testing.T) {
	for id := range CheckID(200) {
		small, large := Check{CheckServer, id}.rank(9), Check{CheckServer, id}.rank(10)
		large = slices.DeleteFunc(large, func(node uint16) bool { return node == 9 })
		if !slices.Equal(small, large) {
			t.Errorf("task %d: %v and %v", id, small, large)
		}
	}
}

// Who owns a task, by what the others are taken for here.
func TestOwnership(t *testing.T) {
	const suspected, died, back = "011100", "011200", "011001" // node 4, by state and incarnation
	for _, c := range []struct {
		name  string
		order ranking
		parts []string      // of messages of node 1, one each
		after time.Duration // from the last one
		want  ownership
	}{
		{"first", ranking{0, 4, 1}, nil, 0, ownership{owner: true, primary: true}},
		{"second", ranking{4, 0, 1}, nil, 0, ownership{}},
		{"behind a suspect", ranking{4, 0, 1}, []string{suspected}, 0, ownership{owner: true, primary: true}},
		{"behind a suspect and another", ranking{4, 1, 0}, []string{suspected}, 0, ownership{}},
		{"behind a dead one", ranking{4, 0, 1}, []string{died}, 0, ownership{owner: true, primary: true}},
		{"behind one that rejoined", ranking{4, 0, 1}, []string{died, back}, 0, ownership{owner: true}},
		{"behind one that has been back for long", ranking{4, 0, 1}, []string{died, back}, time.Minute, ownership{}},
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
			if got := s.ownership(c.order); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}
