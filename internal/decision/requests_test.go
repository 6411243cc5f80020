package decision

import "testing"

// A request is pending only once. Its slot is reused only when it is no longer pending.
func TestRequestTable(t *testing.T) {
	table := requestTable{slots: newSlotIndex[RequestID, requestSlot]()}
	a, b := table.add(request{id: 7, live: true}), table.add(request{id: 8, live: true})
	table.enqueue(a)
	table.enqueue(b)
	table.enqueue(a)
	table.release(&table.all[a])
	if c := table.add(request{id: 9, live: true}); c == a {
		t.Error("the slot of a request that waits was used again")
	}
	if i, ok := table.dequeue(); !ok || i != b {
		t.Errorf("request %d was next", i)
	}
	if _, ok := table.dequeue(); ok || table.slots.find(7) >= 0 {
		t.Error("a request that ended was next, or is kept")
	}
	if c := table.add(request{id: 10, live: true}); c != a {
		t.Errorf("slot %d, not the free one", c)
	}
}

// An attempt is cancelled once, and not after its response has begun or it has ended. The last cancellation comes
// first.
func TestCancellations(t *testing.T) {
	table := requestTable{slots: newSlotIndex[RequestID, requestSlot]()}
	r := &request{id: 7}
	for s := range serverSlot(3) {
		table.attemptStarted(r, s, Second)
	}
	table.attemptEnded(r, 0, ConnectFailed)
	for range 2 {
		for k := range r.attempts {
			table.cancel(r, k)
		}
	}
	streaming := &request{id: 8, streaming: true, attempts: []attempt{{inFlight: true}}}
	table.cancel(streaming, 0)
	for _, want := range []cancellation{{7, 2}, {7, 1}} {
		if got, ok := table.nextCancellation(); !ok || got != want {
			t.Errorf("%+v, not %+v", got, want)
		}
	}
	if got, ok := table.nextCancellation(); ok {
		t.Errorf("%+v", got)
	}
	if r.inFlight != 2 || table.inFlight != 1 || r.attempts[0].mayHaveRun || !r.attempts[1].mayHaveRun {
		t.Errorf("%+v, %d requests in flight", r, table.inFlight)
	}
}
