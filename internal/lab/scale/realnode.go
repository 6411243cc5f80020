package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cherrygap/internal/protocol"
)

const (
	startTimeout       = 20 * time.Second // until a real node is ready
	readyCheckInterval = 20 * time.Millisecond
)

// realNode is one edge node with sockets, over its restarts.
type realNode struct {
	number        int
	clientAddr    string
	peerAddr      string
	agentAddr     string
	peerAddrs     []netip.AddrPort // of all nodes, by number
	broadcastAddr string

	mu        sync.Mutex // guards what follows
	process   *process
	accepting bool      // clients may go there
	memory    memoryUse // the most over its starts
	exits     int       // it ended by itself
	killed    int       // it didn't end within stopTimeout
}

// freeAddress is an address of a block that was free a moment ago. Another process could take it before the node does;
// the blocks are this lab's own.
func freeAddress(network string, block, i int) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", loopbackAddress(block, i))
		if err != nil {
			return "", err
		}
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().String(), nil
	}
	listener, err := net.Listen("tcp", loopbackAddress(block, i))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// config is what the node is started with. Each restart has a seed of its own.
func (n *realNode) config(cfg *Config, known json.RawMessage, restart int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": "real" + strconv.Itoa(n.number), "listen": n.clientAddr, "discovery": n.agentAddr,
		"seed":        strconv.FormatUint(cfg.Seed<<20|uint64(restart)<<10|uint64(n.number), 16),
		"limits":      map[string]any{"cores": 1, "memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets},
		"peer_listen": n.peerAddr, "peers": n.peerAddrs, "peers_all": n.broadcastAddr,
		"known": known, "settings": platformSettings(*cfg, n.number),
	})
}

// start starts the node, for the restart-th time after the first, and waits until it accepts requests.
func (n *realNode) start(ctx context.Context, cfg *Config, known json.RawMessage, restart int) error {
	raw, err := n.config(cfg, known, restart)
	if err != nil {
		return err
	}
	path := filepath.Join(cfg.Dir, fmt.Sprintf("real%d.json", n.number))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	env := []string{"GW_CONFIG=" + path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY="}
	p, err := startProcess(cfg, fmt.Sprintf("real%d", n.number), env, nil, "serve")
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.accepting = p, false
	n.mu.Unlock()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if n.answersHealthCheck() {
			n.setAccepting(true)
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("real node %d ended at its start: %s", n.number, p.lastLogLine(cfg))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyCheckInterval):
		}
	}
	return fmt.Errorf("real node %d is not ready %v after its start", n.number, startTimeout)
}

func (n *realNode) answersHealthCheck() bool {
	response, err := http.Get("http://" + n.clientAddr + protocol.HealthPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// drain stops the node. Clients go there for a moment more, as to any node that is taken out.
func (n *realNode) drain(clientsLinger time.Duration) {
	n.recordMemory()
	n.mu.Lock()
	p := n.process
	if p != nil && p.hasExited() {
		n.exits++
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	stopped := make(chan bool, 1)
	go func() { stopped <- p.stop(syscall.SIGTERM) }() // ends with the process
	time.Sleep(clientsLinger)
	n.setAccepting(false)
	if !<-stopped {
		n.mu.Lock()
		n.killed++
		n.mu.Unlock()
	}
}

func (n *realNode) setAccepting(accepting bool) {
	n.mu.Lock()
	n.accepting = accepting
	n.mu.Unlock()
}

// acceptsClients tells whether clients go to the node.
func (n *realNode) acceptsClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepting
}

// pid is 0 where the node was never started.
func (n *realNode) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.pid()
}

// recordMemory notes what the process holds and has held, and gives the most of both so far.
func (n *realNode) recordMemory() memoryUse {
	use := readMemory(n.pid())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memory = memoryUse{now: max(n.memory.now, use.now), peak: max(n.memory.peak, use.peak)}
	return n.memory
}

// exitCounts counts how often the node ended by itself, a last time now included, and how often it was killed.
func (n *realNode) exitCounts() (byItself, killed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	byItself = n.exits
	if n.process != nil && n.process.hasExited() {
		byItself++
	}
	return byItself, n.killed
}
