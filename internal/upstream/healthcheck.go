package upstream

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/healthcheck"
	"cherrygap/internal/routing"
)

// HealthChecker carries out this node's part of the fleet's health checks: healthcheck.Scheduler decides what is sent
// to which node and which server is checked when; this sends, checks and reports. Checks go over the pool, so that a
// server in use is checked over a connection that stands anyway. It is safe for concurrent use.
type HealthChecker struct {
	router  *routing.Router
	pool    *Pool
	send    func(to int, text []byte)
	started time.Time     // the origin of the scheduler's clock
	changed chan struct{} // holds one element if the scheduler may have a new step for Run
	done    chan struct{} // closed by Close

	// mu guards the scheduler, and servers with the contents of the map.
	mu        sync.Mutex
	scheduler *healthcheck.Scheduler
	servers   map[healthcheck.CheckID]*routing.Server // in service, by number
}

// NewHealthChecker makes the health checks of one node for the servers that the router has in service now; Run carries them
// out. send sends a message to one peer; it is called by one goroutine at a time, without a lock.
func NewHealthChecker(cfg healthcheck.Config, router *routing.Router, pool *Pool, send func(to int, text []byte)) *HealthChecker {
	h := &HealthChecker{
		router:    router,
		pool:      pool,
		send:      send,
		started:   time.Now(),
		changed:   make(chan struct{}, 1),
		done:      make(chan struct{}),
		scheduler: healthcheck.New(cfg, 0),
		servers:   map[healthcheck.CheckID]*routing.Server{},
	}
	h.EndpointsChanged()
	return h
}

func (h *HealthChecker) now() time.Duration { return time.Since(h.started) }

// notifyRun has Run ask the scheduler again.
func (h *HealthChecker) notifyRun() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// EndpointsChanged takes over the servers in service from the router, each to be checked.
func (h *HealthChecker) EndpointsChanged() {
	list := h.router.Servers()
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.servers)
	checks := make([]healthcheck.Check, len(list))
	for i, server := range list {
		checks[i] = healthcheck.Check{Kind: healthcheck.CheckServer, ID: healthcheck.CheckID(server.Number())}
		h.servers[checks[i].ID] = server
	}
	h.scheduler.SetChecks(h.now(), checks)
	h.notifyRun()
}

// ReceivePeerMessage takes in a peer's message, which begins with healthcheck.MessageMark, and reports whether it could be read.
func (h *HealthChecker) ReceivePeerMessage(from int, text []byte) bool {
	h.mu.Lock()
	err := h.scheduler.ReceivePeerMessage(h.now(), healthcheck.NodeID(from), text)
	h.mu.Unlock()
	h.notifyRun()
	return err == nil
}

// Run carries out the scheduler's decisions until Close. Each check has a goroutine of its own, which ends within the
// time that the scheduler gives it, also after Close.
func (h *HealthChecker) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-timer.C:
		case <-h.changed:
		}
		for step, ok := h.next(); ok; step, ok = h.next() {
			h.carryOut(step)
		}
		h.mu.Lock()
		wait := h.scheduler.Wake(h.now())
		h.mu.Unlock()
		timer.Reset(wait)
	}
}

// next returns the scheduler's next step, with a text of its own.
func (h *HealthChecker) next() (healthcheck.Step, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	step, ok := h.scheduler.Next(h.now())
	step.Text = slices.Clone(step.Text)
	return step, ok
}

func (h *HealthChecker) carryOut(step healthcheck.Step) {
	switch step.Kind {
	case healthcheck.Send:
		h.send(int(step.To), step.Text)
	case healthcheck.Run:
		go h.check(step)
	case healthcheck.Ended:
		h.router.HealthChecked(routing.ServerNumber(step.Check.ID), step.OK)
	}
}

// check carries out one health check and reports its result.
func (h *HealthChecker) check(step healthcheck.Step) {
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

// Close ends Run. It must be called once.
func (h *HealthChecker) Close() { close(h.done) }

// MarshalZerologObject writes how many tasks and servers there are here, and what was done so far.
func (h *HealthChecker) MarshalZerologObject(e *zerolog.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.scheduler.Counters()
	e.Int("owned", h.scheduler.OwnedCount(h.now())).Int("servers", len(h.servers)).Int("dead", h.scheduler.DeadCount()).
		Int64("checks", c.Checks).Int64("backup_checks", c.BackupChecks).Int64("sent", c.Sent).Int64("bytes", c.SentBytes).
		Int64("withheld", c.Withheld).Int64("received", c.Received).Int64("malformed", c.Malformed).
		Int64("suspected", c.Suspected).Int64("died", c.Died).Int64("rejoined", c.Rejoined).Int64("refuted", c.Refuted)
}
