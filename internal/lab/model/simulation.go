// Package model is the laboratory's model of a fleet: a simulation of discrete events in virtual time. Each simulated node
// runs the real decision engine through internal/routing, or a baseline policy for comparison. App servers and fault
// schedules are those of the emulator, arrivals those of the load generator. It simulates fleets that are too large for
// sockets on one machine.
//
// One goroutine processes one queue of events, ordered by time and then by sequence. Random draws come from math/rand/v2, with
// separate seeds for the simulation, each server and the traffic. The same configuration yields the same events.
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
	// drainNotice is the time from the begin of a drain until discovery notifies the nodes.
	drainNotice = 100 * time.Millisecond
	// drainCutoff is the time from the notification until no new attempt may be sent to the server (the platform's rule 3).
	drainCutoff = 500 * time.Millisecond
)

// simulationStream is the second word of the seed of the simulation's draws.
const simulationStream = 0x6d6f64656c

// Sim is a run. It is not safe for concurrent use.
type Sim struct {
	cfg      Config
	random   *rand.Rand // of nodes and clients' retries
	recorder *Recorder

	epoch  time.Time     // begin of virtual time
	now    time.Duration // virtual time since epoch
	queue  eventQueue
	seq    uint64 // number of events scheduled
	played int64  // number of events processed

	stream      *load.Stream // of the arrivals
	nextArrival load.Arrival

	nodes    []*node
	servers  []*server
	byAddr   map[netip.AddrPort]*server
	revision uint64 // of the nodes' endpoint list
}

// New returns a run that has not begun. For an invalid configuration the error is a *ConfigError.
func New(cfg Config, recorder *Recorder) (*Sim, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	cfg.Traffic.DurationS = cfg.Seconds
	s := &Sim{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, simulationStream)),
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

// scheduleFaults schedules restarts and drains. activeFaults handles all other faults.
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

// scheduleArrival schedules the next arrival, if there is one.
func (s *Sim) scheduleArrival() {
	var more bool
	if s.nextArrival, more = s.stream.Next(); more {
		s.schedule(&event{at: s.nextArrival.At, kind: eventArrival})
	}
}

// clock returns the virtual time.
func (s *Sim) clock() time.Time { return s.epoch.Add(s.now) }

// Run processes all events and returns the totals. It must be called once.
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

// sample ends a second of the series, and samples the servers' work for the policy LeastBusy.
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
