package decision

import (
	"fmt"
	"math/rand"
	"strconv"
)

// host plays clients, roster and app servers at random for one node and checks the five rules on every
// decision.
type host struct {
	rng      *rand.Rand
	set      Settings
	n        *Engine
	now      Time
	start    Time
	servers  []*backServer
	tickets  map[RequestID]*asked
	order    []RequestID
	nextID   RequestID
	ceiling  map[CustomerID]*store
	idle     bool // no new tickets
	bounced  int
	sent     int
	complete int
	err      error
}

type backServer struct {
	id      ServerID
	zone    uint8
	cell    uint16
	state   EndpointState
	known   bool
	started Time
	each    Time // one at a time, so much each, when warm
	free    Time
	pushes  []push
}

type push struct {
	at   Time
	work Time
}

type store struct {
	level float64
	at    Time
}

type asked struct {
	a      Request
	until  Time
	runs   []*run
	closed bool
	bound  bool
}

type run struct {
	server  *backServer
	sent    Time
	end     Time
	outcome Outcome
	out     bool
	mayRun  bool
}

const testPlans = 3

func randomSettings(r *rand.Rand) Settings {
	yes := func() string { return strconv.FormatBool(r.Intn(2) == 0) }
	s := Settings{
		"node":  "0",
		"nodes": strconv.Itoa([]int{1, 2, 3, 4, 60}[r.Intn(5)]), "peers.take": "40", "tick": strconv.Itoa(10 + r.Intn(40)),
		"executions": strconv.Itoa(1 + r.Intn(6)), "copies": yes(), "withdraw": yes(), "peers": yes(), "advice": yes(),
		"advice.most": "10000", "cold.from": "0.25", "cold.span": "100000", "fall.multiple": "3", "fall.span": "20000", "connect": strconv.Itoa(r.Intn(3000)),
		"band.count": "5", "plan.count": strconv.Itoa(testPlans),
		"roster": []string{"push", "ask"}[r.Intn(2)],
	}
	for i, repeats := range []string{"replayable", "single-use", "referenced", "referenced", "referenced"} {
		b := "band." + strconv.Itoa(i) + "."
		s[b+"repeats"], s[b+"contract"] = repeats, strconv.Itoa(3000+r.Intn(10000))
		s[b+"window"], s[b+"group"] = strconv.Itoa(2000+r.Intn(20000)), []string{"all", "all", "all", "zone", "cell"}[i]
	}
	s["plan.0.rate"], s["plan.0.depth"] = "20", "40"
	s["plan.1.open"] = "3"
	s["plan.2.rate"], s["plan.2.depth"] = "50", "80"
	s["plan.2.ceiling.rate"], s["plan.2.ceiling.depth"] = "4", "8"
	return s
}

func newHost(seed int64) *host {
	r := rand.New(rand.NewSource(seed))
	h := &host{rng: r, set: randomSettings(r), now: 5 * Second, tickets: map[RequestID]*asked{}, ceiling: map[CustomerID]*store{}}
	h.start = h.now
	for i := range 3 + r.Intn(8) {
		h.servers = append(h.servers, &backServer{
			id: ServerID(r.Intn(1 << 30)), zone: uint8(i % 3), cell: uint16(i / 2),
			state: Ready, each: Time(200 + r.Intn(800)),
		})
	}
	h.begin()
	return h
}

func (h *host) begin() {
	h.n = New(uint64(h.rng.Int63()), h.set, h.now)
	h.roster(CachedList)
}

func (h *host) roster(kind EndpointListKind) {
	list := []Endpoint{}
	for _, s := range h.servers {
		s.known = true
		list = append(list, Endpoint{Server: s.id, Zone: s.zone, Cell: s.cell, State: s.state, Weight: 1, Started: s.started})
	}
	h.n.SetTime(h.now)
	h.n.UpdateEndpoints(kind, list)
	h.pull()
}

func (h *host) fail(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf("at %d: "+format, append([]any{h.now - h.start}, args...)...)
	}
}

// step lets one tick pass.
func (h *host) step() {
	h.now += Time(h.set.Number("tick"))
	h.n.SetTime(h.now)
	h.n.TimerFired()
	for _, id := range h.order {
		h.ends(id)
	}
	kept := h.order[:0]
	for _, id := range h.order {
		if t := h.tickets[id]; !t.closed || t.anyOut() {
			kept = append(kept, id)
		}
	}
	h.order = kept
	if h.rng.Intn(80) == 0 {
		h.upset()
	}
	for h.rng.Intn(3) > 0 && !h.idle {
		h.arrive()
	}
	h.pull()
	for _, id := range h.order {
		if t := h.tickets[id]; !t.closed && !t.bound && h.now > t.until {
			h.fail("ticket %d has no final answer in time", id)
		}
	}
}

func (t *asked) anyOut() bool {
	for _, x := range t.runs {
		if x.out {
			return true
		}
	}
	return false
}

func (h *host) arrive() {
	spread := 1 + h.rng.Intn(int(h.set.Number("nodes")))
	customer := h.rng.Intn(12)
	a := Request{
		ID: h.nextID, Class: ClassID(h.rng.Intn(5)), Plan: PlanID(customer % testPlans), Customer: CustomerID(customer),
		Timeout: Time(h.rng.Intn(20000)), Units: 1 + h.rng.Float64(), Spread: spread,
	}
	h.nextID++
	h.tickets[a.ID] = &asked{a: a, until: h.now + a.Timeout}
	h.order = append(h.order, a.ID)
	h.n.AddRequest(a)
}

// upset changes what the node is told, or restarts it.
func (h *host) upset() {
	i := h.rng.Intn(len(h.servers))
	s := h.servers[i]
	switch h.rng.Intn(6) {
	case 0:
		s.state = []EndpointState{Draining, Gone}[h.rng.Intn(2)]
		h.roster([]EndpointListKind{FullList, ListUpdate}[h.rng.Intn(2)])
	case 1:
		s.state, s.started, s.pushes = Ready, h.now, nil
		s.free = h.now
		h.roster(ListUpdate)
	case 2:
		h.n.UpdateEndpoints(PollFailed, nil)
	case 3:
		b := make([]byte, h.rng.Intn(20))
		h.rng.Read(b)
		h.n.ReceivePeerMessage(NodeID(h.rng.Intn(6)-1), append([]byte{byte(kindUse + h.rng.Intn(3))}, b...))
	case 4: // killed outright: what it held is lost, the servers and ceilings are not
		h.order = h.order[:0]
		h.tickets = map[RequestID]*asked{}
		h.begin()
	case 5: // a warm one takes its place, under a new id
		h.servers[i] = &backServer{
			id: ServerID(h.rng.Intn(1 << 30)), zone: s.zone, cell: s.cell, state: Ready, each: s.each,
			free: h.now,
		}
		h.roster(FullList)
	}
}

func (h *host) ends(id RequestID) {
	t := h.tickets[id]
	for k, x := range t.runs {
		if !x.out || x.end > h.now {
			continue
		}
		x.out = false
		x.mayRun = x.outcome != Overloaded && x.outcome != ConnectFailed && x.outcome != NotSent
		if x.outcome == Succeeded && !t.closed {
			t.closed = true
			h.complete++
		} else if t.bound && !t.closed {
			t.closed = true
		}
		h.n.AttemptEnded(AttemptResult{
			Request: id, Attempt: k, Server: x.server.id, Outcome: x.outcome, Duration: h.now - x.sent,
			Final: t.closed, Units: float64(h.rng.Intn(3)),
		})
		h.pull()
	}
}

// pull takes decisions until there is none and checks each.
func (h *host) pull() {
	for k := 0; ; k++ {
		d, ok := h.n.Next()
		if !ok {
			return
		}
		if k > 100000 {
			h.fail("decisions without end")
			return
		}
		h.check(d)
	}
}

func (h *host) check(d Decision) {
	t := h.tickets[d.Request]
	switch d.Action {
	case Forward:
		h.send(t, d)
	case Reject, Fail:
		if t == nil || t.closed || t.bound {
			h.fail("second final answer for ticket %d", d.Request)
			return
		}
		t.closed = true
		h.bounced++
		band := "band." + strconv.Itoa(int(t.a.Class)) + "."
		for _, x := range t.runs {
			if d.Action == Reject && x.mayRun && (h.set[band+"repeats"] == "single-use" ||
				h.set[band+"repeats"] == "referenced" && h.set[band+"group"] != "all") {
				h.fail("ticket %d bounced though it may have run", d.Request)
			}
		}
		if h.now > t.until {
			h.fail("final answer for %d after the outer limit", d.Request)
		}
	case CancelAttempt:
		if h.set["withdraw"] != "true" || d.Attempt >= len(t.runs) {
			h.fail("withdrawal that is not allowed")
		} else if x := t.runs[d.Attempt]; x.out {
			x.outcome, x.end = Cancelled, h.now
		}
	case SendPeerMessage:
		if nodes, _ := strconv.Atoi(h.set["nodes"]); d.Peer < AllPeers || d.Peer == 0 || d.Peer >= NodeID(nodes) {
			h.fail("message to node %d of %d", d.Peer, nodes)
		}
		if len(d.Payload) > 256 || h.set["peers"] != "true" {
			h.fail("message of %d bytes", len(d.Payload))
		}
	}
}

func (h *host) send(t *asked, d Decision) {
	if t == nil || t.closed || t.bound || h.now+d.Duration > t.until || d.Duration <= 0 {
		h.fail("send for ticket %d, closed or past its outer limit", d.Request)
		return
	}
	var s *backServer
	for _, v := range h.servers {
		if v.id == d.Server {
			s = v
		}
	}
	if s == nil || s.state != Ready {
		h.fail("send to a server that is draining, gone or unknown")
		return
	}
	h.sent++
	band := "band." + strconv.Itoa(int(t.a.Class)) + "."
	for _, x := range t.runs {
		switch {
		case x.out && h.set["copies"] != "true":
			h.fail("two executions of %d out at once", d.Request)
		case !x.mayRun || h.set[band+"repeats"] == "replayable":
		case h.set[band+"repeats"] == "single-use":
			h.fail("single-use ticket %d may run twice", d.Request)
		case h.now+h.set.Duration("connect") >= x.sent+h.set.Duration(band+"window"): // a new connection may take so long
			h.fail("referenced ticket %d may come after its window", d.Request)
		case h.set[band+"group"] == "zone" && x.server.zone != s.zone,
			h.set[band+"group"] == "cell" && x.server.cell != s.cell:
			h.fail("referenced ticket %d sent outside its group", d.Request)
		}
	}
	if len(t.runs) >= int(h.set.Number("executions")) {
		h.fail("too many executions of %d", d.Request)
	}
	if len(t.runs) == 0 && t.a.Plan == 2 {
		h.drawCeiling(t)
	}
	h.cold(s)
	x := &run{server: s, sent: h.now, out: true, mayRun: true, outcome: Succeeded}
	work := s.each * Time(50+h.rng.Intn(100)) / 100 * Time(h.set.Number("nodes")) // the other nodes take their part
	s.free = max(s.free, h.now) + work
	x.end = s.free
	if k := h.rng.Intn(12); k < 4 {
		x.outcome = []Outcome{Failed, Overloaded, ConnectFailed, ConnectionReset}[k]
		x.end = h.now + Time(h.rng.Intn(500))
	}
	if x.end > h.now+d.Duration {
		x.outcome, x.end = TimedOut, h.now+d.Duration
	}
	t.runs = append(t.runs, x)
}

func (h *host) drawCeiling(t *asked) {
	c := h.ceiling[t.a.Customer]
	depth := h.set.Number("plan.2.ceiling.depth")
	if c == nil {
		c = &store{level: depth, at: h.start}
		h.ceiling[t.a.Customer] = c
	}
	c.level = min(depth, c.level+h.set.Number("plan.2.ceiling.rate")*float64(h.now-c.at)/float64(Second))
	c.at = h.now
	if c.level -= t.a.Units; c.level < 0 {
		h.fail("ceiling passed by %.2f units", -c.level)
	}
}

// cold counts the work sent to a fresh server by all nodes: this one's, as often as there are nodes.
func (h *host) cold(s *backServer) {
	span, warm := h.set.Duration("fall.span"), h.set.Duration("cold.span")
	if s.started == 0 || h.now >= s.started+warm {
		return
	}
	s.pushes = append(s.pushes, push{h.now, s.each})
	from := h.set.Number("cold.from")
	share := from + (1-from)*float64(h.now-s.started)/float64(warm)
	sum, k := Time(0), 0
	for _, p := range s.pushes {
		if p.at > h.now-span {
			sum, k = sum+p.work, k+1
		}
	}
	if h.n.config.owners && k == 1 { // many nodes start at a chance part of one: a first says nothing of the others
		return
	}
	most := h.set.Number("fall.multiple") * share * float64(span)
	if float64(sum)*h.set.Number("nodes") > most*1.1 {
		h.fail("cold server pushed: %d of %.0f by %s nodes", sum, most, h.set["nodes"])
	}
}
