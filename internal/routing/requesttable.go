package routing

// requestSlots is the number of slots of a requestTable, and thus the largest number of Requests at once.
// requestTable.add does not check that limit.
const requestSlots = 1 << 16

// requestSlot is the index of a Request in the Router's requestTable.
type requestSlot uint32

// requestNumber identifies a request to the engine. Its low part is the slot. Its high part counts the slot's requests, and
// wraps around. A late decision on a closed request therefore does not reach the next request of its slot.
type requestNumber uint32

// slot returns the slot of the request.
func (n requestNumber) slot() requestSlot { return requestSlot(n % requestSlots) }

// next returns the number of the next request of the same slot.
func (n requestNumber) next() requestNumber { return n + requestSlots }

// requestTable holds the Requests by slot. A free slot keeps its last Request, so that the next one continues from its
// number. Router.mu guards the table.
type requestTable struct {
	bySlot []*Request
	free   []requestSlot
}

// add gives a Request a slot and a number.
func (t *requestTable) add(req *Request) {
	if k := len(t.free); k > 0 {
		req.slot, t.free = t.free[k-1], t.free[:k-1]
		req.number = t.bySlot[req.slot].number
		t.bySlot[req.slot] = req
		return
	}
	req.slot = requestSlot(len(t.bySlot))
	req.number = requestNumber(req.slot)
	t.bySlot = append(t.bySlot, req)
}

// remove frees the slot of a Request.
func (t *requestTable) remove(req *Request) { t.free = append(t.free, req.slot) }

// find returns the Request whose current number is n, or nil.
func (t *requestTable) find(n requestNumber) *Request {
	if req := t.bySlot[n.slot()]; req.number == n {
		return req
	}
	return nil
}

// NewRequest returns a Request for one client connection, whose attempts c runs. Release must be called after the last use
// of the Request.
func (r *Router) NewRequest(c Canceller) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &Request{router: r, canceller: c, decided: make(chan struct{}, 1)}
	r.requests.add(req)
	return req
}

// Release frees the slot of the Request. It must be called while no request is open. The Request must not be used again.
func (req *Request) Release() {
	r := req.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests.remove(req)
}
