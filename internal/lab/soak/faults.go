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

// fault is a kind of fault. inject injects one fault of this kind and returns once it is over.
type fault struct {
	name   string
	inject func(r *run, ctx context.Context, rng *rand.Rand)
}

// faults lists all kinds of faults. Random draws depend on their order.
var faults = []fault{
	{"terminate", (*run).injectTermination},
	{"kill", (*run).injectKill},
	{"pause", (*run).injectPauses},
	{"reload", (*run).injectReloads},
	{"drain", (*run).injectDrain},
	{"crash", (*run).injectCrash},
	{"misbehave", (*run).injectMisbehaviour},
	{"idle-close", (*run).injectEarlyIdleClose},
	{"outage", (*run).injectDiscoveryOutage},
	{"watch-loss", (*run).injectWatchLoss},
	{"system-calls", (*run).injectSystemCallErrors},
	{"leave", (*run).injectClientDisconnects},
	{"crowd", (*run).injectIdleConns},
	{HostileCrowd, (*run).injectHostileCrowd},
}

// FaultNames returns the names of all kinds of faults.
func FaultNames() []string {
	names := make([]string, len(faults))
	for i, f := range faults {
		names[i] = f.name
	}
	return names
}

// checkFaultNames returns an error that names the first unknown fault.
func checkFaultNames(names []string) error {
	for _, name := range names {
		if !slices.Contains(FaultNames(), name) {
			return fmt.Errorf("fault %q is unknown, want one of %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return nil
}

const (
	faultInjectors        = 5 // number of injectors, and so the maximum number of faults at the same time
	maxPauseBetweenFaults = 300 * time.Millisecond
)

// injectFaults injects one fault after another until ctx ends. Each injector has its own random stream.
func (r *run) injectFaults(ctx context.Context, injector int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, faultStream|uint64(injector)))
	var enabled []fault
	for _, f := range faults {
		if r.cfg.Faults == nil || slices.Contains(r.cfg.Faults, f.name) {
			enabled = append(enabled, f)
		}
	}
	for ctx.Err() == nil && len(enabled) > 0 {
		f := enabled[rng.IntN(len(enabled))]
		startedAt := time.Now()
		f.inject(r, ctx, rng)
		r.recordFault(f.name, startedAt)
		sleep(ctx, time.Duration(rng.Int64N(int64(maxPauseBetweenFaults))))
	}
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// randomDuration returns a random duration of at least from and less than to.
func randomDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// lockNode draws a node and locks its faultMu. It returns nil if another fault holds the node.
func (r *run) lockNode(rng *rand.Rand) *node {
	n := r.nodes[rng.IntN(len(r.nodes))]
	if !n.faultMu.TryLock() {
		return nil
	}
	return n
}

// injectTermination ends a node by SIGTERM, while clients still connect to it, and restarts it.
func (r *run) injectTermination(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.faultMu.Unlock()
	for range 1 + rng.IntN(maxSeries) {
		r.terminateInUse(ctx, n, rng)
		r.clients.closeIdle(n.number)
		r.restart(ctx, n, rng)
		sleep(ctx, randomDuration(rng, 0, maxPauseInSeries))
	}
}

// A series of signals ends or kills a node again soon after its restart.
const (
	maxSeries        = 3
	maxPauseInSeries = 800 * time.Millisecond
	seriesInterval   = 5 * time.Millisecond // time from SIGTERM to the further signals
)

// terminateInUse sends SIGTERM to a node whose clients go on using their open connections, and further signals during its drain.
func (r *run) terminateInUse(ctx context.Context, n *node, rng *rand.Rand) {
	linger := randomDuration(rng, 200*time.Millisecond, 400*time.Millisecond)
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1}[:rng.IntN(4)]
	seed := rng.Uint64()
	useCtx, exited := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { // ends when the node has exited
		defer close(ended)
		sleep(useCtx, seriesInterval)
		for _, sig := range signals {
			n.signal(sig)
		}
		r.clients.useOpenConns(useCtx, n, seed)
	}()
	if n.terminate(linger) == nodeprocess.Killed {
		r.checker.recordViolation(ruleShutdown, n.number, "", "the node did not exit within %v after SIGTERM and was killed",
			killTimeout)
	}
	exited()
	<-ended
}

// injectKill kills and restarts a node. The checker expects no response to its open requests.
func (r *run) injectKill(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.faultMu.Unlock()
	for range 1 + rng.IntN(maxSeries) {
		r.clients.closeIdle(n.number)
		n.kill()
		r.checker.waiveOpenRequests(n.number)
		sleep(ctx, randomDuration(rng, 0, time.Second))
		r.checker.waiveOpenRequests(n.number) // requests that clients were sending during the kill
		r.restart(ctx, n, rng)
		sleep(ctx, randomDuration(rng, 0, maxPauseInSeries))
	}
}

// restart starts a node that has ended. In some starts the node's configuration contains no endpoint list. In some, discovery
// simulates a node clock that is ahead or behind.
func (r *run) restart(ctx context.Context, n *node, rng *rand.Rand) {
	if ctx.Err() != nil {
		return
	}
	ahead := []time.Duration{0, 0, 0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[rng.IntN(7)]
	for _, watch := range n.watches() {
		r.agent.SetClockAhead(watch, ahead)
	}
	endpointList := r.agent.Snapshot(n.watches()[0])
	if rng.IntN(3) == 0 {
		endpointList = nil
	}
	r.startNode(ctx, n, endpointList)
}

// injectPauses stops a node by SIGSTOP for a short time, once or several times.
func (r *run) injectPauses(ctx context.Context, rng *rand.Rand) {
	n := r.lockNode(rng)
	if n == nil {
		return
	}
	defer n.faultMu.Unlock()
	for range 1 + rng.IntN(4) {
		n.signal(unix.SIGSTOP)
		time.Sleep(randomDuration(rng, 20*time.Millisecond, 130*time.Millisecond))
		n.signal(unix.SIGCONT)
		if sleep(ctx, randomDuration(rng, 50*time.Millisecond, 300*time.Millisecond)); ctx.Err() != nil {
			return // sleep now returns at once, so further stops would add up to a long one
		}
	}
}

// injectReloads reloads some nodes once or twice, each time with their other discovery address.
func (r *run) injectReloads(ctx context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		n := r.lockNode(rng)
		if n == nil {
			continue
		}
		for range 1 + rng.IntN(2) {
			r.reload(n, rng)
		}
		n.faultMu.Unlock()
	}
	sleep(ctx, randomDuration(rng, 0, 200*time.Millisecond))
}

// reloadNoticeDelay is the time after a reload until notices from the new address count as received.
const reloadNoticeDelay = 4 * time.Second

// reload gives a node a configuration with its other discovery address. In a third of the calls, the file is only half written
// when the node gets SIGHUP.
func (r *run) reload(n *node, rng *rand.Rand) {
	n.mu.Lock()
	n.discoveryIndex = 1 - n.discoveryIndex
	raw := n.config(nil)
	n.mu.Unlock()
	n.delayNotice(time.Now().Add(reloadNoticeDelay))
	firstWrite := len(raw) // bytes of the file that are written before SIGHUP
	if rng.IntN(3) == 0 {
		firstWrite = len(raw) / 2
	}
	if err := nodeprocess.WriteConfig(n.dir, n.fileBaseName(), raw[:firstWrite]); err != nil {
		r.fail(err)
		return
	}
	n.signal(syscall.SIGHUP)
	time.Sleep(randomDuration(rng, time.Millisecond, 50*time.Millisecond))
	if err := nodeprocess.WriteConfig(n.dir, n.fileBaseName(), raw); err != nil {
		r.fail(err)
	}
}

// lockServer draws a server and locks its faultMu. It returns nil if another fault holds the server.
func (r *run) lockServer(rng *rand.Rand) *appServer {
	s := r.servers[rng.IntN(len(r.servers))]
	if !s.faultMu.TryLock() {
		return nil
	}
	return s
}

// publish changes a server's entry in the endpoint list, and returns the time of the change. If bootTime is zero, the
// boot time stays unchanged.
func (r *run) publish(s *appServer, state protocol.EndpointState, bootTime time.Time) time.Time {
	_, at := r.agent.Publish(func(e *discovery.Endpoint) {
		e.State = state
		if !bootTime.IsZero() {
			e.BootMs = bootTime.UnixMilli()
		}
	}, s.number)
	return at
}

// injectDrain drains a server, kills it, and starts it as a new process.
func (r *run) injectDrain(ctx context.Context, rng *rand.Rand) {
	s := r.lockServer(rng)
	if s == nil {
		return
	}
	defer s.faultMu.Unlock()
	s.setDraining(r.publish(s, protocol.Terminating, time.Time{}))
	sleep(ctx, randomDuration(rng, time.Second, 4*time.Second))
	if rng.IntN(2) == 0 {
		r.publish(s, protocol.Terminated, time.Time{})
		sleep(ctx, randomDuration(rng, 0, time.Second))
	}
	s.checkSlowStart(r.capacity())
	s.kill()
	sleep(ctx, randomDuration(rng, 0, 300*time.Millisecond))
	r.restartServer(s)
}

// injectCrash kills a server without a drain, and later starts and publishes it as a new process.
func (r *run) injectCrash(ctx context.Context, rng *rand.Rand) {
	s := r.lockServer(rng)
	if s == nil {
		return
	}
	defer s.faultMu.Unlock()
	s.checkSlowStart(r.capacity())
	s.kill()
	sleep(ctx, randomDuration(rng, 0, 500*time.Millisecond))
	if rng.IntN(2) == 0 {
		r.publish(s, protocol.Terminated, time.Time{})
	}
	sleep(ctx, randomDuration(rng, 0, time.Second))
	r.restartServer(s)
}

// restartServer starts a server as a new process, and publishes the process at once.
func (r *run) restartServer(s *appServer) {
	if err := s.restartProcess(); err != nil {
		r.fail(err)
		return
	}
	s.setInService(r.publish(s, protocol.InService, time.Now()))
}

// injectMisbehaviour gives some servers the same random misbehaviour for a while.
func (r *run) injectMisbehaviour(ctx context.Context, rng *rand.Rand) {
	misbehaviour := int32(behaveHang) + rng.Int32N(int32(behaviourCount)-int32(behaveHang))
	var servers []*appServer
	for range 1 + rng.IntN(max(1, len(r.servers)/4)) {
		if s := r.lockServer(rng); s != nil {
			s.behaviour.Store(misbehaviour)
			servers = append(servers, s)
		}
	}
	sleep(ctx, randomDuration(rng, 300*time.Millisecond, 2500*time.Millisecond))
	for _, s := range servers {
		s.behaviour.Store(int32(behaveNormally))
		s.faultMu.Unlock()
	}
}

// injectEarlyIdleClose makes some servers close idle connections earlier than the idle timeout in the settings.
func (r *run) injectEarlyIdleClose(ctx context.Context, rng *rand.Rand) {
	servers := r.servers[:1+rng.IntN(len(r.servers))]
	for _, s := range servers {
		s.closesIdleEarly.Store(true)
	}
	sleep(ctx, randomDuration(rng, 500*time.Millisecond, 3*time.Second))
	for _, s := range servers {
		s.closesIdleEarly.Store(false)
	}
}

// outageNoticeDelay is the time from the end of an outage until the notices that it delayed count as received.
const outageNoticeDelay = 50 * time.Millisecond

// injectDiscoveryOutage leaves all calls to discovery without a response for a while.
func (r *run) injectDiscoveryOutage(ctx context.Context, rng *rand.Rand) {
	if !r.discoveryFaultMu.TryLock() {
		return
	}
	defer r.discoveryFaultMu.Unlock()
	r.agent.SetSilent(true)
	duration := randomDuration(rng, 500*time.Millisecond, 4*time.Second)
	r.delayNoticeToAll(time.Now().Add(duration + outageNoticeDelay))
	sleep(ctx, duration)
	r.delayNoticeToAll(time.Now().Add(outageNoticeDelay))
	r.agent.SetSilent(false)
}

// silenceNoticeDelay is the time from the start of a watch's silence until the notices that the watch missed count as received.
const silenceNoticeDelay = 6 * time.Second

// injectWatchLoss disconnects all watches at the same time, or leaves them open without a response.
func (r *run) injectWatchLoss(ctx context.Context, rng *rand.Rand) {
	if !r.discoveryFaultMu.TryLock() {
		return
	}
	defer r.discoveryFaultMu.Unlock()
	if rng.IntN(2) == 0 {
		r.delayNoticeToAll(time.Now().Add(silenceNoticeDelay))
		r.agent.SilenceOpenConns()
		return
	}
	duration := randomDuration(rng, time.Millisecond, 300*time.Millisecond)
	r.delayNoticeToAll(time.Now().Add(duration + outageNoticeDelay))
	r.agent.DisconnectAll()
	sleep(ctx, duration)
	r.agent.Reconnect()
}

// delayNoticeToAll calls delayNotice for all nodes.
func (r *run) delayNoticeToAll(until time.Time) {
	for _, n := range r.nodes {
		n.delayNotice(until)
	}
}

// transientErrors lists the transient errors of each system call.
var transientErrors = map[int][]syscall.Errno{
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

// injectSystemCallErrors makes all calls of some system calls, or a percentage of them, fail at some nodes.
func (r *run) injectSystemCallErrors(ctx context.Context, rng *rand.Rand) {
	percent := []int64{20, 60, 100}[rng.IntN(3)]
	duration := randomDuration(rng, 50*time.Millisecond, 400*time.Millisecond)
	errnos := map[int][]syscall.Errno{}
	for _, call := range FaultyCalls {
		if rng.IntN(2) == 0 {
			errnos[int(call)] = transientErrors[int(call)]
		}
	}
	var nodes []*node
	for range 1 + rng.IntN(len(r.nodes)) {
		n := r.nodes[rng.IntN(len(r.nodes))]
		n.delayNotice(time.Now().Add(duration + outageNoticeDelay))
		n.faults.percent.Store(percent)
		n.faults.errnos.Store(&errnos)
		nodes = append(nodes, n)
	}
	sleep(ctx, duration)
	for _, n := range nodes {
		n.faults.errnos.Store(nil)
	}
}

// injectClientDisconnects makes all clients of some nodes close the connections on which they wait for responses.
func (r *run) injectClientDisconnects(_ context.Context, rng *rand.Rand) {
	for range 1 + rng.IntN(len(r.nodes)) {
		r.clients.disconnectAll(rng.IntN(len(r.nodes)))
	}
}

// injectIdleConns uses up a node's descriptors with idle connections.
func (r *run) injectIdleConns(ctx context.Context, rng *rand.Rand) {
	n := r.nodes[rng.IntN(len(r.nodes))]
	hold := randomDuration(rng, 200*time.Millisecond, 1500*time.Millisecond)
	n.setDescriptorsExhausted(time.Now().Add(hold + descriptorRecovery))
	r.clients.holdIdleConns(ctx, n.number, hold)
}
