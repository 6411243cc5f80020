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
	"cherrygap/internal/lab/nodeprocess"
	"cherrygap/internal/lab/workdir"
	"cherrygap/internal/protocol"
)

// run is the state of a run in progress.
type run struct {
	cfg     Config
	checker *checker
	agent   *discovery.Agent
	servers []*appServer
	nodes   []*node
	clients *clients

	discoveryFaultMu sync.Mutex // lock of a fault that affects discovery; guards no field

	mu          sync.Mutex      // guards the fields below
	harnessErr  error           // joined errors of the harness itself; nil for none
	faultCounts map[string]int  // number of faults by name
	readyTimes  []time.Duration // time from start to ready of each successful start
}

// Result is the result of a run. The run succeeded if Violations is empty.
type Result struct {
	Seed              uint64           `json:"seed"`
	Nodes             int              `json:"nodes"`
	Seconds           float64          `json:"seconds"` // configured duration of the load
	Counts            Counts           `json:"counts"`
	Statuses          map[string]int64 `json:"statuses"`            // number of responses by HTTP status
	Faults            map[string]int   `json:"faults"`              // number of faults by name
	FailedSystemCalls int64            `json:"failed_system_calls"` // number of system calls that were made to fail
	Starts            int              `json:"starts"`              // number of starts of all nodes
	ReadyMax          float64          `json:"ready_max_s"`         // longest time from a start until the node was ready, in seconds
	NodeViolations    map[string]int64 `json:"guards"`              // sums of the nodes' violation counters
	Violations        []Violation      `json:"violations"`
}

// Run runs a soak test. Before it returns, it ends all processes that it started, also after an error or when ctx ends. The
// goroutine that measures this process's delays ends with ctx.
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
	if err := r.runLoad(ctx); err != nil {
		return nil, err
	}
	return r.result()
}

// setUp starts the app servers, the discovery agent and the nodes. The goroutines of servers and nodes end after killAll.
func (r *run) setUp(ctx context.Context) error {
	lag := newLagMeter()
	go lag.run(ctx) // The goroutine ends with ctx.
	r.checker = newChecker(lag, r.cfg.Duration, r.cfg.Nodes)
	endpoints := make([]discovery.Endpoint, r.cfg.Servers)
	for i := range endpoints {
		s, err := newAppServer(i, r.checker, r.notifiedAt)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
		endpoints[i] = discovery.Endpoint{Endpoint: protocol.Endpoint{
			UID: "app-" + strconv.Itoa(i), Addr: netip.MustParseAddrPort(s.server.Addr()), Zone: "z" + strconv.Itoa(i%zones),
			Model: "m", Cell: i / serversPerCell, State: protocol.InService, Weight: 1,
		}, Listed: true}
	}
	var err error
	if r.agent, err = discovery.Start(endpoints, watchesPerNode*r.cfg.Nodes); err != nil {
		return err
	}
	for i := range r.cfg.Nodes {
		n := &node{number: i, dir: r.cfg.Dir, nodeCount: r.cfg.Nodes, limits: limitsOf(r.cfg.Seed)}
		if n.addr, err = nodeprocess.FreeAddress("tcp", loopbackAddress(nodeBlock, i)); err != nil {
			return err
		}
		for k, watch := range n.watches() {
			n.discoveryAddrs[k] = r.agent.Addr(watch)
		}
		r.nodes = append(r.nodes, n)
	}
	r.clients = newClients(&r.cfg, r.checker, r.nodes)
	r.forEachNode(func(n *node) { r.startNode(ctx, n, r.agent.Snapshot(0)) })
	return r.failure()
}

// forEachNode calls do for all nodes concurrently, and returns when all calls have returned.
func (r *run) forEachNode(do func(*node)) {
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		wg.Add(1)
		go func() { defer wg.Done(); do(n) }()
	}
	wg.Wait()
}

// startNode starts a node whose configuration contains endpointList, or no list if endpointList is nil. It records a violation if
// the node does not become ready, unless ctx has ended.
func (r *run) startNode(ctx context.Context, n *node, endpointList []byte) {
	took, err := n.start(ctx, r.cfg.Program, endpointList)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		r.checker.recordViolation(ruleReady, n.number, "", "%v", err)
	default:
		r.mu.Lock()
		r.readyTimes = append(r.readyTimes, took)
		r.mu.Unlock()
	}
}

// runLoad runs clients and injects faults for the configured time, and waits for the last responses.
func (r *run) runLoad(ctx context.Context) error {
	loadCtx, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	monitorCtx, stopMonitoring := context.WithCancel(ctx)
	defer stopMonitoring()
	go r.checker.checkPeriodically(monitorCtx)
	go r.watchForCrashes(monitorCtx)
	var wg sync.WaitGroup
	start := func(do func()) {
		wg.Add(1)
		go func() { defer wg.Done(); do() }()
	}
	for i := range r.nodes {
		start(func() { r.clients.generateRequests(loadCtx, i) })
	}
	start(func() { r.clients.runMalformedClients(loadCtx) })
	for injector := range faultInjectors {
		start(func() { r.injectFaults(loadCtx, injector) })
	}
	wg.Wait()
	r.clients.inFlight.Wait()
	return errors.Join(ctx.Err(), r.failure())
}

// crashPollInterval is the time between two checks for crashed nodes.
const crashPollInterval = 100 * time.Millisecond

// watchForCrashes records the first crash of each node, until ctx ends.
func (r *run) watchForCrashes(ctx context.Context) {
	reported := map[*node]bool{}
	for ctx.Err() == nil {
		for _, n := range r.nodes {
			if !reported[n] && n.crashed() {
				reported[n] = true
				r.checker.recordViolation(ruleCrash, n.number, "",
					"the node crashed; last line of its log: %s", n.currentProcess().LastLogLine())
			}
		}
		sleep(ctx, crashPollInterval)
	}
}

// capacity returns the capacity of a warm server in requests a second, which is headroom times its even share of all requests.
func (r *run) capacity() float64 {
	const headroom = 1.5
	return headroom * r.cfg.Rate * float64(r.cfg.Nodes) / float64(r.cfg.Servers)
}

// notifiedAt returns the time from which a node counts as notified of a change that discovery published at a moment.
func (r *run) notifiedAt(node int, published time.Time) time.Time {
	return r.nodes[node].notifiedAt(published)
}

// recordFault counts and logs a fault that has ended.
func (r *run) recordFault(name string, startedAt time.Time) {
	r.mu.Lock()
	r.faultCounts[name]++
	r.mu.Unlock()
	r.cfg.Log.Info().Str("fault", name).Dur("duration_ms", time.Since(startedAt)).Msg("fault ended")
}

// fail records an error of the harness itself, which the run then returns in place of a result.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harnessErr = errors.Join(r.harnessErr, err)
}

// failure returns the joined errors of the harness so far, or nil if there are none.
func (r *run) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harnessErr
}

// killAll kills all nodes and servers.
func (r *run) killAll() {
	r.forEachNode(func(n *node) {
		if n.currentProcess() != nil {
			n.kill()
		}
	})
	for _, s := range r.servers {
		s.kill()
	}
}

// result terminates the nodes, checks the remaining requests and returns the result of the run.
func (r *run) result() (*Result, error) {
	r.forEachNode(func(n *node) {
		if n.terminate(0) == nodeprocess.Killed {
			r.checker.recordViolation(ruleShutdown, n.number, "", "the node did not exit within %v after the last SIGTERM and was killed",
				killTimeout)
		}
	})
	for _, s := range r.servers {
		s.checkSlowStart(r.capacity())
	}
	r.checker.checkUntil(time.Now().Add(time.Hour)) // all requests, as no deadline is that late
	r.checker.checkCeilings()
	result := &Result{
		Seed: r.cfg.Seed, Nodes: r.cfg.Nodes, Seconds: r.cfg.Duration.Seconds(),
		Counts: r.checker.counts, Statuses: map[string]int64{}, Faults: r.faultCounts, NodeViolations: map[string]int64{},
	}
	for status, count := range r.checker.statuses {
		result.Statuses[strconv.Itoa(status)] = count
	}
	for _, n := range r.nodes {
		result.Starts += n.starts
		result.FailedSystemCalls += n.faults.failedCalls.Load()
		if err := r.addNodeViolations(result.NodeViolations, n); err != nil {
			return nil, err
		}
	}
	for _, took := range r.readyTimes {
		result.ReadyMax = max(result.ReadyMax, took.Seconds())
	}
	r.checkStartTimes()
	result.Violations = append([]Violation{}, r.checker.violations...)
	return result, nil
}

// addNodeViolations adds a node's violation counters to sums, and records a violation for each counter above 0.
func (r *run) addNodeViolations(sums map[string]int64, n *node) error {
	counters, err := readViolationCounters(n.logPath())
	if err != nil {
		return fmt.Errorf("read the log of node %d: %w", n.number, err)
	}
	for name, count := range counters {
		sums[name] += count
		if count > 0 {
			r.checker.recordViolation(ruleNodeCheck, n.number, "", "the node's counter %s is %d, want 0", name, count)
		}
	}
	return nil
}

// checkStartTimes records a violation if more than a tenth of the starts took longer than readyTimeout.
func (r *run) checkStartTimes() {
	late := 0
	for _, took := range r.readyTimes {
		if took > readyTimeout {
			late++
		}
	}
	if 10*late > len(r.readyTimes) {
		r.checker.recordViolation(ruleReady, -1, "", "%d of %d starts took longer than %v, want at most a tenth of them",
			late, len(r.readyTimes), readyTimeout)
	}
}
