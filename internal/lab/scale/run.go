package scale

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cherrygap/internal/protocol"
)

const (
	changeEvery = 300 * time.Millisecond // between two changes, or longer
	mostChanges = 40
	clientsStay = 200 * time.Millisecond // after SIGTERM of a node
	watchesDown = 100 * time.Millisecond
	rollParts   = 10
)

// lab is one run.
type lab struct {
	cfg     Config
	apps    *worker
	hollow  *worker
	agent   *agent
	nodes   []*realNode
	clients *clients
	starts  int // of real nodes anew,
	rolled  int // and of hollow ones
	closed  bool

	changes  []change
	touched  map[int]bool // servers that were changed
	nextNew  int          // that comes next
	draining []int

	sections []section
}

// change is one revision whose taking effect is measured.
type change struct {
	rev uint64
	at  time.Time
	up  []bool // real nodes that had to take it in
}

type section struct {
	*tally
	hollow hollowSection
}

// Run plays cfg and gives what was measured. It ends what it started, also where it fails or ctx ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if err := cfg.CheckDescriptors(); err != nil {
		return nil, err
	}
	if cfg.Dir == "" {
		dir, err := os.MkdirTemp("", "scale")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		cfg.Dir = dir
	} else if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, cfg.Hard, fmt.Errorf("the hard stop, %v after the start", cfg.Hard))
	defer cancel()
	l := &lab{cfg: cfg, touched: map[int]bool{}}
	defer l.close()
	res, err := l.run(ctx)
	l.close()
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("stopped by %w", context.Cause(ctx))
	}
	if err != nil {
		return nil, err
	}
	for _, n := range l.nodes {
		res.Killed += n.killed
	}
	return res, nil
}

// close ends all children: nodes first, all at once, then the workers.
func (l *lab) close() {
	if l.closed {
		return
	}
	l.closed = true
	var wg sync.WaitGroup
	for _, n := range l.nodes {
		wg.Add(1)
		go func() { defer wg.Done(); n.end(0) }()
	}
	wg.Wait()
	for _, w := range []*worker{l.hollow, l.apps} {
		if w != nil {
			wg.Add(1)
			go func() { defer wg.Done(); w.end() }()
		}
	}
	wg.Wait()
	if l.agent != nil {
		l.agent.close()
	}
	if l.clients != nil {
		l.clients.toNodes.drop("")
		l.clients.toApps.drop("")
	}
}

// pause waits, or gives ctx's error.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *lab) run(ctx context.Context) (*Result, error) {
	began := time.Now()
	if err := l.setUp(ctx); err != nil {
		return nil, err
	}
	c := &l.cfg
	out := &Result{SetupS: time.Since(began).Seconds()}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	for n := range l.nodes {
		go l.clients.arrive(clientsCtx, n)
	}
	warm, idle := max(c.For/12, 500*time.Millisecond), c.For/6
	share := (c.For - warm - idle) / time.Duration(1+len(c.Troubles))
	l.begin("warm-up")
	l.clients.loaded.Store(true)
	if err := l.askHollow(hollowOrder{Do: "load"}, nil); err != nil {
		return nil, err
	}
	if err := pause(ctx, warm); err != nil {
		return nil, err
	}
	if err := l.endSection(); err != nil {
		return nil, err
	}
	l.begin("quiet")
	use := l.measure()
	if err := pause(ctx, share); err != nil {
		return nil, err
	}
	out.quiet(l, use)
	if err := l.endSection(); err != nil {
		return nil, err
	}
	for _, name := range Troubles {
		play := map[string]func(context.Context, time.Duration) error{
			Changes: l.playChanges, Roll: l.playRoll,
			Zone: l.playZone, Watch: l.playWatch,
		}[name]
		if !slices.Contains(c.Troubles, name) {
			continue
		}
		l.begin(name)
		end := time.Now().Add(share)
		if err := play(ctx, share); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if err := pause(ctx, time.Until(end)); err != nil {
			return nil, err
		}
		if err := l.endSection(); err != nil {
			return nil, err
		}
	}
	l.clients.loaded.Store(false)
	answered := make(chan struct{})
	go func() { l.clients.open.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(lastAnswers()):
		out.Unanswered++ // one at least: no client waits so long
	}
	l.cfg.Log.Info().Str("section", "idle").Msg("section begins")
	use = l.measure()
	if err := pause(ctx, idle); err != nil {
		return nil, err
	}
	out.idle(l, use)
	l.cfg.Log.Info().Msg("counts are gathered")
	return out, out.gather(l)
}

// setUp starts everything.
func (l *lab) setUp(ctx context.Context) (err error) {
	c := &l.cfg
	many := c.Servers + c.spare()
	if l.apps, err = startWorker(ctx, c, "servers", "lab", "scale-servers", "--many", strconv.Itoa(many),
		"--seed", strconv.FormatUint(c.Seed, 10)); err != nil {
		return err
	}
	if l.hollow, err = startWorker(ctx, c, "hollow", "lab", "scale-nodes"); err != nil {
		return err
	}
	var apps serverWord
	if err := l.apps.ask(nil, &apps); err != nil {
		return err
	}
	var hollow hollowWord
	if err := l.hollow.ask(HollowConfig{Config: *c, Servers: apps.Addrs}, &hollow); err != nil {
		return err
	}
	l.nextNew = c.Servers
	list := make([]entry, many)
	for i := range list {
		addr, err := netip.ParseAddrPort(apps.Addrs[i])
		if err != nil {
			return err
		}
		list[i] = entry{
			UID: fmt.Sprintf("app-%05d", i), Endpoint: addr, Zone: zoneName(i), Model: "m" + strconv.Itoa(i/7%3),
			Cell: i / 24 % 4096, State: stateNames[protocol.InService], Weight: 1, listed: i < c.Servers,
		}
	}
	if l.agent, err = newAgent(list, c.Real+1); err != nil {
		return err
	}
	peers := make([]netip.AddrPort, c.Real, c.Real+c.Hollow)
	for i, s := range append(append([]string(nil), hollow.Proxies...), hollow.Nodes...) {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return err
		}
		if i < c.Real {
			peers[i] = addr
		} else {
			peers = append(peers, addr)
		}
	}
	o := hollowOrder{Do: "start", Agent: l.agent.nodes[c.Real].addr}
	for k := range c.Real {
		n := &realNode{number: k, agent: l.agent.nodes[k].addr, all: hollow.All, peers: append([]netip.AddrPort(nil), peers...)}
		if n.listen, err = freeAddr("tcp", 96, k); err != nil {
			return err
		}
		if n.peer, err = freeAddr("udp", 96, k); err != nil {
			return err
		}
		own, err := netip.ParseAddrPort(n.peer)
		if err != nil {
			return err
		}
		n.peers[k] = own
		o.Real = append(o.Real, n.peer)
		l.nodes = append(l.nodes, n)
	}
	l.clients = newClients(c, l.nodes, apps.Addrs)
	if err := l.askHollow(o, nil); err != nil {
		return err
	}
	errs := make(chan error, len(l.nodes))
	for _, n := range l.nodes {
		go func() { errs <- n.begin(ctx, c, l.agent.known(), 0) }()
	}
	for range l.nodes {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		return err
	}
	return l.askHollow(hollowOrder{Do: "ready"}, nil)
}

// zoneName is a server's zone: two regions of six.
func zoneName(i int) string {
	z := i % (regions * zones)
	return fmt.Sprintf("r%d-z%d", z/zones, z%zones)
}

// askHollow gives the hollow nodes an order.
func (l *lab) askHollow(o hollowOrder, word *hollowWord) error {
	if word == nil {
		word = &hollowWord{}
	}
	if err := l.hollow.ask(o, word); err != nil {
		return err
	}
	if word.Error != "" {
		return errors.New(word.Error)
	}
	return nil
}

// askServers gives the app servers an order.
func (l *lab) askServers(o serverOrder, word *serverWord) error {
	if word == nil {
		word = &serverWord{}
	}
	if err := l.apps.ask(o, word); err != nil {
		return err
	}
	if word.Error != "" {
		return errors.New(word.Error)
	}
	return nil
}

// begin opens a section, endSection closes it.
func (l *lab) begin(name string) {
	l.cfg.Log.Info().Str("section", name).Msg("section begins")
	l.sections = append(l.sections, section{tally: newTally(name)})
	l.clients.now.Store(l.sections[len(l.sections)-1].tally)
}

func (l *lab) endSection() error {
	var w hollowWord
	if err := l.askHollow(hollowOrder{Do: "section"}, &w); err != nil {
		return err
	}
	s := &l.sections[len(l.sections)-1]
	s.ended = time.Now()
	if w.Section != nil {
		s.hollow = *w.Section
	}
	for _, n := range l.nodes {
		n.memory()
	}
	return nil
}

// publish has discovery tell of servers, tells the app servers which of them drain, and measures when it is in force.
func (l *lab) publish(state protocol.EndpointState, boot time.Time, weight float64, servers ...int) error {
	up := make([]bool, len(l.nodes))
	for k, n := range l.nodes {
		up[k] = n.taking()
	}
	if state == protocol.InService {
		if err := l.askServers(serverOrder{Do: "undrain", Servers: servers}, nil); err != nil {
			return err
		}
	}
	rev, at := l.agent.publish(func(e *entry) {
		e.State = stateNames[state]
		if !boot.IsZero() {
			e.BootMs = boot.UnixMilli()
		}
		if weight > 0 {
			e.Weight = weight
		}
	}, servers...)
	l.changes = append(l.changes, change{rev, at, up})
	for _, i := range servers {
		l.touched[i] = true
	}
	if state == protocol.Terminating {
		return l.askServers(serverOrder{Do: "drain", Servers: servers, At: at.UnixMicro()}, nil)
	}
	return nil
}

// untouched is the first server from a number on that was not changed yet; false where all were.
func (l *lab) untouched(from int) (int, bool) {
	for k := range l.cfg.Servers {
		if i := (from + k) % l.cfg.Servers; !l.touched[i] {
			return i, true
		}
	}
	return 0, false
}

// drainNext drains the server that last answered a client, which some real node uses.
func (l *lab) drainNext() error {
	i, ok := l.untouched(int(l.clients.answered.Load()))
	if !ok {
		return nil
	}
	l.draining = append(l.draining, i)
	return l.publish(protocol.Terminating, time.Time{}, 0, i)
}

// playChanges changes one server after another: one drains, one that drains goes, a new one comes, one is listed with
// another size.
func (l *lab) playChanges(ctx context.Context, share time.Duration) error {
	c := &l.cfg
	steps := min(max(4, int(share/changeEvery)), mostChanges, c.Servers)
	for k := range steps {
		began := time.Now()
		var err error
		switch k % 4 {
		case 0:
			err = l.drainNext()
		case 1:
			if i, ok := l.untouched(c.Servers / 7 * (k/4 + 1) % c.Servers); ok {
				err = l.publish(protocol.InService, time.Time{}, 1.25, i)
			}
		case 2:
			if l.nextNew < c.Servers+c.spare() {
				err = l.publish(protocol.InService, time.Now(), 0, l.nextNew)
				l.nextNew++
			}
		case 3:
			if len(l.draining) > 0 {
				err = l.publish(protocol.Terminated, time.Time{}, 0, l.draining[0])
				l.draining = l.draining[1:]
			}
		}
		if err != nil {
			return err
		}
		if err := pause(ctx, max(share/time.Duration(steps), changeEvery/2)-time.Since(began)); err != nil {
			return err
		}
	}
	return nil
}

// playRoll starts all nodes anew: real ones one after another, hollow ones a tenth at a time.
func (l *lab) playRoll(ctx context.Context, share time.Duration) error {
	c := &l.cfg
	done, began := make(chan error, 1), time.Now()
	go func() {
		for part := range min(rollParts, c.Hollow) {
			if time.Since(began) > 2*share { // the machine does not keep up: the rest goes on as it is, and is not counted
				break
			}
			o := hollowOrder{Do: "roll", Ms: int(min(share/rollParts/2, time.Second) / time.Millisecond)}
			for i := part; i < c.Hollow; i += rollParts {
				o.Nodes = append(o.Nodes, i)
			}
			if err := l.askHollow(o, nil); err != nil {
				done <- err
				return
			}
			l.rolled += len(o.Nodes)
		}
		done <- nil
	}()
	for _, n := range l.nodes {
		l.starts++
		n.end(clientsStay)
		l.clients.toNodes.drop(n.listen)
		if err := n.begin(ctx, c, l.agent.known(), l.starts); err != nil {
			return err
		}
	}
	return <-done
}

// playZone loses a zone's servers, has discovery tell so a quarter of the section later, and brings them back cold after half.
func (l *lab) playZone(ctx context.Context, share time.Duration) error {
	c := &l.cfg
	var lost []int
	for i := range c.Servers {
		if i%(regions*zones) == int(c.Seed%(regions*zones)) && !l.touched[i] {
			lost = append(lost, i)
		}
	}
	if err := l.askServers(serverOrder{Do: "kill", Servers: lost}, nil); err != nil {
		return err
	}
	if err := l.askHollow(hollowOrder{Do: "dead", Servers: lost}, nil); err != nil {
		return err
	}
	if err := pause(ctx, share/4); err != nil {
		return err
	}
	if err := l.publish(protocol.Terminated, time.Time{}, 0, lost...); err != nil {
		return err
	}
	if err := pause(ctx, share/4); err != nil {
		return err
	}
	if err := l.askServers(serverOrder{Do: "revive", Servers: lost}, nil); err != nil {
		return err
	}
	if err := l.askHollow(hollowOrder{Do: "alive", Servers: lost}, nil); err != nil {
		return err
	}
	return l.publish(protocol.InService, time.Now(), 0, lost...)
}

// playWatch breaks all watches at once, after which each gets the whole list, and drains a server as soon as calls are
// answered again.
func (l *lab) playWatch(ctx context.Context, share time.Duration) error {
	l.agent.breakAll()
	if err := pause(ctx, watchesDown); err != nil {
		return err
	}
	l.agent.mend()
	return l.drainNext()
}

// usage is the CPU time of the run's processes at a moment.
type usage struct {
	at   time.Time
	real []time.Duration
	rest map[string]time.Duration
}

// measure looks at the CPU time of all processes.
func (l *lab) measure() usage {
	u := usage{at: time.Now(), rest: map[string]time.Duration{}}
	for _, n := range l.nodes {
		v, _ := cpu(n.pid())
		u.real = append(u.real, v)
	}
	u.rest["lab"], _ = cpu(syscall.Getpid())
	u.rest["servers"], _ = cpu(l.apps.cmd.Process.Pid)
	u.rest["hollow"], _ = cpu(l.hollow.cmd.Process.Pid)
	return u
}
