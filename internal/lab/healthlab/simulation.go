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
	// checkIDStep is the difference between the ids of two consecutive servers. It avoids a pattern in the hashes.
	checkIDStep = 7919
	// noNode stands for the absence of a node.
	noNode = -1
)

// node is a simulated node.
type node struct {
	scheduler   *healthcheck.Scheduler // of the current incarnation
	incarnation int                    // number of starts
	up          bool
	timerAt     time.Duration // time of the current timer
	received    int64         // messages received in all incarnations
	sentBytes   int64         // bytes sent in earlier incarnations
	withheld    int64         // messages withheld in earlier incarnations
}

// server is the state of an app server.
type server struct {
	checkedAt time.Duration // time of the last check
	checkedBy int           // node of the last check; noNode before the first one
}

// simulation is the state of a run.
type simulation struct {
	cfg          Config
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	nodes        []*node
	servers      []server
	checks       []healthcheck.Check // of each server
	faultActive  bool                // whether the scenario's fault is active
	stoppedNodes []int               // vanish: nodes that were stopped
	result       Result
}

// newSimulation returns a simulation whose nodes have started.
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

// faultBegins returns the begin of the scenario's fault.
func (s *simulation) faultBegins() time.Duration { return s.cfg.Duration / 3 }

// faultEnds returns the end of the scenario's fault.
func (s *simulation) faultEnds() time.Duration { return 2 * (s.cfg.Duration / 3) }

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

// stop stops a node unless it is down.
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

// play runs the whole simulation.
func (s *simulation) run() {
	s.queue.schedule(event{at: s.faultBegins(), kind: eventFault})
	s.queue.schedule(event{at: s.faultEnds(), kind: eventFault})
	s.queue.schedule(event{at: s.faultEnds() + sampleInterval, kind: eventSample})
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

// handle processes an event.
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
		_ = n.scheduler.ReceivePeerMessage(s.now, healthcheck.NodeID(e.sender), e.payload) // the scheduler counts errors
	case eventCheckEnd:
		n.scheduler.CheckEnded(s.now, e.check, true)
	default:
		if e.at < n.timerAt { // the timer was replaced by a later one
			return
		}
	}
	s.executeSteps(e.node)
}

// executeSteps carries out the pending steps of a node, and sets its timer.
func (s *simulation) executeSteps(id int) {
	n := s.nodes[id]
	for step, ok := n.scheduler.Next(s.now); ok; step, ok = n.scheduler.Next(s.now) {
		switch step.Kind {
		case healthcheck.Send:
			s.send(id, int(step.To), slices.Clone(step.Payload))
		case healthcheck.Run:
			s.recordCheck(int((step.Check.ID-1)/checkIDStep), id)
			s.queue.schedule(event{at: s.now + checkDuration, kind: eventCheckEnd, node: id, incarnation: n.incarnation, check: step.Check})
		case healthcheck.Ended: // a simulated node has no use for the result
		}
	}
	n.timerAt = s.now + n.scheduler.Wake(s.now)
	s.queue.schedule(event{at: n.timerAt, kind: eventTimer, node: id, incarnation: n.incarnation})
}

// recordCheck records the begin of a check of the server with an index, by a node.
func (s *simulation) recordCheck(index, by int) {
	server := &s.servers[index]
	s.result.Checks++
	halfInterval := s.nodes[by].scheduler.Interval() / 2
	if server.checkedBy != noNode && server.checkedBy != by && s.now-server.checkedAt < halfInterval {
		s.result.DuplicateChecks++
	}
	s.recordGap(server.checkedAt, s.now)
	server.checkedAt, server.checkedBy = s.now, by
}

// recordGap records a time without a check of a server.
func (s *simulation) recordGap(from, to time.Duration) {
	if gap := (to - from).Seconds(); gap > s.result.WorstGap {
		s.result.WorstGap, s.result.WorstGapAt = gap, to.Seconds()
	}
}

// sample counts the dead members at all nodes. All nodes are up after the fault, so the count should be 0.
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
		s.result.SettleTime = (s.now - s.faultEnds()).Seconds()
	}
	s.queue.schedule(event{at: s.now + sampleInterval, kind: eventSample})
}

// summarize returns the result of the run. The caller has called play.
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
