package soak

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"cherrygap/internal/lab/discovery"
	"cherrygap/internal/lab/workdir"
	"cherrygap/internal/protocol"
)

// run is one run in progress.
type run struct {
	cfg     Config
	ledger  *ledger
	agent   *discovery.Agent
	servers []*appServer
	nodes   []*node
	clients *clients

	discoveryBusy sync.Mutex // held by a fault of discovery's

	mu          sync.Mutex // guards what follows
	err         error      // of this process itself
	faultCounts map[string]int
	readyTimes  []time.Duration
}

// Result is what a run counted. It is good where there are no violations.
type Result struct {
	Seed       uint64           `json:"seed"`
	Nodes      int              `json:"nodes"`
	Seconds    float64          `json:"seconds"`
	Counts     Counts           `json:"counts"`
	Statuses   map[string]int64 `json:"statuses"`
	Faults     map[string]int   `json:"faults"`
	FailedCall int64            `json:"failed_system_calls"`
	Starts     int              `json:"starts"`
	ReadyMax   float64          `json:"ready_max_s"`
	Guards     map[string]int64 `json:"guards"` // what the nodes' own guards counted
	Violations []Violation      `json:"violations"`
}

// Run plays cfg, and returns what was measured. It ends what it started, also where it fails or ctx ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	dir, remove, err := workdir.Open(cfg.Dir, "soak")
	if err != nil {
		return nil, err
	}
	defer remove()
	cfg.Dir = dir
	r := &run{cfg: cfg, faultCounts: map[string]int{}}
	defer r.killAll()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	defer r.agent.Close()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.result()
}

// setUp starts the servers, discovery and the nodes.
func (r *run) setUp(ctx context.Context) error {
	lag := newLagMeter()
	go lag.run(ctx) // ends with the run
	r.ledger = newLedger(lag, r.cfg.Duration, r.cfg.Nodes)
	endpoints := make([]discovery.Endpoint, r.cfg.Servers)
	for i := range endpoints {
		s, err := newAppServer(i, r.ledger, r.noticeOf)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
		endpoints[i] = discovery.Endpoint{Endpoint: protocol.Endpoint{
			UID: "app-" + strconv.Itoa(i), Addr: netip.MustParseAddrPort(s.addr), Zone: "z" + strconv.Itoa(i%3), Model: "m", Cell: i / 4,
			State: protocol.InService, Weight: 1,
		}, Listed: true}
	}
	var err error
	if r.agent, err = discovery.Start(endpoints, 2*r.cfg.Nodes); err != nil {
		return err
	}
	for i := range r.cfg.Nodes {
		n := &node{number: i, dir: r.cfg.Dir, nodes: r.cfg.Nodes}
		if n.addr, err = freeAddress(i); err != nil {
			return err
		}
		n.agents = [2]string{r.agent.Addr(2 * i), r.agent.Addr(2*i + 1)}
		r.nodes = append(r.nodes, n)
	}
	r.clients = newClients(&r.cfg, r.ledger, r.nodes)
	r.forEachNode(func(n *node) { r.startNode(ctx, n, r.agent.Snapshot(0)) })
	return r.failure()
}

// watches are the agent's watches of a node's two addresses of discovery.
func (n *node) watches() []int { return []int{2 * n.number, 2*n.number + 1} }

func (r *run) forEachNode(do func(*node)) {
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		wg.Add(1)
		go func() { defer wg.Done(); do(n) }()
	}
	wg.Wait()
}

// startNode starts a node; one that does not get ready is a violation.
func (r *run) startNode(ctx context.Context, n *node, known []byte) {
	took, err := n.start(ctx, r.cfg.Program, known)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		r.ledger.report(ruleReady, n.number, "", "%v", err)
	default:
		r.mu.Lock()
		r.readyTimes = append(r.readyTimes, took)
		r.mu.Unlock()
	}
}

// play plays clients and faults for the configured time, and then waits for the last answers.
func (r *run) play(ctx context.Context) error {
	playing, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go r.ledger.sweep(watching)
	go r.watchForCrashes(watching)
	var wg sync.WaitGroup
	start := func(do func()) {
		wg.Add(1)
		go func() { defer wg.Done(); do() }()
	}
	for i := range r.nodes {
		start(func() { r.clients.generate(playing, i) })
	}
	start(func() { r.clients.playBadClients(playing) })
	for player := range overlapping {
		start(func() { r.playFaults(playing, player) })
	}
	wg.Wait()
	r.clients.inFlight.Wait()
	return errors.Join(ctx.Err(), r.failure())
}

// crashLook is the time between two looks for nodes that ended by themselves.
const crashLook = 100 * time.Millisecond

func (r *run) watchForCrashes(ctx context.Context) {
	reported := map[*node]bool{}
	for ctx.Err() == nil {
		for _, n := range r.nodes {
			if !reported[n] && n.crashed() {
				reported[n] = true
				r.ledger.report(ruleCrash, n.number, "", "%s", n.lastLogLine())
			}
		}
		sleep(ctx, crashLook)
	}
}

// capacity is how many requests a second a warm server carries: its even part of all, and half as much again.
func (r *run) capacity() float64 {
	const spare = 1.5
	return spare * r.cfg.Rate * float64(r.cfg.Nodes) / float64(r.cfg.Servers)
}

// noticeOf is when a node counts as notified of what was published at a moment.
func (r *run) noticeOf(node int, published time.Time) time.Time {
	return r.nodes[node].notifiedAt(published)
}

func (r *run) noteFault(name string, begun time.Time) {
	r.mu.Lock()
	r.faultCounts[name]++
	r.mu.Unlock()
	r.cfg.Log.Info().Str("fault", name).Dur("for_ms", time.Since(begun)).Msg("fault is over")
}

// fail notes an error of this process itself.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = errors.Join(r.err, err)
}

func (r *run) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// killAll ends what nodes are left.
func (r *run) killAll() {
	r.forEachNode(func(n *node) {
		if n.cmd != nil {
			n.kill()
		}
	})
	for _, s := range r.servers {
		s.kill()
	}
}

// result ends the nodes in good order, judges what is not judged yet, and gathers the counts.
func (r *run) result() (*Result, error) {
	r.forEachNode(func(n *node) {
		if n.terminate(0) {
			r.ledger.report(ruleEnd, n.number, "", "the node had to be killed %v after the last SIGTERM", killAfter)
		}
	})
	for _, s := range r.servers {
		s.judgeCold(r.capacity())
	}
	r.ledger.judge(time.Now().Add(time.Hour))
	r.ledger.judgeCeilings()
	result := &Result{
		Seed: r.cfg.Seed, Nodes: r.cfg.Nodes, Seconds: r.cfg.Duration.Seconds(), Counts: r.ledger.counts, Statuses: map[string]int64{},
		Faults: r.faultCounts, Guards: map[string]int64{},
	}
	for status, count := range r.ledger.statuses {
		result.Statuses[strconv.Itoa(status)] = count
	}
	for _, n := range r.nodes {
		result.Starts += n.starts
		result.FailedCall += n.faults.failed.Load()
		guards, err := readGuards(n.logPath())
		if err != nil {
			return nil, fmt.Errorf("log of node %d: %w", n.number, err)
		}
		for name, count := range guards {
			result.Guards[name] += count
			if count > 0 {
				r.ledger.report(ruleGuard, n.number, "", "%s is %d", name, count)
			}
		}
	}
	for _, took := range r.readyTimes {
		result.ReadyMax = max(result.ReadyMax, took.Seconds())
	}
	r.judgeReady()
	result.Violations = append([]Violation{}, r.ledger.violations...)
	return result, nil
}

// judgeReady reports where over a tenth of the starts took too long.
func (r *run) judgeReady() {
	late := 0
	for _, took := range r.readyTimes {
		if took > readyWithin {
			late++
		}
	}
	if 10*late > len(r.readyTimes) {
		r.ledger.report(ruleReady, -1, "", "%d of %d starts took over %v", late, len(r.readyTimes), readyWithin)
	}
}
