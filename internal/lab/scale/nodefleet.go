package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/discovery"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

const (
	firstListTimeout = 60 * time.Second
	collectorPercent = 30 // the heap is large and lives long
)

// nodeFleet is the process of the simulated nodes. Its goroutines (datagram readers, relay, discovery client, requests)
// end with the process, which ends with its standard input.
type nodeFleet struct {
	cfg           nodesConfig
	nodes         []*simulatedNode
	populations   []population // by node
	serverNumbers map[netip.AddrPort]int
	startedAt     time.Time

	// engineSlots lets so many calls into engines run at once as leave a core for lists and commands.
	engineSlots chan struct{}

	ready   chan struct{} // closed once all nodes have their first list
	sending atomic.Bool
	randoms sync.Pool // of *rand.Rand

	dead          []atomic.Bool  // by server
	attemptsBegun []atomic.Int64 // by server

	peerNetwork
	endpointHistory
	requestCounts
}

// RunNodes plays the simulated nodes until in ends: a nodesConfig, then commands, a JSON line each.
func RunNodes(in io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(in)
	f := newNodeFleet()
	if err := decoder.Decode(&f.cfg); err != nil {
		return err
	}
	cores := f.cfg.simulatedCores()
	runtime.GOMAXPROCS(cores)
	f.engineSlots = make(chan struct{}, max(1, cores-1))
	debug.SetGCPercent(collectorPercent)
	addresses, err := f.open()
	if err != nil {
		return err
	}
	return serveCommands(decoder, out, addresses, f.execute)
}

func newNodeFleet() *nodeFleet {
	return &nodeFleet{
		serverNumbers: map[netip.AddrPort]int{},
		ready:         make(chan struct{}),
		peerNetwork:   newPeerNetwork(),
		requestCounts: newRequestCounts(),
	}
}

// open makes the sockets.
func (f *nodeFleet) open() (addresses nodesReply, err error) {
	var seeds atomic.Uint64
	f.randoms.New = func() any { return rand.New(rand.NewPCG(f.cfg.Seed, 1<<32|seeds.Add(1))) }
	for i, s := range f.cfg.Servers {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return addresses, err
		}
		f.serverNumbers[addr] = i
	}
	servers := len(f.cfg.Servers)
	f.endpoints, f.listed = make([]protocol.Endpoint, servers), make([]bool, servers)
	f.dead, f.attemptsBegun = make([]atomic.Bool, servers), make([]atomic.Int64, servers)
	f.populations = dealTenants(f.cfg.Config, func(node int) bool { return node >= f.cfg.Real })
	for i := range f.cfg.Simulated {
		conn, addr, err := listenUDP(simulatedNodeBlock, i)
		if err != nil {
			return addresses, err
		}
		f.nodes = append(f.nodes, &simulatedNode{fleet: f, number: f.cfg.Real + i, conn: conn, addr: netip.MustParseAddrPort(addr)})
		addresses.Nodes = append(addresses.Nodes, addr)
	}
	for i := range f.cfg.Real {
		conn, addr, err := listenUDP(proxyBlock, i)
		if err != nil {
			return addresses, err
		}
		f.proxies = append(f.proxies, conn)
		addresses.Proxies = append(addresses.Proxies, addr)
	}
	f.broadcastConn, addresses.Broadcast, err = listenUDP(broadcastBlock, 0)
	return addresses, err
}

func listenUDP(block, i int) (*net.UDPConn, string, error) {
	addr := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(loopbackAddress(block, i)))
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, "", err
	}
	return conn, conn.LocalAddr().String(), nil
}

func (f *nodeFleet) execute(command nodesCommand) (reply nodesReply) {
	switch command.Verb {
	case nodesStart:
		if err := f.start(command); err != nil {
			reply.Error = err.Error()
		}
	case nodesReady:
		select {
		case <-f.ready:
			reply.Ready = true
		case <-time.After(firstListTimeout):
			reply.Error = "the simulated nodes had no endpoint list in time"
		}
	case nodesSend:
		f.sending.Store(true)
	case nodesDead, nodesAlive:
		for _, i := range command.Servers {
			f.dead[i].Store(command.Verb == nodesDead)
		}
	case nodesRestart:
		f.restart(command.Nodes, time.Duration(command.Ms)*time.Millisecond)
	case nodesCut:
		section := f.cutSection()
		reply.Section = &section
	case nodesResult:
		reply.Report = f.report()
	default:
		reply.Error = fmt.Sprintf("unknown command %q", command.Verb)
	}
	return reply
}

// start starts the nodes, which receive messages and endpoint lists from now on.
func (f *nodeFleet) start(command nodesCommand) error {
	if err := f.setPeers(command.Real, f.nodes); err != nil {
		return err
	}
	f.startedAt = time.Now()
	forEachNode(f.nodes, func(n *simulatedNode) { n.current.Store(n.newIncarnation(f.cfg.Seed)) })
	for _, n := range f.nodes {
		go n.readDatagrams()
		n.current.Load().router.TimerFired()
	}
	for i := range f.proxies {
		go f.forwardForReal(i)
	}
	go f.relayBroadcasts()
	go f.deliverBroadcasts(f.nodes)
	go f.discoveryClient(command.Agent).Run()
	go f.generate()
	return nil
}

// discoveryClient is one watch for all nodes, which hands each list to all of them.
func (f *nodeFleet) discoveryClient(agent string) *discovery.Client {
	none := zerolog.Nop()
	var first sync.Once
	return &discovery.Client{
		Addr: agent, Full: true, Log: &none, Counters: &discovery.Counters{},
		Limits: netio.Limits{Sockets: 64, MemoryMB: 64, ConnectTimeout: time.Second},
		OnList: func(list *protocol.EndpointList) {
			f.applyList(list)
			first.Do(func() { close(f.ready) })
		},
		OnFailure: func() {
			forEachNode(f.nodes, func(n *simulatedNode) { n.current.Load().router.PollFailed() })
		},
	}
}

// forEachNode calls f for all nodes, on all cores, and returns after the last.
func forEachNode(nodes []*simulatedNode, f func(*simulatedNode)) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < int64(len(nodes)); i = next.Add(1) - 1 {
				f(nodes[i])
			}
		}()
	}
	wg.Wait()
}

// withEngineSlot calls f, which calls into an engine, once a slot is free. Where the engines need more than the cores
// give, calls wait here, and the lag that the run reports says so.
func (f *nodeFleet) withEngineSlot(call func()) {
	f.engineSlots <- struct{}{}
	call()
	<-f.engineSlots
}

// random lends a random source to f.
func (f *nodeFleet) random(use func(*rand.Rand)) {
	rng := f.randoms.Get().(*rand.Rand)
	defer f.randoms.Put(rng)
	use(rng)
}
