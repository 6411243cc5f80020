package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cherrygap/internal/lab/discovery"
	"cherrygap/internal/protocol"
)

// fault is a kind of trouble. play returns once it is over.
type fault struct {
	name string
	play func(r *run, ctx context.Context, rng *rand.Rand)
}

// faults are all kinds, in the order in which a seed draws from them.
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

// FaultNames lists them.
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
	overlapping   = 5 // faults at any time
	maxFaultPause = 300 * time.Millisecond
)

// playFaults plays one fault after another until ctx ends. Several of these run beside each other.
func (r *run) playFaults(ctx context.Context, player int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 3<<32|uint64(player)))
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

// between draws a time from a range.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// lockNode draws a node that no other fault stops or starts, and locks it; nil where it is busy.
func (r *run) lockNode(rng *rand.Rand) *node {
	n := r.nodes[rng.IntN(len(r.nodes))]
	if !n.busy.TryLock() {
		return nil
	}
	return n
}

// playTerminate restarts a node in good order, while clients still come.
func (r *run) playTerminate(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.busy.Unlock()
	if n.terminate(between(rng, 200*time.Millisecond, 400*time.Millisecond)) {
		r.ledger.report(ruleEnd, n.number, "", "the node had to be killed %v after SIGTERM", killAfter)
	}
	r.clients.forget(n.number)
	r.restart(ctx, n, rng)
}

// playKill kills a node. What it had is void.
func (r *run) playKill(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.busy.Unlock()
	r.clients.forget(n.number)
	n.kill()
	r.ledger.killed(n.number)
	sleep(ctx, between(rng, 0, time.Second))
	r.ledger.killed(n.number) // what was just being sent
	r.restart(ctx, n, rng)
}

// restart starts a node that has ended, at times with a list that is old or with a clock that was stepped.
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

// playPause stops a node for a moment.
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
			return // two stops with nothing between would be one that is too long
		}
	}
}

// playReload moves some nodes to discovery's other address, at times by a file that is written slowly, or twice in a row.
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

// reloadNotice is how long after SIGHUP what the new address tells counts as notified.
const reloadNotice = 4 * time.Second

func (r *run) reload(n *node, rng *rand.Rand) {
	n.mu.Lock()
	n.agent = 1 - n.agent
	raw := n.config(nil)
	n.mu.Unlock()
	n.excuse(time.Now().Add(reloadNotice))
	half := len(raw) / 2
	if rng.IntN(3) > 0 {
		half = len(raw)
	}
	if err := os.WriteFile(n.configPath(), raw[:half], 0o600); err != nil {
		r.fail(err)
		return
	}
	n.signal(syscall.SIGHUP)
	time.Sleep(between(rng, time.Millisecond, 50*time.Millisecond))
	if err := os.WriteFile(n.configPath(), raw, 0o600); err != nil {
		r.fail(err)
	}
}

// lockServer draws a server that no other fault stops or starts, and locks it; nil where it is busy.
func (r *run) lockServer(rng *rand.Rand) *appServer {
	s := r.servers[rng.IntN(len(r.servers))]
	if !s.busy.TryLock() {
		return nil
	}
	return s
}

// publish changes a server's entry and returns when.
func (r *run) publish(s *appServer, state protocol.EndpointState, boot time.Time) time.Time {
	_, at := r.agent.Publish(func(e *discovery.Endpoint) {
		e.State = state
		if !boot.IsZero() {
			e.BootMs = boot.UnixMilli()
		}
	}, s.number)
	return at
}

// playDrain drains a server, ends it, and starts it cold.
func (r *run) playDrain(ctx context.Context, rng *rand.Rand) {
	s := r.lockServer(rng)
	if s == nil {
		return
	}
	defer s.busy.Unlock()
	s.drainFrom(r.publish(s, protocol.Terminating, time.Time{}))
	sleep(ctx, between(rng, time.Second, 4*time.Second))
	if rng.IntN(2) == 0 {
		r.publish(s, protocol.Terminated, time.Time{})
		sleep(ctx, between(rng, 0, time.Second))
	}
	s.judgeCold(r.capacity())
	s.kill()
	sleep(ctx, between(rng, 0, 300*time.Millisecond))
	r.revive(s)
}

// playCrash resets a server and starts it cold; discovery says so later.
func (r *run) playCrash(ctx context.Context, rng *rand.Rand) {
	s := r.lockServer(rng)
	if s == nil {
		return
	}
	defer s.busy.Unlock()
	s.judgeCold(r.capacity())
	s.kill()
	sleep(ctx, between(rng, 0, 500*time.Millisecond))
	if rng.IntN(2) == 0 {
		r.publish(s, protocol.Terminated, time.Time{})
	}
	sleep(ctx, between(rng, 0, time.Second))
	r.revive(s)
}

// revive starts a server cold, and has discovery say so at once.
func (r *run) revive(s *appServer) {
	if err := s.startCold(); err != nil {
		r.fail(err)
		return
	}
	s.inServiceFrom(r.publish(s, protocol.InService, time.Now()))
}

// playMisbehave has some servers treat their requests badly.
func (r *run) playMisbehave(ctx context.Context, rng *rand.Rand) {
	how := int32(behaveHang) + rng.Int32N(int32(behaviours)-int32(behaveHang))
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

// playIdleClose has some servers close connections long before the settings say.
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

// outageNotice is how long after discovery's return what it had meanwhile may take to be read.
const outageNotice = 50 * time.Millisecond

// playOutage silences discovery.
func (r *run) playOutage(ctx context.Context, rng *rand.Rand) {
	if !r.discoveryBusy.TryLock() {
		return
	}
	defer r.discoveryBusy.Unlock()
	r.agent.SetSilent(true)
	length := between(rng, 500*time.Millisecond, 4*time.Second)
	r.excuseAll(time.Now().Add(length + outageNotice))
	sleep(ctx, length)
	r.excuseAll(time.Now().Add(outageNotice))
	r.agent.SetSilent(false)
}

// silenceNotice is how long after a watch fell silent what it misses counts as notified.
const silenceNotice = 6 * time.Second

// playWatchLoss breaks all watches at once, or leaves them open and silent.
func (r *run) playWatchLoss(ctx context.Context, rng *rand.Rand) {
	if !r.discoveryBusy.TryLock() {
		return
	}
	defer r.discoveryBusy.Unlock()
	if rng.IntN(2) == 0 {
		r.excuseAll(time.Now().Add(silenceNotice))
		r.agent.SilenceOpen()
		return
	}
	length := between(rng, time.Millisecond, 300*time.Millisecond)
	r.excuseAll(time.Now().Add(length + outageNotice))
	r.agent.DisconnectAll()
	sleep(ctx, length)
	r.agent.Reconnect()
}

func (r *run) excuseAll(until time.Time) {
	for _, n := range r.nodes {
		n.excuse(until)
	}
}

// momentaryErrors are what system calls fail with for a moment, by call.
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

// playSystemCalls has some kinds of system calls fail at some nodes, always or at times.
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
		n.excuse(time.Now().Add(length + outageNotice))
		n.faults.share.Store(share)
		n.faults.errnos.Store(&failing)
		nodes = append(nodes, n)
	}
	sleep(ctx, length)
	for _, n := range nodes {
		n.faults.errnos.Store(nil)
	}
}

// playLeave has all clients of some nodes leave at once.
func (r *run) playLeave(_ context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(len(r.nodes)) {
		r.clients.leaveAll(rng.IntN(len(r.nodes)))
	}
}

// playCrowd has idle clients fill a node's descriptors.
func (r *run) playCrowd(ctx context.Context, rng *rand.Rand) {
	n := r.nodes[rng.IntN(len(r.nodes))]
	hold := between(rng, 200*time.Millisecond, 1500*time.Millisecond)
	n.crowdUntil(time.Now().Add(hold + crowdLinger))
	r.clients.crowd(ctx, n.number, hold)
}
