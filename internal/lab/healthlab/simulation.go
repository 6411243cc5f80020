package healthlab

import (
	"math/rand/v2"
	"slices"
	"time"

	"cherrygap/internal/healthcheck"
)

const (
	checkDuration  = 20 * time.Millisecond
	sampleInterval = time.Second
	idStep         = 7919 // between the IDs of consecutive servers
	noNode         = -1   // instead of a node's number
)

// node is a simulated node, over its incarnations.
type node struct {
	scheduler   *healthcheck.Scheduler // of the present incarnation
	incarnation int                    // number of starts
	up          bool
	wakeAt      time.Duration // when the timer fires
	received    int64         // messages, of all incarnations
	sentBytes   int64         // of earlier incarnations
	withheld    int64         // messages, of earlier incarnations
}

// server is the state of an app server.
type server struct {
	checkedAt time.Duration
	checkedBy int // noNode before the first check
}

// simulation is one run.
type simulation struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	nodes   []*node
	servers []server
	checks  []healthcheck.Check // one for each server
	faulty  bool                // the scenario's fault is active
	down    []int               // vanish: the stopped nodes
	result  Result
}

// newSimulation returns a run in which all nodes start at time 0.
func newSimulation(cfg Config) *simulation {
	s := &simulation{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), servers: make([]server, cfg.Servers)}
	for i := range s.servers {
		s.checks = append(s.checks, healthcheck.Check{Kind: healthcheck.CheckServer, ID: healthcheck.CheckID(i*idStep + 1)})
		s.servers[i].checkedBy = noNode
	}
	for i := range cfg.Nodes {
		s.nodes = append(s.nodes, &node{})
		s.start(i)
	}
	s.result.ConvergenceS = -1
	return s
}

// faultBegins returns the time at which the scenario's fault begins.
func (s *simulation) faultBegins() time.Duration { return s.cfg.Duration / 3 }

// faultEnds returns the time at which the scenario's fault ends.
func (s *simulation) faultEnds() time.Duration { return 2 * (s.cfg.Duration / 3) }

// start starts a new incarnation of a node, without state of earlier ones.
func (s *simulation) start(id int) {
	n := s.nodes[id]
	n.incarnation++
	n.up = true
	n.scheduler = healthcheck.New(healthcheck.Config{
		Self:        healthcheck.NodeID(id),
		Nodes:       s.cfg.Nodes,
		Seed:        s.random.Uint64(),
		ReceiveRate: s.cfg.ReceiveRate,
		SendRate:    s.cfg.SendRate,
		Interval:    s.cfg.Interval,
	}, s.now)
	n.scheduler.SetChecks(s.now, s.checks)
	n.wakeAt = s.now
	s.queue.schedule(event{at: s.now, kind: wakeNode, node: id, incarnation: n.incarnation})
}

// stop stops a node. It does nothing if the node is down.
func (s *simulation) stop(id int) {
	n := s.nodes[id]
	if !n.up {
		return
	}
	n.up = false
	counters := n.scheduler.Counters()
	n.sentBytes += counters.SentBytes
	n.withheld += counters.Withheld
}

// play executes the whole run.
func (s *simulation) play() {
	s.queue.schedule(event{at: s.faultBegins(), kind: moveFault})
	s.queue.schedule(event{at: s.faultEnds(), kind: moveFault})
	s.queue.schedule(event{at: s.faultEnds() + sampleInterval, kind: sampleMembers})
	for s.queue.Len() > 0 {
		e := s.queue.next()
		if e.at > s.cfg.Duration {
			break
		}
		s.now = e.at
		s.handle(e)
	}
	for _, server := range s.servers {
		s.recordGap(server.checkedAt, s.cfg.Duration)
	}
}

// handle executes an event.
func (s *simulation) handle(e event) {
	switch e.kind {
	case sampleMembers:
		s.sample()
		return
	case moveFault:
		s.moveFault()
		return
	}
	n := s.nodes[e.node]
	if !n.up || n.incarnation != e.incarnation && e.kind != receive {
		return
	}
	switch e.kind {
	case receive:
		n.received++
		// The scheduler counts invalid messages, and the simulation sends none.
		_ = n.scheduler.ReceivePeerMessage(s.now, healthcheck.NodeID(e.from), e.text)
	case endCheck:
		n.scheduler.CheckEnded(s.now, e.check, true)
	default:
		if e.at < n.wakeAt { // the timer was set to a later time
			return
		}
	}
	s.executeSteps(e.node)
}

// executeSteps executes the steps that a node's scheduler returns, and sets the node's timer.
func (s *simulation) executeSteps(id int) {
	n := s.nodes[id]
	for step, ok := n.scheduler.Next(s.now); ok; step, ok = n.scheduler.Next(s.now) {
		switch step.Kind {
		case healthcheck.Send:
			s.send(id, int(step.To), slices.Clone(step.Text))
		case healthcheck.Run:
			s.recordCheck(int((step.Check.ID-1)/idStep), id)
			s.queue.schedule(event{at: s.now + checkDuration, kind: endCheck, node: id, incarnation: n.incarnation, check: step.Check})
		case healthcheck.Ended: // the simulated node has no router that uses the result
		}
	}
	n.wakeAt = s.now + n.scheduler.Wake(s.now)
	s.queue.schedule(event{at: n.wakeAt, kind: wakeNode, node: id, incarnation: n.incarnation})
}

// recordCheck counts a check of a server that a node begins now.
func (s *simulation) recordCheck(index, by int) {
	server := &s.servers[index]
	s.result.Checks++
	halfInterval := s.nodes[by].scheduler.Interval() / 2
	if server.checkedBy != noNode && server.checkedBy != by && s.now-server.checkedAt < halfInterval {
		s.result.Duplicates++
	}
	s.recordGap(server.checkedAt, s.now)
	server.checkedAt, server.checkedBy = s.now, by
}

// recordGap records the time between two checks of a server.
func (s *simulation) recordGap(from, to time.Duration) {
	if gap := (to - from).Seconds(); gap > s.result.WorstGap {
		s.result.WorstGap, s.result.WorstGapAt = gap, to.Seconds()
	}
}

// sample counts the members that the nodes consider dead. It is called after the fault, when all members are up.
func (s *simulation) sample() {
	wrong := 0
	for _, n := range s.nodes {
		if n.up {
			wrong += n.scheduler.DeadCount()
		}
	}
	s.result.WrongDeaths = wrong
	if wrong > 0 {
		s.result.ConvergenceS = -1
	} else if s.result.ConvergenceS < 0 {
		s.result.ConvergenceS = (s.now - s.faultEnds()).Seconds()
	}
	s.queue.schedule(event{at: s.now + sampleInterval, kind: sampleMembers})
}

// summarize returns the result of the run after play.
func (s *simulation) summarize() Result {
	r, first := s.result, s.nodes[0].scheduler
	r.Scenario, r.Nodes, r.Servers = s.cfg.Scenario, s.cfg.Nodes, s.cfg.Servers
	r.Period, r.Interval = first.Period().Seconds(), first.Interval().Seconds()
	seconds, received := s.cfg.Duration.Seconds(), int64(0)
	for _, n := range s.nodes {
		var current healthcheck.Counters
		if n.up {
			current = n.scheduler.Counters()
		}
		bytes := float64(n.sentBytes+current.SentBytes) / seconds
		r.BytesMean += bytes / float64(s.cfg.Nodes)
		r.BytesMax = max(r.BytesMax, bytes)
		r.Withheld += n.withheld + current.Withheld
		received = max(received, n.received)
	}
	r.MessagesMax = float64(received) / seconds
	return r
}
