package healthlab

import (
	"math/rand/v2"
	"slices"
	"time"

	"cherrygap/internal/healthcheck"
)

const (
	// checkDuration is the duration of a health check.
	checkDuration = 20 * time.Millisecond
	// sampleInterval is the time between two samples of the nodes' states.
	sampleInterval = time.Second
	// checkIDStep is the difference between the check ids of two consecutive servers. It avoids a pattern in the hashes.
	checkIDStep = 7919
	// noNode stands for the number of a missing node.
	noNode = -1
)

// node is a simulated node.
type node struct {
	scheduler   *healthcheck.Scheduler // scheduler of the current incarnation
	incarnation int                    // number of starts
	up          bool                   // whether the node runs
	timerAt     time.Duration          // virtual time at which the current timer expires
	received    int64                  // number of messages received in all incarnations
	sentBytes   int64                  // number of bytes sent in earlier incarnations
	withheld    int64                  // number of messages dropped because of SendRate in earlier incarnations
}

// server is the state of an app server.
type server struct {
	checkedAt time.Duration // virtual time of the last check; 0 before the first one
	checkedBy int           // node that ran the last check; noNode before the first one
}

// simulation is the state of a run.
type simulation struct {
	cfg          Config
	random       *rand.Rand
	now          time.Duration // virtual time since the start
	queue        eventQueue
	nodes        []*node
	servers      []server
	checks       []healthcheck.Check // check of each server, by the server's index
	faultActive  bool                // whether the scenario's fault is active
	stoppedNodes []int               // nodes that the scenario vanish stopped
	result       Result              // result so far
}

// newSimulation returns a simulation whose nodes have started, each with its first timer in the queue.
func newSimulation(cfg Config) *simulation {
	s := &simulation{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7)), servers: make([]server, cfg.Servers)}
	for i := range s.servers {
		s.checks = append(s.checks, healthcheck.Check{Kind: healthcheck.CheckServer, ID: healthcheck.CheckID(i*checkIDStep + 1)})
		s.servers[i].checkedBy = noNode
	}
	for i := range cfg.Nodes {
		s.nodes = append(s.nodes, &node{})
		s.start(i)
	}
	s.result.SettleTime = -1
	return s
}

// faultBeginsAt returns the virtual time at which the scenario's fault begins.
func (s *simulation) faultBeginsAt() time.Duration { return s.cfg.Duration / 3 }

// faultEndsAt returns the virtual time at which the scenario's fault ends.
func (s *simulation) faultEndsAt() time.Duration { return 2 * (s.cfg.Duration / 3) }

// start starts a node as a new incarnation, without any state of earlier ones.
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
	n.timerAt = s.now
	s.queue.schedule(event{at: s.now, kind: eventTimer, node: id, incarnation: n.incarnation})
}

// stop stops a node. It does nothing if the node does not run.
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

// run runs the whole simulation.
func (s *simulation) run() {
	s.queue.schedule(event{at: s.faultBeginsAt(), kind: eventFault})
	s.queue.schedule(event{at: s.faultEndsAt(), kind: eventFault})
	s.queue.schedule(event{at: s.faultEndsAt() + sampleInterval, kind: eventSample})
	for s.queue.Len() > 0 {
		e := s.queue.next()
		if e.at > s.cfg.Duration {
			break
		}
		s.now = e.at
		s.handleEvent(e)
	}
	for _, server := range s.servers {
		s.recordGap(server.checkedAt, s.cfg.Duration)
	}
}

// handleEvent processes an event. It drops all events of a stopped node, and timers and ends of checks of earlier incarnations.
func (s *simulation) handleEvent(e event) {
	switch e.kind {
	case eventSample:
		s.sample()
		return
	case eventFault:
		s.updateFault()
		return
	}
	n := s.nodes[e.node]
	if !n.up || n.incarnation != e.incarnation && e.kind != eventDatagram {
		return
	}
	switch e.kind {
	case eventDatagram:
		n.received++
		_ = n.scheduler.ReceivePeerMessage(s.now, healthcheck.NodeID(e.sender), e.payload) // The scheduler counts errors.
	case eventCheckEnd:
		n.scheduler.CheckEnded(s.now, e.check, true)
	default:
		if e.at < n.timerAt { // A later timer has replaced this one.
			return
		}
	}
	s.executeSteps(e.node)
}

// executeSteps executes the pending steps of a node, and sets its timer.
func (s *simulation) executeSteps(id int) {
	n := s.nodes[id]
	for step, ok := n.scheduler.Next(s.now); ok; step, ok = n.scheduler.Next(s.now) {
		switch step.Kind {
		case healthcheck.Send:
			s.send(id, int(step.To), slices.Clone(step.Payload))
		case healthcheck.Run:
			s.recordCheck(int((step.Check.ID-1)/checkIDStep), id)
			s.queue.schedule(event{at: s.now + checkDuration, kind: eventCheckEnd, node: id, incarnation: n.incarnation, check: step.Check})
		case healthcheck.Ended: // A simulated node does not use the result.
		}
	}
	n.timerAt = s.now + n.scheduler.WakeAfter(s.now)
	s.queue.schedule(event{at: n.timerAt, kind: eventTimer, node: id, incarnation: n.incarnation})
}

// recordCheck records that a node begins a check of the server with the given index.
func (s *simulation) recordCheck(serverIndex, nodeID int) {
	server := &s.servers[serverIndex]
	s.result.Checks++
	halfInterval := s.nodes[nodeID].scheduler.Interval() / 2
	if server.checkedBy != noNode && server.checkedBy != nodeID && s.now-server.checkedAt < halfInterval {
		s.result.DuplicateChecks++
	}
	s.recordGap(server.checkedAt, s.now)
	server.checkedAt, server.checkedBy = s.now, nodeID
}

// recordGap records a time without a check of a server, if it is the longest so far.
func (s *simulation) recordGap(from, to time.Duration) {
	if gap := (to - from).Seconds(); gap > s.result.WorstGap {
		s.result.WorstGap, s.result.WorstGapAt = gap, to.Seconds()
	}
}

// sample counts the members that nodes consider dead. All nodes run after the fault, so the count should be 0.
func (s *simulation) sample() {
	falseDeaths := 0
	for _, n := range s.nodes {
		if n.up {
			falseDeaths += n.scheduler.DeadCount()
		}
	}
	s.result.FalseDeaths = falseDeaths
	if falseDeaths > 0 {
		s.result.SettleTime = -1
	} else if s.result.SettleTime < 0 {
		s.result.SettleTime = (s.now - s.faultEndsAt()).Seconds()
	}
	s.queue.schedule(event{at: s.now + sampleInterval, kind: eventSample})
}

// summarize returns the result of the run. The method run must have returned.
func (s *simulation) summarize() Result {
	r, first := s.result, s.nodes[0].scheduler
	r.Scenario, r.Nodes, r.Servers = s.cfg.Scenario, s.cfg.Nodes, s.cfg.Servers
	r.PingPeriod, r.CheckInterval = first.Period().Seconds(), first.Interval().Seconds()
	seconds, received := s.cfg.Duration.Seconds(), int64(0)
	for _, n := range s.nodes {
		var current healthcheck.Counters
		if n.up {
			current = n.scheduler.Counters()
		}
		bytes := float64(n.sentBytes+current.SentBytes) / seconds
		r.MeanBytesPerSecond += bytes / float64(s.cfg.Nodes)
		r.MaxBytesPerSecond = max(r.MaxBytesPerSecond, bytes)
		r.Withheld += n.withheld + current.Withheld
		received = max(received, n.received)
	}
	r.MaxMessagesPerSecond = float64(received) / seconds
	return r
}
