package routing

import (
	"net/netip"
	"time"

	"cherrygap/internal/protocol"
)

// simulatedServer is an app server: a sequence of processes at one address.
type simulatedServer struct {
	uid            string
	addr           netip.AddrPort
	relativeSize   float64       // capacity relative to the usual one of the run
	slots          int           // attempts that the server works on at the same time
	serviceTime    time.Duration // mean service time of a warm server
	started        time.Duration // virtual time of the process's start; negative for a start long before the run
	down           bool          // whether the server has no process
	hangs          bool          // whether the server accepts attempts and never responds
	overloaded     bool          // whether the server rejects all attempts
	listed         bool          // whether discovery lists the server
	incarnation    int           // number of ended processes
	busy           int           // slots in use
	queue          []*simulatedAttempt
	attemptTimes   []time.Duration // arrival times of attempts at this process, from nodes that know its start
	endedProcesses []serverProcess // ended processes
}

// serverProcess is a process that has ended.
type serverProcess struct {
	started      time.Duration   // virtual time of the start; negative for a start long before the run
	attemptTimes []time.Duration // arrival times of attempts, as in simulatedServer
}

// stop ends a server's process. Its attempts in flight end with a reset connection.
func (sim *slowStartSimulation) stop(server *simulatedServer) {
	server.endedProcesses = append(server.endedProcesses, serverProcess{server.started, server.attemptTimes})
	server.attemptTimes, server.down, server.queue, server.busy = nil, true, nil, 0
	server.incarnation++
	for _, n := range sim.nodes {
		for _, req := range n.requests {
			if attempt := req.attempt; attempt != nil && req.request.server != nil && req.request.server.Addr == server.addr {
				sim.reportAfter(attempt, protocol.ConnectionReset, 0)
			}
		}
	}
}

// start starts a new process of a server, and ends the present one if the server is up.
func (sim *slowStartSimulation) start(server *simulatedServer) {
	if !server.down {
		sim.stop(server)
	}
	server.down, server.listed, server.started = false, true, sim.clock
}

// capacityShare returns the share of its capacity that a server has at the given time.
func (sim *slowStartSimulation) capacityShare(server *simulatedServer, at time.Duration) float64 {
	if server.started < 0 || at >= server.started+sim.slowStartSpan {
		return 1
	}
	return sim.startShare + (1-sim.startShare)*max(0, float64(at-server.started)/float64(sim.slowStartSpan))
}

// work runs an attempt on a server, and then the attempts in the server's queue.
func (sim *slowStartSimulation) work(server *simulatedServer, attempt *simulatedAttempt) {
	server.busy++
	incarnation, span := server.incarnation, float64(server.serviceTime)*(0.3+0.7*sim.random.ExpFloat64())
	if share := sim.capacityShare(server, sim.clock); share < 1 {
		span *= sim.slowFactor / share
	}
	sim.after(time.Duration(span), func() {
		if incarnation != server.incarnation {
			return
		}
		server.busy--
		sim.report(attempt, protocol.Completed)
		for len(server.queue) > 0 && server.busy < server.slots {
			next := server.queue[0]
			if server.queue = server.queue[1:]; !next.ended {
				sim.work(server, next)
			}
		}
	})
}
