// Package node is the life cycle of one edge node: it reads the configuration, opens the node's parts in their order,
// reloads, drains and closes them.
package node

import (
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/counters"
	"cherrygap/internal/discovery"
	"cherrygap/internal/frontend"
	"cherrygap/internal/netio"
	"cherrygap/internal/peersocket"
	"cherrygap/internal/quotastore"
	"cherrygap/internal/routing"
	"cherrygap/internal/upstream"
)

const (
	drainAccept   = 500 * time.Millisecond // that clients may still come for after SIGTERM; the platform's send for 0.4 s
	heapShare     = 0.6                    // of the memory limit; the rest is for stacks, the kernel and the program
	reloadTimeout = 20 * time.Second       // for all tries to read a configuration that could not be read

	gcPercent = 400 // little is live, so that a roomy heap saves collections
)

// ReloadRetry is the pause between two attempts to read a configuration that could not be read.
const ReloadRetry = 100 * time.Millisecond

// server is one running edge node: it owns the node's parts from start to close. Its fields belong to the goroutine of
// Run, which alone calls start, handleSignals and close, and are not written once the parts' goroutines run, except
// config, which these do not read. The parts are safe for concurrent use.
type server struct {
	config   *config // replaced by reload
	limits   netio.Limits
	counters *counters.Node
	log      zerolog.Logger

	timer     *netio.Timer
	router    *routing.Router
	pool      *upstream.Pool
	discovery *discovery.Client
	frontEnd  *frontend.Server

	// Parts that only some configurations have; nil without.
	peers        *peersocket.Socket
	quotas       *quotastore.Quotas
	healthChecks *upstream.HealthChecker
	authorizer   authorizer
	drainGRPC    func() // stops the gRPC front end, and returns once its last request has ended

	reloadAgain <-chan time.Time // when a configuration that could not be read is read again; nil: it is not
	reloadUntil time.Time        // until when that is tried

	hasEndpoints bool          // the configuration held an endpoint list
	pollRequests chan struct{} // the decision engine asks for the endpoint list; one that waits is enough
	closers      []func()      // what close calls, the last first
}

// Run runs a node until it has drained after SIGTERM, or returns the error that ended its start.
func Run(c *config) error {
	limitRuntime(c)
	s := newServer(c)
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	s.handleSignals(CatchSignals())
	return nil
}

// limitRuntime keeps the Go runtime within the cores and the memory that the platform gives the node.
func limitRuntime(c *config) {
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.MemoryMB<<20)))
	debug.SetGCPercent(gcPercent)
}

// newServer makes a node that has its log and counters and nothing else yet.
func newServer(c *config) *server {
	s := &server{config: c, counters: &counters.Node{}, pollRequests: make(chan struct{}, 1)}
	var closeLog func()
	s.log, closeLog = openLog(c.logLevel, c.Name, func(lines int) { s.counters.LogLinesDropped.Add(int64(lines)) })
	s.onClose(closeLog)
	s.limits = c.transportLimits()
	return s
}

// start opens the parts in their order and begins to serve: the node's own descriptors first, then the known endpoint list,
// and the listeners last, once everything that decides on requests is there. close is to be called after an error too.
func (s *server) start() error {
	s.warnOfDeprecations()
	for _, open := range []func() error{
		s.openTimer,
		s.openPeerSocket,
		s.openQuotaStore,
		s.buildRouter,
		s.loadKnownEndpoints,
		s.buildHealthChecks,
		s.buildDiscovery,
		s.dialAuthorizer,
		s.listenHTTP,
		s.listenGRPC,
	} {
		if err := open(); err != nil {
			return err
		}
	}
	s.startBackground()
	s.router.Tick()
	s.log.Info().Str("listen", s.config.Listen).Msg("started")
	return nil
}

// startBackground starts the goroutines of the parts. Those of the timer and of the health checks end on close. Discovery
// and the peers' socket are needed until the last request has ended, and end with the process.
func (s *server) startBackground() {
	go s.timer.Run(s.router.Tick)
	go s.discovery.Run()
	if s.healthChecks != nil {
		go s.healthChecks.Run()
		s.onClose(s.healthChecks.Close)
	}
	if s.peers != nil {
		go s.peers.Receive(s.receivePeerMessage)
	}
}

// handleSignals carries out the signals' requests, until the drain that SIGTERM begins is over.
func (s *server) handleSignals(caught Signals) {
	drained := make(chan struct{})
	for {
		select {
		case <-caught.counters:
			s.logCounters("counters")
		case <-caught.reload: // while draining too: open requests may still be forwarded
			s.reloadAgain, s.reloadUntil = nil, time.Now().Add(reloadTimeout)
			s.reload(false)
		case <-s.reloadAgain:
			s.reload(true)
		case <-caught.terminate:
			caught.terminate = nil // one drain is enough
			go func() {            // ends once all clients have gone
				s.drain()
				close(drained)
			}()
		case <-drained:
			s.logCounters("stopped")
			return
		}
	}
}

// reload reads the platform's configuration again. One that is no good changes nothing. Where the file could not be read,
// or only a part of it was there, it is read again until reloadUntil: the signal comes once.
func (s *server) reload(isRetry bool) {
	s.reloadAgain = nil
	next, err := s.config.reload(s.discovery.SwitchTo)
	if err != nil {
		if !isRetry {
			s.log.Error().Err(err).Msg("configuration reload failed")
		}
		if mayBeReadLater(err) && time.Now().Before(s.reloadUntil) {
			s.reloadAgain = time.After(ReloadRetry)
		}
		return
	}
	s.config = next
	s.warnOfKnownList()
	s.config.releaseKnownList()
	s.log.Info().Str("discovery", next.fileDiscovery).Msg("configuration reloaded")
}

// drain stops both front ends at the same time, and returns when the last of their requests has its response.
func (s *server) drain() {
	if s.drainGRPC == nil {
		s.frontEnd.Drain(drainAccept)
		return
	}
	ended := make(chan struct{})
	go func() { // ends with the last gRPC request
		s.drainGRPC()
		close(ended)
	}()
	s.frontEnd.Drain(drainAccept)
	<-ended
}

// onClose adds a step that undoes what was just opened.
func (s *server) onClose(step func()) { s.closers = append(s.closers, step) }

// close undoes what was opened, in the reverse order.
func (s *server) close() {
	for len(s.closers) > 0 {
		last := len(s.closers) - 1
		step := s.closers[last]
		s.closers = s.closers[:last]
		step()
	}
}
