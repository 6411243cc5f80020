// Package emulator emulates app servers on loopback as the platform's protocol describes them. A server has these properties:
//
//   - HTTP/1.1 with one request at a time on a connection;
//   - limited numbers of connections, of executing requests and of queued requests;
//   - a log-normal service time, which is longer while the server warms up;
//   - a handshake delay on each new connection;
//   - load reports, health checks and graceful shutdown;
//   - faults from a schedule.
//
// A server counts how often it began to execute each request ID. With the counts a test can prove that no unsafe request was
// executed twice.
//
// Random draws come from math/rand/v2 (PCG), with a seed for each server. Only the wrong ID in a malformed response is drawn
// without the seed. The wall clock only decides when events happen.
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
	Servers []*Server // servers by number; immutable after Start

	startedAt time.Time
	stop      chan struct{}  // Close closes this channel.
	wg        sync.WaitGroup // Close waits here for the goroutine of runSchedule.
}

// Start opens cfg.Servers servers, the first at cfg.Listen and each next one at the next higher port. If cfg.Listen has port 0,
// all servers get free ports. For a non-loopback address or a port in use Start returns an error and leaves no server open.
// The caller must call Close.
func Start(cfg operatorfile.Emulator, seed uint64, schedule Schedule, log zerolog.Logger) (*Fleet, error) {
	first, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("emulator: listen address: %w", err)
	}
	if !first.Addr().IsLoopback() {
		return nil, fmt.Errorf("emulator: listen address %s is not a loopback address", first.Addr())
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
			return nil, fmt.Errorf("emulator: server %d: %w", i, err)
		}
		f.Servers = append(f.Servers, s)
	}
	f.wg.Add(1)
	go f.runSchedule()
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

// Close stops the schedule and all servers, and closes their connections. It may be called again, but not concurrently.
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

// transition is a scheduled stop, drain or start of a server.
type transition struct {
	at     time.Duration // time since the fleet's start
	server int           // number of the server
	kind   transitionKind
}

// transitionKind is the kind of a transition.
type transitionKind int

const (
	serverStop  transitionKind = iota // stop of the server for a restart
	serverDrain                       // start of a drain
	serverStart                       // start of the server after a restart
)

// runSchedule executes the scheduled restarts and drains. Its goroutine ends after the last of them or at Close.
func (f *Fleet) runSchedule() {
	defer f.wg.Done()
	for _, t := range f.transitions() {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Until(f.startedAt.Add(t.at))):
		}
		s := f.Servers[t.server]
		switch t.kind {
		case serverStop:
			s.close()
			s.count(func(c *Stats) { c.Restarts++ })
		case serverDrain:
			s.Drain()
		case serverStart:
			if err := s.open(); err != nil {
				s.log.Error().Err(err).Msg("restart of an emulated server failed")
			}
		}
	}
}

// transitions returns the transitions of the schedule in order of time. At equal times, the starts of servers are last.
func (f *Fleet) transitions() (out []transition) {
	for _, s := range f.Servers {
		for _, fault := range s.schedule.Faults {
			if !fault.Affects(s.id) {
				continue
			}
			switch fault.Kind {
			case Restart:
				out = append(out, transition{fault.Start(), s.id, serverStop}, transition{fault.End(), s.id, serverStart})
			case Drain:
				out = append(out, transition{fault.Start(), s.id, serverDrain})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b transition) int {
		isStart := func(t transition) int {
			if t.kind == serverStart {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(isStart(a), isStart(b)))
	})
	return out
}
