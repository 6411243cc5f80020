package model

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// minServiceUnits is the lowest number of units that the service time is multiplied with.
const minServiceUnits = 0.1

// server is a simulated app server with the parameters of Config.Server.
type server struct {
	id              int
	endpoint        protocol.Endpoint // in the endpoint list
	random          *rand.Rand        // of service times and faults
	executing       int               // number of attempts that the server executes
	queue           []*attempt
	startedAt       time.Duration // time of the last start; negative for long ago
	down            bool
	draining        bool
	drainNotifiedAt time.Duration // time at which the nodes were notified of the drain; -1 before
	sampledWork     int           // work at the last sample
}

// newServer returns a warm server. seed is the seed of the run.
func newServer(id int, seed uint64) *server {
	return &server{
		id: id,
		endpoint: protocol.Endpoint{
			UID:  "s-" + strconv.Itoa(id),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(id >> 8), byte(id)}), 9000),
			Zone: string(rune('a' + id%3)), Model: "m", Cell: id % 8,
			State: protocol.InService, Weight: 1,
		},
		random:          rand.New(rand.NewPCG(seed, uint64(id)+1)),
		startedAt:       -time.Hour,
		drainNotifiedAt: -1,
	}
}

// work returns the number of attempts that the server executes or has queued.
func (sv *server) work() int { return sv.executing + len(sv.queue) }

// attempt is an attempt of a request at a server.
type attempt struct {
	request   *request
	number    int // in its request, from 0
	server    *server
	sentAt    time.Duration
	ended     bool             // whether the node has the result
	executing bool             // whether the server executes the attempt
	lost      bool             // whether a fault loses the response
	expiresAt time.Duration    // time after which the server rejects the attempt from its queue
	outcome   protocol.Outcome // result of the execution
}

// send sends an attempt to a server. A timeout of 0 means none.
func (s *Sim) send(req *request, number int, sv *server, timeout time.Duration) {
	a := &attempt{request: req, number: number, server: sv, sentAt: s.now}
	req.attempt = a
	if timeout > 0 {
		s.schedule(&event{at: s.now + timeout, kind: eventTimeout, attempt: a})
	}
	if sv.drainNotifiedAt >= 0 && s.now > sv.drainNotifiedAt+drainCutoff {
		s.recorder.lateToDrained++
	}
	if sv.draining {
		s.respond(a, protocol.Overloaded, s.cfg.RTT)
		return
	}
	if sv.down {
		s.respond(a, protocol.ConnectFailed, s.cfg.RTT)
		a.ended = true // a later timeout has no effect
		return
	}
	s.receive(a)
}

// receive handles an attempt at its server: the server executes, queues, rejects or ignores it.
func (s *Sim) receive(a *attempt) {
	sv := a.server
	faults := s.activeFaults(sv)
	switch {
	case hasFault(faults, emulator.Refuse):
		s.respond(a, protocol.Overloaded, s.cfg.RTT)
		return
	case hasFault(faults, emulator.Silence):
		return
	}
	a.expiresAt = a.request.deadline
	switch {
	case sv.executing < s.cfg.Server.Concurrency:
		s.begin(a, faults)
	case len(sv.queue) < s.cfg.Server.Queue:
		sv.queue = append(sv.queue, a)
	default:
		s.respond(a, protocol.Overloaded, s.cfg.RTT)
	}
}

// begin begins the execution of an attempt. The service time is log-normal, and longer while the server warms up and with
// emulator.Slow.
func (s *Sim) begin(a *attempt, faults []emulator.Fault) {
	sv, cfg := a.server, s.cfg.Server
	sv.executing++
	a.executing = true
	a.request.begun++
	s.recorder.begun(a.request)
	units := s.cfg.Traffic.Classes[a.request.class].Units
	ms := cfg.ServiceMs * math.Max(units, minServiceUnits) * math.Exp(cfg.Spread*sv.random.NormFloat64())
	if up := (s.now - sv.startedAt).Seconds(); cfg.WarmupS > 0 && up < cfg.WarmupS {
		ms *= 1 + (cfg.WarmupFactor-1)*(1-up/cfg.WarmupS)
	}
	a.outcome = protocol.Completed
	for _, f := range faults {
		switch f.Kind {
		case emulator.Slow:
			ms *= f.Factor
		case emulator.Error:
			a.outcome = protocol.Errored
		case emulator.Reset:
			a.outcome = protocol.ConnectionReset
		case emulator.Malform:
			a.outcome = protocol.MalformedResponse
		case emulator.LoseAnswer:
			a.lost = true
		}
	}
	s.schedule(&event{at: s.now + time.Duration(ms*float64(time.Millisecond)) + s.cfg.RTT/2, kind: eventExecuted, attempt: a})
}

// executed ends the execution of an attempt, responds to it, and begins the next attempts in the server's queue.
func (s *Sim) executed(a *attempt) {
	sv := a.server
	if !a.executing {
		return
	}
	a.executing = false
	sv.executing--
	if !a.lost {
		s.respond(a, a.outcome, s.cfg.RTT/2)
	}
	for len(sv.queue) > 0 && sv.executing < s.cfg.Server.Concurrency {
		next := sv.queue[0]
		sv.queue = sv.queue[1:]
		switch {
		case next.ended:
		case s.now > next.expiresAt:
			s.respond(next, protocol.Overloaded, s.cfg.RTT/2)
		default:
			s.begin(next, s.activeFaults(sv))
		}
	}
}

// respond sends the result of an attempt to its node, which receives it after a time. It does nothing if the attempt has ended.
func (s *Sim) respond(a *attempt, outcome protocol.Outcome, after time.Duration) {
	if !a.ended {
		s.schedule(&event{at: s.now + after, kind: eventResult, attempt: a, outcome: outcome})
	}
}

// serversOf returns the servers that a fault affects: the one with a number, or all for -1.
func (s *Sim) serversOf(number int) []*server {
	if number == -1 {
		return s.servers
	}
	if i := slices.IndexFunc(s.servers, func(sv *server) bool { return sv.id == number }); i >= 0 {
		return s.servers[i : i+1]
	}
	return nil
}

// restart stops servers, which resets the attempts in their queues, or starts them with a warm-up.
func (s *Sim) restart(number int, down bool) {
	for _, sv := range s.serversOf(number) {
		sv.down = down
		if !down {
			sv.startedAt = s.now
			continue
		}
		for _, a := range sv.queue {
			s.respond(a, protocol.ConnectionReset, 0)
		}
		sv.queue = nil
	}
}

// drain begins the drain of servers: they reject new attempts.
func (s *Sim) drain(number int) {
	for _, sv := range s.serversOf(number) {
		sv.draining = true
	}
}

// notifyDrain notifies the nodes of a drain with a watch event. The baseline policies ignore it.
func (s *Sim) notifyDrain(number int) {
	var changed []protocol.Endpoint
	for _, sv := range s.serversOf(number) {
		sv.drainNotifiedAt = s.now
		sv.endpoint.State = protocol.Terminating
		changed = append(changed, sv.endpoint)
	}
	s.revision++
	for _, n := range s.nodes {
		if n.router != nil {
			n.router.UpdateEndpoints(&protocol.EndpointList{Revision: s.revision, Endpoints: changed}, routing.FromDiscovery)
			s.takeDecisions(n)
		}
	}
}

// activeFaults draws the faults that affect the next attempt at a server.
func (s *Sim) activeFaults(sv *server) []emulator.Fault {
	var active []emulator.Fault
	for _, f := range s.cfg.Schedule.Faults {
		if f.Kind == emulator.Restart || (f.Server != -1 && f.Server != sv.id) || s.now < f.Start() || s.now >= f.End() {
			continue
		}
		if f.Probability >= 1 || sv.random.Float64() < f.Probability {
			active = append(active, f)
		}
	}
	return active
}

// hasFault reports whether one of the faults has a kind.
func hasFault(faults []emulator.Fault, kind emulator.Kind) bool {
	return slices.ContainsFunc(faults, func(f emulator.Fault) bool { return f.Kind == kind })
}
