package routing_test

// What the module's work costs an edge node as the fleet grows, in virtual time: a group of nodes runs the real
// module through routing's public API, with a whole fleet's settings and list of app servers; what the fleet's
// other nodes would do is not played. See docs/lab.md, "Slopes".

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// scale is the size of what is played.
type scale struct {
	Servers int     `json:"servers"`
	Nodes   int     `json:"nodes"`   // of the fleet, by the settings
	Spread  int     `json:"spread"`  // nodes that take in a tenant
	Tenants int     `json:"tenants"` // that come to the group
	Rate    float64 `json:"rate"`    // requests a second at each node of the group
	Failed  float64 `json:"failed"`  // share of attempts: errors, broken connections, turned away
}

const (
	group       = 3                     // nodes that are played, wired to each other
	oneWay      = time.Millisecond      // of a datagram between them
	usual       = 30 * time.Millisecond // median of an attempt
	changeRate  = 3                     // one-server changes a second: each second one server is replaced
	takes       = 40                    // datagrams a second that the platform lets a node take in
	manyChanges = 100
	skew        = 1.1 // of the tenants' Zipf law
)

// The first byte of a datagram tells its kind.
const (
	useKind = iota
	grantKind
	doubtKind
	askKind
	kinds
)

const firstKind = 0xC8

var kindNames = [kinds]string{"use", "grant", "doubts", "ask"}

// classes are the played classes of request; times in tenths of a millisecond.
var classes = []struct {
	name, repeats string
	target, left  int
	share         float64
}{
	{"read", "replayable", 5000, 10000, 0.7},
	{"lookup", "referenced", 6000, 12000, 0.2},
	{"order", "single-use", 10000, 20000, 0.1},
}

// fleetSettings are a whole fleet's, as the platform gives them (compare internal/lab/model's DefaultSettings and
// deploy/sites).
func fleetSettings(s scale, node int) map[string]string {
	set := map[string]string{
		"node": strconv.Itoa(node), "nodes": strconv.Itoa(s.Nodes), "tick": "20", "roster": "push",
		"executions": "3", "copies": "false", "withdraw": "true", "peers": "true", "peers.take": strconv.Itoa(takes),
		"advice": "true", "advice.most": "20000", "idle": "300000", "connect": "2500", "largest": "6",
		"cold.from": "0.25", "cold.span": "100000", "fall.multiple": "3", "fall.span": "20000",
		"band.count": strconv.Itoa(len(classes)), "plan.count": "3",
	}
	for i, c := range classes {
		p := "band." + strconv.Itoa(i) + "."
		set[p+"name"], set[p+"repeats"], set[p+"group"], set[p+"gain"] = c.name, c.repeats, "all", "1"
		set[p+"contract"], set[p+"outer"], set[p+"window"] = strconv.Itoa(c.target), strconv.Itoa(c.left), "20000"
	}
	more := s.Rate / 85 // so that quotas bind alike at all rates
	units := func(v float64) string { return strconv.FormatFloat(v*more, 'f', 3, 64) }
	for i, p := range []map[string]string{
		{"name": "team", "rate": units(100), "depth": units(200)},
		{"name": "solo", "rate": units(20), "depth": units(40)},
		{"name": "metered", "rate": units(50), "depth": units(80), "ceiling.rate": units(60), "ceiling.depth": units(120)},
	} {
		for k, v := range p {
			set["plan."+strconv.Itoa(i)+"."+k] = v
		}
	}
	return set
}

// planOf is a tenant's plan: of twenty tenants one is metered and five are small.
func planOf(tenant int) string {
	switch {
	case tenant%20 == 7:
		return "metered"
	case tenant%4 == 2:
		return "solo"
	}
	return "team"
}

// figures are one play's results by name.
type figures map[string]float64

// world is one play.
type world struct {
	scale
	rng     *rand.Rand
	zipf    *rand.Zipf
	epoch   time.Time
	now     time.Duration
	seq     uint64
	queue   events
	nodes   []*edge
	targets []protocol.Endpoint
	born    int           // servers ever made
	step    int           // of the changes
	reading time.Duration // what reading the thread's CPU time costs
	times   *timings
	events  int
}

// edge is one node of the group.
type edge struct {
	id     int
	w      *world
	router *routing.Router
	ready  []*routing.Request
	open   map[*routing.Request]*request
	spare  []*routing.Request
	gen    uint64        // of its one timer
	noted  bool          // the interval was closed in the call under way
	until  time.Duration // in the replay of the lock: when its holder, or the last of who waits, is done
}

// request is one client's.
type request struct {
	e       *edge
	t       *routing.Request
	nth     int // attempts made; a withdrawn one's end is void by it
	sent    time.Duration
	units   float64
	out     bool
	started bool
	cost    time.Duration // CPU time of the calls up to the first attempt
	wall    time.Duration // the same by the clock
	added   time.Duration // time that the node's calls for it took, with the waits for its lock
}

// timings gathers what calls took, in ns of their thread's CPU time, while it is measured.
type timings struct {
	by                               map[string][]float64
	calls                            time.Duration // all calls' time
	added                            []float64
	taken, executed, refused, failed int
	completed                        int
	sent, sentBytes                  [kinds]int
	all, allBytes                    [kinds]int // of those, to every other node
	heard, heardBytes                [kinds]int
}

func (t *timings) note(op string, d time.Duration) { t.by[op] = append(t.by[op], float64(d)) }

const (
	evArrive = iota
	evTick
	evEnd
	evHeard
	evChange
)

type event struct {
	at      time.Duration
	seq     uint64
	kind    int
	e       *edge
	q       *request
	nth     int
	gen     uint64
	from    int
	text    []byte
	outcome protocol.Outcome
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *world) push(e event) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.queue, e)
}

func (w *world) clock() time.Time { return w.epoch.Add(w.now) }

// newTarget is an app server that started so long ago.
func (w *world) newTarget(i int, ago time.Duration) protocol.Endpoint {
	w.born++
	return protocol.Endpoint{
		UID:  fmt.Sprintf("srv-%08x-%05d", uint32(w.born)*2654435761, w.born),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(w.born >> 16), byte(w.born >> 8), byte(w.born)}), 9000),
		Zone: fmt.Sprintf("region-%d%c", i%2, 'a'+i/2%6), Model: "m" + strconv.Itoa(i%3), Cell: i % 64,
		State: protocol.InService, Weight: float64(1 + i%3), BootMs: w.clock().Add(-ago).UnixMilli(),
	}
}

// raw is a whole list as discovery writes it.
func (w *world) raw() []byte {
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
	for _, t := range w.targets {
		list.Targets = append(list.Targets, target{
			t.UID, t.Addr, t.Zone, t.Model, t.Cell,
			[]string{"in_service", "terminating", "terminated"}[t.State], t.Weight, t.BootMs,
		})
	}
	b, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return b
}

// newWorld makes the list of servers, but no node yet.
func newWorld(s scale, seed uint64) *world {
	s.Spread = min(s.Spread, s.Nodes)
	w := &world{scale: s, rng: rand.New(rand.NewPCG(seed, 0x736c6f7065)), epoch: time.Unix(1_800_000_000, 0)}
	runtime.LockOSThread() // the times are of one thread; the goroutine that plays keeps it to its end
	w.reading = time.Second
	for range 1000 {
		from := threadTime()
		w.reading = min(w.reading, threadTime()-from)
	}
	w.zipf = rand.NewZipf(w.rng, skew, 1, uint64(s.Tenants-1))
	for i := range s.Servers {
		w.targets = append(w.targets, w.newTarget(i, time.Hour+time.Duration(i)*time.Second))
	}
	return w
}

// addNode starts a node that is told the whole list.
func (w *world) addNode(seed uint64, list *protocol.EndpointList) time.Duration {
	e := &edge{id: len(w.nodes), w: w, open: map[*routing.Request]*request{}}
	w.nodes = append(w.nodes, e)
	e.router = routing.New(routing.Config{
		Seed: seed<<8 ^ uint64(e.id)*0x9e3779b97f4a7c15, Settings: fleetSettings(w.scale, e.id),
		Clock: w.clock, OnDecision: func(t *routing.Request) { e.ready = append(e.ready, t) }, PollEndpoints: func() {},
		LogSummary: func([]byte) { e.noted = true }, SendToPeer: e.tell,
		SetTimer: func(after time.Duration) {
			e.gen++
			w.push(event{at: w.now + max(after, 0), kind: evTick, e: e, gen: e.gen})
		},
	})
	took := e.call("", nil, func() { e.router.UpdateEndpoints(list, false) })
	e.call("", nil, e.router.Tick)
	return took
}

// key is a tenant's number, such that its home, which is a node of its set found from the key by the module, is one
// that is played: of a set's nodes the first are. So the group's messages are those of as many nodes of a fleet
// in which each is home to as many tenants.
func (w *world) key(tenant int) uint64 {
	return uint64(tenant/min(group, w.Spread)*w.Spread + tenant%min(group, w.Spread))
}

func (w *world) requestOf(tenant int, units float64) (protocol.Request, time.Duration) {
	at, u := 0, w.rng.Float64()
	for ; at < len(classes)-1 && u >= classes[at].share; at++ {
		u -= classes[at].share
	}
	return protocol.Request{
		Class: classes[at].name, Plan: planOf(tenant), Customer: w.key(tenant), Units: units,
		Spread: w.Spread, FirstNode: 0,
	}, time.Duration(classes[at].left) * 100 * time.Microsecond
}

// fill lets every tenant come once to every node, with no time left, so that the nodes know all and send nothing.
func (w *world) fill() {
	for _, e := range w.nodes {
		for tenant := range w.Tenants {
			q, _ := w.requestOf(tenant, 1)
			e.take(&q, 100*time.Microsecond)
		}
	}
}

// call times one call of the node, and the steps of requests that it made, and replays the wait for the node's lock as if
// all calls queued for it. Times are the thread's CPU time, so that others on the machine add less to them. Whatever the steps ask for is carried out after the clock has stopped.
func (e *edge) call(op string, q *request, f func()) time.Duration {
	type made struct {
		t *routing.Request
		c routing.Decision
	}
	var steps [8]made
	n := steps[:0]
	e.noted = false
	start, from := time.Now(), threadTime()
	f()
	for _, t := range e.ready {
		if c, ok := t.TryNext(); ok {
			n = append(n, made{t, c})
		}
	}
	took, wall := max(0, threadTime()-from-e.w.reading), time.Since(start)
	e.ready = e.ready[:0]
	e.until = max(e.until, e.w.now) + took
	if q != nil {
		q.added += e.until - e.w.now
	}
	for _, m := range n {
		o := e.open[m.t]
		if o == nil || o.started {
			continue
		}
		o.cost, o.wall = o.cost+took, o.wall+wall
		if o != q {
			o.added += e.until - e.w.now
		}
	}
	if s := e.w.times; s != nil {
		s.calls += took
		switch {
		case e.noted:
			s.note("interval", took)
		case op == "report" && len(n) > 0:
			s.note("again", took)
		case op != "":
			s.note(op, took)
		}
	}
	for _, m := range n {
		if o := e.open[m.t]; o != nil {
			e.carryOut(o, m.c)
		}
	}
	return took
}

// take brings a request to the node.
func (e *edge) take(p *protocol.Request, left time.Duration) {
	q := &request{e: e, units: p.Units}
	if k := len(e.spare); k > 0 {
		q.t, e.spare = e.spare[k-1], e.spare[:k-1]
	} else {
		c := &worker{e: e}
		c.t = e.router.NewRequest(c)
		q.t = c.t
	}
	e.open[q.t] = q
	if s := e.w.times; s != nil {
		s.taken++
	}
	t := q.t
	start := time.Now()
	took := e.call("take", q, func() { t.Start(p, left) })
	if e.open[t] == q && !q.started { // it waits, for its tenant's home
		q.cost, q.wall = took, time.Since(start)
	}
}

// worker is a connection, of whose request the module may withdraw the attempt that is out.
type worker struct {
	e *edge
	t *routing.Request
}

// Cancel ends the attempt, as a closed connection does.
func (c *worker) Cancel(nth int) {
	if q := c.e.open[c.t]; q != nil && q.out && nth == q.nth-1 {
		c.e.w.push(event{at: c.e.w.now, kind: evEnd, e: c.e, q: q, nth: q.nth, outcome: protocol.Cancelled})
	}
}

// carryOut does what a step says.
func (e *edge) carryOut(q *request, c routing.Decision) {
	s := e.w.times
	if c.Action != routing.Forward {
		if s != nil {
			s.refused++
		}
		e.done(q)
		return
	}
	if !q.started {
		q.started = true
		if s != nil {
			s.executed++
			s.note("pick", q.cost)
			s.note("pick by the clock", q.wall)
		}
	}
	q.nth++
	q.out, q.sent = true, e.w.now
	outcome, after := protocol.Completed, time.Duration(float64(usual)*math.Exp(0.4*e.w.rng.NormFloat64()))
	if e.w.rng.Float64() < e.w.Failed {
		switch k := e.w.rng.IntN(10); {
		case k < 5:
			outcome = protocol.Errored
		case k < 8:
			outcome, after = protocol.Overloaded, oneWay
		default:
			outcome = protocol.ConnectionReset
		}
	}
	if after >= c.Timeout {
		outcome, after = protocol.TimedOut, c.Timeout
	}
	e.w.push(event{at: e.w.now + after, kind: evEnd, e: e, q: q, nth: q.nth, outcome: outcome})
}

func (e *edge) done(q *request) {
	delete(e.open, q.t)
	e.spare = append(e.spare, q.t)
	if s := e.w.times; s != nil && q.started {
		s.added = append(s.added, float64(q.added))
	}
}

// end reports how an attempt ended.
func (e *edge) end(q *request, o protocol.Outcome) {
	q.out = false
	if s := e.w.times; s != nil {
		if o == protocol.Completed {
			s.completed++
		} else {
			s.failed++
		}
	}
	end := routing.AttemptResult{Outcome: o, Duration: e.w.now - q.sent, Units: q.units}
	e.call("report", q, func() { q.t.Report(end) })
	if o == protocol.Completed {
		e.done(q)
	}
}

// tell carries a node's datagram to those of the group that it is for.
func (e *edge) tell(peer int, text []byte) {
	kind := int(text[0]) - firstKind
	if s := e.w.times; s != nil && kind >= 0 && kind < kinds {
		s.sent[kind]++
		s.sentBytes[kind] += len(text)
		if peer < 0 {
			s.all[kind]++
			s.allBytes[kind] += len(text)
		}
	}
	for _, o := range e.w.nodes {
		if o != e && (peer < 0 || peer == o.id) {
			e.w.push(event{at: e.w.now + oneWay, kind: evHeard, e: o, from: e.id, text: text})
		}
	}
}

// hear brings a datagram to the node.
func (e *edge) hear(from int, text []byte) {
	if s, kind := e.w.times, int(text[0])-firstKind; s != nil && kind >= 0 && kind < kinds {
		s.heard[kind]++
		s.heardBytes[kind] += len(text)
	}
	e.call("heard", nil, func() {
		if !e.router.ReceivePeerMessage(from, text) {
			panic("a datagram that can't be read")
		}
	})
}

// change is the next one-server change of a day on which a server is replaced each second: it drains, it is gone, a new
// one starts in its place.
func (w *world) change() {
	i := w.step / 3 * 7919 % w.Servers
	t := w.targets[i]
	switch w.step % 3 {
	case 0:
		t.State = protocol.Terminating
	case 1:
		t.State = protocol.Terminated
	case 2:
		t = w.newTarget(i, 0)
	}
	w.targets[i] = t
	w.step++
	for _, e := range w.nodes {
		l := &protocol.EndpointList{Endpoints: []protocol.Endpoint{t}}
		e.call("change", nil, func() { e.router.UpdateEndpoints(l, false) })
	}
}

func (w *world) arrival(e *edge) {
	w.push(event{at: w.now + time.Duration(w.rng.ExpFloat64()/w.Rate*float64(time.Second)), kind: evArrive, e: e})
}

// begin starts the arrivals and the changes.
func (w *world) begin() {
	for _, e := range w.nodes {
		w.arrival(e)
	}
	w.push(event{at: w.now, kind: evChange})
}

// next plays one event.
func (w *world) next() int {
	v := heap.Pop(&w.queue).(event)
	w.now = v.at
	w.events++
	switch v.kind {
	case evArrive:
		w.arrival(v.e)
		q, left := w.requestOf(int(w.zipf.Uint64()), float64(1+w.rng.IntN(10)/8))
		v.e.take(&q, left)
	case evTick:
		if v.gen == v.e.gen {
			v.e.call("beat", nil, v.e.router.Tick)
		}
	case evEnd:
		if v.q.out && v.nth == v.q.nth {
			v.e.end(v.q, v.outcome)
		}
	case evHeard:
		v.e.hear(v.from, v.text)
	case evChange:
		w.change()
		w.push(event{at: w.now + time.Second/changeRate, kind: evChange})
	}
	return v.kind
}

// run plays so much more virtual time.
func (w *world) run(span time.Duration) {
	for end := w.now + span; w.queue[0].at <= end; {
		w.next()
	}
}

// measure starts the timings.
func (w *world) measure() { w.times = &timings{by: map[string][]float64{}} }

func heapNow() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// threadTime is the CPU time of the thread.
func threadTime() time.Duration {
	const clock = 3 // CLOCK_THREAD_CPUTIME_ID
	var t syscall.Timespec
	syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0)
	return time.Duration(t.Nano())
}

// cpuNow is the CPU time of the process, s.
func cpuNow() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// prepare makes a play whose nodes know their tenants and have found their limits.
func prepare(s scale, seed uint64, warm time.Duration) (w *world, f figures) {
	w, f = newWorld(s, seed), figures{}
	raw := w.raw()
	f["list KB"] = float64(len(raw)) / 1e3
	before := heapNow()
	for range group {
		start := threadTime()
		l, err := protocol.ParseEndpointList(raw)
		if err != nil {
			panic(err)
		}
		f["list: parse ms"] += ms(float64(threadTime()-start)) / group
		f["list: first ms"] += ms(float64(w.addNode(seed, &l))) / group
	}
	w.fill()
	w.begin()
	w.run(warm)
	f["heap MB"] = (heapNow() - before) / group / 1e6
	return w, f
}

// play is one play: prepared, measured over a span of virtual time, then changed a hundred times at once and told all.
func play(s scale, seed uint64, warm, span time.Duration) figures {
	w, f := prepare(s, seed, warm)
	w.measure()
	cpu, from := cpuNow(), w.now
	w.run(span)
	f["core: process %"] = 100 * (cpuNow() - cpu) / (w.now - from).Seconds() / group
	w.figures(f, (w.now - from).Seconds())
	w.times = nil
	many, lists := 0.0, 0.0
	for _, e := range w.nodes {
		for k := range manyChanges {
			t := w.targets[(k/2*31+1)%w.Servers]
			if k%2 == 0 {
				t.State = protocol.Terminating
			}
			l := &protocol.EndpointList{Endpoints: []protocol.Endpoint{t}}
			many += float64(e.call("", nil, func() { e.router.UpdateEndpoints(l, false) }))
		}
	}
	f["100 changes ms"] = ms(many / group)
	for _, e := range w.nodes {
		l := &protocol.EndpointList{Full: true, Endpoints: slices.Clone(w.targets)}
		lists += float64(e.call("", nil, func() { e.router.UpdateEndpoints(l, false) }))
	}
	f["list: again ms"] = ms(lists / group)
	return f
}

func us(ns float64) float64 { return ns / 1e3 }
func ms(ns float64) float64 { return ns / 1e6 }

// quantile is the exact one of the samples (nearest rank); 0 of none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(q*float64(len(sorted))))-1))]
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / max(1, float64(len(v)))
}

// figures sums up what was measured over so many virtual seconds.
func (w *world) figures(f figures, secs float64) {
	s := w.times
	for _, v := range s.by {
		slices.Sort(v)
	}
	slices.Sort(s.added)
	for _, op := range []string{"pick", "pick by the clock", "report"} {
		f[op+" p50 us"], f[op+" p99 us"] = us(quantile(s.by[op], 0.5)), us(quantile(s.by[op], 0.99))
	}
	f["again p50 us"], f["heard p50 us"] = us(quantile(s.by["again"], 0.5)), us(quantile(s.by["heard"], 0.5))
	f["change p50 us"], f["change max us"] = us(quantile(s.by["change"], 0.5)), us(quantile(s.by["change"], 1))
	f["beat mean us"], f["beat max us"] = us(mean(s.by["beat"])), us(quantile(s.by["beat"], 1))
	f["beats /s"] = float64(len(s.by["beat"])) / secs / group
	f["interval mean us"], f["interval max us"] = us(mean(s.by["interval"])), us(quantile(s.by["interval"], 1))
	f["added p50 us"], f["added p99 us"], f["added max us"] = us(quantile(s.added, 0.5)), us(quantile(s.added, 0.99)), us(quantile(s.added, 1))
	f["core: calls %"] = 100 * s.calls.Seconds() / secs / group
	f["taken /s"] = float64(s.taken) / secs / group
	f["let out %"] = 100 * float64(s.executed) / max(1, float64(s.taken))
	sent, got, bytes := 0.0, 0.0, 0.0
	for k, name := range kindNames {
		each := func(v [kinds]int) float64 { return float64(v[k]) / secs / group }
		f["sent "+name+" /s"], f["sent "+name+" B/s"] = each(s.sent), each(s.sentBytes)
		// What goes to one node goes to one of the group; what goes to all comes from all others of the fleet.
		in := each(s.sent) - each(s.all) + each(s.all)*float64(w.Nodes-1)
		inBytes := each(s.sentBytes) - each(s.allBytes) + each(s.allBytes)*float64(w.Nodes-1)
		f["heard "+name+" /s (computed)"], f["heard "+name+" B/s (computed)"] = in, inBytes
		if k != doubtKind { // too rare for a short play: see the play of doubts
			sent, got, bytes = sent+each(s.sent), got+in, bytes+each(s.sentBytes)+inBytes
		}
	}
	f["sent but doubts /s"], f["heard but doubts /s (computed)"], f["both ways but doubts B/s (computed)"] = sent, got, bytes
}

// benchSeed is the benchmarks' seed.
const benchSeed = 1

// benchScales are the sizes of the benchmarks, one matter changed at a time.
func benchScales() (out []scale) {
	base := scale{Servers: 2000, Nodes: 830, Spread: 3, Tenants: 1000, Rate: 85, Failed: 0.01}
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		s := base
		s.Servers = n
		out = append(out, s)
	}
	for _, n := range []int{4, 50, 300} {
		s := base
		s.Nodes = n
		out = append(out, s)
	}
	for _, n := range []int{100, 10000, 43000} {
		s := base
		s.Tenants = n
		out = append(out, s)
	}
	for _, r := range []float64{170, 340, 680} {
		s := base
		s.Rate = r
		out = append(out, s)
	}
	return out
}

func (s scale) String() string {
	return fmt.Sprintf("servers=%d/nodes=%d/tenants=%d/rate=%v", s.Servers, s.Nodes, s.Tenants, s.Rate)
}

// BenchmarkScale plays until b.N requests were taken; one op is one request with all that goes on beside it.
func BenchmarkScale(b *testing.B) {
	for _, s := range benchScales() {
		b.Run(s.String(), func(b *testing.B) {
			w, f := prepare(s, benchSeed, 6*time.Second)
			w.measure()
			from := w.now
			b.ResetTimer()
			for n := 0; n < b.N; {
				if w.next() == evArrive {
					n++
				}
			}
			b.StopTimer()
			w.figures(f, max(1e-3, (w.now-from).Seconds()))
			for _, m := range []string{
				"pick p50 us", "pick p99 us", "report p50 us", "change p50 us", "beat mean us", "beat max us",
				"interval max us", "core: calls %", "heap MB", "both ways but doubts B/s (computed)",
			} {
				b.ReportMetric(f[m], metricUnit(m))
			}
		})
	}
}

// metricUnit is a figure's name as ReportMetric wants it: without spaces.
func metricUnit(name string) string {
	out := []rune(name)
	for i, r := range out {
		if r == ' ' || r == ':' {
			out[i] = '-'
		}
	}
	return string(out)
}

// BenchmarkList tells a node the whole list again; BenchmarkParseList reads it from discovery's form.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			w := newWorld(scale{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, Failed: 0.01}, benchSeed)
			w.addNode(benchSeed, &protocol.EndpointList{Full: true, Endpoints: w.targets})
			for b.Loop() {
				w.nodes[0].router.UpdateEndpoints(&protocol.EndpointList{Full: true, Endpoints: w.targets}, false)
			}
		})
	}
}

func BenchmarkParseList(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			raw := newWorld(scale{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, Failed: 0.01}, benchSeed).raw()
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				if _, err := protocol.ParseEndpointList(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChange tells a node of one server's change.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{200, 500, 1000, 2000, 5000, 13000} {
		b.Run("servers="+strconv.Itoa(n), func(b *testing.B) {
			w := newWorld(scale{Servers: n, Nodes: 830, Spread: 3, Tenants: 100, Rate: 85, Failed: 0.01}, benchSeed)
			w.addNode(benchSeed, &protocol.EndpointList{Full: true, Endpoints: w.targets})
			k := 0
			for b.Loop() {
				t := w.targets[k/2*31%n]
				if k%2 == 0 {
					t.State = protocol.Terminating
				}
				k++
				w.nodes[0].router.UpdateEndpoints(&protocol.EndpointList{Endpoints: []protocol.Endpoint{t}}, false)
			}
		})
	}
}
