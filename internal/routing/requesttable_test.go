package routing

import "testing"

// TestRequestTable checks that a number finds the Request of its slot, but not after the Request has got its next number.
func TestRequestTable(t *testing.T) {
	var table requestTable
	first, second := &Request{}, &Request{}
	table.add(first)
	table.add(second)
	for _, c := range []struct {
		number requestNumber
		want   *Request
	}{{0, first}, {1, second}, {requestSlots, nil}, {requestSlots + 1, nil}} {
		if table.find(c.number) != c.want {
			t.Errorf("find(%d) = %p, want %p (0x0 stands for nil)", c.number, table.find(c.number), c.want)
		}
	}
	first.number = first.number.next()
	if table.find(0) != nil || table.find(requestSlots) != first {
		t.Errorf("after the next number: find(0) = %p, find(%d) = %p, want nil, %p", table.find(0), requestSlots,
			table.find(requestSlots), first)
	}
}

// TestReleasedSlotKeepsItsNumbers guards against a decision on an earlier request that reaches a later one: a slot that is
// used again continues from its last number.
func TestReleasedSlotKeepsItsNumbers(t *testing.T) {
	var table requestTable
	requests := []*Request{{}, {}, {}}
	for _, req := range requests {
		table.add(req)
	}
	requests[1].number = requests[1].number.next().next()
	table.remove(requests[1])
	added := &Request{}
	table.add(added)
	if added.slot != 1 || added.number != 2*requestSlots+1 {
		t.Errorf("added Request has slot %d and number %d, want 1, %d", added.slot, added.number, 2*requestSlots+1)
	}
	if table.find(2*requestSlots+1) != added {
		t.Errorf("find(%d) = %p, want the added Request %p", 2*requestSlots+1, table.find(2*requestSlots+1), added)
	}
	last := &Request{}
	if table.add(last); last.slot != 3 || last.number != 3 {
		t.Errorf("last Request has slot %d and number %d, want 3, 3", last.slot, last.number)
	}
}

// TestRequestNumbersWrapAround checks that the count of a slot's requests wraps around and leaves the slot unchanged.
func TestRequestNumbersWrapAround(t *testing.T) {
	n := requestNumber(5)
	for range 1<<16 - 1 {
		if n = n.next(); n.slot() != 5 {
			t.Fatalf("slot of the number %d = %d, want 5", n, n.slot())
		}
	}
	if n.next() != 5 {
		t.Errorf("number after %d = %d, want 5", n, n.next())
	}
}
