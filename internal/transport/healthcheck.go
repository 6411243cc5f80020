package transport

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/healthcheck"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// HealthChecker carries out the shared duties that one node has: the module in internal/duties says whom to write to and what
// to run, this sends, probes and reports. Probes go over the pool, so that a server in use is checked over a
// connection that stands anyway.
type HealthChecker struct {
	router *routing.Router
	pool   *Pool
	tell   func(to int, text []byte)
	log    *zerolog.Logger
	began  time.Time
	kick   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	node    *healthcheck.Scheduler
	servers map[uint64]*routing.Server
}

// NewHealthChecker makes the duties of one node; Run carries them out. tell sends a message to one peer.
func NewHealthChecker(cfg healthcheck.Config, router *routing.Router, pool *Pool, tell func(to int, text []byte),
	log *zerolog.Logger,
) *HealthChecker {
	d := &HealthChecker{
		router: router, pool: pool, tell: tell, log: log, began: time.Now(), kick: make(chan struct{}, 1),
		done: make(chan struct{}), servers: map[uint64]*routing.Server{},
	}
	d.node = healthcheck.New(cfg, 0)
	d.EndpointsChanged()
	return d
}

func (d *HealthChecker) now() time.Duration { return time.Since(d.began) }

func (d *HealthChecker) poke() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// EndpointsChanged takes over the app servers in service from the router, each to be checked.
func (d *HealthChecker) EndpointsChanged() {
	list := d.router.Servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.servers)
	due := make([]healthcheck.Check, len(list))
	for k, s := range list {
		due[k] = healthcheck.Check{Kind: healthcheck.CheckServer, ID: uint64(s.Number())}
		d.servers[due[k].ID] = s
	}
	d.node.SetChecks(d.now(), due)
	d.poke()
}

// ReceivePeerMessage takes in a peer's message and tells whether it could be read. It must begin with healthcheck.Mark.
func (d *HealthChecker) ReceivePeerMessage(from int, text []byte) bool {
	d.mu.Lock()
	ok := d.node.ReceivePeerMessage(d.now(), from, text)
	d.mu.Unlock()
	d.poke()
	return ok
}

// Run carries the duties out until Close.
func (d *HealthChecker) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-timer.C:
		case <-d.kick:
		}
		for s, ok := d.next(); ok; s, ok = d.next() {
			switch s.Kind {
			case healthcheck.Send:
				d.tell(s.To, s.Text)
			case healthcheck.Run:
				go d.run(s)
			case healthcheck.Ended:
				d.router.HealthChecked(uint32(s.Check.ID), s.Good)
			}
		}
		d.mu.Lock()
		wait := d.node.Wake(d.now())
		d.mu.Unlock()
		timer.Reset(wait)
	}
}

func (d *HealthChecker) next() (healthcheck.Step, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.node.Next(d.now())
	s.Text = append([]byte(nil), s.Text...)
	return s, ok
}

// Close ends Run.
func (d *HealthChecker) Close() { close(d.done) }

// MarshalZerologObject writes what the duties did so far, and how many of them this node has.
func (d *HealthChecker) MarshalZerologObject(e *zerolog.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.node.Count()
	e.Int("owned", d.node.Owned(d.now())).Int("servers", len(d.servers)).Int("dead", d.node.Dead()).
		Int64("runs", c.Runs).Int64("stood_in", c.StoodIn).Int64("sent", c.Sent).Int64("bytes", c.SentBytes).
		Int64("held", c.Held).Int64("heard", c.Heard).Int64("bad", c.Bad).Int64("suspected", c.Suspected).
		Int64("died", c.Died).Int64("came", c.Came).Int64("defended", c.Defended)
}

// run checks one server and reports how that ended.
func (d *HealthChecker) run(s healthcheck.Step) {
	d.mu.Lock()
	server := d.servers[s.Check.ID]
	d.mu.Unlock()
	good := server != nil && d.probe(server, time.Now().Add(s.Wait))
	if server != nil {
		d.router.HealthChecked(server.Number(), good)
	}
	d.mu.Lock()
	d.node.CheckEnded(d.now(), s.Check, good)
	d.mu.Unlock()
	d.poke()
}

// probe asks a server whether it is ready. Nothing is sent to one that is not in service any more.
func (d *HealthChecker) probe(s *routing.Server, until time.Time) bool {
	l := d.pool.get(s)
	if l == nil {
		ctx, cancel := context.WithDeadline(context.Background(), until)
		defer cancel()
		var err error
		if l, err = d.pool.dial(ctx, s); err != nil {
			return false
		}
	}
	if !d.router.InService(s) {
		d.pool.put(l)
		return false
	}
	l.conn.SetDeadline(until)
	l.out.appended(protocol.AppendHealthCheck(l.out.space(), s.Addr.String()))
	if l.out.flush() != nil {
		d.pool.close(l, reasonServerReset)
		return false
	}
	l.requests++
	reply, err := l.readResponse(nil)
	switch {
	case err == nil && !reply.Close && l.in.empty():
		d.pool.put(l)
	case err == nil:
		d.pool.close(l, reasonServerRequestedClose)
	case timedOut(l.in.err):
		d.pool.close(l, reasonServerTimeout)
	case l.in.err == nil:
		d.pool.close(l, reasonServerMalformed)
	default:
		d.pool.close(l, reasonServerReset)
	}
	return err == nil && reply.Outcome == protocol.Completed
}
