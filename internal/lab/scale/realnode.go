package scale

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cherrygap/internal/lab/nodeprocess"
)

const nodeStartTimeout = 20 * time.Second // longest time from the start of a real node until it is ready

// realNode is an edge node that runs as a process with sockets. It stays the same over restarts of the process. Its methods
// may be called from several goroutines.
type realNode struct {
	number        int
	clientAddr    string           // address for clients
	peerAddr      string           // address for peer messages
	agentAddr     string           // address of the discovery agent
	peerAddrs     []netip.AddrPort // peer addresses of all nodes, by node number
	broadcastAddr string           // address whose datagrams reach all nodes

	mu        sync.Mutex           // guards the fields below
	process   *nodeprocess.Process // latest process; nil before the first start
	accepting bool                 // whether clients send to the node
	memory    memoryUse            // maxima over the measurements of all processes of the node
	exits     exitCounts
}

// exitCounts counts the processes of a node that ended before SIGTERM, or not in time after it.
type exitCounts struct {
	exited int // number of processes that ended before drain sent SIGTERM
	killed int // number of processes that had to be killed, as they had not ended sigkillDelay after SIGTERM
}

// name returns the node's name in its configuration and in the names of its files.
func (n *realNode) name() string { return "real" + strconv.Itoa(n.number) }

// config returns the content of the node's configuration file. The file contains endpointList. Each restart has
// its own seed.
func (n *realNode) config(cfg *Config, endpointList json.RawMessage, restart int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": n.name(), "listen": n.clientAddr, "discovery": n.agentAddr,
		"seed":        strconv.FormatUint(cfg.Seed<<20|uint64(restart)<<10|uint64(n.number), 16),
		"limits":      map[string]any{"cores": 1, "memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets},
		"peer_listen": n.peerAddr, "peers": n.peerAddrs, "peers_all": n.broadcastAddr,
		"known": endpointList, "settings": platformSettings(*cfg, n.number),
	})
}

// start starts the node and waits until it is ready. endpointList is the list in the node's configuration. restart is the
// number of this restart among those of all real nodes, or 0 for the first start.
func (n *realNode) start(ctx context.Context, cfg *Config, endpointList json.RawMessage, restart int) error {
	raw, err := n.config(cfg, endpointList, restart)
	if err != nil {
		return err
	}
	if err := nodeprocess.WriteConfig(cfg.Dir, n.name(), raw); err != nil {
		return err
	}
	p, err := nodeprocess.Start(nodeprocess.Command{
		Program: cfg.Program, Args: []string{"serve"}, Env: nodeprocess.ConfigEnv(cfg.Dir, n.name()), Dir: cfg.Dir, Name: n.name(),
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.accepting = p, false
	n.mu.Unlock()
	if err := p.AwaitReady(ctx, n.clientAddr, nodeStartTimeout); err != nil {
		return err
	}
	n.setAccepting(true)
	return nil
}

// drain stops the node by SIGTERM. Clients still send to the node for clientDelay, like those of a load balancer that notices
// the stop late.
func (n *realNode) drain(clientDelay time.Duration) {
	n.recordMemory()
	n.mu.Lock()
	p := n.process
	if p != nil && p.HasExited() {
		n.exits.exited++
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	ended := make(chan nodeprocess.Ending, 1)
	go func() { ended <- p.Stop(syscall.SIGTERM, sigkillDelay) }() // The goroutine ends with the process.
	time.Sleep(clientDelay)
	n.setAccepting(false)
	if <-ended == nodeprocess.Killed {
		n.mu.Lock()
		n.exits.killed++
		n.mu.Unlock()
	}
}

// setAccepting sets whether clients send to the node.
func (n *realNode) setAccepting(accepting bool) {
	n.mu.Lock()
	n.accepting = accepting
	n.mu.Unlock()
}

// acceptsClients reports whether clients send to the node.
func (n *realNode) acceptsClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepting
}

// pid returns the process ID of the node's latest process. It returns 0 if the node was never started.
func (n *realNode) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.PID()
}

// recordMemory measures the memory of the latest process and returns the maxima over all measurements.
func (n *realNode) recordMemory() memoryUse {
	use := readMemory(n.pid())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memory = memoryUse{rss: max(n.memory.rss, use.rss), peakRSS: max(n.memory.peakRSS, use.peakRSS)}
	return n.memory
}

// exitCounts returns the counts so far. The latest process counts as exited if it has ended, even if drain ended it.
func (n *realNode) exitCounts() exitCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.exits
	if n.process != nil && n.process.HasExited() {
		counts.exited++
	}
	return counts
}
