package routing

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/protocol"
)

var coldSeeds = flag.Int("cold.seeds", 0, "plays of each size of the fleet in the cold test; 0: 52, or one of each scene under -race")

// coldScenes are what befalls a fleet in one play, one by seed. Traffic is uneven over the nodes in all.
var coldScenes = []string{
	"one",    // one server restarts
	"half",   // half of the servers start at once
	"fleet",  // all of them do
	"fleet",  // twice as often
	"zone",   // a third is lost, the rest overloaded, and comes back cold; discovery drops it, or not
	"nodes",  // all servers and all nodes restart together
	"again",  // a server restarts, and again under the same uid while it is cold or just warm
	"late",   // new servers appear in the list up to 4 s after their start, at each node at another time
	"burst",  // a lull, then a crowd at all nodes right after the start
	"doubt",  // all others turn away or hang: fallbacks and further attempts land on the cold
	"weight", // the servers' sizes differ, as the list says
	"shift",  // a few nodes have most of the traffic, others every 5 s
	"flap",   // the list drops a cold server and names it again
	"slow",   // servers are three times slower than their capacity says while cold, and clients come again
}

// coldPlay is a fleet in virtual time: nodes that each run the module, servers that count what reaches them.
type coldPlay struct {
	rng     *rand.Rand
	scene   string // and another on top, or none
	also    string
	set     map[string]string
	now     time.Duration
	events  coldEvents
	seq     int
	nodes   []*coldNode
	part    []float64 // of the traffic, by node
	servers []*coldServer
	rate    float64 // requests a second over all nodes
	factor  float64 // times it
	again   float64 // chance that a refused client comes again
	slow    float64 // times longer work at a cold server, besides its share
	rev     uint64

	multiple, from float64
	span, cold     time.Duration
	contract       time.Duration
	arrived, done  int // of requests since the first start
	start          time.Duration
	end            time.Duration
}

type coldEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type coldEvents []coldEvent

func (e coldEvents) Len() int { return len(e) }
func (e coldEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e coldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *coldEvents) Push(x any)   { *e = append(*e, x.(coldEvent)) }
func (e *coldEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type coldNode struct {
	p       *coldPlay
	id      int
	r       *Router
	dead    bool
	wakes   int
	ready   []*Request
	tickets map[*Request]*coldRequest
	told    map[*coldServer]time.Duration // of its last start
}

// coldServer is one process after the other at one address.
type coldServer struct {
	uid        string
	addr       netip.AddrPort
	size       float64 // times the play's usual capacity
	slots      int
	work       time.Duration // mean, when warm
	started    time.Duration // of the process; below 0: long ago
	down, hang bool
	full       bool
	listed     bool
	life       int
	busy       int
	queue      []*coldAttempt
	calls      []time.Duration // at this process, of nodes told of its start
	past       []coldProcess
}

type coldProcess struct {
	started time.Duration
	calls   []time.Duration
}

type coldRequest struct {
	n       *coldNode
	t       *Request
	x       *coldAttempt
	until   time.Duration
	again   bool
	waiting bool
	settled bool
}

type coldAttempt struct {
	q     *coldRequest
	nth   int
	sent  time.Duration
	ended bool
}

func (p *coldPlay) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, coldEvent{p.now + max(d, 0), p.seq, do})
}

func (p *coldPlay) is(scene string) bool { return p.scene == scene || p.also == scene }

func (p *coldPlay) chance(lo, hi float64) float64 { return lo + (hi-lo)*p.rng.Float64() }

func (p *coldPlay) spell(lo, hi float64) time.Duration {
	return time.Duration(p.chance(lo, hi) * float64(time.Second))
}

func newColdPlay(nodes int, seed uint64) *coldPlay {
	p := &coldPlay{
		rng: rand.New(rand.NewPCG(seed, uint64(nodes))), scene: coldScenes[seed%uint64(len(coldScenes))],
		factor: 1, slow: 1, rev: 1,
	}
	if p.rng.IntN(2) == 0 {
		p.also = []string{"nodes", "burst", "doubt", "weight", "shift", "flap", "slow", "even"}[p.rng.IntN(8)]
	}
	p.multiple, p.from = float64(2+p.rng.IntN(3)), p.chance(0.15, 0.5)
	p.span, p.cold = time.Duration(1+p.rng.IntN(2))*time.Second, p.spell(6, 12)
	p.contract = p.spell(0.4, 1.5)
	take := []int{0, 40, 60, 100}[p.rng.IntN(4)]
	tenths := func(d time.Duration) string { return strconv.Itoa(int(d / tenth)) }
	yes := func(chance float64) string { return strconv.FormatBool(p.rng.Float64() < chance) }
	p.set = map[string]string{
		"nodes": strconv.Itoa(nodes), "tick": "500", "roster": "push", "idle": "150000", "executions": "3",
		"withdraw": yes(0.5), "advice": "true", "advice.most": "20000", "cold.from": fmt.Sprint(p.from), "cold.span": tenths(p.cold),
		"fall.multiple": fmt.Sprint(p.multiple), "fall.span": tenths(p.span), "band.count": "1", "band.0.name": "b",
		"band.0.repeats": "replayable", "band.0.contract": tenths(p.contract), "band.0.window": "20000", "band.0.group": "all",
		"plan.count": "1", "plan.0.name": "p", "peers": strconv.FormatBool(take > 0), "peers.take": strconv.Itoa(take),
	}
	if p.rng.IntN(2) == 0 {
		p.slow, p.again = 1.5, 0.5
	}
	if p.is("slow") {
		p.slow, p.again = 3, 0.8
	}
	p.work(nodes)
	for i := range nodes {
		p.nodes = append(p.nodes, p.newNode(i, 0))
	}
	return p
}

// work makes the servers and the traffic: between six tenths of what the servers can do and a fifth more than that.
func (p *coldPlay) work(nodes int) {
	count, slots, total := 4+p.rng.IntN(9), 1+p.rng.IntN(4), 0.0
	mean := p.contract.Seconds() * math.Exp(p.chance(math.Log(0.03), math.Log(0.3)))
	mean = max(mean, float64(count*slots)/160) // a play's length is its requests
	for i := range count {
		sv := &coldServer{
			uid: "s" + strconv.Itoa(i), size: 1, slots: slots, started: -1, listed: true,
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i)}), 9000),
		}
		if p.is("weight") {
			sv.size = math.Exp(p.chance(math.Log(0.3), math.Log(3)))
		}
		sv.work = time.Duration(mean / sv.size * float64(time.Second))
		total += float64(slots) / sv.work.Seconds()
		p.servers = append(p.servers, sv)
	}
	p.rate = total * p.chance(0.6, 1.2)
	p.deal(nodes)
}

// deal gives few nodes several times the mean and some almost nothing.
func (p *coldPlay) deal(nodes int) {
	p.part = make([]float64, nodes)
	sum := 0.0
	for i := range p.part {
		p.part[i] = []float64{0.01, 0.3, 1, 1, 5}[p.rng.IntN(5)] * p.chance(0.5, 1.5)
		if p.is("even") {
			p.part[i] = 1
		} else if p.is("shift") {
			p.part[i] = []float64{0.02, 0.02, 0.02, 0.02, 5}[p.rng.IntN(5)]
		}
		sum += p.part[i]
	}
	for i := range p.part {
		p.part[i] /= sum
	}
}

func (p *coldPlay) newNode(id int, told time.Duration) *coldNode {
	n := &coldNode{p: p, id: id, tickets: map[*Request]*coldRequest{}, told: map[*coldServer]time.Duration{}}
	set := maps.Clone(p.set)
	set["node"] = strconv.Itoa(id)
	epoch := time.Unix(1_800_000_000, 0)
	n.r = New(Config{
		Seed: p.rng.Uint64(), Settings: set, Clock: func() time.Time { return epoch.Add(p.now) },
		OnDecision: func(t *Request) { n.ready = append(n.ready, t) },
		SetTimer: func(after time.Duration) {
			n.wakes++
			wake := n.wakes
			p.after(after, func() {
				if wake == n.wakes && !n.dead {
					n.r.Tick()
					n.poll()
				}
			})
		},
		SendToPeer: func(peer int, text []byte) {
			for i := range p.nodes {
				if i != id && (peer < 0 || peer == i) && p.rng.Float64() > 0.03 {
					p.after(p.spell(0.001, 0.03), func() {
						p.nodes[i].r.ReceivePeerMessage(id, text)
						p.nodes[i].poll()
					})
				}
			}
		}, PollEndpoints: func() {}, LogSummary: func([]byte) {},
	})
	p.after(told, func() {
		p.list(n)
		n.r.Tick()
		n.poll()
	})
	return n
}

// list tells a node the whole list.
func (p *coldPlay) list(n *coldNode) {
	l := &protocol.EndpointList{Revision: p.rev, Full: true}
	for _, sv := range p.servers {
		if sv.listed {
			g := protocol.Endpoint{UID: sv.uid, Addr: sv.addr, Zone: "z", Model: "m", Weight: sv.size}
			if sv.started >= 0 {
				g.BootMs = time.Unix(1_800_000_000, 0).Add(sv.started).UnixMilli()
			}
			l.Endpoints = append(l.Endpoints, g)
			n.told[sv] = sv.started
		}
	}
	if !n.dead {
		n.r.UpdateEndpoints(l, false)
		n.poll()
	}
}

// tell has all nodes told the list, each up to so much later.
func (p *coldPlay) tell(within float64) {
	p.rev++
	for _, n := range p.nodes {
		p.after(p.spell(0, within), func() { p.list(n) })
	}
}

// lose ends a server's process: what it holds breaks.
func (p *coldPlay) lose(sv *coldServer) {
	sv.past = append(sv.past, coldProcess{sv.started, sv.calls})
	sv.calls, sv.down, sv.queue, sv.busy = nil, true, nil, 0
	sv.life++
	for _, n := range p.nodes {
		for _, q := range n.tickets {
			if x := q.x; x != nil && q.t.server != nil && q.t.server.Addr == sv.addr {
				p.ended(x, protocol.ConnectionReset, 0)
			}
		}
	}
}

// boot starts a new process.
func (p *coldPlay) boot(sv *coldServer) {
	if !sv.down {
		p.lose(sv)
	}
	sv.down, sv.listed, sv.started = false, true, p.now
}

func (p *coldPlay) share(sv *coldServer, at time.Duration) float64 {
	if sv.started < 0 || at >= sv.started+p.cold {
		return 1
	}
	return p.from + (1-p.from)*max(0, float64(at-sv.started)/float64(p.cold))
}

// arrive brings a request to a node, and sets the time of the next.
func (p *coldPlay) arrive() {
	p.after(time.Duration(p.rng.ExpFloat64()/(p.rate*max(p.factor, 0.01))*float64(time.Second)), func() {
		if p.now < p.end {
			p.request(false)
			p.arrive()
		}
	})
}

func (p *coldPlay) request(again bool) {
	k, u := 0, p.rng.Float64()
	for u -= p.part[0]; u > 0 && k < len(p.part)-1; u -= p.part[k] {
		k++
	}
	if p.now >= p.start && !again {
		p.arrived++
	}
	n := p.nodes[k]
	q := &coldRequest{n: n, until: p.now + 2*p.contract, again: again}
	q.t = n.r.NewRequest(coldWorker{q})
	n.tickets[q.t] = q
	q.t.Start(&protocol.Request{Class: "b", Plan: "p", Customer: p.rng.Uint64() % 1000, Units: 1, Spread: 1, FirstNode: n.id},
		2*p.contract)
	n.poll()
	p.after(2*p.contract, func() {
		if !q.settled && !n.dead {
			q.t.ClientGone()
			n.poll()
		}
	})
}

type coldWorker struct{ q *coldRequest }

func (w coldWorker) Cancel(nth int) {
	if x := w.q.x; x != nil && x.nth == nth && !x.ended {
		w.q.n.p.ended(x, protocol.Cancelled, 0)
	}
}

func (n *coldNode) poll() {
	for len(n.ready) > 0 && !n.dead {
		t := n.ready[0]
		n.ready = n.ready[1:]
		q := n.tickets[t]
		if q == nil {
			continue
		}
		if q.x != nil {
			q.waiting = true
			continue
		}
		c, ok := t.TryNext()
		switch {
		case !ok:
		case c.Action == Forward:
			n.p.send(q, c)
		default:
			if c.Action == Reject && !q.again && n.p.rng.Float64() < n.p.again {
				n.p.after(max(c.RetryAfter, 50*time.Millisecond), func() { n.p.request(true) })
			}
			n.free(q)
		}
	}
}

func (n *coldNode) free(q *coldRequest) {
	q.settled = true
	delete(n.tickets, q.t)
	q.t.Release()
}

// send lets an attempt reach its server, which counts it whatever becomes of it.
func (p *coldPlay) send(q *coldRequest, c Decision) {
	x := &coldAttempt{q: q, nth: c.Attempt, sent: p.now}
	q.x = x
	if c.Timeout > 0 {
		p.after(c.Timeout, func() { p.report(x, protocol.TimedOut) })
	}
	i := slices.IndexFunc(p.servers, func(sv *coldServer) bool { return sv.addr == c.Server.Addr })
	sv := p.servers[i]
	if sv.down {
		p.ended(x, protocol.ConnectFailed, time.Millisecond)
		return
	}
	if q.n.told[sv] == sv.started { // who can't know of the start is not held to it
		sv.calls = append(sv.calls, p.now)
	}
	switch {
	case sv.full || len(sv.queue) > 2*sv.slots:
		p.ended(x, protocol.Overloaded, time.Millisecond)
	case sv.hang:
	case sv.busy >= sv.slots:
		sv.queue = append(sv.queue, x)
	default:
		p.run(sv, x)
	}
}

func (p *coldPlay) run(sv *coldServer, x *coldAttempt) {
	sv.busy++
	life, long := sv.life, float64(sv.work)*(0.3+0.7*p.rng.ExpFloat64())
	if share := p.share(sv, p.now); share < 1 {
		long *= p.slow / share
	}
	p.after(time.Duration(long), func() {
		if life != sv.life {
			return
		}
		sv.busy--
		p.report(x, protocol.Completed)
		for len(sv.queue) > 0 && sv.busy < sv.slots {
			next := sv.queue[0]
			if sv.queue = sv.queue[1:]; !next.ended {
				p.run(sv, next)
			}
		}
	})
}

func (p *coldPlay) ended(x *coldAttempt, o protocol.Outcome, after time.Duration) {
	p.after(after, func() { p.report(x, o) })
}

func (p *coldPlay) report(x *coldAttempt, o protocol.Outcome) {
	q := x.q
	if x.ended || q.x != x || q.n.dead || q.settled {
		return
	}
	x.ended, q.x = true, nil
	q.t.Report(AttemptResult{Outcome: o, Duration: p.now - x.sent, Units: 1})
	if o == protocol.Completed {
		if p.now >= p.start && p.now < p.end {
			p.done++
		}
		q.n.free(q)
		q.n.poll()
		return
	}
	if q.waiting {
		q.waiting = false
		q.n.ready = append(q.n.ready, q.t)
	}
	q.n.poll()
}

// script sets what befalls the fleet.
func (p *coldPlay) script() {
	p.start = p.spell(8, 14)
	p.end = p.start + p.cold + 2*p.span
	few, told := p.servers[:1+p.rng.IntN(2)], p.chance(0, 0.3)
	if p.rng.IntN(3) == 0 {
		told = 2
	}
	at := func(d time.Duration, do func()) { p.after(d, do) }
	boot := func(list []*coldServer) func() {
		return func() {
			for _, sv := range list {
				p.boot(sv)
			}
			p.tell(told)
		}
	}
	switch p.scene {
	case "half":
		few = p.servers[:len(p.servers)/2]
	case "fleet":
		few = p.servers
	case "zone":
		few = p.servers[:len(p.servers)*(1+p.rng.IntN(4))/6+1]
		drops := p.rng.IntN(2) == 0
		at(p.start-p.spell(1, 8), func() {
			for _, sv := range few {
				p.lose(sv)
				sv.listed = !drops
			}
			p.tell(told)
		})
	case "again":
		next := p.spell(2, 1.2*p.cold.Seconds())
		at(p.start+next, boot(few))
		p.end += next
	case "late":
		told = 4
		for _, sv := range few {
			sv.listed, sv.down = false, true
		}
	case "nodes":
		few = p.servers
	case "weight":
		few = p.servers[:len(p.servers)/3]
	}
	if p.is("nodes") {
		at(p.start, func() {
			for i, n := range p.nodes {
				n.dead = true
				p.nodes[i] = p.newNode(i, p.spell(0.01, 0.5))
			}
		})
	}
	if p.is("burst") {
		at(p.start-p.spell(1, 6), func() { p.factor = 0 })
		crowd := p.start + p.spell(0, p.cold.Seconds()/2)
		at(crowd, func() {
			p.factor = 4
			for range int(p.rate) / 2 { // at once
				p.request(false)
			}
		})
		at(crowd+2*time.Second, func() { p.factor = 1 })
	}
	if p.is("doubt") {
		at(p.start, func() {
			for i, sv := range p.servers[min(len(few), len(p.servers)/2):] {
				sv.full, sv.hang = i%2 == 0, i%2 == 1
			}
		})
		at(p.start+6*time.Second, func() {
			for _, sv := range p.servers {
				sv.full, sv.hang = false, false
			}
		})
	}
	if p.is("shift") {
		for k := range 10 {
			at(time.Duration(k)*5*time.Second, func() { p.deal(len(p.nodes)) })
		}
	}
	if p.is("flap") {
		for k := range 3 {
			off := p.start + time.Duration(2*k+1)*1500*time.Millisecond
			at(off, func() { few[0].listed = false; p.tell(told) })
			at(off+1200*time.Millisecond, func() { few[0].listed = true; p.tell(told) })
		}
	}
	at(p.start, boot(few))
}

// worst is the most that a cold process got within any window of the span, over what the term lets it: N + 2√N + 2, N
// being the multiple of what the settings say that it can do within that window (the integral of the rising share
// over it). A window counts that ends while the process is cold. used is the part of all N that was got.
func (p *coldPlay) worst() (ratio float64, count int, n, used float64) {
	total, got := 0.0, 0
	for _, sv := range p.servers {
		warm := float64(sv.slots) / sv.work.Seconds()
		for _, proc := range append(sv.past, coldProcess{sv.started, sv.calls}) {
			if proc.started < p.start {
				continue
			}
			one := coldServer{started: proc.started}
			for j, from := range proc.calls {
				if from >= proc.started+p.cold {
					break
				}
				got++
				k := j
				for k < len(proc.calls) && proc.calls[k] < from+p.span {
					k++
				}
				most := p.multiple * warm * p.share(&one, from+p.span/2) * p.span.Seconds() // the share rises evenly
				if r := float64(k-j) / (most + 2*math.Sqrt(most) + 2); r > ratio && from+p.span <= proc.started+p.cold {
					ratio, count, n = r, k-j, most
				}
			}
			total += p.multiple * warm * (1 + p.from) / 2 * p.cold.Seconds()
		}
	}
	return ratio, count, n, float64(got) / max(total, 1)
}

func (p *coldPlay) play() {
	p.script()
	p.arrive()
	for p.events.Len() > 0 && p.now < p.end {
		e := heap.Pop(&p.events).(coldEvent)
		p.now = e.at
		e.do()
	}
}

// Whatever a fleet of any size goes through, all its nodes together must not push a cold server over: within any
// window it gets at most N + 2√N + 2. N is two to four times what a cold server can do by then and many plays have
// lulls or outages, so the part of N that is used, and what is served, may be low; far lower would be starving.
func TestColdServersBearTheSumOfAllNodes(t *testing.T) {
	type tally struct {
		plays, broke int
		worst        string
		ratio        float64
		used, served float64
	}
	var mu sync.Mutex
	sums := map[string]*tally{}
	note := func(key string, ratio, used, served float64, what string) {
		s := sums[key]
		if s == nil {
			s = &tally{}
			sums[key] = s
		}
		s.plays++
		s.used, s.served = s.used+used, s.served+served
		if ratio > 1 {
			s.broke++
		}
		if ratio > s.ratio {
			s.ratio, s.worst = ratio, what
		}
	}
	seeds := cmp.Or(*coldSeeds, 52) // of each size
	if underRace {
		seeds = cmp.Or(*coldSeeds, len(coldScenes))
	}
	t.Run("plays", func(t *testing.T) {
		for _, nodes := range []int{1, 4, 20, 30} {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
					t.Parallel()
					p := newColdPlay(nodes, uint64(seed))
					p.play()
					ratio, count, n, used := p.worst()
					what := fmt.Sprintf("%s %s, %d nodes, seed %d: %d calls where N is %.1f and %.1f are borne", p.scene, p.also, nodes,
						seed, count, n, n+2*math.Sqrt(n)+2)
					if ratio > 1 {
						t.Error(what)
					}
					mu.Lock()
					defer mu.Unlock()
					served := float64(p.done) / float64(max(1, p.arrived))
					note(p.scene, ratio, used, served, what)
					note(strconv.Itoa(nodes)+" nodes", ratio, used, served, what)
				})
			}
		}
	})
	for _, key := range slices.SortedFunc(maps.Keys(sums), strings.Compare) {
		s := sums[key]
		k := float64(s.plays)
		if strings.HasSuffix(key, " nodes") && s.plays >= 50 && (s.used < 0.11*k || s.served < 0.45*k) {
			t.Errorf("%s: too little to the cold, or served", key)
		}
		t.Logf("%-8s %d of %d broke; used %.3f of N, served %.3f; nearest %.2f: %s", key, s.broke, s.plays, s.used/k,
			s.served/k, s.ratio, s.worst)
	}
}
