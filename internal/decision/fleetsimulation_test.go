package decision

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand"
	"slices"
	"strconv"
)

// fleetSimulation runs some nodes of a fleet with simulated clients, app servers, discovery and a lossy network between
// the nodes. All of it is drawn from one seed. The digest covers every decision and message of the nodes, so that it
// stays the same unless a change alters behavior.
type fleetSimulation struct {
	fleetScenario
	rng         *rand.Rand
	now         Time
	begin       Time
	nodes       []*Engine
	ids         []int
	pausedUntil []Time // by node, which is not called until then
	servers     []*simulatedServer
	byID        map[ServerID]*simulatedServer
	tasks       map[Time][]func()
	open        []map[RequestID]*simulatedRequest // by node
	nextID      RequestID
	digest      hash.Hash
	firstLines  []string       // the first decisions
	count       map[string]int // decisions and messages by kind
	summaries   []string       // of all nodes' intervals
}

// fleetScenario describes a simulation.
type fleetScenario struct {
	set              Settings // of every node, but for its number
	members          []int    // the simulated nodes; the fleet may have more
	servers          int
	zones            int
	serversPerCell   int
	serviceTime      Time    // of a request, on average
	requestsPerStep  float64 // on average
	customers        int
	spread           int    // nodes in a customer's set
	oneNodeSet       bool   // the set of every customer begins with node 0
	leasedCustomers  uint64 // customers below this number have a leased quota
	unlimited        bool   // most customers have a plan without limits
	seconds          int
	period           Time // of the load's swings; 0: 8 s
	firstList        EndpointListKind
	firstPollFails   bool
	shadow           Settings // for shadow evaluation, with set for the others; nil: off
	fewFaults        bool
	outage           bool // no server responds for two seconds
	resetPercent     int  // attempts whose connection breaks
	restartedServers int  // servers that have just started
	silentServers    int  // servers that never respond
	slowdownAfter    int  // seconds after which all servers take twice as long; 0: never
	parallel         bool // requests don't queue at a server
}

// simulatedServer is an app server that processes one request after the other.
type simulatedServer struct {
	Endpoint
	busyUntil    Time
	fault        Outcome
	faultPercent int  // attempts that end with fault
	slowdown     Time // multiples of the service time that are added
}

// simulatedRequest is a request at its node.
type simulatedRequest struct {
	attempts  []*simulatedAttempt
	streaming bool
}

// simulatedAttempt is an attempt at a server.
type simulatedAttempt struct {
	server   *simulatedServer
	sent     Time
	inFlight bool
}

const simulationStep = 50 // in units of Time

// newFleetSimulation starts the nodes of a scenario.
func newFleetSimulation(seed int64, setup fleetScenario) *fleetSimulation {
	p := &fleetSimulation{
		fleetScenario: setup, rng: rand.New(rand.NewSource(seed)), now: 3 * Second, begin: 3 * Second,
		byID: map[ServerID]*simulatedServer{}, tasks: map[Time][]func(){}, digest: sha256.New(), count: map[string]int{},
		ids: setup.members, pausedUntil: make([]Time, len(setup.members)),
	}
	for i := range setup.servers {
		p.addServer(i)
	}
	for _, s := range p.servers[:setup.restartedServers] {
		s.Started = p.begin - Second
	}
	for _, s := range p.servers[len(p.servers)-setup.silentServers:] {
		s.busyUntil = p.begin + 999*Second
	}
	for k, id := range p.ids {
		set := Settings{}
		for name, v := range setup.set {
			set[name] = v
		}
		set["node"] = strconv.Itoa(id)
		n := New(uint64(seed)<<32|uint64(id*7919+1), set.parse(), p.now)
		n.SetTime(p.now)
		n.UpdateEndpoints(setup.firstList, p.listings(p.servers...))
		if setup.shadow != nil {
			other := Settings{}
			for name, v := range set {
				other[name] = v
			}
			for name, v := range setup.shadow {
				other[name] = v
			}
			n.StartShadow(other.parse())
		}
		p.nodes, p.open = append(p.nodes, n), append(p.open, map[RequestID]*simulatedRequest{})
		p.pull(k)
		if setup.firstPollFails {
			n.UpdateEndpoints(PollFailed, nil)
		}
	}
	return p
}

// addServer adds a server with a number.
func (p *fleetSimulation) addServer(i int) *simulatedServer {
	s := &simulatedServer{Endpoint: Endpoint{
		Server: ServerID(i*7919 + 11), Zone: uint8(i % p.zones), Kind: uint16(i % 3),
		Cell: uint16(i / p.serversPerCell), State: Ready, Weight: []float64{1, 1, 2, 0.5, 0}[i%5],
	}}
	p.fleetScenario.servers = max(p.fleetScenario.servers, i+1)
	p.servers = append(p.servers, s)
	p.byID[s.Server] = s
	return s
}

// listings returns the servers' entries in an endpoint list.
func (p *fleetSimulation) listings(servers ...*simulatedServer) (list []Endpoint) {
	for _, s := range servers {
		list = append(list, s.Endpoint)
	}
	return list
}

// at runs a task in the step at or after a time.
func (p *fleetSimulation) at(when Time, task func()) {
	steps := max(1, (when-p.now+simulationStep-1)/simulationStep)
	p.tasks[p.now+steps*simulationStep] = append(p.tasks[p.now+steps*simulationStep], task)
}

// run runs the simulation to its end and returns the digest as of each second.
func (p *fleetSimulation) run() (digests []string) {
	for range p.seconds {
		for range Second / simulationStep {
			p.step()
		}
		for _, n := range p.nodes {
			p.digest.Write(fmt.Appendln(nil, customerCount(n)))
		}
		digests = append(digests, hex.EncodeToString(p.digest.Sum(nil))[:12])
	}
	return digests
}

// step advances the simulation by one step.
func (p *fleetSimulation) step() {
	p.now += simulationStep
	tasks := p.tasks[p.now]
	delete(p.tasks, p.now)
	for _, task := range tasks {
		task()
	}
	if r := p.rng.Intn(map[bool]int{false: 25, true: 150}[p.fewFaults]); r == 0 {
		p.disturb()
	}
	if p.outage && p.now == p.begin+5*Second {
		for _, s := range p.servers {
			s.busyUntil = p.now + 2*Second
		}
	}
	// The load swings between low and about twice the servers' capacity.
	period := cmp.Or(p.period, 8*Second)
	phase := float64((p.now-p.begin)%period) / float64(period)
	mean := p.requestsPerStep * (0.4 + 1.8*phase)
	for p.rng.Float64() < mean/(mean+1) {
		p.arrive()
	}
	for k, n := range p.nodes {
		if p.now < p.pausedUntil[k] {
			continue
		}
		n.SetTime(p.now)
		n.TimerFired()
		p.pull(k)
	}
}

// arrive sends a request of a random customer to a random node.
func (p *fleetSimulation) arrive() {
	customer := uint64(p.rng.Intn(p.customers))
	if p.rng.Intn(3) == 0 {
		customer = 1 // with far more demand than the others
	}
	spread, first := p.spread, NodeID(int(customer)*5%max(1, int(p.set.Number("nodes"))))
	if p.oneNodeSet {
		first = 0
	}
	k := p.rng.Intn(len(p.nodes))
	n := p.nodes[k]
	p.nextID++
	id := p.nextID
	left := Time(4000 + p.rng.Intn(30000))
	if p.rng.Intn(12) == 0 {
		left = Time(p.rng.Intn(900))
	}
	plan := PlanID(customer % 5)
	if p.unlimited && customer%7 > 0 {
		plan = 4
	}
	a := Request{
		ID: id, Class: ClassID(p.rng.Intn(6)), Plan: plan, Customer: CustomerID(customer<<20 + 77), Timeout: left,
		Units: 0.25 + float64(p.rng.Intn(300))/100, Spread: spread, FirstNode: first,
	}
	if p.rng.Intn(25) == 0 {
		a.Spread, a.FirstNode = p.rng.Intn(2000)-20, NodeID(p.rng.Intn(2000)-20)
	}
	if p.rng.Intn(60) == 0 {
		a.Units = 0
	}
	task := func() {
		n.SetTime(p.now)
		if customer < p.leasedCustomers {
			n.SetLease(a.Customer, a.Plan, a.Spread, a.FirstNode, float64(p.rng.Intn(30))-5)
		}
		p.open[k][id] = &simulatedRequest{}
		n.AddRequest(a)
		if p.now >= p.pausedUntil[k] {
			p.pull(k)
		}
	}
	if p.now < p.pausedUntil[k] {
		p.at(p.pausedUntil[k], task)
	} else {
		task()
	}
	if p.rng.Intn(40) == 0 {
		p.at(p.now+Time(p.rng.Intn(4000)), func() {
			n.SetTime(p.now)
			n.ClientGone(id)
			p.pull(k)
		})
	}
}

// disturb causes a random fault or change.
func (p *fleetSimulation) disturb() {
	s := p.servers[p.rng.Intn(len(p.servers))]
	switch p.rng.Intn(12) {
	case 0, 1, 2:
		s.fault = []Outcome{Failed, Overloaded, ConnectFailed, ConnectionReset, MalformedResponse, NotSent, TimedOut}[p.rng.Intn(7)]
		s.faultPercent = 10 + p.rng.Intn(90)
		p.at(p.now+Time(p.rng.Intn(30000)), func() { s.faultPercent = 0 })
	case 3:
		s.slowdown = Time(1 + p.rng.Intn(40))
		p.at(p.now+Time(p.rng.Intn(30000)), func() { s.slowdown = 0 })
	case 4: // the server pauses
		s.busyUntil = max(s.busyUntil, p.now) + Time(p.rng.Intn(40000))
	case 5:
		p.restart(s)
	case 6:
		p.replace(s)
	case 7:
		p.listTo(FullList, p.servers...)
	case 8:
		p.listTo(PollFailed)
	case 9: // a node pauses
		k := p.rng.Intn(len(p.nodes))
		p.pausedUntil[k] = p.now + Time(2000+p.rng.Intn(9000))
	case 10:
		p.restartMany()
	case 11:
		for _, n := range p.nodes {
			n.HealthChecked(s.Server, []Outcome{Succeeded, Failed}[p.rng.Intn(2)], nil)
		}
	}
}

// restart drains a server and starts it again, cold.
func (p *fleetSimulation) restart(s *simulatedServer) {
	s.State = Draining
	p.listTo(ListUpdate, s)
	p.at(p.now+Time(p.rng.Intn(20000)), func() {
		s.State, s.Started, s.busyUntil = Ready, p.now, p.now
		p.listTo(ListUpdate, s)
	})
}

// replace replaces a server by a cold one.
func (p *fleetSimulation) replace(s *simulatedServer) {
	s.State = Gone
	p.listTo(ListUpdate, s)
	fresh := p.addServer(p.fleetScenario.servers)
	p.servers = slices.DeleteFunc(p.servers, func(v *simulatedServer) bool { return v == s })
	fresh.Started = p.now
	p.at(p.now+Time(p.rng.Intn(5000)), func() { p.listTo(ListUpdate, fresh) })
}

// restartMany restarts a third of all servers.
func (p *fleetSimulation) restartMany() {
	for i, v := range p.servers {
		if i%3 == 0 && v.State == Ready && !p.fewFaults {
			v.Started = p.now
		}
	}
	p.listTo(FullList, p.servers...)
}

// listTo sends a list of discovery to the nodes, with random delays.
func (p *fleetSimulation) listTo(kind EndpointListKind, servers ...*simulatedServer) {
	list := p.listings(servers...)
	for k, n := range p.nodes {
		p.at(p.now+Time(p.rng.Intn(3000)), func() {
			n.SetTime(p.now)
			n.UpdateEndpoints(kind, list)
			p.pull(k)
		})
	}
}

// pull carries out the decisions of the k-th node.
func (p *fleetSimulation) pull(k int) {
	for d, ok := p.nodes[k].Next(); ok; d, ok = p.nodes[k].Next() {
		p.record(k, d)
		switch d.Action {
		case Forward:
			p.send(k, d)
		case CancelAttempt:
			r := p.open[k][d.Request]
			p.at(p.now+Time(p.rng.Intn(100)), func() { p.end(k, d.Request, r, d.Attempt, Cancelled) })
		case SendPeerMessage:
			p.deliver(k, d)
		case PollEndpoints:
			n := p.nodes[k]
			if p.rng.Intn(3) == 0 {
				p.at(p.now+Time(p.rng.Intn(20000)), func() { n.SetTime(p.now); n.UpdateEndpoints(PollFailed, nil) })
			}
		}
	}
}

// actionNames are the actions as the counts name them.
var actionNames = [...]string{
	Forward: "forward", Reject: "reject", Fail: "fail", CancelAttempt: "cancel", SetTimer: "set timer",
	HealthCheck: "health check", SendPeerMessage: "message", PollEndpoints: "poll", LogSummary: "summary",
}

// record adds a decision to the digest and the counts. The words of digestFormat are part of the expected digests.
func (p *fleetSimulation) record(k int, d Decision) {
	const (
		digestFormat = "%d node=%d verb=%d ticket=%d nth=%d server=%d span=%d peer=%d text=%x\n"
		lineFormat   = "%d node=%d action=%d request=%d attempt=%d server=%d duration=%d peer=%d payload=%x"
	)
	fields := []any{p.now, p.ids[k], d.Action, d.Request, d.Attempt, d.Server, d.Duration, d.Peer, d.Payload}
	p.digest.Write(fmt.Appendf(nil, digestFormat, fields...))
	if len(p.firstLines) < 400 {
		p.firstLines = append(p.firstLines, fmt.Sprintf(lineFormat, fields...))
	}
	name := actionNames[d.Action]
	if d.Action == SendPeerMessage {
		name = fmt.Sprintf("message %x", d.Payload[0])
	}
	p.count[name]++
	if d.Action == LogSummary {
		p.summaries = append(p.summaries, string(d.Payload))
	}
}

// deliver delivers a message to the other nodes. It loses or damages some.
func (p *fleetSimulation) deliver(k int, d Decision) {
	text := slices.Clone(d.Payload)
	if p.rng.Intn(60) == 0 { // damaged
		text = text[:p.rng.Intn(len(text))]
	}
	for to, n := range p.nodes {
		if to == k || d.Peer != AllPeers && d.Peer != NodeID(p.ids[to]) || p.rng.Intn(30) == 0 {
			continue
		}
		p.at(max(p.now+Time(p.rng.Intn(120)), p.pausedUntil[to]), func() {
			n.SetTime(p.now)
			if !n.ReceivePeerMessage(NodeID(p.ids[k]), text) {
				p.count["invalid message"]++
			}
			p.pull(to)
		})
	}
}

// send sends an attempt to its server and schedules its end.
func (p *fleetSimulation) send(k int, d Decision) {
	r, s := p.open[k][d.Request], p.byID[d.Server]
	nth := len(r.attempts)
	r.attempts = append(r.attempts, &simulatedAttempt{server: s, sent: p.now, inFlight: true})
	if nth > 0 {
		p.count["retry"]++
	}
	if s.Started > 0 && p.now < s.Started+p.set.Duration("slow_start_span") {
		p.count["to a warming server"]++
	}
	outcome, end := Succeeded, Time(0)
	if p.rng.Intn(100) < s.faultPercent {
		outcome, end = s.fault, p.now+Time(p.rng.Intn(1500))
	} else {
		if p.slowdownAfter > 0 && p.now > p.begin+Time(p.slowdownAfter)*Second {
			s.slowdown = 1
		}
		if p.parallel {
			s.busyUntil = p.now
		}
		s.busyUntil = max(s.busyUntil, p.now) + p.serviceTime*(1+s.slowdown)*Time(40+p.rng.Intn(120))/100
		end = s.busyUntil
	}
	if p.resetPercent > 0 && p.rng.Intn(100) < p.resetPercent {
		outcome, end = ConnectionReset, p.now+Time(p.rng.Intn(500))
	}
	if outcome == TimedOut || end > p.now+d.Duration {
		outcome, end = TimedOut, p.now+d.Duration
	}
	p.at(end, func() { p.end(k, d.Request, r, nth, outcome) })
	if p.rng.Intn(20) == 0 { // the response begins before the attempt ends
		p.at(p.now+Time(p.rng.Intn(1000)), func() {
			if r.attempts[nth].inFlight {
				p.nodes[k].SetTime(p.now)
				p.nodes[k].ResponseStarted(d.Request)
				r.streaming = true
			}
		})
	}
}

// end reports the end of an attempt. One that is not in flight is reported with a wrong number.
func (p *fleetSimulation) end(k int, id RequestID, r *simulatedRequest, nth int, outcome Outcome) {
	n := p.nodes[k]
	if r == nil || nth >= len(r.attempts) || !r.attempts[nth].inFlight {
		n.AttemptEnded(AttemptResult{Request: id, Attempt: nth + 7, Outcome: outcome})
		return
	}
	a := r.attempts[nth]
	a.inFlight = false
	p.count[fmt.Sprintf("outcome %d", outcome)]++
	units := 0.0
	if p.rng.Intn(3) == 0 {
		units = float64(p.rng.Intn(300)) / 100
	}
	n.SetTime(p.now)
	n.AttemptEnded(AttemptResult{
		Request: id, Attempt: nth, Server: a.server.Server, Outcome: outcome, Duration: p.now - a.sent,
		Final: outcome == Succeeded || r.streaming, Units: units, Load: nil,
	})
	p.pull(k)
}
