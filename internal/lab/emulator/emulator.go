// Package emulator emulates app servers on loopback as the platform's protocol describes them:
//
//   - HTTP/1.1 with one request at a time on a connection;
//   - bounded numbers of connections, of requests in work and of queued requests;
//   - a log-normal service time, which is longer while the server warms up;
//   - a handshake delay on each new connection;
//   - load reports, health checks and graceful shutdown;
//   - faults from a schedule.
//
// A server counts how often it began to execute each request ID, so that a test can prove that no unsafe request was
// executed twice.
//
// Random draws come from math/rand/v2 (PCG), seeded per server. The wall clock only decides when events happen.
package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/operatorfile"
)

// Fleet is a set of emulated servers with one schedule and one clock.
type Fleet struct {
	Servers []*Server // by number; not changed after Start

	startedAt time.Time
	stop      chan struct{}  // closed by Close
	wg        sync.WaitGroup // counts playSchedule
}

// Start opens cfg.Servers servers, the first at cfg.Listen and each next one a port higher. If cfg.Listen has port 0, all
// servers get free ports. Start returns an error for a non-loopback address or a port in use, and then leaves no server
// open. The caller stops the fleet by Close.
func Start(cfg operatorfile.Emulator, seed uint64, schedule Schedule, log zerolog.Logger) (*Fleet, error) {
	first, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	if !first.Addr().IsLoopback() {
		return nil, fmt.Errorf("emulator: %s is not a loopback address", first.Addr())
	}
	f := &Fleet{startedAt: time.Now(), stop: make(chan struct{})}
	for i := range cfg.Servers {
		addr := first
		if first.Port() != 0 {
			addr = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
		}
		s := &Server{
			id: i, cfg: cfg, schedule: schedule, fleetStart: f.startedAt, addr: addr.String(),
			rng: rand.New(rand.NewPCG(seed, uint64(i))), log: log.With().Int("server", i).Logger(),
			workSlots: make(chan struct{}, cfg.Concurrency),
		}
		if err := s.open(); err != nil {
			f.Close()
			return nil, fmt.Errorf("emulator: %w", err)
		}
		f.Servers = append(f.Servers, s)
	}
	f.wg.Add(1)
	go f.playSchedule()
	return f, nil
}

// Addrs returns the servers' addresses, host:port, by server number.
func (f *Fleet) Addrs() []string {
	addrs := make([]string, len(f.Servers))
	for i, s := range f.Servers {
		addrs[i] = s.Addr()
	}
	return addrs
}

// Close stops the schedule and every server, and closes their connections. It may be called again, but not concurrently.
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

// transition is a scheduled change of state of a whole server.
type transition struct {
	at     time.Duration // from the fleet's start
	server int
	kind   transitionKind
}

// transitionKind is the kind of a transition.
type transitionKind int

const (
	goDown transitionKind = iota
	startDrain
	comeUp
)

// playSchedule executes the scheduled restarts and drains. Its goroutine ends after the last of them, or at Close.
func (f *Fleet) playSchedule() {
	defer f.wg.Done()
	for _, t := range f.transitions() {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Until(f.startedAt.Add(t.at))):
		}
		s := f.Servers[t.server]
		switch t.kind {
		case goDown:
			s.close()
			s.count(func(c *Stats) { c.Restarts++ })
		case startDrain:
			s.Drain()
		case comeUp:
			if err := s.open(); err != nil {
				s.log.Error().Err(err).Msg("restart failed")
			}
		}
	}
}

// transitions returns the schedule's restarts and drains in order of time. At equal times, servers that come up are last.
func (f *Fleet) transitions() (out []transition) {
	for _, s := range f.Servers {
		for _, fault := range s.schedule.Faults {
			if !fault.Affects(s.id) {
				continue
			}
			switch fault.Kind {
			case Restart:
				out = append(out, transition{fault.Start(), s.id, goDown}, transition{fault.End(), s.id, comeUp})
			case Drain:
				out = append(out, transition{fault.Start(), s.id, startDrain})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b transition) int {
		isUp := func(t transition) int {
			if t.kind == comeUp {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(isUp(a), isUp(b)))
	})
	return out
}
