package scale

import (
	"context"
	"time"

	"cherrygap/internal/lab/discovery"
	"cherrygap/internal/protocol"
)

const (
	minChangeInterval  = 300 * time.Millisecond
	minChanges         = 4
	maxChanges         = 40
	changedWeight      = 1.25
	loadBalancerDelay  = 200 * time.Millisecond // after a node's SIGTERM, in which clients still send to the node
	watchOutage        = 100 * time.Millisecond
	restartBatches     = 10 // of simulated nodes
	maxRestartDowntime = time.Second
)

// measuredChange is a revision of the endpoint list whose delay to all nodes is measured.
type measuredChange struct {
	revision    uint64
	publishedAt time.Time // of publication
	mustApply   []bool    // by real node: the node accepted clients, and so has to apply the change
}

// listChange is a change of a server's entry in the endpoint list.
type listChange struct {
	state    protocol.EndpointState
	bootTime time.Time // zero: unchanged
	weight   float64   // 0: unchanged
}

// publish changes servers in discovery, notifies the app servers of a drain, and records the change for the result.
func (r *run) publish(change listChange, servers ...int) error {
	expected := make([]bool, len(r.nodes))
	for i, n := range r.nodes {
		expected[i] = n.acceptsClients()
	}
	if change.state == protocol.InService {
		if err := r.commandServers(serversCommand{Verb: serversUndrain, Servers: servers}, nil); err != nil {
			return err
		}
	}
	revision, at := r.agent.Publish(func(e *discovery.Endpoint) {
		e.State = change.state
		if !change.bootTime.IsZero() {
			e.BootMs = change.bootTime.UnixMilli()
		}
		if change.weight > 0 {
			e.Weight = change.weight
		}
	}, servers...)
	r.changes = append(r.changes, measuredChange{revision, at, expected})
	for _, i := range servers {
		r.changedServers[i] = true
	}
	if change.state == protocol.Terminating {
		return r.commandServers(serversCommand{Verb: serversDrain, Servers: servers, At: at.UnixMicro()}, nil)
	}
	return nil
}

// unchangedServer returns the first server from a number on that no change has affected, or false if there is none.
func (r *run) unchangedServer(from int) (server int, ok bool) {
	for k := range r.cfg.Servers {
		if i := (from + k) % r.cfg.Servers; !r.changedServers[i] {
			return i, true
		}
	}
	return 0, false
}

// drainLastUsedServer drains the server of the last response to a client, so that a real node is affected.
func (r *run) drainLastUsedServer() error {
	server, ok := r.unchangedServer(int(r.clients.lastServer.Load()))
	if !ok {
		return nil
	}
	r.draining = append(r.draining, server)
	return r.publish(listChange{state: protocol.Terminating}, server)
}

// runChanges makes changes at even intervals over a section.
func (r *run) runChanges(ctx context.Context, length time.Duration) error {
	steps := min(max(minChanges, int(length/minChangeInterval)), maxChanges, r.cfg.Servers)
	interval := max(length/time.Duration(steps), minChangeInterval/2)
	for step := range steps {
		startedAt := time.Now()
		if err := r.makeChange(step); err != nil {
			return err
		}
		if err := pause(ctx, interval-time.Since(startedAt)); err != nil {
			return err
		}
	}
	return nil
}

// makeChange makes one change. By step, in turn: a server drains, a server's weight changes, a server is added, a draining
// server is removed.
func (r *run) makeChange(step int) error {
	servers := r.cfg.Servers
	switch step % 4 {
	case 0:
		return r.drainLastUsedServer()
	case 1:
		const stride = 7 // consecutive changes of a weight are a seventh of the servers apart
		if server, ok := r.unchangedServer(servers / stride * (step/4 + 1) % servers); ok {
			return r.publish(listChange{state: protocol.InService, weight: changedWeight}, server)
		}
	case 2:
		if r.nextSpare < servers+r.cfg.spareServers() {
			server := r.nextSpare
			r.nextSpare++
			return r.publish(listChange{state: protocol.InService, bootTime: time.Now()}, server)
		}
	case 3:
		if len(r.draining) > 0 {
			server := r.draining[0]
			r.draining = r.draining[1:]
			return r.publish(listChange{state: protocol.Terminated}, server)
		}
	}
	return nil
}

// runRollingRestart restarts the real nodes one after another, and concurrently the simulated nodes in batches.
func (r *run) runRollingRestart(ctx context.Context, length time.Duration) error {
	type outcome struct {
		restarted int
		err       error
	}
	simulated := make(chan outcome, 1)
	go func() { // ends after the last batch, or when the worker ends
		restarted, err := r.restartSimulated(length)
		simulated <- outcome{restarted, err}
	}()
	for _, n := range r.nodes {
		r.realRestarts++
		n.drain(loadBalancerDelay)
		r.clients.nodeConns.drop(n.clientAddr)
		if err := n.start(ctx, &r.cfg, r.agent.Snapshot(0), r.realRestarts); err != nil {
			return err
		}
	}
	done := <-simulated
	r.simulatedRestarts += done.restarted
	return done.err
}

// restartSimulated restarts the simulated nodes in batches and returns the number of restarted nodes. It stops after twice
// the section's length, so that a slow machine does not delay the run.
func (r *run) restartSimulated(length time.Duration) (restarted int, err error) {
	startedAt := time.Now()
	away := min(length/restartBatches/2, maxRestartDowntime)
	for batch := range min(restartBatches, r.cfg.Simulated) {
		if time.Since(startedAt) > 2*length {
			break
		}
		command := nodesCommand{Verb: nodesRestart, Ms: int(away / time.Millisecond)}
		for i := batch; i < r.cfg.Simulated; i += restartBatches {
			command.Nodes = append(command.Nodes, i)
		}
		if err := r.commandNodes(command, nil); err != nil {
			return restarted, err
		}
		restarted += len(command.Nodes)
	}
	return restarted, nil
}

// runZoneLoss kills a zone's servers, removes them from the list after a quarter of the section, and revives them cold
// after half of it.
func (r *run) runZoneLoss(ctx context.Context, length time.Duration) error {
	const zones = regions * zonesPerRegion
	var lost []int
	for i := range r.cfg.Servers {
		if i%zones == int(r.cfg.Seed%zones) && !r.changedServers[i] {
			lost = append(lost, i)
		}
	}
	if err := r.commandServerState(serversKill, nodesKillServers, lost); err != nil {
		return err
	}
	if err := pause(ctx, length/4); err != nil {
		return err
	}
	if err := r.publish(listChange{state: protocol.Terminated}, lost...); err != nil {
		return err
	}
	if err := pause(ctx, length/4); err != nil {
		return err
	}
	if err := r.commandServerState(serversRestart, nodesRestartServers, lost); err != nil {
		return err
	}
	return r.publish(listChange{state: protocol.InService, bootTime: time.Now()}, lost...)
}

// commandServerState kills or revives servers, for real nodes and for simulated ones.
func (r *run) commandServerState(servers serversVerb, nodes nodesVerb, numbers []int) error {
	if err := r.commandServers(serversCommand{Verb: servers, Servers: numbers}, nil); err != nil {
		return err
	}
	return r.commandNodes(nodesCommand{Verb: nodes, Servers: numbers}, nil)
}

// runWatchLoss closes all watches at once, after which each node gets the full list. It drains a server as soon as the
// agent answers again.
func (r *run) runWatchLoss(ctx context.Context, _ time.Duration) error {
	r.agent.DisconnectAll()
	if err := pause(ctx, watchOutage); err != nil {
		return err
	}
	r.agent.Reconnect()
	return r.drainLastUsedServer()
}
