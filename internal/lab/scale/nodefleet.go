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
	firstListTimeout = 60 * time.Second // longest wait until all simulated nodes have their first endpoint list
	gcPercent        = 30               // GOGC; low, as the large heap of the engines lives as long as the process
)

// nodeFleet holds the simulated nodes of the worker process. Its goroutines read datagrams, relay broadcasts, watch
// discovery and send requests. They end with the process, which ends when its standard input is closed.
type nodeFleet struct {
	cfg           nodesConfig
	nodes         []*simulatedNode
	populations   []population // tenants of each node, by node number
	serverNumbers map[netip.AddrPort]int
	startedAt     time.Time

	// engineSlots limits the concurrent calls into engines, so that a core is left for lists and commands.
	engineSlots chan struct{}

	ready         chan struct{} // closed once all nodes have their first list
	sending       atomic.Bool   // while false, the nodes send no request
	randomSources sync.Pool     // pool of *rand.Rand

	serverKilled  []atomic.Bool  // whether the lab has killed a server, by server number
	attemptsBegun []atomic.Int64 // attempts that a server began to execute, by server number

	peerNetwork
	endpointHistory
	requestCounts
}

// RunNodes runs the simulated nodes until in ends. It reads a nodesConfig and then commands from in. To out it first writes
// the nodes' addresses, and then one reply to each command. Each message is one line of JSON.
func RunNodes(in io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(in)
	f := newNodeFleet()
	if err := decoder.Decode(&f.cfg); err != nil {
		return err
	}
	cores := f.cfg.simulatedCores()
	runtime.GOMAXPROCS(cores)
	f.engineSlots = make(chan struct{}, max(1, cores-1))
	debug.SetGCPercent(gcPercent)
	addresses, err := f.open()
	if err != nil {
		return err
	}
	return serveCommands(decoder, out, addresses, f.execute)
}

// newNodeFleet returns a fleet without nodes and sockets.
func newNodeFleet() *nodeFleet {
	return &nodeFleet{
		serverNumbers: map[netip.AddrPort]int{},
		ready:         make(chan struct{}),
		peerNetwork:   newPeerNetwork(),
		requestCounts: newRequestCounts(),
	}
}

// open initializes the fleet from its configuration, opens the sockets and returns their addresses.
func (f *nodeFleet) open() (addresses nodesReply, err error) {
	var seeds atomic.Uint64
	f.randomSources.New = func() any { return rand.New(rand.NewPCG(f.cfg.Seed, nodeRandomStream|seeds.Add(1))) }
	for i, s := range f.cfg.Servers {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return addresses, err
		}
		f.serverNumbers[addr] = i
	}
	servers := len(f.cfg.Servers)
	f.endpoints, f.listed = make([]protocol.Endpoint, servers), make([]bool, servers)
	f.serverKilled, f.attemptsBegun = make([]atomic.Bool, servers), make([]atomic.Int64, servers)
	f.populations = assignTenants(f.cfg.Config, func(node int) bool { return node >= f.cfg.Real })
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

// listenUDP opens a socket at the i-th address of a block. It returns the socket and its address with the port.
func listenUDP(block, i int) (*net.UDPConn, string, error) {
	addr := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(loopbackAddress(block, i)))
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, "", err
	}
	return conn, conn.LocalAddr().String(), nil
}

// execute executes a command of the lab and returns the reply.
func (f *nodeFleet) execute(command nodesCommand) (reply nodesReply) {
	switch command.Verb {
	case nodesStart:
		if err := f.start(command); err != nil {
			reply.Error = err.Error()
		}
	case nodesAwaitReady:
		select {
		case <-f.ready:
			reply.Ready = true
		case <-time.After(firstListTimeout):
			reply.Error = fmt.Sprintf("the simulated nodes have received no endpoint list within %v", firstListTimeout)
		}
	case nodesStartSending:
		f.sending.Store(true)
	case nodesKillServers, nodesRestartServers:
		for _, i := range command.Servers {
			f.serverKilled[i].Store(command.Verb == nodesKillServers)
		}
	case nodesRestart:
		f.restart(command.Nodes, time.Duration(command.DowntimeMs)*time.Millisecond)
	case nodesEndSection:
		section := f.endSection()
		reply.Section = &section
	case nodesFinalReport:
		reply.Report = f.report()
	default:
		reply.Error = fmt.Sprintf("unknown command %q to the simulated nodes", command.Verb)
	}
	return reply
}

// start starts the nodes, which then receive peer messages and endpoint lists.
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
		go f.forwardToRealNode(i)
	}
	go f.relayBroadcasts()
	go f.deliverBroadcasts(f.nodes)
	go f.discoveryClient(command.Agent).Run()
	go f.generate()
	return nil
}

// discoveryClient returns a client that watches the discovery agent at an address and passes each list to all nodes.
func (f *nodeFleet) discoveryClient(agent string) *discovery.Client {
	none := zerolog.Nop()
	var first sync.Once
	return &discovery.Client{
		Addr: agent, NeedsFullList: true, Log: &none, Counters: &discovery.Counters{},
		Limits: netio.Limits{MaxDescriptors: 64, MemoryMiB: 64, ConnectTimeout: time.Second},
		OnList: func(list *protocol.EndpointList) {
			f.applyList(list)
			first.Do(func() { close(f.ready) })
		},
		OnFailure: func() {
			forEachNode(f.nodes, func(n *simulatedNode) { n.current.Load().router.PollFailed() })
		},
	}
}

// forEachNode calls do for each node, concurrently on all cores, and returns after the last call.
func forEachNode(nodes []*simulatedNode, do func(*simulatedNode)) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < int64(len(nodes)); i = next.Add(1) - 1 {
				do(nodes[i])
			}
		}()
	}
	wg.Wait()
}

// withEngineSlot waits for a free slot and then calls an engine. On an overloaded machine these waits appear as lag in the
// run's result.
func (f *nodeFleet) withEngineSlot(call func()) {
	f.engineSlots <- struct{}{}
	call()
	<-f.engineSlots
}

// withRandomSource calls use with a random source that no other goroutine uses during the call.
func (f *nodeFleet) withRandomSource(use func(*rand.Rand)) {
	rng := f.randomSources.Get().(*rand.Rand)
	defer f.randomSources.Put(rng)
	use(rng)
}
