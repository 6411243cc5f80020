package scale

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"cherrygap/internal/lab/discovery"
	"cherrygap/internal/lab/nodeprocess"
	"cherrygap/internal/protocol"
)

// Models and cells of the app servers. Consecutive server numbers share a model or a cell; after the last model or cell the
// numbers continue with the first one.
const (
	serversPerModel = 7
	models          = 3
	serversPerCell  = 24
	cells           = 4096
)

// setUp starts the app servers, the simulated nodes, the discovery agent and the real nodes. It returns when all nodes have an
// endpoint list.
func (r *run) setUp(ctx context.Context) error {
	servers, addresses, err := r.startWorkers(ctx)
	if err != nil {
		return err
	}
	endpoints, err := r.listedEndpoints(servers)
	if err != nil {
		return err
	}
	r.nextSpare = r.cfg.Servers
	if r.agent, err = discovery.Start(endpoints, r.cfg.Real+1); err != nil {
		return err
	}
	if err := r.makeRealNodes(addresses); err != nil {
		return err
	}
	r.clients = newClientSimulator(&r.cfg, r.nodes, servers)
	command := nodesCommand{Verb: nodesStart, Agent: r.agent.Addr(r.cfg.Real)}
	for _, n := range r.nodes {
		command.Real = append(command.Real, n.peerAddr)
	}
	if err := r.commandNodes(command, nil); err != nil {
		return err
	}
	if err := r.startRealNodes(ctx); err != nil {
		return err
	}
	return r.commandNodes(nodesCommand{Verb: nodesAwaitReady}, nil)
}

// startWorkers starts the workers of the app servers and of the simulated nodes. It returns the servers' addresses by number,
// and the nodes' first reply with their addresses.
func (r *run) startWorkers(ctx context.Context) (servers []string, nodes nodesReply, err error) {
	cfg := &r.cfg
	count := strconv.Itoa(cfg.Servers + cfg.spareServers())
	seed := strconv.FormatUint(cfg.Seed, 10)
	if r.serversWorker, err = startWorker(ctx, cfg, "servers", "lab", "scale-servers", "--count", count, "--seed", seed); err != nil {
		return nil, nodes, err
	}
	if r.nodesWorker, err = startWorker(ctx, cfg, "nodes", "lab", "scale-simulated-nodes"); err != nil {
		return nil, nodes, err
	}
	var first serversReply
	if err := r.serversWorker.call(nil, &first); err != nil {
		return nil, nodes, err
	}
	err = r.nodesWorker.call(nodesConfig{Config: *cfg, Servers: first.Addrs}, &nodes)
	return first.Addrs, nodes, err
}

// listedEndpoints returns discovery's endpoints for all servers, whose addresses are given by number. Spare servers are not
// listed until a change adds them.
func (r *run) listedEndpoints(servers []string) ([]discovery.Endpoint, error) {
	endpoints := make([]discovery.Endpoint, len(servers))
	for i, s := range servers {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		endpoints[i] = discovery.Endpoint{Endpoint: protocol.Endpoint{
			UID: fmt.Sprintf("app-%05d", i), Addr: addr, Zone: zoneName(i), Model: "m" + strconv.Itoa(i/serversPerModel%models),
			Cell: i / serversPerCell % cells, State: protocol.InService, Weight: 1,
		}, Listed: i < r.cfg.Servers}
	}
	return endpoints, nil
}

// zoneName returns the name of a server's zone, such as "r1-z3".
func zoneName(server int) string {
	zone := server % (regions * zonesPerRegion)
	return fmt.Sprintf("r%d-z%d", zone/zonesPerRegion, zone%zonesPerRegion)
}

// makeRealNodes creates the real nodes with free addresses and the addresses of their peers, but does not start them. nodes
// holds the addresses of the simulated nodes and of the proxies.
func (r *run) makeRealNodes(nodes nodesReply) error {
	peers := make([]netip.AddrPort, 0, r.cfg.liveNodes())
	for _, s := range slices.Concat(nodes.Proxies, nodes.Nodes) {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return err
		}
		peers = append(peers, addr)
	}
	for i := range r.cfg.Real {
		n := &realNode{
			number: i, agentAddr: r.agent.Addr(i), broadcastAddr: nodes.Broadcast, peerAddrs: slices.Clone(peers),
		}
		var err error
		if n.clientAddr, err = nodeprocess.FreeAddress("tcp", loopbackAddress(realNodeBlock, i)); err != nil {
			return err
		}
		if n.peerAddr, err = nodeprocess.FreeAddress("udp", loopbackAddress(realNodeBlock, i)); err != nil {
			return err
		}
		if n.peerAddrs[i], err = netip.ParseAddrPort(n.peerAddr); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	return nil
}

// startRealNodes starts all real nodes concurrently and waits until each is ready or has failed. It returns all errors.
func (r *run) startRealNodes(ctx context.Context) error {
	started := make(chan error, len(r.nodes))
	for _, n := range r.nodes {
		go func() { started <- n.start(ctx, &r.cfg, r.agent.Snapshot(0), 0) }() // The goroutine ends within nodeStartTimeout.
	}
	var err error
	for range r.nodes {
		err = errors.Join(err, <-started)
	}
	return err
}
