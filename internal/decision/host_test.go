package decision

import (
	"fmt"
	"math/rand"
	"strconv"

	"cherrygap/internal/settings"
)

// host plays clients, endpoint list and app servers at random for one node and checks the five rules on every
// decision.
type host struct {
	rng      *rand.Rand
	set      Settings
	engine   *Engine
	now      Time
	start    Time
	servers  []*hostServer
	requests map[RequestID]*hostRequest
	order    []RequestID
	nextID   RequestID
	ceiling  map[CustomerID]*hostBucket
	idle     bool // no new requests
	rejected int
	sent     int
	complete int
	err      error
}

type hostServer struct {
	id           ServerID
	zone         uint8
	cell         uint16
	state        EndpointState
	known        bool
	started      Time
	each         Time // one at a time, so much each, when warm
	free         Time
	coldAttempts []coldAttempt
}

type coldAttempt struct {
	at   Time
	work Time
}

type hostBucket struct {
	level float64
	at    Time
}

type hostRequest struct {
	request   Request
	deadline  Time
	attempts  []*hostAttempt
	closed    bool
	streaming bool
}

type hostAttempt struct {
	server     *hostServer
	sent       Time
	end        Time
	outcome    Outcome
	inFlight   bool
	mayHaveRun bool
}

const testPlans = 3

func randomSettings(r *rand.Rand) Settings {
	yes := func() string { return strconv.FormatBool(r.Intn(2) == 0) }
	s := Settings{
		settings.Node: "0", settings.Nodes: strconv.Itoa([]int{1, 2, 3, 4, 60}[r.Intn(5)]), settings.PeerRate: "40",
		settings.Tick: strconv.Itoa(10 + r.Intn(40)), settings.MaxAttempts: strconv.Itoa(1 + r.Intn(6)),
		settings.Hedging: yes(), settings.CancelAttempts: yes(), settings.Peers: yes(), settings.RetryAfter: yes(),
		settings.MaxRetryAfter: "10000", settings.SlowStartShare: "0.25", settings.SlowStartSpan: "100000",
		settings.OverloadMultiple: "3", settings.OverloadSpan: "20000",
		settings.ConnectTimeout: strconv.Itoa(r.Intn(3000)), settings.ClassCount: "5",
		settings.PlanCount:    strconv.Itoa(testPlans),
		settings.EndpointList: []string{settings.EndpointListPush, settings.EndpointListPoll}[r.Intn(2)],
	}
	groups := []string{settings.GroupAll, settings.GroupAll, settings.GroupAll, settings.GroupZone, settings.GroupCell}
	for i, repeats := range []string{
		settings.RetrySafe, settings.RetryUnsafe, settings.RetryKeyed, settings.RetryKeyed, settings.RetryKeyed,
	} {
		s[settings.ClassKey(i, settings.ClassRetrySafety)] = repeats
		s[settings.ClassKey(i, settings.ClassLatencyObjective)] = strconv.Itoa(3000 + r.Intn(10000))
		s[settings.ClassKey(i, settings.ClassIdempotencyWindow)] = strconv.Itoa(2000 + r.Intn(20000))
		s[settings.ClassKey(i, settings.ClassIdempotencyGroup)] = groups[i]
	}
	s[settings.PlanKey(0, settings.PlanRate)], s[settings.PlanKey(0, settings.PlanBurst)] = "20", "40"
	s[settings.PlanKey(1, settings.PlanMaxInFlight)] = "3"
	s[settings.PlanKey(2, settings.PlanRate)], s[settings.PlanKey(2, settings.PlanBurst)] = "50", "80"
	s[settings.PlanKey(2, settings.PlanCeilingRate)], s[settings.PlanKey(2, settings.PlanCeilingBurst)] = "4", "8"
	return s
}

func newHost(seed int64) *host {
	r := rand.New(rand.NewSource(seed))
	h := &host{rng: r, set: randomSettings(r), now: 5 * Second, requests: map[RequestID]*hostRequest{}, ceiling: map[CustomerID]*hostBucket{}}
	h.start = h.now
	for i := range 3 + r.Intn(8) {
		h.servers = append(h.servers, &hostServer{
			id: ServerID(r.Intn(1 << 30)), zone: uint8(i % 3), cell: uint16(i / 2),
			state: Ready, each: Time(200 + r.Intn(800)),
		})
	}
	h.begin()
	return h
}

func (h *host) begin() {
	h.engine = New(uint64(h.rng.Int63()), h.set.parse(), h.now)
	h.update(CachedList)
}

func (h *host) update(kind EndpointListKind) {
	list := []Endpoint{}
	for _, s := range h.servers {
		s.known = true
		list = append(list, Endpoint{Server: s.id, Zone: s.zone, Cell: s.cell, State: s.state, Weight: 1, Started: s.started})
	}
	h.engine.SetTime(h.now)
	h.engine.UpdateEndpoints(kind, list)
	h.pull()
}

func (h *host) fail(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf("at %d: "+format, append([]any{h.now - h.start}, args...)...)
	}
}

// step lets one tick pass.
func (h *host) step() {
	h.now += Time(h.set.Number(settings.Tick))
	h.engine.SetTime(h.now)
	h.engine.TimerFired()
	for _, id := range h.order {
		h.ends(id)
	}
	kept := h.order[:0]
	for _, id := range h.order {
		if t := h.requests[id]; !t.closed || t.anyInFlight() {
			kept = append(kept, id)
		}
	}
	h.order = kept
	if h.rng.Intn(80) == 0 {
		h.disturb()
	}
	for h.rng.Intn(3) > 0 && !h.idle {
		h.arrive()
	}
	h.pull()
	for _, id := range h.order {
		if t := h.requests[id]; !t.closed && !t.streaming && h.now > t.deadline {
			h.fail("request %d has no final answer in time", id)
		}
	}
}

func (t *hostRequest) anyInFlight() bool {
	for _, x := range t.attempts {
		if x.inFlight {
			return true
		}
	}
	return false
}

func (h *host) arrive() {
	spread := 1 + h.rng.Intn(int(h.set.Number(settings.Nodes)))
	customer := h.rng.Intn(12)
	a := Request{
		ID: h.nextID, Class: ClassID(h.rng.Intn(5)), Plan: PlanID(customer % testPlans), Customer: CustomerID(customer),
		Timeout: Time(h.rng.Intn(20000)), Units: 1 + h.rng.Float64(), Spread: spread,
	}
	h.nextID++
	h.requests[a.ID] = &hostRequest{request: a, deadline: h.now + a.Timeout}
	h.order = append(h.order, a.ID)
	h.engine.AddRequest(a)
}

// disturb changes the endpoint list, sends a peer message, or restarts the node.
func (h *host) disturb() {
	i := h.rng.Intn(len(h.servers))
	s := h.servers[i]
	switch h.rng.Intn(6) {
	case 0:
		s.state = []EndpointState{Draining, Gone}[h.rng.Intn(2)]
		h.update([]EndpointListKind{FullList, ListUpdate}[h.rng.Intn(2)])
	case 1:
		s.state, s.started, s.coldAttempts = Ready, h.now, nil
		s.free = h.now
		h.update(ListUpdate)
	case 2:
		h.engine.UpdateEndpoints(PollFailed, nil)
	case 3:
		b := make([]byte, h.rng.Intn(20))
		h.rng.Read(b)
		h.engine.ReceivePeerMessage(NodeID(h.rng.Intn(6)-1), append([]byte{byte(kindUse + h.rng.Intn(3))}, b...))
	case 4: // killed outright: what it held is lost, the servers and ceilings are not
		h.order = h.order[:0]
		h.requests = map[RequestID]*hostRequest{}
		h.begin()
	case 5: // a warm one takes its place, under a new id
		h.servers[i] = &hostServer{
			id: ServerID(h.rng.Intn(1 << 30)), zone: s.zone, cell: s.cell, state: Ready, each: s.each,
			free: h.now,
		}
		h.update(FullList)
	}
}

func (h *host) ends(id RequestID) {
	t := h.requests[id]
	for k, x := range t.attempts {
		if !x.inFlight || x.end > h.now {
			continue
		}
		x.inFlight = false
		x.mayHaveRun = x.outcome != Overloaded && x.outcome != ConnectFailed && x.outcome != NotSent
		if x.outcome == Succeeded && !t.closed {
			t.closed = true
			h.complete++
		} else if t.streaming && !t.closed {
			t.closed = true
		}
		h.engine.AttemptEnded(AttemptResult{
			Request: id, Attempt: k, Server: x.server.id, Outcome: x.outcome, Duration: h.now - x.sent,
			Final: t.closed, Units: float64(h.rng.Intn(3)),
		})
		h.pull()
	}
}

// pull takes decisions until there is none and checks each.
func (h *host) pull() {
	for k := 0; ; k++ {
		d, ok := h.engine.Next()
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
	t := h.requests[d.Request]
	switch d.Action {
	case Forward:
		h.send(t, d)
	case Reject, Fail:
		h.checkAnswer(t, d)
	case CancelAttempt:
		if h.set[settings.CancelAttempts] != settings.On || d.Attempt >= len(t.attempts) {
			h.fail("cancellation that is not allowed")
		} else if x := t.attempts[d.Attempt]; x.inFlight {
			x.outcome, x.end = Cancelled, h.now
		}
	case SendPeerMessage:
		if nodes, _ := strconv.Atoi(h.set[settings.Nodes]); d.Peer < AllPeers || d.Peer == 0 || d.Peer >= NodeID(nodes) {
			h.fail("message to node %d of %d", d.Peer, nodes)
		}
		if len(d.Payload) > 256 || h.set[settings.Peers] != settings.On {
			h.fail("message of %d bytes", len(d.Payload))
		}
	}
}

// checkAnswer checks a final answer that the node gives by itself.
func (h *host) checkAnswer(t *hostRequest, d Decision) {
	if t == nil || t.closed || t.streaming {
		h.fail("second final answer for request %d", d.Request)
		return
	}
	t.closed = true
	h.rejected++
	for _, x := range t.attempts {
		repeats, group := h.class(t, settings.ClassRetrySafety), h.class(t, settings.ClassIdempotencyGroup)
		if d.Action == Reject && x.mayHaveRun &&
			(repeats == settings.RetryUnsafe || repeats == settings.RetryKeyed && group != settings.GroupAll) {
			h.fail("request %d rejected though it may have run", d.Request)
		}
	}
	if h.now > t.deadline {
		h.fail("final answer for %d after its deadline", d.Request)
	}
}

// class is a setting of a request's class.
func (h *host) class(t *hostRequest, field settings.ClassField) string {
	return h.set[settings.ClassKey(int(t.request.Class), field)]
}

// send checks an attempt and plays its server.
func (h *host) send(t *hostRequest, d Decision) {
	if t == nil || t.closed || t.streaming || h.now+d.Duration > t.deadline || d.Duration <= 0 {
		h.fail("attempt of request %d, closed or past its deadline", d.Request)
		return
	}
	s := h.server(d.Server)
	if s == nil || s.state != Ready {
		h.fail("send to a server that is draining, gone or unknown")
		return
	}
	h.sent++
	for _, x := range t.attempts {
		h.checkRepeat(t, x, s)
	}
	if len(t.attempts) >= int(h.set.Number(settings.MaxAttempts)) {
		h.fail("too many attempts of %d", d.Request)
	}
	if len(t.attempts) == 0 && t.request.Plan == 2 {
		h.checkCeiling(t)
	}
	h.checkSlowStart(s)
	x := &hostAttempt{server: s, sent: h.now, inFlight: true, mayHaveRun: true, outcome: Succeeded}
	work := s.each * Time(50+h.rng.Intn(100)) / 100 * Time(h.set.Number(settings.Nodes)) // the other nodes take their part
	s.free = max(s.free, h.now) + work
	x.end = s.free
	if k := h.rng.Intn(12); k < 4 {
		x.outcome = []Outcome{Failed, Overloaded, ConnectFailed, ConnectionReset}[k]
		x.end = h.now + Time(h.rng.Intn(500))
	}
	if x.end > h.now+d.Duration {
		x.outcome, x.end = TimedOut, h.now+d.Duration
	}
	t.attempts = append(t.attempts, x)
}

func (h *host) server(id ServerID) *hostServer {
	for _, s := range h.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// checkRepeat checks an attempt against an earlier one of its request.
func (h *host) checkRepeat(t *hostRequest, x *hostAttempt, s *hostServer) {
	window := h.set.Duration(settings.ClassKey(int(t.request.Class), settings.ClassIdempotencyWindow))
	switch {
	case x.inFlight && h.set[settings.Hedging] != settings.On:
		h.fail("two attempts of %d in flight at once", t.request.ID)
	case !x.mayHaveRun || h.class(t, settings.ClassRetrySafety) == settings.RetrySafe:
	case h.class(t, settings.ClassRetrySafety) == settings.RetryUnsafe:
		h.fail("unsafe request %d may run twice", t.request.ID)
	case h.now+h.set.Duration(settings.ConnectTimeout) >= x.sent+window: // a new connection may take so long
		h.fail("keyed request %d may come after its window", t.request.ID)
	case h.class(t, settings.ClassIdempotencyGroup) == settings.GroupZone && x.server.zone != s.zone,
		h.class(t, settings.ClassIdempotencyGroup) == settings.GroupCell && x.server.cell != s.cell:
		h.fail("keyed request %d sent outside its group", t.request.ID)
	}
}

func (h *host) checkCeiling(t *hostRequest) {
	c := h.ceiling[t.request.Customer]
	depth := h.set.Number(settings.PlanKey(2, settings.PlanCeilingBurst))
	if c == nil {
		c = &hostBucket{level: depth, at: h.start}
		h.ceiling[t.request.Customer] = c
	}
	c.level = min(depth, c.level+h.set.Number(settings.PlanKey(2, settings.PlanCeilingRate))*float64(h.now-c.at)/float64(Second))
	c.at = h.now
	if c.level -= t.request.Units; c.level < 0 {
		h.fail("ceiling passed by %.2f units", -c.level)
	}
}

// checkSlowStart counts the work sent to a fresh server by all nodes: this one's, as often as there are nodes.
func (h *host) checkSlowStart(s *hostServer) {
	span, warm := h.set.Duration(settings.OverloadSpan), h.set.Duration(settings.SlowStartSpan)
	if s.started == 0 || h.now >= s.started+warm {
		return
	}
	s.coldAttempts = append(s.coldAttempts, coldAttempt{h.now, s.each})
	from := h.set.Number(settings.SlowStartShare)
	share := from + (1-from)*float64(h.now-s.started)/float64(warm)
	sum, k := Time(0), 0
	for _, p := range s.coldAttempts {
		if p.at > h.now-span {
			sum, k = sum+p.work, k+1
		}
	}
	if h.engine.config.usesOwners && k == 1 { // each node's count starts at a random fraction, so that a single attempt is no evidence
		return
	}
	most := h.set.Number(settings.OverloadMultiple) * share * float64(span)
	if float64(sum)*h.set.Number(settings.Nodes) > most*1.1 {
		h.fail("cold server pushed: %d of %.0f by %s nodes", sum, most, h.set[settings.Nodes])
	}
}
