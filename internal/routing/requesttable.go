package routing

// requestSlots is how many slots a request's number can name: more client connections than that at once are not
// supported.
const requestSlots = 1 << 16

// requestSlot is a Request's place in the Router's table.
type requestSlot uint32

// requestNumber is a request's number towards the engine: its slot in the low part, and above it how often the slot was
// used, so that what the engine decides on a request that is closed does not meet the next one in its slot.
type requestNumber uint32

func (n requestNumber) slot() requestSlot { return requestSlot(n % requestSlots) }

// next is the number of the next request in the same slot.
func (n requestNumber) next() requestNumber { return n + requestSlots }

// requestTable holds the Requests by slot. Slots that are free keep their last Request, whose number is to be counted on.
type requestTable struct {
	bySlot []*Request
	free   []requestSlot
}

// add gives a Request a slot and its first number.
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

// remove frees a Request's slot.
func (t *requestTable) remove(req *Request) { t.free = append(t.free, req.slot) }

// find returns the Request whose number that is now, or nil.
func (t *requestTable) find(n requestNumber) *Request {
	if req := t.bySlot[n.slot()]; req.number == n {
		return req
	}
	return nil
}

// NewRequest makes room for the requests of one client connection, one at a time. Release gives it back.
func (r *Router) NewRequest(c Canceller) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &Request{router: r, canceller: c, decided: make(chan struct{}, 1)}
	r.requests.add(req)
	return req
}

// Release gives the Request's room back. No request may be open in it, and it must not be used again.
func (req *Request) Release() {
	r := req.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests.remove(req)
}
