package scale

import (
	"context"
	"time"

	"cherrygap/internal/lab/discovery"
	"cherrygap/internal/protocol"
)

const (
	minChangeInterval = 300 * time.Millisecond
	minChanges        = 4
	maxChanges        = 40
	changedWeight     = 1.25
	clientsLinger     = 200 * time.Millisecond // after SIGTERM of a node
	watchOutage       = 100 * time.Millisecond
	restartBatches    = 10 // of simulated nodes
	maxRestartAway    = time.Second
)

// measuredChange is one revision whose way to all nodes is measured.
type measuredChange struct {
	revision uint64
	at       time.Time
	expected []bool // by real node: it accepted clients, and so has to apply the change
}

// listChange is what changes in a server's entry of the endpoint list.
type listChange struct {
	state  protocol.EndpointState
	boot   time.Time // zero: as before
	weight float64   // 0: as before
}

// publish changes servers in discovery, tells the app servers which of them drain, and notes the change for the result.
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
		if !change.boot.IsZero() {
			e.BootMs = change.boot.UnixMilli()
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

// unchangedServer is the first server from a number on that was not changed yet; false where all were.
func (r *run) unchangedServer(from int) (int, bool) {
	for k := range r.cfg.Servers {
		if i := (from + k) % r.cfg.Servers; !r.changedServers[i] {
			return i, true
		}
	}
	return 0, false
}

// drainLastServer drains the server that last answered a client, which some real node uses.
func (r *run) drainLastServer() error {
	server, ok := r.unchangedServer(int(r.clients.lastServer.Load()))
	if !ok {
		return nil
	}
	r.draining = append(r.draining, server)
	return r.publish(listChange{state: protocol.Terminating}, server)
}

// playChanges changes one server after another, spread over the section.
func (r *run) playChanges(ctx context.Context, length time.Duration) error {
	steps := min(max(minChanges, int(length/minChangeInterval)), maxChanges, r.cfg.Servers)
	interval := max(length/time.Duration(steps), minChangeInterval/2)
	for step := range steps {
		startedAt := time.Now()
		if err := r.changeOne(step); err != nil {
			return err
		}
		if err := pause(ctx, interval-time.Since(startedAt)); err != nil {
			return err
		}
	}
	return nil
}

// changeOne makes one change, by turns: a server drains, one is listed with another size, a new one comes, one that
// drains goes.
func (r *run) changeOne(step int) error {
	servers := r.cfg.Servers
	switch step % 4 {
	case 0:
		return r.drainLastServer()
	case 1:
		if server, ok := r.unchangedServer(servers / 7 * (step/4 + 1) % servers); ok {
			return r.publish(listChange{state: protocol.InService, weight: changedWeight}, server)
		}
	case 2:
		if r.nextSpare < servers+r.cfg.spareServers() {
			server := r.nextSpare
			r.nextSpare++
			return r.publish(listChange{state: protocol.InService, boot: time.Now()}, server)
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

// playRollingRestart restarts all nodes: real ones one after another, and simulated ones a batch at a time beside them.
func (r *run) playRollingRestart(ctx context.Context, length time.Duration) error {
	type outcome struct {
		restarted int
		err       error
	}
	simulated := make(chan outcome, 1)
	go func() { // ends with the last batch, or with the worker
		restarted, err := r.restartSimulated(length)
		simulated <- outcome{restarted, err}
	}()
	for _, n := range r.nodes {
		r.realRestarts++
		n.drain(clientsLinger)
		r.clients.nodeConns.drop(n.clientAddr)
		if err := n.start(ctx, &r.cfg, r.agent.Snapshot(0), r.realRestarts); err != nil {
			return err
		}
	}
	done := <-simulated
	r.simulatedRestarts += done.restarted
	return done.err
}

// restartSimulated restarts the simulated nodes in batches and counts them. Where the machine doesn't keep up, the rest
// goes on as it is, and is not counted.
func (r *run) restartSimulated(length time.Duration) (restarted int, err error) {
	startedAt := time.Now()
	away := min(length/restartBatches/2, maxRestartAway)
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

// playZoneLoss loses a zone's servers, publishes that a quarter of the section later, and brings them back cold after
// half of it.
func (r *run) playZoneLoss(ctx context.Context, length time.Duration) error {
	const zones = regions * zonesPerRegion
	var lost []int
	for i := range r.cfg.Servers {
		if i%zones == int(r.cfg.Seed%zones) && !r.changedServers[i] {
			lost = append(lost, i)
		}
	}
	if err := r.setAlive(serversKill, nodesDead, lost); err != nil {
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
	if err := r.setAlive(serversRevive, nodesAlive, lost); err != nil {
		return err
	}
	return r.publish(listChange{state: protocol.InService, boot: time.Now()}, lost...)
}

// setAlive kills or revives servers, for real nodes and for simulated ones.
func (r *run) setAlive(servers serversVerb, nodes nodesVerb, numbers []int) error {
	if err := r.commandServers(serversCommand{Verb: servers, Servers: numbers}, nil); err != nil {
		return err
	}
	return r.commandNodes(nodesCommand{Verb: nodes, Servers: numbers}, nil)
}

// playWatchLoss breaks all watches at once, after which each node gets the full list, and drains a server as soon as
// calls are answered again.
func (r *run) playWatchLoss(ctx context.Context, _ time.Duration) error {
	r.agent.DisconnectAll()
	if err := pause(ctx, watchOutage); err != nil {
		return err
	}
	r.agent.Reconnect()
	return r.drainLastServer()
}
