package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cherrygap/internal/lab/nodeprocess"
	"cherrygap/internal/lab/syscallfault"
)

// FaultyCalls lists the system calls of nodes that a run can make fail.
var FaultyCalls = []uint32{
	unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_OPENAT, unix.SYS_PPOLL, unix.SYS_TIMERFD_CREATE,
	unix.SYS_SENDTO, unix.SYS_RECVFROM,
}

// NodeCommand holds the arguments that start this program as a node with the system call filter for FaultyCalls.
var NodeCommand = []string{"lab", "soak-node"}

const (
	readyTimeout = 10 * time.Second // time in which a started node becomes ready; a tenth of the starts may take longer
	startTimeout = 3 * readyTimeout // time after which a start has failed
	// killTimeout is the time from SIGTERM to SIGKILL: the earliest that the platform allows, the longest deadline and 0.7 s.
	killTimeout = longestTimeout + 700*time.Millisecond
)

// watchesPerNode is the number of discovery addresses of each node, each with one watch.
const watchesPerNode = 2

// node is one edge node, across its restarts. It is safe for concurrent use.
type node struct {
	number         int
	addr           string
	discoveryAddrs [watchesPerNode]string // discovery addresses of this node; each reload switches to the other one
	dir            string
	nodeCount      int // number of nodes in the fleet
	limits         nodeLimits

	faults callFaults

	faultMu sync.Mutex // lock of a fault that stops, starts or reloads the node; guards no field

	mu                        sync.Mutex           // guards the fields below
	process                   *nodeprocess.Process // current or last process; nil before the first start
	stopping                  bool                 // whether SIGTERM or SIGKILL was sent to the process
	killed                    bool                 // whether kill sent SIGKILL; then no response to an open request is expected
	accepting                 bool                 // whether clients connect to the node
	startedAt                 time.Time
	descriptorsExhaustedUntil time.Time // time until which idle clients may use up the node's descriptors
	noticeDelayedUntil        time.Time // earliest time at which notices from discovery count as received
	discoveryIndex            int       // index in discoveryAddrs of the address in the configuration
	starts                    int       // number of starts so far
}

// callFaults decides which system calls of a node fail. It is safe for concurrent use.
type callFaults struct {
	nodeReady   atomic.Bool                             // whether the node is ready
	errnos      atomic.Pointer[map[int][]syscall.Errno] // possible errors by system call; nil if no call fails
	percent     atomic.Int64                            // percentage of the calls in errnos that fail
	failedCalls atomic.Int64                            // number of calls that were made to fail
}

// decide returns the errno with which a call fails, or 0. It is a syscallfault.Policy. openat does not fail before the node is
// ready, as the dynamic loader calls it too.
func (f *callFaults) decide(call syscallfault.Call) syscall.Errno {
	errnos := f.errnos.Load()
	if errnos == nil || !f.nodeReady.Load() && call.Number == unix.SYS_OPENAT {
		return 0
	}
	candidates := (*errnos)[call.Number]
	if len(candidates) == 0 || rand.Int64N(100) >= f.percent.Load() {
		return 0
	}
	f.failedCalls.Add(1)
	return candidates[rand.IntN(len(candidates))]
}

// watches returns the numbers of the node's watches at the discovery agent, one for each discovery address.
func (n *node) watches() [watchesPerNode]int { return [...]int{2 * n.number, 2*n.number + 1} }

// fileBaseName returns the name of the node's files without the extension.
func (n *node) fileBaseName() string { return "node" + strconv.Itoa(n.number) }

// logPath returns the path of the log that all processes of the node share.
func (n *node) logPath() string { return nodeprocess.LogPath(n.dir, n.fileBaseName()) }

// config returns the node's current configuration, which contains an endpoint list unless endpointList is nil. The caller holds the
// lock.
func (n *node) config(endpointList json.RawMessage) []byte {
	raw, err := json.Marshal(map[string]any{
		"name": "n" + strconv.Itoa(n.number), "listen": n.addr, "discovery": n.discoveryAddrs[n.discoveryIndex],
		"seed":   strconv.FormatUint(uint64(n.starts)<<16|uint64(n.number), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": n.limits.memoryMB, "sockets": n.limits.sockets},
		"known":  endpointList, "settings": platformSettings(n.nodeCount, n.number),
	})
	if err != nil {
		panic(err) // strings, numbers and valid JSON can always be marshalled
	}
	return raw
}

// start starts the node and waits until the node is ready. It returns the time that this took. The node's configuration contains
// endpointList, or no list if endpointList is nil.
func (n *node) start(ctx context.Context, program string, endpointList json.RawMessage) (time.Duration, error) {
	n.mu.Lock()
	n.starts++
	raw := n.config(endpointList)
	n.mu.Unlock()
	if err := nodeprocess.WriteConfig(n.dir, n.fileBaseName(), raw); err != nil {
		return 0, err
	}
	n.faults.nodeReady.Store(false)
	startedAt := time.Now()
	process, err := n.startProcess(program)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	n.process, n.stopping, n.killed, n.startedAt = process, false, false, startedAt
	n.mu.Unlock()
	if err := process.AwaitReady(ctx, n.addr, startTimeout); err != nil {
		return 0, err
	}
	n.faults.nodeReady.Store(true)
	n.setAccepting(true)
	return time.Since(startedAt), nil
}

// startProcess starts the node's process with the system call filter for FaultyCalls. The goroutine that decides whether these
// calls fail ends with the process.
func (n *node) startProcess(program string) (*nodeprocess.Process, error) {
	var injector *syscallfault.Injector
	process, err := nodeprocess.Start(nodeprocess.Command{
		Program: program,
		Args:    NodeCommand,
		Env:     nodeprocess.ConfigEnv(n.dir, n.fileBaseName()),
		Dir:     n.dir,
		Name:    n.fileBaseName(),
		Prepare: func(cmd *exec.Cmd) (err error) {
			injector, err = syscallfault.NewInjector(cmd, n.faults.decide)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	go func() { _ = injector.Run() }() // After an error the node hangs, and start returns an error.
	return process, nil
}

// currentProcess returns the node's current or last process. It returns nil before the first start.
func (n *node) currentProcess() *nodeprocess.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signal sends a signal to the process, which may have ended.
func (n *node) signal(sig syscall.Signal) { n.currentProcess().Signal(sig) }

// terminate sends SIGTERM, lets clients connect for linger, and waits until the process exits. It kills the process after
// killTimeout.
func (n *node) terminate(linger time.Duration) nodeprocess.Ending {
	n.mu.Lock()
	n.stopping = true
	process := n.process
	n.mu.Unlock()
	lingerTimer := time.AfterFunc(linger, func() { n.setAccepting(false) })
	ending := process.Stop(syscall.SIGTERM, killTimeout)
	lingerTimer.Stop()
	n.setAccepting(false)
	return ending
}

// kill sends SIGKILL and waits until the process exits.
func (n *node) kill() {
	n.mu.Lock()
	n.stopping, n.killed = true, true
	process := n.process
	n.mu.Unlock()
	n.setAccepting(false)
	process.Signal(syscall.SIGKILL)
	<-process.Exited()
}

// setAccepting sets whether clients connect to the node.
func (n *node) setAccepting(accepting bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepting = accepting
}

// acceptsClients reports whether clients connect to the node.
func (n *node) acceptsClients() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepting
}

// crashed reports whether the process has exited although the run sent it no SIGTERM or SIGKILL.
func (n *node) crashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hasExited() && !n.stopping
}

// hasExited reports whether the process has exited. The caller holds the lock.
func (n *node) hasExited() bool { return n.process != nil && n.process.HasExited() }

// delayNotice sets the earliest time at which notices from discovery count as received, unless a later time is set already.
func (n *node) delayNotice(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.noticeDelayedUntil) {
		n.noticeDelayedUntil = until
	}
}

// descriptorRecovery is the time after the idle clients disconnect in which the node may still close connections unread.
const descriptorRecovery = 300 * time.Millisecond

// setDescriptorsExhausted records that idle clients may use up the node's descriptors until a moment.
func (n *node) setDescriptorsExhausted(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.descriptorsExhaustedUntil) {
		n.descriptorsExhaustedUntil = until
	}
}

// descriptorsExhausted reports whether the node may currently close new connections without reading them.
func (n *node) descriptorsExhausted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.descriptorsExhaustedUntil)
}

// inService reports whether the node runs, accepts clients, and was sent no SIGTERM or SIGKILL.
func (n *node) inService() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.hasExited() && n.accepting && !n.stopping
}

// wasKilled reports whether the node's current or last process was ended by kill.
func (n *node) wasKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// notifiedAt returns the time from which the node counts as notified of a change that discovery published at a moment.
func (n *node) notifiedAt(published time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := published
	for _, later := range []time.Time{n.startedAt, n.noticeDelayedUntil} {
		if later.After(at) {
			at = later
		}
	}
	return at
}

// Second bytes of the loopback addresses of listeners. Each kind of listener has its own addresses, so that no outgoing
// connection can take the port of a listener while its owner restarts.
const (
	nodeBlock   = 112 // addresses 127.112.x.y of the nodes
	serverBlock = 113 // addresses 127.113.x.y of the app servers
)

// loopbackAddress returns the address, with port 0, of the listener with a number in a block.
func loopbackAddress(block, number int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", block, number/250, number%250+1)
}
