package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/transport"
)

// HollowConfig is the first line on the hollow nodes' standard input.
type HollowConfig struct {
	Config
	Servers []string // addresses, by number
}

// hollowWord is a line that they write: addresses first, then one for each order.
type hollowWord struct {
	Nodes   []string       `json:"nodes,omitempty"`   // datagram addresses of hollow nodes,
	Proxies []string       `json:"proxies,omitempty"` // of each real node as the other real nodes see it,
	All     string         `json:"all,omitempty"`     // and that reaches all
	Error   string         `json:"error,omitempty"`
	Ready   bool           `json:"ready,omitempty"` // all nodes have the first list
	Report  *hollowReport  `json:"report,omitempty"`
	Section *hollowSection `json:"section,omitempty"`
}

// hollowOrder is a line on their standard input after the first.
type hollowOrder struct {
	Do      string   `json:"do"`                // start, ready, load, rest, dead, alive, roll, section, report
	Real    []string `json:"real,omitempty"`    // start: datagram addresses of the real nodes
	Agent   string   `json:"agent,omitempty"`   // start: discovery's, for all hollow nodes
	Servers []int    `json:"servers,omitempty"` // dead, alive
	Nodes   []int    `json:"nodes,omitempty"`   // roll: hollow nodes, from 0
	Ms      int      `json:"ms,omitempty"`      // roll: how long they are away
}

// hollowReport is what they saw.
type hollowReport struct {
	hollowSection
	Unanswered int64        `json:"unanswered"`
	Doubled    int64        `json:"doubled"`
	Late       int64        `json:"late"` // attempts begun at a server longer drained than grace and slack, by the node's own clock
	Load       []int64      `json:"load"` // attempts begun, by server
	Lists      []listTaken  `json:"lists"`
	Peers      []peersBytes `json:"peers"`
	Lost       int64        `json:"lost"`        // messages to all that found the relay's queue full
	LagP99     float64      `json:"lag_ms"`      // how late requests were begun,
	TickLag    float64      `json:"tick_lag_ms"` // and nodes looked at the time
	ForS       float64      `json:"for_s"`
}

// hollowSection counts requests since the last such count.
type hollowSection struct {
	Sent      int64   `json:"sent"`
	Completed int64   `json:"completed"`
	Refused   int64   `json:"refused"`
	Failed    int64   `json:"failed"`
	LateWord  int64   `json:"late_answers"`
	Skipped   int64   `json:"skipped"` // not begun, as too many were under way
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
}

// listTaken is when each hollow node had taken in a list, Unix µs; 0: it was away.
type listTaken struct {
	Rev uint64  `json:"rev"`
	At  []int64 `json:"at"`
}

// peersBytes are datagrams of one kind at all hollow nodes.
type peersBytes struct {
	Mark     byte  `json:"mark"`
	In       int64 `json:"in"`
	InBytes  int64 `json:"in_bytes"`
	Out      int64 `json:"out"`
	OutBytes int64 `json:"out_bytes"`
}

// marks are the first bytes of messages: use, grants, doubts, asks, and others.
var marks = [...]byte{0xC8, 0xC9, 0xCA, 0xCB, 0}

const (
	waitingAll = 256  // messages to all that wait
	mostOpen   = 1024 // requests under way at all hollow nodes
	firstList  = 60 * time.Second
	firstLook  = 50 * time.Millisecond
)

type hollow struct {
	cfg     HollowConfig
	nodes   []*hollowNode
	crowds  []crowd
	number  map[netip.AddrPort]int // of servers
	dead    []atomic.Bool
	load    []atomic.Int64
	real    []netip.AddrPort
	realBy  map[netip.AddrPort]int
	proxies []*net.UDPConn
	all     *net.UDPConn
	toAll   chan broadcast
	lost    atomic.Int64
	traffic [len(marks)]struct{ in, inBytes, out, outBytes atomic.Int64 }
	loaded  atomic.Bool
	began   time.Time
	ready   chan struct{}
	gate    chan struct{} // see gated
	rngs    sync.Pool

	peers    *protocol.PeerTable
	fan      sync.Mutex          // a list is being handed out
	state    []protocol.Endpoint // as last told, by server
	listedAs []bool
	history  []*protocol.EndpointList
	lists    []listTaken

	mu                           sync.Mutex
	section                      hollowSection
	total                        hollowSection
	unanswered, doubled, lateRun atomic.Int64
	took, tookAll, lag, tickLag  *hdr.Histogram
}

type broadcast struct {
	from int
	text []byte
}

type hollowNode struct {
	h      *hollow
	number int // in the tier
	conn   *net.UDPConn
	addr   netip.AddrPort
	away   atomic.Bool
	life   atomic.Pointer[life]
}

// life is one start of a hollow node.
type life struct {
	router *routing.Router
	timer  *time.Timer
	due    atomic.Int64 // when the timer is to go off, Unix ns
	over   atomic.Bool
	open   atomic.Int64

	mu      sync.Mutex
	drained map[int]time.Time // servers that it was told not to use, and when
}

// Hollow plays the hollow nodes until standard input ends.
func Hollow(in io.Reader, out io.Writer) error {
	dec, enc := json.NewDecoder(in), json.NewEncoder(out)
	h := &hollow{
		number: map[netip.AddrPort]int{}, realBy: map[netip.AddrPort]int{}, toAll: make(chan broadcast, waitingAll),
		ready: make(chan struct{}), took: newHist(), tookAll: newHist(), lag: newHist(), tickLag: newHist(),
	}
	if err := dec.Decode(&h.cfg); err != nil {
		return err
	}
	runtime.GOMAXPROCS(h.cfg.cores())
	h.gate = make(chan struct{}, max(1, h.cfg.cores()-1))
	debug.SetGCPercent(30) // large and long-lived
	word, err := h.open()
	if err != nil {
		return err
	}
	for err := enc.Encode(word); ; err = enc.Encode(word) {
		if err != nil {
			return err
		}
		var o hollowOrder
		if err := dec.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		word = h.do(o)
	}
}

func newHist() *hdr.Histogram { return hdr.New(1, 600e6, 3) }

// open makes the sockets.
func (h *hollow) open() (w hollowWord, err error) {
	var seeds atomic.Uint64
	h.rngs.New = func() any { return rand.New(rand.NewPCG(h.cfg.Seed, 1<<32|seeds.Add(1))) }
	for i, s := range h.cfg.Servers {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return w, err
		}
		h.number[addr] = i
	}
	h.state, h.listedAs = make([]protocol.Endpoint, len(h.cfg.Servers)), make([]bool, len(h.cfg.Servers))
	h.dead, h.load = make([]atomic.Bool, len(h.cfg.Servers)), make([]atomic.Int64, len(h.cfg.Servers))
	h.crowds = crowds(h.cfg.Config, func(node int) bool { return node >= h.cfg.Real })
	listen := func(block, i int) (*net.UDPConn, string, error) {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(loopback(block, i, 0))))
		if err != nil {
			return nil, "", err
		}
		return c, c.LocalAddr().String(), nil
	}
	for i := range h.cfg.Hollow {
		c, addr, err := listen(64, i)
		if err != nil {
			return w, err
		}
		h.nodes = append(h.nodes, &hollowNode{h: h, number: h.cfg.Real + i, conn: c, addr: netip.MustParseAddrPort(addr)})
		w.Nodes = append(w.Nodes, addr)
	}
	for i := range h.cfg.Real {
		c, addr, err := listen(80, i)
		if err != nil {
			return w, err
		}
		h.proxies = append(h.proxies, c)
		w.Proxies = append(w.Proxies, addr)
	}
	h.all, w.All, err = listen(81, 0)
	return w, err
}

func (h *hollow) do(o hollowOrder) (w hollowWord) {
	switch o.Do {
	case "start":
		if err := h.start(o); err != nil {
			return hollowWord{Error: err.Error()}
		}
	case "ready":
		select {
		case <-h.ready:
			w.Ready = true
		case <-time.After(firstList):
			w.Error = "the hollow nodes took in no list in time"
		}
	case "load", "rest":
		h.loaded.Store(o.Do == "load")
	case "dead", "alive":
		for _, i := range o.Servers {
			h.dead[i].Store(o.Do == "dead")
		}
	case "roll":
		h.roll(o.Nodes, time.Duration(o.Ms)*time.Millisecond)
	case "section":
		s := h.cut()
		w.Section = &s
	case "report":
		w.Report = h.report()
	default:
		w.Error = fmt.Sprintf("unknown order %q", o.Do)
	}
	return w
}

// start makes the routers, which hear and are told of servers from now on.
func (h *hollow) start(o hollowOrder) error {
	for i, s := range o.Real {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return err
		}
		h.real = append(h.real, addr)
		h.realBy[addr] = i
	}
	addrs := append([]netip.AddrPort(nil), h.real...)
	for _, n := range h.nodes {
		addrs = append(addrs, n.addr)
	}
	h.peers = protocol.NewPeerTable(addrs, netip.AddrPort{})
	h.began = time.Now()
	each(h.nodes, func(n *hollowNode) { n.life.Store(n.begin(h.cfg.Seed, h.peers)) })
	for _, n := range h.nodes {
		go n.hear(h.peers)
		n.life.Load().router.Tick()
	}
	for i := range h.proxies {
		go h.proxy(i)
	}
	go h.relay()
	go h.tellAll()
	none := zerolog.Nop()
	var once sync.Once
	watch := &transport.DiscoveryClient{Addr: o.Agent, Full: true, Limits: transport.Limits{
		Sockets: 64, MemoryMB: 64,
		ConnectTimeout: time.Second,
	}, Log: &none, Counters: &transport.Counters{}, OnList: func(l *protocol.EndpointList) {
		h.listed(l)
		once.Do(func() { close(h.ready) })
	}, OnFailure: func() {
		each(h.nodes, func(n *hollowNode) { n.life.Load().router.PollFailed() })
	}}
	go watch.Run()
	go h.arrive()
	return nil
}

// each calls f for all nodes, on all cores.
func each(nodes []*hollowNode, f func(n *hollowNode)) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < int64(len(nodes)); i = next.Add(1) - 1 {
				f(nodes[i])
			}
		}()
	}
	wg.Wait()
}

// begin is a fresh start of the node.
func (n *hollowNode) begin(seed uint64, peers *protocol.PeerTable) *life {
	l := &life{drained: map[int]time.Time{}}
	l.timer = time.AfterFunc(time.Hour, func() {
		select {
		case <-n.h.ready:
		default: // until all have their first list, those that have it look at nothing: a set-up would take minutes
			l.timer.Reset(firstLook)
			return
		}
		due := time.Unix(0, l.due.Load())
		n.h.gated(func() {
			if !l.over.Load() || l.open.Load() > 0 {
				n.h.noteTick(due)
				l.router.Tick()
			}
		})
	})
	l.router = routing.New(routing.Config{
		Seed:     rand.New(rand.NewPCG(seed, uint64(n.number))).Uint64(),
		Settings: moduleSettings(n.h.cfg.Config, n.number), SetTimer: func(after time.Duration) {
			l.due.Store(time.Now().Add(after).UnixNano())
			l.timer.Reset(after)
		},
		SendToPeer: func(peer int, text []byte) { n.tell(peers, l, peer, text) }, PollEndpoints: func() {}, LogSummary: func([]byte) {},
	})
	return l
}

// tell sends a message: to one node, as a datagram; to all, over the relay's queue, and as a datagram to real nodes.
func (n *hollowNode) tell(peers *protocol.PeerTable, l *life, peer int, text []byte) {
	if len(text) > protocol.MaxDatagram || l.over.Load() {
		return
	}
	n.h.count(text, false)
	if peer < 0 {
		for _, addr := range n.h.real {
			n.conn.WriteToUDPAddrPort(text, addr)
		}
		n.h.broadcast(n.number, text)
		return
	}
	if to, ok := peers.AddrOf(peer); ok {
		n.conn.WriteToUDPAddrPort(text, to)
	}
}

// gated lets so many calls into modules go at once as leave a core for lists and orders: where the module does not fit the
// cores, its calls wait here, and the run goes on to say so.
func (h *hollow) gated(f func()) {
	h.gate <- struct{}{}
	f()
	<-h.gate
}

// noteTick notes how late a node looks at the time.
func (h *hollow) noteTick(due time.Time) {
	late := max(1, time.Since(due).Microseconds())
	h.mu.Lock()
	_ = h.tickLag.RecordValue(late)
	h.mu.Unlock()
}

func (h *hollow) count(text []byte, in bool) {
	k := 0
	for k < len(marks)-1 && text[0] != marks[k] {
		k++
	}
	t := &h.traffic[k]
	if in {
		t.in.Add(1)
		t.inBytes.Add(int64(len(text)))
	} else {
		t.out.Add(1)
		t.outBytes.Add(int64(len(text)))
	}
}

func (h *hollow) broadcast(from int, text []byte) {
	select {
	case h.toAll <- broadcast{from, append([]byte(nil), text...)}:
	default:
		h.lost.Add(1)
	}
}

// tellAll hands messages to all to each hollow node, without a socket.
func (h *hollow) tellAll() {
	for b := range h.toAll {
		for _, n := range h.nodes {
			if n.number != b.from {
				n.heard(b.from, b.text)
			}
		}
	}
}

func (n *hollowNode) heard(from int, text []byte) {
	if !n.away.Load() {
		n.h.count(text, true)
		n.life.Load().router.ReceivePeerMessage(from, text)
	}
}

// hear passes on datagrams.
func (n *hollowNode) hear(peers *protocol.PeerTable) {
	buf := make([]byte, protocol.MaxDatagram+1)
	for {
		k, addr, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from, ok := peers.NumberOf(addr, k); ok {
			n.heard(from, buf[:k])
		}
	}
}

// proxy stands for the i-th real node before the other real ones, which know it by this address: what they send it goes
// on to it from the address by which it knows the sender, as a node tells its peers by where a datagram comes from.
func (h *hollow) proxy(i int) {
	buf := make([]byte, 2048)
	for {
		k, addr, err := h.proxies[i].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if from, ok := h.realBy[addr]; ok && from != i {
			h.proxies[from].WriteToUDPAddrPort(buf[:k], h.real[i])
		}
	}
}

// relay stands for the address that reaches all: what a real node sends there goes on to the other real ones by their
// proxies, and to the hollow ones.
func (h *hollow) relay() {
	buf := make([]byte, 2048)
	for {
		k, addr, err := h.all.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from, ok := h.realBy[addr]
		if !ok || k == 0 || k > protocol.MaxDatagram {
			continue
		}
		for i, to := range h.real {
			if i != from {
				h.proxies[from].WriteToUDPAddrPort(buf[:k], to)
			}
		}
		h.broadcast(from, buf[:k])
	}
}

// roll starts nodes anew: they are away for a time, and then know nothing but the list.
func (h *hollow) roll(numbers []int, away time.Duration) {
	var nodes []*hollowNode
	for _, i := range numbers {
		if i >= 0 && i < len(h.nodes) {
			nodes = append(nodes, h.nodes[i])
			h.nodes[i].away.Store(true)
		}
	}
	time.Sleep(away)
	h.fan.Lock()
	known, upTo, seed := h.known(), len(h.history), h.cfg.Seed+uint64(len(h.history))
	h.fan.Unlock()
	lives := make([]*life, len(h.nodes))
	each(nodes, func(n *hollowNode) {
		l := n.begin(seed, h.peers)
		l.listed(known, h, true)
		lives[n.number-h.cfg.Real] = l
	})
	h.fan.Lock() // what was told meanwhile, as its watch would bring it
	defer h.fan.Unlock()
	each(nodes, func(n *hollowNode) {
		l := lives[n.number-h.cfg.Real]
		for _, list := range h.history[upTo:] {
			l.listed(list, h, false)
		}
		n.life.Swap(l).over.Store(true)
		n.away.Store(false)
		l.router.Tick()
	})
}

// known is the whole list as told so far; under the fan lock.
func (h *hollow) known() *protocol.EndpointList {
	l := &protocol.EndpointList{Full: true}
	for i, t := range h.state {
		if h.listedAs[i] && t.State != protocol.Terminated {
			l.Endpoints = append(l.Endpoints, t)
		}
	}
	return l
}

// listed hands a list to all hollow nodes and notes when each had taken it in.
func (h *hollow) listed(l *protocol.EndpointList) {
	h.fan.Lock()
	defer h.fan.Unlock()
	if l.Full {
		clear(h.listedAs)
	}
	for _, t := range l.Endpoints {
		if i, ok := h.number[t.Addr]; ok {
			h.state[i], h.listedAs[i] = t, true
		}
	}
	h.history = append(h.history, l)
	t := listTaken{Rev: l.Revision, At: make([]int64, len(h.nodes))}
	each(h.nodes, func(n *hollowNode) {
		if !n.away.Load() {
			n.life.Load().listed(l, h, false)
			t.At[n.number-h.cfg.Real] = time.Now().UnixMicro()
		}
	})
	h.lists = append(h.lists, t)
}

func (l *life) listed(list *protocol.EndpointList, h *hollow, old bool) {
	l.router.UpdateEndpoints(list, old)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range list.Endpoints {
		i, ok := h.number[t.Addr]
		if !ok {
			continue
		}
		if _, since := l.drained[i]; t.State == protocol.InService {
			delete(l.drained, i)
		} else if !since {
			l.drained[i] = now
		}
	}
}

// arrive begins requests at all hollow nodes, at times drawn in advance whatever becomes of those before.
func (h *hollow) arrive() {
	rate := h.cfg.HollowRate * float64(len(h.nodes))
	if rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(h.cfg.Seed, 0x686f))
	for due := time.Now(); ; due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		n := h.nodes[rng.IntN(len(h.nodes))]
		t, k := h.crowds[n.number].draw(rng), pickClass(rng)
		if !h.loaded.Load() || n.away.Load() {
			continue
		}
		h.mu.Lock()
		if h.unanswered.Load() >= mostOpen {
			h.section.Skipped++
			h.mu.Unlock()
			continue
		}
		h.section.Sent++
		_ = h.lag.RecordValue(max(1, time.Since(due).Microseconds()))
		h.mu.Unlock()
		h.unanswered.Add(1)
		go h.request(n, t, k, due)
	}
}

// attempt is one attempt at a time of a hollow node's request.
type attempt struct {
	mu        sync.Mutex
	nth       int
	withdrawn chan struct{}
	last      int // that was withdrawn
}

// Cancel ends the nth attempt.
func (a *attempt) Cancel(nth int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last = nth; nth == a.nth && a.withdrawn != nil {
		close(a.withdrawn)
		a.withdrawn = nil
	}
}

func (a *attempt) begin(nth int) (withdrawn chan struct{}, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last == nth {
		return nil, false
	}
	a.nth, a.withdrawn = nth, make(chan struct{})
	return a.withdrawn, true
}

// request takes one synthetic request through the module to its answer.
func (h *hollow) request(n *hollowNode, t tenant, k *class, due time.Time) {
	l, a := n.life.Load(), &attempt{last: -1, nth: -1}
	l.open.Add(1)
	defer l.open.Add(-1)
	ticket := l.router.NewRequest(a)
	h.gated(func() {
		ticket.Start(&protocol.Request{
			Method: k.method, Class: k.name, Plan: plans[t.plan].name, Customer: t.key, Timeout: k.wait,
			Units: 1, Spread: t.spread, FirstNode: t.first,
		}, k.wait-time.Since(due))
	})
	answer, ran := 0, 0
	for answer == 0 {
		switch c := ticket.Next(); c.Action {
		case routing.Forward:
			began := time.Now()
			o, begun := h.run(l, a, c)
			if begun {
				ran++
			}
			end := routing.AttemptResult{Outcome: o, Duration: time.Since(began)}
			h.gated(func() { ticket.Report(end) })
			if o == protocol.Completed {
				answer = 200
			}
		case routing.Reject:
			answer = 503
		default:
			answer = 502
		}
	}
	ticket.Release()
	took := time.Since(due)
	h.unanswered.Add(-1)
	if ran > 1 && !k.repeats {
		h.doubled.Add(1)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if took > k.wait+slack {
		h.section.LateWord++
	}
	switch answer {
	case 200:
		h.section.Completed++
		_ = h.took.RecordValue(max(1, took.Microseconds()))
		_ = h.tookAll.RecordValue(max(1, took.Microseconds()))
	case 503:
		h.section.Refused++
	default:
		h.section.Failed++
	}
}

// run is an attempt at a hollow server, which takes a drawn time unless it is dead by then; it tells whether it began.
func (h *hollow) run(l *life, a *attempt, c routing.Decision) (protocol.Outcome, bool) {
	withdrawn, ok := a.begin(c.Attempt)
	if !ok || !l.router.InService(c.Server) {
		return protocol.NotSent, false
	}
	i, ok := h.number[c.Server.Addr]
	if !ok {
		return protocol.ConnectFailed, false
	}
	l.mu.Lock()
	since, drains := l.drained[i]
	l.mu.Unlock()
	if drains && time.Since(since) > grace+slack {
		h.lateRun.Add(1)
	}
	if h.dead[i].Load() {
		return protocol.ConnectFailed, false
	}
	h.load[i].Add(1)
	rng := h.rngs.Get().(*rand.Rand)
	took := serviceTime(rng)
	h.rngs.Put(rng)
	timer := time.NewTimer(min(took, c.Timeout))
	defer timer.Stop()
	select {
	case <-withdrawn:
		return protocol.Cancelled, true
	case <-timer.C:
	}
	switch {
	case h.dead[i].Load():
		return protocol.ConnectionReset, true
	case took > c.Timeout:
		return protocol.TimedOut, true
	}
	return protocol.Completed, true
}

// cut gives the requests counted since the last cut.
func (h *hollow) cut() hollowSection {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.section
	s.P50, s.P99 = quantile(h.took, 50), quantile(h.took, 99)
	h.total.Sent += s.Sent
	h.total.Completed += s.Completed
	h.total.Refused += s.Refused
	h.total.Failed += s.Failed
	h.total.LateWord += s.LateWord
	h.total.Skipped += s.Skipped
	h.section = hollowSection{}
	h.took.Reset()
	return s
}

// report waits for the last answers, as long as a client would, and gives all counts.
func (h *hollow) report() *hollowReport {
	h.loaded.Store(false)
	for end := time.Now().Add(lastAnswers()); h.unanswered.Load() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	h.cut()
	r := &hollowReport{
		Unanswered: h.unanswered.Load(), Doubled: h.doubled.Load(), Late: h.lateRun.Load(),
		Lost: h.lost.Load(), ForS: time.Since(h.began).Seconds(), Load: make([]int64, len(h.load)),
	}
	h.mu.Lock()
	r.hollowSection = h.total
	r.P50, r.P99, r.LagP99 = quantile(h.tookAll, 50), quantile(h.tookAll, 99), quantile(h.lag, 99)
	r.TickLag = quantile(h.tickLag, 99)
	h.mu.Unlock()
	for i := range h.load {
		r.Load[i] = h.load[i].Load()
	}
	h.fan.Lock()
	r.Lists = h.lists
	h.fan.Unlock()
	for k := range marks {
		t := &h.traffic[k]
		r.Peers = append(r.Peers, peersBytes{marks[k], t.in.Load(), t.inBytes.Load(), t.out.Load(), t.outBytes.Load()})
	}
	return r
}

// lastAnswers is how long after the last request every answer must be there.
func lastAnswers() time.Duration {
	longest := time.Duration(0)
	for _, k := range classes {
		longest = max(longest, k.wait)
	}
	return longest + time.Second
}

// quantile is in ms; 0 of nothing.
func quantile(x *hdr.Histogram, q float64) float64 {
	if x.TotalCount() == 0 {
		return 0
	}
	return float64(x.ValueAtQuantile(q)) / 1e3
}
