// Package model simulates a fleet by discrete events in virtual time:
//
//   - edge nodes with the real decision engine (through internal/routing) or with a baseline policy;
//   - app servers with the behaviour of package emulator, and its fault schedules;
//   - the arrivals of package load.
//
// One goroutine executes the events, ordered by time and then by scheduling. Random draws come from math/rand/v2, with a
// seed for each part, so that the same configuration and seed give the same run, event for event.
//
// The model reaches sizes that sockets on one machine do not: hundreds of nodes and servers, and an hour of traffic. Its
// figures are those of simulated servers.
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

const (
	drainNotice = 100 * time.Millisecond // from the begin of a drain to the nodes' notice of it
	drainCutoff = 500 * time.Millisecond // from the notice to the last attempt that the platform allows
)

// simulationSeed is the second word of the seed of Sim.random. It differs from those of the servers and of the traffic.
const simulationSeed = 0x6d6f64656c

// Sim is a run in progress. It is used by one goroutine.
type Sim struct {
	cfg      Config
	random   *rand.Rand // draws nodes and retries
	recorder *Recorder

	epoch    time.Time     // of virtual time
	now      time.Duration // since the epoch
	queue    eventQueue
	seq      uint64 // number of the last scheduled event
	executed int64  // events

	stream      *load.Stream // of arrivals
	nextArrival load.Arrival

	nodes    []*node
	servers  []*server
	byAddr   map[netip.AddrPort]*server
	revision uint64 // of the endpoint list that the nodes have
}

// New returns a run that has not begun, or a *ConfigError for an invalid configuration.
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

// scheduleFaults schedules the restarts and drains. For other faults see activeFaults.
func (s *Sim) scheduleFaults() {
	for _, f := range s.cfg.Schedule.Faults {
		switch f.Kind {
		case emulator.Restart:
			s.schedule(&event{at: f.Start(), kind: eventServerDown, server: f.Server})
			s.schedule(&event{at: f.End(), kind: eventServerUp, server: f.Server})
		case emulator.Drain:
			s.schedule(&event{at: f.Start(), kind: eventDrain, server: f.Server})
			s.schedule(&event{at: f.Start() + drainNotice, kind: eventDrainNotified, server: f.Server})
		}
	}
}

// scheduleArrival schedules the next arrival of the stream if there is one.
func (s *Sim) scheduleArrival() {
	var more bool
	if s.nextArrival, more = s.stream.Next(); more {
		s.schedule(&event{at: s.nextArrival.At, kind: eventArrival})
	}
}

// clock returns the present virtual time, for the engines.
func (s *Sim) clock() time.Time { return s.epoch.Add(s.now) }

// Run executes the whole run and returns its totals. It may be called once.
func (s *Sim) Run() Totals {
	end := time.Duration(s.cfg.Seconds * float64(time.Second))
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(*event)
		if e.kind == eventSample && e.at > end && s.recorder.open == 0 {
			break
		}
		s.now = e.at
		s.executed++
		s.handle(e)
	}
	s.sample()
	return s.recorder.Totals(s.executed)
}

// sample ends a second of the series, and records the servers' load for the LeastBusy policy.
func (s *Sim) sample() {
	var fleet fleetSample
	concurrency := float64(s.cfg.Server.Concurrency)
	for _, sv := range s.servers {
		sv.sampledWork = sv.work()
		load := float64(sv.sampledWork) / concurrency
		fleet.loadMean += load / float64(len(s.servers))
		fleet.loadMax = max(fleet.loadMax, load)
		if !sv.down {
			fleet.serversUp++
		}
	}
	s.recorder.endSecond(s.now, fleet)
}
