package routing

import "time"

// slowStartScenarios are the scenarios, of which the seed selects one. The nodes have uneven traffic,
// unless the additional scenario is "even".
var slowStartScenarios = []string{
	"one",    // one or two servers restart
	"half",   // half of the servers start at the same time
	"fleet",  // all servers start at the same time
	"fleet",  // the same scenario again, so that it runs twice as often
	"zone",   // some servers stop, so that the others are overloaded, and start again; discovery may drop the stopped ones
	"nodes",  // all servers and all nodes restart together
	"again",  // one or two servers restart twice under the same uid, the second time while or just after they warm up
	"late",   // new servers reach the list of each node at a different time, up to 4 s after their start
	"burst",  // no traffic around the start, then a burst at all nodes while the servers warm up
	"faults", // the other servers reject or hang, so that retries go to the warming ones
	"weight", // the servers have different capacities, which are their weights in the list
	"shift",  // a few nodes have most of the traffic, and every 5 s other nodes take their place
	"flap",   // the list drops a warming server and lists it again, three times
	"slow",   // warming servers take three times as long as their capacity implies, and clients retry
}

// scenarioSchedule schedules the events of a run's scenarios.
type scenarioSchedule struct {
	*slowStartSimulation
	started   []*simulatedServer // servers that start at startAt
	listDelay float64            // longest time from a change to a node's list with it, in seconds
}

// schedule schedules the events of the run's scenarios. The order of its random draws determines the run of each seed.
func (sim *slowStartSimulation) schedule() {
	sim.startAt = sim.uniformSeconds(8, 14)
	sim.endAt = sim.startAt + sim.slowStartSpan + 2*sim.overloadSpan
	s := &scenarioSchedule{slowStartSimulation: sim, started: sim.servers[:1+sim.random.IntN(2)], listDelay: sim.uniform(0, 0.3)}
	if sim.random.IntN(3) == 0 {
		s.listDelay = 2
	}
	s.scheduleOwnScenario()
	for _, added := range []struct {
		scenario string
		schedule func()
	}{
		{"nodes", s.restartNodes},
		{"burst", s.pauseAndBurst},
		{"faults", s.failOthers},
		{"shift", s.shiftTraffic},
		{"flap", s.flap},
	} {
		if sim.hasScenario(added.scenario) {
			added.schedule()
		}
	}
	sim.after(sim.startAt, s.startServers)
	if sim.rollingRestarts {
		s.rollingRestart()
	}
}

// scheduleOwnScenario schedules the events that only the run's own scenario has. An additional scenario of the same name
// does not have them.
func (s *scenarioSchedule) scheduleOwnScenario() {
	switch s.scenario {
	case "half":
		s.started = s.servers[:len(s.servers)/2]
	case "fleet", "nodes":
		s.started = s.servers
	case "zone":
		s.zoneOutage()
	case "again":
		next := s.uniformSeconds(2, 1.2*s.slowStartSpan.Seconds())
		s.after(s.startAt+next, s.startServers)
		s.endAt += next
	case "late":
		s.listDelay = 4
		for _, server := range s.started {
			server.listed, server.down = false, true
		}
	case "weight":
		s.started = s.servers[:len(s.servers)/3]
	}
}

// startServers starts the servers of the scenario and sends the list to all nodes.
func (s *scenarioSchedule) startServers() {
	for _, server := range s.started {
		s.start(server)
	}
	s.sendListToAll(s.listDelay)
}

// zoneOutage stops some servers before they start at startAt. Discovery drops them from the list, or keeps them.
func (s *scenarioSchedule) zoneOutage() {
	s.started = s.servers[:len(s.servers)*(1+s.random.IntN(4))/6+1]
	dropped := s.random.IntN(2) == 0
	s.after(s.startAt-s.uniformSeconds(1, 8), func() {
		for _, server := range s.started {
			s.stop(server)
			server.listed = !dropped
		}
		s.sendListToAll(s.listDelay)
	})
}

// restartNodes restarts all nodes when the servers start.
func (s *scenarioSchedule) restartNodes() {
	s.after(s.startAt, func() {
		for i, n := range s.nodes {
			n.stopped = true
			s.nodes[i] = s.newNode(i, s.uniformSeconds(0.01, 0.5))
		}
	})
}

// pauseAndBurst stops the traffic before the servers start, and adds a burst while they warm up.
func (s *scenarioSchedule) pauseAndBurst() {
	s.after(s.startAt-s.uniformSeconds(1, 6), func() { s.rateFactor = 0 })
	burst := s.startAt + s.uniformSeconds(0, s.slowStartSpan.Seconds()/2)
	s.after(burst, func() {
		s.rateFactor = 4
		for range int(s.requestRate) / 2 { // These requests arrive at the same time.
			s.addRequest(false)
		}
	})
	s.after(burst+2*time.Second, func() { s.rateFactor = 1 })
}

// failOthers makes the servers that do not start reject or hang for 6 s. If more than half of the servers start, the second
// half of all servers rejects or hangs.
func (s *scenarioSchedule) failOthers() {
	s.after(s.startAt, func() {
		for i, server := range s.servers[min(len(s.started), len(s.servers)/2):] {
			server.overloaded, server.hangs = i%2 == 0, i%2 == 1
		}
	})
	s.after(s.startAt+6*time.Second, func() {
		for _, server := range s.servers {
			server.overloaded, server.hangs = false, false
		}
	})
}

// shiftTraffic draws the nodes' shares of the traffic again every 5 s.
func (s *scenarioSchedule) shiftTraffic() {
	for k := range 10 {
		s.after(time.Duration(k)*5*time.Second, func() { s.spreadTraffic(len(s.nodes)) })
	}
}

// flap removes a warming server from the list and adds it again, three times.
func (s *scenarioSchedule) flap() {
	setListed := func(listed bool) func() {
		return func() {
			s.started[0].listed = listed
			s.sendListToAll(s.listDelay)
		}
	}
	for k := range 3 {
		off := s.startAt + time.Duration(2*k+1)*1500*time.Millisecond
		s.after(off, setListed(false))
		s.after(off+1200*time.Millisecond, setListed(true))
	}
}
