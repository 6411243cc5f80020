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

// server is a modelled app server. Its figures are those of Config.Server; what the nodes see of it is a routing.Server.
type server struct {
	id              int
	endpoint        protocol.Endpoint
	random          *rand.Rand // draws service times and faults
	inWork          int
	queue           []*attempt
	startedAt       time.Duration // of the process; below 0 long ago
	down            bool
	draining        bool
	drainNotifiedAt time.Duration // when the nodes were notified of its drain; -1 before
	sampledWork     int           // work at the last sample
}

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

// work is how many attempts the server has in hand.
func (sv *server) work() int { return sv.inWork + len(sv.queue) }

// attempt is one attempt of a request at a server.
type attempt struct {
	request *request
	number  int // in its request, from 0
	server  *server
	sentAt  time.Duration
	ended   bool             // for its node
	inWork  bool             // at its server
	lost    bool             // by a fault: its answer never comes
	giveUp  time.Duration    // when its server no longer begins to work on it
	outcome protocol.Outcome // once it is in work: how that will end
}

// send sends an attempt to a server, with a timeout unless that is 0.
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
		a.ended = true // whatever else happens meanwhile
		return
	}
	s.receive(a)
}

// receive takes an attempt in at its server: it is begun, queued, rejected or never answered.
func (s *Sim) receive(a *attempt) {
	sv := a.server
	faults := s.activeFaults(sv)
	switch {
	case hasFault(faults, emulator.Refuse):
		s.answer(a, protocol.Overloaded, s.cfg.RTT)
		return
	case hasFault(faults, emulator.Silence):
		return // read, but neither run nor answered
	}
	a.giveUp = a.request.deadline
	switch {
	case sv.inWork < s.cfg.Server.Concurrency:
		s.begin(a, faults)
	case len(sv.queue) < s.cfg.Server.Queue:
		sv.queue = append(sv.queue, a)
	default:
		s.answer(a, protocol.Overloaded, s.cfg.RTT)
	}
}

// begin begins the work on an attempt. It takes a log-normal time, longer while the server is warming up and by faults.
func (s *Sim) begin(a *attempt, faults []emulator.Fault) {
	sv, cfg := a.server, s.cfg.Server
	sv.inWork++
	a.inWork = true
	a.request.begun++
	s.recorder.begun(a.request)
	units := s.cfg.Traffic.Classes[a.request.class].Units
	ms := cfg.ServiceMs * math.Max(units, 0.1) * math.Exp(cfg.Spread*sv.random.NormFloat64())
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
	s.schedule(&event{at: s.now + time.Duration(ms*float64(time.Millisecond)) + s.cfg.RTT/2, kind: eventWorkDone, attempt: a})
}

// workDone ends the work on an attempt, answers it, and begins the next in the server's queue.
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
		case s.now > next.giveUp: // its client has stopped waiting
			s.answer(next, protocol.Overloaded, s.cfg.RTT/2)
		default:
			s.begin(next, s.activeFaults(sv))
		}
	}
}

// answer brings an attempt's result to its node after a while, unless it has ended there.
func (s *Sim) answer(a *attempt, outcome protocol.Outcome, after time.Duration) {
	if !a.ended {
		s.schedule(&event{at: s.now + after, kind: eventResult, attempt: a, outcome: outcome})
	}
}

// serversOf are the servers that a fault is of: one, or all where the number is -1.
func (s *Sim) serversOf(number int) []*server {
	if number == -1 {
		return s.servers
	}
	if i := slices.IndexFunc(s.servers, func(sv *server) bool { return sv.id == number }); i >= 0 {
		return s.servers[i : i+1]
	}
	return nil
}

// restart takes servers down, whose queues are lost with their connections, or brings them back to warm up.
func (s *Sim) restart(number int, down bool) {
	for _, sv := range s.serversOf(number) {
		sv.down = down
		if !down {
			sv.startedAt = s.now
			continue
		}
		for _, a := range sv.queue {
			s.answer(a, protocol.ConnectionReset, 0)
		}
		sv.queue = nil
	}
}

// drain has servers reject what comes.
func (s *Sim) drain(number int) {
	for _, sv := range s.serversOf(number) {
		sv.draining = true
	}
}

// notifyDrain notifies the nodes of a drain, as a watch event of discovery does. Baselines don't listen.
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

// activeFaults draws which of the faults of this time hit a server's next attempt.
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

func hasFault(faults []emulator.Fault, kind emulator.Kind) bool {
	return slices.ContainsFunc(faults, func(f emulator.Fault) bool { return f.Kind == kind })
}
