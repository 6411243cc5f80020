// Package node implements the life cycle of one edge node. It reads the configuration, opens the node's parts in a fixed
// order, reloads the configuration, drains the node and closes the parts.
//
// New, Start, Run and Close affect nothing of the process but the node's own sockets, goroutines and log. LimitRuntime and
// CatchSignals change the whole process, so a program calls them once.
package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/counters"
	"cherrygap/internal/discovery"
	"cherrygap/internal/frontend"
	"cherrygap/internal/membudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/peersocket"
	"cherrygap/internal/quotastore"
	"cherrygap/internal/routing"
	"cherrygap/internal/schedpause"
	"cherrygap/internal/upstream"
)

// drainAcceptTime is the time after SIGTERM during which a node still accepts connections. The platform routes new clients to
// the node for up to 0.4 s after it has sent the signal.
const drainAcceptTime = 500 * time.Millisecond

// Node is one edge node. It owns the node's parts from Start to Close.
//
// Only one goroutine at a time may call the exported methods. As an exception, Drain may run at the same time as any method but
// Start. Run, for example, calls LogCounters and Reload during Drain. The parts call some unexported methods on their own
// goroutines, for example sendToPeer and updateEndpoints. New and Start write every field that Drain or such a method reads
// before that method can run. The parts are safe for concurrent use.
type Node struct {
	config   *Config // current configuration; replaced by Reload
	limits   netio.Limits
	memory   *membudget.Budget // memory of messages; nil without a limit
	counters *counters.Node
	log      zerolog.Logger

	timer     *netio.Timer
	pauses    schedpause.Tracker // spans in which the process did not run
	router    *routing.Router
	pool      *upstream.Pool
	discovery *discovery.Client
	frontEnd  *frontend.Server

	// Optional parts; nil if the configuration does not enable them.
	peers        *peersocket.Socket
	quotas       *quotastore.Quotas
	healthChecks *upstream.HealthChecker
	authorizer   authorizer
	drainGRPC    func() // stops the gRPC front end and returns once its last request has ended

	reloadRetry reloadRetry

	hasKnownEndpoints bool           // whether the configuration at the start had a valid endpoint list that was not empty
	pollRequests      chan struct{}  // holds one element while a poll is requested but not yet started
	drainOnce         sync.Once      // makes drain run at most once
	closers           []func()       // functions that closeParts calls in reverse order
	background        sync.WaitGroup // counts the goroutines of startBackground
}

// New returns a node with its log and counters. Start opens the other parts. The caller must call Close, even after an error
// of Start.
func New(c *Config) *Node {
	n := &Node{config: c, counters: &counters.Node{}, pollRequests: make(chan struct{}, 1)}
	var closeLog func()
	n.log, closeLog = openLog(ParseLogLevel(c.operator.Log.Level), c.Name, func(lines int) { n.counters.LogLinesDropped.Add(int64(lines)) })
	n.onClose(closeLog)
	n.limits = c.socketLimits()
	n.memory = membudget.New(n.limits.MemoryPlan().Messages)
	return n
}

// Start opens the parts and begins to serve. It opens the timer and the peer socket before the router, which uses them, and
// loads the known endpoint list into the router. The front ends come last, once all parts that decide on requests are open.
// After an error only Close may be called.
func (n *Node) Start() error {
	n.logDeprecatedKeys()
	for _, open := range []func() error{
		n.openTimer,
		n.openPeerSocket,
		n.openQuotaStore,
		n.buildRouter,
		n.loadKnownEndpoints,
		n.buildHealthChecks,
		n.buildDiscovery,
		n.dialAuthorizer,
		n.listenHTTP,
		n.listenGRPC,
	} {
		if err := open(); err != nil {
			return err
		}
	}
	n.startBackground()
	n.router.TimerFired()
	n.log.Info().Str("listen", n.config.Listen).Msg("started")
	return nil
}

// startBackground starts the goroutines of the timer, the discovery client, the health checks and the peer socket. They end
// during Close.
func (n *Node) startBackground() {
	n.runInBackground(func() { n.timer.Run(n.timerFired) })
	n.runInBackground(n.discovery.Run)
	if n.healthChecks != nil {
		n.runInBackground(n.healthChecks.Run)
		n.onClose(n.healthChecks.Close)
	}
	if n.peers != nil {
		n.runInBackground(func() { n.peers.Receive(n.receivePeerMessage) })
	}
}

// runInBackground runs a part's loop on a goroutine that Close waits for.
func (n *Node) runInBackground(loop func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		loop()
	}()
}

// Drain stops both front ends at the same time. The HTTP front end still accepts connections for drainAcceptTime. Drain
// returns once every accepted request has its response. Further calls, and Close, wait for the first one and do not drain again.
func (n *Node) Drain() { n.drainOnce.Do(func() { n.drain(drainAcceptTime) }) }

// drain stops both front ends as Drain does. The HTTP front end accepts connections for the time acceptFor.
func (n *Node) drain(acceptFor time.Duration) {
	if n.drainGRPC == nil {
		n.frontEnd.Drain(acceptFor)
		return
	}
	ended := make(chan struct{})
	go func() { // ends with the last gRPC request
		n.drainGRPC()
		close(ended)
	}()
	n.frontEnd.Drain(acceptFor)
	<-ended
}

// Close closes everything that New and Start opened, and returns once the parts' goroutines have ended. A health check in
// flight ends within its own timeout. Without an earlier Drain, Close stops accepting connections at once and waits for the
// requests in flight.
func (n *Node) Close() {
	if n.frontEnd != nil {
		n.drainOnce.Do(func() { n.drain(0) })
	}
	n.closeParts()
	n.stopForwarding()
}

// onClose registers a function that closes the part that was just opened.
func (n *Node) onClose(closePart func()) { n.closers = append(n.closers, closePart) }

// closeParts calls the functions that onClose registered, each once and in reverse order.
func (n *Node) closeParts() {
	for len(n.closers) > 0 {
		last := len(n.closers) - 1
		closePart := n.closers[last]
		n.closers = n.closers[:last]
		closePart()
	}
}

// stopForwarding closes the discovery client, the peer socket and the pool, which must work until the last request has ended.
// Close calls it after it has closed the log. So "stopped" is the last log line, and lines that these parts still log are lost.
func (n *Node) stopForwarding() {
	if n.discovery != nil {
		n.discovery.Stop()
	}
	if n.peers != nil {
		n.peers.Close()
	}
	n.background.Wait()
	if n.pool != nil {
		n.pool.Close()
	}
}
