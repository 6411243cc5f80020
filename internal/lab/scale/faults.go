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
	changedWeight      = 1.25                   // weight of a server after a change of weight; it was 1 before
	loadBalancerDelay  = 200 * time.Millisecond // time after a node's SIGTERM in which clients still send to the node
	watchOutage        = 100 * time.Millisecond // time in which the agent accepts no watch after it has closed all watches
	restartBatches     = 10                     // number of batches in which the simulated nodes restart
	maxRestartDowntime = time.Second
)

// measuredChange is a revision of the endpoint list whose delay to all nodes is measured.
type measuredChange struct {
	revision    uint64
	publishedAt time.Time // time of publication
	mustApply   []bool    // by real node: whether the node accepted clients at publication, and so has to apply the change
}

// listChange is a change of servers' entries in the endpoint list.
type listChange struct {
	state    protocol.EndpointState
	bootTime time.Time // start time of the servers; zero: unchanged
	weight   float64   // weight of the servers; 0: unchanged
}

// publish publishes a change of servers in discovery and records it for the result. It notifies the app servers of a
// drain, or of their return to service.
func (r *run) publish(change listChange, servers ...int) error {
	mustApply := make([]bool, len(r.nodes))
	for i, n := range r.nodes {
		mustApply[i] = n.acceptsClients()
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
	r.changes = append(r.changes, measuredChange{revision, at, mustApply})
	for _, i := range servers {
		r.changedServers[i] = true
	}
	if change.state == protocol.Terminating {
		return r.commandServers(serversCommand{Verb: serversDrain, Servers: servers, At: at.UnixMicro()}, nil)
	}
	return nil
}

// unchangedServer returns the first server that no change has affected, in cyclic order beginning with from. It returns false if
// there is none.
func (r *run) unchangedServer(from int) (server int, ok bool) {
	for k := range r.cfg.Servers {
		if i := (from + k) % r.cfg.Servers; !r.changedServers[i] {
			return i, true
		}
	}
	return 0, false
}

// drainLastUsedServer drains the server that completed the last request of a client, so that the drain affects a real node.
// If a change has affected this server already, drainLastUsedServer drains the next server without a change.
func (r *run) drainLastUsedServer() error {
	server, ok := r.unchangedServer(int(r.clients.lastServer.Load()))
	if !ok {
		return nil
	}
	r.draining = append(r.draining, server)
	return r.publish(listChange{state: protocol.Terminating}, server)
}

// runChanges publishes changes at regular intervals over a section.
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

// makeChange publishes one change. step selects the kind in turn: drain a server, change a server's weight, add a server,
// remove a draining server. If no server is available for the change, makeChange does nothing.
func (r *run) makeChange(step int) error {
	servers := r.cfg.Servers
	switch step % 4 {
	case 0:
		return r.drainLastUsedServer()
	case 1:
		const stride = 7 // consecutive changes of a weight are a seventh of the server numbers apart
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

// runRollingRestart restarts the real nodes one after another and, concurrently, the simulated nodes in batches.
func (r *run) runRollingRestart(ctx context.Context, length time.Duration) error {
	type outcome struct {
		restarted int
		err       error
	}
	simulated := make(chan outcome, 1)
	go func() { // The goroutine ends after the last batch, or when the worker ends.
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

// restartSimulated restarts the simulated nodes in batches and returns the number of restarted nodes. It starts no batch
// after twice the section's length, so that a slow machine does not delay the run.
func (r *run) restartSimulated(length time.Duration) (restarted int, err error) {
	startedAt := time.Now()
	downtime := min(length/restartBatches/2, maxRestartDowntime)
	for batch := range min(restartBatches, r.cfg.Simulated) {
		if time.Since(startedAt) > 2*length {
			break
		}
		command := nodesCommand{Verb: nodesRestart, DowntimeMs: int(downtime / time.Millisecond)}
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

// runZoneLoss kills a zone's servers, removes them from the list after a quarter of the section, and after half of the
// section restarts and lists them as new.
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

// commandServerState kills or restarts servers, both in the worker of the app servers and for the simulated nodes.
func (r *run) commandServerState(forServers serversVerb, forNodes nodesVerb, servers []int) error {
	if err := r.commandServers(serversCommand{Verb: forServers, Servers: servers}, nil); err != nil {
		return err
	}
	return r.commandNodes(nodesCommand{Verb: forNodes, Servers: servers}, nil)
}

// runWatchLoss closes all watches at once. When the agent accepts watches again after watchOutage, each node gets the full
// list, and runWatchLoss drains a server.
func (r *run) runWatchLoss(ctx context.Context, _ time.Duration) error {
	r.agent.DisconnectAll()
	if err := pause(ctx, watchOutage); err != nil {
		return err
	}
	r.agent.Reconnect()
	return r.drainLastUsedServer()
}
