package routing

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// slowStartSimulation is a simulation of a fleet in virtual time. Its nodes each run the engine; its servers count the
// attempts that reach them. Runs with the same seed are equal, except for the order in which a stopping server resets its
// connections.
type slowStartSimulation struct {
	random        *rand.Rand
	scenario      string // entry of slowStartScenarios
	addedScenario string // additional scenario; empty for none
	settings      settings.Values
	clock         time.Duration // virtual time
	events        simulationEvents
	lastSeq       int // sequence number of the last scheduled event
	nodes         []*simulatedNode
	trafficShares []float64 // shares of the traffic, by node
	servers       []*simulatedServer
	requestRate   float64 // requests per second at all nodes together
	rateFactor    float64 // factor of requestRate at present
	retryChance   float64 // probability that a rejected client retries once
	slowFactor    float64 // factor of the service time at a warming server, in addition to its capacity share
	revision      uint64  // revision of the endpoint list

	overloadMultiple float64       // multiple of a warming server's capacity that may reach the server within overloadSpan
	overloadSpan     time.Duration // length of the window in which a server's attempts are counted
	startShare       float64       // share of its capacity that a server has at its start
	slowStartSpan    time.Duration // time from a server's start to its full capacity
	latencyObjective time.Duration // latency objective of the request class

	clockOffset     time.Duration // time by which the nodes' clocks are ahead of virtual time
	rollingRestarts bool          // whether the nodes restart one after another while servers warm up

	startAt, endAt     time.Duration // start of the warming servers, and end of the run
	arrived, completed int           // since startAt: requests that arrived, without clients' retries, and those that completed
}

// simulationEpoch is the wall-clock time at which virtual time begins.
var simulationEpoch = time.Unix(1_800_000_000, 0)

// simulationEvent is a scheduled event.
type simulationEvent struct {
	at     time.Duration
	seq    int
	action func()
}

// simulationEvents is a heap of events ordered by time. Events at the same time are in the order of their scheduling.
type simulationEvents []simulationEvent

func (e simulationEvents) Len() int { return len(e) }

func (e simulationEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e simulationEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *simulationEvents) Push(x any) { *e = append(*e, x.(simulationEvent)) }

func (e *simulationEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulatedNode is a node from its start to its stop. A restart makes another simulatedNode with the same number.
type simulatedNode struct {
	simulation    *slowStartSimulation
	id            int
	router        *Router
	stopped       bool
	timerSettings int        // number of times that the timer was set; only the last setting is valid
	pending       []*Request // Requests whose decision has not been taken
	requests      map[*Request]*simulatedRequest
	knownStarts   map[*simulatedServer]time.Duration // latest start time of each server in the lists that the node got
}

// after schedules an event after a delay; a negative delay is 0.
func (sim *slowStartSimulation) after(delay time.Duration, action func()) {
	sim.lastSeq++
	heap.Push(&sim.events, simulationEvent{sim.clock + max(delay, 0), sim.lastSeq, action})
}

// hasScenario reports whether the run has the scenario, as its own or as the additional one.
func (sim *slowStartSimulation) hasScenario(name string) bool {
	return sim.scenario == name || sim.addedScenario == name
}

// uniform returns a random number between lo and hi.
func (sim *slowStartSimulation) uniform(lo, hi float64) float64 {
	return lo + (hi-lo)*sim.random.Float64()
}

// uniformSeconds returns a random duration between lo and hi, in seconds.
func (sim *slowStartSimulation) uniformSeconds(lo, hi float64) time.Duration {
	return time.Duration(sim.uniform(lo, hi) * float64(time.Second))
}

// newSlowStartSimulation returns the simulation of a fleet with the given number of nodes. The seed determines all else.
func newSlowStartSimulation(nodes int, seed uint64) *slowStartSimulation {
	sim := &slowStartSimulation{
		random:     rand.New(rand.NewPCG(seed, uint64(nodes))),
		scenario:   slowStartScenarios[seed%uint64(len(slowStartScenarios))],
		rateFactor: 1, slowFactor: 1, revision: 1,
	}
	if sim.random.IntN(2) == 0 {
		sim.addedScenario = []string{"nodes", "burst", "faults", "weight", "shift", "flap", "slow", "even"}[sim.random.IntN(8)]
	}
	sim.overloadMultiple, sim.startShare = float64(2+sim.random.IntN(3)), sim.uniform(0.15, 0.5)
	sim.overloadSpan, sim.slowStartSpan = time.Duration(1+sim.random.IntN(2))*time.Second, sim.uniformSeconds(6, 12)
	sim.latencyObjective = sim.uniformSeconds(0.4, 1.5)
	sim.settings = sim.newSettings(nodes)
	if sim.random.IntN(2) == 0 {
		sim.slowFactor, sim.retryChance = 1.5, 0.5
	}
	if sim.hasScenario("slow") {
		sim.slowFactor, sim.retryChance = 3, 0.8
	}
	sim.addServers(nodes)
	for i := range nodes {
		sim.nodes = append(sim.nodes, sim.newNode(i, 0))
	}
	return sim
}

// newSettings returns the engine's settings. It draws the rate of peer messages, and whether attempts are cancelled.
func (sim *slowStartSimulation) newSettings(nodes int) settings.Values {
	messagesPerSecond := []int{0, 40, 60, 100}[sim.random.IntN(4)]
	timeUnits := func(d time.Duration) string { return strconv.Itoa(int(engineTime(d))) }
	return settings.Values{
		settings.Nodes: strconv.Itoa(nodes), settings.Tick: "500", settings.EndpointList: settings.EndpointListPush,
		settings.IdleTimeout: "150000", settings.MaxAttempts: "3",
		settings.CancelAttempts: strconv.FormatBool(sim.random.Float64() < 0.5), settings.RetryAfter: settings.On,
		settings.MaxRetryAfter: "20000", settings.SlowStartShare: fmt.Sprint(sim.startShare),
		settings.SlowStartSpan: timeUnits(sim.slowStartSpan), settings.OverloadMultiple: fmt.Sprint(sim.overloadMultiple),
		settings.OverloadSpan: timeUnits(sim.overloadSpan), settings.ClassCount: "1", settings.ClassKey(0, settings.ClassName): "b",
		settings.ClassKey(0, settings.ClassRetrySafety):       settings.RetrySafe,
		settings.ClassKey(0, settings.ClassLatencyObjective):  timeUnits(sim.latencyObjective),
		settings.ClassKey(0, settings.ClassIdempotencyWindow): "20000",
		settings.ClassKey(0, settings.ClassIdempotencyGroup):  settings.GroupAll, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanName): "p", settings.Peers: strconv.FormatBool(messagesPerSecond > 0),
		settings.PeerRate: strconv.Itoa(messagesPerSecond),
	}
}

// addServers adds the servers and sets the traffic to between 0.6 and 1.2 times the capacity of the warm servers.
func (sim *slowStartSimulation) addServers(nodes int) {
	count, slots, capacity := 4+sim.random.IntN(9), 1+sim.random.IntN(4), 0.0
	mean := sim.latencyObjective.Seconds() * math.Exp(sim.uniform(math.Log(0.03), math.Log(0.3)))
	mean = max(mean, float64(count*slots)/160) // The request rate, and with it the duration of the test, is limited.
	for i := range count {
		server := &simulatedServer{
			uid: "s" + strconv.Itoa(i), relativeSize: 1, slots: slots, started: -1, listed: true,
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i)}), 9000),
		}
		if sim.hasScenario("weight") {
			server.relativeSize = math.Exp(sim.uniform(math.Log(0.3), math.Log(3)))
		}
		server.serviceTime = time.Duration(mean / server.relativeSize * float64(time.Second))
		capacity += float64(slots) / server.serviceTime.Seconds()
		sim.servers = append(sim.servers, server)
	}
	sim.requestRate = capacity * sim.uniform(0.6, 1.2)
	sim.spreadTraffic(nodes)
}

// spreadTraffic draws the nodes' shares of the traffic: a few nodes get several times the mean, and some almost nothing.
func (sim *slowStartSimulation) spreadTraffic(nodes int) {
	sim.trafficShares = make([]float64, nodes)
	sum := 0.0
	for i := range sim.trafficShares {
		sim.trafficShares[i] = []float64{0.01, 0.3, 1, 1, 5}[sim.random.IntN(5)] * sim.uniform(0.5, 1.5)
		if sim.hasScenario("even") {
			sim.trafficShares[i] = 1
		} else if sim.hasScenario("shift") {
			sim.trafficShares[i] = []float64{0.02, 0.02, 0.02, 0.02, 5}[sim.random.IntN(5)]
		}
		sum += sim.trafficShares[i]
	}
	for i := range sim.trafficShares {
		sim.trafficShares[i] /= sum
	}
}

// newNode starts a node, which gets its endpoint list after the delay listAfter.
func (sim *slowStartSimulation) newNode(id int, listAfter time.Duration) *simulatedNode {
	n := &simulatedNode{simulation: sim, id: id, requests: map[*Request]*simulatedRequest{}, knownStarts: map[*simulatedServer]time.Duration{}}
	set := maps.Clone(sim.settings)
	set[settings.Node] = strconv.Itoa(id)
	n.router = New(Config{
		Seed:          sim.random.Uint64(),
		Settings:      settings.Parse(set),
		Clock:         func() time.Time { return simulationEpoch.Add(sim.clock + sim.clockOffset) },
		OnDecision:    func(req *Request) { n.pending = append(n.pending, req) },
		SetTimer:      n.setTimer,
		PollEndpoints: func() {},
		SendToPeer:    n.sendToPeer,
		LogSummary:    func([]byte) {},
	})
	sim.after(listAfter, func() {
		sim.sendList(n)
		n.router.TimerFired()
		n.takeDecisions()
	})
	return n
}

// setTimer replaces the setting of the node's timer.
func (n *simulatedNode) setTimer(after time.Duration) {
	n.timerSettings++
	setting := n.timerSettings
	n.simulation.after(after, func() {
		if setting == n.timerSettings && !n.stopped {
			n.router.TimerFired()
			n.takeDecisions()
		}
	})
}

// sendToPeer delivers a message to the node that has the number at the time of delivery. Some messages are lost.
func (n *simulatedNode) sendToPeer(peer int, payload []byte) {
	sim := n.simulation
	for i := range sim.nodes {
		if i != n.id && (peer < 0 || peer == i) && sim.random.Float64() > 0.03 {
			sim.after(sim.uniformSeconds(0.001, 0.03), func() {
				sim.nodes[i].router.ReceivePeerMessage(n.id, payload)
				sim.nodes[i].takeDecisions()
			})
		}
	}
}

// sendList sends the complete endpoint list to a node.
func (sim *slowStartSimulation) sendList(n *simulatedNode) {
	list := &protocol.EndpointList{Revision: sim.revision, Full: true}
	for _, server := range sim.servers {
		if !server.listed {
			continue
		}
		e := protocol.Endpoint{UID: server.uid, Addr: server.addr, Zone: "z", Model: "m", Weight: server.relativeSize}
		if server.started >= 0 {
			e.BootMs = simulationEpoch.Add(server.started).UnixMilli()
		}
		list.Endpoints = append(list.Endpoints, e)
		n.knownStarts[server] = server.started
	}
	if !n.stopped {
		n.router.UpdateEndpoints(list, FromDiscovery)
		n.takeDecisions()
	}
}

// sendListToAll sends the list to each node, after a random delay of up to within seconds.
func (sim *slowStartSimulation) sendListToAll(within float64) {
	sim.revision++
	for _, n := range sim.nodes {
		sim.after(sim.uniformSeconds(0, within), func() { sim.sendList(n) })
	}
}

// run processes the events up to endAt.
func (sim *slowStartSimulation) run() {
	sim.schedule()
	sim.scheduleArrival()
	for sim.events.Len() > 0 && sim.clock < sim.endAt {
		e := heap.Pop(&sim.events).(simulationEvent)
		sim.clock = e.at
		e.action()
	}
}
