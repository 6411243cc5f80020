package decision

import "testing"

// A request is pending at most once. Its slot is reused only once the request is no longer pending: otherwise the new
// request would be decided on in place of the old one.
func TestRequestTable(t *testing.T) {
	table := requestTable{slots: newSlotIndex[RequestID, requestSlot]()}
	a, b := table.add(request{id: 7, live: true}), table.add(request{id: 8, live: true})
	table.enqueue(a)
	table.enqueue(b)
	table.enqueue(a)
	table.release(&table.all[a])
	if c := table.add(request{id: 9, live: true}); c == a {
		t.Errorf("add(request 9) = slot %d, which is the slot of the pending request 7; want another slot", c)
	}
	if i, ok := table.dequeue(); !ok || i != b {
		t.Errorf("dequeue() = slot %d, %v, want slot %d, true", i, ok, b)
	}
	if _, ok := table.dequeue(); ok || table.slots.find(7) >= 0 {
		t.Errorf("dequeue() with no live request found one: %v, and request 7 has slot %d; want false and slot -1 for none", ok, table.slots.find(7))
	}
	if c := table.add(request{id: 10, live: true}); c != a {
		t.Errorf("add(request 10) = slot %d, want the free slot %d", c, a)
	}
}

// An attempt is cancelled at most once, and neither after its end nor after the response to the client has begun. A late
// cancellation would truncate the response. The last cancellation comes first.
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
			t.Errorf("nextCancellation() = %+v, %v, want %+v, true", got, ok, want)
		}
	}
	if got, ok := table.nextCancellation(); ok {
		t.Errorf("nextCancellation() after the last one = %+v, true, want false", got)
	}
	if r.inFlight != 2 || table.inFlight != 1 || r.attempts[0].mayHaveRun || !r.attempts[1].mayHaveRun {
		t.Errorf("%d attempts of request 7 are in flight, %d requests are in flight, mayHaveRun of attempts 0 and 1 = %v, %v; want 2, 1, false, true",
			r.inFlight, table.inFlight, r.attempts[0].mayHaveRun, r.attempts[1].mayHaveRun)
	}
}
