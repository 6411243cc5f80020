package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"cherrygap/internal/lab/discovery"
	"cherrygap/internal/lab/workdir"
)

// The names of the sections without a fault.
const (
	sectionWarmUp = "warm-up"
	sectionQuiet  = "quiet"
	sectionIdle   = "idle" // without client requests; not in the result's sections
)

const minWarmUp = 500 * time.Millisecond

// run is a run in progress. Only the goroutine of Run uses it, except for restartSimulated, which reads cfg and nodesWorker on
// a goroutine of its own.
type run struct {
	cfg           Config
	serversWorker *worker // simulated app servers
	nodesWorker   *worker // simulated nodes
	agent         *discovery.Agent
	nodes         []*realNode
	clients       *clientSimulator
	closed        bool

	realRestarts      int
	simulatedRestarts int

	changes        []measuredChange
	changedServers map[int]bool
	nextSpare      int   // number of the spare server that is listed next
	draining       []int // servers, in the order of their drains

	sections []section
}

// section is one part of the run.
type section struct {
	*sectionCounts
	simulated nodesSectionCounts
}

// Run runs a simulation and returns its figures. It stops all child processes before it returns, also if it fails or ctx
// ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if err := cfg.CheckDescriptors(); err != nil {
		return nil, err
	}
	dir, remove, err := workdir.Open(cfg.Dir, "scale")
	if err != nil {
		return nil, err
	}
	defer remove()
	cfg.Dir = dir
	ctx, cancel := context.WithTimeoutCause(ctx, cfg.TimeLimit, fmt.Errorf("the hard stop, %v after the start", cfg.TimeLimit))
	defer cancel()
	r := &run{cfg: cfg, changedServers: map[int]bool{}}
	defer r.close()
	result, err := r.simulate(ctx)
	r.close()
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("stopped by %w", context.Cause(ctx))
	}
	if err != nil {
		return nil, err
	}
	for _, n := range r.nodes {
		result.Killed += n.exitCounts().killed
	}
	return result, nil
}

// close stops all children: first the real nodes, concurrently, then the workers.
func (r *run) close() {
	if r.closed {
		return
	}
	r.closed = true
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		wg.Add(1)
		go func() { defer wg.Done(); n.drain(0) }()
	}
	wg.Wait()
	for _, w := range []*worker{r.nodesWorker, r.serversWorker} {
		if w != nil {
			wg.Add(1)
			go func() { defer wg.Done(); w.closeInput() }()
		}
	}
	wg.Wait()
	if r.agent != nil {
		r.agent.Close()
	}
	if r.clients != nil {
		r.clients.close()
	}
}

// pause waits for a time, or until ctx ends, whose error it then returns.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// play starts all parts and plays the sections in order: warm-up, quiet, each fault, idle.
func (r *run) simulate(ctx context.Context) (*Result, error) {
	startedAt := time.Now()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	result := &Result{SetupS: time.Since(startedAt).Seconds()}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	for node := range r.nodes {
		go r.clients.generate(clientsCtx, node)
	}
	warmUp, idle := max(r.cfg.Duration/12, minWarmUp), r.cfg.Duration/6
	length := (r.cfg.Duration - warmUp - idle) / time.Duration(1+len(r.cfg.Faults))
	if err := r.runWarmUp(ctx, warmUp); err != nil {
		return nil, err
	}
	if err := r.runQuiet(ctx, length, result); err != nil {
		return nil, err
	}
	if err := r.runFaults(ctx, length); err != nil {
		return nil, err
	}
	if err := r.runIdle(ctx, idle, result); err != nil {
		return nil, err
	}
	r.cfg.Log.Info().Msg("collecting the counts")
	return result, result.collect(r)
}

// runWarmUp plays the first section, at whose start the clients begin to send.
func (r *run) runWarmUp(ctx context.Context, length time.Duration) error {
	r.beginSection(sectionWarmUp)
	r.clients.sending.Store(true)
	if err := r.commandNodes(nodesCommand{Verb: nodesStartSending}, nil); err != nil {
		return err
	}
	if err := pause(ctx, length); err != nil {
		return err
	}
	return r.endSection()
}

// runQuiet plays a section without faults, over which the CPU use is measured.
func (r *run) runQuiet(ctx context.Context, length time.Duration, result *Result) error {
	r.beginSection(sectionQuiet)
	use := r.measureCPU()
	if err := pause(ctx, length); err != nil {
		return err
	}
	result.recordQuiet(r, use)
	return r.endSection()
}

// runFaults plays the configured faults, one section for each.
func (r *run) runFaults(ctx context.Context, length time.Duration) error {
	players := map[string]func(context.Context, time.Duration) error{
		FaultChanges: r.runChanges, FaultRollingRestart: r.runRollingRestart,
		FaultZoneLoss: r.runZoneLoss, FaultWatchLoss: r.runWatchLoss,
	}
	for _, name := range Faults {
		if !slices.Contains(r.cfg.Faults, name) {
			continue
		}
		r.beginSection(name)
		end := time.Now().Add(length)
		if err := players[name](ctx, length); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := pause(ctx, time.Until(end)); err != nil {
			return err
		}
		if err := r.endSection(); err != nil {
			return err
		}
	}
	return nil
}

// runIdle stops the clients, waits for their last responses, and measures the CPU use without requests.
func (r *run) runIdle(ctx context.Context, length time.Duration, result *Result) error {
	r.clients.sending.Store(false)
	answered := make(chan struct{})
	go func() { r.clients.inFlight.Wait(); close(answered) }() // ends with the last request
	select {
	case <-answered:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(lastResponseTimeout()):
		result.Unanswered++ // at least one request has no response after its client's timeout
	}
	r.cfg.Log.Info().Str("section", sectionIdle).Msg("section begins")
	use := r.measureCPU()
	if err := pause(ctx, length); err != nil {
		return err
	}
	result.recordIdle(r, use)
	return nil
}

// beginSection begins to count the requests of a new section.
func (r *run) beginSection(name string) {
	r.cfg.Log.Info().Str("section", name).Msg("section begins")
	counts := newSectionCounts(name)
	r.sections = append(r.sections, section{sectionCounts: counts})
	r.clients.section.Store(counts)
}

// endSection ends the last section and records the simulated nodes' counts and the real nodes' memory.
func (r *run) endSection() error {
	var reply nodesReply
	if err := r.commandNodes(nodesCommand{Verb: nodesEndSection}, &reply); err != nil {
		return err
	}
	last := &r.sections[len(r.sections)-1]
	last.endedAt = time.Now()
	if reply.Section != nil {
		last.simulated = *reply.Section
	}
	for _, n := range r.nodes {
		n.recordMemory()
	}
	return nil
}

// commandNodes sends a command to the simulated nodes and waits for the reply, which may be nil.
func (r *run) commandNodes(command nodesCommand, reply *nodesReply) error {
	if reply == nil {
		reply = &nodesReply{}
	}
	return execute(r.nodesWorker, command, reply)
}

// commandServers sends a command to the simulated app servers and waits for the reply, which may be nil.
func (r *run) commandServers(command serversCommand, reply *serversReply) error {
	if reply == nil {
		reply = &serversReply{}
	}
	return execute(r.serversWorker, command, reply)
}

// execute sends a command to a worker and decodes the reply. A failure that the reply states is returned as an error.
func execute(w *worker, command any, reply interface{ failure() string }) error {
	if err := w.call(command, reply); err != nil {
		return err
	}
	if failure := reply.failure(); failure != "" {
		return errors.New(failure)
	}
	return nil
}
