// Package healthlab plays a fleet's shared duties in virtual time: N nodes that each run the real internal/duties
// module, datagrams that are late, lost, doubled and out of order, and nodes that vanish, flap or can't hear each
// other. One goroutine and one event heap ordered by time and sequence; the same configuration gives the same run.
// It says how long each app server went unchecked, how often two nodes checked one, and what a node sent.
package healthlab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cherrygap/internal/healthcheck"
)

// Scenarios are the troubles that a run can bring, by name. Each begins a third into the run and ends at two thirds.
var Scenarios = []string{"calm", "vanish", "flap", "split", "lossy"}

// Config is one run.
type Config struct {
	Nodes, Servers int
	For            time.Duration // virtual
	Seed           uint64
	Scenario       string
	Take, Bytes    float64       // as healthcheck.Config has them
	Every          time.Duration // between two checks of a server
	Vanish         float64       // share of the nodes that vanish at once: 0.48 where not set
}

// Result is what a run showed. Times are seconds, figures those of simulated nodes.
type Result struct {
	Scenario     string  `json:"scenario"`
	Nodes        int     `json:"nodes"`
	Servers      int     `json:"servers"`
	Period       float64 `json:"ping_period_s"`
	Every        float64 `json:"check_period_s"`
	WorstGap     float64 `json:"worst_gap_s"`    // longest time that a server went unchecked
	WorstGapIn   float64 `json:"worst_gap_at_s"` // and when it ended
	Checks       int64   `json:"checks"`
	Doubled      int64   `json:"doubled"` // checks within half a check period of the last one by another node
	BytesMean    float64 `json:"bytes_a_node_a_second"`
	BytesMost    float64 `json:"bytes_a_second_of_the_busiest_node"`
	MessagesMost float64 `json:"messages_a_second_into_the_busiest_node"`
	Held         int64   `json:"held_back"`
	WrongDeaths  int     `json:"wrong_deaths"` // at the end: members taken for dead, of all nodes; all are up then
	Settled      float64 `json:"settled_s"`    // from the end of the trouble until all agree on who is alive; -1: never
}

type event struct {
	at   time.Duration
	seq  int
	node int // trouble and sample are the fleet's own
	life int
	from int
	text []byte // a datagram; nil: a wake
	ran  *healthcheck.Check
}

const (
	trouble = -1 - iota // begins or ends
	sample              // of who agrees, each second after the trouble
)

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

type node struct {
	duty *healthcheck.Scheduler
	life int // how often it has started
	up   bool
	wake time.Duration
	sent int64 // bytes of earlier lives
	in   int64
	held int64
}

type run struct {
	cfg    Config
	chance *rand.Rand
	now    time.Duration
	seq    int
	heap   events
	nodes  []*node
	duties []healthcheck.Check
	last   []time.Duration // of each server
	lastBy []int
	bad    bool // the trouble is on
	res    Result
}

// Play plays a run. It fails for a scenario that is not known or sizes below 2 nodes and 1 server.
func Play(cfg Config) (Result, error) {
	known := false
	for _, s := range Scenarios {
		known = known || s == cfg.Scenario
	}
	if !known {
		return Result{}, fmt.Errorf("scenario %q is none of %v", cfg.Scenario, Scenarios)
	}
	if cfg.Nodes < 2 || cfg.Servers < 1 || cfg.For < time.Second {
		return Result{}, fmt.Errorf("%d nodes, %d servers, %v: at least 2, 1 and 1s", cfg.Nodes, cfg.Servers, cfg.For)
	}
	if cfg.Vanish == 0 {
		cfg.Vanish = 0.48
	}
	r := &run{
		cfg: cfg, chance: rand.New(rand.NewPCG(cfg.Seed, 7)),
		last: make([]time.Duration, cfg.Servers), lastBy: make([]int, cfg.Servers),
	}
	for k := range cfg.Servers {
		r.duties = append(r.duties, healthcheck.Check{Kind: healthcheck.CheckServer, ID: uint64(k)*7919 + 1})
		r.lastBy[k] = -1
	}
	for k := range cfg.Nodes {
		r.nodes = append(r.nodes, &node{})
		r.start(k)
	}
	r.res.Settled = -1
	r.play()
	return r.res, nil
}

func (r *run) start(k int) {
	n := r.nodes[k]
	n.life++
	n.up = true
	n.duty = healthcheck.New(healthcheck.Config{
		Me: k, Nodes: r.cfg.Nodes, Seed: r.chance.Uint64(), Take: r.cfg.Take,
		Bytes: r.cfg.Bytes, Every: r.cfg.Every,
	}, r.now)
	n.duty.SetChecks(r.now, r.duties)
	n.wake = r.now
	r.push(event{at: r.now, node: k, life: n.life})
}

func (r *run) stop(k int) {
	if n := r.nodes[k]; n.up {
		n.up = false
		n.sent += n.duty.Count().SentBytes
		n.held += n.duty.Count().Held
	}
}

func (r *run) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.heap, e)
}

// hears tells whether a datagram between two nodes arrives.
func (r *run) hears(from, to int) bool {
	if r.bad && r.cfg.Scenario == "split" && (from < r.cfg.Nodes/2) != (to < r.cfg.Nodes/2) {
		return false
	}
	lost := 0.01
	if r.bad && r.cfg.Scenario == "lossy" {
		lost = 0.25
	}
	return r.chance.Float64() >= lost
}

// late is how long a datagram is under way: usually a few milliseconds, at times so long that others overtake it.
func (r *run) late() time.Duration {
	d := time.Duration(1+r.chance.ExpFloat64()*4) * time.Millisecond
	if r.chance.Float64() < 0.02 {
		d += time.Duration(r.chance.IntN(400)) * time.Millisecond
	}
	return d
}

func (r *run) play() {
	third := r.cfg.For / 3
	r.push(event{at: third, node: trouble})
	r.push(event{at: 2 * third, node: trouble})
	r.push(event{at: 2*third + time.Second, node: sample})
	var vanished []int
	for r.heap.Len() > 0 {
		e := heap.Pop(&r.heap).(event)
		if e.at > r.cfg.For {
			break
		}
		r.now = e.at
		if e.node == sample {
			r.sample()
			continue
		}
		if e.node < 0 {
			vanished = r.trouble(vanished)
			continue
		}
		n := r.nodes[e.node]
		if !n.up || n.life != e.life && e.text == nil {
			continue
		}
		switch {
		case e.text != nil:
			n.in++
			n.duty.ReceivePeerMessage(r.now, e.from, e.text)
		case e.ran != nil:
			n.duty.CheckEnded(r.now, *e.ran, true)
		case e.at < n.wake:
			continue
		}
		r.pull(e.node)
	}
	for k, at := range r.last {
		r.gap(k, at, r.cfg.For)
	}
	r.sum()
}

// trouble begins or ends the scenario's trouble.
func (r *run) trouble(vanished []int) []int {
	r.bad = !r.bad && r.now < 2*(r.cfg.For/3)
	switch r.cfg.Scenario {
	case "vanish":
		if r.bad {
			vanished = r.chance.Perm(r.cfg.Nodes)[:int(r.cfg.Vanish*float64(r.cfg.Nodes))]
			for _, k := range vanished {
				r.stop(k)
			}
		} else {
			for _, k := range vanished {
				r.start(k)
			}
		}
	case "flap": // one node in twenty, each a few seconds down and up by turns
		if r.now >= 2*(r.cfg.For/3) {
			break
		}
		r.bad = true
		for range max(1, r.cfg.Nodes/20) {
			if k := r.chance.IntN(r.cfg.Nodes); r.nodes[k].up {
				r.stop(k)
			} else {
				r.start(k)
			}
		}
		r.push(event{at: r.now + time.Duration(1+r.chance.IntN(3))*time.Second, node: trouble})
	}
	if r.now >= 2*(r.cfg.For/3) {
		for k, n := range r.nodes {
			if !n.up && r.cfg.Scenario == "flap" {
				r.start(k)
			}
		}
		r.bad = false
	}
	return vanished
}

// pull carries out what a node wants now.
func (r *run) pull(k int) {
	n := r.nodes[k]
	for s, ok := n.duty.Next(r.now); ok; s, ok = n.duty.Next(r.now) {
		switch s.Kind {
		case healthcheck.Send:
			text := append([]byte(nil), s.Text...)
			for range 1 + r.chance.IntN(100)/99 { // one in a hundred comes twice
				if r.nodes[s.To].up && r.hears(k, s.To) {
					r.push(event{at: r.now + r.late(), node: s.To, from: k, text: text})
				}
			}
		case healthcheck.Run:
			d := s.Check
			r.check(int((d.ID-1)/7919), k)
			r.push(event{at: r.now + 20*time.Millisecond, node: k, life: n.life, ran: &d})
		}
	}
	n.wake = r.now + n.duty.Wake(r.now)
	r.push(event{at: n.wake, node: k, life: n.life})
}

func (r *run) check(server, by int) {
	r.res.Checks++
	if r.lastBy[server] >= 0 && r.lastBy[server] != by && r.now-r.last[server] < r.nodes[by].duty.Every()/2 {
		r.res.Doubled++
	}
	r.gap(server, r.last[server], r.now)
	r.last[server], r.lastBy[server] = r.now, by
}

func (r *run) gap(server int, from, to time.Duration) {
	if gap := (to - from).Seconds(); gap > r.res.WorstGap {
		r.res.WorstGap, r.res.WorstGapIn = gap, to.Seconds()
	}
}

// sum writes the rest of the result.
func (r *run) sum() {
	first := r.nodes[0].duty
	r.res.Scenario, r.res.Nodes, r.res.Servers = r.cfg.Scenario, r.cfg.Nodes, r.cfg.Servers
	r.res.Period, r.res.Every = first.Period().Seconds(), first.Every().Seconds()
	span, in := r.cfg.For.Seconds(), int64(0)
	for _, n := range r.nodes {
		c := healthcheck.Counters{}
		if n.up {
			c = n.duty.Count()
		}
		b := float64(n.sent+c.SentBytes) / span
		r.res.BytesMean += b / float64(r.cfg.Nodes)
		r.res.BytesMost = max(r.res.BytesMost, b)
		in = max(in, n.in)
		r.res.Held += n.held + c.Held
	}
	r.res.MessagesMost = float64(in) / span
}

// sample looks whether all nodes that are up agree on who lives. After the trouble all are up again.
func (r *run) sample() {
	wrong := 0
	for _, n := range r.nodes {
		if n.up {
			wrong += n.duty.Dead()
		}
	}
	r.res.WrongDeaths = wrong
	if wrong > 0 {
		r.res.Settled = -1
	} else if r.res.Settled < 0 {
		r.res.Settled = (r.now - 2*(r.cfg.For/3)).Seconds()
	}
	r.push(event{at: r.now + time.Second, node: sample})
}
