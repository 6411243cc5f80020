// Package model is the laboratory's fleet model: discrete events in virtual time, N edge nodes that each run
// the real decision module through internal/routing (or a baseline policy, for comparison), M app servers
// modelled as the emulator plays them, the load tool's arrivals, and the emulator's fault schedules. One
// goroutine, one event heap ordered by time and then by sequence, random draws from math/rand/v2 seeded per
// part: the same configuration and seed give the same run, event for event.
//
// It exists to try designs at sizes that sockets on one machine don't reach (hundreds of nodes, hundreds of
// servers, an hour of traffic); its figures are of simulated servers and say so.
package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/lab/load"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// Policy is what decides at the nodes.
type Policy string

// The policies. Only Module decides as the node does; the others are baselines to measure it against.
const (
	Module     Policy = "module"      // the real rules module, through internal/routing
	RoundRobin Policy = "round-robin" // rotation with a static limit of executions out per server and node
	Late       Policy = "late"        // the server with the fewest at work, as the true state was a while ago
)

// Config is one run.
type Config struct {
	Nodes    int
	Seconds  float64 // virtual time of arrivals; the run ends when the last ticket has its answer
	Policy   Policy
	Seed     uint64
	Traffic  operatorfile.Traffic  // Rate is the fleet's; Target is not used
	Server   operatorfile.Emulator // Servers is M; Listen and Schedule are not used
	Schedule emulator.Schedule
	Settings map[string]string // the module's, in the project's names; nil for DefaultSettings
	Limit    int               // RoundRobin: executions out per server from one node
	Stale    time.Duration     // Late: how old its view is
	RTT      time.Duration     // between a node and a server, both ways together
	Quota    float64           // baselines: a customer's units a second; 0 for the default settings' 100
	Depth    float64           // baselines: its bucket; 0 for 200
}

// Server's figures are those of operatorfile.Emulator; a node's view of a server is a routing.Server.
type server struct {
	id       int
	addr     netip.AddrPort
	rng      *rand.Rand
	busy     int
	queue    []*execution
	booted   time.Duration
	down     bool
	runs     int64
	lastBusy int // for Late: what was seen at the last look
	draining bool
	toldAt   time.Duration // when the nodes heard of its drain; -1 before
	target   protocol.Endpoint
}

type execution struct {
	tk      *ticket
	nth     int
	srv     *server
	sent    time.Duration
	ended   bool
	running bool
	until   time.Duration // the server gives up on it in its queue after this
	drop    bool          // a fault: never answered
	outcome protocol.Outcome
}

type ticket struct {
	id         uint64
	node       *node
	rt         *routing.Request
	band       int
	due        time.Duration
	deadline   time.Duration
	exec       *execution
	done       bool
	again      bool
	customer   uint64
	waiting    bool // a step is made while an execution is out: polled once that execution is told
	tries      int  // a baseline's executions
	runs       int  // executions that began to run
	replayable bool
}

type node struct {
	id      int
	router  *routing.Router
	tickets map[*routing.Request]*ticket
	ready   []*routing.Request
	wakeGen uint64
	rr      int
	out     map[int]int // RoundRobin: executions out per server
	buckets map[uint64]*bucket
}

// event kinds
const (
	evArrive = iota
	evTick
	evDone    // a server ends an execution
	evTimeout // a node stops waiting for an execution
	evReport  // an execution's end reaches its node
	evGiveUp  // a client stops waiting
	evSample
	evFault // a restart begins or ends
	evRetry // a bounced client comes again
	evDrain // a server begins to drain (gen 0), or discovery tells the nodes (gen 1)
)

// drainTold is how long after a drain begins discovery tells the nodes; rule 3 then gives them drainCutoff.
const drainTold, drainCutoff = 100 * time.Millisecond, 500 * time.Millisecond

type event struct {
	at   time.Duration
	seq  uint64
	kind int
	node *node
	exec *execution
	tk   *ticket
	gen  uint64
	n    int
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Sim is one run in progress.
type Sim struct {
	cfg     Config
	now     time.Duration
	epoch   time.Time
	seq     uint64
	queue   events
	nodes   []*node
	servers []*server
	byAddr  map[netip.AddrPort]*server
	rng     *rand.Rand
	stream  *load.Stream
	next    load.Arrival
	more    bool
	ids     uint64
	rev     uint64 // of the list the nodes were told
	bands   []string
	out     *Recorder
	steps   int64
}

// New prepares a run; it errors on a configuration that can't run.
func New(cfg Config, rec *Recorder) (*Sim, error) {
	if cfg.Nodes < 1 || cfg.Server.Servers < 1 || !(cfg.Seconds > 0) {
		return nil, fmt.Errorf("model: nodes, servers and seconds must be above 0")
	}
	switch cfg.Policy {
	case Module, RoundRobin, Late:
	default:
		return nil, fmt.Errorf("model: policy %q is none of module, round-robin, late", cfg.Policy)
	}
	if cfg.RTT <= 0 {
		cfg.RTT = 500 * time.Microsecond
	}
	if cfg.Limit <= 0 {
		cfg.Limit = max(1, cfg.Server.Concurrency*2/max(1, cfg.Nodes))
	}
	if cfg.Quota <= 0 {
		cfg.Quota, cfg.Depth = defaultRate, defaultDepth
	}
	if cfg.Depth <= 0 {
		cfg.Depth = 2 * cfg.Quota
	}
	if cfg.Stale <= 0 {
		cfg.Stale = time.Second
	}
	tr := cfg.Traffic
	tr.DurationS = cfg.Seconds
	s := &Sim{
		cfg: cfg, epoch: time.Unix(1_800_000_000, 0), byAddr: map[netip.AddrPort]*server{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d6f64656c)), stream: load.NewStream(tr, cfg.Seed), out: rec,
	}
	for _, b := range tr.Bands {
		s.bands = append(s.bands, b.Name)
	}
	list := &protocol.EndpointList{Revision: 1, Full: true}
	s.rev = 1
	for i := range cfg.Server.Servers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 9000)
		sv := &server{
			id: i, addr: addr, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1)), booted: -time.Hour,
			toldAt: -1, target: protocol.Endpoint{
				UID: "s-" + strconv.Itoa(i), Addr: addr,
				Zone: string(rune('a' + i%3)), Model: "m", Cell: i % 8, State: protocol.InService, Weight: 1,
			},
		}
		s.servers = append(s.servers, sv)
		s.byAddr[addr] = sv
		list.Endpoints = append(list.Endpoints, sv.target)
	}
	for i := range cfg.Nodes {
		n := &node{id: i, tickets: map[*routing.Request]*ticket{}, out: map[int]int{}, buckets: map[uint64]*bucket{}}
		if cfg.Policy == Module {
			set := cfg.Settings
			if set == nil {
				set = DefaultSettings(cfg.Nodes, tr)
			}
			own := make(map[string]string, len(set)+1)
			for k, v := range set {
				own[k] = v
			}
			own["node"] = strconv.Itoa(i)
			n.router = routing.New(routing.Config{
				Seed: cfg.Seed ^ uint64(i)*0x9e3779b97f4a7c15, Settings: own,
				Clock: s.clock, OnDecision: func(t *routing.Request) { n.ready = append(n.ready, t) },
				SetTimer:   func(after time.Duration) { s.wake(n, after) },
				SendToPeer: func(int, []byte) {}, PollEndpoints: func() {}, LogSummary: func([]byte) {},
			})
			n.router.UpdateEndpoints(list, false)
		}
		s.nodes = append(s.nodes, n)
	}
	for _, f := range cfg.Schedule.Faults {
		switch f.Kind {
		case emulator.Restart:
			s.push(&event{at: f.At(), kind: evFault, n: f.Server, gen: 1})
			s.push(&event{at: f.End(), kind: evFault, n: f.Server, gen: 0})
		case emulator.Drain:
			s.push(&event{at: f.At(), kind: evDrain, n: f.Server})
			s.push(&event{at: f.At() + drainTold, kind: evDrain, n: f.Server, gen: 1})
		}
	}
	s.next, s.more = s.stream.Next()
	if s.more {
		s.push(&event{at: s.next.At, kind: evArrive})
	}
	s.push(&event{at: time.Second, kind: evSample})
	for _, n := range s.nodes {
		if n.router != nil {
			n.router.Tick()
		}
	}
	return s, nil
}

func (s *Sim) clock() time.Time { return s.epoch.Add(s.now) }

func (s *Sim) push(e *event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// wake sets a node's one timer; earlier settings of it are void.
func (s *Sim) wake(n *node, after time.Duration) {
	n.wakeGen++
	s.push(&event{at: s.now + max(after, 0), kind: evTick, node: n, gen: n.wakeGen})
}

// Run plays the run to its end and gives its totals.
func (s *Sim) Run() Totals {
	end := time.Duration(s.cfg.Seconds * float64(time.Second))
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(*event)
		if e.kind == evSample && e.at > end && s.out.open == 0 {
			break
		}
		s.now = e.at
		s.steps++
		s.step(e)
	}
	s.out.flush(s.now, s)
	return s.out.Totals(s.steps)
}

func (s *Sim) step(e *event) {
	switch e.kind {
	case evArrive:
		s.arrive(s.next, false)
		if s.next, s.more = s.stream.Next(); s.more {
			s.push(&event{at: s.next.At, kind: evArrive})
		}
	case evTick:
		if e.gen == e.node.wakeGen {
			e.node.router.Tick()
			s.poll(e.node)
		}
	case evDone:
		s.done(e.exec)
	case evTimeout:
		if x := e.exec; !x.ended {
			s.end(x, protocol.TimedOut)
		}
	case evReport:
		if e.n > 0 {
			e.exec.outcome = protocol.Outcome(e.n - 1)
		}
		s.report(e.exec)
	case evRetry:
		s.arrive(load.Arrival{Band: e.tk.band, Customer: e.tk.customer}, true)
	case evGiveUp:
		if tk := e.tk; !tk.done {
			s.settle(tk, outGaveUp)
			if tk.rt != nil {
				tk.rt.ClientGone()
				s.poll(tk.node)
			}
		}
	case evSample:
		s.out.flush(s.now, s)
		s.push(&event{at: s.now + time.Second, kind: evSample})
	case evFault:
		s.fault(e.n, e.gen == 1)
	case evDrain:
		s.drain(e.n, e.gen == 1)
	}
}

// arrive brings a ticket to the node of its customer's set: the first node, or one of its spread.
func (s *Sim) arrive(a load.Arrival, again bool) {
	b := s.cfg.Traffic.Bands[a.Band]
	spread := min(max(1, s.cfg.Traffic.Spread), s.cfg.Nodes)
	first := int(a.Customer % uint64(s.cfg.Nodes))
	n := s.nodes[(first+s.rng.IntN(spread))%s.cfg.Nodes]
	s.ids++
	tk := &ticket{
		id: s.ids, node: n, band: a.Band, due: s.now, again: again, customer: a.Customer, replayable: b.Repeats == "replayable",
		deadline: s.now + time.Duration(b.BudgetMs)*time.Millisecond,
	}
	s.out.arrived(tk)
	s.push(&event{at: tk.deadline, kind: evGiveUp, tk: tk})
	if n.router == nil {
		s.baseline(tk)
		return
	}
	tk.rt = n.router.NewRequest(worker{s, tk})
	n.tickets[tk.rt] = tk
	tk.rt.Start(&protocol.Request{
		Class: b.Name, Plan: s.cfg.Traffic.Plan, Customer: a.Customer, Units: b.Units,
		Spread: spread, FirstNode: first, Timeout: tk.deadline - s.now,
	}, tk.deadline-s.now)
	s.poll(n)
}

// worker carries Withdraw from the module: the execution's end is told at once, as a closed connection is.
type worker struct {
	s  *Sim
	tk *ticket
}

func (w worker) Cancel(nth int) {
	if x := w.tk.exec; x != nil && x.nth == nth && !x.ended {
		x.ended, x.outcome = true, protocol.Cancelled
		w.s.push(&event{at: w.s.now, kind: evReport, exec: x})
	}
}

// poll carries out each step the module has made for the node's tickets.
func (s *Sim) poll(n *node) {
	for len(n.ready) > 0 {
		rt := n.ready[0]
		n.ready = n.ready[1:]
		tk := n.tickets[rt]
		if tk == nil {
			continue
		}
		if tk.exec != nil { // as on sockets: the execution's end is reported before the next step is taken
			tk.waiting = true
			continue
		}
		c, ok := rt.TryNext()
		if !ok {
			continue
		}
		switch c.Action {
		case routing.Forward:
			s.execute(tk, c.Attempt, s.byAddr[c.Server.Addr], c.Timeout)
		case routing.Reject:
			s.settle(tk, outBounced)
			s.again(tk, c.RetryAfter)
			s.free(tk)
		case routing.Fail:
			s.settle(tk, outBroken)
			s.free(tk)
		case routing.Abandon:
			s.free(tk)
		}
	}
}

func (s *Sim) free(tk *ticket) {
	if tk.rt != nil {
		delete(tk.node.tickets, tk.rt)
		tk.rt.Release()
		tk.rt = nil
	}
}

// again brings a bounced client back once, with the set chance, after the advice (100 ms without one).
func (s *Sim) again(tk *ticket, advice time.Duration) {
	if tk.again || s.rng.Float64() >= s.cfg.Traffic.AgainP {
		return
	}
	if advice <= 0 {
		advice = 100 * time.Millisecond
	}
	s.push(&event{at: s.now + advice, kind: evRetry, tk: tk})
}

// execute sends one execution to a server.
func (s *Sim) execute(tk *ticket, nth int, sv *server, wait time.Duration) {
	x := &execution{tk: tk, nth: nth, srv: sv, sent: s.now}
	tk.exec = x
	if wait > 0 {
		s.push(&event{at: s.now + wait, kind: evTimeout, exec: x})
	}
	if sv.toldAt >= 0 && s.now > sv.toldAt+drainCutoff {
		s.out.lateToDrained++ // rule 3: nothing new to a draining server 500 ms after hearing it
	}
	if sv.draining {
		s.reply(x, protocol.Overloaded, s.cfg.RTT)
		return
	}
	if sv.down {
		x.ended, x.outcome = true, protocol.ConnectFailed
		s.push(&event{at: s.now + s.cfg.RTT, kind: evReport, exec: x})
		return
	}
	hit := s.faults(sv)
	switch {
	case has(hit, emulator.Refuse):
		s.reply(x, protocol.Overloaded, s.cfg.RTT)
		return
	case has(hit, emulator.Silence):
		return // read and never answered; never run
	}
	x.until = tk.deadline
	if sv.busy < s.cfg.Server.Concurrency {
		s.start(x, hit)
	} else if len(sv.queue) < s.cfg.Server.Queue {
		sv.queue = append(sv.queue, x)
	} else {
		s.reply(x, protocol.Overloaded, s.cfg.RTT)
	}
}

// start begins the work, with a log-normal time made longer by warm-up and slow faults.
func (s *Sim) start(x *execution, hit []emulator.Fault) {
	sv, e := x.srv, s.cfg.Server
	sv.busy++
	sv.runs++
	x.running = true
	x.tk.runs++
	s.out.ran(x.tk)
	units := s.cfg.Traffic.Bands[x.tk.band].Units
	ms := e.ServiceMs * math.Max(units, 0.1) * math.Exp(e.Spread*sv.rng.NormFloat64())
	if up := (s.now - sv.booted).Seconds(); e.WarmupS > 0 && up < e.WarmupS {
		ms *= 1 + (e.ColdFactor-1)*(1-up/e.WarmupS)
	}
	x.outcome = protocol.Completed
	for _, f := range hit {
		switch f.Kind {
		case emulator.Slow:
			ms *= f.X
		case emulator.Error:
			x.outcome = protocol.Errored
		case emulator.Reset:
			x.outcome = protocol.ConnectionReset
		case emulator.Spoil:
			x.outcome = protocol.MalformedResponse
		case emulator.Lose:
			x.drop = true
		}
	}
	s.push(&event{at: s.now + time.Duration(ms*float64(time.Millisecond)) + s.cfg.RTT/2, kind: evDone, exec: x})
}

// done frees the server's slot, answers, and starts the next in its queue that is not over.
func (s *Sim) done(x *execution) {
	sv := x.srv
	if !x.running {
		return
	}
	x.running = false
	sv.busy--
	if !x.drop {
		s.reply(x, x.outcome, s.cfg.RTT/2)
	}
	for len(sv.queue) > 0 && sv.busy < s.cfg.Server.Concurrency {
		next := sv.queue[0]
		sv.queue = sv.queue[1:]
		if next.ended {
			continue
		}
		if s.now > next.until {
			s.reply(next, protocol.Overloaded, s.cfg.RTT/2)
			continue
		}
		s.start(next, s.faults(sv))
	}
}

func (s *Sim) reply(x *execution, o protocol.Outcome, after time.Duration) {
	if x.ended {
		return
	}
	s.push(&event{at: s.now + after, kind: evReport, exec: x, n: int(o) + 1})
}

// end closes an execution from the node's side (time-out), telling it at once.
func (s *Sim) end(x *execution, o protocol.Outcome) {
	x.ended, x.outcome = true, o
	s.report(x)
}

// report tells the node how an execution ended.
func (s *Sim) report(x *execution) {
	tk := x.tk
	if tk.exec != x {
		return
	}
	tk.exec = nil
	x.ended = true
	if s.cfg.Policy != Module {
		s.baselineEnd(tk, x)
		return
	}
	if tk.rt == nil {
		return
	}
	tk.rt.Report(routing.AttemptResult{Outcome: x.outcome, Duration: s.now - x.sent, Units: s.cfg.Traffic.Bands[tk.band].Units})
	if x.outcome == protocol.Completed { // its answer: the connection takes its next ticket without a step
		s.settle(tk, outCompleted)
		s.free(tk)
		return
	}
	if tk.waiting {
		tk.waiting = false
		tk.node.ready = append(tk.node.ready, tk.rt)
	}
	s.poll(tk.node)
}

// fault takes a server down (its connections reset, its queue lost) or brings it back cold.
func (s *Sim) fault(which int, down bool) {
	for _, sv := range s.servers {
		if which != -1 && sv.id != which {
			continue
		}
		sv.down = down
		if !down {
			sv.booted = s.now
			continue
		}
		for _, x := range sv.queue {
			s.reply(x, protocol.ConnectionReset, 0)
		}
		sv.queue = nil
	}
}

func (s *Sim) faults(sv *server) []emulator.Fault {
	var hit []emulator.Fault
	for _, f := range s.cfg.Schedule.Faults {
		if f.Kind == emulator.Restart || (f.Server != -1 && f.Server != sv.id) || s.now < f.At() || s.now >= f.End() {
			continue
		}
		if f.P >= 1 || sv.rng.Float64() < f.P {
			hit = append(hit, f)
		}
	}
	return hit
}

func has(fs []emulator.Fault, k emulator.Kind) bool {
	for _, f := range fs {
		if f.Kind == k {
			return true
		}
	}
	return false
}

// settle gives the ticket its one final answer; later ones are not counted.
func (s *Sim) settle(tk *ticket, o int) {
	if tk.done {
		return
	}
	tk.done = true
	s.out.settled(tk, o, s.now)
}

// drain marks servers draining, or tells the module's nodes so, as discovery's change would.
func (s *Sim) drain(which int, tell bool) {
	var change []protocol.Endpoint
	for _, sv := range s.servers {
		if which != -1 && sv.id != which {
			continue
		}
		if !tell {
			sv.draining = true
			continue
		}
		sv.toldAt = s.now
		sv.target.State = protocol.Terminating
		change = append(change, sv.target)
	}
	if !tell {
		return
	}
	s.rev++
	for _, n := range s.nodes {
		if n.router != nil {
			n.router.UpdateEndpoints(&protocol.EndpointList{Revision: s.rev, Endpoints: change}, false)
			s.poll(n)
		}
	}
}
