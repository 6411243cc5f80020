package transport

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/duties"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// Duties carries out the shared duties that one node has: the module in internal/duties says whom to write to and what
// to run, this sends, probes and reports. Probes go over the pool, so that a server in use is checked over a
// connection that stands anyway.
type Duties struct {
	router *routing.Router
	pool   *Pool
	tell   func(to int, text []byte)
	log    *zerolog.Logger
	began  time.Time
	kick   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	node    *duties.Node
	servers map[uint64]*routing.Server
}

// NewDuties makes the duties of one node; Run carries them out. tell sends a message to one peer.
func NewDuties(cfg duties.Config, router *routing.Router, pool *Pool, tell func(to int, text []byte),
	log *zerolog.Logger) *Duties {
	d := &Duties{router: router, pool: pool, tell: tell, log: log, began: time.Now(), kick: make(chan struct{}, 1),
		done: make(chan struct{}), servers: map[uint64]*routing.Server{}}
	d.node = duties.New(cfg, 0)
	d.Listed()
	return d
}

func (d *Duties) now() time.Duration { return time.Since(d.began) }

func (d *Duties) poke() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// Listed takes over the app servers in service from the router, each to be checked.
func (d *Duties) Listed() {
	list := d.router.Servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.servers)
	due := make([]duties.Duty, len(list))
	for k, s := range list {
		due[k] = duties.Duty{Kind: duties.Check, ID: uint64(s.Number())}
		d.servers[due[k].ID] = s
	}
	d.node.Set(d.now(), due)
	d.poke()
}

// Heard takes in a peer's message and tells whether it could be read. It must begin with duties.Mark.
func (d *Duties) Heard(from int, text []byte) bool {
	d.mu.Lock()
	ok := d.node.Heard(d.now(), from, text)
	d.mu.Unlock()
	d.poke()
	return ok
}

// Run carries the duties out until Close.
func (d *Duties) Run() {
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
			switch s.Do {
			case duties.Send:
				d.tell(s.To, s.Text)
			case duties.Run:
				go d.run(s)
			case duties.Told:
				d.router.Probed(uint32(s.Duty.ID), s.Good)
			}
		}
		d.mu.Lock()
		wait := d.node.Wake(d.now())
		d.mu.Unlock()
		timer.Reset(wait)
	}
}

func (d *Duties) next() (duties.Step, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.node.Next(d.now())
	s.Text = append([]byte(nil), s.Text...)
	return s, ok
}

// Close ends Run.
func (d *Duties) Close() { close(d.done) }

// MarshalZerologObject writes what the duties did so far, and how many of them this node has.
func (d *Duties) MarshalZerologObject(e *zerolog.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.node.Count()
	e.Int("owned", d.node.Owned(d.now())).Int("servers", len(d.servers)).Int("dead", d.node.Dead()).
		Int64("runs", c.Runs).Int64("stood_in", c.StoodIn).Int64("sent", c.Sent).Int64("bytes", c.SentBytes).
		Int64("held", c.Held).Int64("heard", c.Heard).Int64("bad", c.Bad).Int64("suspected", c.Suspected).
		Int64("died", c.Died).Int64("came", c.Came).Int64("defended", c.Defended)
}

// run checks one server and reports how that ended.
func (d *Duties) run(s duties.Step) {
	d.mu.Lock()
	server := d.servers[s.Duty.ID]
	d.mu.Unlock()
	good := server != nil && d.probe(server, time.Now().Add(s.Wait))
	if server != nil {
		d.router.Probed(server.Number(), good)
	}
	d.mu.Lock()
	d.node.Ran(d.now(), s.Duty, good)
	d.mu.Unlock()
	d.poke()
}

// probe asks a server whether it is ready. Nothing is sent to one that is not in service any more.
func (d *Duties) probe(s *routing.Server, until time.Time) bool {
	l := d.pool.take(s)
	if l == nil {
		ctx, cancel := context.WithDeadline(context.Background(), until)
		defer cancel()
		var err error
		if l, err = d.pool.dial(ctx, s); err != nil {
			return false
		}
	}
	if !d.router.MayStart(s) {
		d.pool.put(l)
		return false
	}
	l.conn.SetDeadline(until)
	l.out.took(protocol.AppendProbe(l.out.room(), s.Addr.String()))
	if l.out.Flush() != nil {
		d.pool.end(l, serverBroken)
		return false
	}
	l.used++
	br := parsers.Get().(*bufio.Reader)
	br.Reset(&l.in)
	l.in.Allow(protocol.MostHead + 4*protocol.MostBody)
	l.in.patient = true // the probe's own time guards it
	reply, err := protocol.ReadReply(br, nil)
	l.in.patient = false
	l.in.done(br)
	br.Reset(nil)
	parsers.Put(br)
	switch {
	case err == nil && !reply.Close && l.in.r == l.in.w:
		d.pool.put(l)
	case err == nil:
		d.pool.end(l, serverLast)
	case timedOut(l.in.err):
		d.pool.end(l, serverLate)
	case l.in.err == nil:
		d.pool.end(l, serverBad)
	default:
		d.pool.end(l, serverBroken)
	}
	return err == nil && reply.Outcome == protocol.Completed
}
