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

// slowStartPlay is a fleet in virtual time: nodes that each run the engine, servers that count what reaches them. The
// same seed plays the same, but for the order in which a server that stops breaks its connections.
type slowStartPlay struct {
	rng         *rand.Rand
	scene       string
	also        string // another scene on top, or none
	settings    settings.Values
	clock       time.Duration
	events      playEvents
	seq         int
	nodes       []*playNode
	trafficPart []float64 // of the traffic, by node
	servers     []*playServer
	requestRate float64 // requests a second over all nodes
	rateFactor  float64 // times it
	retryChance float64 // chance that a rejected client retries, once
	slowFactor  float64 // times longer work at a warming server, besides its share
	revision    uint64

	multiple      float64       // of a warming server's capacity that may reach it within span
	span          time.Duration // of the window in which its requests are counted
	startShare    float64       // of a server's capacity at its start
	slowStartSpan time.Duration // until it has all of it
	objective     time.Duration // of latency

	clockWrongBy time.Duration // how far the nodes' clocks are ahead of all others
	rollNodes    bool          // they restart one after another while servers warm up

	startAt, endAt     time.Duration
	arrived, completed int // requests since startAt
}

// playEpoch is when virtual time begins.
var playEpoch = time.Unix(1_800_000_000, 0)

type playEvent struct {
	at  time.Duration
	seq int
	do  func()
}

// playEvents is a heap by time, and by order of addition at the same time.
type playEvents []playEvent

func (e playEvents) Len() int { return len(e) }

func (e playEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e playEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *playEvents) Push(x any) { *e = append(*e, x.(playEvent)) }

func (e *playEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// playNode is a node until it restarts; then another one has its number.
type playNode struct {
	play          *slowStartPlay
	id            int
	router        *Router
	stopped       bool
	timerSettings int        // how often the timer was set: only the last one counts
	ready         []*Request // whose decisions are to be taken
	requests      map[*Request]*playRequest
	knownStart    map[*playServer]time.Duration // as the list last said
}

// after sets an event so much later.
func (p *slowStartPlay) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, playEvent{p.clock + max(d, 0), p.seq, do})
}

func (p *slowStartPlay) hasScene(scene string) bool { return p.scene == scene || p.also == scene }

func (p *slowStartPlay) uniform(lo, hi float64) float64 { return lo + (hi-lo)*p.rng.Float64() }

func (p *slowStartPlay) uniformSeconds(lo, hi float64) time.Duration {
	return time.Duration(p.uniform(lo, hi) * float64(time.Second))
}

func newSlowStartPlay(nodes int, seed uint64) *slowStartPlay {
	p := &slowStartPlay{
		rng:        rand.New(rand.NewPCG(seed, uint64(nodes))),
		scene:      slowStartScenes[seed%uint64(len(slowStartScenes))],
		rateFactor: 1, slowFactor: 1, revision: 1,
	}
	if p.rng.IntN(2) == 0 {
		p.also = []string{"nodes", "burst", "faults", "weight", "shift", "flap", "slow", "even"}[p.rng.IntN(8)]
	}
	p.multiple, p.startShare = float64(2+p.rng.IntN(3)), p.uniform(0.15, 0.5)
	p.span, p.slowStartSpan = time.Duration(1+p.rng.IntN(2))*time.Second, p.uniformSeconds(6, 12)
	p.objective = p.uniformSeconds(0.4, 1.5)
	p.settings = p.newSettings(nodes)
	if p.rng.IntN(2) == 0 {
		p.slowFactor, p.retryChance = 1.5, 0.5
	}
	if p.hasScene("slow") {
		p.slowFactor, p.retryChance = 3, 0.8
	}
	p.addServers(nodes)
	for i := range nodes {
		p.nodes = append(p.nodes, p.newNode(i, 0))
	}
	return p
}

// newSettings draws the engine's settings that the play does not need itself.
func (p *slowStartPlay) newSettings(nodes int) settings.Values {
	messagesPerSecond := []int{0, 40, 60, 100}[p.rng.IntN(4)]
	ticksOf := func(d time.Duration) string { return strconv.Itoa(int(engineTime(d))) }
	return settings.Values{
		settings.Nodes: strconv.Itoa(nodes), settings.Tick: "500", settings.EndpointList: settings.EndpointListPush,
		settings.IdleTimeout: "150000", settings.MaxAttempts: "3",
		settings.CancelAttempts: strconv.FormatBool(p.rng.Float64() < 0.5), settings.RetryAfter: settings.On,
		settings.MaxRetryAfter: "20000", settings.SlowStartShare: fmt.Sprint(p.startShare),
		settings.SlowStartSpan: ticksOf(p.slowStartSpan), settings.OverloadMultiple: fmt.Sprint(p.multiple),
		settings.OverloadSpan: ticksOf(p.span), settings.ClassCount: "1", settings.ClassKey(0, settings.ClassName): "b",
		settings.ClassKey(0, settings.ClassRetrySafety):       settings.RetrySafe,
		settings.ClassKey(0, settings.ClassLatencyObjective):  ticksOf(p.objective),
		settings.ClassKey(0, settings.ClassIdempotencyWindow): "20000",
		settings.ClassKey(0, settings.ClassIdempotencyGroup):  settings.GroupAll, settings.PlanCount: "1",
		settings.PlanKey(0, settings.PlanName): "p", settings.Peers: strconv.FormatBool(messagesPerSecond > 0),
		settings.PeerRate: strconv.Itoa(messagesPerSecond),
	}
}

// addServers makes the servers and the traffic: between six tenths of what the servers can do and a fifth more than that.
func (p *slowStartPlay) addServers(nodes int) {
	count, slots, total := 4+p.rng.IntN(9), 1+p.rng.IntN(4), 0.0
	mean := p.objective.Seconds() * math.Exp(p.uniform(math.Log(0.03), math.Log(0.3)))
	mean = max(mean, float64(count*slots)/160) // a play's length is its requests
	for i := range count {
		sv := &playServer{
			uid: "s" + strconv.Itoa(i), relativeSize: 1, slots: slots, started: -1, listed: true,
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i)}), 9000),
		}
		if p.hasScene("weight") {
			sv.relativeSize = math.Exp(p.uniform(math.Log(0.3), math.Log(3)))
		}
		sv.serviceTime = time.Duration(mean / sv.relativeSize * float64(time.Second))
		total += float64(slots) / sv.serviceTime.Seconds()
		p.servers = append(p.servers, sv)
	}
	p.requestRate = total * p.uniform(0.6, 1.2)
	p.spreadTraffic(nodes)
}

// spreadTraffic gives few nodes several times the mean and some almost nothing.
func (p *slowStartPlay) spreadTraffic(nodes int) {
	p.trafficPart = make([]float64, nodes)
	sum := 0.0
	for i := range p.trafficPart {
		p.trafficPart[i] = []float64{0.01, 0.3, 1, 1, 5}[p.rng.IntN(5)] * p.uniform(0.5, 1.5)
		if p.hasScene("even") {
			p.trafficPart[i] = 1
		} else if p.hasScene("shift") {
			p.trafficPart[i] = []float64{0.02, 0.02, 0.02, 0.02, 5}[p.rng.IntN(5)]
		}
		sum += p.trafficPart[i]
	}
	for i := range p.trafficPart {
		p.trafficPart[i] /= sum
	}
}

// newNode starts a node, which has its endpoint list after a while.
func (p *slowStartPlay) newNode(id int, listAfter time.Duration) *playNode {
	n := &playNode{play: p, id: id, requests: map[*Request]*playRequest{}, knownStart: map[*playServer]time.Duration{}}
	set := maps.Clone(p.settings)
	set[settings.Node] = strconv.Itoa(id)
	n.router = New(Config{
		Seed:          p.rng.Uint64(),
		Settings:      settings.Parse(set),
		Clock:         func() time.Time { return playEpoch.Add(p.clock + p.clockWrongBy) },
		OnDecision:    func(req *Request) { n.ready = append(n.ready, req) },
		SetTimer:      n.setTimer,
		PollEndpoints: func() {},
		SendToPeer:    n.sendToPeer,
		LogSummary:    func([]byte) {},
	})
	p.after(listAfter, func() {
		p.sendList(n)
		n.router.TimerFired()
		n.takeDecisions()
	})
	return n
}

func (n *playNode) setTimer(after time.Duration) {
	n.timerSettings++
	setting := n.timerSettings
	n.play.after(after, func() {
		if setting == n.timerSettings && !n.stopped {
			n.router.TimerFired()
			n.takeDecisions()
		}
	})
}

// sendToPeer delivers a message to whatever node runs under that number by then. Some get lost.
func (n *playNode) sendToPeer(peer int, payload []byte) {
	p := n.play
	for i := range p.nodes {
		if i != n.id && (peer < 0 || peer == i) && p.rng.Float64() > 0.03 {
			p.after(p.uniformSeconds(0.001, 0.03), func() {
				p.nodes[i].router.ReceivePeerMessage(n.id, payload)
				p.nodes[i].takeDecisions()
			})
		}
	}
}

// sendList sends a node the whole list.
func (p *slowStartPlay) sendList(n *playNode) {
	list := &protocol.EndpointList{Revision: p.revision, Full: true}
	for _, sv := range p.servers {
		if !sv.listed {
			continue
		}
		e := protocol.Endpoint{UID: sv.uid, Addr: sv.addr, Zone: "z", Model: "m", Weight: sv.relativeSize}
		if sv.started >= 0 {
			e.BootMs = playEpoch.Add(sv.started).UnixMilli()
		}
		list.Endpoints = append(list.Endpoints, e)
		n.knownStart[sv] = sv.started
	}
	if !n.stopped {
		n.router.UpdateEndpoints(list, FromDiscovery)
		n.takeDecisions()
	}
}

// sendListToAll sends the list to all nodes, to each within a number of seconds.
func (p *slowStartPlay) sendListToAll(within float64) {
	p.revision++
	for _, n := range p.nodes {
		p.after(p.uniformSeconds(0, within), func() { p.sendList(n) })
	}
}

// play plays the events up to endAt.
func (p *slowStartPlay) play() {
	p.schedule()
	p.scheduleArrival()
	for p.events.Len() > 0 && p.clock < p.endAt {
		e := heap.Pop(&p.events).(playEvent)
		p.clock = e.at
		e.do()
	}
}
