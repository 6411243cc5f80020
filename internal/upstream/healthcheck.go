package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/healthcheck"
	"cherrygap/internal/routing"
)

// HealthChecker runs this node's share of the fleet's health checks. healthcheck.Scheduler decides which messages to send, and
// which servers to check at what time. HealthChecker sends the messages, runs the checks and reports their results. Checks
// use the connections of the Pool, and dial only if the Pool has no usable idle connection to the server. A HealthChecker is
// safe for concurrent use.
type HealthChecker struct {
	router    *routing.Router
	pool      *Pool
	send      func(to int, payload []byte)
	startedAt time.Time     // origin of the scheduler's clock
	wake      chan struct{} // holds an element if the scheduler may have a new step for Run
	done      chan struct{} // closed by Close

	mu        sync.Mutex // guards the fields below
	scheduler *healthcheck.Scheduler
	servers   map[healthcheck.CheckID]*routing.Server // servers in service
}

// NewHealthChecker returns the health checker of one node, for the servers that the router has in service. Run calls send,
// without a lock, to send a message to one peer. The caller starts Run.
func NewHealthChecker(cfg healthcheck.Config, router *routing.Router, pool *Pool, send func(to int, payload []byte)) *HealthChecker {
	h := &HealthChecker{
		router:    router,
		pool:      pool,
		send:      send,
		startedAt: time.Now(),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		scheduler: healthcheck.New(cfg, 0),
		servers:   map[healthcheck.CheckID]*routing.Server{},
	}
	h.EndpointsChanged()
	return h
}

func (h *HealthChecker) now() time.Duration { return time.Since(h.startedAt) }

// notifyRun makes Run poll the scheduler. It does not block.
func (h *HealthChecker) notifyRun() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// EndpointsChanged replaces the checked servers with those that the router has in service.
func (h *HealthChecker) EndpointsChanged() {
	servers := h.router.Servers()
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.servers)
	checks := make([]healthcheck.Check, len(servers))
	for i, server := range servers {
		checks[i] = healthcheck.Check{Kind: healthcheck.CheckServer, ID: healthcheck.CheckID(server.Number())}
		h.servers[checks[i].ID] = server
	}
	h.scheduler.SetChecks(h.now(), checks)
	h.notifyRun()
}

// ReceivePeerMessage processes a peer's message, which begins with healthcheck.MagicByte. It reports whether the message
// was well-formed.
func (h *HealthChecker) ReceivePeerMessage(from int, payload []byte) bool {
	h.mu.Lock()
	err := h.scheduler.ReceivePeerMessage(h.now(), healthcheck.NodeID(from), payload)
	h.mu.Unlock()
	h.notifyRun()
	return err == nil
}

// Run executes the scheduler's steps until Close. Each check runs on a separate goroutine that ends within the check's timeout,
// even after Close.
func (h *HealthChecker) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-timer.C:
		case <-h.wake:
		}
		for step, ok := h.nextStep(); ok; step, ok = h.nextStep() {
			h.execute(step)
		}
		h.mu.Lock()
		wait := h.scheduler.WakeAfter(h.now())
		h.mu.Unlock()
		timer.Reset(wait)
	}
}

// nextStep returns the scheduler's next step, with a copy of its payload. ok is false if there is none.
func (h *HealthChecker) nextStep() (step healthcheck.Step, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	step, ok = h.scheduler.Next(h.now())
	step.Payload = slices.Clone(step.Payload)
	return step, ok
}

// execute sends a message, starts a check or reports a peer's check result, depending on the step's kind.
func (h *HealthChecker) execute(step healthcheck.Step) {
	switch step.Kind {
	case healthcheck.Send:
		h.send(int(step.To), step.Payload)
	case healthcheck.Run:
		go h.runCheck(step)
	case healthcheck.Ended:
		h.router.HealthChecked(routing.ServerNumber(step.Check.ID), step.OK)
	}
}

// runCheck runs one health check and reports its result to the router and the scheduler. A check of a server that went out of
// service fails.
func (h *HealthChecker) runCheck(step healthcheck.Step) {
	h.mu.Lock()
	server := h.servers[step.Check.ID]
	h.mu.Unlock()
	ok := server != nil && h.requestHealth(server, time.Now().Add(step.Timeout))
	if server != nil {
		h.router.HealthChecked(server.Number(), ok)
	}
	h.mu.Lock()
	h.scheduler.CheckEnded(h.now(), step.Check, ok)
	h.mu.Unlock()
	h.notifyRun()
}

// Close ends Run. It must be called exactly once.
func (h *HealthChecker) Close() { close(h.done) }

// MarshalZerologObject writes the numbers of owned checks, servers and dead nodes, and the scheduler's counters since the
// node's start.
func (h *HealthChecker) MarshalZerologObject(e *zerolog.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.scheduler.Counters()
	e.Int("owned", h.scheduler.OwnedCount(h.now())).Int("servers", len(h.servers)).Int("dead", h.scheduler.DeadCount()).
		Int64("checks", c.Checks).Int64("backup_checks", c.BackupChecks).Int64("sent", c.Sent).Int64("bytes", c.SentBytes).
		Int64("withheld", c.Withheld).Int64("received", c.Received).Int64("malformed", c.Malformed).
		Int64("suspected", c.Suspected).Int64("died", c.Died).Int64("rejoined", c.Rejoined).Int64("refuted", c.Refuted)
}
