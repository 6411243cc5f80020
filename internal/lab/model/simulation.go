// Package model simulates a fleet by discrete events in virtual time:
//
//   - edge nodes with the real decision engine (through internal/routing) or with a baseline policy,
//   - app servers with the behaviour and the fault schedules of package emulator,
//   - the arrivals of package load.
//
// One goroutine executes the events, ordered by time and then by scheduling. Random draws come from math/rand/v2, with a
// seed for each part. The same configuration and seed therefore give the same run, event for event.
//
// The model reaches sizes that sockets on one machine do not: hundreds of nodes and servers, and an hour of traffic. Its
// results are those of simulated servers.
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
	drainNoticeDelay = 100 * time.Millisecond // time from the beginning of a drain to the notice at the nodes
	drainCutoff      = 500 * time.Millisecond // time after the notice during which the platform allows attempts
)

// simulationSeed is the second word of the seed of Simulation.random. It differs from the second words of the
// servers' and the traffic's seeds.
const simulationSeed = 0x6d6f64656c

// Simulation is a run in progress. It is used by one goroutine.
type Simulation struct {
	cfg      Config
	random   *rand.Rand // draws the requests' nodes and the clients' retries
	recorder *Recorder

	epoch          time.Time     // wall-clock time at virtual time 0
	now            time.Duration // present virtual time since the epoch
	queue          eventQueue
	seq            uint64 // number of the last scheduled event
	executedEvents int64  // number of executed events

	arrivals    *load.Stream // arrivals that are not scheduled yet
	nextArrival load.Arrival // arrival that is scheduled

	nodes    []*node
	servers  []*server
	byAddr   map[netip.AddrPort]*server
	revision uint64 // revision of the nodes' endpoint list
}

// New returns a simulation at the start of its run, or a *ConfigError for an invalid configuration.
func New(cfg Config, recorder *Recorder) (*Simulation, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	cfg.Traffic.DurationS = cfg.Seconds
	s := &Simulation{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, simulationSeed)),
		recorder: recorder,
		epoch:    time.Unix(1_800_000_000, 0),
		arrivals: load.NewStream(cfg.Traffic, cfg.Seed),
		byAddr:   map[netip.AddrPort]*server{},
		revision: 1,
	}
	recorder.setConfig(&cfg)
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

// scheduleFaults schedules the restarts and drains. The function activeFaults draws the other faults.
func (s *Simulation) scheduleFaults() {
	for _, f := range s.cfg.Schedule.Faults {
		switch f.Kind {
		case emulator.Restart:
			s.schedule(&event{at: f.Start(), kind: eventServerDown, server: f.Server})
			s.schedule(&event{at: f.End(), kind: eventServerUp, server: f.Server})
		case emulator.Drain:
			s.schedule(&event{at: f.Start(), kind: eventDrain, server: f.Server})
			s.schedule(&event{at: f.Start() + drainNoticeDelay, kind: eventDrainNotified, server: f.Server})
		}
	}
}

// scheduleArrival schedules the next arrival of the stream if there is one.
func (s *Simulation) scheduleArrival() {
	var more bool
	if s.nextArrival, more = s.arrivals.Next(); more {
		s.schedule(&event{at: s.nextArrival.At, kind: eventArrival})
	}
}

// clock returns the present virtual time as a wall-clock time. It is the clock of the engines.
func (s *Simulation) clock() time.Time { return s.epoch.Add(s.now) }

// Run executes the whole run and returns its totals. It must be called only once.
func (s *Simulation) Run() Totals {
	end := time.Duration(s.cfg.Seconds * float64(time.Second))
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(*event)
		if e.kind == eventSample && e.at > end && s.recorder.inFlight == 0 {
			break
		}
		s.now = e.at
		s.executedEvents++
		s.handle(e)
	}
	s.sample()
	return s.recorder.Totals(s.executedEvents)
}

// sample ends a second of the series, and records the servers' attempts for the policy LeastBusy.
func (s *Simulation) sample() {
	var fleet fleetSample
	concurrency := float64(s.cfg.Server.Concurrency)
	for _, sv := range s.servers {
		sv.sampledAttempts = sv.attemptCount()
		serverLoad := float64(sv.sampledAttempts) / concurrency
		fleet.loadMean += serverLoad / float64(len(s.servers))
		fleet.loadMax = max(fleet.loadMax, serverLoad)
		if !sv.down {
			fleet.serversUp++
		}
	}
	s.recorder.endSecond(s.now, fleet)
}
