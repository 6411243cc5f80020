package discovery

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

const (
	recoveryTerm   = 6 * time.Second        // after it the platform counts a change as known to the node
	recoveryMargin = 500 * time.Millisecond // by which the node must be earlier, as a busy machine is late
)

// Faults of the connection or of discovery as a whole, not of single calls.
const (
	faultRefused      = "refused"       // the listener is closed
	faultNoConnection = "no connection" // the listener's queue is full
	faultNewCount     = "new revisions"
	faultNewStrict    = "new revisions, strict"
	faultMoved        = "moved"
	faultMovedWaiting = "moved while it waits"
)

// recovery is one node and its discovery, with a fault between them.
type recovery struct {
	mode    string // poll or push
	fault   string
	follows bool          // a call was held when the fault began; otherwise the fault began with the node
	failed  int           // failed calls before the fault
	after   int           // calls during the fault after which it ends, if it takes calls
	lasts   time.Duration // how long the fault lasts after that
	seed    uint64
}

func (r recovery) String() string {
	return fmt.Sprintf("%s, %s, follows %v, %d failed, ends after %d calls and %v, seed %d", r.mode, r.fault, r.follows,
		r.failed, r.after, r.lasts, r.seed)
}

// timed reports whether the fault takes no calls, and so ends after a time.
func (r recovery) timed() bool { return r.fault == faultRefused || r.fault == faultNoConnection }

// newCount reports whether discovery restarts with a lower revision.
func (r recovery) newCount() bool { return r.fault == faultNewCount || r.fault == faultNewStrict }

// recoveryRun is the state of one run.
type recoveryRun struct {
	recovery
	discovery *fakeDiscovery
	host      string
	empty     func() net.Listener // empties the full queue of faultNoConnection
	router    *routing.Router
	timer     *netio.Timer
	client    *Client
	known     chan time.Time // when the node applied the change
}

// run starts and ends the fault and returns how long the node took to apply the change that discovery had from then on.
// In ask mode it also checks that calls do not overlap and are not too frequent.
func (r recovery) run(t *testing.T) (time.Duration, error) {
	run := &recoveryRun{recovery: r, known: make(chan time.Time, 99)}
	if err := run.startDiscovery(t); err != nil {
		return 0, err
	}
	defer run.discovery.reset()
	var err error
	if run.timer, err = netio.NewTimer(); err != nil {
		return 0, err
	}
	defer run.timer.Close()
	run.makeNode()
	startedAt, err := run.beginFault()
	defer run.client.Stop()
	if err != nil {
		return 0, err
	}
	time.Sleep(r.lasts)
	// From here on discovery has the change and is reachable.
	if strings.HasPrefix(r.fault, faultMoved) {
		return run.move()
	}
	return run.endFault(startedAt)
}

func (r *recoveryRun) startDiscovery(t *testing.T) (err error) {
	d := &fakeDiscovery{
		revision: 1, changed: make(chan struct{}), faultyCalls: make(chan struct{}, 99), conns: map[net.Conn]struct{}{},
		rand: rand.New(rand.NewPCG(r.seed, 2)), strict: r.fault == faultNewStrict,
	}
	r.discovery = d
	// An address of its own, which no other test takes while it is closed.
	r.host = fmt.Sprintf("127.%d.%d.%d", 1+d.rand.IntN(250), d.rand.IntN(250), 1+d.rand.IntN(250))
	if r.fault == faultNoConnection {
		var addr netip.AddrPort
		addr, r.empty = nettest.FullServer(t)
		d.addr = addr.String()
	} else {
		if d.listener, err = net.Listen("tcp", r.host+":0"); err != nil {
			return err
		}
		d.addr = d.listener.Addr().String()
		go d.serve(d.listener)
	}
	if r.newCount() {
		d.revision = 40
	}
	return nil
}

// makeNode makes a node that knows discovery's first list.
func (r *recoveryRun) makeNode() {
	polls := make(chan struct{}, 1)
	r.router = routing.New(routing.Config{
		Seed: r.seed, SetTimer: r.timer.Set, SendToPeer: func(int, []byte) {}, LogSummary: func([]byte) {},
		PollEndpoints: func() {
			select {
			case polls <- struct{}{}:
			default:
			}
		},
		Settings: settings.Parse(settings.Values{
			settings.ClassCount: "1", settings.ClassKey(0, settings.ClassName): "seats",
			settings.ClassKey(0, settings.ClassLatencyObjective): "20000",
			settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetryUnsafe, settings.PlanCount: "1",
			settings.PlanKey(0, settings.PlanName): "team", settings.Nodes: "1", settings.Tick: "20",
			settings.MaxAttempts: "3", settings.EndpointList: r.mode, settings.PollWithin: "100000",
		}),
	})
	for range r.failed {
		r.router.PollFailed()
	}
	if r.failed > 0 { // drop the first poll request
		select {
		case <-polls:
		default:
		}
	}
	list, _ := protocol.ParseEndpointList([]byte(r.discovery.list(true, 0)))
	r.router.UpdateEndpoints(&list, routing.FromCache)
	var drains, stays *routing.Server
	for _, server := range r.router.Servers() {
		if server.Addr.Port() == 1 {
			drains = server
		} else {
			stays = server
		}
	}
	log := zerolog.Nop()
	r.client = &Client{
		Addr: r.discovery.addr, Revision: list.Revision, Limits: frontendtest.Limits, Log: &log, Counters: &Counters{},
		OnFailure: r.router.PollFailed,
		OnList: func(list *protocol.EndpointList) {
			r.router.UpdateEndpoints(list, routing.FromDiscovery)
			if !r.router.InService(drains) && r.router.InService(stays) {
				r.known <- time.Now()
			}
		},
	}
	if r.mode == settings.EndpointListPoll {
		r.client.PollRequests = polls
	}
}

// callFault returns the fault of single calls.
func (r *recoveryRun) callFault() fault {
	if r.fault == faultMovedWaiting {
		return faults["503 at once"]
	}
	if fault := faults[r.fault]; fault != nil {
		return fault
	}
	return faults["never answered"]
}

func (r *recoveryRun) setFault() {
	if r.fault == faultRefused {
		nettest.Close(r.discovery.listener)
		r.discovery.reset()
	}
	r.discovery.set(r.callFault(), r.discovery.revision, false)
}

// beginFault starts the node and the fault, and waits for the calls that the fault is to take.
func (r *recoveryRun) beginFault() (startedAt time.Time, err error) {
	holdsFirst, follows := r.follows && r.empty == nil, make(chan struct{})
	if holdsFirst {
		go func() {
			for r.discovery.openCalls() == 0 { // until discovery holds a call
				time.Sleep(time.Millisecond)
			}
			close(follows)
		}()
	} else {
		r.setFault()
		close(follows)
	}
	go r.timer.Run(r.router.TimerFired)
	go r.client.Run()
	r.router.TimerFired()
	<-follows
	if holdsFirst {
		time.Sleep(time.Duration(r.discovery.rand.IntN(1000)) * time.Millisecond)
		r.setFault()
	}
	startedAt = time.Now()
	if r.timed() {
		return startedAt, nil
	}
	for range r.after {
		select {
		case <-r.discovery.faultyCalls:
		case <-time.After(30 * time.Second):
			return startedAt, errors.New("no call for 30 s")
		}
	}
	return startedAt, nil
}

// move moves discovery to another address; the fault at the old one stays.
func (r *recoveryRun) move() (time.Duration, error) {
	next := &fakeDiscovery{revision: 2, drains: true, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	listener, err := net.Listen("tcp", r.host+":0")
	if err != nil {
		return 0, err
	}
	defer nettest.Close(listener)
	defer next.reset()
	go next.serve(listener)
	defer nettest.Close(r.discovery.listener)
	endedAt := time.Now()
	r.client.SwitchTo(listener.Addr().String())
	return r.await(endedAt)
}

// endFault ends the fault with a change of the list.
func (r *recoveryRun) endFault(startedAt time.Time) (time.Duration, error) {
	d := r.discovery
	d.mu.Lock()
	mostOpen, faulty := d.mostOpen, d.faulty
	d.mu.Unlock()
	lasted := time.Since(startedAt)
	d.set(nil, 2, true)
	switch {
	case r.fault == faultRefused:
		var err error
		if d.listener, err = net.Listen("tcp", d.addr); err != nil {
			return 0, err
		}
		go d.serve(d.listener)
	case r.empty != nil:
		d.listener = r.empty()
		go d.serve(d.listener)
	}
	defer nettest.Close(d.listener)
	endedAt := time.Now()
	if r.mode == settings.EndpointListPoll && (mostOpen > 1 || faulty > 2+int(lasted/time.Second)) {
		return 0, fmt.Errorf("%d calls at once, %d in %v", mostOpen, faulty, lasted)
	}
	return r.await(endedAt)
}

// await waits until the node applies the change.
func (r *recoveryRun) await(since time.Time) (time.Duration, error) {
	select {
	case at := <-r.known:
		return at.Sub(since), nil
	case <-time.After(5 * recoveryTerm):
		return 0, fmt.Errorf("not known in %v", 5*recoveryTerm)
	}
}

// recoveries returns the runs for a number of seeds. Faults end just after a doomed call arrived, and at other phases.
func recoveries(seeds uint64) (all []recovery) {
	names := []string{faultRefused, faultNoConnection, faultNewCount, faultNewStrict, faultMoved, faultMovedWaiting}
	names = slices.AppendSeq(names, maps.Keys(faults))
	slices.Sort(names)
	for _, name := range names {
		for _, follows := range []bool{false, true} {
			if follows && name == faultNoConnection {
				continue
			}
			for seed := range seeds {
				all = append(all, (recovery{fault: name, follows: follows}).variants(seed)...)
			}
		}
	}
	for i := range all {
		all[i].seed = uint64(i) + 1
	}
	return all
}

// variants returns the modes and phases of one fault.
func (r recovery) variants(seed uint64) (all []recovery) {
	add := func(mode string, after int, lasts time.Duration) {
		all = append(all, recovery{mode: mode, fault: r.fault, follows: r.follows, after: after, lasts: lasts})
	}
	if r.timed() {
		for _, lasts := range []time.Duration{50 * time.Millisecond, 900 * time.Millisecond, 2100 * time.Millisecond, 3300 * time.Millisecond} {
			add(settings.EndpointListPoll, 0, lasts)
			add(settings.EndpointListPush, 0, lasts)
		}
	} else {
		add(settings.EndpointListPoll, 1, 0)
		add(settings.EndpointListPoll, 1, time.Second)
		add(settings.EndpointListPoll, 2, 0)
		add(settings.EndpointListPush, 1, 0)
		add(settings.EndpointListPush, 12, 10*time.Millisecond)
		if seed > 0 { // beyond CI's time
			add(settings.EndpointListPoll, 4, 0)
		}
	}
	if !r.follows {
		add(settings.EndpointListPoll, 1, time.Duration(seed%4)*400*time.Millisecond)
		all[len(all)-1].failed = 8
	}
	return all
}

// Whatever happened to earlier calls, the node applies a change within the term, less a margin, from when discovery has
// it and is reachable. In ask mode calls do not overlap, and a discovery that rejects calls gets at most one a second.
// RECOVERY_SEEDS in the environment sets the number of seeds, 1 by default.
func TestAChangeIsKnownWithinTheTerm(t *testing.T) {
	seeds := uint64(1)
	if text := os.Getenv("RECOVERY_SEEDS"); text != "" {
		var err error
		if seeds, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	all := recoveries(seeds)
	var runs sync.WaitGroup
	var mu sync.Mutex // guards both below
	worst, late := map[string]time.Duration{}, map[string]int{}
	for _, recovery := range all {
		runs.Add(1)
		go func() {
			defer runs.Done()
			took, err := recovery.run(t)
			mu.Lock()
			defer mu.Unlock()
			if worst[recovery.mode] = max(worst[recovery.mode], took); err != nil || took > recoveryTerm-recoveryMargin {
				late[recovery.mode]++
				t.Errorf("%v: known after %v, %v", recovery, took, err)
			}
		}()
	}
	runs.Wait()
	t.Logf("%d runs, late %v, worst %v", len(all), late, worst)
}
