package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cherrygap/internal/lab/syscallfault"
	"cherrygap/internal/protocol"
)

// FaultyCalls are the system calls of nodes that a run can make fail.
var FaultyCalls = []uint32{
	unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_OPENAT, unix.SYS_PPOLL, unix.SYS_TIMERFD_CREATE,
	unix.SYS_SENDTO, unix.SYS_RECVFROM,
}

// NodeCommand is the command line that starts this program as a node with the filter for FaultyCalls.
var NodeCommand = []string{"lab", "soak-node"}

const (
	readyTimeout      = 10 * time.Second        // of a started node
	readyPollInterval = 20 * time.Millisecond   // between two checks whether it is
	killTimeout       = 3700 * time.Millisecond // from SIGTERM to SIGKILL: 3 s and 0.7 s
)

// node is one edge node, over its restarts. It is safe for concurrent use.
type node struct {
	number int
	addr   string
	agents [2]string // discovery's addresses for this node; each reload switches to the other one
	dir    string
	nodes  int

	faults callFaults

	busy sync.Mutex // held by a fault that stops, starts or reloads the node

	mu              sync.Mutex // guards the fields below
	cmd             *exec.Cmd
	exited          chan struct{} // closed once the process has ended
	ending          bool          // SIGTERM or SIGKILL was sent
	killed          bool          // SIGKILL was sent: no response of its open requests is due
	accepting       bool          // clients connect to it
	startedAt       time.Time
	crowdedUntil    time.Time // until when idle clients fill its descriptors
	noticeDelayedTo time.Time // notices that discovery sends before count as received then
	agent           int       // of agents
	starts          int
}

// callFaults decides which system calls of a node fail now. It is safe for concurrent use.
type callFaults struct {
	on     atomic.Bool                             // the node is ready; openat does not fail before, as the loader calls it too
	errnos atomic.Pointer[map[int][]syscall.Errno] // by system call
	share  atomic.Int64                            // percentage of these calls that fail
	failed atomic.Int64
}

// decide is a syscallfault.Policy.
func (f *callFaults) decide(call syscallfault.Call) syscall.Errno {
	errnos := f.errnos.Load()
	if errnos == nil || !f.on.Load() && call.Number == unix.SYS_OPENAT {
		return 0
	}
	list := (*errnos)[call.Number]
	if len(list) == 0 || rand.Int64N(100) >= f.share.Load() {
		return 0
	}
	f.failed.Add(1)
	return list[rand.IntN(len(list))]
}

func (n *node) configPath() string { return filepath.Join(n.dir, fmt.Sprintf("node%d.json", n.number)) }

func (n *node) logPath() string { return filepath.Join(n.dir, fmt.Sprintf("node%d.log", n.number)) }

// config returns the node's configuration as of now, with an endpoint list. The caller holds the lock.
func (n *node) config(known json.RawMessage) []byte {
	raw, err := json.Marshal(map[string]any{
		"name": "n" + strconv.Itoa(n.number), "listen": n.addr, "discovery": n.agents[n.agent],
		"seed":   strconv.FormatUint(uint64(n.starts)<<16|uint64(n.number), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"known":  known, "settings": platformSettings(n.nodes, n.number),
	})
	if err != nil {
		panic(err) // strings and numbers can be marshalled
	}
	return raw
}

// start starts the node and waits until it is ready. It returns the time that this took.
func (n *node) start(ctx context.Context, program string, known json.RawMessage) (time.Duration, error) {
	n.mu.Lock()
	n.starts++
	raw := n.config(known)
	n.mu.Unlock()
	if err := os.WriteFile(n.configPath(), raw, 0o600); err != nil {
		return 0, err
	}
	log, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return 0, err
	}
	cmd := exec.Command(program, NodeCommand...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+n.configPath(), "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=")
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	injector, err := syscallfault.NewInjector(cmd, n.faults.decide)
	if err != nil {
		return 0, err
	}
	n.faults.on.Store(false)
	startedAt := time.Now()
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	exited := make(chan struct{})
	go func() { _ = injector.Run() }() // ends with the process; after an error the node hangs, which start reports
	go func() {                        // ends with the process
		_ = cmd.Wait() // an unexpected end shows in exited
		_ = log.Close()
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited, n.ending, n.killed, n.startedAt = cmd, exited, false, false, startedAt
	n.mu.Unlock()
	return n.awaitReady(ctx, exited, startedAt)
}

// awaitReady waits until the node answers health checks, for three times readyTimeout at most.
func (n *node) awaitReady(ctx context.Context, exited chan struct{}, startedAt time.Time) (time.Duration, error) {
	for time.Since(startedAt) < 3*readyTimeout {
		if n.isReady() {
			n.faults.on.Store(true)
			n.setAccepting(true)
			return time.Since(startedAt), nil
		}
		select {
		case <-exited:
			return 0, fmt.Errorf("node %d ended at its start: %s", n.number, n.lastLogLine())
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return 0, fmt.Errorf("node %d is not ready: %s", n.number, n.lastLogLine())
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.addr + protocol.HealthPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the process, which may have ended.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(sig)
}

// terminate sends SIGTERM, lets clients connect for linger, and waits for the end. After killTimeout it kills the node, and
// reports that.
func (n *node) terminate(linger time.Duration) (killed bool) {
	n.mu.Lock()
	n.ending = true
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	time.AfterFunc(linger, func() { n.setAccepting(false) })
	select {
	case <-exited:
	case <-time.After(killTimeout):
		n.signal(syscall.SIGKILL)
		<-exited
		killed = true
	}
	n.setAccepting(false)
	return killed
}

// kill sends SIGKILL and waits for the end.
func (n *node) kill() {
	n.mu.Lock()
	n.ending, n.killed = true, true
	exited := n.exited
	n.mu.Unlock()
	n.setAccepting(false)
	n.signal(syscall.SIGKILL)
	<-exited
}

func (n *node) setAccepting(accepting bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepting = accepting
}

func (n *node) acceptsClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepting
}

// crashed reports whether the process has ended by itself.
func (n *node) crashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return !n.ending
	default:
		return false
	}
}

// delayNotice makes notices that discovery sends before a moment count as received at that moment.
func (n *node) delayNotice(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.noticeDelayedTo) {
		n.noticeDelayedTo = until
	}
}

// crowdAftermath is the time after idle clients have left in which a node may still close connections unread.
const crowdAftermath = 300 * time.Millisecond

// setCrowded records that idle clients fill the node's descriptors until a moment.
func (n *node) setCrowded(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.crowdedUntil) {
		n.crowdedUntil = until
	}
}

// crowded reports whether the node may close new connections unread now.
func (n *node) crowded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.crowdedUntil)
}

// inService reports whether the node runs, has been ready, and got no SIGTERM.
func (n *node) inService() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return false
	default:
		return n.accepting && !n.ending
	}
}

// wasKilled reports whether the node's present or last process was killed.
func (n *node) wasKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// notifiedAt returns when the node counts as notified of a change that was published at a moment.
func (n *node) notifiedAt(published time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := published
	for _, later := range []time.Time{n.startedAt, n.noticeDelayedTo} {
		if later.After(at) {
			at = later
		}
	}
	return at
}

func (n *node) lastLogLine() string {
	raw, err := os.ReadFile(n.logPath())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

// Each kind of listener has loopback addresses of its own. So no outgoing connection can take the port of a listener while
// its owner restarts.
const (
	nodeBlock   = 112 // 127.112.x.y
	serverBlock = 113
)

// loopbackAddress returns an address with port 0 for the nth listener of a block.
func loopbackAddress(block, number int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", block, number/250, number%250+1)
}

// freeAddress returns a node's own loopback address with a port that was free a moment ago.
func freeAddress(number int) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress(nodeBlock, number))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
