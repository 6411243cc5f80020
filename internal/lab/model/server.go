package model

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"cherrygap/internal/lab/emulator"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// server is a simulated app server with the configuration Config.Server.
type server struct {
	id              int
	endpoint        protocol.Endpoint
	random          *rand.Rand // draws service times and faults
	inWork          int        // attempts
	queue           []*attempt
	startedAt       time.Duration // of the process; negative for a start before the run
	down            bool
	draining        bool
	drainNotifiedAt time.Duration // when the nodes were notified of the drain; negative before
	sampledWork     int           // work at the last sample
}

// The numbers of the servers' zones and cells.
const (
	zones = 3
	cells = 8
)

// newServer returns a server that is in service and warmed up.
func newServer(id int, seed uint64) *server {
	return &server{
		id: id,
		endpoint: protocol.Endpoint{
			UID:  "s-" + strconv.Itoa(id),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(id >> 8), byte(id)}), 9000),
			Zone: string(rune('a' + id%zones)), Model: "m", Cell: id % cells,
			State: protocol.InService, Weight: 1,
		},
		random:          rand.New(rand.NewPCG(seed, uint64(id)+1)),
		startedAt:       -time.Hour,
		drainNotifiedAt: -1,
	}
}

// work returns the number of attempts in work or queued.
func (sv *server) work() int { return sv.inWork + len(sv.queue) }

// attempt is an attempt of a request at a server.
type attempt struct {
	request  *request
	number   int // in the request, from 0
	server   *server
	sentAt   time.Duration
	ended    bool             // for the node
	inWork   bool             // at the server
	lost     bool             // a fault drops the response
	deadline time.Duration    // after which the server does not begin to work on the attempt
	outcome  protocol.Outcome // of an attempt in work
}

// send sends an attempt to a server. A timeout of 0 is none.
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
		s.answer(a, protocol.Overloaded, s.cfg.RTT)
		return
	}
	if sv.down {
		s.answer(a, protocol.ConnectFailed, s.cfg.RTT)
		a.ended = true // so that neither the timeout nor Cancel changes the outcome
		return
	}
	s.receive(a)
}

// receive begins, queues or rejects an attempt at its server. An attempt under the fault emulator.Silence gets no result.
func (s *Sim) receive(a *attempt) {
	sv := a.server
	faults := s.activeFaults(sv)
	switch {
	case emulator.HasKind(faults, emulator.Refuse):
		s.answer(a, protocol.Overloaded, s.cfg.RTT)
		return
	case emulator.HasKind(faults, emulator.Silence):
		return
	}
	a.deadline = a.request.deadline
	switch {
	case sv.inWork < s.cfg.Server.Concurrency:
		s.begin(a, faults)
	case len(sv.queue) < s.cfg.Server.Queue:
		sv.queue = append(sv.queue, a)
	default:
		s.answer(a, protocol.Overloaded, s.cfg.RTT)
	}
}

// begin begins the work on an attempt. The service time is log-normal, and longer during warm-up and under slow faults.
func (s *Sim) begin(a *attempt, faults []emulator.Fault) {
	sv := a.server
	sv.inWork++
	a.inWork = true
	a.request.begun++
	s.recorder.recordBegun(a.request)
	units := s.cfg.Traffic.Classes[a.request.class].Units
	serviceTime := emulator.DrawServiceTime(s.cfg.Server, sv.random, units, s.now-sv.startedAt, faults)
	a.outcome = protocol.Completed
	for _, f := range faults {
		switch f.Kind {
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
	// The half round trip from the node to the server counts as work, also for a queued attempt.
	s.schedule(&event{at: s.now + serviceTime + s.cfg.RTT/2, kind: eventWorkDone, attempt: a})
}

// workDone ends the work on an attempt, answers it, and begins queued attempts.
func (s *Sim) workDone(a *attempt) {
	sv := a.server
	if !a.inWork {
		return
	}
	a.inWork = false
	sv.inWork--
	if !a.lost {
		s.answer(a, a.outcome, s.cfg.RTT/2)
	}
	for len(sv.queue) > 0 && sv.inWork < s.cfg.Server.Concurrency {
		next := sv.queue[0]
		sv.queue = sv.queue[1:]
		switch {
		case next.ended:
		case s.now > next.deadline:
			s.answer(next, protocol.Overloaded, s.cfg.RTT/2)
		default:
			s.begin(next, s.activeFaults(sv))
		}
	}
}

// answer delivers an attempt's result to its node after a time, unless the attempt has ended there.
func (s *Sim) answer(a *attempt, outcome protocol.Outcome, after time.Duration) {
	if !a.ended {
		s.schedule(&event{at: s.now + after, kind: eventResult, attempt: a, outcome: outcome})
	}
}

// serversOf returns the server with a number, or all servers for emulator.EveryServer.
func (s *Sim) serversOf(number int) []*server {
	if number == emulator.EveryServer {
		return s.servers
	}
	if i := slices.IndexFunc(s.servers, func(sv *server) bool { return sv.id == number }); i >= 0 {
		return s.servers[i : i+1]
	}
	return nil
}

// stopServers stops servers. The connections of queued attempts are reset; attempts in work finish.
func (s *Sim) stopServers(number int) {
	for _, sv := range s.serversOf(number) {
		sv.down = true
		for _, a := range sv.queue {
			s.answer(a, protocol.ConnectionReset, 0)
		}
		sv.queue = nil
	}
}

// startServers starts stopped servers, which then warm up.
func (s *Sim) startServers(number int) {
	for _, sv := range s.serversOf(number) {
		sv.down = false
		sv.startedAt = s.now
	}
}

// drain makes servers reject new attempts.
func (s *Sim) drain(number int) {
	for _, sv := range s.serversOf(number) {
		sv.draining = true
	}
}

// notifyDrain notifies the nodes of a drain, as a watch event of discovery does. Baselines ignore it.
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

// activeFaults draws the active faults that affect the next attempt at a server.
func (s *Sim) activeFaults(sv *server) []emulator.Fault {
	var active []emulator.Fault
	for _, f := range s.cfg.Schedule.Faults {
		if f.Kind == emulator.Restart || !f.Affects(sv.id) || s.now < f.Start() || s.now >= f.End() {
			continue
		}
		if f.Probability >= 1 || sv.random.Float64() < f.Probability {
			active = append(active, f)
		}
	}
	return active
}
