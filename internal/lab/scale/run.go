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

// Names of the sections without a fault.
const (
	sectionWarmUp = "warm-up"
	sectionQuiet  = "quiet"
	sectionIdle   = "idle" // section without client requests; not in the result's sections
)

const minWarmUp = 500 * time.Millisecond

// run is a run in progress. Only the goroutine of Run changes the fields. Other goroutines read only cfg, agent, clients and
// nodesWorker, which are set before the goroutine that reads them starts.
type run struct {
	cfg           Config
	serversWorker *worker // worker of the simulated app servers
	nodesWorker   *worker // worker of the simulated nodes
	agent         *discovery.Agent
	nodes         []*realNode // real nodes by number
	clients       *clientSimulator
	closed        bool // whether close was called

	realRestarts      int
	simulatedRestarts int

	changes        []measuredChange
	changedServers map[int]bool // numbers of the servers that a change has affected
	nextSpare      int          // number of the next spare server to list
	draining       []int        // numbers of draining servers, in the order of their drains

	sections []section
}

// section holds the counts of one section of the run.
type section struct {
	*sectionCounts
	simulated nodesSectionCounts // counts of the simulated nodes
}

// Run runs a simulation and returns its figures. It fails if ctx ends or the time limit passes before the run is over. It
// stops all child processes before it returns, also after a failure.
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
	ctx, cancel := context.WithTimeoutCause(ctx, cfg.TimeLimit, fmt.Errorf("the time limit of %v", cfg.TimeLimit))
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

// close stops all child processes: first the real nodes concurrently, then the workers. A second call does nothing.
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

// pause waits for a duration and returns nil, or returns the error of ctx as soon as ctx ends.
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

// simulate starts all processes and runs the sections in order: warm-up, quiet, each fault, idle. It returns the figures.
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
	r.cfg.Log.Info().Msg("collecting the workers' counts")
	return result, result.collect(r)
}

// runWarmUp runs the first section. At its start the clients begin to send.
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

// runQuiet runs a section without faults and measures the CPU use over it.
func (r *run) runQuiet(ctx context.Context, length time.Duration, result *Result) error {
	r.beginSection(sectionQuiet)
	use := r.measureCPU()
	if err := pause(ctx, length); err != nil {
		return err
	}
	result.recordQuiet(r, use)
	return r.endSection()
}

// runFaults runs one section for each configured fault.
func (r *run) runFaults(ctx context.Context, length time.Duration) error {
	runFault := map[string]func(context.Context, time.Duration) error{
		FaultChanges: r.runChanges, FaultRollingRestart: r.runRollingRestart,
		FaultZoneLoss: r.runZoneLoss, FaultWatchLoss: r.runWatchLoss,
	}
	for _, name := range Faults {
		if !slices.Contains(r.cfg.Faults, name) {
			continue
		}
		r.beginSection(name)
		end := time.Now().Add(length)
		if err := runFault[name](ctx, length); err != nil {
			return fmt.Errorf("fault %q: %w", name, err)
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

// runIdle stops the clients, waits for their last responses, and measures the CPU use without client requests.
func (r *run) runIdle(ctx context.Context, length time.Duration, result *Result) error {
	r.clients.sending.Store(false)
	answered := make(chan struct{})
	go func() { r.clients.inFlight.Wait(); close(answered) }() // The goroutine ends with the last request.
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

// beginSection begins a new section, which counts the clients' requests from now on.
func (r *run) beginSection(name string) {
	r.cfg.Log.Info().Str("section", name).Msg("section begins")
	counts := newSectionCounts(name)
	r.sections = append(r.sections, section{sectionCounts: counts})
	r.clients.section.Store(counts)
}

// endSection ends the section in progress. It records the simulated nodes' counts and the real nodes' memory.
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

// commandNodes sends a command to the simulated nodes and waits for the reply. reply may be nil if only the error matters.
func (r *run) commandNodes(command nodesCommand, reply *nodesReply) error {
	if reply == nil {
		reply = &nodesReply{}
	}
	return execute(r.nodesWorker, command, reply)
}

// commandServers sends a command to the simulated app servers and waits for the reply. reply may be nil if only the error
// matters.
func (r *run) commandServers(command serversCommand, reply *serversReply) error {
	if reply == nil {
		reply = &serversReply{}
	}
	return execute(r.serversWorker, command, reply)
}

// execute sends a command to a worker and decodes the reply. If the reply states a failure, execute returns it as an error.
func execute(w *worker, command any, reply interface{ failure() string }) error {
	if err := w.call(command, reply); err != nil {
		return err
	}
	if failure := reply.failure(); failure != "" {
		return errors.New(failure)
	}
	return nil
}
