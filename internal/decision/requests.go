package decision

import "slices"

// requestSlot is where a request is kept.
type requestSlot int32

// attempt lives from its send until its end.
type attempt struct {
	server     serverSlot
	sent       Time
	inFlight   bool
	mayHaveRun bool // not proven that it never ran
	cancelled  bool
}

// request lives from arrival until its final answer has gone and none of its attempts is in flight.
type request struct {
	id           RequestID
	live         bool // the slot is in use
	closed       bool // the final answer has gone
	queued       bool // waits for Next
	streaming    bool // a response has begun: the client owns the attempt
	class        ClassID
	plan         PlanID
	customer     customerSlot
	arrived      Time
	deadline     Time // when the client gives up
	units        float64
	bucketPart   float64 // the part of the demand that its customer's bucket was charged by
	attempts     []attempt
	inFlight     int          // attempts
	askedOwnerAt Time         // when its quota owner was asked; 0: not
	verdict      ownerVerdict // of the owner
}

// tried tells whether an attempt went to a server.
func (r *request) tried(s serverSlot) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// mayHaveRun tells whether an attempt is not proven never to have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// cancellation is an attempt that is to be cancelled.
type cancellation struct {
	request RequestID
	attempt int
}

// requestTable keeps the requests, and which of them wait for a decision.
type requestTable struct {
	all           []request
	slots         slotIndex[RequestID, requestSlot]
	pending       []requestSlot // that wait for a decision, in order
	cancellations []cancellation
	inFlight      int // requests with an attempt in flight
}

// add gives a request a slot.
func (t *requestTable) add(r request) requestSlot {
	i := t.slots.add(r.id)
	if int(i) == len(t.all) {
		t.all = append(t.all, request{})
	}
	r.attempts = t.all[i].attempts[:0] // their room is used again
	t.all[i] = r
	return i
}

// enqueue lets a request wait for a decision.
func (t *requestTable) enqueue(i requestSlot) {
	if r := &t.all[i]; !r.queued {
		r.queued = true
		t.pending = append(t.pending, i)
	}
}

// dequeue is the next request that waits; one that ended meanwhile gives its slot back.
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

// release gives a request's slot back, once it waits for no decision any more.
func (t *requestTable) release(r *request) {
	r.live, r.attempts = false, r.attempts[:0] // their servers may be forgotten from now on
	if !r.queued {
		t.slots.drop(r.id)
	}
}

// cancel notes that an attempt is to be cancelled, unless its response has begun.
func (t *requestTable) cancel(r *request, k int) {
	if a := &r.attempts[k]; a.inFlight && !a.cancelled && !r.streaming {
		a.cancelled = true
		t.cancellations = append(t.cancellations, cancellation{r.id, k})
	}
}

// nextCancellation takes the attempt to cancel now, if there is one.
func (t *requestTable) nextCancellation() (cancellation, bool) {
	k := len(t.cancellations) - 1
	if k < 0 {
		return cancellation{}, false
	}
	c := t.cancellations[k]
	t.cancellations = t.cancellations[:k]
	return c, true
}

// attemptStarted counts an attempt that is sent now.
func (t *requestTable) attemptStarted(r *request, s serverSlot, now Time) {
	r.attempts = append(r.attempts, attempt{server: s, sent: now, inFlight: true, mayHaveRun: true})
	if r.inFlight++; r.inFlight == 1 {
		t.inFlight++
	}
}

// attemptEnded notes that an attempt has ended.
func (t *requestTable) attemptEnded(r *request, k int, o Outcome) {
	a := &r.attempts[k]
	a.inFlight = false
	a.mayHaveRun = o != Overloaded && o != ConnectFailed && o != NotSent
	if r.inFlight--; r.inFlight == 0 {
		t.inFlight--
	}
}

// ownerVerdict is what a customer's owner says of one request.
type ownerVerdict uint8

const (
	verdictPending ownerVerdict = iota
	verdictGranted
	verdictDenied
)
