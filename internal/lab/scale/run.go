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

// Sections of a run beside those of the faults.
const (
	sectionWarmUp = "warm-up"
	sectionQuiet  = "quiet"
	sectionIdle   = "idle" // no client sends; it is not in the result's sections
)

const minWarmUp = 500 * time.Millisecond

// run is one run in progress. It is used by one goroutine, that of Run.
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
	nextSpare      int   // server that is listed next
	draining       []int // servers, in the order of their drains

	sections []section
}

// section is one part of the run.
type section struct {
	*sectionCounts
	simulated nodesSection
}

// Run plays cfg and returns what was measured. It stops what it started, also where it fails or ctx ends.
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
	result, err := r.play(ctx)
	r.close()
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("stopped by %w", context.Cause(ctx))
	}
	if err != nil {
		return nil, err
	}
	for _, n := range r.nodes {
		_, killed := n.exitCounts()
		result.Killed += killed
	}
	return result, nil
}

// close stops all children: nodes first, all at once, then the workers.
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

// pause waits, or returns ctx's error.
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

// play starts everything and plays the sections in order: warm-up, quiet, each fault, idle.
func (r *run) play(ctx context.Context) (*Result, error) {
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
	if err := r.playWarmUp(ctx, warmUp); err != nil {
		return nil, err
	}
	if err := r.playQuiet(ctx, length, result); err != nil {
		return nil, err
	}
	if err := r.playFaults(ctx, length); err != nil {
		return nil, err
	}
	if err := r.playIdle(ctx, idle, result); err != nil {
		return nil, err
	}
	r.cfg.Log.Info().Msg("counts are gathered")
	return result, result.collect(r)
}

func (r *run) playWarmUp(ctx context.Context, length time.Duration) error {
	return r.playSection(ctx, sectionWarmUp, length, func() error {
		r.clients.sending.Store(true)
		return r.commandNodes(nodesCommand{Verb: nodesSend}, nil)
	})
}

func (r *run) playQuiet(ctx context.Context, length time.Duration, result *Result) error {
	r.beginSection(sectionQuiet)
	use := r.measureCPU()
	if err := pause(ctx, length); err != nil {
		return err
	}
	result.recordQuiet(r, use)
	return r.endSection()
}

// playFaults plays the configured faults, a section each.
func (r *run) playFaults(ctx context.Context, length time.Duration) error {
	players := map[string]func(context.Context, time.Duration) error{
		FaultChanges: r.playChanges, FaultRollingRestart: r.playRollingRestart,
		FaultZoneLoss: r.playZoneLoss, FaultWatchLoss: r.playWatchLoss,
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

// playIdle stops the clients, waits for their last answers, and measures what the nodes use without requests.
func (r *run) playIdle(ctx context.Context, length time.Duration, result *Result) error {
	r.clients.sending.Store(false)
	answered := make(chan struct{})
	go func() { r.clients.inFlight.Wait(); close(answered) }() // ends with the last request
	select {
	case <-answered:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(lastAnswerTimeout()):
		result.Unanswered++ // one at least: no client waits so long
	}
	r.cfg.Log.Info().Str("section", sectionIdle).Msg("section begins")
	use := r.measureCPU()
	if err := pause(ctx, length); err != nil {
		return err
	}
	result.recordIdle(r, use)
	return nil
}

// playSection plays a section that does one thing at its start.
func (r *run) playSection(ctx context.Context, name string, length time.Duration, start func() error) error {
	r.beginSection(name)
	if err := start(); err != nil {
		return err
	}
	if err := pause(ctx, length); err != nil {
		return err
	}
	return r.endSection()
}

func (r *run) beginSection(name string) {
	r.cfg.Log.Info().Str("section", name).Msg("section begins")
	counts := newSectionCounts(name)
	r.sections = append(r.sections, section{sectionCounts: counts})
	r.clients.section.Store(counts)
}

func (r *run) endSection() error {
	var reply nodesReply
	if err := r.commandNodes(nodesCommand{Verb: nodesCut}, &reply); err != nil {
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

// commandNodes has the simulated nodes execute a command; reply may be nil.
func (r *run) commandNodes(command nodesCommand, reply *nodesReply) error {
	if reply == nil {
		reply = &nodesReply{}
	}
	return execute(r.nodesWorker, command, reply)
}

// commandServers has the simulated app servers execute a command; reply may be nil.
func (r *run) commandServers(command serversCommand, reply *serversReply) error {
	if reply == nil {
		reply = &serversReply{}
	}
	return execute(r.serversWorker, command, reply)
}

// execute has a worker execute a command. A failure that the reply states is an error too.
func execute(w *worker, command any, reply interface{ failure() string }) error {
	if err := w.call(command, reply); err != nil {
		return err
	}
	if failure := reply.failure(); failure != "" {
		return errors.New(failure)
	}
	return nil
}
