package routing_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strconv"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// fleetSize is the size of a simulated fleet.
type fleetSize struct {
	Servers     int     `json:"servers"`
	Nodes       int     `json:"nodes"`   // nodes of the whole fleet, as in the settings
	Spread      int     `json:"spread"`  // nodes in the set of each tenant
	Tenants     int     `json:"tenants"` // tenants whose requests reach the simulated nodes
	Rate        float64 `json:"rate"`    // requests per second at each simulated node
	FailedShare float64 `json:"failed"`  // share of attempts with an error, a reset connection or an overloaded server
}

const (
	simulatedNodes        = 3                     // number of simulated nodes, which exchange peer messages
	peerDelay             = time.Millisecond      // delay of a datagram between simulated nodes
	medianAttempt         = 30 * time.Millisecond // median duration of an attempt
	changeRate            = 3                     // one-server changes per second: each second, three changes replace one server
	peerMessagesPerSecond = 40                    // setting PeerRate: datagrams per second that a node receives
	changeBurstSize       = 100                   // one-server changes in the burst at the end of a run
	tenantSkew            = 1.1                   // exponent of the Zipf distribution of requests over tenants
)

// The kinds of datagram. The first byte of a datagram is firstKind plus its kind.
const (
	kindUse = iota
	kindGrant
	kindSuspicion
	kindAsk
	kindCount
)

const firstKind = 0xC8

var kindNames = [kindCount]string{"use", "grant", "suspicions", "ask"}

// simulatedClasses are the simulated request classes. Times are in tenths of a millisecond.
var simulatedClasses = []struct {
	name, retrySafety   string
	objective, deadline int
	share               float64 // share of all requests
}{
	{"read", settings.RetrySafe, 5000, 10000, 0.7},
	{"lookup", settings.RetryKeyed, 6000, 12000, 0.2},
	{"order", settings.RetryUnsafe, 10000, 20000, 0.1},
}

// fleetSettings returns the settings of one node of the fleet. Compare DefaultSettings of internal/lab/model, and
// deploy/sites.
func fleetSettings(size fleetSize, node int) settings.Values {
	set := settings.Values{
		settings.Node: strconv.Itoa(node), settings.Nodes: strconv.Itoa(size.Nodes), settings.Tick: "20",
		settings.EndpointList: settings.EndpointListPush, settings.MaxAttempts: "3", settings.Hedging: "false",
		settings.CancelAttempts: settings.On, settings.Peers: settings.On,
		settings.PeerRate: strconv.Itoa(peerMessagesPerSecond), settings.RetryAfter: settings.On,
		settings.MaxRetryAfter: "20000", settings.IdleTimeout: "300000", settings.ConnectTimeout: "2500",
		settings.MaxUnits: "6", settings.SlowStartShare: "0.25", settings.SlowStartSpan: "100000",
		settings.OverloadMultiple: "3", settings.OverloadSpan: "20000", settings.ClassCount: strconv.Itoa(len(simulatedClasses)),
		settings.PlanCount: "3",
	}
	for i, c := range simulatedClasses {
		for field, value := range map[settings.ClassField]string{
			settings.ClassName: c.name, settings.ClassRetrySafety: c.retrySafety, settings.ClassPriorityWeight: "1",
			settings.ClassLatencyObjective: strconv.Itoa(c.objective), settings.ClassDeadline: strconv.Itoa(c.deadline),
			settings.ClassIdempotencyGroup: settings.GroupAll, settings.ClassIdempotencyWindow: "20000",
		} {
			set[settings.ClassKey(i, field)] = value
		}
	}
	factor := size.Rate / 85 // quotas grow with the rate, so that they limit the same share of requests at all rates
	units := func(v float64) string { return strconv.FormatFloat(v*factor, 'f', 3, 64) }
	for i, plan := range []map[settings.PlanField]string{
		{settings.PlanName: "team", settings.PlanRate: units(100), settings.PlanBurst: units(200)},
		{settings.PlanName: "solo", settings.PlanRate: units(20), settings.PlanBurst: units(40)},
		{
			settings.PlanName: "metered", settings.PlanRate: units(50), settings.PlanBurst: units(80),
			settings.PlanCeilingRate: units(60), settings.PlanCeilingBurst: units(120),
		},
	} {
		for field, value := range plan {
			set[settings.PlanKey(i, field)] = value
		}
	}
	return set
}

// planOfTenant returns the plan of a tenant. Of twenty tenants, one has the plan metered and five have the plan solo.
func planOfTenant(tenant int) string {
	switch {
	case tenant%20 == 7:
		return "metered"
	case tenant%4 == 2:
		return "solo"
	}
	return "team"
}

// scaleSimulation is a simulation in virtual time that measures the CPU time of the engine at one node of a large fleet.
// A few nodes run the real engine through the exported API of package routing, with the settings and the endpoint list of
// the whole fleet. The other nodes are not simulated. See docs/lab.md, "Slopes".
type scaleSimulation struct {
	fleetSize
	random      *rand.Rand
	zipf        *rand.Zipf
	epoch       time.Time     // wall-clock time at which virtual time begins
	now         time.Duration // virtual time
	lastSeq     uint64        // sequence number of the last scheduled event
	queue       scaleEvents
	nodes       []*scaleNode
	endpoints   []protocol.Endpoint
	serverCount int           // servers so far, with replaced ones
	changeCount int           // one-server changes so far
	clockCost   time.Duration // CPU time that one call of threadCPUTime takes
	timings     *timings      // nil outside the measured part of the run
	eventCount  int
}

// scaleEventKind is the kind of a scaleEvent.
type scaleEventKind uint8

const (
	eventArrival scaleEventKind = iota
	eventTimer
	eventAttemptEnds
	eventPeerMessage
	eventChange
)

// scaleEvent is a scheduled event. Its kind determines which of the fields after kind are set.
type scaleEvent struct {
	at           time.Duration
	seq          uint64
	kind         scaleEventKind
	node         *scaleNode
	request      *scaleRequest
	attempt      int
	timerSetting uint64
	from         int
	payload      []byte
	outcome      protocol.Outcome
}

// scaleEvents is a heap of events ordered by time. Events at the same time are in the order of their scheduling.
type scaleEvents []scaleEvent

func (e scaleEvents) Len() int { return len(e) }

func (e scaleEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e scaleEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *scaleEvents) Push(x any) { *e = append(*e, x.(scaleEvent)) }

func (e *scaleEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// schedule adds an event to the queue.
func (sim *scaleSimulation) schedule(e scaleEvent) {
	sim.lastSeq++
	e.seq = sim.lastSeq
	heap.Push(&sim.queue, e)
}

// clock returns the virtual time as a wall-clock time.
func (sim *scaleSimulation) clock() time.Time { return sim.epoch.Add(sim.now) }

// newEndpoint returns an endpoint for the i-th app server, whose process has run for the time age.
func (sim *scaleSimulation) newEndpoint(i int, age time.Duration) protocol.Endpoint {
	sim.serverCount++
	number := sim.serverCount
	return protocol.Endpoint{
		UID:  fmt.Sprintf("srv-%08x-%05d", uint32(number)*2654435761, number),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 9000),
		Zone: fmt.Sprintf("region-%d%c", i%2, 'a'+i/2%6), Model: "m" + strconv.Itoa(i%3), Cell: i % 64,
		State: protocol.InService, Weight: float64(1 + i%3), BootMs: sim.clock().Add(-age).UnixMilli(),
	}
}

// discoveryList returns the complete list of endpoints in the format of the discovery service.
func (sim *scaleSimulation) discoveryList() []byte {
	type target struct {
		UID      string         `json:"uid"`
		Endpoint netip.AddrPort `json:"endpoint"`
		Zone     string         `json:"az"`
		Model    string         `json:"model"`
		Cell     int            `json:"pod_group"`
		State    string         `json:"state"`
		Weight   float64        `json:"capacity_hint"`
		BootMs   int64          `json:"boot_ms"`
	}
	list := struct {
		Rev     uint64   `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{Rev: 1, All: true}
	states := []string{protocol.InService: "in_service", protocol.Terminating: "terminating", protocol.Terminated: "terminated"}
	for _, e := range sim.endpoints {
		list.Targets = append(list.Targets, target{e.UID, e.Addr, e.Zone, e.Model, e.Cell, states[e.State], e.Weight, e.BootMs})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return text
}

// newScaleSimulation returns a simulation with servers and without nodes.
func newScaleSimulation(s fleetSize, seed uint64) *scaleSimulation {
	s.Spread = min(s.Spread, s.Nodes)
	sim := &scaleSimulation{fleetSize: s, random: rand.New(rand.NewPCG(seed, 0x736c6f7065)), epoch: time.Unix(1_800_000_000, 0)}
	runtime.LockOSThread() // CPU times are measured on one thread.
	sim.clockCost = time.Second
	for range 1000 {
		from := threadCPUTime()
		sim.clockCost = min(sim.clockCost, threadCPUTime()-from)
	}
	sim.zipf = rand.NewZipf(sim.random, tenantSkew, 1, uint64(s.Tenants-1))
	for i := range s.Servers {
		sim.endpoints = append(sim.endpoints, sim.newEndpoint(i, time.Hour+time.Duration(i)*time.Second))
	}
	return sim
}

// addNode starts a node with the complete list, and returns the CPU time of the update with the list.
func (sim *scaleSimulation) addNode(seed uint64, list *protocol.EndpointList) time.Duration {
	n := &scaleNode{id: len(sim.nodes), simulation: sim, open: map[*routing.Request]*scaleRequest{}}
	sim.nodes = append(sim.nodes, n)
	n.router = routing.New(routing.Config{
		Seed:          seed<<8 ^ uint64(n.id)*0x9e3779b97f4a7c15,
		Settings:      settings.Parse(fleetSettings(sim.fleetSize, n.id)),
		Clock:         sim.clock,
		OnDecision:    func(req *routing.Request) { n.pending = append(n.pending, req) },
		PollEndpoints: func() {},
		LogSummary:    func([]byte) { n.intervalClosed = true },
		SendToPeer:    n.sendToPeer,
		SetTimer: func(after time.Duration) {
			n.timerSettings++
			sim.schedule(scaleEvent{at: sim.now + max(after, 0), kind: eventTimer, node: n, timerSetting: n.timerSettings})
		},
	})
	cpu := n.timeCall("", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) })
	n.timeCall("", nil, n.router.TimerFired)
	return cpu
}

// tenantKey returns a key for the tenant such that its quota owner is a simulated node. From the key, the engine derives the
// owner, a node of the tenant's set. The first nodes of a set are simulated. These nodes therefore send as many messages as
// real nodes that own that many tenants' quotas.
func (sim *scaleSimulation) tenantKey(tenant int) uint64 {
	return uint64(tenant/min(simulatedNodes, sim.Spread)*sim.Spread + tenant%min(simulatedNodes, sim.Spread))
}

// newRequest returns a request of a tenant, of a random class, with the timeout of its client.
func (sim *scaleSimulation) newRequest(tenant int, units float64) (protocol.Request, time.Duration) {
	i, draw := 0, sim.random.Float64()
	for ; i < len(simulatedClasses)-1 && draw >= simulatedClasses[i].share; i++ {
		draw -= simulatedClasses[i].share
	}
	return protocol.Request{
		Class: simulatedClasses[i].name, Plan: planOfTenant(tenant), Customer: sim.tenantKey(tenant), Units: units,
		Spread: sim.Spread, FirstNode: 0,
	}, time.Duration(simulatedClasses[i].deadline) * 100 * time.Microsecond
}

// sendRequestOfEachTenant starts a request of each tenant at each node, with too short a timeout for an attempt. The nodes
// then know all tenants and have forwarded nothing.
func (sim *scaleSimulation) sendRequestOfEachTenant() {
	for _, n := range sim.nodes {
		for tenant := range sim.Tenants {
			req, _ := sim.newRequest(tenant, 1)
			n.startRequest(&req, 100*time.Microsecond)
		}
	}
}

// changeOneServer sends the next change of one server to all nodes. Each second, three changes replace a server: it drains,
// it terminates, and a new one starts.
func (sim *scaleSimulation) changeOneServer() {
	i := sim.changeCount / 3 * 7919 % sim.Servers
	e := sim.endpoints[i]
	switch sim.changeCount % 3 {
	case 0:
		e.State = protocol.Terminating
	case 1:
		e.State = protocol.Terminated
	case 2:
		e = sim.newEndpoint(i, 0)
	}
	sim.endpoints[i] = e
	sim.changeCount++
	for _, n := range sim.nodes {
		list := &protocol.EndpointList{Endpoints: []protocol.Endpoint{e}}
		n.timeCall("change", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) })
	}
}

// scheduleArrival schedules the next arrival of a request at the node.
func (sim *scaleSimulation) scheduleArrival(n *scaleNode) {
	after := time.Duration(sim.random.ExpFloat64() / sim.Rate * float64(time.Second))
	sim.schedule(scaleEvent{at: sim.now + after, kind: eventArrival, node: n})
}

// start schedules the first arrivals and the first change.
func (sim *scaleSimulation) start() {
	for _, n := range sim.nodes {
		sim.scheduleArrival(n)
	}
	sim.schedule(scaleEvent{at: sim.now, kind: eventChange})
}

// runEvent processes the next event and returns its kind.
func (sim *scaleSimulation) runEvent() scaleEventKind {
	e := heap.Pop(&sim.queue).(scaleEvent)
	sim.now = e.at
	sim.eventCount++
	switch e.kind {
	case eventArrival:
		sim.scheduleArrival(e.node)
		req, timeout := sim.newRequest(int(sim.zipf.Uint64()), float64(1+sim.random.IntN(10)/8))
		e.node.startRequest(&req, timeout)
	case eventTimer:
		if e.timerSetting == e.node.timerSettings {
			e.node.timeCall("timer", nil, e.node.router.TimerFired)
		}
	case eventAttemptEnds:
		if e.request.inFlight && e.attempt == e.request.attempts {
			e.node.report(e.request, e.outcome)
		}
	case eventPeerMessage:
		e.node.receive(e.from, e.payload)
	case eventChange:
		sim.changeOneServer()
		sim.schedule(scaleEvent{at: sim.now + time.Second/changeRate, kind: eventChange})
	}
	return e.kind
}

// runFor processes the events of a further span of virtual time.
func (sim *scaleSimulation) runFor(span time.Duration) {
	for end := sim.now + span; sim.queue[0].at <= end; {
		sim.runEvent()
	}
}

// String returns the name of the size's benchmark.
func (s fleetSize) String() string {
	return fmt.Sprintf("servers=%d/nodes=%d/tenants=%d/rate=%v", s.Servers, s.Nodes, s.Tenants, s.Rate)
}
