package routing

import "testing"

func TestRequestTable(t *testing.T) {
	var table requestTable
	one, two := &Request{}, &Request{}
	table.add(one)
	table.add(two)
	for _, c := range []struct {
		number requestNumber
		want   *Request
	}{{0, one}, {1, two}, {requestSlots, nil}, {requestSlots + 1, nil}} {
		if table.find(c.number) != c.want {
			t.Errorf("the number %d finds another Request", c.number)
		}
	}
	one.number = one.number.next()
	if table.find(0) != nil || table.find(requestSlots) != one {
		t.Error("the request before is found, or the next one is not")
	}
}

// A slot that is used again counts on from its last number, so that decisions on earlier requests do not reach later ones.
func TestReleasedSlotKeepsItsNumbers(t *testing.T) {
	var table requestTable
	requests := []*Request{{}, {}, {}}
	for _, req := range requests {
		table.add(req)
	}
	requests[1].number = requests[1].number.next().next()
	table.remove(requests[1])
	again := &Request{}
	table.add(again)
	if again.slot != 1 || again.number != 2*requestSlots+1 {
		t.Errorf("slot %d, number %d", again.slot, again.number)
	}
	if table.find(2*requestSlots+1) != again {
		t.Error("the slot has the Request that was released")
	}
	last := &Request{}
	if table.add(last); last.slot != 3 || last.number != 3 {
		t.Errorf("the next one has slot %d and number %d", last.slot, last.number)
	}
}

// The count of a slot's requests wraps around, and the slot stays.
func TestRequestNumbersWrapAround(t *testing.T) {
	n := requestNumber(5)
	for range 1<<16 - 1 {
		if n = n.next(); n.slot() != 5 {
			t.Fatalf("the number %d has slot %d", n, n.slot())
		}
	}
	if n.next() != 5 {
		t.Errorf("%d follows the last number", n.next())
	}
}
