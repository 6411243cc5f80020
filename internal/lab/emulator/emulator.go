// Package emulator plays app servers on loopback as the platform's protocol describes them: HTTP/1.1, one
// request at a time on a connection, a bounded number of connections and of tickets at work, a log-normal
// service time that is longer while the server warms up, a cost for a new connection, load reports and probes,
// a drain with grace, and faults scripted from a seed and a schedule. It keeps count of how often each
// X-Call-Id began to run, so that a test can prove that no single-use ticket ran twice.
//
// Random draws come from math/rand/v2 (PCG) seeded per server; the wall clock decides only when things happen.
package emulator

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/operatorfile"
)

// Fleet is a set of emulated servers with one schedule and one clock.
type Fleet struct {
	Servers []*Server
	start   time.Time
	stop    chan struct{}
	wg      sync.WaitGroup
}

// Stats is what one server saw, as counts.
type Stats struct {
	Requests, Completed, Errors, Rejected, Resets, Spoilt, Silent, Lost, NoID int64
	Runs                                                                      int64 // executions begun
	Twice                                                                     int64 // ids that began more than once
	Connections, Refused                                                      int64 // accepted, reset at the cap
	Restarts                                                                  int64
}

// Start opens n servers from cfg, the first at cfg.Listen and each next one port higher (or all on free ports
// when its port is 0). It errors on a non-loopback address or a port in use, and then opens none.
func Start(cfg operatorfile.Emulator, seed uint64, sched Schedule, log zerolog.Logger) (*Fleet, error) {
	ap, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, err
	}
	if !ap.Addr().IsLoopback() {
		return nil, fmt.Errorf("emulator: %s is not a loopback address", ap.Addr())
	}
	f := &Fleet{start: time.Now(), stop: make(chan struct{})}
	for i := range cfg.Servers {
		addr := ap
		if ap.Port() != 0 {
			addr = netip.AddrPortFrom(ap.Addr(), ap.Port()+uint16(i))
		}
		s := &Server{
			id: i, cfg: cfg, sched: sched, fleetStart: f.start, addr: addr.String(),
			rng: rand.New(rand.NewPCG(seed, uint64(i))), log: log.With().Int("server", i).Logger(),
			runs: map[string]int{}, slots: make(chan struct{}, cfg.Concurrency),
		}
		if err := s.open(); err != nil {
			f.Close()
			return nil, err
		}
		f.Servers = append(f.Servers, s)
	}
	f.wg.Add(1)
	go f.restarts()
	return f, nil
}

// Addrs gives each server's address, host:port.
func (f *Fleet) Addrs() []string {
	out := make([]string, len(f.Servers))
	for i, s := range f.Servers {
		out[i] = s.Addr()
	}
	return out
}

// Close ends every server at once, resetting what it holds.
func (f *Fleet) Close() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.wg.Wait()
	for _, s := range f.Servers {
		s.close()
	}
}

// restarts carries out scheduled restarts: down at the start, back cold at the end.
func (f *Fleet) restarts() {
	defer f.wg.Done()
	type event struct {
		at     time.Duration
		server int
		up     bool
		drain  bool
	}
	var events []event
	for _, s := range f.Servers {
		for _, fl := range s.sched.Faults {
			if fl.Server != -1 && fl.Server != s.id {
				continue
			}
			switch fl.Kind {
			case Restart:
				events = append(events, event{fl.At(), s.id, false, false}, event{fl.End(), s.id, true, false})
			case Drain:
				events = append(events, event{fl.At(), s.id, false, true})
			}
		}
	}
	// in time order; at the same instant, downs before ups
	for i := 1; i < len(events); i++ {
		for j := i; j > 0 && (events[j].at < events[j-1].at ||
			events[j].at == events[j-1].at && !events[j].up && events[j-1].up); j-- {
			events[j], events[j-1] = events[j-1], events[j]
		}
	}
	for _, e := range events {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Until(f.start.Add(e.at))):
		}
		s := f.Servers[e.server]
		if e.drain {
			s.Drain()
			continue
		}
		if e.up {
			if err := s.open(); err != nil {
				s.log.Error().Err(err).Msg("restart failed")
			}
		} else {
			s.close()
			s.add(func(c *Stats) { c.Restarts++ })
		}
	}
}

// Server is one emulated app server.
type Server struct {
	id         int
	cfg        operatorfile.Emulator
	sched      Schedule
	fleetStart time.Time
	addr       string
	log        zerolog.Logger

	mu       sync.Mutex
	rng      *rand.Rand
	runs     map[string]int // by X-Call-Id: executions begun
	count    Stats
	booted   time.Time
	draining bool
	srv      *http.Server
	ln       *capped

	slots   chan struct{} // tickets at work
	waiting atomic.Int64
	working atomic.Int64
}

// Addr is the server's address, host:port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Stats gives a copy of the server's counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count
	if s.ln != nil {
		c.Connections, c.Refused = s.ln.accepted.Load(), s.ln.refused.Load()
	}
	return c
}

// Runs tells how often the ticket with this X-Call-Id began to run here.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Drain makes the server turn new tickets away (503, X-Rejected: 1) and its probes answer 503, while it
// still takes connections; what it holds may finish within the grace, after which it closes everything.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	srv := s.srv
	s.mu.Unlock()
	if srv == nil {
		return
	}
	time.AfterFunc(time.Duration(s.cfg.DrainMs*float64(time.Millisecond)), func() {
		s.mu.Lock()
		same := s.srv == srv
		s.mu.Unlock()
		if same {
			s.close()
		}
	})
}

func (s *Server) open() error {
	raw, err := net.Listen("tcp", s.Addr())
	if err != nil {
		return err
	}
	ln := &capped{Listener: raw, most: int64(s.cfg.Connections)}
	srv := &http.Server{
		Handler: s, IdleTimeout: time.Duration(s.cfg.IdleS * float64(time.Second)),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, newConn{}, &atomic.Bool{})
		},
		ConnState: func(c net.Conn, st http.ConnState) {
			if st == http.StateClosed || st == http.StateHijacked {
				ln.open.Add(-1)
			}
		},
		ErrorLog: nil,
	}
	s.mu.Lock()
	s.addr, s.srv, s.ln, s.booted, s.draining = raw.Addr().String(), srv, ln, time.Now(), false
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	return nil
}

func (s *Server) close() {
	s.mu.Lock()
	srv := s.srv
	s.srv = nil
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

type newConn struct{}

// capped is a listener that resets connections past its cap, as a full app server does.
type capped struct {
	net.Listener
	most              int64
	open              atomic.Int64
	accepted, refused atomic.Int64
}

func (l *capped) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.most {
			l.refused.Add(1)
			resetConn(c)
			continue
		}
		l.open.Add(1)
		l.accepted.Add(1)
		return c, nil
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// ServeHTTP answers one request as the protocol page says an app server does.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since := time.Since(s.fleetStart)
	first := false
	if b, ok := r.Context().Value(newConn{}).(*atomic.Bool); ok {
		first = !b.Swap(true)
	}
	if first && s.cfg.HandshakeMs > 0 {
		time.Sleep(time.Duration(s.cfg.HandshakeMs * float64(time.Millisecond)))
	}
	switch r.URL.Path {
	case "/healthz", "/load":
		s.probe(w, r)
		return
	}
	id := r.Header.Get("X-Call-Id")
	s.mu.Lock()
	s.count.Requests++
	draining := s.draining
	faults := s.sched.active(s.id, since, nil)
	var hit []Fault
	for _, f := range faults {
		if f.P >= 1 || s.rng.Float64() < f.P {
			hit = append(hit, f)
		}
	}
	units := 1.0
	if u, ok := weightUnits(r.Header.Get("X-Weight")); ok {
		units = u
	}
	work := s.serviceTime(units, hit)
	s.mu.Unlock()
	if id == "" {
		s.add(func(c *Stats) { c.NoID++ })
		http.NotFound(w, r)
		return
	}
	if draining || has(hit, Refuse) {
		s.reject(w)
		return
	}
	if has(hit, Silence) {
		s.add(func(c *Stats) { c.Silent++ })
		<-r.Context().Done() // the client gives up; nothing ran
		return
	}
	budget := time.Duration(1<<62 - 1)
	if b, err := strconv.Atoi(r.Header.Get("X-Budget-Ms")); err == nil && b > 0 {
		budget = time.Duration(b) * time.Millisecond
	}
	if !s.admit(r.Context(), budget) {
		s.reject(w)
		return
	}
	defer func() { <-s.slots; s.working.Add(-1) }()
	s.mu.Lock()
	s.runs[id]++
	s.count.Runs++
	if s.runs[id] == 2 {
		s.count.Twice++
	}
	s.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return // the connection ended: it ran, and nobody hears
	}
	s.answer(w, r, id, hit)
}

// admit waits for a slot of work, within the queue's bound and the ticket's budget.
func (s *Server) admit(ctx context.Context, budget time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
		s.working.Add(1)
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.cfg.Queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	t := time.NewTimer(budget)
	defer t.Stop()
	select {
	case s.slots <- struct{}{}:
		s.working.Add(1)
		return true
	case <-t.C: // the request is already over
	case <-ctx.Done():
	}
	return false
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, hit []Fault) {
	body := "done " + id + "\n"
	switch {
	case has(hit, Lose):
		s.add(func(c *Stats) { c.Lost++ })
		<-r.Context().Done()
		return
	case has(hit, Error):
		s.add(func(c *Stats) { c.Errors++ })
		s.report(w)
		http.Error(w, "error", http.StatusInternalServerError)
		return
	case has(hit, Reset):
		s.add(func(c *Stats) { c.Resets++ })
		s.resetMidBody(w, body)
		return
	case has(hit, Spoil):
		s.add(func(c *Stats) { c.Spoilt++ })
		body = "done " + strconv.FormatUint(rand.Uint64(), 16) + "\n"
	default:
		s.add(func(c *Stats) { c.Completed++ })
	}
	s.report(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// resetMidBody writes the head and half the body, then resets the connection.
func (s *Server) resetMidBody(w http.ResponseWriter, body string) {
	hj, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, buf, err := hj.Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
	_ = buf.Flush()
	resetConn(c)
}

func (s *Server) reject(w http.ResponseWriter) {
	s.add(func(c *Stats) { c.Rejected++ })
	w.Header().Set("X-Rejected", "1")
	s.report(w)
	http.Error(w, "turned away", http.StatusServiceUnavailable)
}

func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	if !s.cfg.Probes {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	code := http.StatusOK
	if draining {
		code = http.StatusServiceUnavailable
	}
	w.WriteHeader(code)
	if r.URL.Path == "/load" {
		_, _ = w.Write([]byte(s.loadReport()))
	}
}

func (s *Server) report(w http.ResponseWriter) {
	if s.cfg.Reports {
		w.Header().Set("X-Load-Report", s.loadReport())
	}
}

func (s *Server) loadReport() string {
	working, waiting := s.working.Load(), s.waiting.Load()
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", working, waiting, float64(working)/float64(s.cfg.Concurrency))
}

// serviceTime draws a log-normal time for so many units, longer while warm-up lasts and under slow faults.
// Called with the lock held, for the random source.
func (s *Server) serviceTime(units float64, hit []Fault) time.Duration {
	ms := s.cfg.ServiceMs * math.Max(units, 0.1) * math.Exp(s.cfg.Spread*s.rng.NormFloat64())
	if up := time.Since(s.booted).Seconds(); s.cfg.WarmupS > 0 && up < s.cfg.WarmupS {
		ms *= 1 + (s.cfg.ColdFactor-1)*(1-up/s.cfg.WarmupS)
	}
	for _, f := range hit {
		if f.Kind == Slow {
			ms *= f.X
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *Server) add(f func(*Stats)) {
	s.mu.Lock()
	f(&s.count)
	s.mu.Unlock()
}

func has(fs []Fault, k Kind) bool {
	for _, f := range fs {
		if f.Kind == k {
			return true
		}
	}
	return false
}

// weightUnits reads units=N from an X-Weight header.
func weightUnits(h string) (float64, bool) {
	for part := range strings.SplitSeq(h, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "units="); ok {
			u, err := strconv.ParseFloat(v, 64)
			return u, err == nil && u >= 0
		}
	}
	return 0, false
}
