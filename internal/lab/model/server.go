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
	id              int // number of the server, from 0
	endpoint        protocol.Endpoint
	random          *rand.Rand    // draws service times and faults
	executing       int           // number of attempts that the server executes
	queue           []*attempt    // attempts that wait for an execution
	startedAt       time.Duration // virtual time of the last start; negative if that was before the run
	down            bool
	draining        bool          // whether the server rejects new attempts
	drainNotifiedAt time.Duration // virtual time at which the nodes were notified of the drain; negative before
	sampledAttempts int           // value of attemptCount at the last sample
}

// The numbers of zones and cells over which the servers are spread.
const (
	zoneCount = 3
	cellCount = 8
)

// newServer returns a server that is in service and warm.
func newServer(id int, seed uint64) *server {
	return &server{
		id: id,
		endpoint: protocol.Endpoint{
			UID:  "s-" + strconv.Itoa(id),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(id >> 8), byte(id)}), 9000),
			Zone: string(rune('a' + id%zoneCount)), Model: "m", Cell: id % cellCount,
			State: protocol.InService, Weight: 1,
		},
		random:          rand.New(rand.NewPCG(seed, uint64(id)+1)),
		startedAt:       -time.Hour,
		drainNotifiedAt: -1,
	}
}

// attemptCount returns the number of executing and queued attempts.
func (sv *server) attemptCount() int { return sv.executing + len(sv.queue) }

// attempt is an attempt of a request at a server.
type attempt struct {
	request      *request
	number       int // number of the attempt in its request, from 0
	server       *server
	sentAt       time.Duration    // virtual time of sending
	ended        bool             // whether the outcome is final, so that later results are ignored
	executing    bool             // whether the server executes the attempt
	responseLost bool             // whether a fault drops the response
	deadline     time.Duration    // virtual time after which the server rejects the queued attempt
	outcome      protocol.Outcome // result of the execution, once it begins; once a result is reported, the reported one
}

// send sends an attempt to a server. A timeout of 0 or less stands for no timeout.
func (s *Simulation) send(req *request, number int, sv *server, timeout time.Duration) {
	a := &attempt{request: req, number: number, server: sv, sentAt: s.now}
	req.attempt = a
	if timeout > 0 {
		s.schedule(&event{at: s.now + timeout, kind: eventAttemptTimeout, attempt: a})
	}
	if sv.drainNotifiedAt >= 0 && s.now > sv.drainNotifiedAt+drainCutoff {
		s.recorder.attemptsAfterDrain++
	}
	if sv.draining {
		s.deliverResult(a, protocol.Overloaded, s.cfg.RTT)
		return
	}
	if sv.down {
		s.deliverResult(a, protocol.ConnectFailed, s.cfg.RTT)
		a.ended = true // Neither the timeout nor Cancel changes the outcome.
		return
	}
	s.receive(a)
}

// receive executes, queues or rejects an attempt at its server. An attempt under the fault emulator.Silence gets no result.
func (s *Simulation) receive(a *attempt) {
	sv := a.server
	faults := s.activeFaults(sv)
	switch {
	case emulator.HasKind(faults, emulator.Refuse):
		s.deliverResult(a, protocol.Overloaded, s.cfg.RTT)
		return
	case emulator.HasKind(faults, emulator.Silence):
		return
	}
	a.deadline = a.request.deadline
	switch {
	case sv.executing < s.cfg.Server.Concurrency:
		s.beginExecution(a, faults)
	case len(sv.queue) < s.cfg.Server.Queue:
		sv.queue = append(sv.queue, a)
	default:
		s.deliverResult(a, protocol.Overloaded, s.cfg.RTT)
	}
}

// beginExecution begins the execution of an attempt. The service time is log-normal, and longer during warm-up and under
// slow faults.
func (s *Simulation) beginExecution(a *attempt, faults []emulator.Fault) {
	sv := a.server
	sv.executing++
	a.executing = true
	a.request.executions++
	s.recorder.recordExecution(a.request)
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
		case emulator.LoseResponse:
			a.responseLost = true
		}
	}
	// The half round trip from the node to the server counts as part of the execution, also for a queued attempt.
	s.schedule(&event{at: s.now + serviceTime + s.cfg.RTT/2, kind: eventExecutionEnd, attempt: a})
}

// endExecution ends the execution of an attempt, delivers its result, and executes queued attempts.
func (s *Simulation) endExecution(a *attempt) {
	sv := a.server
	if !a.executing {
		return
	}
	a.executing = false
	sv.executing--
	if !a.responseLost {
		s.deliverResult(a, a.outcome, s.cfg.RTT/2)
	}
	for len(sv.queue) > 0 && sv.executing < s.cfg.Server.Concurrency {
		next := sv.queue[0]
		sv.queue = sv.queue[1:]
		switch {
		case next.ended:
		case s.now > next.deadline:
			s.deliverResult(next, protocol.Overloaded, s.cfg.RTT/2)
		default:
			s.beginExecution(next, s.activeFaults(sv))
		}
	}
}

// deliverResult delivers an attempt's result to its node after the given time, unless the attempt has ended.
func (s *Simulation) deliverResult(a *attempt, outcome protocol.Outcome, after time.Duration) {
	if !a.ended {
		s.schedule(&event{at: s.now + after, kind: eventResult, attempt: a, outcome: outcome})
	}
}

// selectServers returns the server with the given number, or all servers for emulator.EveryServer.
func (s *Simulation) selectServers(number int) []*server {
	if number == emulator.EveryServer {
		return s.servers
	}
	if i := slices.IndexFunc(s.servers, func(sv *server) bool { return sv.id == number }); i >= 0 {
		return s.servers[i : i+1]
	}
	return nil
}

// stopServers stops the servers that selectServers returns. The connections of queued attempts are reset; executing attempts
// finish.
func (s *Simulation) stopServers(number int) {
	for _, sv := range s.selectServers(number) {
		sv.down = true
		for _, a := range sv.queue {
			s.deliverResult(a, protocol.ConnectionReset, 0)
		}
		sv.queue = nil
	}
}

// startServers starts the servers that selectServers returns, which then warm up.
func (s *Simulation) startServers(number int) {
	for _, sv := range s.selectServers(number) {
		sv.down = false
		sv.startedAt = s.now
	}
}

// drain makes the servers that selectServers returns reject new attempts.
func (s *Simulation) drain(number int) {
	for _, sv := range s.selectServers(number) {
		sv.draining = true
	}
}

// notifyDrain notifies the nodes of a drain, as a watch event of discovery does. Nodes with a baseline policy get no notice.
func (s *Simulation) notifyDrain(number int) {
	var changed []protocol.Endpoint
	for _, sv := range s.selectServers(number) {
		sv.drainNotifiedAt = s.now
		sv.endpoint.State = protocol.Terminating
		changed = append(changed, sv.endpoint)
	}
	s.revision++
	for _, n := range s.nodes {
		if n.router != nil {
			n.router.UpdateEndpoints(&protocol.EndpointList{Revision: s.revision, Endpoints: changed}, routing.FromDiscovery)
			s.executeDecisions(n)
		}
	}
}

// activeFaults draws the active faults that affect the next attempt at a server.
func (s *Simulation) activeFaults(sv *server) []emulator.Fault {
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
