package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cherrygap/internal/lab/discovery"
	"cherrygap/internal/lab/nodeprocess"
	"cherrygap/internal/protocol"
)

// fault is a kind of fault. play returns once the fault is over.
type fault struct {
	name string
	play func(r *run, ctx context.Context, rng *rand.Rand)
}

// faults are all kinds of faults. A seed's draws depend on their order.
var faults = []fault{
	{"terminate", (*run).playTerminate},
	{"kill", (*run).playKill},
	{"pause", (*run).playPause},
	{"reload", (*run).playReload},
	{"drain", (*run).playDrain},
	{"crash", (*run).playCrash},
	{"misbehave", (*run).playMisbehave},
	{"idle-close", (*run).playIdleClose},
	{"outage", (*run).playOutage},
	{"watch-loss", (*run).playWatchLoss},
	{"system-calls", (*run).playSystemCalls},
	{"leave", (*run).playLeave},
	{"crowd", (*run).playCrowd},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := make([]string, len(faults))
	for i, f := range faults {
		names[i] = f.name
	}
	return names
}

func checkFaultNames(names []string) error {
	for _, name := range names {
		if !slices.Contains(FaultNames(), name) {
			return fmt.Errorf("fault %q: one of %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return nil
}

const (
	concurrentFaults = 5 // faults at any time
	maxFaultPause    = 300 * time.Millisecond
)

// playFaults plays one fault after another until ctx ends. Each player has its own draws.
func (r *run) playFaults(ctx context.Context, player int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, faultStream|uint64(player)))
	var playable []fault
	for _, f := range faults {
		if r.cfg.Faults == nil || slices.Contains(r.cfg.Faults, f.name) {
			playable = append(playable, f)
		}
	}
	for ctx.Err() == nil && len(playable) > 0 {
		f := playable[rng.IntN(len(playable))]
		begun := time.Now()
		f.play(r, ctx, rng)
		r.noteFault(f.name, begun)
		sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultPause))))
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// between draws a time of at least from and less than to.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// lockNode draws a node and locks it. It returns nil if another fault holds the node.
func (r *run) lockNode(rng *rand.Rand) *node {
	n := r.nodes[rng.IntN(len(r.nodes))]
	if !n.busy.TryLock() {
		return nil
	}
	return n
}

// playTerminate restarts a node by SIGTERM, while clients still connect.
func (r *run) playTerminate(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.busy.Unlock()
	if n.terminate(between(rng, 200*time.Millisecond, 400*time.Millisecond)) == nodeprocess.Killed {
		r.checker.report(ruleShutdown, n.number, "", "the node had to be killed %v after SIGTERM", killTimeout)
	}
	r.clients.closeIdle(n.number)
	r.restart(ctx, n, rng)
}

// playKill kills a node. No response of its open requests is due.
func (r *run) playKill(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.busy.Unlock()
	r.clients.closeIdle(n.number)
	n.kill()
	r.checker.waiveOpenRequests(n.number)
	sleep(ctx, between(rng, 0, time.Second))
	r.checker.waiveOpenRequests(n.number) // requests that were just being sent
	r.restart(ctx, n, rng)
}

// restart starts a node that has ended, at times without a known list, or with discovery's clock ahead or behind.
func (r *run) restart(ctx context.Context, n *node, rng *rand.Rand) {
	if ctx.Err() != nil {
		return
	}
	ahead := []time.Duration{0, 0, 0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[rng.IntN(7)]
	for _, watch := range n.watches() {
		r.agent.SetClockAhead(watch, ahead)
	}
	known := r.agent.Snapshot(n.watches()[0])
	if rng.IntN(3) == 0 {
		known = nil
	}
	r.startNode(ctx, n, known)
}

// playPause stops a node by SIGSTOP, several times for a moment.
func (r *run) playPause(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.busy.Unlock()
	for range 1 + rng.IntN(4) {
		n.signal(unix.SIGSTOP)
		time.Sleep(between(rng, 20*time.Millisecond, 130*time.Millisecond))
		n.signal(unix.SIGCONT)
		if sleep(ctx, between(rng, 50*time.Millisecond, 300*time.Millisecond)); ctx.Err() != nil {
			return // without the pause, further stops would add up to a longer one
		}
	}
}

// playReload moves some nodes to discovery's other address, at times twice, or by a file that is only half written at first.
func (r *run) playReload(ctx context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		n := r.lockNode(rng)
		if n == nil {
			continue
		}
		for range 1 + rng.IntN(2) {
			r.reload(n, rng)
		}
		n.busy.Unlock()
	}
	sleep(ctx, between(rng, 0, 200*time.Millisecond))
}

// reloadNotice is the time from SIGHUP until notices of the new address count as received.
const reloadNotice = 4 * time.Second

// reload gives a node a new configuration.
func (r *run) reload(n *node, rng *rand.Rand) {
	n.mu.Lock()
	n.agent = 1 - n.agent
	raw := n.config(nil)
	n.mu.Unlock()
	n.delayNotice(time.Now().Add(reloadNotice))
	firstWrite := len(raw) // bytes; in a third of the reloads half of the file
	if rng.IntN(3) == 0 {
		firstWrite = len(raw) / 2
	}
	if err := nodeprocess.WriteConfig(n.dir, n.fileName(), raw[:firstWrite]); err != nil {
		r.fail(err)
		return
	}
	n.signal(syscall.SIGHUP)
	time.Sleep(between(rng, time.Millisecond, 50*time.Millisecond))
	if err := nodeprocess.WriteConfig(n.dir, n.fileName(), raw); err != nil {
		r.fail(err)
	}
}

// lockServer draws a server and locks it. It returns nil if another fault holds the server.
func (r *run) lockServer(rng *rand.Rand) *appServer {
	s := r.servers[rng.IntN(len(r.servers))]
	if !s.busy.TryLock() {
		return nil
	}
	return s
}

// publish changes a server's entry, and returns the time of the change.
func (r *run) publish(s *appServer, state protocol.EndpointState, boot time.Time) time.Time {
	_, at := r.agent.Publish(func(e *discovery.Endpoint) {
		e.State = state
		if !boot.IsZero() {
			e.BootMs = boot.UnixMilli()
		}
	}, s.number)
	return at
}

// playDrain drains a server, ends it, and starts it as a new process.
func (r *run) playDrain(ctx context.Context, rng *rand.Rand) {
	s := r.lockServer(rng)
	if s == nil {
		return
	}
	defer s.busy.Unlock()
	s.setDraining(r.publish(s, protocol.Terminating, time.Time{}))
	sleep(ctx, between(rng, time.Second, 4*time.Second))
	if rng.IntN(2) == 0 {
		r.publish(s, protocol.Terminated, time.Time{})
		sleep(ctx, between(rng, 0, time.Second))
	}
	s.checkSlowStart(r.capacity())
	s.kill()
	sleep(ctx, between(rng, 0, 300*time.Millisecond))
	r.restartServer(s)
}

// playCrash resets a server and starts it as a new process, which discovery publishes later.
func (r *run) playCrash(ctx context.Context, rng *rand.Rand) {
	s := r.lockServer(rng)
	if s == nil {
		return
	}
	defer s.busy.Unlock()
	s.checkSlowStart(r.capacity())
	s.kill()
	sleep(ctx, between(rng, 0, 500*time.Millisecond))
	if rng.IntN(2) == 0 {
		r.publish(s, protocol.Terminated, time.Time{})
	}
	sleep(ctx, between(rng, 0, time.Second))
	r.restartServer(s)
}

// restartServer starts a server as a new process, and publishes that at once.
func (r *run) restartServer(s *appServer) {
	if err := s.restartProcess(); err != nil {
		r.fail(err)
		return
	}
	s.setInService(r.publish(s, protocol.InService, time.Now()))
}

// playMisbehave gives some servers another behaviour.
func (r *run) playMisbehave(ctx context.Context, rng *rand.Rand) {
	how := int32(behaveHang) + rng.Int32N(int32(behaviourCount)-int32(behaveHang))
	var servers []*appServer
	for range 1 + rng.IntN(max(1, len(r.servers)/4)) {
		if s := r.lockServer(rng); s != nil {
			s.behaves.Store(how)
			servers = append(servers, s)
		}
	}
	sleep(ctx, between(rng, 300*time.Millisecond, 2500*time.Millisecond))
	for _, s := range servers {
		s.behaves.Store(int32(behaveWell))
		s.busy.Unlock()
	}
}

// playIdleClose makes some servers close idle connections earlier than their idle timeout in the settings.
func (r *run) playIdleClose(ctx context.Context, rng *rand.Rand) {
	servers := r.servers[:1+rng.IntN(len(r.servers))]
	for _, s := range servers {
		s.closesIdle.Store(true)
	}
	sleep(ctx, between(rng, 500*time.Millisecond, 3*time.Second))
	for _, s := range servers {
		s.closesIdle.Store(false)
	}
}

// outageNotice is the time from discovery's return until the notices of the outage count as received.
const outageNotice = 50 * time.Millisecond

// playOutage silences discovery.
func (r *run) playOutage(ctx context.Context, rng *rand.Rand) {
	if !r.discoveryBusy.TryLock() {
		return
	}
	defer r.discoveryBusy.Unlock()
	r.agent.SetSilent(true)
	length := between(rng, 500*time.Millisecond, 4*time.Second)
	r.delayNoticeAll(time.Now().Add(length + outageNotice))
	sleep(ctx, length)
	r.delayNoticeAll(time.Now().Add(outageNotice))
	r.agent.SetSilent(false)
}

// silenceNotice is the time from a watch's silence until the notices that it missed count as received.
const silenceNotice = 6 * time.Second

// playWatchLoss resets all watches at once, or leaves them open and silent.
func (r *run) playWatchLoss(ctx context.Context, rng *rand.Rand) {
	if !r.discoveryBusy.TryLock() {
		return
	}
	defer r.discoveryBusy.Unlock()
	if rng.IntN(2) == 0 {
		r.delayNoticeAll(time.Now().Add(silenceNotice))
		r.agent.SilenceOpen()
		return
	}
	length := between(rng, time.Millisecond, 300*time.Millisecond)
	r.delayNoticeAll(time.Now().Add(length + outageNotice))
	r.agent.DisconnectAll()
	sleep(ctx, length)
	r.agent.Reconnect()
}

// delayNoticeAll is delayNotice for all nodes.
func (r *run) delayNoticeAll(until time.Time) {
	for _, n := range r.nodes {
		n.delayNotice(until)
	}
}

// momentaryErrors are the errors that a system call may return for a moment, by call.
var momentaryErrors = map[int][]syscall.Errno{
	unix.SYS_ACCEPT4: {
		unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EINTR, unix.ENETDOWN,
		unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT,
	},
	unix.SYS_SOCKET:         {unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM},
	unix.SYS_CONNECT:        {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EINTR},
	unix.SYS_OPENAT:         {unix.ENFILE, unix.EMFILE, unix.ENOMEM, unix.EIO},
	unix.SYS_PPOLL:          {unix.EINTR},
	unix.SYS_SENDTO:         {unix.ENOBUFS, unix.ENOMEM},
	unix.SYS_RECVFROM:       {unix.ENOMEM},
	unix.SYS_TIMERFD_CREATE: {unix.ENFILE, unix.EMFILE, unix.ENOMEM},
}

// playSystemCalls makes some system calls fail at some nodes, all or a part of them.
func (r *run) playSystemCalls(ctx context.Context, rng *rand.Rand) {
	share := []int64{20, 60, 100}[rng.IntN(3)]
	length := between(rng, 50*time.Millisecond, 400*time.Millisecond)
	failing := map[int][]syscall.Errno{}
	for _, number := range FaultyCalls {
		if rng.IntN(2) == 0 {
			failing[int(number)] = momentaryErrors[int(number)]
		}
	}
	var nodes []*node
	for range 1 + rng.IntN(len(r.nodes)) {
		n := r.nodes[rng.IntN(len(r.nodes))]
		n.delayNotice(time.Now().Add(length + outageNotice))
		n.faults.share.Store(share)
		n.faults.errnos.Store(&failing)
		nodes = append(nodes, n)
	}
	sleep(ctx, length)
	for _, n := range nodes {
		n.faults.errnos.Store(nil)
	}
}

// playLeave makes all clients of some nodes close their connections at once.
func (r *run) playLeave(_ context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(len(r.nodes)) {
		r.clients.disconnectAll(rng.IntN(len(r.nodes)))
	}
}

// playCrowd fills a node's descriptors with idle connections.
func (r *run) playCrowd(ctx context.Context, rng *rand.Rand) {
	n := r.nodes[rng.IntN(len(r.nodes))]
	hold := between(rng, 200*time.Millisecond, 1500*time.Millisecond)
	n.setCrowded(time.Now().Add(hold + crowdAftermath))
	r.clients.holdIdleConns(ctx, n.number, hold)
}
