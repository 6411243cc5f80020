package decision

import (
	"slices"
)

// ResponseStarted notes that an answer has begun: the client owns the execution now.
func (n *Engine) ResponseStarted(id uint32) {
	if i := n.requestSlots.find(id); i >= 0 {
		n.requests[i].streaming = true
	}
}

// ClientGone notes that the client has gone.
func (n *Engine) ClientGone(id uint32) {
	if i := n.requestSlots.find(id); i >= 0 {
		n.closeRequest(i)
	}
}

// closeRequest closes a ticket and calls back what is still out for it.
func (n *Engine) closeRequest(i int32) {
	t := &n.requests[i]
	if t.closed {
		return
	}
	t.closed = true
	for k := range t.attempts {
		n.cancelAttempt(t, k)
	}
	if t.inFlight == 0 {
		n.freeRequest(i)
	}
}

// enqueue queues a ticket for Next.
func (n *Engine) enqueue(i int32) {
	if t := &n.requests[i]; !t.queued {
		t.queued = true
		n.pending = append(n.pending, i)
	}
}

// freeRequest gives a ticket's slot back, once it is not queued any more.
func (n *Engine) freeRequest(i int32) {
	if t := &n.requests[i]; t.live {
		n.releaseReservation(t)
		t.live, t.attempts = false, t.attempts[:0] // their servers may be forgotten from now on
		if !t.queued {
			n.requestSlots.drop(t.id)
		}
	}
}

// AddRequest notes a ticket that came in.
func (n *Engine) AddRequest(a Request) {
	i := n.requestSlots.add(a.ID)
	if int(i) == len(n.requests) {
		n.requests = append(n.requests, request{})
	}
	t := &n.requests[i]
	*t = request{
		id: a.ID, live: true, class: min(a.Class, len(n.classes)-1), plan: min(a.Plan, len(n.plans)-1),
		arrived: n.now, deadline: n.now + a.Timeout, units: a.Units, bucketPart: 1, attempts: t.attempts[:0],
	}
	t.customer = n.customerSlot(a.Customer, t.plan, a.Spread, a.FirstNode)
	c := &n.customers[t.customer]
	c.lastRequest = n.now
	c.demand.add(a.Units, n.now, demandMemory)
	if n.now == n.pauseEndedAt {
		n.arrivedInPause++
	}
	n.recordUse(false, t.customer, a.Units, 0)
	n.enqueue(i)
}

// canFinish is how many executions this node saw completed, of late, in a span. What is out over it is the
// wait that a ticket let in now faces. The cap on it guards against a back end that fills within an
// interval: a burst, a slowdown, a crowd of repeats. It could harm after a lull: openLeast lets it grow.
func (n *Engine) canFinish(span Time) float64 {
	best := 0.0
	if len(n.completedRates) > 0 {
		best = slices.Max(n.completedRates[max(0, len(n.completedRates)-3):])
	}
	return best * seconds(span)
}

// usualLatency is a band's usual completed latency, before any a quarter of the contract time.
func (n *Engine) usualLatency(b *requestClass) float64 {
	if b.latency.count < 1 {
		return float64(b.latencyObjective) / 4
	}
	return b.latency.sum / b.latency.count
}

func (n *Engine) cancelAttempt(t *request, k int) {
	if x := &t.attempts[k]; x.inFlight && !x.cancelled && !t.streaming && n.settings.Enabled("withdraw") {
		x.cancelled = true
		n.cancellations = append(n.cancellations, Decision{Action: CancelAttempt, Request: t.id, Attempt: k})
	}
}
