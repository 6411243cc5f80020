// Package node is the life cycle of one edge node: it reads the configuration, opens the parts in their order, reloads,
// drains and closes them.
//
// New, Start, Run and Close have no effect on the process beyond the node's own sockets, goroutines and log. The functions
// LimitRuntime and CatchSignals change the process, and a program calls them once.
package node

import (
	"sync"
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

// drainAcceptTime is how long a node still accepts connections after SIGTERM. The platform routes new clients to the node for
// up to 0.4 s after it has sent the signal.
const drainAcceptTime = 500 * time.Millisecond

// Node is one running edge node. It owns the node's parts from Start to Close.
//
// One goroutine at a time may call the methods. Only Drain may run beside LogCounters and Reload, as in Run. The fields that
// the parts' goroutines and Drain read are written before those start. The parts are safe for concurrent use.
type Node struct {
	config   *Config // replaced by Reload
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

	reloadRetry reloadRetry

	hasEndpoints bool           // the configuration held a valid endpoint list that is not empty
	pollRequests chan struct{}  // holds one element while the decision engine waits for an endpoint list
	drainOnce    sync.Once      // drain runs once
	closers      []func()       // steps that closeParts calls, the last first
	background   sync.WaitGroup // the goroutines of startBackground
}

// New makes a node with its log and counters. Start opens the other parts, and Close has to be called in any case.
func New(c *Config) *Node {
	n := &Node{config: c, counters: &counters.Node{}, pollRequests: make(chan struct{}, 1)}
	var closeLog func()
	n.log, closeLog = openLog(ParseLogLevel(c.operator.Log.Level), c.Name, func(lines int) { n.counters.LogLinesDropped.Add(int64(lines)) })
	n.onClose(closeLog)
	n.limits = c.socketLimits()
	return n
}

// Start opens the parts and begins to serve. The timer and the node's own sockets come first, then the known endpoint list.
// The front ends come last, once all parts that decide on requests are there. After an error only Close may be called.
func (n *Node) Start() error {
	n.warnOfDeprecations()
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

// startBackground starts the parts' goroutines. Close ends them.
func (n *Node) startBackground() {
	n.runInBackground(func() { n.timer.Run(n.router.TimerFired) })
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

// Drain stops both front ends at the same time. It still accepts connections for drainAcceptTime, and returns once every
// accepted request has its response. A further call, and Close, wait for the first one and do not drain again.
func (n *Node) Drain() { n.drainOnce.Do(func() { n.drain(drainAcceptTime) }) }

// drain is Drain with a time in which connections are still accepted.
func (n *Node) drain(accept time.Duration) {
	if n.drainGRPC == nil {
		n.frontEnd.Drain(accept)
		return
	}
	ended := make(chan struct{})
	go func() { // ends with the last gRPC request
		n.drainGRPC()
		close(ended)
	}()
	n.frontEnd.Drain(accept)
	<-ended
}

// Close closes all that New and Start opened, and returns once the parts' goroutines have ended. A health check in flight
// ends within its own timeout. Without a Drain before, Close stops accepting connections at once and waits for the requests in
// flight.
func (n *Node) Close() {
	if n.frontEnd != nil {
		n.drainOnce.Do(func() { n.drain(0) })
	}
	n.closeParts()
	n.stopForwarding()
}

// onClose adds a step that closes the part that was just opened.
func (n *Node) onClose(step func()) { n.closers = append(n.closers, step) }

// closeParts calls the steps of onClose, each once, in the reverse order.
func (n *Node) closeParts() {
	for len(n.closers) > 0 {
		last := len(n.closers) - 1
		step := n.closers[last]
		n.closers = n.closers[:last]
		step()
	}
}

// stopForwarding ends discovery, the peer socket and the pool, which serve until the last request has ended. Close calls it
// after the log is closed. So "stopped" stays the log's last line, and lines that these parts log at their end are lost.
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
