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

// FaultyCalls are the system calls of nodes that a run can make fail.
var FaultyCalls = []uint32{
	unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_OPENAT, unix.SYS_PPOLL, unix.SYS_TIMERFD_CREATE,
	unix.SYS_SENDTO, unix.SYS_RECVFROM,
}

// NodeCommand is the command line that starts this program as a node with the filter for FaultyCalls.
var NodeCommand = []string{"lab", "soak-node"}

const (
	readyTimeout = 10 * time.Second        // of a started node; a tenth of the starts may take longer
	startTimeout = 3 * readyTimeout        // after which a start has failed
	killTimeout  = 3700 * time.Millisecond // from SIGTERM to SIGKILL
)

// watchesPerNode is the number of discovery addresses of a node.
const watchesPerNode = 2

// node is one edge node, over its restarts. It is safe for concurrent use.
type node struct {
	number int
	addr   string
	agents [watchesPerNode]string // discovery's addresses for this node; each reload switches to the other one
	dir    string
	nodes  int // of the fleet

	faults callFaults

	busy sync.Mutex // held by a fault that stops, starts or reloads the node; guards no field

	mu              sync.Mutex           // guards the fields below
	process         *nodeprocess.Process // the present or last one; nil before the first start
	ending          bool                 // SIGTERM or SIGKILL was sent to the process
	killed          bool                 // SIGKILL was sent: no response of its open requests is due
	accepting       bool                 // clients connect to it
	startedAt       time.Time
	crowdedUntil    time.Time // until when idle clients fill its descriptors
	noticeDelayedTo time.Time // notices that discovery sends before count as received then
	agent           int       // index in agents of the address in the configuration
	starts          int
}

// callFaults decides which system calls of a node fail now. It is safe for concurrent use.
type callFaults struct {
	on     atomic.Bool                             // the node is ready; openat does not fail before, as the loader calls it too
	errnos atomic.Pointer[map[int][]syscall.Errno] // by system call
	share  atomic.Int64                            // percentage of these calls that fail
	failed atomic.Int64
}

// decide returns the errno with which a call fails, or 0. It is a syscallfault.Policy.
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

// watches returns the agent's numbers of the node's watches, one for each of its discovery addresses.
func (n *node) watches() [watchesPerNode]int { return [...]int{2 * n.number, 2*n.number + 1} }

// fileName returns the name of the node's files, without their extensions.
func (n *node) fileName() string { return "node" + strconv.Itoa(n.number) }

// logPath returns the path of the log of all the node's processes.
func (n *node) logPath() string { return nodeprocess.LogPath(n.dir, n.fileName()) }

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
	if err := nodeprocess.WriteConfig(n.dir, n.fileName(), raw); err != nil {
		return 0, err
	}
	n.faults.on.Store(false)
	startedAt := time.Now()
	process, err := n.startProcess(program)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	n.process, n.ending, n.killed, n.startedAt = process, false, false, startedAt
	n.mu.Unlock()
	if err := process.AwaitReady(ctx, n.addr, startTimeout); err != nil {
		return 0, err
	}
	n.faults.on.Store(true)
	n.setAccepting(true)
	return time.Since(startedAt), nil
}

// startProcess starts the node's process with the filter for FaultyCalls. The goroutine that decides on these calls ends with
// the process.
func (n *node) startProcess(program string) (*nodeprocess.Process, error) {
	var injector *syscallfault.Injector
	process, err := nodeprocess.Start(nodeprocess.Command{
		Program: program,
		Args:    NodeCommand,
		Env:     nodeprocess.ConfigEnv(n.dir, n.fileName()),
		Dir:     n.dir,
		Name:    n.fileName(),
		Prepare: func(cmd *exec.Cmd) (err error) {
			injector, err = syscallfault.NewInjector(cmd, n.faults.decide)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	go func() { _ = injector.Run() }() // after an error the node hangs, which start reports
	return process, nil
}

// presentProcess returns the node's present or last process; nil before the first start.
func (n *node) presentProcess() *nodeprocess.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signal sends a signal to the process, which may have ended.
func (n *node) signal(sig syscall.Signal) { n.presentProcess().Signal(sig) }

// terminate sends SIGTERM, lets clients connect for linger, and waits for the end. After killTimeout it kills the process.
func (n *node) terminate(linger time.Duration) nodeprocess.Ending {
	n.mu.Lock()
	n.ending = true
	process := n.process
	n.mu.Unlock()
	lingering := time.AfterFunc(linger, func() { n.setAccepting(false) })
	ending := process.Stop(syscall.SIGTERM, killTimeout)
	lingering.Stop()
	n.setAccepting(false)
	return ending
}

// kill sends SIGKILL and waits for the end.
func (n *node) kill() {
	n.mu.Lock()
	n.ending, n.killed = true, true
	process := n.process
	n.mu.Unlock()
	n.setAccepting(false)
	process.Signal(syscall.SIGKILL)
	<-process.Exited()
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
	return n.hasExited() && !n.ending
}

// hasExited reports whether the process has ended. The caller holds the lock.
func (n *node) hasExited() bool { return n.process != nil && n.process.HasExited() }

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
	return !n.hasExited() && n.accepting && !n.ending
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
