package decision

import "slices"

// requestSlot is an index into requestTable.all.
type requestSlot int32

// attempt is one attempt of a request. Attempts that have ended stay with their request.
type attempt struct {
	server     serverSlot
	sentAt     Time
	inFlight   bool
	mayHaveRun bool // the server may have executed the attempt; true while the attempt is in flight
	cancelled  bool // the cancellation has been queued
}

// request is the state of a request. The state exists until the request is closed and has no attempt in flight.
type request struct {
	id          RequestID
	live        bool // the slot is in use
	closed      bool // the final response has been sent, or the client has disconnected
	queued      bool // in requestTable.pending
	streaming   bool // the response to the client has begun
	class       ClassID
	plan        PlanID
	customer    customerSlot
	arrivedAt   Time
	deadline    Time    // the client's deadline
	units       float64 // expected use of the quota
	demandShare float64 // this node's share of the customer's demand, by which the quota was charged
	attempts    []attempt
	inFlight    int // number of attempts in flight

	queriedOwnerAt Time // time of the query to the quota owner; 0 if no query was sent
	ownerResponse  ownerResponse
}

// ownerResponse is a quota owner's response for one request.
type ownerResponse uint8

const (
	responsePending ownerResponse = iota
	responseGranted
	responseDenied
)

// tried reports whether an attempt of the request was sent to the server.
func (r *request) tried(s serverSlot) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// mayHaveRun reports whether any server may have executed the request.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// attemptInFlight reports whether the attempt with the given number is in flight.
func (r *request) attemptInFlight(number int) bool {
	return number < len(r.attempts) && r.attempts[number].inFlight
}

// cancellation identifies an attempt that is to be cancelled.
type cancellation struct {
	request RequestID
	attempt int
}

// requestTable holds the requests by slot.
type requestTable struct {
	all           []request
	slots         slotIndex[RequestID, requestSlot]
	pending       []requestSlot  // queue of requests to decide on
	cancellations []cancellation // stack of attempts to cancel
	inFlight      int            // number of requests with an attempt in flight
}

// add adds a request and returns its slot.
func (t *requestTable) add(r request) requestSlot {
	i := t.slots.add(r.id)
	if int(i) == len(t.all) {
		t.all = append(t.all, request{})
	}
	r.attempts = t.all[i].attempts[:0] // reuses the memory of the slot's former request
	t.all[i] = r
	return i
}

// enqueue adds a request to the pending ones, unless the request is already pending.
func (t *requestTable) enqueue(i requestSlot) {
	if r := &t.all[i]; !r.queued {
		r.queued = true
		t.pending = append(t.pending, i)
	}
}

// dequeue removes and returns the first pending request, and false if there is none. It skips pending requests that have
// ended and releases their slots.
func (t *requestTable) dequeue() (requestSlot, bool) {
	for len(t.pending) > 0 {
		i := t.pending[0]
		t.pending = t.pending[1:]
		r := &t.all[i]
		r.queued = false
		if r.live {
			return i, true
		}
		t.slots.drop(r.id)
	}
	t.pending = t.pending[:0]
	return -1, false
}

// release ends a request. The slot becomes free at once, unless the request is pending: then dequeue frees it.
func (t *requestTable) release(r *request) {
	r.live = false
	r.attempts = r.attempts[:0] // drops the references to the attempts' servers
	if !r.queued {
		t.slots.drop(r.id)
	}
}

// cancel queues the cancellation of an attempt in flight. The call has no effect once the response to the client has begun.
func (t *requestTable) cancel(r *request, number int) {
	if a := &r.attempts[number]; a.inFlight && !a.cancelled && !r.streaming {
		a.cancelled = true
		t.cancellations = append(t.cancellations, cancellation{r.id, number})
	}
}

// nextCancellation removes and returns the cancellation that was queued last, and false if there is none.
func (t *requestTable) nextCancellation() (cancellation, bool) {
	last := len(t.cancellations) - 1
	if last < 0 {
		return cancellation{}, false
	}
	c := t.cancellations[last]
	t.cancellations = t.cancellations[:last]
	return c, true
}

// attemptStarted adds an attempt that is sent to a server now.
func (t *requestTable) attemptStarted(r *request, s serverSlot, now Time) {
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now, inFlight: true, mayHaveRun: true})
	r.inFlight++
	if r.inFlight == 1 {
		t.inFlight++
	}
}

// attemptEnded records the outcome of an attempt in flight.
func (t *requestTable) attemptEnded(r *request, number int, outcome Outcome) {
	a := &r.attempts[number]
	a.inFlight = false
	a.mayHaveRun = outcome.mayHaveRun()
	r.inFlight--
	if r.inFlight == 0 {
		t.inFlight--
	}
}

// mayHaveRun reports whether a server may have executed an attempt that had the outcome.
func (o Outcome) mayHaveRun() bool { return o != Overloaded && o != ConnectFailed && o != NotSent }
