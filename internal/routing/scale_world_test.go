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
	Nodes       int     `json:"nodes"`   // of the fleet, as in the settings
	Spread      int     `json:"spread"`  // nodes of a tenant's set
	Tenants     int     `json:"tenants"` // whose requests reach the group
	Rate        float64 `json:"rate"`    // requests a second at each node of the group
	FailedShare float64 `json:"failed"`  // share of attempts: errors, reset connections, overloaded
}

const (
	playedNodes           = 3                     // simulated nodes, connected to each other
	peerDelay             = time.Millisecond      // delay of a datagram between them
	medianAttempt         = 30 * time.Millisecond // median of an attempt
	changeRate            = 3                     // one-server changes a second: each second one server is replaced
	peerMessagesPerSecond = 40                    // datagrams a second that a node receives
	burstOfChanges        = 100                   // one-server changes at once, at the end of a play
	tenantSkew            = 1.1                   // of the tenants' Zipf law
)

// The kinds of datagram, of which the first byte is firstKind and more.
const (
	kindUse = iota
	kindGrant
	kindSuspicion
	kindAsk
	kindCount
)

const firstKind = 0xC8

var kindNames = [kindCount]string{"use", "grant", "suspicions", "ask"}

// classes are the played classes of request; times in tenths of a millisecond.
var classes = []struct {
	name, repeats       string
	objective, deadline int
	share               float64
}{
	{"read", settings.RetrySafe, 5000, 10000, 0.7},
	{"lookup", settings.RetryKeyed, 6000, 12000, 0.2},
	{"order", settings.RetryUnsafe, 10000, 20000, 0.1},
}

// fleetSettings returns the settings of a whole fleet (compare internal/lab/model's DefaultSettings and
// deploy/sites).
func fleetSettings(size fleetSize, node int) settings.Values {
	set := settings.Values{
		settings.Node: strconv.Itoa(node), settings.Nodes: strconv.Itoa(size.Nodes), settings.Tick: "20",
		settings.EndpointList: settings.EndpointListPush, settings.MaxAttempts: "3", settings.Hedging: "false",
		settings.CancelAttempts: settings.On, settings.Peers: settings.On,
		settings.PeerRate: strconv.Itoa(peerMessagesPerSecond), settings.RetryAfter: settings.On,
		settings.MaxRetryAfter: "20000", settings.IdleTimeout: "300000", settings.ConnectTimeout: "2500",
		settings.MaxUnits: "6", settings.SlowStartShare: "0.25", settings.SlowStartSpan: "100000",
		settings.OverloadMultiple: "3", settings.OverloadSpan: "20000", settings.ClassCount: strconv.Itoa(len(classes)),
		settings.PlanCount: "3",
	}
	for i, c := range classes {
		for field, value := range map[settings.ClassField]string{
			settings.ClassName: c.name, settings.ClassRetrySafety: c.repeats, settings.ClassPriorityWeight: "1",
			settings.ClassLatencyObjective: strconv.Itoa(c.objective), settings.ClassDeadline: strconv.Itoa(c.deadline),
			settings.ClassIdempotencyGroup: settings.GroupAll, settings.ClassIdempotencyWindow: "20000",
		} {
			set[settings.ClassKey(i, field)] = value
		}
	}
	factor := size.Rate / 85 // so that quotas bind alike at all rates
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

// planOfTenant returns a tenant's plan: of twenty tenants, one is metered and five are small.
func planOfTenant(tenant int) string {
	switch {
	case tenant%20 == 7:
		return "metered"
	case tenant%4 == 2:
		return "solo"
	}
	return "team"
}

// scaleWorld measures, in virtual time, the CPU time of the engine at one node of a large fleet. A few nodes run the real
// engine through routing's public interface, with the settings and the endpoint list of the whole fleet. The other nodes are
// not simulated. See docs/lab.md, "Slopes".
type scaleWorld struct {
	fleetSize
	random       *rand.Rand
	zipf         *rand.Zipf
	epoch        time.Time
	now          time.Duration
	seq          uint64
	queue        scaleEvents
	nodes        []*scaleNode
	endpoints    []protocol.Endpoint
	serversMade  int
	changes      int           // of one server, so far
	clockCost    time.Duration // CPU time of reading the thread's CPU time
	timings      *timings
	playedEvents int
}

type scaleEventKind uint8

const (
	eventArrival scaleEventKind = iota
	eventTimer
	eventAttemptEnds
	eventPeerMessage
	eventChange
)

// scaleEvent is an event; which fields it has depends on its kind.
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

// scaleEvents is a heap by time, and by order of scheduling at the same time.
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

func (w *scaleWorld) schedule(e scaleEvent) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.queue, e)
}

func (w *scaleWorld) clock() time.Time { return w.epoch.Add(w.now) }

// newEndpoint returns the i-th app server, of that age.
func (w *scaleWorld) newEndpoint(i int, ago time.Duration) protocol.Endpoint {
	w.serversMade++
	made := w.serversMade
	return protocol.Endpoint{
		UID:  fmt.Sprintf("srv-%08x-%05d", uint32(made)*2654435761, made),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(made >> 16), byte(made >> 8), byte(made)}), 9000),
		Zone: fmt.Sprintf("region-%d%c", i%2, 'a'+i/2%6), Model: "m" + strconv.Itoa(i%3), Cell: i % 64,
		State: protocol.InService, Weight: float64(1 + i%3), BootMs: w.clock().Add(-ago).UnixMilli(),
	}
}

// discoveryList returns a complete list in the format of the discovery service.
func (w *scaleWorld) discoveryList() []byte {
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
	for _, e := range w.endpoints {
		list.Targets = append(list.Targets, target{e.UID, e.Addr, e.Zone, e.Model, e.Cell, states[e.State], e.Weight, e.BootMs})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return text
}

// newScaleWorld returns a world with servers and without nodes.
func newScaleWorld(s fleetSize, seed uint64) *scaleWorld {
	s.Spread = min(s.Spread, s.Nodes)
	w := &scaleWorld{fleetSize: s, random: rand.New(rand.NewPCG(seed, 0x736c6f7065)), epoch: time.Unix(1_800_000_000, 0)}
	runtime.LockOSThread() // the CPU times are those of one thread
	w.clockCost = time.Second
	for range 1000 {
		from := threadTime()
		w.clockCost = min(w.clockCost, threadTime()-from)
	}
	w.zipf = rand.NewZipf(w.random, tenantSkew, 1, uint64(s.Tenants-1))
	for i := range s.Servers {
		w.endpoints = append(w.endpoints, w.newEndpoint(i, time.Hour+time.Duration(i)*time.Second))
	}
	return w
}

// addNode starts a node with the complete list, and returns the CPU time of that list.
func (w *scaleWorld) addNode(seed uint64, list *protocol.EndpointList) time.Duration {
	n := &scaleNode{id: len(w.nodes), world: w, open: map[*routing.Request]*scaleRequest{}}
	w.nodes = append(w.nodes, n)
	n.router = routing.New(routing.Config{
		Seed:          seed<<8 ^ uint64(n.id)*0x9e3779b97f4a7c15,
		Settings:      settings.Parse(fleetSettings(w.fleetSize, n.id)),
		Clock:         w.clock,
		OnDecision:    func(req *routing.Request) { n.decided = append(n.decided, req) },
		PollEndpoints: func() {},
		LogSummary:    func([]byte) { n.intervalClosed = true },
		SendToPeer:    n.sendToPeer,
		SetTimer: func(after time.Duration) {
			n.timerSettings++
			w.schedule(scaleEvent{at: w.now + max(after, 0), kind: eventTimer, node: n, timerSetting: n.timerSettings})
		},
	})
	cpu := n.timeCall("", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) })
	n.timeCall("", nil, n.router.TimerFired)
	return cpu
}

// tenantKey returns a key of the tenant whose quota owner is a simulated node. The engine finds the owner, a node of the
// tenant's set, from the key; the first nodes of a set are simulated. The nodes therefore send the messages of nodes that own
// as many tenants' quotas.
func (w *scaleWorld) tenantKey(tenant int) uint64 {
	return uint64(tenant/min(playedNodes, w.Spread)*w.Spread + tenant%min(playedNodes, w.Spread))
}

// requestOf draws a request of a tenant, and returns it with its client's timeout.
func (w *scaleWorld) requestOf(tenant int, units float64) (protocol.Request, time.Duration) {
	i, draw := 0, w.random.Float64()
	for ; i < len(classes)-1 && draw >= classes[i].share; i++ {
		draw -= classes[i].share
	}
	return protocol.Request{
		Class: classes[i].name, Plan: planOfTenant(tenant), Customer: w.tenantKey(tenant), Units: units,
		Spread: w.Spread, FirstNode: 0,
	}, time.Duration(classes[i].deadline) * 100 * time.Microsecond
}

// meetAllTenants lets a request of each tenant arrive at each node, without time left: the nodes then know all tenants and
// have forwarded nothing.
func (w *scaleWorld) meetAllTenants() {
	for _, n := range w.nodes {
		for tenant := range w.Tenants {
			req, _ := w.requestOf(tenant, 1)
			n.take(&req, 100*time.Microsecond)
		}
	}
}

// changeOneServer returns the next change of one server. Each second a server is replaced: it drains, it terminates, and a
// new one starts.
func (w *scaleWorld) changeOneServer() {
	i := w.changes / 3 * 7919 % w.Servers
	e := w.endpoints[i]
	switch w.changes % 3 {
	case 0:
		e.State = protocol.Terminating
	case 1:
		e.State = protocol.Terminated
	case 2:
		e = w.newEndpoint(i, 0)
	}
	w.endpoints[i] = e
	w.changes++
	for _, n := range w.nodes {
		list := &protocol.EndpointList{Endpoints: []protocol.Endpoint{e}}
		n.timeCall("change", nil, func() { n.router.UpdateEndpoints(list, routing.FromDiscovery) })
	}
}

func (w *scaleWorld) scheduleArrival(n *scaleNode) {
	after := time.Duration(w.random.ExpFloat64() / w.Rate * float64(time.Second))
	w.schedule(scaleEvent{at: w.now + after, kind: eventArrival, node: n})
}

// start starts the arrivals and the changes.
func (w *scaleWorld) start() {
	for _, n := range w.nodes {
		w.scheduleArrival(n)
	}
	w.schedule(scaleEvent{at: w.now, kind: eventChange})
}

// playEvent plays one event and returns its kind.
func (w *scaleWorld) playEvent() scaleEventKind {
	e := heap.Pop(&w.queue).(scaleEvent)
	w.now = e.at
	w.playedEvents++
	switch e.kind {
	case eventArrival:
		w.scheduleArrival(e.node)
		req, timeout := w.requestOf(int(w.zipf.Uint64()), float64(1+w.random.IntN(10)/8))
		e.node.take(&req, timeout)
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
		w.changeOneServer()
		w.schedule(scaleEvent{at: w.now + time.Second/changeRate, kind: eventChange})
	}
	return e.kind
}

// playFor plays a further span of virtual time.
func (w *scaleWorld) playFor(span time.Duration) {
	for end := w.now + span; w.queue[0].at <= end; {
		w.playEvent()
	}
}

// String names the benchmark of the size.
func (s fleetSize) String() string {
	return fmt.Sprintf("servers=%d/nodes=%d/tenants=%d/rate=%v", s.Servers, s.Nodes, s.Tenants, s.Rate)
}
