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

// pinPlay drives a few nodes of one fleet with clients, app servers, discovery and a lossy network between the nodes,
// all drawn from one seed, and digests everything that the nodes decide and write. The expected digests were taken
// from commit cf1acfb: a change of the package that is meant to leave behaviour alone must leave all of them alone.
type pinPlay struct {
	pinSetup
	rng         *rand.Rand
	now         Time
	begin       Time
	nodes       []*Engine
	ids         []int
	pausedUntil []Time // by node: it gets no turn until then
	servers     []*pinServer
	byID        map[ServerID]*pinServer
	tasks       map[Time][]func()
	open        []map[RequestID]*pinRequest // by node
	nextID      RequestID
	digest      hash.Hash
	first       []string       // the first decisions, in words
	count       map[string]int // decisions and messages by kind
	notes       []string
}

type pinSetup struct {
	set       Settings
	members   []int // the nodes that take part; the fleet may have more
	servers   int
	zones     int
	perCell   int
	work      Time // of a request at a server
	perStep   float64
	customers int
	spread    int
	seconds   int
	mild      bool // few faults
	listAt0   EndpointListKind
	shadow    Settings
	leased    uint64 // customers below this number have their quota leased
	free      bool   // most customers' plan has no limits
	resets    int    // percent of all attempts
	outage    bool   // all servers stand still for two seconds
	restarted int    // servers that have started just before
	silent    int    // servers that answer nothing
	missed    bool   // the first call to discovery fails
	period    Time   // of the load, 8 s if 0
	slowing   int    // seconds after which all servers take half as long again
	parallel  bool   // a server's requests don't queue
	firstZero bool   // all customers come in by nodes from number 0 on
}

type pinServer struct {
	Endpoint
	free  Time
	fault Outcome
	often int // percent of attempts that the fault meets
	slow  Time
}

type pinRequest struct {
	attempts  []*pinAttempt
	streaming bool
}

type pinAttempt struct {
	server   *pinServer
	sent     Time
	inFlight bool
}

const pinStep = 50

func newPinPlay(seed int64, setup pinSetup) *pinPlay {
	p := &pinPlay{
		pinSetup: setup, rng: rand.New(rand.NewSource(seed)), now: 3 * Second, begin: 3 * Second,
		byID: map[ServerID]*pinServer{}, tasks: map[Time][]func(){}, digest: sha256.New(), count: map[string]int{},
		ids: setup.members, pausedUntil: make([]Time, len(setup.members)),
	}
	for i := range setup.servers {
		p.addServer(i)
	}
	for _, s := range p.servers[:setup.restarted] {
		s.Started = p.begin - Second
	}
	for _, s := range p.servers[len(p.servers)-setup.silent:] {
		s.free = p.begin + 999*Second
	}
	for k, id := range p.ids {
		set := Settings{}
		for name, v := range setup.set {
			set[name] = v
		}
		set["node"] = strconv.Itoa(id)
		n := New(uint64(seed)<<32|uint64(id*7919+1), set.parse(), p.now)
		n.SetTime(p.now)
		n.UpdateEndpoints(setup.listAt0, p.listings(p.servers...))
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
		p.nodes, p.open = append(p.nodes, n), append(p.open, map[RequestID]*pinRequest{})
		p.pull(k)
		if setup.missed {
			n.UpdateEndpoints(PollFailed, nil)
		}
	}
	return p
}

func (p *pinPlay) addServer(i int) *pinServer {
	s := &pinServer{Endpoint: Endpoint{
		Server: ServerID(i*7919 + 11), Zone: uint8(i % p.zones), Kind: uint16(i % 3),
		Cell: uint16(i / p.perCell), State: Ready, Weight: []float64{1, 1, 2, 0.5, 0}[i%5],
	}}
	p.pinSetup.servers = max(p.pinSetup.servers, i+1)
	p.servers = append(p.servers, s)
	p.byID[s.Server] = s
	return s
}

func (p *pinPlay) listings(servers ...*pinServer) (list []Endpoint) {
	for _, s := range servers {
		list = append(list, s.Endpoint)
	}
	return list
}

// at runs a task in the step at or after a time.
func (p *pinPlay) at(when Time, task func()) {
	steps := max(1, (when-p.now+pinStep-1)/pinStep)
	p.tasks[p.now+steps*pinStep] = append(p.tasks[p.now+steps*pinStep], task)
}

// run plays to the end and gives a digest for each second.
func (p *pinPlay) run() (digests []string) {
	for range p.seconds {
		for range Second / pinStep {
			p.step()
		}
		for _, n := range p.nodes {
			p.digest.Write(fmt.Appendln(nil, pinCustomers(n)))
		}
		digests = append(digests, hex.EncodeToString(p.digest.Sum(nil))[:12])
	}
	return digests
}

func (p *pinPlay) step() {
	p.now += pinStep
	tasks := p.tasks[p.now]
	delete(p.tasks, p.now)
	for _, task := range tasks {
		task()
	}
	if r := p.rng.Intn(map[bool]int{false: 25, true: 150}[p.mild]); r == 0 {
		p.disturb()
	}
	if p.outage && p.now == p.begin+5*Second {
		for _, s := range p.servers {
			s.free = p.now + 2*Second
		}
	}
	// Load swings between quiet and about twice what the servers can do.
	period := cmp.Or(p.period, 8*Second)
	phase := float64((p.now-p.begin)%period) / float64(period)
	mean := p.perStep * (0.4 + 1.8*phase)
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

func (p *pinPlay) arrive() {
	customer := uint64(p.rng.Intn(p.customers))
	if p.rng.Intn(3) == 0 {
		customer = 1 // one that asks far more than others
	}
	spread, first := p.spread, NodeID(int(customer)*5%max(1, int(p.set.Number("nodes"))))
	if p.firstZero {
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
	if p.free && customer%7 > 0 {
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
		if customer < p.leased {
			n.SetLease(a.Customer, a.Plan, a.Spread, a.FirstNode, float64(p.rng.Intn(30))-5)
		}
		p.open[k][id] = &pinRequest{}
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

// disturb changes something in the world.
func (p *pinPlay) disturb() {
	s := p.servers[p.rng.Intn(len(p.servers))]
	switch p.rng.Intn(12) {
	case 0, 1, 2:
		s.fault = []Outcome{Failed, Overloaded, ConnectFailed, ConnectionReset, MalformedResponse, NotSent, TimedOut}[p.rng.Intn(7)]
		s.often = 10 + p.rng.Intn(90)
		p.at(p.now+Time(p.rng.Intn(30000)), func() { s.often = 0 })
	case 3:
		s.slow = Time(1 + p.rng.Intn(40))
		p.at(p.now+Time(p.rng.Intn(30000)), func() { s.slow = 0 })
	case 4: // it stands still
		s.free = max(s.free, p.now) + Time(p.rng.Intn(40000))
	case 5:
		p.restart(s)
	case 6:
		p.replace(s)
	case 7:
		p.listTo(FullList, p.servers...)
	case 8:
		p.listTo(PollFailed)
	case 9: // a node gets no turn
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

// restart drains a server, which comes back cold.
func (p *pinPlay) restart(s *pinServer) {
	s.State = Draining
	p.listTo(ListUpdate, s)
	p.at(p.now+Time(p.rng.Intn(20000)), func() {
		s.State, s.Started, s.free = Ready, p.now, p.now
		p.listTo(ListUpdate, s)
	})
}

// replace puts a cold server in one's place.
func (p *pinPlay) replace(s *pinServer) {
	s.State = Gone
	p.listTo(ListUpdate, s)
	fresh := p.addServer(p.pinSetup.servers)
	p.servers = slices.DeleteFunc(p.servers, func(v *pinServer) bool { return v == s })
	fresh.Started = p.now
	p.at(p.now+Time(p.rng.Intn(5000)), func() { p.listTo(ListUpdate, fresh) })
}

// restartMany restarts a third of all servers.
func (p *pinPlay) restartMany() {
	for i, v := range p.servers {
		if i%3 == 0 && v.State == Ready && !p.mild {
			v.Started = p.now
		}
	}
	p.listTo(FullList, p.servers...)
}

// listTo hands a message of discovery to the nodes, to some of them late.
func (p *pinPlay) listTo(kind EndpointListKind, servers ...*pinServer) {
	list := p.listings(servers...)
	for k, n := range p.nodes {
		p.at(p.now+Time(p.rng.Intn(3000)), func() {
			n.SetTime(p.now)
			n.UpdateEndpoints(kind, list)
			p.pull(k)
		})
	}
}

// pull carries out a node's decisions.
func (p *pinPlay) pull(k int) {
	for d, ok := p.nodes[k].Next(); ok; d, ok = p.nodes[k].Next() {
		p.note(k, d)
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

func (p *pinPlay) note(k int, d Decision) {
	line := fmt.Sprintf("%d node=%d verb=%d ticket=%d nth=%d server=%d span=%d peer=%d text=%x", p.now, p.ids[k], d.Action,
		d.Request, d.Attempt, d.Server, d.Duration, d.Peer, d.Payload)
	p.digest.Write([]byte(line + "\n"))
	if len(p.first) < 400 {
		p.first = append(p.first, line)
	}
	name := [...]string{
		Forward: "send", Reject: "bounce", Fail: "break off", CancelAttempt: "withdraw", SetTimer: "wake",
		HealthCheck: "probe", SendPeerMessage: "tell", PollEndpoints: "watch", LogSummary: "note",
	}[d.Action]
	if d.Action == SendPeerMessage {
		name = fmt.Sprintf("message %x", d.Payload[0])
	}
	p.count[name]++
	if d.Action == LogSummary {
		p.notes = append(p.notes, string(d.Payload))
	}
}

func (p *pinPlay) deliver(k int, d Decision) {
	text := slices.Clone(d.Payload)
	if p.rng.Intn(60) == 0 { // malformed on the way
		text = text[:p.rng.Intn(len(text))]
	}
	for to, n := range p.nodes {
		if to == k || d.Peer != AllPeers && d.Peer != NodeID(p.ids[to]) || p.rng.Intn(30) == 0 {
			continue
		}
		p.at(max(p.now+Time(p.rng.Intn(120)), p.pausedUntil[to]), func() {
			n.SetTime(p.now)
			if !n.ReceivePeerMessage(NodeID(p.ids[k]), text) {
				p.count["unreadable"]++
			}
			p.pull(to)
		})
	}
}

func (p *pinPlay) send(k int, d Decision) {
	r, s := p.open[k][d.Request], p.byID[d.Server]
	nth := len(r.attempts)
	r.attempts = append(r.attempts, &pinAttempt{server: s, sent: p.now, inFlight: true})
	if nth > 0 {
		p.count["retry"]++
	}
	if s.Started > 0 && p.now < s.Started+p.set.Duration("slow_start_span") {
		p.count["to a cold server"]++
	}
	outcome, end := Succeeded, Time(0)
	if p.rng.Intn(100) < s.often {
		outcome, end = s.fault, p.now+Time(p.rng.Intn(1500))
	} else {
		if p.slowing > 0 && p.now > p.begin+Time(p.slowing)*Second {
			s.slow = 1
		}
		if p.parallel {
			s.free = p.now
		}
		s.free = max(s.free, p.now) + p.work*(1+s.slow)*Time(40+p.rng.Intn(120))/100
		end = s.free
	}
	if p.resets > 0 && p.rng.Intn(100) < p.resets {
		outcome, end = ConnectionReset, p.now+Time(p.rng.Intn(500))
	}
	if outcome == TimedOut || end > p.now+d.Duration {
		outcome, end = TimedOut, p.now+d.Duration
	}
	p.at(end, func() { p.end(k, d.Request, r, nth, outcome) })
	if p.rng.Intn(20) == 0 { // a stream begins, and breaks or is completed
		p.at(p.now+Time(p.rng.Intn(1000)), func() {
			if r.attempts[nth].inFlight {
				p.nodes[k].SetTime(p.now)
				p.nodes[k].ResponseStarted(d.Request)
				r.streaming = true
			}
		})
	}
}

func (p *pinPlay) end(k int, id RequestID, r *pinRequest, nth int, outcome Outcome) {
	n := p.nodes[k]
	if r == nil || nth >= len(r.attempts) || !r.attempts[nth].inFlight {
		n.AttemptEnded(AttemptResult{Request: id, Attempt: nth + 7, Outcome: outcome})
		return
	}
	a := r.attempts[nth]
	a.inFlight = false
	p.count[fmt.Sprintf("end %d", outcome)]++
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
