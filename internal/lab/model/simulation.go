// Package model is the laboratory's fleet model: discrete events in virtual time, with edge nodes that each run the real
// decision engine through internal/routing (or a baseline policy, for comparison), app servers modelled as the emulator
// plays them, the load tool's arrivals, and the emulator's fault schedules. One goroutine plays one event heap ordered by
// time and then by sequence, and random draws come from math/rand/v2 seeded per part: the same configuration and seed give
// the same run, event for event.
//
// It exists to try designs at sizes that sockets on one machine don't reach (hundreds of nodes, hundreds of servers, an
// hour of traffic); its figures are of simulated servers and say so.
package model

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/lab/load"
	"cherrygap/internal/protocol"
)

// drainNotice is how long after a drain begins discovery notifies the nodes of it. From then on they have drainCutoff (the
// platform's rule 3) until nothing new may reach the server.
const (
	drainNotice = 100 * time.Millisecond
	drainCutoff = 500 * time.Millisecond
)

// simulationSeed sets the draws of the simulation apart from those of the servers and of the traffic.
const simulationSeed = 0x6d6f64656c

// Sim is one run in progress. It is for one goroutine.
type Sim struct {
	cfg      Config
	random   *rand.Rand // draws nodes and retries
	recorder *Recorder

	epoch  time.Time     // of virtual time
	now    time.Duration // since the epoch
	queue  eventQueue
	seq    uint64 // events scheduled
	played int64  // events played

	stream      *load.Stream // of arrivals
	nextArrival load.Arrival

	nodes    []*node
	servers  []*server
	byAddr   map[netip.AddrPort]*server
	revision uint64 // of the endpoint list that the nodes have
}

// New prepares a run, or returns a *ConfigError for a configuration that can't be run.
func New(cfg Config, recorder *Recorder) (*Sim, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	cfg.Traffic.DurationS = cfg.Seconds
	s := &Sim{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, simulationSeed)),
		recorder: recorder,
		epoch:    time.Unix(1_800_000_000, 0),
		stream:   load.NewStream(cfg.Traffic, cfg.Seed),
		byAddr:   map[netip.AddrPort]*server{},
		revision: 1,
	}
	recorder.begin(&cfg)
	list := &protocol.EndpointList{Revision: s.revision, Full: true}
	for i := range cfg.Server.Servers {
		sv := newServer(i, cfg.Seed)
		s.servers = append(s.servers, sv)
		s.byAddr[sv.endpoint.Addr] = sv
		list.Endpoints = append(list.Endpoints, sv.endpoint)
	}
	for i := range cfg.Nodes {
		s.nodes = append(s.nodes, s.newNode(i, list))
	}
	s.scheduleFaults()
	s.scheduleArrival()
	s.schedule(&event{at: time.Second, kind: eventSample})
	for _, n := range s.nodes {
		if n.router != nil {
			n.router.TimerFired()
		}
	}
	return s, nil
}

// scheduleFaults schedules the faults that begin and end at a time. The others are looked up for each attempt: see
// activeFaults.
func (s *Sim) scheduleFaults() {
	for _, f := range s.cfg.Schedule.Faults {
		switch f.Kind {
		case emulator.Restart:
			s.schedule(&event{at: f.Start(), kind: eventRestart, server: f.Server, down: true})
			s.schedule(&event{at: f.End(), kind: eventRestart, server: f.Server})
		case emulator.Drain:
			s.schedule(&event{at: f.Start(), kind: eventDrain, server: f.Server})
			s.schedule(&event{at: f.Start() + drainNotice, kind: eventDrainNotified, server: f.Server})
		}
	}
}

// scheduleArrival draws the next arrival, if there is one more.
func (s *Sim) scheduleArrival() {
	var more bool
	if s.nextArrival, more = s.stream.Next(); more {
		s.schedule(&event{at: s.nextArrival.At, kind: eventArrival})
	}
}

func (s *Sim) clock() time.Time { return s.epoch.Add(s.now) }

// Run plays the run to its end and returns its totals.
func (s *Sim) Run() Totals {
	end := time.Duration(s.cfg.Seconds * float64(time.Second))
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(*event)
		if e.kind == eventSample && e.at > end && s.recorder.open == 0 {
			break
		}
		s.now = e.at
		s.played++
		s.handle(e)
	}
	s.sample()
	return s.recorder.Totals(s.played)
}

// sample ends a second of the series. It is also what the LeastBusy policy sees of the servers' load.
func (s *Sim) sample() {
	var now fleetSample
	concurrency := float64(s.cfg.Server.Concurrency)
	for _, sv := range s.servers {
		sv.sampledWork = sv.work()
		load := float64(sv.sampledWork) / concurrency
		now.loadMean += load / float64(len(s.servers))
		now.loadMax = max(now.loadMax, load)
		if !sv.down {
			now.serversUp++
		}
	}
	s.recorder.endSecond(s.now, now)
}
